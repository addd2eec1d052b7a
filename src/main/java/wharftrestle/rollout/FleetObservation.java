package wharftrestle.rollout;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What the hosts of a plan report at one moment. Immutable; made for one decision. */
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

  /** True if a host is reachable, no change is going on, and its daemon is this release. */
  boolean runs(String host, String release) {
    return isReachable(host)
        && reported.get(host).settled()
        && release.equals(reported.get(host).runningRelease());
  }

  /** What a reachable host reports. */
  Rollout.ReportedState state(String host) {
    return reported.get(host);
  }

  Set<String> unreachable() {
    return hosts(host -> !isReachable(host));
  }

  /**
   * Hosts that run the target release. One that cannot be reached and was seen with it counts: it
   * was ordered to run it, and nobody rolls it back unasked.
   */
  Set<String> changed() {
    return hosts(host -> runs(host, plan.targetRelease()) || wasLastSeenChanged(host));
  }

  private boolean wasLastSeenChanged(String host) {
    return reported.containsKey(host)
        && !isReachable(host)
        && plan.targetRelease().equals(reported.get(host).runningRelease());
  }

  private Set<String> hosts(Predicate<String> which) {
    Set<String> names = new LinkedHashSet<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      if (which.test(host.name())) {
        names.add(host.name());
      }
    }
    return names;
  }

  /** Hosts that a stage still has to change. */
  List<RolloutPlan.Host> remaining(int stage) {
    Set<String> changed = changed();
    List<RolloutPlan.Host> candidates = plan.candidates(stage, changed);
    int missing = plan.reachableTarget(stage) - changed.size();
    return candidates.subList(0, Math.max(0, Math.min(candidates.size(), missing)));
  }

  /**
   * Why a host may not go now; empty if it may. None of a tenant or a small zone goes while others
   * of it are unavailable, or while no owner of the tenant can be reached.
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
