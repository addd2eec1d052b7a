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
 * Test front ends that send keyed requests and repeat them, and the checker of the replies: lost,
 * with other bytes, executed twice, refused after an execution, overdue. The checker compares with
 * what the fake worker pool executed and never with what a daemon reports about itself. Each client
 * has a thread; the public methods may be called from any thread.
 */
public final class TestClients {
  /**
   * The load that the clients generate.
   *
   * @param clients number of clients
   * @param keyReuseMs time for which a key is repeated; shorter than the idempotency window
   * @param repeatShare part of requests that repeat a key, besides those whose reply was lost,
   *     which are retried at once
   * @param maxThinkMs longest pause of a client between two requests
   * @param intervalMs interval between two requests of a client, however long replies take; the
   *     next one is sent only after the reply to the last; 0 for random pauses
   */
  public record Workload(
      int clients, long keyReuseMs, double repeatShare, int maxThinkMs, double intervalMs) {
    /** Clients pause between two requests. */
    public Workload(int clients, long keyReuseMs, double repeatShare, int maxThinkMs) {
      this(clients, keyReuseMs, repeatShare, maxThinkMs, 0);
    }

    /**
     * All clients together send {@code rate} requests a second, however long replies take; needs
     * enough clients that few wait for a reply.
     */
    public static Workload paced(int clients, long keyReuseMs, double rate) {
      return new Workload(clients, keyReuseMs, 0.4, 1, clients * 1000 / rate);
    }

    /** Four in ten requests repeat a key. */
    public static Workload of(int clients, long keyReuseMs) {
      return new Workload(clients, keyReuseMs, 0.4, 30);
    }
  }

  /** Error of clocks and thread scheduling between a kill and its observation. */
  private static final long TIMING_TOLERANCE_MS = 50;

  /**
   * Time after SIGTERM in which arriving requests may still be executed; the drainGrace of the test
   * settings.
   */
  private static final long DRAIN_GRACE_MS = 2000;

  /**
   * Time past its deadline in which a reply may arrive: the slack of the rule, and the error of
   * clocks and thread scheduling.
   */
  private static final long DEADLINE_TOLERANCE_MS = 500;

  /** Longest lag that a paced client makes up by sending the missed requests. */
  private static final long MAX_PACING_LAG_NANOS = 1_000_000_000L;

  /** The only process of the host got SIGTERM, and another one started later; System.nanoTime. */
  private record LeaveNotice(long noticedAt, long restartedAt) {}

  /** A refusal of a request whose execution had started before; System.nanoTime. */
  private record Refusal(String body, long executionStart, long refusedAt) {}

  private static final class Key {
    private final String name;
    private final String body;
    private final long createdAtMs = System.currentTimeMillis();
    private byte[] result;

    Key(String name) {
      this.name = name;
      this.body = "note of " + name;
    }
  }

  /**
   * What the clients observed. A rule is broken if one of the first eight counts is not 0. {@code
   * failedAfterResult} counts errors for keys that had a result before. {@code slowestMs} is the
   * latency of the slowest reply.
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
    /** Whether no rule was broken. */
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
          "%d executed twice, %d refused after an execution, %d with other bytes, %d lost, %d unknown "
              + "replies, %d answered twice, %d executed too late after SIGTERM, %d replies overdue; "
              + "%d more executed twice after their keys were lost, %d lost by faults; "
              + "%d served, %d of them repeated, %d failed, %d refused, slowest reply %d ms; %d repeats",
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

  private final InetSocketAddress address;
  private final FakeWorkerPool pool;
  private final BooleanSupplier excused;
  private final LongSupplier clock;
  private final Workload workload;
  private final long deadlineMs;
  private final List<Thread> threads = new ArrayList<>();
  private final List<Refusal> refusalsAfterExecution = new CopyOnWriteArrayList<>();
  private final List<Long> keysLostAt = new CopyOnWriteArrayList<>();
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
  private final List<LeaveNotice> leaveNotices = new CopyOnWriteArrayList<>();
  private final AtomicInteger lostExcused = new AtomicInteger();
  private final AtomicLong slowestNanos = new AtomicLong();
  private final AtomicLong pausedNanos = new AtomicLong();
  private final AtomicLong references;
  private final AtomicReference<Throwable> failure = new AtomicReference<>();
  private volatile boolean stopped;

