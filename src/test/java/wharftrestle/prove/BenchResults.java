package wharftrestle.prove;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures what kept results cost at a real daemon: keyed requests a second and their latency with the store off, on
 * without sync, with group commit and with a sync a record, all in one run; then resident memory and the time to be
 * ready again over a store that was filled, for each limit on memory. Figures are in docs/results.md.
 */
public final class BenchResults {
    private static final int DESKS = 16;

    private BenchResults() { }

    public static void main(String[] args) throws Exception {
        int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 8;
        int cores = Runtime.getRuntime().availableProcessors();
        System.out.println("cores " + cores + ", desks " + DESKS + ", a run 0 to 25 ms");
        double off = 0;
        for (String sync : new String[] {"off", "none", "group", "each"}) {
            double rate = load(sync, seconds, System.out);
            off = sync.equals("off") ? rate : off;
            System.out.printf(Locale.ROOT, "         %.3f of the rate with the store off%n", rate / off);
        }
        for (int memory : new int[] {64, 128, 192}) {
            full(memory, System.out);
        }
    }

    private interface Played {
        void on(Floor floor, Path folder) throws Exception;
    }

    private static void with(String settings, int memory, Played played) throws Exception {
        Path folder = Files.createTempDirectory("bench-results");
        String script = settings.isEmpty() ? "" : "durable(dir = \"" + folder.resolve("results") + "\", " + settings + ")\n";
        try (Floor floor = new Floor(folder, script, 29421, memory)) {
            floor.start();
            played.on(floor, folder);
        } finally {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path each : (Iterable<Path>) all.sorted(Comparator.reverseOrder())::iterator) {
                    Files.deleteIfExists(each);
                }
            }
        }
    }

    private static double load(String sync, int seconds, PrintStream out) throws Exception {
        double[] rate = {0};
        with(sync.equals("off") ? "" : "max_mb = 256, max_keys = 200000, sync = \"" + sync + "\"", 192, (floor, folder) -> {
            ask(floor, 2, "note", new ConcurrentHistogram(60_000_000, 3));   // warm
            Histogram latency = new ConcurrentHistogram(60_000_000, 3);
            int served = ask(floor, seconds, "note", latency);
            rate[0] = served / (double) seconds;
            String syncs = floor.get("/_results").lines().filter(line -> line.startsWith("syncs")
                    || line.startsWith("records")).map(line -> line.replaceAll(" +", " ").split(" ")[0] + " "
                            + line.replaceAll(" +", " ").split(" ")[1]).reduce("", (a, b) -> a + ", " + b);
            out.printf(Locale.ROOT, "%-6s %6.0f served/s, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, resident %d MB%s%n", sync,
                    rate[0], latency.getValueAtPercentile(50) / 1000.0, latency.getValueAtPercentile(99) / 1000.0,
                    latency.getValueAtPercentile(99.9) / 1000.0, floor.residentKb() >> 10, syncs);
        });
        return rate[0];
    }

    /** Asks new keys for so long; how many were served. Latency is from the moment of asking, one at a time a desk. */
    private static int ask(Floor floor, double seconds, String note, Histogram latency) throws InterruptedException {
        AtomicInteger served = new AtomicInteger();
        AtomicLong references = new AtomicLong(System.nanoTime());
        long until = System.nanoTime() + (long) (seconds * 1e9);
        Thread[] desks = new Thread[DESKS];
        for (int i = 0; i < DESKS; i++) {
            Random random = new Random(i);
            desks[i] = new Thread(() -> {
                try (Desk desk = new Desk(floor.address())) {
                    while (System.nanoTime() < until) {
                        String key = Long.toHexString(random.nextLong()) + Long.toHexString(System.nanoTime());
                        long at = System.nanoTime();
                        if (desk.ask("save", references.incrementAndGet(), key, note + key).word().equals("done")) {
                            served.incrementAndGet();
                            latency.recordValue((System.nanoTime() - at) / 1000);
                        }
                    }
                } catch (java.io.IOException e) {
                    System.out.println("a desk ended: " + e);
                }
            });
            desks[i].start();
        }
        for (Thread desk : desks) {
            desk.join();
        }
        return served.get();
    }

    /** Fills a store until it refuses, and starts anew over it. */
    private static void full(int memory, PrintStream out) throws Exception {
        with("max_mb = 8, max_keys = 32768", memory, (floor, folder) -> {
            int served = 0;
            for (int i = 0; i < 20 && !floor.get("/_results").matches("(?s).*refused_store_full +[1-9].*"); i++) {
                served += ask(floor, 1, "x".repeat(1500), new ConcurrentHistogram(60_000_000, 3));
            }
            String figures = floor.get("/_results");
            long resident = floor.residentKb();
            floor.kill();
            long began = System.nanoTime();
            floor.start();
            double again = (System.nanoTime() - began) / 1e6;
            out.printf(Locale.ROOT, "memory_mb %d: %d keys served, store %s kB used, %s refused as full, resident %d MB; "
                    + "killed, ready again after %.0f ms, of which %s us read the log (%s known), resident %d MB%n", memory,
                    served, figure(figures, "used_kb"), figure(figures, "refused_store_full"), resident >> 10, again,
                    figure(floor.get("/_results"), "recovery_us"), figure(floor.get("/_results"), "recovered_known"),
                    floor.residentKb() >> 10);
        });
    }

    private static String figure(String figures, String name) {
        return figures.lines().filter(line -> line.startsWith(name + " ")).findFirst()
                .map(line -> line.trim().split(" +")[1]).orElse("?");
    }
}
