package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Which hosts of the fleet are reachable: whose supervisor sent a heartbeat when, and what other
 * hosts say of silent ones. Silence is never taken for death: a host that this controller does not
 * reach may serve its clients, and others may reach it. Not thread-safe. Times are in seconds of a
 * clock that never goes back.
 *
 * <pre>
 * reachability  means                                               goes to
 * UNKNOWN       no heartbeat yet                                    REACHABLE, PARTITIONED
 * REACHABLE     a heartbeat within SUSPECT_AFTER_SECONDS            SUSPECTED
 * SUSPECTED     silent, and no probe has reached it lately          REACHABLE, PARTITIONED, LOST
 * PARTITIONED   silent here, reached by another host, or serving    REACHABLE, SUSPECTED
 * LOST          silent for LOST_AFTER_SECONDS, to probes as well    REACHABLE, PARTITIONED
 * DUPLICATE     two supervisors use its name in turn                REACHABLE, once one is silent
 * </pre>
 */
public final class MembershipView {

  /** How a host is reachable; the table of {@link MembershipView} says what each means. */
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

  /** Seconds of silence after which a host is suspected, and probed by others. */
  public static final double SUSPECT_AFTER_SECONDS = 2.5;

  /** Seconds of silence to all after which a host counts as lost; it may still come back. */
  public static final double LOST_AFTER_SECONDS = 15;

  /** Seconds for which a successful indirect probe counts. */
  private static final double PROBE_VALID_SECONDS = 5;

  /**
   * What is known of one host.
   *
   * @param lastHeartbeatAt negative infinity for never
   * @param incarnation of its supervisor; empty for none
   * @param witness the host whose probe reached it last; empty for none
   * @param servesClients true if that probe found it serving its clients
   * @param rejoins times it came back under the same name as another incarnation
   */
  public record HostStatus(
      Reachability reachability,
      double lastHeartbeatAt,
      String incarnation,
      String witness,
      boolean servesClients,
      int rejoins) {}

  /** A change of a host's reachability. */
  public record Transition(String host, Reachability from, Reachability to, String reason) {}

  private static final class Member {
    private Reachability reachability = Reachability.UNKNOWN;
    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private String incarnation = "";
    private String previousIncarnation = "";
    private double previousHeartbeatAt = Double.NEGATIVE_INFINITY; // of that incarnation
    private double duplicateAt = Double.NEGATIVE_INFINITY;
    private String witness = "";
    private boolean servesClients;
    private double probedAt = Double.NEGATIVE_INFINITY;
    private int rejoins;
  }

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<Transition> transitions = new ArrayList<>();
  private final double startedAt;

  /** A view of these hosts, of which nothing is known yet. */
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

  /** A supervisor answered; hosts that are not of this fleet are ignored. */
  public void onHeartbeat(String host, String incarnation, double now) {
    Member member = members.get(host);
    if (member == null) {
      return;
    }
    if (!member.incarnation.isEmpty() && !incarnation.equals(member.incarnation)) {
      onOtherIncarnation(member, incarnation, now);
    }
    member.incarnation = incarnation;
    member.lastHeartbeatAt = now;
    if (now - member.duplicateAt <= LOST_AFTER_SECONDS) {
      transition(host, member, Reachability.DUPLICATE, "two supervisors answer under this name");
    } else {
      transition(host, member, Reachability.REACHABLE, "answered");
    }
  }

  /** An incarnation that is heard again after its successor belongs to a second supervisor. */
  private static void onOtherIncarnation(Member member, String incarnation, double now) {
    if (incarnation.equals(member.previousIncarnation)
        && now - member.previousHeartbeatAt <= LOST_AFTER_SECONDS) {
      member.duplicateAt = now;
    } else {
      member.rejoins++;
    }
    member.previousIncarnation = member.incarnation;
    member.previousHeartbeatAt = member.lastHeartbeatAt;
  }

  /** Another host said whether it reaches this one, and whether this one serves its clients. */
  public void onIndirectProbe(
      String host, String witness, boolean reachable, boolean servesClients, double now) {
    Member member = members.get(host);
    if (member != null && (reachable || servesClients)) {
      member.witness = witness;
      member.servesClients = servesClients;
      member.probedAt = now;
    }
  }

  /** Some time has passed; the transitions since the last tick. */
  public List<Transition> tick(double now) {
    members.forEach((host, member) -> judge(host, member, now));
    List<Transition> drained = List.copyOf(transitions);
    transitions.clear();
    return drained;
  }

  private void judge(String host, Member member, double now) {
    double silentSeconds = silentSeconds(member, now);
    if (now - member.lastHeartbeatAt <= SUSPECT_AFTER_SECONDS) {
      return;
    }
    if (now - member.probedAt <= PROBE_VALID_SECONDS) {
      String found = member.servesClients ? " finds it serving" : " hears it";
      transition(host, member, Reachability.PARTITIONED, member.witness + found);
    } else if (silentSeconds > LOST_AFTER_SECONDS) {
      String silence = "silent to all for " + Math.round(silentSeconds) + " s";
      transition(host, member, Reachability.LOST, silence);
    } else if (silentSeconds > SUSPECT_AFTER_SECONDS
        && member.reachability != Reachability.UNKNOWN) {
      transition(host, member, Reachability.SUSPECTED, "silent");
    }
  }

  private double silentSeconds(Member member, double now) {
    return now - Math.max(member.lastHeartbeatAt, startedAt);
  }

  /** Hosts that are to be probed by others. */
  public List<String> silentHosts(double now) {
    List<String> names = new ArrayList<>();
    members.forEach(
        (host, member) -> {
          if (silentSeconds(member, now) > SUSPECT_AFTER_SECONDS) {
            names.add(host);
          }
        });
    return names;
  }

  /** Hosts that can probe others, as they have sent a heartbeat lately. */
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

  /** What is known of a host; empty if it is not of this fleet. */
  public Optional<HostStatus> status(String host) {
    return Optional.ofNullable(members.get(host))
        .map(
            member ->
                new HostStatus(
                    member.reachability,
                    member.lastHeartbeatAt,
                    member.incarnation,
                    member.witness,
                    member.servesClients,
                    member.rejoins));
  }

  /** True if what a host reports counts now. */
  public boolean isReachable(String host) {
    Member member = members.get(host);
    return member != null && member.reachability == Reachability.REACHABLE;
  }
}
