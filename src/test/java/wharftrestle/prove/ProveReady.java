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
 * Proves that restarted processes are ready again: many are started at once on this machine, and
 * each is asked until it has served its first request, says that it is healthy and has reported so.
 * Nine in ten are ready within 10 s, also where the worker pool comes late and where the name
 * service is gone. It closes on one line, and exit 0 or 1.
 */
public final class ProveReady {
  private static final double PART = 0.9;
  private static final double WITHIN_S = 10;
  private static final double LATE_S = 2;
  private static final long MOST_NANOS = 40_000_000_000L;

  private ProveReady() {}

  /** What goes wrong as they start. */
  private enum Trouble {
    NONE,
    POOL_LATE,
    NAMES_GONE
  }

  /**
   * Seconds from a start to all that ready means; infinite for never. CPU in seconds until then.
   */
  private record Ready(double after, double cpu) {}

  private static Ready play(HostTestbed floor, Trouble trouble) throws Exception {
    if (trouble == Trouble.NAMES_GONE) {
      floor.loseNames();
    }
    floor.pool().late(trouble == Trouble.POOL_LATE);
    long began = System.nanoTime();
    DaemonProcess daemon = floor.launch();
    if (trouble == Trouble.POOL_LATE) {
      new Thread(
              () -> {
                LockSupport.parkNanos((long) (LATE_S * 1e9));
                floor.pool().late(false);
              })
          .start();
    }
    boolean done = false;
    for (int i = 1; !done && System.nanoTime() - began < MOST_NANOS; i++) {
      try (TestClient desk = new TestClient(floor.address())) {
        done = desk.ask("save", i, "key " + i, "body " + i).word().equals("done");
        if (done) {
          desk.send("STATUS", "1000", "");
          done = desk.reply().word().equals("healthy");
        }
      } catch (IOException notYet) {
        LockSupport.parkNanos(5_000_000);
      }
    }
    done = done && (trouble == Trouble.NAMES_GONE || floor.awaitListed(1000));
    double after = done ? (System.nanoTime() - began) / 1e9 : Double.POSITIVE_INFINITY;
    return new Ready(after, daemon.cpuSeconds());
  }

  private static List<Ready> start(int many, Trouble trouble, long seed) throws Exception {
    ConcurrentLinkedQueue<Ready> all = new ConcurrentLinkedQueue<>();
    List<Thread> threads = new ArrayList<>();
    List<HostTestbed> floors = new ArrayList<>();
    Path folder = Files.createTempDirectory("ready");
    try {
      for (int i = 0; i < many; i++) {
        HostTestbed floor =
            new HostTestbed(
                Files.createDirectories(folder.resolve(Integer.toString(i))),
                "",
                seed + i,
                HostTestbed.Play.of(192));
        floors.add(floor);
        threads.add(
            new Thread(
                () -> {
                  try {
                    all.add(play(floor, trouble));
                  } catch (Exception never) {
                    all.add(new Ready(Double.POSITIVE_INFINITY, 0));
                  }
                }));
      }
      for (Thread each : threads) {
        each.start();
      }
      for (Thread each : threads) {
        each.join();
      }
    } finally {
      for (HostTestbed each : floors) {
        each.close();
      }
      HostTestbed.delete(folder);
    }
    return all.stream().sorted((a, b) -> Double.compare(a.after(), b.after())).toList();
  }

  private static double at(List<Ready> all, double part) {
    return all.get((int) Math.ceil(part * all.size()) - 1).after();
  }

  /** Starts so many at once, with each trouble, and says so on one line. */
  static boolean prove(int many, long seed, PrintStream out) throws Exception {
    StringBuilder figures = new StringBuilder();
    boolean holds = true;
    for (Trouble trouble : Trouble.values()) {
      List<Ready> all = start(many, trouble, seed);
      double cpu = all.stream().mapToDouble(Ready::cpu).average().orElse(0);
      holds &= at(all, PART) <= WITHIN_S;
      figures.append(
          String.format(
              Locale.ROOT,
              "%s %s %.2f, %.2f, %.2f s (CPU of a start %.2f s)",
              figures.length() == 0 ? "" : ";",
              trouble.name().toLowerCase(Locale.ROOT).replace('_', ' '),
              at(all, 0.5),
              at(all, PART),
              at(all, 1),
              cpu));
    }
    out.printf(
        Locale.ROOT,
        "prove-ready: %s, %d at once, half, nine in ten and all ready after:%s%n",
        holds ? "holds" : "falls short",
        many,
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
