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

/** Which box goes when, and who may be away together. */
class RolloutPlanTest {
  static RolloutPlan plan(List<RolloutPlan.Host> boxes, int mostAway, RolloutPlan.Stage... stages) {
    return new RolloutPlan(
        "new",
        boxes,
        List.of(stages),
        new CanaryCriteria(Map.of(CanaryMetric.LOST_WEIGHT, 0.03), 0.05, 10),
        mostAway,
        2,
        60,
        RolloutPlan.UnreachablePolicy.HOLD,
        RolloutPlan.RegressionPolicy.ROLL_BACK);
  }

  static RolloutPlan.Host box(String name, String zone, String... tenants) {
    return new RolloutPlan.Host(name, zone, "127.0.0.1:1", List.of(tenants));
  }

  private static List<String> names(RolloutPlan plan) {
    return RolloutSchedule.of(plan).changes().stream()
        .map(turn -> turn.stage() + "." + turn.round() + " " + turn.host().name())
        .toList();
  }

  @Test
  void stagesGoOnFromEachOtherAndSpreadOverZones() {
    RolloutPlan plan =
        plan(
            List.of(box("a1", "a"), box("a2", "a"), box("b1", "b"), box("b2", "b")),
            2,
            new RolloutPlan.Stage(1, 0, false, 1),
            new RolloutPlan.Stage(0, 0.5, true, 1),
            new RolloutPlan.Stage(0, 1, true, 1));
    assertEquals(List.of("0.0 a1", "1.0 b1", "2.0 a2", "2.0 b2"), names(plan));
    assertEquals(List.of(), RolloutSchedule.of(plan).unmet());
  }

  @Test
  void twoOfASmallZoneNeverGoTogether() {
    RolloutPlan plan =
        plan(
            List.of(box("a1", "a"), box("a2", "a"), box("b1", "b")),
            2,
            new RolloutPlan.Stage(0, 1, false, 1));
    assertEquals(List.of("0.0 a1", "0.0 b1", "0.1 a2"), names(plan));
  }

  @Test
  void theLastOwnerOfATenantStaysAsItIsAndThePlanSaysSo() {
    RolloutPlan plan =
        plan(
            List.of(box("a", "", "alone"), box("b", "", "both"), box("c", "", "both")),
            2,
            new RolloutPlan.Stage(0, 1, false, 1));
    assertEquals(
        List.of("0.0 b", "0.1 c"),
        names(plan),
        "and the two owners of one tenant go one after the other");
    assertEquals(
        List.of("a stays as it is: no other host owns alone", "stage 1 reaches 2 of 3 hosts"),
        RolloutSchedule.of(plan).unmet());
  }

  /** Whatever the fleet, every round keeps the rules, and every box that may go goes once. */
  @Property(tries = 500)
  void everyRoundKeepsTheRules(
      @ForAll @Size(min = 1, max = 24) List<@IntRange(max = 4) Integer> zones,
      @ForAll @IntRange(min = 1, max = 5) int mostAway,
      @ForAll @IntRange(max = 3) int tenants,
      @ForAll boolean spread) {
    List<RolloutPlan.Host> boxes = new ArrayList<>();
    for (int i = 0; i < zones.size(); i++) {
      boxes.add(
          box(
              "b" + i,
              zones.get(i) == 0 ? "" : "z" + zones.get(i),
              tenants == 0 ? new String[0] : new String[] {"t" + i % tenants}));
    }
    RolloutPlan plan =
        plan(
            boxes,
            mostAway,
            new RolloutPlan.Stage(1, 0, spread, 1),
            new RolloutPlan.Stage(0, 0.3, spread, 1),
            new RolloutPlan.Stage(0, 1, spread, 1));
    RolloutSchedule order = RolloutSchedule.of(plan);
    assertEquals(
        plan.changeableHosts(),
        order.changes().stream().map(turn -> turn.host().name()).distinct().count());
    assertEquals(plan.changeableHosts(), order.changes().size());
    Map<String, List<RolloutSchedule.Change>> rounds =
        order.changes().stream()
            .collect(Collectors.groupingBy(turn -> turn.stage() + "." + turn.round()));
    for (List<RolloutSchedule.Change> round : rounds.values()) {
      assertTrue(round.size() <= mostAway);
      for (RolloutSchedule.Change turn : round) {
        Set<String> others =
            round.stream()
                .filter(each -> !each.equals(turn))
                .map(each -> each.host().name())
                .collect(Collectors.toSet());
        assertTrue(
            others.size() >= mostAway
                || plan.blockingReason(turn.host(), others).isEmpty()
                || (others.size() + 1 <= mostAway
                    && plan.blockingReason(turn.host(), others).contains("which is the most")),
            turn.host().name() + ": " + plan.blockingReason(turn.host(), others));
      }
    }
  }
}
