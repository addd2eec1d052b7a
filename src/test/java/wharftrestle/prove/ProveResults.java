package wharftrestle.prove;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.lab.Desk;
import wharftrestle.lab.Floor;
import wharftrestle.lab.WorkerPool;

/**
 * Proves that no keyed request runs twice over restarts: a real daemon is killed at moments drawn from a seed while desks
 * ask keyed requests and repeat them. Runs are counted by the stand-in worker pool. The same is played with the store
 * off, where double runs must be found, or the proof could not fail. It closes on one line, and exit 0 or 1.
 */
public final class ProveResults {
    private static final int DESKS = 8;
    /** Milliseconds for which a key is repeated: well inside its window of 24 s. */
    private static final long KEY_MS = 14_000;
    /** Part of requests that are of a new key. */
    private static final double FRESH = 0.3;
    /** Milliseconds that a desk waits between two requests, at most. */
    private static final int THINK = 50;
    /** Milliseconds that a daemon serves before it is killed, at most. */
    private static final int LONGEST_LIFE = 900;

    /** One key as its desk knows it. */
    private static final class Key {
        private final String name;
        private final String body;
        private final long since = System.currentTimeMillis();
        private byte[] result;

        Key(String name, String body) {
            this.name = name;
            this.body = body;
        }
    }

    /** What was seen of one way of playing. */
    static final class Seen {
        final AtomicInteger repeats = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger replayed = new AtomicInteger();
        final AtomicInteger failed = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger refusedAfterRun = new AtomicInteger();
        final AtomicInteger notItsBytes = new AtomicInteger();
        int kills;
        int keys;
        int doubleRuns;

        boolean holds() {
            return doubleRuns == 0 && refusedAfterRun.get() == 0 && notItsBytes.get() == 0;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%d repeats of %d keys, %d kills, %d double runs, %d refused after a run, "
                    + "%d not with their bytes (%d served, %d of them again, %d failed, %d refused)", repeats.get(), keys,
                    kills, doubleRuns, refusedAfterRun.get(), notItsBytes.get(), served.get(), replayed.get(), failed.get(),
                    refused.get());
        }
    }

    private final Floor floor;
    private final Seen seen = new Seen();
    private final int wanted;
    private final int kills;
    private volatile boolean over;
    private final PrintStream out;
    private final AtomicReference<Throwable> fault = new AtomicReference<>();
    private final AtomicLong references = new AtomicLong(1);

    private ProveResults(Floor floor, int wanted, int kills, PrintStream out) {
        this.floor = floor;
        this.wanted = wanted;
        this.kills = kills;
        this.out = out;
    }

    /** Plays one way: so many repeats and kills at least, with the store on or off. */
    static Seen play(boolean kept, int repeats, int kills, long seed, PrintStream out) throws Exception {
        Path folder = Files.createTempDirectory("prove-results");
        String script = kept ? "durable(dir = \"" + folder.resolve("results") + "\", max_mb = 16)\n" : "";
        try (Floor floor = new Floor(folder, script, seed, Floor.Play.of(192))) {
            return new ProveResults(floor, repeats, kills, out).play(new Random(seed));
        } finally {
            Floor.delete(folder);
        }
    }

    private Seen play(Random random) throws Exception {
        floor.start();
        List<Thread> desks = new ArrayList<>();
        for (int i = 0; i < DESKS; i++) {
            long seed = random.nextLong();
            Thread desk = new Thread(() -> {
                try {
                    sit(new Random(seed));
                } catch (RuntimeException | Error e) {
                    fault.compareAndSet(null, e);
                }
            }, "desk " + i);
            desk.setDaemon(true);
            desk.start();
            desks.add(desk);
        }
        while ((seen.repeats.get() < wanted || seen.kills < kills) && fault.get() == null) {
            killAt(random);
            seen.kills++;
            floor.start();
            if (seen.kills % 20 == 0) {
                out.println("  " + seen.repeats.get() + " repeats, " + seen.kills + " kills");
            }
        }
        over = true;
        for (Thread desk : desks) {
            desk.join();
        }
        if (fault.get() != null) {
            throw new IllegalStateException("a desk failed", fault.get());
        }
        seen.doubleRuns = floor.doubleRuns();
        seen.keys = floor.bodies();
        return seen;
    }

    /** Kills the daemon at a moment: any, or just after a run was asked for, or just after one ended. */
    private void killAt(Random random) throws InterruptedException {
        LockSupport.parkNanos(random.nextInt(LONGEST_LIFE) * 1_000_000L);
        int kind = random.nextInt(3);
        long late = random.nextInt(3000) * 1000L;   // ns: the writes and syncs that follow lie within 3 ms
        Object moment = new Object();
        boolean[] now = {kind == 0};
        floor.watch(new WorkerPool.Moments() {
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

    /** One desk: asks new keys and repeats old ones, and judges every answer. */
    private void sit(Random random) {
        List<Key> keys = new ArrayList<>();
        Desk desk = null;
        Key lost = null;   // asked and not answered: the first thing to ask again
        while (!over && fault.get() == null) {
            keys.removeIf(key -> System.currentTimeMillis() - key.since > KEY_MS);
            boolean fresh = lost == null && (keys.isEmpty() || random.nextDouble() < FRESH);
            if (fresh) {
                String name = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
                keys.add(new Key(name, "note of " + name));
            }
            Key key = lost != null ? lost : fresh ? keys.get(keys.size() - 1) : keys.get(random.nextInt(keys.size()));
            lost = key;
            try {
                desk = desk != null ? desk : new Desk(floor.address());
                judge(key, fresh, desk.ask("save", references.incrementAndGet(), key.name, key.body));
                lost = null;
                LockSupport.parkNanos(random.nextInt(THINK) * 1_000_000L);
            } catch (IOException killed) {
                // Nothing is known of this try; the key is repeated later as any other.
                try {
                    if (desk != null) {
                        desk.close();
                    }
                } catch (IOException e) {
                    fault.compareAndSet(null, e);
                }
                desk = null;
                LockSupport.parkNanos(5_000_000);
            }
        }
    }

    private void judge(Key key, boolean fresh, Desk.Reply reply) {
        int runs = floor.runs(key.body);
        if (!fresh) {
            seen.repeats.incrementAndGet();
        }
        switch (reply.word()) {
            case "done" -> {
                seen.served.incrementAndGet();
                if (key.result != null) {
                    seen.replayed.incrementAndGet();
                }
                boolean own = new String(reply.body(), StandardCharsets.ISO_8859_1)
                        .startsWith(key.body + " run ");
                if (!own || key.result != null && !Arrays.equals(key.result, reply.body())) {
                    seen.notItsBytes.incrementAndGet();
                    out.println("  other bytes for " + key.body);
                }
                key.result = reply.body();
            }
            case "later" -> {
                seen.refused.incrementAndGet();
                if (runs > 0) {
                    seen.refusedAfterRun.incrementAndGet();
                    out.println("  refused after " + runs + " runs: " + key.body);
                }
            }
            default -> {
                seen.failed.incrementAndGet();
                if (key.result != null) {
                    // Its result was on disk before it was answered once: nothing but that may come of it.
                    seen.notItsBytes.incrementAndGet();
                    out.println("  failed though its result was given before: " + key.body);
                }
            }
        }
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
        boolean holds = on.holds() && off.doubleRuns > 0 && on.replayed.get() > 0 && on.kills > 0;
        out.printf(Locale.ROOT, "prove-results: %s, kept: %s; not kept: %d double runs in %d repeats%n",
                holds ? "holds" : "falls short", on, off.doubleRuns, off.repeats.get());
        return holds;
    }
}
