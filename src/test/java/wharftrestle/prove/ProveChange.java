package wharftrestle.prove;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClients;

/**
 * Proves that one box can be changed and changed back under load: real processes of this build and
 * of earlier ones, with the same and with other settings, one of the two stopped or killed at
 * moments drawn from a seed, while desks ask keyed requests and repeat them. Held against the
 * stand-in worker pool: nothing runs twice while a process lives that holds the keys, nothing is
 * refused after its run, nothing is lost but by a kill, every change ends as changed or as before.
 * The same without the agreement has to break a rule, or the proof could not fail. It closes on one
 * line, and exit 0 or 1.
 */
public final class ProveChange {
  private static final int DESKS = 4;

  /** Milliseconds for which a key is repeated: inside the shortest window that is played. */
  private static final long KEY_MS = 9_000;

  /** Milliseconds in which a change ends, on top of what a process was stopped for. */
  private static final long READY_MS = 15_000;

  /** Milliseconds for which the one that serves is watched after a change that cannot be. */
  private static final long WATCH_MS = 700;

  /** Milliseconds after a kill in which a connection may end without its answer. */
  private static final long KILL_MS = 1500;

  /** How a process says that another has no room for its keys. */
  private static final String NO_ROOM = "keys are known here, and there is room for";

  private static final List<String> HISTORY = List.of("7ee9590", "f2bf4dc");

  /** One way to be: what a process is, and whether it can take over from any other here. */
  private record Way(String name, HostTestbed.Version version, boolean fits, boolean former) {}

  /** What was seen. */
  static final class Seen {
    TestClients.Tally tally;
    final List<Long> readyMs = new ArrayList<>();
    final Map<String, Integer> ended = new TreeMap<>();
    int changes;
    int stops;
    int kills;
    int unfinished;

    boolean holds() {
      return tally.holds() && unfinished == 0;
    }

