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
 * Proves that no keyed request runs twice over restarts: a real daemon is killed at moments drawn
 * from a seed while desks ask keyed requests and repeat them. Runs are counted by the stand-in
 * worker pool. The same is played with the store off, where double runs must be found, or the proof
 * could not fail. It closes on one line, and exit 0 or 1.
 */
public final class ProveResults {
  private static final int DESKS = 8;

  /** Milliseconds for which a key is repeated: well inside its window of 24 s. */
  private static final long KEY_MS = 14_000;

  /** Part of requests that repeat a key. */
  private static final double AGAIN = 0.7;

  /** Milliseconds that a desk waits between two requests, at most. */
  private static final int THINK = 50;

  /** Milliseconds that a daemon serves before it is killed, at most. */
  private static final int LONGEST_LIFE = 900;

  /** What was seen of one way of playing. */
  static final class Seen {
    TestClients.Tally tally;
    int kills;
    int keys;

    /**
     * Its result was on disk before it was answered once: nothing but that may come of a key after
     * it.
     */
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
          "%d repeats of %d keys, %d kills, %d double runs, %d refused after a run, "
              + "%d not with their bytes (%d served, %d of them again, %d failed, %d refused)",
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

  private final HostTestbed floor;
  private final Seen seen = new Seen();
  private final int wanted;
  private final int kills;
  private final PrintStream out;

  private ProveResults(HostTestbed floor, int wanted, int kills, PrintStream out) {
    this.floor = floor;
    this.wanted = wanted;
    this.kills = kills;
    this.out = out;
  }

  /** Plays one way: so many repeats and kills at least, with the store on or off. */
  static Seen play(boolean kept, int repeats, int kills, long seed, PrintStream out)
      throws Exception {
    Path folder = Files.createTempDirectory("prove-results");
    String script =
        kept ? "durable(dir = \"" + folder.resolve("results") + "\", max_mb = 16)\n" : "";
    try (HostTestbed floor = new HostTestbed(folder, script, seed, HostTestbed.Play.of(192))) {
      return new ProveResults(floor, repeats, kills, out).play(new Random(seed));
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private Seen play(Random random) throws Exception {
    floor.start();
    TestClients callers =
        new TestClients(
            floor,
            new TestClients.Habit(DESKS, KEY_MS, AGAIN, THINK),
            random.nextLong(),
            () -> true);
    callers.start();
    while (callers.repeats() < wanted || seen.kills < kills) {
      killAt(random);
      seen.kills++;
      floor.start();
      if (seen.kills % 20 == 0) {
        out.println("  " + callers.repeats() + " repeats, " + seen.kills + " kills");
      }
    }
    callers.stop();
    seen.tally = callers.tally();
    seen.keys = floor.bodies();
    return seen;
  }

  /**
   * Kills the daemon at a moment: any, or just after a run was asked for, or just after one ended.
   */
  private void killAt(Random random) throws InterruptedException {
    LockSupport.parkNanos(random.nextInt(LONGEST_LIFE) * 1_000_000L);
    int kind = random.nextInt(3);
    long late =
        random.nextInt(3000) * 1000L; // ns: the writes and syncs that follow lie within 3 ms
    Object moment = new Object();
    boolean[] now = {kind == 0};
    floor.watch(
        new FakeWorkerPool.Moments() {
          private void take(boolean wanted) {
            if (wanted) {
              synchronized (moment) {
                now[0] = true;
                moment.notifyAll();
              }
            }
          }

          @Override
          public void spawned() {
            take(kind == 1);
          }

          @Override
          public void finished() {
            take(kind == 2);
          }
        });
    synchronized (moment) {
      long until = System.nanoTime() + 500_000_000L;
      while (!now[0] && System.nanoTime() < until) {
        moment.wait(50);
      }
    }
    LockSupport.parkNanos(late);
    floor.daemon().kill();
    floor.watch(null);
  }

  public static void main(String[] args) throws Exception {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : System.nanoTime();
    System.exit(prove(brief ? 800 : 10_000, brief ? 12 : 100, seed, System.out) ? 0 : 1);
  }

  /** Plays both ways and says so on one line. */
  static boolean prove(int repeats, int kills, long seed, PrintStream out) throws Exception {
    out.println("prove-results: seed " + seed);
    Seen on = play(true, repeats, kills, seed, out);
    out.println("  kept: " + on);
    Seen off = play(false, 0, Math.min(kills, 12), seed, out);
    out.println("  not kept: " + off);
    boolean holds = on.holds() && off.tally.runTwice() > 0 && on.tally.again() > 0 && on.kills > 0;
    out.printf(
        Locale.ROOT,
        "prove-results: %s, kept: %s; not kept: %d double runs in %d repeats%n",
        holds ? "holds" : "falls short",
        on,
        off.tally.runTwice(),
        off.tally.repeats());
    return holds;
  }
}
