package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which changed hosts are rolled back now, newest first, and what keeps the rest. Made for one
 * decision of {@link Rollout}; it changes nothing itself.
 */
final class RollbackDecision {
  private final RolloutPlan plan;
  private final FleetObservation observed;
  private final OrderLedger ledger;
  private final boolean mayOrder;
  private final Set<String> unavailable;
  private final List<RolloutPlan.Host> orders = new ArrayList<>();
  private boolean isEveryHostBack = true;
  private String obstacle = "";

  /**
   * @param previousReleases by host, in the order in which hosts were changed
   */
  RollbackDecision(
      RolloutPlan plan,
      Map<String, String> previousReleases,
      FleetObservation observed,
      OrderLedger ledger,
      boolean mayOrder,
      double now) {
    this.plan = plan;
    this.observed = observed;
    this.ledger = ledger;
    this.mayOrder = mayOrder;
    unavailable = ledger.unavailable(observed, now);
    List<String> newestFirst = new ArrayList<>(previousReleases.keySet());
    Collections.reverse(newestFirst);
    for (String host : newestFirst) {
      if (!observed.runs(host, previousReleases.get(host))) {
        isEveryHostBack = false;
        consider(host);
      }
    }
  }

  private void consider(String name) {
    RolloutPlan.Host host = plan.host(name);
    if (!observed.isReachable(name)) {
      obstacle = name + " cannot be reached, and is rolled back once it is";
    } else if (mayBeOrdered(host)) {
      orders.add(host);
      unavailable.add(name);
    } else if (!ledger.hasAttemptsLeft(name) && !unavailable.contains(name)) {
      obstacle = name + " could not be rolled back in " + ledger.attempts(name) + " attempts";
    }
  }

  private boolean mayBeOrdered(RolloutPlan.Host host) {
    return mayOrder
        && !unavailable.contains(host.name())
        && ledger.hasAttemptsLeft(host.name())
        && observed.blockingReason(host, unavailable).isEmpty();
  }

  /** Hosts that are ordered back now, in this order. */
  List<RolloutPlan.Host> orders() {
    return orders;
  }

  /** True if every changed host runs what it ran before. */
  boolean isComplete() {
    return isEveryHostBack && unavailable.isEmpty();
  }

  /** What keeps a host from being rolled back; empty for nothing. */
  String obstacle() {
    return obstacle;
  }
}
