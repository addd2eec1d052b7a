package wharftrestle.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import wharftrestle.lab.FleetFloor;
import wharftrestle.lab.Floor;
import wharftrestle.lab.Wire;

/**
 * Proves rolling changes with real processes: 14 boxes, each a keeper with its daemon and callers, a link between each
 * keeper and the driver, and faults drawn from a seed: dropped, delayed, cut one way and both; keepers, daemons and the
 * driver killed or stopped. A release that is no worse arrives everywhere; a bad one is stopped and taken back; no rule
 * is broken in either. With the judge off a bad one has to get through, or the proof could not fail. It closes on one
 * line, and exit 0 or 1.
 */
public final class ProveRoll {
    private static final int BOXES = 14;
    private static final int ZONES = 4;
    private static final long READY_MS = 30_000;
    private static final String FIRST = "one";
    private static final List<String> BAD = List.of("fails", "crashes", "slow", "leaks", "refuses");

    /** What is put between and into processes; none of it is a fault of a release. */
    private enum Trouble { DELAY, HOLE_THERE, HOLE_BACK, CUT, STOP_KEEPER, KILL_KEEPER, STOP_DAEMON, STOP_DRIVER,
            KILL_DRIVER }

    /** How one roll ended. */
    private record Played(String release, String wanted, boolean arrived, int exit, int troubles, int drivers,
            double seconds,
                          int most, Map<String, Integer> broken, String why) {
        boolean holds() {
            return arrived && broken.isEmpty();
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT,
                    "%-8s %s in %.0f s, exit %d, at most %d boxes had it, %d troubles, %d drivers%s%s",
                    release, arrived ? "ended as " + wanted : "DID NOT END as " + wanted, seconds, exit, most, troubles,
                    drivers,
                    broken.isEmpty() ? "" : ", BROKEN " + broken, why.isEmpty() ? "" : " (" + why + ")");
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
        return "change(to = \"" + to + "\", stages = [stage(boxes = 1, hold = " + (brief ? 2 : 8) + "), stage(share = 0.5, "
                + "spread = \"zone\", hold = " + (brief ? 2 : 8)
                + "), stage(share = 1, spread = \"zone\", hold = 2)], worse = ["
                + worse + "], most_away = " + (brief ? 4 : 3) + ", window = 0.5, watch = " + (brief ? 5 : 12)
                + ", warm = 1.5, tries = 4, "
                + "patience = 90)";
    }

    private static final String BRIEFLY = "worth(0.1), failed(0.1), refused(0.2)";
    private static final String JUDGED = BRIEFLY + ", cpu(3), growth(90)";

