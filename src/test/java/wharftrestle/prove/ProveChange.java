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
 * Checks that the daemon of a host can be replaced and changed back under load: real processes of
 * this build and of earlier ones, with the same and with other settings, of which one is paused or
 * killed at random times, while clients send keyed requests and repeat them. Compared with the fake
 * worker pool: no request is executed twice while a process with its key lives, none is refused
 * after its execution, none is lost except by a kill, and every change completes or leaves the host
 * as before. As a check of the proof, a daemon without the compatibility check has to break a rule.
 * Prints a last line and exits with 0 or 1.
 */
public final class ProveChange {
  private static final int CLIENTS = 4;

  /** Time for which a key is repeated; inside the shortest idempotency window used here. */
  private static final long KEY_REUSE_MS = 9_000;

  /** Time in which a change completes, in addition to the time for which a process was paused. */
  private static final long CHANGE_TIMEOUT_MS = 15_000;

  /** Time for which the active process is observed after a refused change. */
  private static final long OBSERVATION_MS = 700;

  /** Time after a kill in which a connection may end without its reply. */
  private static final long KILL_EXCUSE_MS = 1500;

  /** Log text of a daemon whose successor has no capacity for its keys. */
  private static final String NO_CAPACITY_MESSAGE = "keys are known here, and there is room for";

  private static final List<String> EARLIER_COMMITS = List.of("7ee9590", "f2bf4dc");

  /**
   * A variant of the daemon.
   *
   * @param compatible whether it can take over from every other variant
   * @param earlierBuild whether it is a build of an earlier commit
   */
  private record Variant(
      String name, HostTestbed.Version version, boolean compatible, boolean earlierBuild) {}

  /** What was observed. */
  static final class Observations {
    TestClients.Tally tally;
    final List<Long> readyTimesMs = new ArrayList<>();
    final Map<String, Integer> outcomes = new TreeMap<>();
    int changes;
    int stops;
    int kills;
    int unfinished;

    boolean holds() {
      return tally.holds() && unfinished == 0;
    }

