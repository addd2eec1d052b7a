package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.rollout.CanaryAnalysis.Outcome;
import wharftrestle.simulation.RolloutSimulation;
import wharftrestle.simulation.RolloutSimulation.Judging;
import wharftrestle.simulation.RolloutSimulation.Release;
import wharftrestle.simulation.RolloutSimulation.Trouble;

/** What the judge says, of made-up windows and of whole rolls in virtual time. */
class CanaryAnalysisTest {
  private static final int BOXES = 6;
  private final SplittableRandom random = new SplittableRandom(5);
  private final CanaryAnalysis judge =
      new CanaryAnalysis(
          Map.of(CanaryMetric.LOST_WEIGHT, 0.03, CanaryMetric.FAILED, 0.03),
          List.of("save"),
          2,
          0.05);

  /**
   * So many of 200 requests of each box fail; the first {@code changed} boxes have the new release.
   */
  private void windows(
      int many, int changed, double oldFails, double newFails, double firstBoxMore) {
    for (int w = 0; w < many; w++) {
      List<HostSample> all = new ArrayList<>();
      for (int b = 0; b < BOXES; b++) {
        double part = (b < changed ? newFails : oldFails) + (b == 0 ? firstBoxMore : 0);
        long failed = 0;
        for (int i = 0; i < 200; i++) {
          failed += random.nextDouble() < part ? 1 : 0;
        }
        all.add(
            new HostSample(
                "b" + b,
                "z" + b % 2,
                b < changed,
                true,
                List.of(new HostSample.Counts("save", 200, 200 - failed, 0, 0, failed, 1, 0.2)),
                0,
                0,
                1,
                50,
                0));
      }
      judge.addWindow(all);
    }
  }

  @Test
  void nothingIsSaidBeforeAnythingWasSeen() {
    windows(20, 0, 0.02, 0, 0);
    judge.beginStage();
    assertEquals(Outcome.INCONCLUSIVE, judge.verdict().outcome());
    windows(2, 1, 0.02, 0.02, 0);
    assertEquals(Outcome.INCONCLUSIVE, judge.verdict().outcome());
  }

  @Test
  void theSameIsSaidOnceItIsSureAndWorseWhereItIs() {
    windows(20, 0, 0.02, 0, 0);
    judge.beginStage();
    windows(40, 1, 0.02, 0.02, 0);
    assertEquals(Outcome.PASS, judge.verdict().outcome(), judge.verdict().reason());
    judge.beginStage();
    windows(60, 2, 0.02, 0.07, 0);
    assertEquals(
        Outcome.FAIL,
        judge.verdict().outcome(),
        "in the second stage alone: " + judge.verdict().reason());
    assertTrue(
        judge.verdict().reason().contains("beyond the old release, surely from"),
        judge.verdict().reason());
  }

  @Test
  void aBoxThatIsWorseInAnyCaseIsNoFaultOfTheRelease() {
    windows(150, 0, 0.02, 0, 0.2);
    judge.beginStage();
    windows(150, 1, 0.02, 0.02, 0.2);
    assertEquals(Outcome.PASS, judge.verdict().outcome(), judge.verdict().reason());
  }

  @Test
  void aDriverThatFollowsNeverSawWhatIsUsualOfAChangedBoxAndTakesWhatBoxesDifferBy() {
    judge.beginStage();
    windows(60, 1, 0.02, 0.02, 0);
    assertEquals(Outcome.PASS, judge.verdict().outcome(), judge.verdict().reason());
    judge.beginStage();
    windows(80, 1, 0.02, 0.1, 0);
    assertEquals(Outcome.FAIL, judge.verdict().outcome(), judge.verdict().reason());
  }

  @Test
  void aBoxThatTakesItBackByItselfTwiceSaysEnough() {
    judge.onHostRollback("b1", "it died in its probation");
    judge.onHostRollback("b2", "it died in its probation");
    assertEquals(Outcome.INCONCLUSIVE, judge.verdict().outcome(), judge.verdict().reason());
    judge.onHostRollback("b1", "30% failed, 1% before");
    assertEquals(
        "b1 took it back by itself 2 times: 30% failed, 1% before", judge.verdict().reason());
  }

  @Test
  void twoDeathsAtOneBoxAreALoopAndDeathsOfAllBoxesAreNone() {
    judge.beginStage();
    windows(10, 3, 0.02, 0.02, 0);
    judge.onDaemonDeath("b0", true);
    judge.onDaemonDeath("b1", true);
    judge.onDaemonDeath("b4", false);
    judge.onDaemonDeath("b2", true);
    judge.onDaemonDeath("b5", false);
    assertEquals(Outcome.INCONCLUSIVE, judge.verdict().outcome(), judge.verdict().reason());
    judge.onDaemonDeath("b1", true);
    assertEquals("the new release died 2 times at b1", judge.verdict().reason());
    assertEquals(Outcome.FAIL, judge.verdict().outcome());
  }

  @Test
  void deathsOfTheNewReleaseAloneAreNoAccident() {
    windows(10, 1, 0.02, 0.02, 0);
    for (int i = 0; i < 5; i++) {
      judge.onDaemonDeath("b" + i, true);
    }
    assertEquals(Outcome.FAIL, judge.verdict().outcome());
  }

  /**
   * The bounds hold at every moment: a walk of no drift leaves them in no more walks than the error
   * allows.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.6})
  void theBoundsHoldAtEveryMoment(double tied) {
    int left = 0;
    for (int walk = 0; walk < 1000; walk++) {
      ConfidenceSequence drift = new ConfidenceSequence();
      double noise = 0;
      boolean out = false;
      for (int i = 0; i < 300; i++) {
        noise = tied * noise + gauss() * Math.sqrt(1 - tied * tied);
        drift.add(noise);
        out |= drift.mean() - drift.halfWidth(0.025) > 0;
      }
      left += out ? 1 : 0;
    }
    // The variance is estimated, from eight values on: so the error is kept to within a factor
    // where values are tied.
    assertTrue(left < (tied == 0 ? 25 : 90), left + " of 1000 walks");
  }

  private double gauss() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  @Test
  void rollsInVirtualTimeGoThroughOrAreStoppedAndTheSameSeedIsTheSamePlay() {
    RolloutSimulation.Result good =
        RolloutSimulation.play(Release.GOOD, Trouble.ZONE_LOST, Judging.SEQUENTIAL, 3);
    assertEquals(Rollout.State.COMPLETED, good.state(), good.why());
    assertEquals(
        good, RolloutSimulation.play(Release.GOOD, Trouble.ZONE_LOST, Judging.SEQUENTIAL, 3));
    RolloutSimulation.Result bad =
        RolloutSimulation.play(Release.LOSES_10, Trouble.NONE, Judging.SEQUENTIAL, 3);
    assertEquals(Rollout.State.ROLLED_BACK, bad.state(), bad.why());
    assertEquals(1, bad.most(), "stopped at the first box");
    RolloutSimulation.Result slow =
        RolloutSimulation.play(Release.GOOD, Trouble.SLOW_MACHINE, Judging.PLAIN, 3);
    assertTrue(slow.stopped(), "a plain comparison takes a slow machine for a bad release");
  }
}
