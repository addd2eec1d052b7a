package wharftrestle.prove;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import wharftrestle.testbed.CpuLimiter;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClients;

/**
 * Measures the cost of a change of the daemon and of the change back in one run: replies in each
 * second without and during the changes, the time until the successor is ready, and the memory of
 * both processes. Runs with clients that pause between requests, and at 110% of the capacity of a
 * host that is limited to a share of a core.
 */
public final class BenchChange {
  private static final int CLIENTS = 12;
  private static final int PHASE_SECONDS = 8;
  private static final long READY_TIMEOUT_MS = 30_000;

  /** Longest wait for a change. */
  private static final int MAX_CHANGE_SECONDS = 30;

  private static final int SECONDS_AFTER_CHANGE = 4;

  /**
   * CPU limit of the overloaded host in cores; doubled while it has two processes, as on the
   * platform.
   */
  private static final double LIMITED_CORES = 0.15;

  private static final int OVERLOAD_CLIENTS = 64;
  private static final double OVERLOAD_FACTOR = 1.1;

  private final HostTestbed testbed;
  private volatile DaemonProcess active;
  private volatile DaemonProcess successor;
  private CpuLimiter cpuLimiter; // null without a limit

  private BenchChange(HostTestbed testbed) {
    this.testbed = testbed;
  }

  public static void main(String[] args) throws Exception {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 7;
    boolean[] loadLevels =
        args.length > 1 ? new boolean[] {args[1].equals("over")} : new boolean[] {false, true};
    for (boolean overloaded : loadLevels) {
      Path folder = Files.createTempDirectory("bench-change");
      try (HostTestbed testbed = new HostTestbed(folder, "", seed, HostTestbed.Play.of(192))) {
        new BenchChange(testbed).measureChanges(overloaded, seed);
      } finally {
        HostTestbed.delete(folder);
      }
    }
  }

  private List<DaemonProcess> processes() {
    return Stream.of(active, successor).filter(Objects::nonNull).toList();
  }

  private void measureChanges(boolean overloaded, long seed) throws Exception {
    HostTestbed.Version firstVersion =
        new HostTestbed.Version(null, "wharftrestle.Main", testbed.settings(), "");
    HostTestbed.Version secondVersion =
        new HostTestbed.Version(
            null,
            "wharftrestle.Main",
            new HostTestbed.Settings(
                testbed.settings().memoryMb(),
                testbed.settings().keyWindowSeconds() + 10,
                false,
                false),
            "");
    active = testbed.begin(firstVersion);
    if (!active.awaitReady(READY_TIMEOUT_MS)) {
      throw new IllegalStateException(
          "the daemon was not ready in time; its log:\n" + active.log());
    }
    limitCpu(overloaded, LIMITED_CORES);
    try {
      TestClients.Workload workload = TestClients.Workload.of(CLIENTS, 9000);
      if (overloaded) {
        TestClients overloadClients =
            new TestClients(
                testbed,
                new TestClients.Workload(OVERLOAD_CLIENTS, 9000, 0.4, 1),
                seed,
                () -> false);
        overloadClients.start();
        countPerSecond(overloadClients, 4);
        double capacityPerSecond =
            countPerSecond(overloadClients, 4).stream()
                .mapToInt(each -> each[0])
                .average()
                .orElse(0);
        overloadClients.stop();
        workload =
            TestClients.Workload.paced(OVERLOAD_CLIENTS, 9000, OVERLOAD_FACTOR * capacityPerSecond);
        System.out.printf(
            Locale.ROOT,
            "bench-change: limited to %.2f cores: capacity %.0f results a second, offered %.0f%n",
            LIMITED_CORES,
            capacityPerSecond,
            OVERLOAD_FACTOR * capacityPerSecond);
      }
      TestClients clients = new TestClients(testbed, workload, seed + 1, () -> false);
      clients.start();
      countPerSecond(clients, 4); // warm-up of the JIT compiler
      System.out.printf(
          Locale.ROOT,
          "bench-change: seed %d, %d clients, results a second (refused, failed)%n",
          seed,
          workload.clients());
      System.out.println("  no change:    " + format(countPerSecond(clients, PHASE_SECONDS)));
      change(clients, secondVersion, "  change:       ");
      change(clients, firstVersion, "  and back:     ");
      System.out.println("  after:        " + format(countPerSecond(clients, 4)));
      clients.stop();
      System.out.println("  " + clients.tally());
    } finally {
      limitCpu(false, 0);
    }
  }

  private void limitCpu(boolean limited, double cores) throws Exception {
    if (cpuLimiter != null) {
      cpuLimiter.close();
    }
    cpuLimiter = limited ? new CpuLimiter(this::processes, cores) : null;
  }

  private void change(TestClients clients, HostTestbed.Version version, String name)
      throws Exception {
    long startedAt = System.nanoTime();
    boolean limited = cpuLimiter != null;
    successor = testbed.begin(version);
    limitCpu(limited, 2 * LIMITED_CORES);
    List<int[]> answers = new ArrayList<>();
    long ready = -1;
    String memory = "";
    DaemonProcess predecessor = active;
    int remaining = SECONDS_AFTER_CHANGE;
    for (int i = 0; i < MAX_CHANGE_SECONDS && remaining > 0; i++) {
      remaining -= ready < 0 ? 0 : 1;
      int[] before = counts(clients);
      long endsAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      while (System.nanoTime() < endsAt) {
        if (ready < 0 && successor.ready()) {
          ready = (System.nanoTime() - startedAt) / 1_000_000;
          memory =
              predecessor.memoryKb("RssAnon") / 1024
                  + " and "
                  + successor.memoryKb("RssAnon") / 1024
                  + " MB";
          predecessor.terminate();
        }
        LockSupport.parkNanos(2_000_000);
      }
      answers.add(countsSince(clients, before));
    }
    if (ready < 0) {
      throw new IllegalStateException(
          "the successor was not ready in " + MAX_CHANGE_SECONDS + " s:\n" + successor.log());
    }
    predecessor.awaitExit(READY_TIMEOUT_MS);
    active = successor;
    successor = null;
    limitCpu(limited, LIMITED_CORES);
    System.out.println(
        name
            + format(answers)
            + ", ready after "
            + ready
            + " ms, anonymous memory of both "
            + memory);
  }

  private static int[] counts(TestClients clients) {
    return new int[] {clients.served(), clients.refused(), clients.failed()};
  }

  private static int[] countsSince(TestClients clients, int[] before) {
    int[] now = counts(clients);
    for (int i = 0; i < now.length; i++) {
      now[i] -= before[i];
    }
    return now;
  }

  private static List<int[]> countPerSecond(TestClients clients, int duration) {
    List<int[]> answers = new ArrayList<>();
    for (int i = 0; i < duration; i++) {
      int[] before = counts(clients);
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
      answers.add(countsSince(clients, before));
    }
    return answers;
  }

  private static String format(List<int[]> seconds) {
    return String.join(
        " ",
        seconds.stream()
            .map(
                each ->
                    each[1] + each[2] == 0
                        ? Integer.toString(each[0])
                        : each[0] + "(" + each[1] + "," + each[2] + ")")
            .toList());
  }
}
