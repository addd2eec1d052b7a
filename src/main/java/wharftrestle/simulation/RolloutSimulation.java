package wharftrestle.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import wharftrestle.admission.Admission;
import wharftrestle.rollout.CanaryAnalysis;
import wharftrestle.rollout.CanaryCriteria;
import wharftrestle.rollout.CanaryMetric;
import wharftrestle.rollout.HostSample;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;

/**
 * Simulates one rollout with the real rollout logic, canary analysis and admission control on a
 * simulated fleet. Whether the new release is worse, and which fault occurs meanwhile, is known, so
 * the verdict can be checked.
 */
public final class RolloutSimulation {

  /** The new release. */
  public enum Release {
    /** Not worse than the old release. */
    GOOD,
    /** Fails 3% of requests of every class. */
    LOSES_3,
    /** Fails 5%, and 10%. */
    LOSES_5,
    LOSES_10,
    /** Fails 30% of the class with the largest weight. */
    FAILS_A_CLASS,
    /** Fails 2% of the class with the largest weight, and needs 10% less work. */
    MIXED,
    /** Needs 50% more work. */
    SLOWER,
    /** Refuses 10% of requests. */
    REFUSES,
    /** Fails 10%, from two minutes after its start. */
    LATE_FAULT,
    /**
     * Fails 10% once more than half of the hosts have it; its plan has a stage just beyond that.
     */
    OVER_HALF,
    /** Crashes nine seconds after each start. */
    CRASHES,
    /** Leaks 20 MB a minute. */
    LEAKS
  }

  /** A fault that is not caused by the release, during the first stage. */
  public enum Trouble {
    NONE,
    /** The machine of the first host is 30% slower throughout. */
    SLOW_MACHINE,
    /** The machine of the first host is slower for a minute. */
    SLOWED,
    /** A zone is unreachable for 20 s, and its hosts restart cold. */
    ZONE_LOST,
    /** The store is five times slower for a minute. */
    STORE_SLOW,
    /** 30% more requests for 40 s. */
    BURST,
    /** Clients prefer less loaded hosts, and so restarted ones, which are idle at first. */
    SHIFT,
    /** All refused requests are retried on another host. */
    RETRIES,
    /** Half of the fleet restarts cold with the old release. */
    HALF_COLD
  }

  /** How the new release is compared with the old one. */
  public enum Judging {
    /** The canary analysis of the daemon: sequential. */
    SEQUENTIAL,
    /**
     * Difference of the means since the stage began, against a fixed bound at the end of the hold.
     */
    PLAIN
  }

  /**
   * Result of a simulation.
   *
   * @param most largest number of hosts that had the new release at once
   * @param verdictAt seconds from the first host with the new release to the rollback; negative for
   *     never
   */
  public record Result(
      Rollout.State state, String why, int most, double verdictAt, double minutes) {
    /** Whether the rollout was stopped because the new release is worse. */
    public boolean stopped() {
      return why.matches("stage [0-9]+ does worse: .*");
    }
  }

  private static final double WINDOW_SECONDS = 10;
  private static final double BASELINE_SECONDS = 300;
  private static final double MAX_SECONDS = 3 * 3600;
  private static final double CHANGE_SECONDS = 2;
  private static final double WARM_UP_SECONDS = 25;

  /** Bound of the plain comparison: half way between no loss and a loss of 3%. */
  private static final double PLAIN_LOSS_BOUND = 0.015;

  private static final double NEVER_SECONDS = 1e9;
  private static final String OLD_RELEASE = "old";
  private static final String NEW_RELEASE = "new";

  private final SimulatedFleet fleet;
  private final RolloutPlan plan;
  private final Release release;
  private final Trouble trouble;
  private final Judging judging;
  private final Map<String, String> activeReleases = new HashMap<>();
  private final Map<String, String> targetReleases = new HashMap<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, String> failureReasons = new HashMap<>();
  private final Map<String, Double> changingUntil = new HashMap<>();
  private final Map<String, Double> changedAt = new HashMap<>();
  private final Map<String, Integer> previousGenerations = new HashMap<>();
  private final Map<String, double[]> previousCounts = new HashMap<>();
  private final Map<String, Double> generationSeenAt = new HashMap<>();
  private final SplittableRandom random;
  private double plainLoss;
  private long plainWindows;
  private CanaryAnalysis analysis;
  private Rollout rollout;
  private double firstNewAt = -1;
  private double troubleStartedAt = -1;
  private int maxNewHosts;

