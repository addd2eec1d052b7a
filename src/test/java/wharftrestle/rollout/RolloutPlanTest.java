package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests the order in which hosts change, and which may be unavailable together. */
class RolloutPlanTest {
  static RolloutPlan plan(
      List<RolloutPlan.Host> hosts, int maxUnavailable, RolloutPlan.Stage... stages) {
    return new RolloutPlan(
        "new",
        hosts,
        List.of(stages),
        new CanaryCriteria(Map.of(CanaryMetric.LOST_WEIGHT, 0.03), 0.05, 10),
        maxUnavailable,
        2,
        60,
        RolloutPlan.UnreachablePolicy.HOLD,
        RolloutPlan.RegressionPolicy.ROLL_BACK);
  }

  static RolloutPlan.Host host(String name, String zone, String... tenants) {
    return new RolloutPlan.Host(name, zone, "127.0.0.1:1", List.of(tenants));
  }

  private static List<String> scheduledHosts(RolloutPlan plan) {
    return RolloutSchedule.of(plan).changes().stream()
        .map(change -> change.stage() + "." + change.round() + " " + change.host().name())
        .toList();
  }

  @Test
  void schedule_stagesSpreadOverZones_continueThePreviousStage() {
    RolloutPlan plan =
        plan(
            List.of(host("a1", "a"), host("a2", "a"), host("b1", "b"), host("b2", "b")),
            2,
            new RolloutPlan.Stage(1, 0, false, 1),
            new RolloutPlan.Stage(0, 0.5, true, 1),
            new RolloutPlan.Stage(0, 1, true, 1));
    assertEquals(List.of("0.0 a1", "1.0 b1", "2.0 a2", "2.0 b2"), scheduledHosts(plan));
    assertEquals(List.of(), RolloutSchedule.of(plan).unmet());
  }

  @Test
  void schedule_smallZone_changesOneHostAtATime() {
    RolloutPlan plan =
        plan(
            List.of(host("a1", "a"), host("a2", "a"), host("b1", "b")),
            2,
            new RolloutPlan.Stage(0, 1, false, 1));
    assertEquals(List.of("0.0 a1", "0.0 b1", "0.1 a2"), scheduledHosts(plan));
  }

  @Test
  void schedule_soleOwnerOfATenant_isReportedAsUnmet() {
    RolloutPlan plan =
        plan(
            List.of(host("a", "", "alone"), host("b", "", "both"), host("c", "", "both")),
            2,
            new RolloutPlan.Stage(0, 1, false, 1));
    assertEquals(
        List.of("0.0 b", "0.1 c"),
        scheduledHosts(plan),
        "the two owners of a tenant change one after the other");
    assertEquals(
        List.of("a stays as it is: no other host owns alone", "stage 1 reaches 2 of 3 hosts"),
        RolloutSchedule.of(plan).unmet());
  }

  /**
   * For any fleet, every round respects the limits on unavailable hosts, and every changeable host
   * changes exactly once.
   */
  @Property(tries = 500)
  void schedule_anyFleet_respectsLimitsAndChangesEveryHostOnce(
      @ForAll @Size(min = 1, max = 24) List<@IntRange(max = 4) Integer> zones,
      @ForAll @IntRange(min = 1, max = 5) int maxUnavailable,
      @ForAll @IntRange(max = 3) int tenants,
      @ForAll boolean spread) {
    List<RolloutPlan.Host> hosts = new ArrayList<>();
    for (int i = 0; i < zones.size(); i++) {
      hosts.add(
          host(
              "b" + i,
              zones.get(i) == 0 ? "" : "z" + zones.get(i),
              tenants == 0 ? new String[0] : new String[] {"t" + i % tenants}));
    }
    RolloutPlan plan =
        plan(
            hosts,
            maxUnavailable,
            new RolloutPlan.Stage(1, 0, spread, 1),
            new RolloutPlan.Stage(0, 0.3, spread, 1),
            new RolloutPlan.Stage(0, 1, spread, 1));
    RolloutSchedule schedule = RolloutSchedule.of(plan);
    assertEquals(
        plan.changeableHosts(),
        schedule.changes().stream().map(change -> change.host().name()).distinct().count());
    assertEquals(plan.changeableHosts(), schedule.changes().size());
    Map<String, List<RolloutSchedule.Change>> rounds =
        schedule.changes().stream()
            .collect(Collectors.groupingBy(change -> change.stage() + "." + change.round()));
    for (List<RolloutSchedule.Change> round : rounds.values()) {
      assertTrue(round.size() <= maxUnavailable);
      for (RolloutSchedule.Change change : round) {
        Set<String> others =
            round.stream()
                .filter(each -> !each.equals(change))
                .map(each -> each.host().name())
                .collect(Collectors.toSet());
        assertTrue(
            others.size() >= maxUnavailable
                || plan.blockingReason(change.host(), others).isEmpty()
                || (others.size() + 1 <= maxUnavailable
                    && plan.blockingReason(change.host(), others).contains("the plan's maximum")),
            change.host().name() + ": " + plan.blockingReason(change.host(), others));
      }
    }
  }
}
