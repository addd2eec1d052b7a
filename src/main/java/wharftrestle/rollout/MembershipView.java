package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which boxes there are and who was heard when, by whom. It must never take silence for death: a
 * box that this driver does not hear may serve its callers, and others may hear it. Time is passed
 * in, in seconds on a clock that never goes back.
 *
 * <pre>
 * contact    means                                                         goes to
 * NEVER      not heard yet                                                 HEARD, CUT_OFF
 * HEARD      answered within {@link #SUSPECT_AFTER_SECONDS}                              SUSPECTED
 * SUSPECTED  silent, and nobody else has heard it of late                  HEARD, CUT_OFF, GONE
 * CUT_OFF    silent here, heard by another box or serving its callers      HEARD, SUSPECTED
 * GONE       silent for {@link #LOST_AFTER_SECONDS}, to all that were asked        HEARD, CUT_OFF
 * DOUBLE     two keepers answer under this name in turn                    HEARD, once one of them is silent
 * </pre>
 */
public final class MembershipView {

  /** How a box is in contact; the table says what each means. */
  public enum Reachability {
    UNKNOWN("never"),
    REACHABLE("heard"),
    SUSPECTED("suspected"),
    PARTITIONED("cut_off"),
    LOST("gone"),
    DUPLICATE("double");

    private final String publishedName;

    Reachability(String publishedName) {
      this.publishedName = publishedName;
    }

    /** Its name in the controller's status and events. */
    public String publishedName() {
      return publishedName;
    }
  }

  /** Seconds of silence after which a box is suspected, and others are asked for it. */
  public static final double SUSPECT_AFTER_SECONDS = 2.5;

  /** Seconds of silence to all after which it counts as gone; it may still come back. */
  public static final double LOST_AFTER_SECONDS = 15;

  /** Seconds for which another box's word counts. */
  private static final double PROBE_VALID_SECONDS = 5;

  /**
   * What is known of one box.
   *
   * @param heardAt by this driver; negative infinity for never
   * @param incarnation of its keeper: a start of it; empty for none
   * @param witness who heard it last besides; empty for nobody
   * @param callers true where that one found it serving its callers
   * @param returns times it came back under the same name
   */
  public record HostStatus(
      Reachability reachability,
      double lastHeartbeatAt,
      String incarnation,
      String witness,
      boolean servesClients,
      int rejoins) {}

  /** A change of contact, for logs. */
  public record Transition(String host, Reachability from, Reachability to, String reason) {}

  private static final class Member {
    private Reachability reachability = Reachability.UNKNOWN;
    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private String incarnation = "";
    private String previousIncarnation = ""; // the incarnation heard before this one
    private double previousHeartbeatAt = Double.NEGATIVE_INFINITY;
    private double duplicateAt = Double.NEGATIVE_INFINITY;
    private String witness = "";
    private boolean servesClients;
    private double probedAt = Double.NEGATIVE_INFINITY;
    private int rejoins;
  }

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<Transition> transitions = new ArrayList<>();
  private final double startedAt;

  public MembershipView(List<String> hosts, double now) {
    hosts.forEach(host -> members.put(host, new Member()));
    startedAt = now;
  }

  private void transition(String host, Member member, Reachability next, String reason) {
    if (member.reachability != next) {
      transitions.add(new Transition(host, member.reachability, next, reason));
      member.reachability = next;
    }
  }

  /** A box's keeper answered this driver. */
  public void onHeartbeat(String host, String incarnation, double now) {
    Member member = members.get(host);
    if (member == null) {
      return; // no box of this fleet
    }
    if (!member.incarnation.isEmpty() && !incarnation.equals(member.incarnation)) {
      // Guards against two boxes under one name: a start is never heard again after the start that
      // followed it.
      if (incarnation.equals(member.previousIncarnation)
          && now - member.previousHeartbeatAt <= LOST_AFTER_SECONDS) {
        member.duplicateAt = now;
      } else {
        member.rejoins++;
      }
      member.previousIncarnation = member.incarnation;
      member.previousHeartbeatAt = member.lastHeartbeatAt;
    }
    member.incarnation = incarnation;
    member.lastHeartbeatAt = now;
    if (now - member.duplicateAt <= LOST_AFTER_SECONDS) {
      transition(host, member, Reachability.DUPLICATE, "two keepers answer under this name");
    } else {
      transition(host, member, Reachability.REACHABLE, "answered");
    }
  }

  /** Another box says whether it can hear this one, and whether it serves its callers. */
  public void onIndirectProbe(
      String host, String witness, boolean reachable, boolean servesClients, double now) {
    Member member = members.get(host);
    if (member != null && (reachable || servesClients)) {
      member.witness = witness;
      member.servesClients = servesClients;
      member.probedAt = now;
    }
  }

  /** A while has passed; what changed since the last look. */
  public List<Transition> tick(double now) {
    members.forEach(
        (host, member) -> {
          double silent = now - Math.max(member.lastHeartbeatAt, startedAt);
          if (member.lastHeartbeatAt > Double.NEGATIVE_INFINITY
              && now - member.lastHeartbeatAt <= SUSPECT_AFTER_SECONDS) {
            return;
          }
          if (now - member.probedAt <= PROBE_VALID_SECONDS) {
            transition(
                host,
                member,
                Reachability.PARTITIONED,
                member.witness + (member.servesClients ? " finds it serving" : " hears it"));
          } else if (silent > LOST_AFTER_SECONDS) {
            transition(
                host, member, Reachability.LOST, "silent to all for " + Math.round(silent) + " s");
          } else if (silent > SUSPECT_AFTER_SECONDS
              && member.reachability != Reachability.UNKNOWN) {
            transition(host, member, Reachability.SUSPECTED, "silent");
          }
        });
    List<Transition> reported = List.copyOf(transitions);
    transitions.clear();
    return reported;
  }

  /** Boxes that others are to be asked for. */
  public List<String> silentHosts(double now) {
    List<String> names = new ArrayList<>();
    members.forEach(
        (host, member) -> {
          if (now - Math.max(member.lastHeartbeatAt, startedAt) > SUSPECT_AFTER_SECONDS) {
            names.add(host);
          }
        });
    return names;
  }

  /** Boxes that can be asked for others: heard of late. */
  public List<String> witnesses(double now) {
    List<String> names = new ArrayList<>();
    members.forEach(
        (host, member) -> {
          if (now - member.lastHeartbeatAt <= SUSPECT_AFTER_SECONDS) {
            names.add(host);
          }
        });
    return names;
  }

  /** What is known of a box; null where it is none of this fleet. */
  public HostStatus status(String host) {
    Member member = members.get(host);
    return member == null
        ? null
        : new HostStatus(
            member.reachability,
            member.lastHeartbeatAt,
            member.incarnation,
            member.witness,
            member.servesClients,
            member.rejoins);
  }

  /** True where its answers count as of now. */
  public boolean isReachable(String host) {
    Member member = members.get(host);
    return member != null && member.reachability == Reachability.REACHABLE;
  }
}
