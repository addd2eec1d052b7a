package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which changed hosts are rolled back now, the most recently changed first, and why others
 * cannot be. Created for one decision of {@link Rollout}; has no side effects.
 */
final class RollbackDecision {
  private final RolloutPlan plan;
  private final FleetObservation observed;
  private final OrderLedger ledger;
  private final boolean mayOrder;
  private final Set<String> unavailable;
  private final List<RolloutPlan.Host> orders = new ArrayList<>();
  private boolean allRolledBack = true;
  private String obstacle = "";

  /**
   * @param previousReleases by host, in the order in which the hosts were changed
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
        allRolledBack = false;
        decideHost(host);
      }
    }
  }

  private void decideHost(String name) {
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

  /** Hosts that are ordered to roll back now, in this order. */
  List<RolloutPlan.Host> orders() {
    return orders;
  }

  /** True if every changed host runs its previous release again. */
  boolean isComplete() {
    return allRolledBack && unavailable.isEmpty();
  }

  /** Why a host cannot be rolled back; empty if none is blocked. */
  String obstacle() {
    return obstacle;
  }
}
