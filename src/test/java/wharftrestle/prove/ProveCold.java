package wharftrestle.prove;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import wharftrestle.lab.virtual.ColdPlay;

/**
 * Proves in virtual time that boxes which start cold together and share nothing keep the store alive: what it holds stays
 * within the sum of their shares, for one box and for thirty. Boxes that each behave as if they were alone must fall short.
 * It closes on one line, and exit 0 or 1.
 */
public final class ProveCold {
    private static final List<Integer> BOXES = List.of(1, 10, 20, 30);

    private ProveCold() { }

    private static double worst(int boxes, boolean alone, int seeds, long seed) {
        return IntStream.range(0, seeds).parallel().mapToObj(i -> ColdPlay.play(boxes, alone, seed + i))
                .mapToDouble(each -> each.worst() / each.bound()).max().orElse(Double.POSITIVE_INFINITY);
    }

    /** Plays all sizes and says so on one line. */
    static boolean prove(int seeds, long seed, PrintStream out) {
        boolean holds = true;
        boolean caught = true;
        StringBuilder figures = new StringBuilder();
        for (int boxes : BOXES) {
            double own = worst(boxes, false, seeds, seed);
            double alone = worst(boxes, true, seeds, seed);
            holds &= own <= 1;
            caught &= boxes == 1 || alone > 1;
            figures.append(String.format(Locale.ROOT, "; %d boxes %.2f (as if alone %.2f)", boxes, own, alone));
        }
        out.printf(Locale.ROOT, "prove-cold: %s, %d seeds, most held by the store over the sum of shares%s%n",
                holds && caught ? "holds" : "falls short", seeds, figures);
        return holds && caught;
    }

    public static void main(String[] args) {
        boolean brief = "1".equals(System.getenv("SHORT"));
        System.exit(prove(brief ? 3 : 24, args.length > 0 ? Long.parseLong(args[0]) : 29421, System.out) ? 0 : 1);
    }
}
