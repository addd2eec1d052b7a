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
 * Proves rolling changes with real processes: 14 boxes, each a keeper with its daemon and callers,
 * a link between each keeper and the driver, and faults drawn from a seed: dropped, delayed, cut
 * one way and both; keepers, daemons and the driver killed or stopped. A release that is no worse
 * arrives everywhere; a bad one is stopped and taken back; no rule is broken in either. With the
 * judge off a bad one has to get through, or the proof could not fail. It closes on one line, and
 * exit 0 or 1.
 */
public final class ProveRoll {
  private static final int BOXES = 14;
  private static final int ZONES = 4;
  private static final long READY_MS = 30_000;
  private static final String FIRST = "one";
  private static final List<String> BAD = List.of("fails", "crashes", "slow", "leaks", "refuses");

  /** What is put between and into processes; none of it is a fault of a release. */
  private enum Trouble {
    DELAY,
    HOLE_THERE,
    HOLE_BACK,
    CUT,
    STOP_KEEPER,
    KILL_KEEPER,
    STOP_DAEMON,
    STOP_DRIVER,
    KILL_DRIVER
  }

  /** How one roll ended. */
  private record Played(
      String release,
      String wanted,
      boolean arrived,
      int exit,
      int troubles,
      int drivers,
      double seconds,
      int most,
      Map<String, Integer> broken,
      String why) {
    boolean holds() {
      return arrived && broken.isEmpty();
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%-8s %s in %.0f s, exit %d, at most %d boxes had it, %d troubles, %d drivers%s%s",
          release,
          arrived ? "ended as " + wanted : "DID NOT END as " + wanted,
          seconds,
          exit,
          most,
          troubles,
          drivers,
          broken.isEmpty() ? "" : ", BROKEN " + broken,
          why.isEmpty() ? "" : " (" + why + ")");
    }
  }

  private final PrintStream out;
  private final Random random;
  private final long seed;
  private final boolean brief;
  private String serves = FIRST;
  private int rolls;

  private ProveRoll(long seed, boolean brief, PrintStream out) {
    this.seed = seed;
    this.brief = brief;
    this.out = out;
    random = new Random(seed);
  }

  private static String change(String to, String worse, boolean brief) {
    return "change(to = \""
        + to
        + "\", stages = [stage(boxes = 1, hold = "
        + (brief ? 2 : 8)
        + "), stage(share = 0.5, "
        + "spread = \"zone\", hold = "
        + (brief ? 2 : 8)
        + "), stage(share = 1, spread = \"zone\", hold = 2)], worse = ["
        + worse
        + "], most_away = "
        + (brief ? 4 : 3)
        + ", window = 0.5, watch = "
        + (brief ? 5 : 12)
        + ", warm = 1.5, tries = 4, "
        + "patience = 90)";
  }

  private static final String BRIEFLY = "worth(0.1), failed(0.1), refused(0.2)";
  private static final String JUDGED = BRIEFLY + ", cpu(3), growth(90)";

  /** The fleet with its callers, all of it on the first release. */
  private FleetTestbed fleet(Path folder, int boxes, String keeper) throws Exception {
    FleetTestbed floor = new FleetTestbed(folder, boxes, ZONES, seed);
    floor.pack(FIRST, "wharftrestle.Main", "");
    floor.pack("two", "wharftrestle.Main", "");
    floor.pack("three", "wharftrestle.Main", "");
    for (String bad : BAD) {
      floor.pack(bad, "wharftrestle.prove.BadRelease", bad);
    }
    for (FleetTestbed.Box box : floor.boxes().values()) {
      floor.keep(box, FIRST, keeper);
    }
    if (!floor.awaitAll(FIRST, READY_MS)) {
      String logs = floor.logs();
      floor.close();
      throw new IOException("the fleet did not start:\n" + logs);
    }
    floor.call(2, 9000);
    return floor;
  }

  /** One change of the fleet, with faults while it goes on. */
  private Played roll(FleetTestbed floor, String release, boolean good, String worse, int troubles)
      throws Exception {
    String name = "d" + ++rolls;
    Path plan = floor.plan(name + ".star", change(release, worse, brief));
    long began = System.nanoTime();
    Process driver = floor.drive(plan, name, "--take-over");
    int drivers = 1;
    int put = 0;
    int most = 0;
    List<long[]> counts = new ArrayList<>();
    long next = began + TimeUnit.SECONDS.toNanos(brief ? 6 : 10);
    long until = began + TimeUnit.SECONDS.toNanos(brief ? 75 : 300);
    while (driver.isAlive() && System.nanoTime() < until) {
      if (put < troubles && System.nanoTime() > next) {
        put++;
        next =
            System.nanoTime()
                + TimeUnit.MILLISECONDS.toNanos(brief ? 2500 : 2000 + random.nextInt(8000));
        Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
        if (trouble == Trouble.KILL_DRIVER) {
          driver.destroyForcibly().waitFor();
          driver = floor.drive(plan, name, "--take-over"); // goes on from the journal
          drivers++;
        } else {
          trouble(floor, trouble, driver);
        }
      }
      if (release.equals("crashes")) {
        floor
            .boxes()
            .values()
            .forEach(FleetTestbed.Box::trouble); // what it has in hand goes with it
      }
      int[] now = floor.answers();
      counts.add(new long[] {System.currentTimeMillis(), now[0], now[1], now[2]});
      most = Math.max(most, count(floor, release));
      LockSupport.parkNanos(100_000_000);
    }
    boolean ended = driver.waitFor(1, TimeUnit.MILLISECONDS);
    if (!ended) {
      driver.destroyForcibly();
    }
    String wanted = good ? release : serves;
    boolean arrived = ended && floor.awaitAll(wanted, 30_000);
    double seconds = (System.nanoTime() - began) / 1e9;
    List<JsonNode> told = floor.told(name);
    String why =
        told.stream()
            .filter(
                line ->
                    line.path("what").asText().equals("returning")
                        || line.path("what").asText().equals("held"))
            .map(line -> line.path("why").asText())
            .collect(Collectors.joining("; "));
    Played played =
        new Played(
            release,
            good ? "arrived" : "taken back",
            arrived && driver.exitValue() == (good ? 0 : 1),
            ended ? driver.exitValue() : -1,
            put,
            drivers,
            seconds,
            most,
            floor.broken(),
            brief(why));
    out.println("  " + played);
    if (good) {
      out.println("    " + byStage(told, counts));
    }
    if (!played.holds()) {
      told.stream().skip(Math.max(0, told.size() - 40)).forEach(line -> out.println("    " + line));
      floor
          .boxes()
          .values()
          .forEach(box -> out.println("    " + box.name() + " " + box.shows().path("box")));
    }
    serves = wanted;
    return played;
  }

  /**
   * Results a second of all callers, by stage; before the first box goes it is what the fleet does
   * without a change.
   */
  private static String byStage(List<JsonNode> told, List<long[]> counts) {
    Map<String, long[]> spans = new LinkedHashMap<>();
    String stage = "before";
    int at = 0;
    for (JsonNode event : told) {
      boolean first = event.path("what").asText().equals("tells") && stage.equals("before");
      boolean begins =
          event.path("what").asText().startsWith("begins stage") && !stage.equals("before");
      for (;
          (first || begins) && at < counts.size() && counts.get(at)[0] <= event.path("at").asLong();
          at++) {
        long[] sum = spans.computeIfAbsent(stage, key -> new long[4]);
        for (int i = 0; at > 0 && i < sum.length; i++) {
          sum[i] += counts.get(at)[i] - counts.get(at - 1)[i];
        }
      }
      stage = first || begins ? "stage " + event.path("stage").asInt() : stage;
    }
    for (; at < counts.size(); at++) {
      long[] sum = spans.computeIfAbsent(stage, key -> new long[4]);
      for (int i = 0; at > 0 && i < sum.length; i++) {
        sum[i] += counts.get(at)[i] - counts.get(at - 1)[i];
      }
    }
    return spans.entrySet().stream()
        .map(
            each ->
                String.format(
                    Locale.ROOT,
                    "%s: %.0f results a second (%.2f%% refused, " + "%.2f%% failed)",
                    each.getKey(),
                    each.getValue()[1] * 1000.0 / Math.max(1, each.getValue()[0]),
                    100.0 * each.getValue()[2] / Math.max(1, each.getValue()[1]),
                    100.0 * each.getValue()[3] / Math.max(1, each.getValue()[1])))
        .collect(Collectors.joining("; "));
  }

  /**
   * Two operators start two plans, the second one in the first one's place; boxes that went to the
   * first one's release after the second one gave its first order.
   */
  private int twoDrivers(String keeper) throws Exception {
    Path folder = Files.createTempDirectory("prove-roll");
    try (FleetTestbed floor = fleet(folder, 6, keeper)) {
      String plan =
          "stages = [stage(boxes = 1, hold = 1), stage(share = 1, hold = 1)], worse = [], most_away = 1, "
              + "window = 0.5, watch = 1, warm = 1)";
      Process first =
          floor.drive(
              floor.plan("two.star", "change(to = \"two\", " + plan), "ann", "--driver", "ann");
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
      while (told(floor, "ann").isEmpty() && System.nanoTime() < until) {
        LockSupport.parkNanos(20_000_000);
      }
      Process second =
          floor.drive(
              floor.plan("three.star", "change(to = \"three\", " + plan),
              "bob",
              "--driver",
              "bob",
              "--take-over");
      second.waitFor(40, TimeUnit.SECONDS);
      first.waitFor(15, TimeUnit.SECONDS);
      for (FleetTestbed.Box box : floor.boxes().values()) {
        box.callers().stop();
      }
      long from =
          told(floor, "bob").stream()
              .mapToLong(line -> line.path("at").asLong())
              .min()
              .orElse(Long.MAX_VALUE);
      return (int)
          told(floor, "ann").stream().filter(line -> line.path("at").asLong() > from).count();
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static List<JsonNode> told(FleetTestbed floor, String driver) throws IOException {
    return floor.told(driver).stream()
        .filter(line -> line.path("what").asText().equals("tells"))
        .toList();
  }

  private static String brief(String why) {
    return why.length() > 160 ? why.substring(0, 160) : why;
  }

  private static int count(FleetTestbed floor, String release) {
    return (int) floor.boxes().values().stream().filter(box -> box.acts().equals(release)).count();
  }

  private void trouble(FleetTestbed floor, Trouble trouble, Process driver) throws Exception {
    List<FleetTestbed.Box> boxes = new ArrayList<>(floor.boxes().values());
    FleetTestbed.Box box = boxes.get(random.nextInt(boxes.size()));
    switch (trouble) {
      case DELAY ->
          boxes.forEach(
              each ->
                  later(
                      3000,
                      () -> each.link().heal(),
                      () -> each.link().trouble(FaultRule.Trouble.DELAY, 60, 60, true, true)));
      case HOLE_THERE ->
          zone(boxes, box, each -> each.link().trouble(FaultRule.Trouble.HOLE, 0, 0, true, false));
      case HOLE_BACK ->
          zone(boxes, box, each -> each.link().trouble(FaultRule.Trouble.HOLE, 0, 0, false, true));
      case CUT -> zone(boxes, box, each -> each.link().cut());
      case STOP_KEEPER -> stopped(box.keeper().pid(), 2500);
      case KILL_KEEPER -> {
        box.keeper().destroyForcibly().waitFor();
        floor.keep(box, serves);
      }
      case STOP_DAEMON -> {
        box.trouble();
        long pid = box.daemonPid();
        if (pid != 0) {
          stopped(pid, 600);
        }
      }
      default -> stopped(driver.pid(), 4500);
    }
  }

  private interface Step {
    void run() throws Exception;
  }

  private interface OnBox {
    void run(FleetTestbed.Box box) throws Exception;
  }

  private static void zone(List<FleetTestbed.Box> boxes, FleetTestbed.Box of, OnBox fault) {
    boxes.stream()
        .filter(each -> each.zone().equals(of.zone()))
        .forEach(each -> later(4000, () -> each.link().heal(), () -> fault.run(each)));
  }

  private static void stopped(long pid, long ms) {
    later(ms, () -> FleetTestbed.signal(pid, "CONT"), () -> FleetTestbed.signal(pid, "STOP"));
  }

  /** Does the one now, and the other after so many ms. */
  private static void later(long ms, Step then, Step now) {
    try {
      now.run();
    } catch (Exception gone) {
      return;
    }
    Thread thread =
        new Thread(
            () -> {
              LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
              try {
                then.run();
              } catch (Exception gone) {
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private boolean prove() throws Exception {
    out.println("prove-roll: seed " + seed + ", " + BOXES + " boxes");
    List<Played> all = new ArrayList<>();
    boolean unjudged = true;
    int broken;
    Path folder = Files.createTempDirectory("prove-roll");
    try (FleetTestbed floor = fleet(folder, BOXES, "wharftrestle.Main")) {
      for (String bad : brief ? BAD.subList(0, 1) : BAD) {
        all.add(roll(floor, bad, false, brief ? BRIEFLY : JUDGED, brief ? 0 : 4));
      }
      all.add(roll(floor, "two", true, brief ? BRIEFLY : JUDGED, brief ? 2 : 12));
      if (!brief) {
        // With nothing compared a release that is slow goes everywhere: the judge is what stops it.
        Played off = roll(floor, "slow", true, "", 0);
        unjudged = off.arrived();
      }
      for (FleetTestbed.Box box : floor.boxes().values()) {
        box.callers().stop();
      }
      broken = floor.broken().values().stream().mapToInt(Integer::intValue).sum();
      out.println("  " + floor.served() + " answers, broken: " + floor.broken());
    } finally {
      HostTestbed.delete(folder);
    }
    int fenced = 0;
    int unfenced = 1;
    if (!brief) {
      fenced = twoDrivers("wharftrestle.Main");
      unfenced = twoDrivers("wharftrestle.prove.Unfenced");
      out.println(
          "  two drivers at once: the first one gave "
              + fenced
              + " orders after the second one's first, with epochs "
              + "off "
              + unfenced);
    }
    long holds = all.stream().filter(Played::holds).count();
    boolean whole = holds == all.size() && unjudged && broken == 0 && fenced == 0 && unfenced > 0;
    int had =
        all.stream()
            .filter(each -> each.wanted().equals("taken back"))
            .mapToInt(Played::most)
            .max()
            .orElse(0);
    out.printf(
        Locale.ROOT,
        "prove-roll: %s, %d of %d rolls ended as they had to, %d boxes had a bad release at most, "
            + "%d troubles, %d drivers, %d broken rules; with the judge off a bad one %s, with epochs off %s%n",
        whole ? "holds" : "falls short",
        holds,
        all.size(),
        had,
        all.stream().mapToInt(Played::troubles).sum(),
        all.stream().mapToInt(Played::drivers).sum(),
        broken,
        brief ? "is not played" : unjudged ? "goes everywhere" : "does not go everywhere",
        brief
            ? "nothing is played"
            : unfenced > 0 ? "two drivers steer" : "one driver steers all the same");
    return whole;
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
