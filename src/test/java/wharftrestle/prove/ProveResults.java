package wharftrestle.prove;

import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.testbed.FakeWorkerPool;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClients;

/**
 * Checks that no keyed request is executed twice across restarts: a real daemon is killed at random
 * times while clients send keyed requests and repeat them. The fake worker pool counts the
 * executions. As a check of the proof, duplicate executions have to be found with the store off.
 * Prints a last line and exits with 0 or 1.
 */
public final class ProveResults {
  private static final int CLIENTS = 8;

  /** Time for which a key is repeated; well inside the idempotency window of 24 s. */
  private static final long KEY_REUSE_MS = 14_000;

  /** Part of requests that repeat a key. */
  private static final double REPEAT_SHARE = 0.7;

  /** Longest pause of a client between two requests. */
  private static final int MAX_THINK_MS = 50;

  /** Longest time that a daemon serves before it is killed. */
  private static final int MAX_UPTIME_MS = 900;

  /** What was observed with the store on or off. */
  static final class Observations {
    TestClients.Tally tally;
    int kills;
    int keys;

    /** A result is on disk before its first reply, so a repeated key may get only that result. */
    boolean holds() {
      return tally.runTwice() == 0
          && tally.refusedAfterRun() == 0
          && tally.otherBytes() == 0
          && tally.failedAfterResult() == 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d repeats of %d keys, %d kills, %d executed twice, %d refused after an execution, "
              + "%d with other bytes or an error (%d served, %d of them again, %d failed, %d refused)",
          tally.repeats(),
          keys,
          kills,
          tally.runTwice(),
          tally.refusedAfterRun(),
          tally.otherBytes() + tally.failedAfterResult(),
          tally.served(),
          tally.again(),
          tally.failed(),
          tally.refused());
    }
  }

  private final HostTestbed testbed;
  private final Observations observed = new Observations();
  private final int minRepeats;
  private final int kills;
  private final PrintStream out;

  private ProveResults(HostTestbed testbed, int minRepeats, int kills, PrintStream out) {
    this.testbed = testbed;
    this.minRepeats = minRepeats;
    this.kills = kills;
    this.out = out;
  }

  /** Runs at least a number of repeats and kills, with the store on or off. */
  static Observations runWithKills(
      boolean durableResults, int repeats, int kills, long seed, PrintStream out) throws Exception {
    Path folder = Files.createTempDirectory("prove-results");
    String script =
        durableResults ? "durable(dir = \"" + folder.resolve("results") + "\", max_mb = 16)\n" : "";
    try (HostTestbed testbed = new HostTestbed(folder, script, seed, HostTestbed.Play.of(192))) {
      return new ProveResults(testbed, repeats, kills, out).runWithKills(new Random(seed));
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private Observations runWithKills(Random random) throws Exception {
    testbed.start();
    TestClients clients =
        new TestClients(
            testbed,
            new TestClients.Workload(CLIENTS, KEY_REUSE_MS, REPEAT_SHARE, MAX_THINK_MS),
            random.nextLong(),
            () -> true);
    clients.start();
    while (clients.repeats() < minRepeats || observed.kills < kills) {
      killAtRandomMoment(random);
      observed.kills++;
      testbed.start();
      if (observed.kills % 20 == 0) {
        out.println("  " + clients.repeats() + " repeats, " + observed.kills + " kills");
      }
    }
    clients.stop();
    observed.tally = clients.tally();
    observed.keys = testbed.executedBodies();
    return observed;
  }

  /** Kills the daemon at a random time, or shortly after an execution started or ended. */
  private void killAtRandomMoment(Random random) throws InterruptedException {
    LockSupport.parkNanos(random.nextInt(MAX_UPTIME_MS) * 1_000_000L);
    int trigger = random.nextInt(3);
    long delayNanos =
        random.nextInt(3000) * 1000L; // the following writes and syncs take less than 3 ms
    Object lock = new Object();
    boolean[] reached = {trigger == 0};
    testbed.setExecutionListener(
        new FakeWorkerPool.ExecutionListener() {
          private void signalIf(boolean matches) {
            if (matches) {
              synchronized (lock) {
                reached[0] = true;
                lock.notifyAll();
              }
            }
          }

          @Override
          public void onStarted() {
            signalIf(trigger == 1);
          }

          @Override
          public void onFinished() {
            signalIf(trigger == 2);
          }
        });
    synchronized (lock) {
      long deadline = System.nanoTime() + 500_000_000L;
      while (!reached[0] && System.nanoTime() < deadline) {
        lock.wait(50);
      }
    }
    LockSupport.parkNanos(delayNanos);
    testbed.daemon().kill();
    testbed.setExecutionListener(null);
  }

  public static void main(String[] args) throws Exception {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : System.nanoTime();
    System.exit(prove(brief ? 800 : 10_000, brief ? 12 : 100, seed, System.out) ? 0 : 1);
  }

  /** Runs with the store on and off; prints one line with the result. */
  static boolean prove(int repeats, int kills, long seed, PrintStream out) throws Exception {
    out.println("prove-results: seed " + seed);
    Observations withStore = runWithKills(true, repeats, kills, seed, out);
    out.println("  store on: " + withStore);
    Observations withoutStore = runWithKills(false, 0, Math.min(kills, 12), seed, out);
    out.println("  store off: " + withoutStore);
    boolean holds =
        withStore.holds()
            && withoutStore.tally.runTwice() > 0
            && withStore.tally.again() > 0
            && withStore.kills > 0;
    out.printf(
        Locale.ROOT,
        "prove-results: %s, store on: %s; store off: %d executed twice in %d repeats%n",
        holds ? "holds" : "falls short",
        withStore,
        withoutStore.tally.runTwice(),
        withoutStore.tally.repeats());
    return holds;
  }
}
