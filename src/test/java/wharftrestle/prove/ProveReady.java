package wharftrestle.prove;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/**
 * Checks that restarted daemons become ready: many start at once on this machine, and each gets
 * requests until it has served one, is healthy and has reported that. Nine in ten have to be ready
 * within 10 s, also if the worker pool starts late and if the name service is gone. Prints a last
 * line and exits with 0 or 1.
 */
public final class ProveReady {
  private static final double READY_SHARE = 0.9;
  private static final double MAX_READY_SECONDS = 10;
  private static final double POOL_DELAY_SECONDS = 2;
  private static final long GIVE_UP_NANOS = 40_000_000_000L;

  private ProveReady() {}

  /** Fault during the start. */
  private enum Fault {
    NONE,
    POOL_LATE,
    NAMES_GONE
  }

  /** Time from the start until the daemon is ready, infinite for never, and CPU time until then. */
  private record Ready(double readySeconds, double cpuSeconds) {}

  private static Ready measureStart(HostTestbed testbed, Fault fault) throws Exception {
    if (fault == Fault.NAMES_GONE) {
      testbed.closeNameService();
    }
    testbed.pool().holdBind(fault == Fault.POOL_LATE);
    long startedAt = System.nanoTime();
    DaemonProcess daemon = testbed.launch();
    if (fault == Fault.POOL_LATE) {
      new Thread(
              () -> {
                LockSupport.parkNanos((long) (POOL_DELAY_SECONDS * 1e9));
                testbed.pool().holdBind(false);
              })
          .start();
    }
    boolean ready = false;
    for (int i = 1; !ready && System.nanoTime() - startedAt < GIVE_UP_NANOS; i++) {
      try (TestClient client = new TestClient(testbed.address())) {
        ready = client.ask("save", i, "key " + i, "body " + i).word().equals("done");
        if (ready) {
          client.send("STATUS", "1000", "");
          ready = client.reply().word().equals("healthy");
        }
      } catch (IOException notYet) {
        LockSupport.parkNanos(5_000_000);
      }
    }
    ready = ready && (fault == Fault.NAMES_GONE || testbed.awaitReportedReady(1000));
    double readySeconds = ready ? (System.nanoTime() - startedAt) / 1e9 : Double.POSITIVE_INFINITY;
    return new Ready(readySeconds, daemon.cpuSeconds());
  }

  private static List<Ready> start(int count, Fault fault, long seed) throws Exception {
    ConcurrentLinkedQueue<Ready> results = new ConcurrentLinkedQueue<>();
    List<Thread> threads = new ArrayList<>();
    List<HostTestbed> testbeds = new ArrayList<>();
    Path folder = Files.createTempDirectory("ready");
    try {
      for (int i = 0; i < count; i++) {
        HostTestbed testbed =
            new HostTestbed(
                Files.createDirectories(folder.resolve(Integer.toString(i))),
                "",
                seed + i,
                HostTestbed.Play.of(192));
        testbeds.add(testbed);
        threads.add(
            new Thread(
                () -> {
                  try {
                    results.add(measureStart(testbed, fault));
                  } catch (Exception failed) {
                    results.add(new Ready(Double.POSITIVE_INFINITY, 0));
                  }
                }));
      }
      for (Thread thread : threads) {
        thread.start();
      }
      for (Thread thread : threads) {
        thread.join();
      }
    } finally {
      for (HostTestbed testbed : testbeds) {
        testbed.close();
      }
      HostTestbed.delete(folder);
    }
    return results.stream()
        .sorted((a, b) -> Double.compare(a.readySeconds(), b.readySeconds()))
        .toList();
  }

  private static double quantile(List<Ready> results, double share) {
    return results.get((int) Math.ceil(share * results.size()) - 1).readySeconds();
  }

  /** Starts a number of daemons at once with each fault; prints one line with the result. */
  static boolean prove(int count, long seed, PrintStream out) throws Exception {
    StringBuilder figures = new StringBuilder();
    boolean holds = true;
    for (Fault fault : Fault.values()) {
      List<Ready> results = start(count, fault, seed);
      double cpuSeconds = results.stream().mapToDouble(Ready::cpuSeconds).average().orElse(0);
      holds &= quantile(results, READY_SHARE) <= MAX_READY_SECONDS;
      figures.append(
          String.format(
              Locale.ROOT,
              "%s %s %.2f, %.2f, %.2f s (CPU of a start %.2f s)",
              figures.length() == 0 ? "" : ";",
              fault.name().toLowerCase(Locale.ROOT).replace('_', ' '),
              quantile(results, 0.5),
              quantile(results, READY_SHARE),
              quantile(results, 1),
              cpuSeconds));
    }
    out.printf(
        Locale.ROOT,
        "prove-ready: %s, %d at once, half, nine in ten and all ready after:%s%n",
        holds ? "holds" : "falls short",
        count,
        figures);
    return holds;
  }

  public static void main(String[] args) throws Exception {
    boolean brief = "1".equals(System.getenv("SHORT"));
    System.exit(
        prove(brief ? 3 : 20, args.length > 0 ? Long.parseLong(args[0]) : 29421, System.out)
            ? 0
            : 1);
  }
}
