package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which hosts of a stage are ordered to change now, and why others cannot be. Created for
 * one decision of {@link Rollout}; has no side effects.
 */
final class StageDecision {
  /** Number of hosts without attempts left at which no further host is changed. */
  private static final int MAX_FAILED_HOSTS = 2;

  private final RolloutPlan plan;
  private final FleetObservation observed;
  private final OrderLedger ledger;
  private final boolean mayOrder;
  private final List<RolloutPlan.Host> remaining;
  private final Set<String> unavailable;
  private final Set<String> unreachable;
  private final List<RolloutPlan.Host> orders = new ArrayList<>();
  private boolean isWaiting;
  private String obstacle = "";
  private int failedHosts;

  StageDecision(
      RolloutPlan plan,
      int stage,
      FleetObservation observed,
      OrderLedger ledger,
      boolean mayOrder,
      double now) {
    this.plan = plan;
    this.observed = observed;
    this.ledger = ledger;
    this.mayOrder = mayOrder;
    remaining = observed.remaining(stage);
    unavailable = ledger.unavailable(observed, now);
    unreachable = observed.unreachable();
    if (!remaining.isEmpty()) {
      chooseOrders(plan.candidates(stage, observed.changed()));
      noteUnreachableOrdered();
    }
  }

  private void chooseOrders(List<RolloutPlan.Host> candidates) {
    int maxUnavailableHosts = Math.min(plan.maxUnavailable(), remaining.size());
    for (RolloutPlan.Host host : candidates) {
      // A release that no host can run would otherwise fail on every host of the fleet in turn.
      if (failedHosts >= MAX_FAILED_HOSTS) {
        return;
      }
      if (unavailable.size() >= maxUnavailableHosts) {
        isWaiting = true;
        return;
      }
      decideHost(host);
    }
  }

  private void decideHost(RolloutPlan.Host host) {
    String name = host.name();
    if (unavailable.contains(name)) {
      isWaiting = true;
    } else if (unreachable.contains(name)) {
      noteObstacle(name + " cannot be reached");
    } else if (!ledger.hasAttemptsLeft(name)) {
      failedHosts++;
      obstacle =
          name + " failed " + ledger.attempts(name) + " times: " + observed.state(name).failure();
    } else if (!mayOrder) {
      isWaiting = true;
    } else {
      orderUnlessBlocked(host);
    }
  }

  private void orderUnlessBlocked(RolloutPlan.Host host) {
    String blocked = observed.blockingReason(host, unavailable);
    if (blocked.isEmpty()) {
      orders.add(host);
      unavailable.add(host.name());
      isWaiting = true;
    } else if (unavailable.isEmpty()) {
      noteObstacle(host.name() + ": " + blocked);
    } else {
      isWaiting = true;
    }
  }

  private void noteObstacle(String newObstacle) {
    obstacle = obstacle.isEmpty() ? newObstacle : obstacle;
  }

  /** Stops waiting if every unavailable host became unreachable after its order. */
  private void noteUnreachableOrdered() {
    Set<String> unreachableOrdered = new LinkedHashSet<>(unavailable);
    unreachableOrdered.retainAll(unreachable);
    if (!unreachableOrdered.isEmpty() && unreachableOrdered.size() == unavailable.size()) {
      isWaiting = false;
      noteObstacle(
          String.join(", ", unreachableOrdered) + " cannot be reached since the last order");
    }
  }

  /** Hosts that are ordered to change now, in this order. */
  List<RolloutPlan.Host> orders() {
    return orders;
  }

  /** True if every host of the stage has been changed and none is changing. */
  boolean isComplete() {
    return remaining.isEmpty() && unavailable.isEmpty();
  }

  /** True if {@link #MAX_FAILED_HOSTS} hosts have failed and none is changing. */
  boolean isFailed() {
    return failedHosts >= MAX_FAILED_HOSTS && unavailable.isEmpty();
  }

  /** True if the stage cannot progress unless the state of a host changes. */
  boolean isBlocked() {
    return !remaining.isEmpty() && !isWaiting && !obstacle.isEmpty();
  }

  /** True if none of the hosts that remain to be changed can be reached. */
  boolean onlyUnreachableRemain() {
    return remaining.stream().allMatch(host -> unreachable.contains(host.name()));
  }

  int failedHosts() {
    return failedHosts;
  }

  /** Why the stage does not progress; empty if it is not blocked. */
  String obstacle() {
    return obstacle;
  }
}
