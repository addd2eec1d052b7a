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
 * One rolling change in virtual time: the shipped roll, judge and policy over a made-up fleet. The
 * truth is known here: whether the new release does worse, and what else goes wrong meanwhile.
 */
public final class RolloutSimulation {

  /** What the new release is. */
  public enum Release {
    /** No worse. */
    GOOD,
    /** Fails three of a hundred requests, of every class. */
    LOSES_3,
    /** Fails five, and ten. */
    LOSES_5,
    LOSES_10,
    /** Fails three in ten of the dearest class alone. */
    FAILS_A_CLASS,
    /** Loses two of a hundred of the dearest class, and takes a tenth less work. */
    MIXED,
    /** Needs half as much work again. */
    SLOWER,
    /** Turns a tenth away. */
    REFUSES,
    /** Loses ten of a hundred, from two minutes after its start on. */
    LATE_FAULT,
    /**
     * Loses ten of a hundred once more than half of the boxes have it; its plan has a stage just
     * beyond that.
     */
    OVER_HALF,
    /** Dies nine seconds after each start. */
    CRASHES,
    /** Grows by 20 MB a minute. */
    LEAKS
  }

  /** What else happens, while the first stage is watched. */
  public enum Trouble {
    NONE,
    /** The first box has a machine three tenths slower than the others. */
    SLOW_MACHINE,
    /** The first box's machine becomes slower for a minute. */
    SLOWED,
    /** A zone is lost for 20 s, and its boxes come back cold. */
    ZONE_LOST,
    /** The store takes five times as long for a minute. */
    STORE_SLOW,
    /** Three tenths more requests for 40 s. */
    BURST,
    /** Callers prefer boxes with room, and so the new ones as they come up idle. */
    SHIFT,
    /** All who are turned away go on to another box. */
    RETRIES,
    /** Half of the fleet comes back cold, with the old release. */
    HALF_COLD
  }

  /** How it is judged. */
  public enum Judging {
    /** As the program does. */
    SEQUENTIAL,
    /** Means of new and old since the stage began, against a fixed bound at the end of the hold. */
    PLAIN
  }

  /**
   * How it ended.
   *
   * @param most boxes that had the new release at once
   * @param verdictAt seconds after the first box had it, at which it was stopped; negative for
   *     never
   */
  public record Result(
      Rollout.State state, String why, int most, double verdictAt, double minutes) {
    /** True where the change was stopped as worse. */
    public boolean stopped() {
      return why.matches("stage [0-9]+ does worse: .*");
    }
  }

  private static final double WINDOW = 10;
  private static final double BEFORE = 300;
  private static final double MOST = 3 * 3600;
  private static final double CHANGE_S = 2;
  private static final double WARM = 25;

  /** Of the plain comparison: half way between nothing and a loss of 3%. */
  private static final double PLAIN_BOUND = 0.015;

  private static final double NOT_YET = 1e9;
  private static final String OLD = "old";
  private static final String NEW = "new";

  private final SimulatedFleet fleet;
  private final RolloutPlan plan;
  private final Release release;
  private final Trouble trouble;
  private final Judging judging;
  private final Map<String, String> acts = new HashMap<>();
  private final Map<String, String> target = new HashMap<>();
  private final Map<String, Integer> attempt = new HashMap<>();
  private final Map<String, String> failed = new HashMap<>();
  private final Map<String, Double> changingUntil = new HashMap<>();
  private final Map<String, Double> changedAt = new HashMap<>();
  private final Map<String, Integer> seenProcess = new HashMap<>();
  private final Map<String, double[]> before = new HashMap<>();
  private final Map<String, Double> processAt = new HashMap<>();
  private final SplittableRandom random;
  private double plainLoss;
  private long plainWindows;
  private CanaryAnalysis judge;
  private Rollout roll;
  private double firstNew = -1;
  private double troubledAt = -1;
  private int most;

