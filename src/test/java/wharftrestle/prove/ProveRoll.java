package wharftrestle.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import wharftrestle.testbed.FaultRule;
import wharftrestle.testbed.FleetTestbed;
import wharftrestle.testbed.HostTestbed;

/**
 * Checks rollouts with real processes: 14 hosts, each with a supervisor, its daemon and clients, a
 * proxy between each supervisor and the controller, and random faults: connections cut, delayed,
 * and blackholed in one direction; supervisors, daemons and the controller killed or paused. A
 * release that is not worse has to reach all hosts, a bad one has to be rolled back, and no rule
 * may be broken. As a check of the proof, a bad release has to reach all hosts without the canary
 * analysis. Prints a last line and exits with 0 or 1.
 */
public final class ProveRoll {
  private static final int HOSTS = 14;
  private static final int ZONES = 4;
  private static final long READY_TIMEOUT_MS = 30_000;
  private static final String FIRST = "one";
  private static final List<String> BAD_RELEASES =
      List.of("fails", "crashes", "slow", "leaks", "refuses");

  /** A fault that is not caused by a release. */
  private enum Fault {
    DELAY,
    HOLE_THERE,
    HOLE_BACK,
    CUT,
    PAUSE_SUPERVISOR,
    KILL_SUPERVISOR,
    PAUSE_DAEMON,
    PAUSE_CONTROLLER,
    KILL_CONTROLLER
  }

