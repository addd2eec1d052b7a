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
 * CPU of two builds side by side in one run: of a start, and of an answer under steady callers, in
 * turn. The first two seconds are left out of the second figure: code is compiled then.
 */
public final class BenchBuilds {
  private static final int CALLERS = 24;
  private static final int ROUNDS = 4;
  private static final long READY_MS = 20_000;

  private BenchBuilds() {}

  public static void main(String[] args) throws Exception {
    if (args.length != 2) {
      System.err.println("name two jars");
      System.exit(2);
    }
    double[][] sums = new double[2][2];
    for (int round = 0; round < ROUNDS; round++) {
      for (int i = 0; i < 2; i++) {
        int which = round % 2 == 0 ? i : 1 - i; // neither is always the second
        double[] seen = play(Path.of(args[which]), 7 + round);
        sums[which][0] += seen[0];
        sums[which][1] += seen[1];
        System.out.printf(
            Locale.ROOT, "  %s: start %.2f s, an answer %.0f us%n", args[which], seen[0], seen[1]);
      }
    }
    System.out.printf(
        Locale.ROOT,
        "bench-builds: %d plays each, start %.3f and %.3f s (ratio %.3f), an answer %.0f and "
            + "%.0f us (ratio %.3f)%n",
        ROUNDS,
        sums[0][0] / ROUNDS,
        sums[1][0] / ROUNDS,
        sums[1][0] / sums[0][0],
        sums[0][1] / ROUNDS,
        sums[1][1] / ROUNDS,
        sums[1][1] / sums[0][1]);
  }

  private static double[] play(Path jar, long seed) throws Exception {
    Path folder = Files.createTempDirectory("bench-builds");
    try (HostTestbed floor = new HostTestbed(folder, "", seed, HostTestbed.Play.of(192))) {
      DaemonProcess daemon =
          floor.begin(new HostTestbed.Version(jar, "wharftrestle.Main", floor.settings(), ""));
      if (!daemon.awaitReady(READY_MS)) {
        throw new IllegalStateException("it did not start:\n" + daemon.log());
      }
      double start = daemon.cpuSeconds();
      TestClients callers =
          new TestClients(floor, TestClients.Habit.of(CALLERS, 9000), seed, () -> false);
      callers.start();
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(2));
      double before = daemon.cpuSeconds();
      int served = callers.served();
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(6));
      double took = daemon.cpuSeconds() - before;
      int answers = callers.served() - served;
      callers.stop();
      if (!callers.tally().holds()) {
        throw new IllegalStateException(callers.tally().toString());
      }
      return new double[] {start, took * 1e6 / answers};
    } finally {
      HostTestbed.delete(folder);
    }
  }
}