  /**
   * @param excused whether a connection may now end without its reply or a reply be late, since
   *     something was killed, cut or paused
   */
  public TestClients(HostTestbed testbed, Workload workload, long seed, BooleanSupplier excused) {
    this(
        testbed.address(),
        testbed.pool(),
        testbed.clock()::millis,
        workload,
        HostTestbed.DEADLINE_MS,
        seed,
        excused);
  }

  /**
   * Clients of any address, worker pool and wall clock.
   *
   * @param clock wall clock of the host, Unix ms
   * @param deadlineMs deadline of each request
   */
  TestClients(
      InetSocketAddress address,
      FakeWorkerPool pool,
      LongSupplier clock,
      Workload workload,
      long deadlineMs,
      long seed,
      BooleanSupplier excused) {
    this.deadlineMs = deadlineMs;
    this.address = address;
    this.pool = pool;
    this.clock = clock;
    this.workload = workload;
    this.excused = excused;
    Random random = new Random(seed);
    references = new AtomicLong((1 + (seed & 0xffff)) << 32);
    for (int i = 0; i < workload.clients(); i++) {
      long clientSeed = random.nextLong();
      Thread thread =
          new Thread(
              () -> {
                try {
                  runClient(new Random(clientSeed));
                } catch (RuntimeException | Error e) {
                  failure.compareAndSet(null, e);
                }
              },
              "test-client " + i);
      thread.setDaemon(true);
      threads.add(thread);
    }
  }

  public void start() {
    threads.forEach(Thread::start);
  }

  /**
   * Records that the only process with the keys was killed: requests executed before may be
   * executed again.
   *
   * @param at System.nanoTime
   */
  public void recordKeysLost(long at) {
    keysLostAt.add(at);
  }

  /** Error replies so far. */
  public int failed() {
    return failed.get();
  }

  /**
   * Records that the only process of the host got SIGTERM: a request first sent more than two
   * seconds later must not be executed.
   *
   * @param at System.nanoTime
   */
  public void recordLeaveNotice(long at) {
    leaveNotices.add(new LeaveNotice(at, Long.MAX_VALUE));
  }

  /** Records that another process of the host starts after SIGTERM; System.nanoTime. */
  public void recordRestart(long restartedAt) {
    leaveNotices.replaceAll(
        notice ->
            notice.restartedAt() == Long.MAX_VALUE
                ? new LeaveNotice(notice.noticedAt(), restartedAt)
                : notice);
  }

  private int ranLate() {
    int lateExecutions = 0;
    for (String name : pool.executedNames()) {
      long askedAt = firstAsked.getOrDefault(name, Long.MIN_VALUE);
      for (LeaveNotice notice : leaveNotices) {
        boolean askedAfterGrace =
            askedAt
                > notice.noticedAt()
                    + TimeUnit.MILLISECONDS.toNanos(DRAIN_GRACE_MS + TIMING_TOLERANCE_MS);
        lateExecutions +=
            askedAfterGrace
                    && pool.executionStarts(name).stream()
                        .anyMatch(start -> start < notice.restartedAt())
                ? 1
                : 0;
      }
    }
    return lateExecutions;
  }

