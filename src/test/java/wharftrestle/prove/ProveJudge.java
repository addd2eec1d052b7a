package wharftrestle.prove;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import wharftrestle.rollout.Rollout;
import wharftrestle.simulation.RolloutSimulation;
import wharftrestle.simulation.RolloutSimulation.Judging;
import wharftrestle.simulation.RolloutSimulation.Release;
import wharftrestle.simulation.RolloutSimulation.Result;
import wharftrestle.simulation.RolloutSimulation.Trouble;

/**
 * Checks the canary analysis on simulated rollouts with the real admission controller: a release
 * that is not worse is stopped in fewer than 5% of rollouts, whatever fault occurs, and one that
 * loses 3% of value or more is stopped in at least 95% before a quarter of the fleet has it. A
 * plain comparison of means is reported for comparison. Prints a last line and exits with 0 or 1.
 */
public final class ProveJudge {
  private static final double MAX_ERROR_SHARE = 0.05;
  private static final double MIN_DETECTED_SHARE = 0.95;

  /** A quarter of 14 hosts. */
  private static final int QUARTER_OF_HOSTS = 4;

  private ProveJudge() {}

  /** The rollouts of one kind. */
  record Row(Release release, Trouble trouble, Judging judging, List<Result> results) {
    long stopped() {
      return results.stream().filter(Result::stopped).count();
    }

    long stoppedEarly() {
      return results.stream()
          .filter(each -> each.stopped() && each.most() <= QUARTER_OF_HOSTS)
          .count();
    }

    long completed() {
      return results.stream().filter(each -> each.state() == Rollout.State.COMPLETED).count();
    }

    long held() {
      return results.stream().filter(each -> each.state() == Rollout.State.HELD).count();
    }

    double quantile(double part) {
      double[] times =
          results.stream()
              .filter(each -> each.verdictAt() >= 0)
              .mapToDouble(Result::verdictAt)
              .sorted()
              .toArray();
      return times.length == 0 ? Double.NaN : times[(int) (part * (times.length - 1))];
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%-14s %-13s %-10s %4d rollouts: %5.1f%% stopped, %5.1f%% before a quarter, %5.1f%%"
              + " completed, %5.1f%% held; stopped after %.0f s (90%%: %.0f s)",
          release,
          trouble,
          judging,
          results.size(),
          100.0 * stopped() / results.size(),
          100.0 * stoppedEarly() / results.size(),
          100.0 * completed() / results.size(),
          100.0 * held() / results.size(),
          quantile(0.5),
          quantile(0.9));
    }
  }

  static Row simulate(Release release, Trouble trouble, Judging judging, int count, long seed) {
    return new Row(
        release,
        trouble,
        judging,
        IntStream.range(0, count)
            .parallel()
            .mapToObj(i -> RolloutSimulation.play(release, trouble, judging, seed + i))
            .toList());
  }

  /** Simulates all kinds and prints one line with the result. */
  static boolean prove(int rolloutsPerKind, long seed, PrintStream out) {
    out.println("prove-judge: seed " + seed + ", " + rolloutsPerKind + " rollouts of each kind");
    List<Row> rows = new ArrayList<>();
    for (Judging judging : Judging.values()) {
      for (Trouble trouble : Trouble.values()) {
        rows.add(simulate(Release.GOOD, trouble, judging, rolloutsPerKind, seed));
        out.println("  " + rows.get(rows.size() - 1));
      }
      for (Release release : Release.values()) {
        if (release != Release.GOOD) {
          rows.add(simulate(release, Trouble.NONE, judging, rolloutsPerKind, seed));
          out.println("  " + rows.get(rows.size() - 1));
        }
      }
    }
    double falseAlarms =
        rows.stream()
            .filter(row -> row.judging() == Judging.SEQUENTIAL && row.release() == Release.GOOD)
            .mapToDouble(row -> (double) row.stopped() / rolloutsPerKind)
            .max()
            .orElse(1);
    double plainFalseAlarms =
        rows.stream()
            .filter(row -> row.judging() == Judging.PLAIN && row.release() == Release.GOOD)
            .mapToDouble(row -> (double) row.stopped() / rolloutsPerKind)
            .max()
            .orElse(0);
    double detectedEarly =
        rows.stream()
            .filter(
                row ->
                    row.judging() == Judging.SEQUENTIAL
                        && List.of(
                                Release.LOSES_3,
                                Release.LOSES_5,
                                Release.LOSES_10,
                                Release.FAILS_A_CLASS,
                                Release.CRASHES)
                            .contains(row.release()))
            .mapToDouble(row -> (double) row.stoppedEarly() / rolloutsPerKind)
            .min()
            .orElse(0);
    double completed =
        rows.stream()
            .filter(
                row ->
                    row.judging() == Judging.SEQUENTIAL
                        && row.release() != Release.GOOD
                        && row.release() != Release.MIXED)
            .mapToDouble(row -> (double) row.completed() / rolloutsPerKind)
            .max()
            .orElse(1);
    boolean holds =
        falseAlarms < MAX_ERROR_SHARE
            && detectedEarly >= MIN_DETECTED_SHARE
            && completed < MAX_ERROR_SHARE;
    out.printf(
        Locale.ROOT,
        "prove-judge: %s, %d rollouts: a release that is not worse is stopped in at most %.1f%% (plain "
            + "comparison: %.1f%%), one that loses 3%% or more before a quarter of the fleet in at least %.1f%%, "
            + "and a worse one completes in at most %.1f%%%n",
        holds ? "holds" : "falls short",
        rows.size() * rolloutsPerKind,
        100 * falseAlarms,
        100 * plainFalseAlarms,
        100 * detectedEarly,
        100 * completed);
    return holds;
  }

  public static void main(String[] args) {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 29421;
    if (args.length > 3) {
      for (Result each :
          simulate(
                  Release.valueOf(args[1]),
                  Trouble.valueOf(args[2]),
                  Judging.SEQUENTIAL,
                  Integer.parseInt(args[3]),
                  seed)
              .results()) {
        System.out.println(each);
      }
      return;
    }
    System.exit(prove(brief ? 8 : 60, seed, System.out) ? 0 : 1);
  }
}