    private long quantile(double quantileShare) {
      List<Long> sorted = new ArrayList<>(readyTimesMs);
      Collections.sort(sorted);
      return sorted.isEmpty() ? 0 : sorted.get((int) (quantileShare * (sorted.size() - 1)));
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d changes %s, %d pauses, %d kills, ready after %d ms (median; maximum %d), %d "
              + "unfinished; %s",
          changes,
          outcomes,
          stops,
          kills,
          quantile(0.5),
          quantile(1),
          unfinished,
          tally);
    }
  }

  private final HostTestbed testbed;
  private final Observations observed = new Observations();
  private final PrintStream out;
  private final List<Variant> variants;
  private final long readyTimeoutMs;
  private volatile boolean awaitingReplacement; // from a kill until another process serves
  private volatile long killedAt = Long.MIN_VALUE / 2;
  private TestClients clients;

  private ProveChange(HostTestbed testbed, List<Variant> variants, PrintStream out) {
    this.testbed = testbed;
    this.variants = variants;
    // The daemon without the check can end in a state that it never leaves, so waits are shorter.
    readyTimeoutMs =
        variants.get(0).version().main().equals("wharftrestle.Main")
            ? CHANGE_TIMEOUT_MS
            : CHANGE_TIMEOUT_MS / 5;
    this.out = out;
  }

  /** Makes a number of changes, with durable results or without. */
  private static Observations runChanges(
      boolean durableResults,
      boolean withoutCheck,
      int changes,
      long seed,
      List<Path> builds,
      PrintStream out)
      throws Exception {
    Path folder = Files.createTempDirectory("prove-change");
    try (HostTestbed testbed = new HostTestbed(folder, "", seed, HostTestbed.Play.of(192))) {
      return new ProveChange(
              testbed, variants(testbed, folder, durableResults, withoutCheck, builds), out)
          .runChanges(changes, new Random(seed));
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static List<Variant> variants(
      HostTestbed testbed,
      Path folder,
      boolean durableResults,
      boolean withoutCheck,
      List<Path> builds) {
    String script =
        durableResults ? "durable(dir = \"" + folder.resolve("results") + "\", max_mb = 16)\n" : "";
    String main = withoutCheck ? "wharftrestle.prove.Unagreed" : "wharftrestle.Main";
    HostTestbed.Settings settings = testbed.settings();
    List<Variant> result = new ArrayList<>();
    result.add(
        new Variant("same", new HostTestbed.Version(null, main, settings, script), true, false));
    result.add(
        new Variant(
            "moved",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(
                    settings.memoryMb(), settings.keyWindowSeconds(), true, false),
                script),
            false,
            false));
    if (withoutCheck) {
      return result;
    }
    result.add(
        new Variant(
            "longer",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(
                    settings.memoryMb(), settings.keyWindowSeconds() + 10, false, false),
                script),
            true,
            false));
    result.add(
        new Variant(
            "shorter",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(
                    settings.memoryMb(), settings.keyWindowSeconds() - 10, false, false),
                script),
            true,
            false));
    result.add(
        new Variant(
            "more",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(
                    settings.memoryMb(), settings.keyWindowSeconds(), false, true),
                script),
            true,
            false));
    result.add(
        new Variant(
            "smaller",
            new HostTestbed.Version(
                null,
                main,
                new HostTestbed.Settings(88, settings.keyWindowSeconds(), false, false),
                script),
            true,
            false));
    if (durableResults) {
      result.add(
          new Variant(
              "folder",
              new HostTestbed.Version(null, main, settings, script.replace("results", "elsewhere")),
              false,
              false));
    }
    for (Path build : builds) {
      boolean compatible = build.toString().contains(EARLIER_COMMITS.get(0));
      result.add(
          new Variant(
              build.getParent().getParent().getFileName().toString(),
              new HostTestbed.Version(build, "wharftrestle.Main", settings, script),
              compatible,
              true));
    }
    return result;
  }

  private Observations runChanges(int changes, Random random) throws Exception {
    Variant currentVariant = variants.get(0);
    DaemonProcess current = testbed.begin(currentVariant.version());
    if (!current.awaitReady(readyTimeoutMs)) {
      throw new IOException("the first process was not ready in time; its log:\n" + current.log());
    }
    clients =
        new TestClients(
            testbed,
            TestClients.Workload.of(CLIENTS, KEY_REUSE_MS),
            random.nextLong(),
            () ->
                awaitingReplacement
                    || System.nanoTime() - killedAt
                        < TimeUnit.MILLISECONDS.toNanos(KILL_EXCUSE_MS));
    clients.start();
    for (int i = 0; i < changes; i++) {
      Variant target = variants.get(1 + i % (variants.size() - 1));
      // An earlier build has no compatibility check, so it is always changed back to the default
      // variant of this build.
      target = random.nextInt(3) == 0 || currentVariant.earlierBuild() ? variants.get(0) : target;
      DaemonProcess result = change(currentVariant, current, target, random);
      currentVariant = result == current ? currentVariant : target;
      current = result;
      if ((i + 1) % 20 == 0) {
        observed.tally = clients.tally();
        out.println("  " + observed);
      }
    }
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500));
    clients.stop();
    observed.tally = clients.tally();
    return observed;
  }

  /** Makes one change, with a random fault; returns the process that serves after it. */
  private DaemonProcess change(
      Variant currentVariant, DaemonProcess active, Variant next, Random random) throws Exception {
    observed.changes++;
    long startedAt = System.nanoTime();
    DaemonProcess successor = testbed.begin(next.version());
    boolean compatible = next.compatible() || currentVariant.version().equals(next.version());
    // An earlier build closes connections that it does not understand and has no ownership lock, so
    // it is paused but not killed.
    boolean earlierBuild = next.earlierBuild() || currentVariant.earlierBuild();
    int faultKind = random.nextInt(10);
    long pauseMs = 0;
    // If the active process is killed, an incompatible successor serves in the end, and no other
    // variant could replace it; so only compatible ones face that kill.
    DaemonProcess victim = compatible && random.nextBoolean() ? active : successor;
    boolean killed = false;
    if (faultKind < 3) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(1200)));
      pauseMs = 100L + random.nextInt(1400);
      observed.stops++;
      victim.setPaused(true);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMs));
      clients.recordPause(pauseMs);
      victim.setPaused(false);
    } else if (faultKind < 6 && !earlierBuild) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(random.nextInt(1200)));
      observed.kills++;
      killedAt = System.nanoTime();
      awaitingReplacement = true;
      victim.kill();
      killed = true;
    }
    if (killed && victim == active) {
      countOutcome("took over from a killed predecessor");
      long killTime = killedAt;
      if (!successor.awaitReady(readyTimeoutMs)) {
        return unfinished(successor, "was not ready after its predecessor was killed");
      }
      recordServingAgain();
      if (!successor.log().contains("to=OPENING_STORAGE event=")) {
        clients.recordKeysLost(
            killTime); // the keys were not transferred and are lost with the killed process
      }
      return successor;
    }
    if (killed) {
      countOutcome("unchanged, the successor was killed");
      if (!active.awaitReady(readyTimeoutMs)) {
        return unfinished(active, "was not ready after its successor was killed");
      }
      recordServingAgain();
      return active;
    }
    if (!compatible) {
      countOutcome("refused");
      return awaitRefused(active, successor);
    }
    if (!successor.awaitReady(readyTimeoutMs + pauseMs)) {
      if (successor.log().contains(NO_CAPACITY_MESSAGE)) {
        // The successor has less capacity than there are keys; the handover is refused and logged.
        countOutcome("refused for lack of capacity");
        return awaitRefused(active, successor);
      }
      return unfinished(
          successor, "was never ready (" + currentVariant.name() + " to " + next.name() + ")");
    }
    countOutcome("changed");
    observed.readyTimesMs.add((System.nanoTime() - startedAt) / 1_000_000 - pauseMs);
    active.terminate();
    if (active.awaitExit(8000) < 0) {
      return unfinished(active, "did not exit");
    }
    return successor;
  }

  /** An incompatible successor: the active process has to continue as if there were none. */
  private DaemonProcess awaitRefused(DaemonProcess active, DaemonProcess successor)
      throws Exception {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MS + 800));
    int refusedBefore = clients.refused();
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MS));
    if (!active.ready() || successor.ready() || clients.refused() - refusedBefore > 20) {
      return unfinished(active, "was disturbed by an incompatible successor");
    }
    successor.kill();
    return active;
  }

  /**
   * Records that a process serves again; requests in flight to the killed one may still end without
   * a reply for a short time.
   */
  private void recordServingAgain() {
    killedAt = System.nanoTime();
    awaitingReplacement = false;
  }

  private void countOutcome(String outcome) {
    observed.outcomes.merge(outcome, 1, Integer::sum);
  }

  private DaemonProcess unfinished(DaemonProcess process, String problem) throws IOException {
    observed.unfinished++;
    String log = process.log();
    out.println(
        "  a process "
            + problem
            + "; the end of its log:\n"
            + log.substring(Math.max(0, log.length() - 1500)));
    if (!process.alive()) {
      throw new IOException("no process serves any more");
    }
    return process;
  }

  // ---- Builds of earlier commits ----

  /** Jars of earlier commits, built from the repository; those that cannot be built are skipped. */
  private static List<Path> earlierBuilds(boolean build, PrintStream out)
      throws IOException, InterruptedException {
    List<Path> jars = new ArrayList<>();
    for (String commit : EARLIER_COMMITS) {
      Path folder = Path.of("target", "builds", commit);
      Path jar = folder.resolve("target/wharftrestle.jar");
      if (!Files.exists(jar) && build) {
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
        out.println("  skipped the build of " + commit + ": no jar, and it could not be built");
      }
    }
    return jars;
  }

  public static void main(String[] args) throws Exception {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : System.nanoTime();
    String changesSetting = System.getenv("CHANGES");
    int changes = changesSetting != null ? Integer.parseInt(changesSetting) : brief ? 7 : 500;
    System.exit(prove(changes, !brief, seed, System.out) ? 0 : 1);
  }

  /** Runs all variants and prints one line with the result. */
  static boolean prove(int changes, boolean earlierBuilds, long seed, PrintStream out)
      throws Exception {
    out.println("prove-change: seed " + seed);
    List<Path> builds = earlierBuilds ? earlierBuilds(true, out) : List.of();
    Observations withoutStore = runChanges(false, false, changes - changes / 2, seed, builds, out);
    out.println("  without durable results: " + withoutStore);
    Observations withStore = runChanges(true, false, changes / 2, seed, builds, out);
    out.println("  durable results: " + withStore);
    Observations withoutCheck =
        runChanges(
            false,
            true,
            Math.min(6, changes),
            seed,
            List.of(),
            new PrintStream(OutputStream.nullOutputStream()));
    out.println("  without the compatibility check: " + withoutCheck);
    boolean holds =
        withoutStore.holds()
            && withStore.holds()
            && withStore.tally.runTwiceHolderKilled() == 0
            && withoutCheck.tally.runTwice() > 0
            && withoutStore.tally.again() > 0;
    out.printf(
        Locale.ROOT,
        "prove-change: %s, without durable results: %s; durable results: %s; without the compatibility check: %d "
            + "executed twice, %d refused after an execution, %d unfinished%n",
        holds ? "holds" : "falls short",
        withoutStore,
        withStore,
        withoutCheck.tally.runTwice(),
        withoutCheck.tally.refusedAfterRun(),
        withoutCheck.unfinished);
    return holds;
  }
}
