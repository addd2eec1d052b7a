package wharftrestle.prove;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClients;

/**
 * Compares two builds in one run: the CPU time of a start, and of a reply under steady load. The
 * first two seconds do not count for the second figure, since the JVM compiles code then.
 */
public final class BenchBuilds {
  private static final int CLIENTS = 24;
  private static final int ROUNDS = 4;
  private static final long READY_TIMEOUT_MS = 20_000;

  private BenchBuilds() {}

  public static void main(String[] args) throws Exception {
    if (args.length != 2) {
      System.err.println("expected two arguments: the jars of the builds");
      System.exit(2);
    }
    double[][] sums = new double[2][2];
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < 2; i++) {
        int build = round % 2 == 0 ? i : 1 - i; // alternate the order
        double[] figures = measureBuild(Path.of(args[build]), 7 + round);
        sums[build][0] += figures[0];
        sums[build][1] += figures[1];
        System.out.printf(
            Locale.ROOT,
            "  %s: start %.2f s, a reply %.0f us%n",
            args[build],
            figures[0],
            figures[1]);
      }
    }
    System.out.printf(
        Locale.ROOT,
        "bench-builds: %d runs each, start %.3f and %.3f s (ratio %.3f), a reply %.0f and "
            + "%.0f us (ratio %.3f)%n",
        ROUNDS,
        sums[0][0] / ROUNDS,
        sums[1][0] / ROUNDS,
        sums[1][0] / sums[0][0],
        sums[0][1] / ROUNDS,
        sums[1][1] / ROUNDS,
        sums[1][1] / sums[0][1]);
  }

  private static double[] measureBuild(Path jar, long seed) throws Exception {
    Path folder = Files.createTempDirectory("bench-builds");
    try (HostTestbed testbed = new HostTestbed(folder, "", seed, HostTestbed.Play.of(192))) {
      DaemonProcess daemon =
          testbed.begin(new HostTestbed.Version(jar, "wharftrestle.Main", testbed.settings(), ""));
      if (!daemon.awaitReady(READY_TIMEOUT_MS)) {
        throw new IllegalStateException(
            "the daemon was not ready in time; its log:\n" + daemon.log());
      }
      double start = daemon.cpuSeconds();
      TestClients clients =
          new TestClients(testbed, TestClients.Workload.of(CLIENTS, 9000), seed, () -> false);
      clients.start();
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(2));
      double cpuBefore = daemon.cpuSeconds();
      int servedBefore = clients.served();
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(6));
      double cpuSeconds = daemon.cpuSeconds() - cpuBefore;
      int results = clients.served() - servedBefore;
      clients.stop();
      if (!clients.tally().holds()) {
        throw new IllegalStateException(clients.tally().toString());
      }
      return new double[] {start, cpuSeconds * 1e6 / results};
    } finally {
      HostTestbed.delete(folder);
    }
  }
}
