package wharftrestle.prove;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import wharftrestle.simulation.ColdStartSimulation;
import wharftrestle.simulation.ColdTrafficSimulation;
import wharftrestle.simulation.ColdTrafficSimulation.Callers;
import wharftrestle.simulation.ColdTrafficSimulation.Ramp;
import wharftrestle.simulation.ColdTrafficSimulation.Start;

/**
 * Proves in virtual time that boxes which start cold together and share nothing keep the store
 * alive, and themselves: what the store holds stays within the sum of their shares, and what each
 * lets onto its cores within what it survives, for one box and for thirty, whatever their callers
 * send. Boxes that each behave as if they were alone, or run all that comes, must fall short; and
 * so must callers that each ramp up as if they were alone, once there are several. What callers
 * send is not ours: its excess is measured and said. It closes on one line, and exit 0 or 1.
 */
public final class ProveCold {
  private static final List<Integer> BOXES = List.of(1, 10, 20, 30);

  /** Part of requests whose callers follow no ramp. */
  private static final double DEAF = 0.3;

  private ProveCold() {}

  private static double worst(int boxes, boolean alone, int seeds, long seed) {
    return IntStream.range(0, seeds)
        .parallel()
        .mapToObj(i -> ColdStartSimulation.play(boxes, alone, seed + i))
        .mapToDouble(each -> each.worst() / each.bound())
        .max()
        .orElse(Double.POSITIVE_INFINITY);
  }

  /** The worst of so many seeds, with as many callers as boxes. */
  private static ColdTrafficSimulation.Result reach(
      int many, Ramp ramp, double deaf, Start start, int seeds, long seed) {
    return IntStream.range(0, seeds)
        .parallel()
        .mapToObj(
            i -> ColdTrafficSimulation.play(many, new Callers(many, ramp, deaf), start, seed + i))
        .reduce(
            new ColdTrafficSimulation.Result(0, 0),
            (a, b) ->
                new ColdTrafficSimulation.Result(
                    Math.max(a.reached(), b.reached()), Math.max(a.crowd(), b.crowd())));
  }

  private record Reached(boolean holds, String figures) {}

  /** What reaches cold boxes from callers of each kind, and what these let onto their cores. */
  private static Reached reached(int seeds, long seed) {
    boolean holds = true;
    StringBuilder figures =
        new StringBuilder(
            "; reached by callers of no ramp, of a share, of a share with three in ten"
                + " deaf, each as if alone, and most on the cores (if all were run)");
    for (int many : BOXES) {
      List<ColdTrafficSimulation.Result> all =
          List.of(
              reach(many, Ramp.NONE, 0, Start.COLD, seeds, seed),
              reach(many, Ramp.SHARE, 0, Start.COLD, seeds, seed),
              reach(many, Ramp.SHARE, DEAF, Start.COLD, seeds, seed),
              reach(many, Ramp.EACH_ALONE, 0, Start.COLD, seeds, seed));
      double crowd =
          all.stream()
              .mapToDouble(ColdTrafficSimulation.Result::crowd)
              .max()
              .orElse(Double.POSITIVE_INFINITY);
      double open = reach(many, Ramp.NONE, 0, Start.OPEN, seeds, seed).crowd();
      holds &= crowd <= 1 && open > 1 && all.get(3).reached() > 1 == many > 1;
      figures.append(String.format(Locale.ROOT, "; %d", many));
      all.forEach(each -> figures.append(String.format(Locale.ROOT, " %.2f", each.reached())));
      figures.append(String.format(Locale.ROOT, ", %.2f (%.2f)", crowd, open));
    }
    return new Reached(holds, figures.toString());
  }

  /** Plays all sizes and says so on one line. */
  static boolean prove(int seeds, long seed, PrintStream out) {
    Reached reached = reached(seeds, seed);
    boolean holds = reached.holds();
    boolean caught = true;
    StringBuilder figures = new StringBuilder();
    for (int boxes : BOXES) {
      double own = worst(boxes, false, seeds, seed);
      double alone = worst(boxes, true, seeds, seed);
      holds &= own <= 1;
      caught &= boxes == 1 || alone > 1;
      figures.append(
          String.format(Locale.ROOT, "; %d boxes %.2f (as if alone %.2f)", boxes, own, alone));
    }
    out.printf(
        Locale.ROOT,
        "prove-cold: %s, %d seeds, most held by the store over the sum of shares%s%s%n",
        holds && caught ? "holds" : "falls short",
        seeds,
        figures,
        reached.figures());
    return holds && caught;
  }

  public static void main(String[] args) {
    boolean brief = "1".equals(System.getenv("SHORT"));
    System.exit(
        prove(brief ? 3 : 24, args.length > 0 ? Long.parseLong(args[0]) : 29421, System.out)
            ? 0
            : 1);
  }
}
