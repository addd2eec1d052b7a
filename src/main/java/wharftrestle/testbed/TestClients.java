package wharftrestle.testbed;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Stand-in front ends that ask keyed requests and repeat them, and the checker of what they are
 * told: lost, given other bytes, run twice, refused after a run, overdue. The worker pool knows
 * what ran; what they count is held against that, and never against what a daemon says of itself.
 */
public final class TestClients {
  /**
   * How callers ask.
   *
   * @param many callers
   * @param keyMs for which a key is repeated; inside its window
   * @param again part of requests that repeat a key, besides those whose answer was lost, which are
   *     asked again at once
   * @param thinkMs that a caller waits between two requests, at most
   * @param everyMs at which a caller asks, however long its answers take, as long as it has the
   *     last one; 0 for thinking
   */
  public record Habit(int many, long keyMs, double again, int thinkMs, double everyMs) {
    /** They think between two requests. */
    public Habit(int many, long keyMs, double again, int thinkMs) {
      this(many, keyMs, again, thinkMs, 0);
    }

    /**
     * So many requests a second of all callers, however long answers take; enough callers that few
     * wait.
     */
    public static Habit paced(int many, long keyMs, double rate) {
      return new Habit(many, keyMs, 0.4, 1, many * 1000 / rate);
    }

    /** Four in ten repeat a key. */
    public static Habit of(int many, long keyMs) {
      return new Habit(many, keyMs, 0.4, 30);
    }
  }

  /** Milliseconds of clocks' and threads' error between a kill and what was seen of it. */
  private static final long BLUR_MS = 50;

  /**
   * Milliseconds after a notice to leave in which what arrives may still run, as the rig's settings
   * have it.
   */
  private static final long GRACE_MS = 2000;

  /**
   * Milliseconds past its due time in which an answer may come: the rule's slack, and threads' and
   * clocks' error.
   */
  private static final long DUE_BLUR_MS = 500;

  /** Nanoseconds by which a paced caller may be behind and still ask what it missed. */
  private static final long PACE_BEHIND = 1_000_000_000L;

  /**
   * The box was told to leave, with nobody to follow, until another process of it began;
   * System.nanoTime.
   */
  private record Notice(long at, long until) {}

  /** A refusal of what had begun to run before, on the clock of System.nanoTime. */
  private record Refusal(String body, long begun, long at) {}

  private static final class Key {
    private final String name;
    private final String body;
    private final long since = System.currentTimeMillis();
    private byte[] result;

    Key(String name) {
      this.name = name;
      this.body = "note of " + name;
    }
  }