  private RolloutSimulation(Release release, Trouble trouble, Judging judging, long seed) {
    this.release = release;
    this.trouble = trouble;
    this.judging = judging;
    random = new SplittableRandom(seed ^ 0x5eed);
    SimulatedFleet.Site usual = SimulatedFleet.Site.usual();
    fleet =
        new SimulatedFleet(
            new SimulatedFleet.Site(
                usual.hosts(),
                usual.zones(),
                usual.requestsPerSecond(),
                usual.utilization(),
                trouble == Trouble.RETRIES ? 1 : usual.retryProbability(),
                trouble == Trouble.SHIFT ? 0.7 : 0),
            seed);
    Map<CanaryMetric, Double> limits = new LinkedHashMap<>();
    for (CanaryMetric measure : CanaryMetric.values()) {
      limits.put(measure, measure.defaultLimit());
    }
    List<RolloutPlan.Host> hosts =
        fleet.hosts.stream()
            .map(host -> new RolloutPlan.Host(host.name, host.zone, "", List.of()))
            .toList();
    List<RolloutPlan.Stage> stages =
        new ArrayList<>(
            List.of(
                new RolloutPlan.Stage(1, 0, false, 120),
                new RolloutPlan.Stage(0, 0.25, true, 120),
                new RolloutPlan.Stage(0, 1, true, 60)));
    if (release == Release.OVER_HALF) {
      stages.add(2, new RolloutPlan.Stage(0, 0.6, true, 120));
    }
    plan =
        new RolloutPlan(
            NEW_RELEASE,
            hosts,
            stages,
            new CanaryCriteria(limits, 0.05, WARM_UP_SECONDS),
            2,
            2,
            1800,
            RolloutPlan.UnreachablePolicy.HOLD,
            RolloutPlan.RegressionPolicy.ROLL_BACK);
    hosts.forEach(host -> activeReleases.put(host.name(), OLD_RELEASE));
  }

  /** Simulates one rollout to its end. */
  public static Result play(Release release, Trouble trouble, Judging judging, long seed) {
    return new RolloutSimulation(release, trouble, judging, seed).play();
  }

  private SimulatedHost.Defects defects(String releaseName) {
    int classes = fleet.settings.classes().size();
    double[] failureProbabilities = new double[classes];
    SimulatedHost.Defects none = SimulatedHost.Defects.none(classes);
    if (releaseName.equals(OLD_RELEASE)) {
      return none;
    }
    switch (release) {
      case LOSES_3 -> Arrays.fill(failureProbabilities, 0.03);
      case LOSES_5 -> Arrays.fill(failureProbabilities, 0.05);
      case LOSES_10, LATE_FAULT, OVER_HALF -> Arrays.fill(failureProbabilities, 0.1);
      case FAILS_A_CLASS -> failureProbabilities[classes - 1] = 0.3;
      case MIXED -> failureProbabilities[classes - 1] = 0.02;
      default -> {}
    }
    return switch (release) {
      case GOOD -> none;
      case MIXED -> new SimulatedHost.Defects(-0.1, failureProbabilities, 0, 0, 0, 0);
      case SLOWER -> new SimulatedHost.Defects(0.5, failureProbabilities, 0, 0, 0, 0);
      case REFUSES -> new SimulatedHost.Defects(0, failureProbabilities, 0.1, 0, 0, 0);
      case LATE_FAULT -> new SimulatedHost.Defects(0, failureProbabilities, 0, 0, 0, 120);
      case OVER_HALF -> new SimulatedHost.Defects(0, failureProbabilities, 0, 0, 0, NEVER_SECONDS);
      case CRASHES -> new SimulatedHost.Defects(0, failureProbabilities, 0, 9, 0, 0);
      case LEAKS -> new SimulatedHost.Defects(0, failureProbabilities, 0, 0, 20, 0);
      default -> new SimulatedHost.Defects(0, failureProbabilities, 0, 0, 0, 0);
    };
  }

  private Result play() {
    analysis =
        new CanaryAnalysis(
            plan.criteria().limits(),
            fleet.settings.classes().stream().map(Admission.RequestClass::name).toList(),
            plan.stages().size(),
            plan.criteria().errorProbability());
    if (trouble == Trouble.SLOW_MACHINE) {
      fleet.hosts.get(0).setSpeedFactor(0.7);
    }
    double now = 0;
    double windowAt = 0;
    double verdictAt = -1;
    while (now < MAX_SECONDS
        && (rollout == null
            || (!rollout.state().isFinal() && rollout.state() != Rollout.State.HELD))) {
      now += 1;
      fleet.eventQueue.runTo(now);
      runSupervisors(now);
      if (now - windowAt >= WINDOW_SECONDS) {
        windowAt = now;
        addWindow(now);
      }
      if (now >= BASELINE_SECONDS) {
        if (rollout == null) {
          rollout = new Rollout(plan, now);
        }
        injectTrouble(now);
        apply(rollout.tick(reportedStates(), verdict(now), true, now), now);
      }
      long newHosts = activeReleases.values().stream().filter(NEW_RELEASE::equals).count();
      if (release == Release.OVER_HALF && newHosts * 2 > fleet.hosts.size()) {
        fleet.hosts.stream()
            .filter(host -> activeReleases.get(host.name).equals(NEW_RELEASE))
            .forEach(SimulatedHost::showDefects);
      }
      maxNewHosts =
          Math.max(
              maxNewHosts,
              (int) activeReleases.values().stream().filter(NEW_RELEASE::equals).count());
      if (verdictAt < 0 && rollout != null && rollout.state() == Rollout.State.ROLLING_BACK) {
        verdictAt = now - firstNewAt;
      }
    }
    return new Result(rollout.state(), rollout.reason(), maxNewHosts, verdictAt, now / 60);
  }

