package wharftrestle.rollout;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** The reported states of a plan's hosts at one moment. Immutable; created for one decision. */
final class FleetObservation {
  private final RolloutPlan plan;
  private final Map<String, Rollout.ReportedState> reported;

  FleetObservation(RolloutPlan plan, Map<String, Rollout.ReportedState> reported) {
    this.plan = plan;
    this.reported = reported;
  }

  boolean isReachable(String host) {
    return reported.containsKey(host) && reported.get(host).reachable();
  }

  /** True if a host is reachable, is not changing and runs this release. */
  boolean runs(String host, String release) {
    return isReachable(host)
        && reported.get(host).settled()
        && release.equals(reported.get(host).runningRelease());
  }

  /** The last reported state of a host that has reported one. */
  Rollout.ReportedState state(String host) {
    return reported.get(host);
  }

  Set<String> unreachable() {
    return hosts(host -> !isReachable(host));
  }

  /**
   * Hosts that run the target release. An unreachable host that last reported the target release is
   * included: it was ordered to run it and is not rolled back without an order.
   */
  Set<String> changed() {
    return hosts(host -> runs(host, plan.targetRelease()) || wasLastSeenChanged(host));
  }

  private boolean wasLastSeenChanged(String host) {
    return reported.containsKey(host)
        && !isReachable(host)
        && plan.targetRelease().equals(reported.get(host).runningRelease());
  }

  private Set<String> hosts(Predicate<String> condition) {
    Set<String> names = new LinkedHashSet<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      if (condition.test(host.name())) {
        names.add(host.name());
      }
    }
    return names;
  }

  /** Hosts that this stage has yet to change. */
  List<RolloutPlan.Host> remaining(int stage) {
    Set<String> changed = changed();
    List<RolloutPlan.Host> candidates = plan.candidates(stage, changed);
    int missingHosts = plan.reachableTarget(stage) - changed.size();
    return candidates.subList(0, Math.max(0, Math.min(candidates.size(), missingHosts)));
  }

  /**
   * Why a host may not be changed now; empty if it may. A host is blocked while another host of its
   * small zone is unavailable, or while a tenant of the host has no other reachable and available
   * owner.
   */
  String blockingReason(RolloutPlan.Host host, Set<String> unavailable) {
    String blocked = plan.blockingReason(host, unavailable);
    if (!blocked.isEmpty()) {
      return blocked;
    }
    Set<String> absent = unreachable();
    absent.addAll(unavailable);
    return plan.unservedTenant(host, absent)
        .map(tenant -> "no other reachable host owns " + tenant)
        .orElse("");
  }
}
