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
 * What a change and the way back cost: answers by the second with none, with a change, and with the
 * way back, in one run; time until ready, and the memory of both processes. Played with callers
 * that think, and again at 110% of what the box can do when it is held to a share of a core.
 */
public final class BenchChange {
  private static final int CALLERS = 12;
  private static final int SECONDS = 8;
  private static final long READY_MS = 30_000;

  /** Seconds that a change is waited for, and that are told after it. */
  private static final int MOST_SECONDS = 30;

  private static final int MORE_SECONDS = 4;

  /**
   * Cores that the box is held to where it is overloaded; twice as many while it has two processes,
   * as the platform has it.
   */
  private static final double SHARE = 0.15;

  private static final int CROWD = 64;
  private static final double OVER = 1.1;

  private final HostTestbed floor;
  private volatile DaemonProcess serves;
  private volatile DaemonProcess comes;
  private CpuLimiter holder; // null where it is held to nothing

  private BenchChange(HostTestbed floor) {
    this.floor = floor;
  }

  public static void main(String[] args) throws Exception {
    long seed = args.length > 0 ? Long.parseLong(args[0]) : 7;
    boolean[] plays =
        args.length > 1 ? new boolean[] {args[1].equals("over")} : new boolean[] {false, true};
    for (boolean over : plays) {
      Path folder = Files.createTempDirectory("bench-change");
      try (HostTestbed floor = new HostTestbed(folder, "", seed, HostTestbed.Play.of(192))) {
        new BenchChange(floor).play(over, seed);
      } finally {
        HostTestbed.delete(folder);
      }
    }
  }

  private List<DaemonProcess> processes() {
    return Stream.of(serves, comes).filter(Objects::nonNull).toList();
  }

  private void play(boolean over, long seed) throws Exception {
    HostTestbed.Version one =
        new HostTestbed.Version(null, "wharftrestle.Main", floor.settings(), "");
    HostTestbed.Version two =
        new HostTestbed.Version(
            null,
            "wharftrestle.Main",
            new HostTestbed.Settings(
                floor.settings().memoryMb(), floor.settings().window() + 10, false, false),
            "");
    serves = floor.begin(one);
    if (!serves.awaitReady(READY_MS)) {
      throw new IllegalStateException("it did not start:\n" + serves.log());
    }
    hold(over, SHARE);
    try {
      TestClients.Habit habit = TestClients.Habit.of(CALLERS, 9000);
      if (over) {
        TestClients all =
            new TestClients(floor, new TestClients.Habit(CROWD, 9000, 0.4, 1), seed, () -> false);
        all.start();
        seconds(all, 4);
        double most = seconds(all, 4).stream().mapToInt(each -> each[0]).average().orElse(0);
        all.stop();
        habit = TestClients.Habit.paced(CROWD, 9000, OVER * most);
        System.out.printf(
            Locale.ROOT,
            "bench-change: held to %.2f cores it answers %.0f a second, asked for %.0f%n",
            SHARE,
            most,
            OVER * most);
      }
      TestClients callers = new TestClients(floor, habit, seed + 1, () -> false);
      callers.start();
      seconds(callers, 4); // its code is compiled by then
      System.out.printf(
          Locale.ROOT,
          "bench-change: seed %d, %d callers, results a second (refused, failed)%n",
          seed,
          habit.many());
      System.out.println("  no change:    " + shown(seconds(callers, SECONDS)));
      change(callers, two, "  change:       ");
      change(callers, one, "  and back:     ");
      System.out.println("  after:        " + shown(seconds(callers, 4)));
      callers.stop();
      System.out.println("  " + callers.tally());
    } finally {
      hold(false, 0);
    }
  }

  private void hold(boolean held, double cores) throws Exception {
    if (holder != null) {
      holder.close();
    }
    holder = held ? new CpuLimiter(this::processes, cores) : null;
  }

  private void change(TestClients callers, HostTestbed.Version to, String name) throws Exception {
    long began = System.nanoTime();
    boolean held = holder != null;
    comes = floor.begin(to);
    hold(held, 2 * SHARE);
    List<int[]> answers = new ArrayList<>();
    long ready = -1;
    String memory = "";
    DaemonProcess old = serves;
    int more = MORE_SECONDS;
    for (int i = 0; i < MOST_SECONDS && more > 0; i++) {
      more -= ready < 0 ? 0 : 1;
      int[] before = counts(callers);
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      while (System.nanoTime() < until) {
        if (ready < 0 && comes.ready()) {
          ready = (System.nanoTime() - began) / 1_000_000;
          memory =
              old.memoryKb("RssAnon") / 1024 + " and " + comes.memoryKb("RssAnon") / 1024 + " MB";
          old.term();
        }
        LockSupport.parkNanos(2_000_000);
      }
      answers.add(since(callers, before));
    }
    if (ready < 0) {
      throw new IllegalStateException(
          "it was not ready in " + MOST_SECONDS + " s:\n" + comes.log());
    }
    old.awaitEnd(READY_MS);
    serves = comes;
    comes = null;
    hold(held, SHARE);
    System.out.println(
        name + shown(answers) + ", ready after " + ready + " ms, own memory of both " + memory);
  }

  private static int[] counts(TestClients callers) {
    return new int[] {callers.served(), callers.refused(), callers.failed()};
  }

  private static int[] since(TestClients callers, int[] before) {
    int[] now = counts(callers);
    for (int i = 0; i < now.length; i++) {
      now[i] -= before[i];
    }
    return now;
  }

  private static List<int[]> seconds(TestClients callers, int many) {
    List<int[]> answers = new ArrayList<>();
    for (int i = 0; i < many; i++) {
      int[] before = counts(callers);
      LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
      answers.add(since(callers, before));
    }
    return answers;
  }

  private static String shown(List<int[]> seconds) {
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