  private RolloutSimulation(Release release, Trouble trouble, Judging judging, long seed) {
    this.release = release;
    this.trouble = trouble;
    this.judging = judging;
    random = new SplittableRandom(seed ^ 0x5eed);
    SimulatedFleet.Site usual = SimulatedFleet.Site.usual();
    fleet =
        new SimulatedFleet(
            new SimulatedFleet.Site(
                usual.boxes(),
                usual.zones(),
                usual.rate(),
                usual.load(),
                trouble == Trouble.RETRIES ? 1 : usual.retry(),
                trouble == Trouble.SHIFT ? 0.7 : 0),
            seed);
    Map<CanaryMetric, Double> limits = new LinkedHashMap<>();
    for (CanaryMetric measure : CanaryMetric.values()) {
      limits.put(measure, measure.defaultLimit());
    }
    List<RolloutPlan.Host> boxes =
        fleet.boxes.stream()
            .map(box -> new RolloutPlan.Host(box.name, box.zone, "", List.of()))
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
            NEW,
            boxes,
            stages,
            new CanaryCriteria(limits, 0.05, WARM),
            2,
            2,
            1800,
            RolloutPlan.UnreachablePolicy.HOLD,
            RolloutPlan.RegressionPolicy.ROLL_BACK);
    boxes.forEach(box -> acts.put(box.name(), OLD));
  }

  /** Plays one change to its end. */
  public static Result play(Release release, Trouble trouble, Judging judging, long seed) {
    return new RolloutSimulation(release, trouble, judging, seed).play();
  }

  private SimulatedHost.Flaw flaw(String of) {
    int classes = fleet.settings.classes().size();
    double[] fails = new double[classes];
    SimulatedHost.Flaw none = SimulatedHost.Flaw.none(classes);
    if (of.equals(OLD)) {
      return none;
    }
    switch (release) {
      case LOSES_3 -> Arrays.fill(fails, 0.03);
      case LOSES_5 -> Arrays.fill(fails, 0.05);
      case LOSES_10, LATE_FAULT, OVER_HALF -> Arrays.fill(fails, 0.1);
      case FAILS_A_CLASS -> fails[classes - 1] = 0.3;
      case MIXED -> fails[classes - 1] = 0.02;
      default -> {}
    }
    return switch (release) {
      case GOOD -> none;
      case MIXED -> new SimulatedHost.Flaw(-0.1, fails, 0, 0, 0, 0);
      case SLOWER -> new SimulatedHost.Flaw(0.5, fails, 0, 0, 0, 0);
      case REFUSES -> new SimulatedHost.Flaw(0, fails, 0.1, 0, 0, 0);
      case LATE_FAULT -> new SimulatedHost.Flaw(0, fails, 0, 0, 0, 120);
      case OVER_HALF -> new SimulatedHost.Flaw(0, fails, 0, 0, 0, NOT_YET);
      case CRASHES -> new SimulatedHost.Flaw(0, fails, 0, 9, 0, 0);
      case LEAKS -> new SimulatedHost.Flaw(0, fails, 0, 0, 20, 0);
      default -> new SimulatedHost.Flaw(0, fails, 0, 0, 0, 0);
    };
  }

  private Result play() {
    judge =
        new CanaryAnalysis(
            plan.criteria().limits(),
            fleet.settings.classes().stream().map(Admission.RequestClass::name).toList(),
            plan.stages().size(),
            plan.criteria().errorProbability());
    if (trouble == Trouble.SLOW_MACHINE) {
      fleet.boxes.get(0).slow(0.7);
    }
    double now = 0;
    double windowAt = 0;
    double verdictAt = -1;
    while (now < MOST
        && (roll == null || (!roll.state().isFinal() && roll.state() != Rollout.State.HELD))) {
      now += 1;
      fleet.agenda.runTo(now);
      keepers(now);
      if (now - windowAt >= WINDOW) {
        windowAt = now;
        window(now);
      }
      if (now >= BEFORE) {
        if (roll == null) {
          roll = new Rollout(plan, now);
        }
        trouble(now);
        carryOut(roll.tick(shows(), verdict(now), true, now), now);
      }
      long have = acts.values().stream().filter(NEW::equals).count();
      if (release == Release.OVER_HALF && have * 2 > fleet.boxes.size()) {
        fleet.boxes.stream()
            .filter(box -> acts.get(box.name).equals(NEW))
            .forEach(SimulatedHost::show);
      }
      most = Math.max(most, (int) acts.values().stream().filter(NEW::equals).count());
      if (verdictAt < 0 && roll != null && roll.state() == Rollout.State.ROLLING_BACK) {
        verdictAt = now - firstNew;
      }
    }
    return new Result(roll.state(), roll.reason(), most, verdictAt, now / 60);
  }

  private CanaryAnalysis.Verdict verdict(double now) {
    CanaryAnalysis.Verdict sequential = judge.verdict();
    if (judging == Judging.SEQUENTIAL) {
      return sequential;
    }
    boolean held =
        roll.state() == Rollout.State.OBSERVING
            && roll.secondsInState(now) >= plan.stages().get(roll.stage()).holdSeconds() - 1;
    if (!held || plainWindows == 0) {
      return new CanaryAnalysis.Verdict(
          CanaryAnalysis.Outcome.INCONCLUSIVE, "the hold is not over");
    }
    double loss = plainLoss / plainWindows;
    return loss > PLAIN_BOUND
        ? new CanaryAnalysis.Verdict(CanaryAnalysis.Outcome.FAIL, "mean loss " + loss)
        : new CanaryAnalysis.Verdict(CanaryAnalysis.Outcome.PASS, "mean loss " + loss);
  }

  // ---- Keepers, as far as a roll sees them ----

  private void keepers(double now) {
    for (SimulatedHost box : fleet.boxes) {
      Double until = changingUntil.get(box.name);
      if (until != null && now >= until) {
        changingUntil.remove(box.name);
        String to = target.get(box.name);
        acts.put(box.name, to);
        changedAt.put(box.name, now);
        box.start(flaw(to), false);
        firstNew = firstNew < 0 && to.equals(NEW) ? now : firstNew;
      }
      if (!box.up() && until == null && fleet.reached(box)) {
        boolean young =
            now - changedAt.getOrDefault(box.name, -1e9) < 60 && acts.get(box.name).equals(NEW);
        judge.onDaemonDeath(box.name, acts.get(box.name).equals(NEW));
        if (young) {
          acts.put(box.name, OLD);
          failed.put(box.name, "it died in its probation");
        }
        box.start(flaw(acts.get(box.name)), false);
      }
    }
  }

  private Map<String, Rollout.ReportedState> shows() {
    Map<String, Rollout.ReportedState> all = new LinkedHashMap<>();
    for (SimulatedHost box : fleet.boxes) {
      all.put(
          box.name,
          new Rollout.ReportedState(
              fleet.reached(box),
              acts.get(box.name),
              !changingUntil.containsKey(box.name) && box.up(),
              target.getOrDefault(box.name, ""),
              attempt.getOrDefault(box.name, 0),
              failed.getOrDefault(box.name, "")));
    }
    return all;
  }

  private void carryOut(List<Rollout.Action> todo, double now) {
    for (Rollout.Action act : todo) {
      if (act instanceof Rollout.Action.Order order) {
        target.put(order.host(), order.release());
        attempt.merge(order.host(), 1, Integer::sum);
        failed.remove(order.host());
        changingUntil.put(order.host(), now + CHANGE_S * (0.5 + random.nextDouble()));
      } else if (act instanceof Rollout.Action.BeginStage) {
        judge.beginStage();
        plainLoss = 0;
        plainWindows = 0;
      } else if (act instanceof Rollout.Action.ClaimEpoch) {
        roll.onEpochClaimed();
        target.clear();
        attempt.clear();
      }
    }
  }

  // ---- What is seen ----

  private void window(double now) {
    List<HostSample> samples = new ArrayList<>();
    double[] worth = new double[4]; // lost and asked by the new, lost and asked by the old
    for (SimulatedHost box : fleet.boxes) {
      SimulatedHost.Tally tally = box.tally();
      int classes = tally.asked.length;
      double[] counts = new double[classes * 5 + 4];
      for (int i = 0; i < classes; i++) {
        counts[i * 5] = tally.served[i] + tally.refused[i] + tally.failed[i];
        counts[i * 5 + 1] = tally.served[i];
        counts[i * 5 + 2] = tally.late[i];
        counts[i * 5 + 3] = tally.refused[i];
        counts[i * 5 + 4] = tally.failed[i];
      }
      counts[classes * 5] = tally.calls;
      counts[classes * 5 + 1] = tally.badCalls;
      counts[classes * 5 + 2] = tally.cpu;
      counts[classes * 5 + 3] = box.ownMb(now);
      double[] last = before.put(box.name, counts);
      Integer process = seenProcess.put(box.name, box.process());
      if (last == null || process == null || process != box.process()) {
        processAt.put(box.name, now);
        continue;
      }
      boolean steady =
          box.up()
              && fleet.reached(box)
              && now - WINDOW - processAt.getOrDefault(box.name, -1e9) >= WARM
              && !changingUntil.containsKey(box.name);
      boolean changed = acts.get(box.name).equals(NEW);
      List<HostSample.Counts> all = new ArrayList<>();
      for (int i = 0; i < classes; i++) {
        Admission.RequestClass type = fleet.settings.classes().get(i);
        long[] d = new long[5];
        for (int k = 0; k < 5; k++) {
          d[k] = Math.round(counts[i * 5 + k] - last[i * 5 + k]);
        }
        all.add(
            new HostSample.Counts(
                type.name(),
                d[0],
                d[1],
                d[2],
                d[3],
                d[4],
                type.weight(),
                type.weightAfterObjective()));
        if (steady) {
          worth[changed ? 0 : 2] +=
              type.weight() * (d[0] - d[1] + d[2] * (1 - type.weightAfterObjective()));
          worth[changed ? 1 : 3] += type.weight() * d[0];
        }
      }
      samples.add(
          new HostSample(
              box.name,
              box.zone,
              changed,
              steady,
              all,
              Math.round(counts[classes * 5] - last[classes * 5]),
              Math.round(counts[classes * 5 + 1] - last[classes * 5 + 1]),
              counts[classes * 5 + 2] - last[classes * 5 + 2],
              counts[classes * 5 + 3],
              (counts[classes * 5 + 3] - last[classes * 5 + 3]) * 60 / WINDOW));
    }
    judge.addWindow(samples);
    if (worth[1] > 0 && worth[3] > 0) {
      plainLoss += worth[0] / worth[1] - worth[2] / worth[3];
      plainWindows++;
    }
  }

  private void trouble(double now) {
    if (troubledAt < 0 && firstNew >= 0 && now > firstNew + 60) {
      troubledAt = now;
      begin();
    }
    double gone = now - troubledAt;
    if (troubledAt > 0
        && ((trouble == Trouble.ZONE_LOST && gone == 20)
            || (trouble == Trouble.SLOWED && gone == 60)
            || (trouble == Trouble.STORE_SLOW && gone == 60)
            || (trouble == Trouble.BURST && gone == 40))) {
      end();
    }
  }

  private void begin() {
    switch (trouble) {
      case SLOWED -> fleet.boxes.get(0).slow(0.5);
      case ZONE_LOST -> fleet.lose("z2");
      case STORE_SLOW -> fleet.store.slow(5);
      case BURST -> fleet.burst(1.3);
      case HALF_COLD -> {
        for (int i = 0; i < fleet.boxes.size(); i += 2) {
          acts.put(fleet.boxes.get(i).name, OLD);
          fleet.boxes.get(i).start(flaw(OLD), false);
        }
      }
      default -> {}
    }
  }

  private void end() {
    switch (trouble) {
      case SLOWED -> fleet.boxes.get(0).slow(1);
      case ZONE_LOST -> {
        fleet.lose("");
        fleet.boxes.stream()
            .filter(box -> box.zone.equals("z2"))
            .forEach(box -> box.start(flaw(acts.get(box.name)), false));
      }
      case STORE_SLOW -> fleet.store.slow(1);
      default -> fleet.burst(1);
    }
  }
}