    /** The fleet with its callers, all of it on the first release. */
    private FleetFloor fleet(Path folder) throws Exception {
        FleetFloor floor = new FleetFloor(folder, BOXES, ZONES, seed);
        floor.pack(FIRST, "wharftrestle.Main", "");
        floor.pack("two", "wharftrestle.Main", "");
        for (String bad : BAD) {
            floor.pack(bad, "wharftrestle.prove.BadRelease", bad);
        }
        for (FleetFloor.Box box : floor.boxes().values()) {
            floor.keep(box, FIRST);
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
    private Played roll(FleetFloor floor, String release, boolean good, String worse, int troubles) throws Exception {
        String name = "d" + ++rolls;
        Path plan = floor.plan(name + ".star", change(release, worse, brief));
        long began = System.nanoTime();
        Process driver = floor.drive(plan, name, "--take-over");
        int drivers = 1;
        int put = 0;
        int most = 0;
        long next = began + TimeUnit.SECONDS.toNanos(brief ? 6 : 10);
        long until = began + TimeUnit.SECONDS.toNanos(brief ? 75 : 300);
        while (driver.isAlive() && System.nanoTime() < until) {
            if (put < troubles && System.nanoTime() > next) {
                put++;
                next = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(brief ? 2500 : 2000 + random.nextInt(8000));
                Trouble trouble = Trouble.values()[random.nextInt(Trouble.values().length)];
                if (trouble == Trouble.KILL_DRIVER) {
                    driver.destroyForcibly().waitFor();
                    driver = floor.drive(plan, name, "--take-over");   // goes on from the journal
                    drivers++;
                } else {
                    trouble(floor, trouble, driver);
                }
            }
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
        String why = told.stream().filter(line -> line.path("what").asText().equals("returning")
                || line.path("what").asText().equals("held")).map(line -> line.path("why").asText())
                .collect(Collectors.joining("; "));
        Played played = new Played(release, good ? "arrived" : "taken back", arrived && driver.exitValue() == (good ? 0 : 1),
                ended ? driver.exitValue() : -1, put, drivers, seconds, most, floor.broken(), brief(why));
        out.println("  " + played);
        if (!played.holds()) {
            told.stream().skip(Math.max(0, told.size() - 40)).forEach(line -> out.println("    " + line));
            floor.boxes().values().forEach(box -> out.println("    " + box.name() + " " + box.shows().path("box")));
        }
        serves = wanted;
        return played;
    }

    private static String brief(String why) {
        return why.length() > 160 ? why.substring(0, 160) : why;
    }

    private static int count(FleetFloor floor, String release) {
        return (int) floor.boxes().values().stream().filter(box -> box.acts().equals(release)).count();
    }

    private void trouble(FleetFloor floor, Trouble trouble, Process driver) throws Exception {
        List<FleetFloor.Box> boxes = new ArrayList<>(floor.boxes().values());
        FleetFloor.Box box = boxes.get(random.nextInt(boxes.size()));
        switch (trouble) {
            case DELAY -> boxes.forEach(each -> later(3000, () -> each.link().heal(),
                    () -> each.link().trouble(Wire.Trouble.DELAY, 60, 60, true, true)));
            case HOLE_THERE -> zone(boxes, box, each -> each.link().trouble(Wire.Trouble.HOLE, 0, 0, true, false));
            case HOLE_BACK -> zone(boxes, box, each -> each.link().trouble(Wire.Trouble.HOLE, 0, 0, false, true));
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
        void run(FleetFloor.Box box) throws Exception;
    }

    private static void zone(List<FleetFloor.Box> boxes, FleetFloor.Box of, OnBox fault) {
        boxes.stream().filter(each -> each.zone().equals(of.zone()))
                .forEach(each -> later(4000, () -> each.link().heal(), () -> fault.run(each)));
    }

    private static void stopped(long pid, long ms) {
        later(ms, () -> FleetFloor.signal(pid, "CONT"), () -> FleetFloor.signal(pid, "STOP"));
    }

    /** Does the one now, and the other after so many ms. */
    private static void later(long ms, Step then, Step now) {
        try {
            now.run();
        } catch (Exception gone) {
            return;
        }
        Thread thread = new Thread(() -> {
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
        try (FleetFloor floor = fleet(folder)) {
            for (String bad : brief ? BAD.subList(0, 1) : BAD) {
                all.add(roll(floor, bad, false, brief ? BRIEFLY : JUDGED, brief ? 0 : 4));
            }
            all.add(roll(floor, "two", true, brief ? BRIEFLY : JUDGED, brief ? 2 : 12));
            if (!brief) {
                // With nothing compared a release that is slow goes everywhere: the judge is what stops it.
                Played off = roll(floor, "slow", true, "", 0);
                unjudged = off.arrived();
            }
            for (FleetFloor.Box box : floor.boxes().values()) {
                box.callers().stop();
            }
            broken = floor.broken().values().stream().mapToInt(Integer::intValue).sum();
            out.println("  " + floor.served() + " answers, broken: " + floor.broken());
        } finally {
            Floor.delete(folder);
        }
        long holds = all.stream().filter(Played::holds).count();
        boolean whole = holds == all.size() && unjudged && broken == 0;
        int had = all.stream().filter(each -> each.wanted().equals("taken back")).mapToInt(Played::most).max().orElse(0);
        out.printf(Locale.ROOT, "prove-roll: %s, %d of %d rolls ended as they had to, %d boxes had a bad release at most, "
                + "%d troubles, %d drivers, %d broken rules; with the judge off a bad one %s%n",
                whole ? "holds" : "falls short", holds, all.size(), had,
                all.stream().mapToInt(Played::troubles).sum(), all.stream().mapToInt(Played::drivers).sum(), broken,
                brief ? "is not played" : unjudged ? "goes everywhere" : "does not go everywhere");
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