  private CanaryAnalysis.Verdict verdict(double now) {
    CanaryAnalysis.Verdict sequential = analysis.verdict();
    if (judging == Judging.SEQUENTIAL) {
      return sequential;
    }
    boolean held =
        rollout.state() == Rollout.State.OBSERVING
            && rollout.secondsInState(now) >= plan.stages().get(rollout.stage()).holdSeconds() - 1;
    if (!held || plainWindows == 0) {
      return new CanaryAnalysis.Verdict(
          CanaryAnalysis.Outcome.INCONCLUSIVE, "the hold is not over");
    }
    double loss = plainLoss / plainWindows;
    return loss > PLAIN_LOSS_BOUND
        ? new CanaryAnalysis.Verdict(CanaryAnalysis.Outcome.FAIL, "mean loss " + loss)
        : new CanaryAnalysis.Verdict(CanaryAnalysis.Outcome.PASS, "mean loss " + loss);
  }

  // ---- Supervisors, as far as a rollout sees them ----

  private void runSupervisors(double now) {
    for (SimulatedHost host : fleet.hosts) {
      Double endsAt = changingUntil.get(host.name);
      if (endsAt != null && now >= endsAt) {
        changingUntil.remove(host.name);
        String newRelease = targetReleases.get(host.name);
        activeReleases.put(host.name, newRelease);
        changedAt.put(host.name, now);
        host.start(defects(newRelease), false);
        firstNewAt = firstNewAt < 0 && newRelease.equals(NEW_RELEASE) ? now : firstNewAt;
      }
      if (!host.alive() && endsAt == null && fleet.reachable(host)) {
        boolean onProbation =
            now - changedAt.getOrDefault(host.name, -1e9) < 60
                && activeReleases.get(host.name).equals(NEW_RELEASE);
        analysis.onDaemonDeath(host.name, activeReleases.get(host.name).equals(NEW_RELEASE));
        if (onProbation) {
          activeReleases.put(host.name, OLD_RELEASE);
          failureReasons.put(host.name, "it died in its probation");
        }
        host.start(defects(activeReleases.get(host.name)), false);
      }
    }
  }

  private Map<String, Rollout.ReportedState> reportedStates() {
    Map<String, Rollout.ReportedState> all = new LinkedHashMap<>();
    for (SimulatedHost host : fleet.hosts) {
      all.put(
          host.name,
          new Rollout.ReportedState(
              fleet.reachable(host),
              activeReleases.get(host.name),
              !changingUntil.containsKey(host.name) && host.alive(),
              targetReleases.getOrDefault(host.name, ""),
              attempts.getOrDefault(host.name, 0),
              failureReasons.getOrDefault(host.name, "")));
    }
    return all;
  }

  private void apply(List<Rollout.Action> actions, double now) {
    for (Rollout.Action action : actions) {
      if (action instanceof Rollout.Action.Order order) {
        targetReleases.put(order.host(), order.release());
        attempts.merge(order.host(), 1, Integer::sum);
        failureReasons.remove(order.host());
        changingUntil.put(order.host(), now + CHANGE_SECONDS * (0.5 + random.nextDouble()));
      } else if (action instanceof Rollout.Action.BeginStage) {
        analysis.beginStage();
        plainLoss = 0;
        plainWindows = 0;
      } else if (action instanceof Rollout.Action.ClaimEpoch) {
        rollout.onEpochClaimed();
        targetReleases.clear();
        attempts.clear();
      }
    }
  }

  // ---- Samples of the canary analysis ----

