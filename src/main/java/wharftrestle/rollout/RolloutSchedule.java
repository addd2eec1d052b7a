package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A preview for operators of the order in which a plan changes hosts if no host fails, and of the
 * parts of the plan that cannot be met. {@link Rollout} does not use it: it decides from the
 * reported states.
 *
 * @param changes in order
 * @param unmet one line for each part of the plan that cannot be met
 */
public record RolloutSchedule(List<Change> changes, List<String> unmet) {

  /**
   * The change of one host.
   *
   * @param stage index of the stage, from 0
   * @param round index of the round within the stage, from 0; hosts of one round are unavailable at
   *     the same time
   * @param reason why the host is changed at this position
   */
  public record Change(int stage, int round, RolloutPlan.Host host, String reason) {}

  /** Computes the schedule of a plan. */
  public static RolloutSchedule of(RolloutPlan plan) {
    Builder builder = new Builder(plan);
    builder.reportSoleOwners();
    for (int stage = 0; stage < plan.stages().size(); stage++) {
      builder.addStage(stage);
    }
    return new RolloutSchedule(List.copyOf(builder.changes), List.copyOf(builder.unmet));
  }

  private static final class Builder {
    private final RolloutPlan plan;
    private final List<Change> changes = new ArrayList<>();
    private final List<String> unmet = new ArrayList<>();
    private final Set<String> changed = new LinkedHashSet<>();

    Builder(RolloutPlan plan) {
      this.plan = plan;
    }

    void reportSoleOwners() {
      for (RolloutPlan.Host host : plan.hosts()) {
        if (plan.isSoleOwner(host)) {
          unmet.add(
              host.name()
                  + " stays as it is: no other host owns "
                  + String.join(", ", host.tenants()));
        }
      }
    }

    void addStage(int stage) {
      int plannedTarget = plan.stages().get(stage).targetHosts(plan.hosts().size());
      int target = plan.reachableTarget(stage);
      if (plannedTarget > target) {
        unmet.add(
            "stage " + (stage + 1) + " reaches " + target + " of " + plannedTarget + " hosts");
      }
      for (int round = 0; changed.size() < target; round++) {
        if (!addRound(stage, round, target)) {
          RolloutPlan.Host blocked = plan.candidates(stage, changed).get(0);
          unmet.add(
              "stage "
                  + (stage + 1)
                  + " stops at "
                  + changed.size()
                  + " of "
                  + target
                  + " hosts: "
                  + plan.blockingReason(blocked, Set.of()));
          return;
        }
      }
    }

    /** Adds one round; false if no host may be changed. */
    private boolean addRound(int stage, int round, int target) {
      Set<String> unavailable = new LinkedHashSet<>();
      String reason =
          plan.stages().get(stage).spreadOverZones()
              ? "its zone has the lowest fraction of changed hosts"
              : "as listed";
      for (RolloutPlan.Host host : plan.candidates(stage, changed)) {
        if (changed.size() + unavailable.size() < target
            && plan.blockingReason(host, unavailable).isEmpty()) {
          unavailable.add(host.name());
          changes.add(new Change(stage, round, host, reason));
        }
      }
      changed.addAll(unavailable);
      return !unavailable.isEmpty();
    }
  }
}
