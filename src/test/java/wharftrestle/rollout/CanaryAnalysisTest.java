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

/** Tests verdicts on synthetic windows, and on whole rollouts in simulated time. */
class CanaryAnalysisTest {
  private static final int HOSTS = 6;
  private final SplittableRandom random = new SplittableRandom(5);
  private final CanaryAnalysis analysis =
      new CanaryAnalysis(
          Map.of(CanaryMetric.LOST_WEIGHT, 0.03, CanaryMetric.FAILED, 0.03),
          List.of("save"),
          2,
          0.05);

  /**
   * Adds windows in which a random part of 200 requests of each host fails. The first {@code
   * newHosts} hosts run the new release.
   */
  private void addWindows(
      int count,
      int newHosts,
      double oldFailureRate,
      double newFailureRate,
      double firstHostExtraRate) {
    for (int window = 0; window < count; window++) {
      List<HostSample> samples = new ArrayList<>();
      for (int host = 0; host < HOSTS; host++) {
        double failureRate =
            (host < newHosts ? newFailureRate : oldFailureRate)
                + (host == 0 ? firstHostExtraRate : 0);
        long failed = 0;
        for (int i = 0; i < 200; i++) {
          failed += random.nextDouble() < failureRate ? 1 : 0;
        }
        samples.add(
            new HostSample(
                "b" + host,
                "z" + host % 2,
                host < newHosts,
                true,
                List.of(new HostSample.Counts("save", 200, 200 - failed, 0, 0, failed, 1, 0.2)),
                0,
                0,
                1,
                50,
                0));
      }
      analysis.addWindow(samples);
    }
  }

  @Test
  void verdict_beforeEnoughWindows_isInconclusive() {
    addWindows(20, 0, 0.02, 0, 0);
    analysis.beginStage();
    assertEquals(Outcome.INCONCLUSIVE, analysis.verdict().outcome());
    addWindows(2, 1, 0.02, 0.02, 0);
    assertEquals(Outcome.INCONCLUSIVE, analysis.verdict().outcome());
  }

  @Test
  void verdict_lossWithinLimitThenAboveItInTheNextStage_passesThenFails() {
    addWindows(20, 0, 0.02, 0, 0);
    analysis.beginStage();
    addWindows(40, 1, 0.02, 0.02, 0);
    assertEquals(Outcome.PASS, analysis.verdict().outcome(), analysis.verdict().reason());
    analysis.beginStage();
    addWindows(60, 2, 0.02, 0.07, 0);
    assertEquals(
        Outcome.FAIL,
        analysis.verdict().outcome(),
        "in the second stage alone: " + analysis.verdict().reason());
    assertTrue(
        analysis.verdict().reason().contains("relative to the old release, bounds "),
        analysis.verdict().reason());
  }

  @Test
  void verdict_hostThatWasWorseBeforeTheChange_passes() {
    addWindows(150, 0, 0.02, 0, 0.2);
    analysis.beginStage();
    addWindows(150, 1, 0.02, 0.02, 0.2);
    assertEquals(Outcome.PASS, analysis.verdict().outcome(), analysis.verdict().reason());
  }

  @Test
  void verdict_changedHostsWithoutBaseline_usesVarianceAmongOldHosts() {
    analysis.beginStage();
    addWindows(60, 1, 0.02, 0.02, 0);
    assertEquals(Outcome.PASS, analysis.verdict().outcome(), analysis.verdict().reason());
    analysis.beginStage();
    addWindows(80, 1, 0.02, 0.1, 0);
    assertEquals(Outcome.FAIL, analysis.verdict().outcome(), analysis.verdict().reason());
  }

  @Test
  void verdict_twoRollbacksOfOneHost_fails() {
    analysis.onHostRollback("b1", "it died in its probation");
    analysis.onHostRollback("b2", "it died in its probation");
    assertEquals(Outcome.INCONCLUSIVE, analysis.verdict().outcome(), analysis.verdict().reason());
    analysis.onHostRollback("b1", "30% failed, 1% before");
    assertEquals(
        "b1 rolled the release back on its own 2 times: 30% failed, 1% before",
        analysis.verdict().reason());
  }

  @Test
  void verdict_singleDeathsOfManyHosts_isInconclusiveUntilOneHostDiesTwice() {
    analysis.beginStage();
    addWindows(10, 3, 0.02, 0.02, 0);
    analysis.onDaemonDeath("b0", true);
    analysis.onDaemonDeath("b1", true);
    analysis.onDaemonDeath("b4", false);
    analysis.onDaemonDeath("b2", true);
    analysis.onDaemonDeath("b5", false);
    assertEquals(Outcome.INCONCLUSIVE, analysis.verdict().outcome(), analysis.verdict().reason());
    analysis.onDaemonDeath("b1", true);
    assertEquals("the new release died 2 times at b1", analysis.verdict().reason());
    assertEquals(Outcome.FAIL, analysis.verdict().outcome());
  }

  @Test
  void verdict_deathsOnlyOnTheNewRelease_fails() {
    addWindows(10, 1, 0.02, 0.02, 0);
    for (int i = 0; i < 5; i++) {
      analysis.onDaemonDeath("b" + i, true);
    }
    assertEquals(Outcome.FAIL, analysis.verdict().outcome());
  }

  /**
   * The bounds are valid at every moment: sequences with a mean of zero leave them no more often
   * than the error probability allows.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0, 0.6})
  void halfWidth_sequenceWithMeanZero_leavesBoundsRarely(double correlation) {
    int sequencesOutside = 0;
    for (int walk = 0; walk < 1000; walk++) {
      ConfidenceSequence sequence = new ConfidenceSequence();
      double noise = 0;
      boolean isOutside = false;
      for (int i = 0; i < 300; i++) {
        noise = correlation * noise + standardNormal() * Math.sqrt(1 - correlation * correlation);
        sequence.add(noise);
        isOutside |= sequence.mean() - sequence.halfWidth(0.025) > 0;
      }
      sequencesOutside += isOutside ? 1 : 0;
    }
    // The variance is estimated, from as few as eight values, so that correlated values exceed the
    // error probability of 0.025 by a factor.
    assertTrue(
        sequencesOutside < (correlation == 0 ? 25 : 90), sequencesOutside + " of 1000 sequences");
  }

  private double standardNormal() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  @Test
  void simulatedRollout_goodOrBadRelease_completesOrRollsBackReproducibly() {
    RolloutSimulation.Result good =
        RolloutSimulation.play(Release.GOOD, Trouble.ZONE_LOST, Judging.SEQUENTIAL, 3);
    assertEquals(Rollout.State.COMPLETED, good.state(), good.why());
    assertEquals(
        good, RolloutSimulation.play(Release.GOOD, Trouble.ZONE_LOST, Judging.SEQUENTIAL, 3));
    RolloutSimulation.Result bad =
        RolloutSimulation.play(Release.LOSES_10, Trouble.NONE, Judging.SEQUENTIAL, 3);
    assertEquals(Rollout.State.ROLLED_BACK, bad.state(), bad.why());
    assertEquals(1, bad.most(), "stopped at the first host");
    RolloutSimulation.Result slow =
        RolloutSimulation.play(Release.GOOD, Trouble.SLOW_MACHINE, Judging.PLAIN, 3);
    assertTrue(slow.stopped(), "a plain comparison mistakes a slow machine for a bad release");
  }
}