  private void addWindow(double now) {
    List<HostSample> samples = new ArrayList<>();
    double[] weightedLoss =
        new double
            [4]; // weighted loss and weighted requests of the new release, then of the old one
    for (SimulatedHost host : fleet.hosts) {
      SimulatedHost.Tally tally = host.tally();
      int classes = tally.received.length;
      double[] counts = new double[classes * 5 + 4];
      for (int i = 0; i < classes; i++) {
        counts[i * 5] = tally.served[i] + tally.refused[i] + tally.failed[i];
        counts[i * 5 + 1] = tally.served[i];
        counts[i * 5 + 2] = tally.late[i];
        counts[i * 5 + 3] = tally.refused[i];
        counts[i * 5 + 4] = tally.failed[i];
      }
      counts[classes * 5] = tally.calls;
      counts[classes * 5 + 1] = tally.failedCalls;
      counts[classes * 5 + 2] = tally.cpu;
      counts[classes * 5 + 3] = host.memoryMb(now);
      double[] last = previousCounts.put(host.name, counts);
      Integer generation = previousGenerations.put(host.name, host.generation());
      if (last == null || generation == null || generation != host.generation()) {
        generationSeenAt.put(host.name, now);
        continue;
      }
      boolean steady =
          host.alive()
              && fleet.reachable(host)
              && now - WINDOW_SECONDS - generationSeenAt.getOrDefault(host.name, -1e9)
                  >= WARM_UP_SECONDS
              && !changingUntil.containsKey(host.name);
      boolean changed = activeReleases.get(host.name).equals(NEW_RELEASE);
      List<HostSample.Counts> all = new ArrayList<>();
      for (int i = 0; i < classes; i++) {
        Admission.RequestClass requestClass = fleet.settings.classes().get(i);
        long[] delta = new long[5];
        for (int k = 0; k < 5; k++) {
          delta[k] = Math.round(counts[i * 5 + k] - last[i * 5 + k]);
        }
        all.add(
            new HostSample.Counts(
                requestClass.name(),
                delta[0],
                delta[1],
                delta[2],
                delta[3],
                delta[4],
                requestClass.weight(),
                requestClass.weightAfterObjective()));
        if (steady) {
          weightedLoss[changed ? 0 : 2] +=
              requestClass.weight()
                  * (delta[0] - delta[1] + delta[2] * (1 - requestClass.weightAfterObjective()));
          weightedLoss[changed ? 1 : 3] += requestClass.weight() * delta[0];
        }
      }
      samples.add(
          new HostSample(
              host.name,
              host.zone,
              changed,
              steady,
              all,
              Math.round(counts[classes * 5] - last[classes * 5]),
              Math.round(counts[classes * 5 + 1] - last[classes * 5 + 1]),
              counts[classes * 5 + 2] - last[classes * 5 + 2],
              counts[classes * 5 + 3],
              (counts[classes * 5 + 3] - last[classes * 5 + 3]) * 60 / WINDOW_SECONDS));
    }
    analysis.addWindow(samples);
    if (weightedLoss[1] > 0 && weightedLoss[3] > 0) {
      plainLoss += weightedLoss[0] / weightedLoss[1] - weightedLoss[2] / weightedLoss[3];
      plainWindows++;
    }
  }

  private void injectTrouble(double now) {
    if (troubleStartedAt < 0 && firstNewAt >= 0 && now > firstNewAt + 60) {
      troubleStartedAt = now;
      startTrouble();
    }
    double elapsed = now - troubleStartedAt;
    if (troubleStartedAt > 0
        && ((trouble == Trouble.ZONE_LOST && elapsed == 20)
            || (trouble == Trouble.SLOWED && elapsed == 60)
            || (trouble == Trouble.STORE_SLOW && elapsed == 60)
            || (trouble == Trouble.BURST && elapsed == 40))) {
      endTrouble();
    }
  }

  private void startTrouble() {
    switch (trouble) {
      case SLOWED -> fleet.hosts.get(0).setSpeedFactor(0.5);
      case ZONE_LOST -> fleet.setUnreachableZone("z2");
      case STORE_SLOW -> fleet.store.setSlowdown(5);
      case BURST -> fleet.setLoadFactor(1.3);
      case HALF_COLD -> {
        for (int i = 0; i < fleet.hosts.size(); i += 2) {
          activeReleases.put(fleet.hosts.get(i).name, OLD_RELEASE);
          fleet.hosts.get(i).start(defects(OLD_RELEASE), false);
        }
      }
      default -> {}
    }
  }

  private void endTrouble() {
    switch (trouble) {
      case SLOWED -> fleet.hosts.get(0).setSpeedFactor(1);
      case ZONE_LOST -> {
        fleet.setUnreachableZone("");
        fleet.hosts.stream()
            .filter(host -> host.zone.equals("z2"))
            .forEach(host -> host.start(defects(activeReleases.get(host.name)), false));
      }
      case STORE_SLOW -> fleet.store.setSlowdown(1);
      default -> fleet.setLoadFactor(1);
    }
  }
}