  /** Records a pause of the serving process: replies may take that much longer. */
  public void recordPause(long ms) {
    pausedNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(ms));
  }

  /** Refused requests so far. */
  public int refused() {
    return refused.get();
  }

  /** Answered requests that repeated a key, so far. */
  public int repeats() {
    return repeats.get();
  }

  /** Replies with a result so far. */
  public int served() {
    return served.get();
  }

  /** Stops all clients and waits for their threads. */
  public void stop() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
    if (failure.get() != null) {
      throw new IllegalStateException("a test client failed", failure.get());
    }
  }

  private boolean keysLostBetween(long before, long after) {
    return keysLostAt.stream()
        .anyMatch(
            at -> before <= at + TimeUnit.MILLISECONDS.toNanos(TIMING_TOLERANCE_MS) && at <= after);
  }

  /** The counts so far, computed at each call. */
  public Tally tally() {
    int executedTwice = 0;
    int executedTwiceAfterKill = 0;
    for (String name : pool.executedNames()) {
      List<Long> starts = pool.executionStarts(name);
      for (int i = 1; i < starts.size(); i++) {
        if (keysLostBetween(starts.get(i - 1), starts.get(i))) {
          executedTwiceAfterKill++;
        } else {
          executedTwice++;
        }
      }
    }
    int refusedAfterExecution =
        (int)
            refusalsAfterExecution.stream()
                .filter(refusal -> !keysLostBetween(refusal.executionStart(), refusal.refusedAt()))
                .count();
    return new Tally(
        executedTwice,
        refusedAfterExecution,
        otherBytes.get(),
        lost.get(),
        unknown.get(),
        doubled.get(),
        ranLate(),
        overdue.get(),
        executedTwiceAfterKill,
        lostExcused.get(),
        served.get(),
        repeats.get(),
        again.get(),
        failed.get(),
        failedAfterResult.get(),
        refused.get(),
        TimeUnit.NANOSECONDS.toMillis(slowestNanos.get()));
  }

  private void runClient(Random random) {
    List<Key> keys = new ArrayList<>();
    TestClient client = null;
    Key unansweredKey = null; // sent and not answered; it is retried first
    long nextRequestAt =
        System.nanoTime() + (long) (random.nextDouble() * workload.intervalMs() * 1e6);
    while (!stopped) {
      keys.removeIf(key -> System.currentTimeMillis() - key.createdAtMs > workload.keyReuseMs());
      boolean repeat =
          unansweredKey != null
              || (!keys.isEmpty() && random.nextDouble() < workload.repeatShare());
      if (!repeat) {
        keys.add(
            new Key(Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong())));
      }
      Key key =
          unansweredKey != null
              ? unansweredKey
              : repeat ? keys.get(random.nextInt(keys.size())) : keys.get(keys.size() - 1);
      unansweredKey = key;
      if (workload.intervalMs() > 0) {
        LockSupport.parkNanos(nextRequestAt - System.nanoTime());
        nextRequestAt =
            Math.max(nextRequestAt, System.nanoTime() - MAX_PACING_LAG_NANOS)
                + (long) (workload.intervalMs() * 1e6);
      }
      try {
        if (client != null && client.closing()) {
          client.close();
          client = null;
        }
        client = client != null ? client : new TestClient(address, clock);
        long askedAt = System.nanoTime();
        long pausedBefore = pausedNanos.get();
        firstAsked.putIfAbsent(key.body, askedAt);
        RespPeer.Reply reply = client.ask("save", references.incrementAndGet(), key.name, key.body);
        long latency = System.nanoTime() - askedAt;
        slowestNanos.accumulateAndGet(latency, Math::max);
        long allowedLatency =
            TimeUnit.MILLISECONDS.toNanos(deadlineMs + DEADLINE_TOLERANCE_MS)
                + pausedNanos.get()
                - pausedBefore;
        if (latency > allowedLatency && !excused.getAsBoolean()) {
          overdue.incrementAndGet();
        }
        unansweredKey = null;
        repeats.addAndGet(repeat ? 1 : 0);
        checkReply(key, reply);
        if (workload.intervalMs() <= 0) {
          LockSupport.parkNanos(random.nextInt(workload.maxThinkMs()) * 1_000_000L);
        }
      } catch (TestClient.DoubledException duplicate) {
        doubled.incrementAndGet();
        client = null;
      } catch (IOException connectionEnded) {
        (excused.getAsBoolean() ? lostExcused : lost).incrementAndGet();
        try {
          if (client != null) {
            client.close();
          }
        } catch (IOException e) {
          failure.compareAndSet(null, e);
        }
        client = null;
        LockSupport.parkNanos(20_000_000);
      }
    }
    if (client != null) {
      try {
        client.close();
      } catch (IOException e) {
        failure.compareAndSet(null, e);
      }
    }
  }

  private void checkReply(Key key, RespPeer.Reply reply) {
    List<Long> starts = pool.executionStarts(key.body);
    switch (reply.word()) {
      case "done" -> {
        served.incrementAndGet();
        if (key.result != null) {
          again.incrementAndGet();
        }
        boolean matchesKey = reply.body().startsWith(key.body + " run ");
        // After a second execution, which is counted separately, the bytes differ.
        if (!matchesKey
            || (key.result != null
                && !Arrays.equals(key.result, reply.bytes())
                && starts.size() < 2)) {
          otherBytes.incrementAndGet();
        }
        key.result = reply.bytes();
      }
      case "later" -> {
        refused.incrementAndGet();
        if (!starts.isEmpty()) {
          refusalsAfterExecution.add(
              new Refusal(key.body, starts.get(starts.size() - 1), System.nanoTime()));
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