  /**
   * What was seen; the rules are broken where the first eight are not 0. Failed after a result are
   * keys that had theirs once. The slowest answer took so many ms.
   */
  public record Tally(
      int runTwice,
      int refusedAfterRun,
      int otherBytes,
      int lost,
      int unknown,
      int doubled,
      int ranLate,
      int overdue,
      int runTwiceHolderKilled,
      int lostExcused,
      int served,
      int repeats,
      int again,
      int failed,
      int failedAfterResult,
      int refused,
      long slowestMs) {
    /** True where no rule was broken. */
    public boolean holds() {
      return runTwice == 0
          && refusedAfterRun == 0
          && otherBytes == 0
          && lost == 0
          && unknown == 0
          && doubled == 0
          && ranLate == 0
          && overdue == 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%d run twice, %d refused after a run, %d other bytes, %d lost, %d unknown "
              + "answers, %d answered twice, %d run too late after a notice, %d answers overdue; "
              + "where the only holder of keys was killed %d more run twice, by kills and cuts %d lost; "
              + "%d served, %d of them again, %d failed, %d refused, the slowest after %d ms; %d repeats",
          runTwice,
          refusedAfterRun,
          otherBytes,
          lost,
          unknown,
          doubled,
          ranLate,
          overdue,
          runTwiceHolderKilled,
          lostExcused,
          served,
          again,
          failed,
          refused,
          slowestMs,
          repeats);
    }
  }

  private final InetSocketAddress to;
  private final FakeWorkerPool pool;
  private final BooleanSupplier excused;
  private final LongSupplier clock;
  private final Habit habit;
  private final long dueMs;
  private final List<Thread> desks = new ArrayList<>();
  private final List<Refusal> refusals = new CopyOnWriteArrayList<>();
  private final List<Long> forgotten = new CopyOnWriteArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger again = new AtomicInteger();
  private final AtomicInteger repeats = new AtomicInteger();
  private final AtomicInteger failedAfterResult = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger otherBytes = new AtomicInteger();
  private final AtomicInteger unknown = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger overdue = new AtomicInteger();
  private final AtomicInteger doubled = new AtomicInteger();
  private final Map<String, Long> firstAsked = new ConcurrentHashMap<>();
  private final List<Notice> notices = new CopyOnWriteArrayList<>();
  private final AtomicInteger lostExcused = new AtomicInteger();
  private final AtomicLong slowest = new AtomicLong();
  private final AtomicLong paused = new AtomicLong(); // nanoseconds
  private final AtomicLong references;
  private final AtomicReference<Throwable> fault = new AtomicReference<>();
  private volatile boolean over;

  /**
   * @param excused true while a connection may end without its answer, or one come late, as
   *     something was killed, cut or stopped
   */
  public TestClients(HostTestbed floor, Habit habit, long seed, BooleanSupplier excused) {
    this(
        floor.address(),
        floor.pool(),
        floor.clock()::millis,
        habit,
        HostTestbed.DUE_MS,
        seed,
        excused);
  }

  /**
   * The same for any address, worker pool and clock of a machine, Unix ms, where an answer is due
   * in so many ms.
   */
  TestClients(
      InetSocketAddress to,
      FakeWorkerPool pool,
      LongSupplier clock,
      Habit habit,
      long dueMs,
      long seed,
      BooleanSupplier excused) {
    this.dueMs = dueMs;
    this.to = to;
    this.pool = pool;
    this.clock = clock;
    this.habit = habit;
    this.excused = excused;
    Random random = new Random(seed);
    references = new AtomicLong((1 + (seed & 0xffff)) << 32);
    for (int i = 0; i < habit.many(); i++) {
      long mine = random.nextLong();
      Thread desk =
          new Thread(
              () -> {
                try {
                  sit(new Random(mine));
                } catch (RuntimeException | Error e) {
                  fault.compareAndSet(null, e);
                }
              },
              "desk " + i);
      desk.setDaemon(true);
      desks.add(desk);
    }
  }

  public void start() {
    desks.forEach(Thread::start);
  }

  /**
   * The only process that held the keys was killed then: what ran before may run again. On
   * System.nanoTime's clock.
   */
  public void forgotten(long at) {
    forgotten.add(at);
  }

  /** Answers that were neither a result nor a refusal up to now. */
  public int failed() {
    return failed.get();
  }

  /**
   * The only process of the box was told to leave then; what is first asked over two seconds later
   * may not run.
   */
  public void noticed(long at) {
    notices.add(new Notice(at, Long.MAX_VALUE));
  }

  /** Another process of the box begins after a notice. */
  public void begins(long at) {
    notices.replaceAll(each -> each.until() == Long.MAX_VALUE ? new Notice(each.at(), at) : each);
  }

  private int ranLate() {
    int late = 0;
    for (String name : pool.names()) {
      long asked = firstAsked.getOrDefault(name, Long.MIN_VALUE);
      for (Notice notice : notices) {
        boolean after = asked > notice.at() + TimeUnit.MILLISECONDS.toNanos(GRACE_MS + BLUR_MS);
        late += after && pool.begun(name).stream().anyMatch(at -> at < notice.until()) ? 1 : 0;
      }
    }
    return late;
  }

  /**
   * A process that serves stands still for so many ms: answers may take so much longer, and no
   * others.
   */
  public void paused(long ms) {
    paused.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
  }

  /** Requests that were refused up to now. */
  public int refused() {
    return refused.get();
  }

  /** Requests that repeated a key, and were answered, up to now. */
  public int repeats() {
    return repeats.get();
  }

  /** Answers that were results up to now. */
  public int served() {
    return served.get();
  }

  /** Ends all callers. */
  public void stop() throws InterruptedException {
    over = true;
    for (Thread desk : desks) {
      desk.join();
    }
    if (fault.get() != null) {
      throw new IllegalStateException("a caller failed", fault.get());
    }
  }

  private boolean forgottenBetween(long before, long after) {
    return forgotten.stream()
        .anyMatch(at -> before <= at + TimeUnit.MILLISECONDS.toNanos(BLUR_MS) && at <= after);
  }

  /** What was seen; counted anew at each call. */
  public Tally tally() {
    int twice = 0;
    int twiceHolderKilled = 0;
    for (String name : pool.names()) {
      List<Long> begun = pool.begun(name);
      for (int i = 1; i < begun.size(); i++) {
        if (forgottenBetween(begun.get(i - 1), begun.get(i))) {
          twiceHolderKilled++;
        } else {
          twice++;
        }
      }
    }
    int afterRun =
        (int) refusals.stream().filter(each -> !forgottenBetween(each.begun(), each.at())).count();
    return new Tally(
        twice,
        afterRun,
        otherBytes.get(),
        lost.get(),
        unknown.get(),
        doubled.get(),
        ranLate(),
        overdue.get(),
        twiceHolderKilled,
        lostExcused.get(),
        served.get(),
        repeats.get(),
        again.get(),
        failed.get(),
        failedAfterResult.get(),
        refused.get(),
        TimeUnit.NANOSECONDS.toMillis(slowest.get()));
  }

  private void sit(Random random) {
    List<Key> keys = new ArrayList<>();
    TestClient desk = null;
    Key lostKey = null; // asked and not answered: the first thing to ask again
    long due = System.nanoTime() + (long) (random.nextDouble() * habit.everyMs() * 1e6);
    while (!over) {
      keys.removeIf(key -> System.currentTimeMillis() - key.since > habit.keyMs());
      boolean repeat = lostKey != null || (!keys.isEmpty() && random.nextDouble() < habit.again());
      if (!repeat) {
        keys.add(
            new Key(Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong())));
      }
      Key key =
          lostKey != null
              ? lostKey
              : repeat ? keys.get(random.nextInt(keys.size())) : keys.get(keys.size() - 1);
      lostKey = key;
      if (habit.everyMs() > 0) {
        LockSupport.parkNanos(due - System.nanoTime());
        due = Math.max(due, System.nanoTime() - PACE_BEHIND) + (long) (habit.everyMs() * 1e6);
      }
      try {
        if (desk != null && desk.closing()) {
          desk.close();
          desk = null;
        }
        desk = desk != null ? desk : new TestClient(to, clock);
        long asked = System.nanoTime();
        long stood = paused.get();
        firstAsked.putIfAbsent(key.body, asked);
        RespPeer.Reply reply = desk.ask("save", references.incrementAndGet(), key.name, key.body);
        long took = System.nanoTime() - asked;
        slowest.accumulateAndGet(took, Math::max);
        long most = TimeUnit.MILLISECONDS.toNanos(dueMs + DUE_BLUR_MS) + paused.get() - stood;
        if (took > most && !excused.getAsBoolean()) {
          overdue.incrementAndGet();
        }
        lostKey = null;
        repeats.addAndGet(repeat ? 1 : 0);
        judge(key, reply);
        if (habit.everyMs() <= 0) {
          LockSupport.parkNanos(random.nextInt(habit.thinkMs()) * 1_000_000L);
        }
      } catch (TestClient.DoubledException twice) {
        doubled.incrementAndGet();
        desk = null;
      } catch (IOException ended) {
        (excused.getAsBoolean() ? lostExcused : lost).incrementAndGet();
        try {
          if (desk != null) {
            desk.close();
          }
        } catch (IOException e) {
          fault.compareAndSet(null, e);
        }
        desk = null;
        LockSupport.parkNanos(20_000_000);
      }
    }
    if (desk != null) {
      try {
        desk.close();
      } catch (IOException e) {
        fault.compareAndSet(null, e);
      }
    }
  }

  private void judge(Key key, RespPeer.Reply reply) {
    List<Long> begun = pool.begun(key.body);
    switch (reply.word()) {
      case "done" -> {
        served.incrementAndGet();
        if (key.result != null) {
          again.incrementAndGet();
        }
        boolean own = reply.body().startsWith(key.body + " run ");
        // Where it ran again, which is counted, the bytes are others.
        if (!own
            || (key.result != null
                && !Arrays.equals(key.result, reply.bytes())
                && begun.size() < 2)) {
          otherBytes.incrementAndGet();
        }
        key.result = reply.bytes();
      }
      case "later" -> {
        refused.incrementAndGet();
        if (!begun.isEmpty()) {
          refusals.add(new Refusal(key.body, begun.get(begun.size() - 1), System.nanoTime()));
        }
      }
      case "error" -> {
        failed.incrementAndGet();
        if (key.result != null) {
          failedAfterResult.incrementAndGet();
        }
      }
      default -> unknown.incrementAndGet();
    }
  }
}
