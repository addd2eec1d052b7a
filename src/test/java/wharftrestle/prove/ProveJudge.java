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
 * Proves the judge over rolls of a made-up fleet in virtual time, with the shipped policy: a
 * release that is no worse is stopped in under one of twenty, whatever else goes wrong; one that
 * loses 3% of worth is stopped before a quarter of the fleet has it in nineteen of twenty. A plain
 * comparison of means stands beside it. It closes on one line, and exit 0 or 1.
 */
public final class ProveJudge {
  private static final double MOST_WRONG = 0.05;
  private static final double LEAST_STOPPED = 0.95;

  /** A quarter of 14 boxes. */
  private static final int QUARTER = 4;

  private ProveJudge() {}

  /** Rolls of one kind. */
  record Row(Release release, Trouble trouble, Judging judging, List<Result> results) {
    long stopped() {
      return results.stream().filter(Result::stopped).count();
    }

    long early() {
      return results.stream().filter(each -> each.stopped() && each.most() <= QUARTER).count();
    }

    long through() {
      return results.stream().filter(each -> each.state() == Rollout.State.COMPLETED).count();
    }

    long held() {
      return results.stream().filter(each -> each.state() == Rollout.State.HELD).count();
    }

    double quantile(double part) {
      double[] at =
          results.stream()
              .filter(each -> each.verdictAt() >= 0)
              .mapToDouble(Result::verdictAt)
              .sorted()
              .toArray();
      return at.length == 0 ? Double.NaN : at[(int) (part * (at.length - 1))];
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%-14s %-13s %-10s %4d rolls: %5.1f%% stopped, %5.1f%% by a quarter, %5.1f%%"
              + " through, %5.1f%% held; stopped after %.0f s (90%%: %.0f s)",
          release,
          trouble,
          judging,
          results.size(),
          100.0 * stopped() / results.size(),
          100.0 * early() / results.size(),
          100.0 * through() / results.size(),
          100.0 * held() / results.size(),
          quantile(0.5),
          quantile(0.9));
    }
  }

  static Row play(Release release, Trouble trouble, Judging judging, int many, long seed) {
    return new Row(
        release,
        trouble,
        judging,
        IntStream.range(0, many)
            .parallel()
            .mapToObj(i -> RolloutSimulation.play(release, trouble, judging, seed + i))
            .toList());
  }

  /** Plays all kinds and says so on one line. */
  static boolean prove(int each, long seed, PrintStream out) {
    out.println("prove-judge: seed " + seed + ", " + each + " rolls of each kind");
    List<Row> rows = new ArrayList<>();
    for (Judging judging : Judging.values()) {
      for (Trouble trouble : Trouble.values()) {
        rows.add(play(Release.GOOD, trouble, judging, each, seed));
        out.println("  " + rows.get(rows.size() - 1));
      }
      for (Release release : Release.values()) {
        if (release != Release.GOOD) {
          rows.add(play(release, Trouble.NONE, judging, each, seed));
          out.println("  " + rows.get(rows.size() - 1));
        }
      }
    }
    double wrong =
        rows.stream()
            .filter(row -> row.judging() == Judging.SEQUENTIAL && row.release() == Release.GOOD)
            .mapToDouble(row -> (double) row.stopped() / each)
            .max()
            .orElse(1);
    double plainWrong =
        rows.stream()
            .filter(row -> row.judging() == Judging.PLAIN && row.release() == Release.GOOD)
            .mapToDouble(row -> (double) row.stopped() / each)
            .max()
            .orElse(0);
    double least =
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
            .mapToDouble(row -> (double) row.early() / each)
            .min()
            .orElse(0);
    double through =
        rows.stream()
            .filter(
                row ->
                    row.judging() == Judging.SEQUENTIAL
                        && row.release() != Release.GOOD
                        && row.release() != Release.MIXED)
            .mapToDouble(row -> (double) row.through() / each)
            .max()
            .orElse(1);
    boolean holds = wrong < MOST_WRONG && least >= LEAST_STOPPED && through < MOST_WRONG;
    out.printf(
        Locale.ROOT,
        "prove-judge: %s, %d rolls: a release that is no worse is stopped in %.1f%% at most (a "
            + "plain comparison: %.1f%%), one that loses 3%% or more by a quarter of the fleet in %.1f%% at least, "
            + "and goes everywhere in %.1f%% at most%n",
        holds ? "holds" : "falls short",
        rows.size() * each,
        100 * wrong,
        100 * plainWrong,
        100 * least,
        100 * through);
    return holds;
  }

  public static void main(String[] args) {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 29421;
    if (args.length > 3) {
      for (Result each :
          play(
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
