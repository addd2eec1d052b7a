package wharftrestle.rollout;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The orders of one rollout: the release last ordered for each host, when and how often. Determines
 * from these and from the reported states which hosts are unavailable. Not thread-safe. Times are
 * seconds of a monotonic clock.
 */
final class OrderLedger {
  /**
   * Seconds after an order for which a host counts as unavailable unless it reports on the order.
   */
  static final double ORDER_UNAVAILABLE_SECONDS = 10;

  /**
   * The same for a host that became unreachable after its order, if the plan continues without
   * unreachable hosts.
   */
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

  /** Restores an order that an earlier controller may have sent just now. */
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

  /** Number of orders to a host that count toward {@link RolloutPlan#maxAttempts}. */
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

  /**
   * Resets the counts of an epoch. The send times stay, because orders of earlier epochs may still
   * be executed.
   */
  void onEpochClaimed() {
    reportedFailures.clear();
    ordersInEpoch.clear();
  }

  /** Removes the last order to a host, which was not executed and does not count as an attempt. */
  void onOrderRefused(String host) {
    orderedAt.remove(host);
    orderedReleases.remove(host);
    ordersInEpoch.merge(host, -1, Integer::sum);
    attempts.computeIfPresent(host, (name, count) -> count - 1);
  }

  /** True if the failure of this attempt has not been recorded before; records it. */
  boolean isNewFailure(String host, int attempt) {
    if (reportedFailures.getOrDefault(host, 0) >= attempt) {
      return false;
    }
    reportedFailures.put(host, attempt);
    return true;
  }

  /**
   * Hosts that are changing, or that have an order on which they have not reported yet. A host that
   * became unreachable after its order may still be changing. It is unavailable until it is
   * reachable again or, if the plan continues without unreachable hosts, for {@link
   * #UNREACHABLE_UNAVAILABLE_SECONDS}.
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

  /** True if a host reports that its last order was executed or failed. */
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
