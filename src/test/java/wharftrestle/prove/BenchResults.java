package wharftrestle.prove;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/**
 * Measures what kept results cost at a real daemon: keyed requests a second and their latency with
 * the store off, on without sync, with group commit and with a sync a record, all in one run; then
 * resident memory and the time to be ready again over a store that was filled, for each limit on
 * memory. Figures are in docs/results.md.
 */
public final class BenchResults {
  private static final int[] DESKS = {16, 96};

  private BenchResults() {}

  public static void main(String[] args) throws Exception {
    int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 8;
    int cores = Runtime.getRuntime().availableProcessors();
    System.out.println(
        "cores " + cores + ", desks " + Arrays.toString(DESKS) + ", a run 0 to 25 ms");
    for (int desks : DESKS) {
      double off = 0;
      for (String sync : new String[] {"off", "none", "group", "each"}) {
        double rate = load(sync, desks, seconds, System.out);
        off = sync.equals("off") ? rate : off;
        System.out.printf(
            Locale.ROOT, "         %.3f of the rate with the store off%n", rate / off);
      }
    }
    for (int memory : new int[] {64, 128, 192}) {
      full(memory, 8, System.out);
    }
    for (int mb : new int[] {4, 16, 32}) {
      full(192, mb, System.out);
    }
  }

  private interface Played {
    void on(HostTestbed floor, Path folder) throws Exception;
  }

  private static void with(String settings, int memory, Played played) throws Exception {
    Path folder = Files.createTempDirectory("bench-results");
    String script =
        settings.isEmpty()
            ? ""
            : "durable(dir = \"" + folder.resolve("results") + "\", " + settings + ")\n";
    try (HostTestbed floor = new HostTestbed(folder, script, 29421, HostTestbed.Play.of(memory))) {
      floor.start();
      played.on(floor, folder);
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static double load(String sync, int desks, int seconds, PrintStream out)
      throws Exception {
    double[] rate = {0};
    String settings =
        sync.equals("off") ? "" : "max_mb = 256, max_keys = 200000, sync = \"" + sync + "\"";
    with(
        settings,
        192,
        (floor, folder) -> {
          ask(floor, desks, 2, "note", new ConcurrentHistogram(60_000_000, 3)); // warm
          Histogram latency = new ConcurrentHistogram(60_000_000, 3);
          int served = ask(floor, desks, seconds, "note", latency);
          rate[0] = served / (double) seconds;
          String syncs =
              floor
                  .daemon()
                  .get("/_results")
                  .lines()
                  .filter(line -> line.startsWith("sync") || line.startsWith("records"))
                  .map(
                      line ->
                          line.replaceAll(" +", " ").split(" ", 0)[0]
                              + " "
                              + line.replaceAll(" +", " ").split(" ", 0)[1])
                  .reduce("", (a, b) -> a + ", " + b);
          out.printf(
              Locale.ROOT,
              "%3d desks, %-6s %6.0f served/s, "
                  + "p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, resident %d MB%s%n",
              desks,
              sync,
              rate[0],
              latency.getValueAtPercentile(50) / 1000.0,
              latency.getValueAtPercentile(99) / 1000.0,
              latency.getValueAtPercentile(99.9) / 1000.0,
              floor.daemon().memoryKb("VmHWM") >> 10,
              syncs);
        });
    return rate[0];
  }

  /**
   * Asks new keys for so long; how many were served. Latency is from the moment of asking, one at a
   * time a desk.
   */
  private static int ask(
      HostTestbed floor, int desks, double seconds, String note, Histogram latency)
      throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    AtomicLong references = new AtomicLong(System.nanoTime());
    long until = System.nanoTime() + (long) (seconds * 1e9);
    Thread[] all = new Thread[desks];
    for (int i = 0; i < desks; i++) {
      Random random = new Random(i);
      all[i] =
          new Thread(
              () -> {
                try (TestClient desk = new TestClient(floor.address())) {
                  while (System.nanoTime() < until) {
                    String key =
                        Long.toHexString(random.nextLong()) + Long.toHexString(System.nanoTime());
                    long at = System.nanoTime();
                    if (desk.ask("save", references.incrementAndGet(), key, note + key)
                        .word()
                        .equals("done")) {
                      served.incrementAndGet();
                      latency.recordValue((System.nanoTime() - at) / 1000);
                    }
                  }
                } catch (IOException e) {
                  System.out.println("a desk ended: " + e);
                }
              });
      all[i].start();
    }
    for (Thread desk : all) {
      desk.join();
    }
    return served.get();
  }

  /** Fills a store until it refuses, and starts anew over it. */
  private static void full(int memory, int mb, PrintStream out) throws Exception {
    with(
        "max_mb = " + mb + ", max_keys = 200000, sync = \"none\"",
        memory,
        (floor, folder) -> {
          int served = 0;
          for (int i = 0;
              i < 25
                  && !floor.daemon().get("/_results").matches("(?s).*refused_store_full +[1-9].*");
              i++) {
            served +=
                ask(
                    floor,
                    mb > 8 ? 64 : 16,
                    1,
                    "x".repeat(1500),
                    new ConcurrentHistogram(60_000_000, 3));
          }
          String figures = floor.daemon().get("/_results");
          long resident = floor.daemon().memoryKb("VmHWM");
          long own = floor.daemon().memoryKb("RssAnon");
          floor.daemon().kill();
          long began = System.nanoTime();
          floor.start();
          double again = (System.nanoTime() - began) / 1e6;
          String after = floor.daemon().get("/_results");
          out.printf(
              Locale.ROOT,
              "memory_mb %d, max_mb %d: %d keys served, %s kB used, refused as full %s, "
                  + "resident %d MB, "
                  + "%d of it its own; killed, ready after %.0f ms, %.0f of them reading (%s known), resident %d MB, "
                  + "%d its own%n",
              memory,
              mb,
              served,
              figure(figures, "used_kb"),
              figure(figures, "refused_store_full"),
              resident >> 10,
              own >> 10,
              again,
              Long.parseLong(figure(after, "recovery_us")) / 1000.0,
              figure(after, "recovered_known"),
              floor.daemon().memoryKb("VmHWM") >> 10,
              floor.daemon().memoryKb("RssAnon") >> 10);
        });
  }

  private static String figure(String figures, String name) {
    return figures
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .findFirst()
        .map(line -> line.trim().split(" +", 0)[1])
        .orElse("?");
  }
}
