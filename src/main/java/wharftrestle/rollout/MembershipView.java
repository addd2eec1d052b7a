package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks which hosts of the fleet are reachable, from the heartbeats of their supervisors and from
 * the indirect probes that other hosts make of silent ones. A silent host is never assumed to be
 * down: it may serve its clients and be reachable from other hosts. Not thread-safe. Times are
 * seconds of a monotonic clock.
 *
 * <pre>
 * reachability  meaning                                             next values
 * UNKNOWN       no heartbeat yet                                    REACHABLE, PARTITIONED
 * REACHABLE     a heartbeat within SUSPECT_AFTER_SECONDS            SUSPECTED
 * SUSPECTED     silent, and no recent probe has reached it          REACHABLE, PARTITIONED, LOST
 * PARTITIONED   silent here, but a probe reached it or its clients' REACHABLE, SUSPECTED
 *               address
 * LOST          silent for LOST_AFTER_SECONDS, also to probes       REACHABLE, PARTITIONED
 * DUPLICATE     two supervisors answer alternately under its name   REACHABLE, once one is silent
 * </pre>
 */
public final class MembershipView {

  /** The reachability of a host, described in the table of {@link MembershipView}. */
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

    /** The name in the controller's status and events. */
    public String publishedName() {
      return publishedName;
    }
  }

  /** Seconds without a heartbeat after which a host is suspected and probed by other hosts. */
  public static final double SUSPECT_AFTER_SECONDS = 2.5;

  /** Seconds without contact by any host after which a host is lost; it may still return. */
  public static final double LOST_AFTER_SECONDS = 15;

  /** Seconds for which a successful indirect probe is valid. */
  private static final double PROBE_VALID_SECONDS = 5;

  /**
   * The status of one host.
   *
   * @param lastHeartbeatAt negative infinity for never
   * @param incarnation of its supervisor; empty for none
   * @param witness the host whose probe last succeeded; empty for none
   * @param servesClients true if that probe found that the host serves its clients
   * @param rejoins number of times it returned under the same name with another incarnation
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
    private double previousHeartbeatAt = Double.NEGATIVE_INFINITY; // of previousIncarnation
    private double duplicateAt = Double.NEGATIVE_INFINITY;
    private String witness = "";
    private boolean servesClients;
    private double probedAt = Double.NEGATIVE_INFINITY;
    private int rejoins;
  }

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<Transition> transitions = new ArrayList<>();
  private final double startedAt;

  /** Creates a view of these hosts, all of unknown reachability. */
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

  /** Records the answer of a supervisor; hosts outside this fleet are ignored. */
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

  /**
   * Detects a second supervisor under the same name: an incarnation that answers again after a
   * later one has answered.
   */
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

  /** Records whether a witness reaches a host and whether that host serves its clients. */
  public void onIndirectProbe(
      String host, String witness, boolean reachable, boolean servesClients, double now) {
    Member member = members.get(host);
    if (member != null && (reachable || servesClients)) {
      member.witness = witness;
      member.servesClients = servesClients;
      member.probedAt = now;
    }
  }

  /**
   * Updates the reachability of all hosts for the passage of time.
   *
   * @return the transitions since the last tick
   */
  public List<Transition> tick(double now) {
    members.forEach((host, member) -> updateReachability(host, member, now));
    List<Transition> drained = List.copyOf(transitions);
    transitions.clear();
    return drained;
  }

  private void updateReachability(String host, Member member, double now) {
    double silentSeconds = silentSeconds(member, now);
    if (now - member.lastHeartbeatAt <= SUSPECT_AFTER_SECONDS) {
      return;
    }
    if (now - member.probedAt <= PROBE_VALID_SECONDS) {
      String probeResult = member.servesClients ? " finds that it serves clients" : " reaches it";
      transition(host, member, Reachability.PARTITIONED, member.witness + probeResult);
    } else if (silentSeconds > LOST_AFTER_SECONDS) {
      String lostReason = "not reached by any host for " + Math.round(silentSeconds) + " s";
      transition(host, member, Reachability.LOST, lostReason);
    } else if (silentSeconds > SUSPECT_AFTER_SECONDS
        && member.reachability != Reachability.UNKNOWN) {
      transition(host, member, Reachability.SUSPECTED, "no heartbeat");
    }
  }

  private double silentSeconds(Member member, double now) {
    return now - Math.max(member.lastHeartbeatAt, startedAt);
  }

  /** Hosts that other hosts should probe. */
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

  /** Hosts that can probe other hosts, because they have sent a recent heartbeat. */
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

  /** The status of a host; empty if it is not in this fleet. */
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

  /** True if the reports of a host are current and may be used. */
  public boolean isReachable(String host) {
    Member member = members.get(host);
    return member != null && member.reachability == Reachability.REACHABLE;
  }
}
