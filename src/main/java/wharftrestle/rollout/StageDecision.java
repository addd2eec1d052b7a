package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Which hosts of a stage are ordered to change now, and what keeps the rest. Made for one decision
 * of {@link Rollout}; it changes nothing itself.
 */
final class StageDecision {
  /** Hosts whose attempts are spent, after which no further host is tried. */
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
    int mostUnavailable = Math.min(plan.maxUnavailable(), remaining.size());
    for (RolloutPlan.Host host : candidates) {
      // Guards against trying a release that cannot go anywhere at every host of the fleet.
      if (failedHosts >= MAX_FAILED_HOSTS) {
        return;
      }
      if (unavailable.size() >= mostUnavailable) {
        isWaiting = true;
        return;
      }
      consider(host);
    }
  }

  private void consider(RolloutPlan.Host host) {
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

  private void noteObstacle(String next) {
    obstacle = obstacle.isEmpty() ? next : obstacle;
  }

  /** Nothing is awaited of hosts that were ordered and cannot be reached since. */
  private void noteUnreachableOrdered() {
    Set<String> unreachableOrdered = new LinkedHashSet<>(unavailable);
    unreachableOrdered.retainAll(unreachable);
    if (!unreachableOrdered.isEmpty() && unreachableOrdered.size() == unavailable.size()) {
      isWaiting = false;
      noteObstacle(
          String.join(", ", unreachableOrdered) + " was ordered and cannot be reached since");
    }
  }

  /** Hosts that are ordered now, in this order. */
  List<RolloutPlan.Host> orders() {
    return orders;
  }

  /** True if no host of the stage has to be changed any more, and none is changing. */
  boolean isComplete() {
    return remaining.isEmpty() && unavailable.isEmpty();
  }

  /** True if so many hosts have failed that the release is not tried any further. */
  boolean isFailed() {
    return failedHosts >= MAX_FAILED_HOSTS && unavailable.isEmpty();
  }

  /** True if the stage cannot go on by itself. */
  boolean isBlocked() {
    return !remaining.isEmpty() && !isWaiting && !obstacle.isEmpty();
  }

  /** True if every host that is left to change cannot be reached. */
  boolean onlyUnreachableRemain() {
    return remaining.stream().allMatch(host -> unreachable.contains(host.name()));
  }

  int failedHosts() {
    return failedHosts;
  }

  /** What keeps the stage; empty for nothing. */
  String obstacle() {
    return obstacle;
  }
}
