package wharftrestle.rollout;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The orders of one rollout: what each host was last ordered, when, and how often. From these and
 * from what hosts report it tells which hosts are unavailable. Times are in seconds of a clock that
 * never goes back.
 */
final class OrderLedger {
  /** Seconds after an order in which a host that reports nothing of it is unavailable. */
  static final double ORDER_UNAVAILABLE_SECONDS = 10;

  /** The same for a host that is unreachable since, where the plan goes on without those. */
  static final double UNREACHABLE_UNAVAILABLE_SECONDS = 120;

  private final RolloutPlan plan;
  private final Map<String, Integer> attempts = new LinkedHashMap<>();
  private final Map<String, Integer> ordersInEpoch = new HashMap<>();
  private final Map<String, Integer> reportedFailures = new HashMap<>(); // last failed attempt
  private final Map<String, Double> orderedAt = new LinkedHashMap<>();
  private final Map<String, String> orderedReleases = new HashMap<>();

  OrderLedger(RolloutPlan plan) {
    this.plan = plan;
  }

  /** An earlier controller may just have sent this order. */
  void restore(String host, String release, double now) {
    orderedReleases.put(host, release);
    orderedAt.put(host, now);
  }

  void restoreAttempts(Map<String, Integer> earlier) {
    attempts.putAll(earlier);
  }

  void add(String host, String release, double now) {
    attempts.merge(host, 1, Integer::sum);
    ordersInEpoch.merge(host, 1, Integer::sum);
    orderedReleases.put(host, release);
    orderedAt.put(host, now);
  }

  /** Orders to a host that count against {@link RolloutPlan#maxAttempts}. */
  int attempts(String host) {
    return attempts.getOrDefault(host, 0);
  }

  boolean hasAttemptsLeft(String host) {
    return attempts(host) < plan.maxAttempts();
  }

  Map<String, Integer> attempts() {
    return new LinkedHashMap<>(attempts);
  }

  void clearAttempts() {
    attempts.clear();
  }

  /** Orders of earlier epochs may still be executed, so when they were sent stands. */
  void onEpochClaimed() {
    reportedFailures.clear();
    ordersInEpoch.clear();
  }

  /** The last order to a host was not executed, and costs no attempt. */
  void onOrderRefused(String host) {
    orderedAt.remove(host);
    orderedReleases.remove(host);
    ordersInEpoch.merge(host, -1, Integer::sum);
    attempts.computeIfPresent(host, (name, count) -> count - 1);
  }

  /** True if the failure of this attempt is reported for the first time. */
  boolean isNewFailure(String host, int attempt) {
    if (reportedFailures.getOrDefault(host, 0) >= attempt) {
      return false;
    }
    reportedFailures.put(host, attempt);
    return true;
  }

  /**
   * Hosts that are in a change, or were ordered and have reported nothing of it yet. One that
   * became unreachable after its order may still be changing: it is unavailable until it is heard,
   * or for a while where the plan goes on without unreachable hosts.
   */
  Set<String> unavailable(FleetObservation observed, double now) {
    Set<String> unavailable = new LinkedHashSet<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      if (isUnavailable(host.name(), observed, now)) {
        unavailable.add(host.name());
      }
    }
    return unavailable;
  }

  private boolean isUnavailable(String host, FleetObservation observed, double now) {
    boolean isReachable = observed.isReachable(host);
    if (isReachable && !observed.state(host).settled()) {
      return true;
    }
    if (!orderedAt.containsKey(host) || isAnswered(host, observed)) {
      return false;
    }
    double age = now - orderedAt.get(host);
    boolean mayStillChange =
        !isReachable
            && (plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.HOLD
                || age < UNREACHABLE_UNAVAILABLE_SECONDS);
    return age < ORDER_UNAVAILABLE_SECONDS || mayStillChange;
  }

  /** True if a host reports that its last order was executed or has failed. */
  private boolean isAnswered(String host, FleetObservation observed) {
    if (!observed.isReachable(host)) {
      return false;
    }
    Rollout.ReportedState state = observed.state(host);
    boolean hasFailed =
        state.attempt() >= ordersInEpoch.getOrDefault(host, 0) && !state.failure().isEmpty();
    return hasFailed || observed.runs(host, orderedReleases.get(host));
  }
}
