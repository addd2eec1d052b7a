package wharftrestle.rollout.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import wharftrestle.rollout.CanaryMetric;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.rollout.RolloutSchedule;
import wharftrestle.settings.BadSettingsException;

/** Tests reading of a plan's script and the error messages for invalid ones. */
class PlanScriptTest {
  private static final String HOST = "box(\"b1\", zone = \"a\", keeper = \"127.0.0.1:7501\")\n";

  @Test
  void parse_planWithDefaults_isRead() throws Exception {
    PlanScript script =
        PlanScript.parse(
            "p.star",
            HOST
                + """
box("b2", zone = "b", keeper = "127.0.0.1:7502", tenants = ["omaruru"], front = "127.0.0.1:9002")
change(to = "2026-12-08", stages = [stage(boxes = 1, hold = 120), stage(share = 1, spread = "zone")],
       worse = [worth(0.02), cpu()], most_away = 2, when_cut = "go", when_worse = "hold")
""");
    RolloutPlan plan = script.plan();
    assertEquals(
        List.of(new RolloutPlan.Stage(1, 0, false, 120), new RolloutPlan.Stage(0, 1, true, 60)),
        plan.stages());
    assertEquals(
        Map.of(CanaryMetric.LOST_WEIGHT, 0.02, CanaryMetric.CPU, 0.5), plan.criteria().limits());
    assertEquals(List.of("omaruru"), plan.host("b2").tenants());
    assertEquals(Map.of("b2", "127.0.0.1:9002"), script.clientAddresses());
    assertEquals(RolloutPlan.UnreachablePolicy.CONTINUE, plan.unreachablePolicy());
    assertEquals(RolloutPlan.RegressionPolicy.HOLD, plan.regressionPolicy());
    assertEquals(100, script.observationSeconds(), "eight windows of 10 s and a margin of 20 s");
    assertTrue(
        script
            .warnings(150)
            .get(0)
            .startsWith("stage 1 holds 120 s, less than the longest idempotency window"));
  }

  @Test
  void parse_planWithoutMetrics_comparesAllMetrics() throws Exception {
    RolloutPlan plan =
        PlanScript.parse("p.star", HOST + "change(to = \"x\", stages = [stage(boxes = 1)])").plan();
    assertEquals(CanaryMetric.values().length, plan.criteria().limits().size());
  }

  @Test
  void parse_invalidPlan_isRejectedWithPosition() {
    String[][] cases = {
      {"", "p.star: has no change(to = ..., stages = [...])"},
      {
        "change(to = \"x\", stages = [stage(boxes = 1)])",
        "p.star:1:1: there is no box: name each with box(name, zone, " + "keeper)"
      },
      {HOST + "change(stages = [stage(boxes = 1)])", "p.star:2:1: change needs to"},
      {
        HOST + "change(to = \"x\", stages = [])",
        "p.star:2:27: change.stages: expected one at least"
      },
      {
        HOST + "change(to = \"x\", stages = [1])",
        "p.star:2:27: change.stages: expected stages, such as stage(boxes = 1, hold = 120), got 1"
      },
      {
        HOST + "change(to = \"x\", stages = [stage()])",
        "p.star:2:28: stage needs boxes or share, and not both"
      },
      {
        HOST + "change(to = \"x\", stages = [stage(share = 1.5)])",
        "p.star:2:42: stage.share: expected a number from 1.0E-6 to 1.0, got 1.5"
      },
      {
        HOST + "change(to = \"x\", stages = [stage(boxes = 1), stage(share = 0.5)])",
        "p.star:2:27: change.stages: a stage of 1 hosts comes after one of 1, expected more"
      },
      {
        HOST + "change(to = \"x\", stages = [stage(boxes = 1)], worse = [failed(2)])",
        "p.star:2:63: failed.limit: expected a number from 1.0E-4 to 1.0, got 2"
      },
      {
        HOST + "change(to = \"x\", stages = [stage(boxes = 1)], when_cut = \"stop\")",
        "p.star:2:58: change.when_cut: expected \"hold\" or \"go\", got stop"
      },
      {
        HOST + "change(to = \"x\", stages = [stage(boxes = 1)], watch = 3)",
        "p.star:2:55: change.watch: expected 8 windows at least, or nothing can be compared: 80.0 s"
      },
      {HOST + HOST, "p.star:2:1: box b1 is defined twice"},
      {
        HOST + "box(\"b2\", keeper = \"127.0.0.1:7501\")",
        "p.star:2:20: box.keeper: 127.0.0.1:7501 is used by another box"
      },
      {
        "box(\"b1\", keeper = \"keeper.example.org:1\")",
        "p.star:1:20: box.keeper: expected an address as \"HOST:PORT\", "
            + "with a numeric host, got keeper.example.org:1"
      },
    };
    for (String[] scriptAndMessage : cases) {
      BadSettingsException e =
          assertThrows(
              BadSettingsException.class,
              () -> PlanScript.parse("p.star", scriptAndMessage[0]),
              scriptAndMessage[0]);
      assertEquals(scriptAndMessage[1], e.getMessage());
    }
  }

  @Test
  void schedule_ofTheExamplePlan_hasNothingUnmet() throws Exception {
    RolloutPlan plan = PlanScript.read(Path.of("docs/examples/roll.star")).plan();

    RolloutSchedule schedule = RolloutSchedule.of(plan);

    assertEquals(List.of(), schedule.unmet());
    assertEquals(6, schedule.changes().size());
  }
}
