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
 * Measures the cost of durable results at a real daemon: keyed requests a second and their latency
 * with the store off, on without sync, with group commit and with a sync for each record, all in
 * one run; then resident memory and the time to be ready again with a full store, for each memory
 * limit. Figures are in docs/results.md.
 */
public final class BenchResults {
  private static final int[] CLIENT_COUNTS = {16, 96};

  private BenchResults() {}

  public static void main(String[] args) throws Exception {
    int seconds = args.length > 0 ? Integer.parseInt(args[0]) : 8;
    int cores = Runtime.getRuntime().availableProcessors();
    System.out.println(
        "cores "
            + cores
            + ", clients "
            + Arrays.toString(CLIENT_COUNTS)
            + ", an execution 0 to 25 ms");
    for (int clients : CLIENT_COUNTS) {
      double rateWithoutStore = 0;
      for (String sync : new String[] {"off", "none", "group", "each"}) {
        double rate = measureLoad(sync, clients, seconds, System.out);
        rateWithoutStore = sync.equals("off") ? rate : rateWithoutStore;
        System.out.printf(
            Locale.ROOT, "         %.3f of the rate with the store off%n", rate / rateWithoutStore);
      }
    }
    for (int memory : new int[] {64, 128, 192}) {
      measureFullStore(memory, 8, System.out);
    }
    for (int mb : new int[] {4, 16, 32}) {
      measureFullStore(192, mb, System.out);
    }
  }

  private interface Scenario {
    void run(HostTestbed testbed, Path folder) throws Exception;
  }

  private static void withDaemon(String settings, int memory, Scenario scenario) throws Exception {
    Path folder = Files.createTempDirectory("bench-results");
    String script =
        settings.isEmpty()
            ? ""
            : "durable(dir = \"" + folder.resolve("results") + "\", " + settings + ")\n";
    try (HostTestbed testbed =
        new HostTestbed(folder, script, 29421, HostTestbed.Play.of(memory))) {
      testbed.start();
      scenario.run(testbed, folder);
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static double measureLoad(String sync, int clients, int seconds, PrintStream out)
      throws Exception {
    double[] rate = {0};
    String settings =
        sync.equals("off") ? "" : "max_mb = 256, max_keys = 200000, sync = \"" + sync + "\"";
    withDaemon(
        settings,
        192,
        (testbed, folder) -> {
          sendNewKeys(
              testbed, clients, 2, "note", new ConcurrentHistogram(60_000_000, 3)); // warm-up
          Histogram latency = new ConcurrentHistogram(60_000_000, 3);
          int served = sendNewKeys(testbed, clients, seconds, "note", latency);
          rate[0] = served / (double) seconds;
          String syncs =
              testbed
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
              "%3d clients, %-6s %6.0f served/s, "
                  + "p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, resident %d MB%s%n",
              clients,
              sync,
              rate[0],
              latency.getValueAtPercentile(50) / 1000.0,
              latency.getValueAtPercentile(99) / 1000.0,
              latency.getValueAtPercentile(99.9) / 1000.0,
              testbed.daemon().memoryKb("VmHWM") >> 10,
              syncs);
        });
    return rate[0];
  }

  /**
   * Sends requests with new keys for a time and returns how many were served. Each client has one
   * request in flight; latency is from sending to the reply.
   */
  private static int sendNewKeys(
      HostTestbed testbed, int clients, double seconds, String bodyPrefix, Histogram latency)
      throws InterruptedException {
    AtomicInteger served = new AtomicInteger();
    AtomicLong references = new AtomicLong(System.nanoTime());
    long endsAt = System.nanoTime() + (long) (seconds * 1e9);
    Thread[] threads = new Thread[clients];
    for (int i = 0; i < clients; i++) {
      Random random = new Random(i);
      threads[i] =
          new Thread(
              () -> {
                try (TestClient client = new TestClient(testbed.address())) {
                  while (System.nanoTime() < endsAt) {
                    String key =
                        Long.toHexString(random.nextLong()) + Long.toHexString(System.nanoTime());
                    long sentAt = System.nanoTime();
                    if (client
                        .ask("save", references.incrementAndGet(), key, bodyPrefix + key)
                        .word()
                        .equals("done")) {
                      served.incrementAndGet();
                      latency.recordValue((System.nanoTime() - sentAt) / 1000);
                    }
                  }
                } catch (IOException e) {
                  System.out.println("a client failed: " + e);
                }
              });
      threads[i].start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return served.get();
  }

  /** Fills a store until it refuses requests, and restarts the daemon with it. */
  private static void measureFullStore(int memory, int mb, PrintStream out) throws Exception {
    withDaemon(
        "max_mb = " + mb + ", max_keys = 200000, sync = \"none\"",
        memory,
        (testbed, folder) -> {
          int served = 0;
          for (int i = 0;
              i < 25
                  && !testbed
                      .daemon()
                      .get("/_results")
                      .matches("(?s).*refused_store_full +[1-9].*");
              i++) {
            served +=
                sendNewKeys(
                    testbed,
                    mb > 8 ? 64 : 16,
                    1,
                    "x".repeat(1500),
                    new ConcurrentHistogram(60_000_000, 3));
          }
          String figures = testbed.daemon().get("/_results");
          long residentKb = testbed.daemon().memoryKb("VmHWM");
          long anonymousKb = testbed.daemon().memoryKb("RssAnon");
          testbed.daemon().kill();
          long restartedAt = System.nanoTime();
          testbed.start();
          double readyMs = (System.nanoTime() - restartedAt) / 1e6;
          String figuresAfter = testbed.daemon().get("/_results");
          out.printf(
              Locale.ROOT,
              "memory_mb %d, max_mb %d: %d keys served, %s kB used, refused as full %s, "
                  + "resident %d MB, "
                  + "%d of it anonymous; killed, ready after %.0f ms, %.0f of them recovery (%s keys), resident %d MB, "
                  + "%d anonymous%n",
              memory,
              mb,
              served,
              figure(figures, "used_kb"),
              figure(figures, "refused_store_full"),
              residentKb >> 10,
              anonymousKb >> 10,
              readyMs,
              Long.parseLong(figure(figuresAfter, "recovery_us")) / 1000.0,
              figure(figuresAfter, "recovered_known"),
              testbed.daemon().memoryKb("VmHWM") >> 10,
              testbed.daemon().memoryKb("RssAnon") >> 10);
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
