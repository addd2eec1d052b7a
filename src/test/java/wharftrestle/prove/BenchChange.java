package wharftrestle.prove;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.lab.Callers;
import wharftrestle.lab.Daemon;
import wharftrestle.lab.Floor;

/**
 * What a change and the way back cost: answers by the second under steady callers, with none, with a change, and with the
 * way back, in one run; time until ready, and the memory of both processes.
 */
public final class BenchChange {
    private static final int CALLERS = 12;
    private static final int SECONDS = 8;
    private static final long READY_MS = 20_000;

    private BenchChange() { }

    public static void main(String[] args) throws Exception {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 7;
        Path folder = Files.createTempDirectory("bench-change");
        try (Floor floor = new Floor(folder, "", seed, Floor.Play.of(192))) {
            Path jar = Path.of("target/wharftrestle.jar");
            Floor.Version one = new Floor.Version(jar, "wharftrestle.Main", floor.settings(), "");
            Floor.Version two = new Floor.Version(jar, "wharftrestle.Main", new Floor.Settings(192, 34, false, false), "");
            Daemon serves = floor.begin(one);
            if (!serves.awaitReady(READY_MS)) {
                throw new IllegalStateException("the first process did not start:\n" + serves.log());
            }
            Callers callers = new Callers(floor, Callers.Habit.of(CALLERS, 9000), seed, () -> false);
            callers.start();
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(4));   // its code is compiled by then
            System.out.printf(Locale.ROOT, "bench-change: seed %d, %d callers, answers a second%n", seed, CALLERS);
            List<Integer> none = seconds(callers, SECONDS);
            System.out.println("  no change:    " + none);
            Daemon next = change(floor, callers, serves, two, "  change:       ");
            Daemon back = change(floor, callers, next, one, "  and back:     ");
            callers.stop();
            System.out.println("  " + callers.tally());
            back.kill();
        } finally {
            Floor.delete(folder);
        }
    }

    private static Daemon change(Floor floor, Callers callers, Daemon serves, Floor.Version to, String name)
            throws Exception {
        long began = System.nanoTime();
        Daemon next = floor.begin(to);
        List<Integer> answers = new ArrayList<>();
        long ready = -1;
        String memory = "";
        for (int i = 0; i < SECONDS; i++) {
            int before = callers.served();
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
            while (System.nanoTime() < until) {
                if (ready < 0 && next.ready()) {
                    ready = (System.nanoTime() - began) / 1_000_000;
                    memory = serves.memoryKb("RssAnon") / 1024 + " and " + next.memoryKb("RssAnon") / 1024 + " MB";
                    serves.term();
                }
                LockSupport.parkNanos(2_000_000);
            }
            answers.add(callers.served() - before);
        }
        System.out.println(name + answers + ", ready after " + ready + " ms, own memory of both " + memory);
        return next;
    }

    private static List<Integer> seconds(Callers callers, int many) {
        List<Integer> answers = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            int before = callers.served();
            LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(1));
            answers.add(callers.served() - before);
        }
        return answers;
    }
}