    private long ready(double part) {
      List<Long> sorted = new ArrayList<>(readyMs);
      Collections.sort(sorted);
      return sorted.isEmpty() ? 0 : sorted.get((int) (part * (sorted.size() - 1)));
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d changes %s, %d stops, %d kills, ready after %d ms (median; most %d), %d "
              + "never ended; %s",
          changes,
          ended,
          stops,
          kills,
          ready(0.5),
          ready(1),
          unfinished,
          tally);
    }
  }

  private final HostTestbed floor;
  private final Seen seen = new Seen();
  private final PrintStream out;
  private final List<Way> ways;
  private final long readyMs;
  private volatile boolean killing; // until another process serves
  private volatile long killedAt = Long.MIN_VALUE / 2;
  private TestClients callers;

  private ProveChange(HostTestbed floor, List<Way> ways, PrintStream out) {
    this.floor = floor;
    this.ways = ways;
    // The mutant is left in states that nothing gets out of: it is not waited for as long.
    readyMs = ways.get(0).version().main().equals("wharftrestle.Main") ? READY_MS : READY_MS / 5;
    this.out = out;
  }

  /** Plays so many changes, with kept results or without. */
  private static Seen play(
      boolean kept, boolean mutant, int changes, long seed, List<Path> builds, PrintStream out)
      throws Exception {
    Path folder = Files.createTempDirectory("prove-change");
    try (HostTestbed floor = new HostTestbed(folder, "", seed, HostTestbed.Play.of(192))) {
      return new ProveChange(floor, ways(floor, folder, kept, mutant, builds), out)
          .play(changes, new Random(seed));
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static List<Way> ways(
      HostTestbed floor, Path folder, boolean kept, boolean mutant, List<Path> builds) {
    String script =
        kept ? "durable(dir = \"" + folder.resolve("results") + "\", max_mb = 16)\n" : "";
    String main = mutant ? "wharftrestle.prove.Unagreed" : "wharftrestle.Main";
    HostTestbed.Settings set = floor.settings();
    List<Way> all = new ArrayList<>();
    all.add(new Way("same", new HostTestbed.Version(null, main, set, script), true, false));
    all.add(
        new Way(
            "moved",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(set.memoryMb(), set.window(), true, false),
                script),
            false,
            false));
    if (mutant) {
      return all;
    }
    all.add(
        new Way(
            "longer",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(set.memoryMb(), set.window() + 10, false, false),
                script),
            true,
            false));
    all.add(
        new Way(
            "shorter",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(set.memoryMb(), set.window() - 10, false, false),
                script),
            true,
            false));
    all.add(
        new Way(
            "more",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(set.memoryMb(), set.window(), false, true),
                script),
            true,
            false));
    all.add(
        new Way(
            "smaller",
            new HostTestbed.Version(
                null, main, new HostTestbed.Settings(88, set.window(), false, false), script),
            true,
            false));
    if (kept) {
      all.add(
          new Way(
              "folder",
              new HostTestbed.Version(null, main, set, script.replace("results", "elsewhere")),
              false,
              false));
    }
    for (Path build : builds) {
      boolean fits = build.toString().contains(HISTORY.get(0));
      all.add(
          new Way(
              build.getParent().getParent().getFileName().toString(),
              new HostTestbed.Version(build, "wharftrestle.Main", set, script),
              fits,
              true));
    }
    return all;
  }

  private Seen play(int changes, Random random) throws Exception {
    Way serves = ways.get(0);
    DaemonProcess old = floor.begin(serves.version());
    if (!old.awaitReady(readyMs)) {
      throw new IOException("the first process did not start:\n" + old.log());
    }
    callers =
        new TestClients(
            floor,
            TestClients.Habit.of(DESKS, KEY_MS),
            random.nextLong(),
            () -> killing || System.nanoTime() - killedAt < TimeUnit.MILLISECONDS.toNanos(KILL_MS));
    callers.start();
    for (int i = 0; i < changes; i++) {
      Way next = ways.get(1 + i % (ways.size() - 1));
      // An earlier build that serves says no terms and asks for none: it is changed back to this
      // one as it is.
      next = random.nextInt(3) == 0 || serves.former() ? ways.get(0) : next;
      DaemonProcess now = change(serves, old, next, random);
      serves = now == old ? serves : next;
      old = now;
      if ((i + 1) % 20 == 0) {
        seen.tally = callers.tally();
        out.println("  " + seen);
      }
    }
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500));
    callers.stop();
    seen.tally = callers.tally();
    return seen;
  }

  /** One change, with what goes wrong in it; the process that serves after it. */
  private DaemonProcess change(Way serves, DaemonProcess old, Way next, Random random)
      throws Exception {
    seen.changes++;
    long began = System.nanoTime();
    DaemonProcess now = floor.begin(next.version());
    boolean fits = next.fits() || serves.version().equals(next.version());
    // An earlier build closes what it does not like, and knows no seat: it is stopped, and not
    // killed.
    boolean former = next.former() || serves.former();
    int kind = random.nextInt(10);
    long wait = 0;
    // Where the first one is killed, one that cannot take over serves in the end, and no other here
    // could follow it.
    DaemonProcess victim = fits && random.nextBoolean() ? old : now;
    boolean killed = false;
    if (kind < 3) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(1200)));
      wait = 100L + random.nextInt(1400);
      seen.stops++;
      victim.stopped(true);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(wait));
      callers.paused(wait);
      victim.stopped(false);
    } else if (kind < 6 && !former) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(1200)));
      seen.kills++;
      killedAt = System.nanoTime();
      killing = true;
      victim.kill();
      killed = true;
    }
    if (killed && victim == old) {
      ended("took over from a killed one");
      long at = killedAt;
      if (!now.awaitReady(readyMs)) {
        return unfinished(now, "did not serve after the old one was killed");
      }
      served();
      if (!now.log().contains("to=OPENING_STORAGE event=")) {
        callers.forgotten(at); // it had not been given the keys: they died with their only holder
      }
      return now;
    }
    if (killed) {
      ended("as before, the new one was killed");
      if (!old.awaitReady(readyMs)) {
        return unfinished(old, "did not serve on after the new one was killed");
      }
      served();
      return old;
    }
    if (!fits) {
      ended("refused");
      return refused(old, now);
    }
    if (!now.awaitReady(readyMs + wait)) {
      if (now.log().contains(NO_ROOM)) {
        // As many keys were known as a smaller one has no room for: that is refused beforehand, and
        // said.
        ended("refused for want of room");
        return refused(old, now);
      }
      return unfinished(now, "was never ready (" + serves.name() + " to " + next.name() + ")");
    }
    ended("changed");
    seen.readyMs.add((System.nanoTime() - began) / 1_000_000 - wait);
    old.term();
    if (old.awaitEnd(8000) < 0) {
      return unfinished(old, "did not end");
    }
    return now;
  }

  /** A process that cannot take over: the one that serves has to go on as if never asked. */
  private DaemonProcess refused(DaemonProcess old, DaemonProcess now) throws Exception {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WATCH_MS + 800));
    int refused = callers.refused();
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(WATCH_MS));
    if (!old.ready() || now.ready() || callers.refused() - refused > 20) {
      return unfinished(old, "did not serve on as if never asked");
    }
    now.kill();
    return old;
  }

  /**
   * A process serves again: what was on its way to the killed one may end without an answer a
   * little longer.
   */
  private void served() {
    killedAt = System.nanoTime();
    killing = false;
  }

  private void ended(String how) {
    seen.ended.merge(how, 1, Integer::sum);
  }

  private DaemonProcess unfinished(DaemonProcess which, String what) throws IOException {
    seen.unfinished++;
    String log = which.log();
    out.println(
        "  a process "
            + what
            + "; its log ends:\n"
            + log.substring(Math.max(0, log.length() - 1500)));
    if (!which.alive()) {
      throw new IOException("nothing serves any more");
    }
    return which;
  }

  // ---- Builds of this project's history ----

  /**
   * The jars of earlier builds, made from the repository's own commits; those that cannot be had
   * are left out.
   */
  private static List<Path> history(boolean make, PrintStream out)
      throws IOException, InterruptedException {
    List<Path> jars = new ArrayList<>();
    for (String commit : HISTORY) {
      Path folder = Path.of("target", "builds", commit);
      Path jar = folder.resolve("target/wharftrestle.jar");
      if (!Files.exists(jar) && make) {
        Files.createDirectories(folder);
        new ProcessBuilder(
                "sh",
                "-c",
                "git archive "
                    + commit
                    + " | tar -x -C "
                    + folder
                    + " && cd "
                    + folder
                    + " && mvn -q -B -DskipTests package")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start()
            .waitFor();
      }
      if (Files.exists(jar)) {
        jars.add(jar);
      } else {
        out.println(
            "  the build of " + commit + " is left out: it is not here, or there is no history");
      }
    }
    return jars;
  }

  public static void main(String[] args) throws Exception {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : System.nanoTime();
    String wanted = System.getenv("CHANGES");
    int changes = wanted != null ? Integer.parseInt(wanted) : brief ? 7 : 500;
    System.exit(prove(changes, !brief, seed, System.out) ? 0 : 1);
  }

  /** Plays all ways and says so on one line. */
  static boolean prove(int changes, boolean history, long seed, PrintStream out) throws Exception {
    out.println("prove-change: seed " + seed);
    List<Path> builds = history ? history(true, out) : List.of();
    Seen off = play(false, false, changes - changes / 2, seed, builds, out);
    out.println("  nothing on disk: " + off);
    Seen on = play(true, false, changes / 2, seed, builds, out);
    out.println("  kept results: " + on);
    Seen mutant =
        play(
            false,
            true,
            Math.min(6, changes),
            seed,
            List.of(),
            new PrintStream(OutputStream.nullOutputStream()));
    out.println("  without the agreement: " + mutant);
    boolean holds =
        off.holds()
            && on.holds()
            && on.tally.runTwiceHolderKilled() == 0
            && mutant.tally.runTwice() > 0
            && off.tally.again() > 0;
    out.printf(
        Locale.ROOT,
        "prove-change: %s, nothing on disk: %s; kept results: %s; without the agreement: %d "
            + "double runs, %d refused after a run, %d never ended%n",
        holds ? "holds" : "falls short",
        off,
        on,
        mutant.tally.runTwice(),
        mutant.tally.refusedAfterRun(),
        mutant.unfinished);
    return holds;
  }
}