  /** Result of one rollout. */
  private record RolloutResult(
      String release,
      String expectedOutcome,
      boolean asExpected,
      int exit,
      int faults,
      int controllers,
      double seconds,
      int maxHosts,
      Map<String, Integer> brokenRules,
      String reason) {
    boolean holds() {
      return asExpected && brokenRules.isEmpty();
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%-8s %s in %.0f s, exit %d, at most %d hosts had it, %d faults, %d controllers%s%s",
          release,
          asExpected ? "ended as " + expectedOutcome : "DID NOT END as " + expectedOutcome,
          seconds,
          exit,
          maxHosts,
          faults,
          controllers,
          brokenRules.isEmpty() ? "" : ", BROKEN " + brokenRules,
          reason.isEmpty() ? "" : " (" + reason + ")");
    }
  }

  private final PrintStream out;
  private final Random random;
  private final long seed;
  private final boolean brief;
  private String currentRelease = FIRST;
  private int rolloutCount;

  private ProveRoll(long seed, boolean brief, PrintStream out) {
    this.seed = seed;
    this.brief = brief;
    this.out = out;
    random = new Random(seed);
  }

  private static String changeText(String to, String criteria, boolean brief) {
    return "change(to = \""
        + to
        + "\", stages = [stage(boxes = 1, hold = "
        + (brief ? 2 : 8)
        + "), stage(share = 0.5, "
        + "spread = \"zone\", hold = "
        + (brief ? 2 : 8)
        + "), stage(share = 1, spread = \"zone\", hold = 2)], worse = ["
        + criteria
        + "], most_away = "
        + (brief ? 4 : 3)
        + ", window = 0.5, watch = "
        + (brief ? 5 : 12)
        + ", warm = 1.5, tries = 4, "
        + "patience = 90)";
  }

  private static final String SHORT_CRITERIA = "worth(0.1), failed(0.1), refused(0.2)";
  private static final String FULL_CRITERIA = SHORT_CRITERIA + ", cpu(3), growth(90)";

  /** Starts the fleet with its clients, all hosts on the first release. */
  private FleetTestbed startFleet(Path folder, int hosts, String supervisorMain) throws Exception {
    FleetTestbed testbed = new FleetTestbed(folder, hosts, ZONES, seed);
    testbed.pack(FIRST, "wharftrestle.Main", "");
    testbed.pack("two", "wharftrestle.Main", "");
    testbed.pack("three", "wharftrestle.Main", "");
    for (String bad : BAD_RELEASES) {
      testbed.pack(bad, "wharftrestle.prove.BadRelease", bad);
    }
    for (FleetTestbed.Host host : testbed.hosts().values()) {
      testbed.startSupervisor(host, FIRST, supervisorMain);
    }
    if (!testbed.awaitAll(FIRST, READY_TIMEOUT_MS)) {
      String logs = testbed.logs();
      testbed.close();
      throw new IOException("the fleet was not ready in time; its status and logs:\n" + logs);
    }
    testbed.startClients(2, 9000);
    return testbed;
  }

  /** Runs one rollout and injects faults meanwhile. */
  private RolloutResult runRollout(
      FleetTestbed testbed, String release, boolean good, String criteria, int faults)
      throws Exception {
    String name = "d" + ++rolloutCount;
    Path plan = testbed.plan(name + ".star", changeText(release, criteria, brief));
    long startedAt = System.nanoTime();
    Process controller = testbed.startController(plan, name, "--take-over");
    int controllers = 1;
    int faultsInjected = 0;
    int maxHosts = 0;
    List<long[]> counts = new ArrayList<>();
    long nextFaultAt = startedAt + TimeUnit.SECONDS.toNanos(brief ? 6 : 10);
    long deadline = startedAt + TimeUnit.SECONDS.toNanos(brief ? 75 : 300);
    while (controller.isAlive() && System.nanoTime() < deadline) {
      if (faultsInjected < faults && System.nanoTime() > nextFaultAt) {
        faultsInjected++;
        nextFaultAt =
            System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(brief ? 2500 : 2000 + random.nextInt(8000));
        Fault fault = Fault.values()[random.nextInt(Fault.values().length)];
        if (fault == Fault.KILL_CONTROLLER) {
          controller.destroyForcibly().waitFor();
          controller =
              testbed.startController(plan, name, "--take-over"); // resumes from the journal
          controllers++;
        } else {
          inject(testbed, fault, controller);
        }
      }
      if (release.equals("crashes")) {
        testbed
            .hosts()
            .values()
            .forEach(FleetTestbed.Host::recordFault); // its crash loses requests in flight
      }
      int[] replies = testbed.replyCounts();
      counts.add(new long[] {System.currentTimeMillis(), replies[0], replies[1], replies[2]});
      maxHosts = Math.max(maxHosts, countHosts(testbed, release));
      LockSupport.parkNanos(100_000_000);
    }
    boolean ended = controller.waitFor(1, TimeUnit.MILLISECONDS);
    if (!ended) {
      controller.destroyForcibly();
    }
    String expectedRelease = good ? release : currentRelease;
    boolean asExpected = ended && testbed.awaitAll(expectedRelease, 30_000);
    double seconds = (System.nanoTime() - startedAt) / 1e9;
    List<JsonNode> events = testbed.events(name);
    String reason =
        events.stream()
            .filter(
                line ->
                    line.path("what").asText().equals("returning")
                        || line.path("what").asText().equals("held"))
            .map(line -> line.path("why").asText())
            .collect(Collectors.joining("; "));
    RolloutResult rolloutResult =
        new RolloutResult(
            release,
            good ? "completed" : "rolled back",
            asExpected && controller.exitValue() == (good ? 0 : 1),
            ended ? controller.exitValue() : -1,
            faultsInjected,
            controllers,
            seconds,
            maxHosts,
            testbed.brokenRules(),
            brief(reason));
    out.println("  " + rolloutResult);
    if (good) {
      out.println("    " + byStage(events, counts));
    }
    if (!rolloutResult.holds()) {
      events.stream()
          .skip(Math.max(0, events.size() - 40))
          .forEach(line -> out.println("    " + line));
      testbed
          .hosts()
          .values()
          .forEach(host -> out.println("    " + host.name() + " " + host.status().path("box")));
    }
    currentRelease = expectedRelease;
    return rolloutResult;
  }

  /** Results a second of all clients by stage; "before" is the rate until the first order. */
  private static String byStage(List<JsonNode> events, List<long[]> counts) {
    Map<String, long[]> spans = new LinkedHashMap<>();
    String stage = "before";
    int index = 0;
    for (JsonNode event : events) {
      boolean isFirstOrder = event.path("what").asText().equals("tells") && stage.equals("before");
      boolean beginsStage =
          event.path("what").asText().startsWith("begins stage") && !stage.equals("before");
      for (;
          (isFirstOrder || beginsStage)
              && index < counts.size()
              && counts.get(index)[0] <= event.path("at").asLong();
          index++) {
        long[] totals = spans.computeIfAbsent(stage, key -> new long[4]);
        for (int i = 0; index > 0 && i < totals.length; i++) {
          totals[i] += counts.get(index)[i] - counts.get(index - 1)[i];
        }
      }
      stage = isFirstOrder || beginsStage ? "stage " + event.path("stage").asInt() : stage;
    }
    for (; index < counts.size(); index++) {
      long[] totals = spans.computeIfAbsent(stage, key -> new long[4]);
      for (int i = 0; index > 0 && i < totals.length; i++) {
        totals[i] += counts.get(index)[i] - counts.get(index - 1)[i];
      }
    }
    return spans.entrySet().stream()
        .map(
            entry ->
                String.format(
                    Locale.ROOT,
                    "%s: %.0f results a second (%.2f%% refused, " + "%.2f%% failed)",
                    entry.getKey(),
                    entry.getValue()[1] * 1000.0 / Math.max(1, entry.getValue()[0]),
                    100.0 * entry.getValue()[2] / Math.max(1, entry.getValue()[1]),
                    100.0 * entry.getValue()[3] / Math.max(1, entry.getValue()[1])))
        .collect(Collectors.joining("; "));
  }

  /**
   * Two operators start two plans, of which the second takes over. Returns the number of orders of
   * the first controller after the first order of the second.
   */
  private int ordersAfterTakeover(String supervisorMain) throws Exception {
    Path folder = Files.createTempDirectory("prove-roll");
    try (FleetTestbed testbed = startFleet(folder, 6, supervisorMain)) {
      String plan =
          "stages = [stage(boxes = 1, hold = 1), stage(share = 1, hold = 1)], worse = [], most_away = 1, "
              + "window = 0.5, watch = 1, warm = 1)";
      Process firstController =
          testbed.startController(
              testbed.plan("two.star", "change(to = \"two\", " + plan), "ann", "--driver", "ann");
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
      while (orders(testbed, "ann").isEmpty() && System.nanoTime() < until) {
        LockSupport.parkNanos(20_000_000);
      }
      Process secondController =
          testbed.startController(
              testbed.plan("three.star", "change(to = \"three\", " + plan),
              "bob",
              "--driver",
              "bob",
              "--take-over");
      secondController.waitFor(40, TimeUnit.SECONDS);
      firstController.waitFor(15, TimeUnit.SECONDS);
      for (FleetTestbed.Host host : testbed.hosts().values()) {
        host.clients().stop();
      }
      long firstOrderAt =
          orders(testbed, "bob").stream()
              .mapToLong(line -> line.path("at").asLong())
              .min()
              .orElse(Long.MAX_VALUE);
      return (int)
          orders(testbed, "ann").stream()
              .filter(line -> line.path("at").asLong() > firstOrderAt)
              .count();
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static List<JsonNode> orders(FleetTestbed testbed, String controller) throws IOException {
    return testbed.events(controller).stream()
        .filter(line -> line.path("what").asText().equals("tells"))
        .toList();
  }

  private static String brief(String reason) {
    return reason.length() > 160 ? reason.substring(0, 160) : reason;
  }

  private static int countHosts(FleetTestbed testbed, String release) {
    return (int)
        testbed.hosts().values().stream()
            .filter(host -> host.activeRelease().equals(release))
            .count();
  }

  private void inject(FleetTestbed testbed, Fault fault, Process controller) throws Exception {
    List<FleetTestbed.Host> hosts = new ArrayList<>(testbed.hosts().values());
    FleetTestbed.Host host = hosts.get(random.nextInt(hosts.size()));
    switch (fault) {
      case DELAY ->
          hosts.forEach(
              each ->
                  doThenUndo(
                      3000,
                      () -> each.controllerProxy().heal(),
                      () ->
                          each.controllerProxy()
                              .apply(FaultRule.Effect.DELAY, 60, 60, true, true)));
      case HOLE_THERE ->
          onEachHostOfZone(
              hosts,
              host,
              each -> each.controllerProxy().apply(FaultRule.Effect.HOLE, 0, 0, true, false));
      case HOLE_BACK ->
          onEachHostOfZone(
              hosts,
              host,
              each -> each.controllerProxy().apply(FaultRule.Effect.HOLE, 0, 0, false, true));
      case CUT -> onEachHostOfZone(hosts, host, each -> each.controllerProxy().cut());
      case PAUSE_SUPERVISOR -> pauseFor(host.supervisor().pid(), 2500);
      case KILL_SUPERVISOR -> {
        host.supervisor().destroyForcibly().waitFor();
        testbed.startSupervisor(host, currentRelease);
      }
      case PAUSE_DAEMON -> {
        host.recordFault();
        long pid = host.daemonPid();
        if (pid != 0) {
          pauseFor(pid, 600);
        }
      }
      default -> pauseFor(controller.pid(), 4500);
    }
  }

  private interface Step {
    void run() throws Exception;
  }

  private interface OnHost {
    void run(FleetTestbed.Host host) throws Exception;
  }

  private static void onEachHostOfZone(
      List<FleetTestbed.Host> hosts, FleetTestbed.Host of, OnHost fault) {
    hosts.stream()
        .filter(each -> each.zone().equals(of.zone()))
        .forEach(
            each -> doThenUndo(4000, () -> each.controllerProxy().heal(), () -> fault.run(each)));
  }

  private static void pauseFor(long pid, long ms) {
    doThenUndo(ms, () -> FleetTestbed.signal(pid, "CONT"), () -> FleetTestbed.signal(pid, "STOP"));
  }

  /** Runs the first step now and the other after {@code ms}. */
  private static void doThenUndo(long ms, Step undo, Step first) {
    try {
      first.run();
    } catch (Exception gone) {
      return;
    }
    Thread thread =
        new Thread(
            () -> {
              LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
              try {
                undo.run();
              } catch (Exception gone) {
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private boolean prove() throws Exception {
    out.println("prove-roll: seed " + seed + ", " + HOSTS + " hosts");
    List<RolloutResult> results = new ArrayList<>();
    boolean spreadsWithoutAnalysis = true;
    int brokenRules;
    Path folder = Files.createTempDirectory("prove-roll");
    try (FleetTestbed testbed = startFleet(folder, HOSTS, "wharftrestle.Main")) {
      for (String bad : brief ? BAD_RELEASES.subList(0, 1) : BAD_RELEASES) {
        results.add(
            runRollout(testbed, bad, false, brief ? SHORT_CRITERIA : FULL_CRITERIA, brief ? 0 : 4));
      }
      results.add(
          runRollout(testbed, "two", true, brief ? SHORT_CRITERIA : FULL_CRITERIA, brief ? 2 : 12));
      if (!brief) {
        // Without criteria a slow release reaches all hosts: only the canary analysis stops it.
        RolloutResult withoutAnalysis = runRollout(testbed, "slow", true, "", 0);
        spreadsWithoutAnalysis = withoutAnalysis.asExpected();
      }
      for (FleetTestbed.Host host : testbed.hosts().values()) {
        host.clients().stop();
      }
      brokenRules = testbed.brokenRules().values().stream().mapToInt(Integer::intValue).sum();
      out.println("  " + testbed.served() + " results, broken rules: " + testbed.brokenRules());
    } finally {
      HostTestbed.delete(folder);
    }
    int ordersWithFence = 0;
    int ordersWithoutFence = 1;
    if (!brief) {
      ordersWithFence = ordersAfterTakeover("wharftrestle.Main");
      ordersWithoutFence = ordersAfterTakeover("wharftrestle.prove.Unfenced");
      out.println(
          "  two controllers: the first one sent "
              + ordersWithFence
              + " orders after the first order of the second; "
              + "without the fence "
              + ordersWithoutFence);
    }
    long successful = results.stream().filter(RolloutResult::holds).count();
    boolean allHold =
        successful == results.size()
            && spreadsWithoutAnalysis
            && brokenRules == 0
            && ordersWithFence == 0
            && ordersWithoutFence > 0;
    int maxHostsWithBadRelease =
        results.stream()
            .filter(result -> result.expectedOutcome().equals("rolled back"))
            .mapToInt(RolloutResult::maxHosts)
            .max()
            .orElse(0);
    out.printf(
        Locale.ROOT,
        "prove-roll: %s, %d of %d rollouts ended as expected, at most %d hosts had a bad release, "
            + "%d faults, %d controllers, %d broken rules; without the canary analysis a bad one %s, without the fence %s%n",
        allHold ? "holds" : "falls short",
        successful,
        results.size(),
        maxHostsWithBadRelease,
        results.stream().mapToInt(RolloutResult::faults).sum(),
        results.stream().mapToInt(RolloutResult::controllers).sum(),
        brokenRules,
        brief
            ? "was not run"
            : spreadsWithoutAnalysis ? "reaches all hosts" : "does not reach all hosts",
        brief
            ? "nothing was run"
            : ordersWithoutFence > 0
                ? "two controllers send orders"
                : "only one controller sends orders");
    return allHold;
  }

  static boolean prove(long seed, boolean brief, PrintStream out) throws Exception {
    return new ProveRoll(seed, brief, out).prove();
  }

  public static void main(String[] args) throws Exception {
    boolean brief = "1".equals(System.getenv("SHORT"));
    long seed = args.length > 0 ? Long.parseLong(args[0]) : System.nanoTime();
    System.exit(prove(seed, brief, System.out) ? 0 : 1);
  }
}
