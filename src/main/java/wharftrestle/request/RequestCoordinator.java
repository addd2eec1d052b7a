package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.metrics.Counters.Result;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.time.SteadyWallClock;

/**
 * Owns the requests in hand, the keys with their results, and the one lock that guards the decision
 * module; {@link ResultRecorder} has what concerns the disk, {@link PeerCoordinator} the other
 * process of the box. Events enter the module here, one at a time and with a clock that never goes
 * back; what the module asks for comes back inside the event and only becomes a step of the request
 * concerned, which that request's own thread carries out. It must never read or write a socket
 * under the lock, never decide what the module decides, and never know which wire a request came
 * by.
 */
public final class RequestCoordinator implements Admission.Actions {

  /**
   * One try as a front read it; {@code door} is ms on {@link SteadyWallClock}'s even scale, {@code
   * key} is null where there is none.
   *
   * @param further its sender marked it as a further try, or a second copy
   * @param cost seconds of work on one core to expect, rough; 0 where not told
   */
  public record Arrival(
      String ref,
      boolean further,
      int classIndex,
      int tenantIndex,
      double heldKb,
      int caller,
      double rank,
      double cost,
      String key,
      String subject,
      long door,
      byte[] body) {}

  /** The final answer; retryAfter in seconds, 0 for no advice. */
  public record Answer(Kind kind, byte[] result, double retryAfter, boolean nowhereElse) {
    /** How a request came out. */
    public enum Kind {
      SERVED,
      REFUSED,
      FAILED,
      LATE,
      CONFLICT
    }

    private static final byte[] NOTHING = new byte[0];

    static Answer served(byte[] result) {
      return new Answer(Kind.SERVED, result, 0, false);
    }

    static Answer failed() {
      return new Answer(Kind.FAILED, NOTHING, 0, false);
    }

    static Answer conflict() {
      return new Answer(Kind.CONFLICT, NOTHING, 0, false);
    }

    static Answer late() {
      return new Answer(Kind.LATE, NOTHING, 0, false);
    }

    static Answer refused(double retryAfter, boolean nowhereElse) {
      return new Answer(Kind.REFUSED, NOTHING, retryAfter, nowhereElse);
    }
  }

  /** Who waits for a request; told once, on the request's own thread. */
  public interface Caller {
    void answer(Answer answer);
  }

  /** What carries out runs. None of these waits for the network. */
  public interface Pool {
    void spawn(String ref, String className, byte[] body);

    void suspend(String ref);

    void supply(String ref, byte[] reply);

    void pass(String ref, long notice);

    /** Asks for the gauges; false where there is no link to ask over. */
    boolean poll();
  }

  /** What takes the calls of runs. */
  public interface Store {
    /**
     * Sends a call on another thread and returns at once; the end is told once unless it is
     * abandoned. Where it may not be made {@code again}, it never shares a connection that can have
     * ended meanwhile.
     */
    Call begin(String ref, byte[] body, long timeoutMs, boolean again, CallEnd end);
  }

  /** A call on its way. */
  public interface Call {
    void abandon();
  }

  /** Takes how a call ended; the reply is null unless it went well. */
  public interface CallEnd {
    void ended(Outcome outcome, byte[] reply);
  }

  /** Makes the module once the worker pool is up. */
  public interface Factory {
    Admission.Events create(
        double now, long seed, Admission.Settings settings, Admission.Actions actions);
  }

  /** Told of health as the module sets it, and of the time after which idle connections may go. */
  public interface Watcher {
    void health(boolean good);
  }

  /** Threads beyond the requests in hand, for those that have just ended. */
  private static final int SPARE_THREADS = 32;

  /** Seconds past the due time at which an answer is forced: well inside the slack of the rule. */
  private static final double BACKSTOP = 0.02;

  /** Seconds a run may outlive its answer before its thread stops waiting for word of it. */
  private static final double ORPHAN = 60;

  /** Seconds the timer waits for the gauges it asked for. */
  private static final double GAUGE_WAIT = 0.015;

  /**
   * What the module is told that a try repeats where the other process has its key: no request of
   * this one.
   */
  private static final long ELSEWHERE = -1;

  /** Part of the machine's memory and of the store's share that each of two processes has. */
  private static final double HALF = 0.5;

  /** Seconds after which whoever found no room may come again, at the least. */
  private static final double LEAST_AGAIN = 0.05;

  /**
   * Requests in hand beyond which words of one moment are taken together, and seconds of that
   * moment.
   */
  private static final int MUCH_IN_HAND = 32;

  private static final double MOMENT = 0.001;

  private record Wake(double at, long label) {}

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition timers = lock.newCondition();
  private final Condition gaugesCame = lock.newCondition();
  private final Condition drained = lock.newCondition();
  private final Admission.Settings settings;
  private final long seed;
  private final Factory factory;
  private final Counters counters;
  private final Map<Long, InFlightRequest> byId = new HashMap<>();
  private final Map<String, InFlightRequest> byRef = new HashMap<>();
  private final KeyMemoryBudget room;
  private final IdempotencyTable<InFlightRequest> keys;
  private final PriorityQueue<Wake> wakes =
      new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
  private final ArrayDeque<Runnable> pending = new ArrayDeque<>();
  private final ThreadPoolExecutor threads;
  private volatile int most;
  private Pool pool;
  private Store store;
  private volatile long indexBytes;
  private Watcher watcher = good -> {};
  private Admission.Events module;
  private double clock;
  private long lastId;
  private double[] gauges = new double[0];
  private long gaugeCount;
  private double stopAt = Double.POSITIVE_INFINITY;
  private double keysSwept;
  private double settledAt = Double.NEGATIVE_INFINITY;
  private boolean unsettled;
  private volatile boolean healthy = true;
  private volatile boolean lameDuck;
  private volatile boolean ceded;
  private final CountDownLatch up = new CountDownLatch(1);
  private final PeerCoordinator partner;
  private final ResultRecorder recorder;
  private volatile double idleLimit;

  /**
   * Each request in hand has a thread, so there are at most so many.
   *
   * @param room for what is known of keys
   */
  public RequestCoordinator(
      Admission.Settings settings,
      long seed,
      int mostInHand,
      KeyMemoryBudget room,
      Factory factory,
      Counters counters) {
    this.room = room;
    keys = new IdempotencyTable<>(this::endsWith, room);
    partner = new PeerCoordinator(this, keys);
    recorder = new ResultRecorder(this, keys, room, partner.between());
    partner.records(recorder);
    this.settings = settings;
    this.seed = seed;
    this.factory = factory;
    this.counters = counters;
    most = mostInHand;
    threads =
        new ThreadPoolExecutor(
            8,
            mostInHand + SPARE_THREADS,
            5,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> PlatformThreads.thread("request", task));
  }

  /** Gives the core its outer parties and starts its timer. */
  public void open(Pool workers, Store calls, Watcher told) {
    pool = workers;
    store = calls;
    watcher = told;
    PlatformThreads.lasting("timer", this::runTimers).start();
  }

  /**
   * From now on no keyed run begins before its intent is kept, and none is answered before its
   * result is.
   */
  public void record(ResultStore kept) {
    lock.lock();
    try {
      recorder.record(kept);
    } finally {
      lock.unlock();
    }
  }

  /** What a dead process of this box left, or the one that handed over. */
  public void recovered(ResultStore.Recovered left) {
    lock.lock();
    try {
      boolean all = true;
      double latest = left.blindUntil();
      for (ResultStore.Remembered key : left.keys()) {
        all &= keys.recover(key.key(), key.place(), key.lastDoor(), key.check(), key.until());
        latest = Math.max(latest, key.until());
      }
      if (!all || left.blindUntil() > now()) {
        // Guards against a second run of a key that is on disk and not known: none of those runs
        // for a window.
        Logger.warn(
            "keys may be on disk that are not known here: unknown ones fail for {} s",
            Math.round(latest - now()));
        keys.failUnknownKeysUntil(latest);
      }
    } finally {
      lock.unlock();
    }
  }

  /** The figures of kept results; empty where none are kept. */
  public Map<ResultMetric, Long> results() {
    return recorder.figures(indexBytes);
  }

  /** What the other process of this box says and is told. */
  public PeerCoordinator partner() {
    return partner;
  }

  public Admission.Settings settings() {
    return settings;
  }

  /** True once the worker pool is up, and with it the module. */
  public boolean ready() {
    return up.getCount() == 0;
  }

  public void awaitReady() throws InterruptedException {
    up.await();
  }

  /** What checks and reports are told: the module's health, with the lame duck over it. */
  public boolean healthy() {
    return (healthy || ceded) && !lameDuck;
  }

  /**
   * Another process takes the clients of this box: the end of this one is no illness, and no check
   * says so.
   */
  public void ceded(boolean now) {
    ceded = now;
  }

  /** So many requests in hand at most from now on. */
  public void limit(int inHand) {
    most = inHand;
  }

  public boolean lameDuck() {
    return lameDuck;
  }

  /**
   * Sends callers away, or takes them again. The module is not told: whatever still arrives is
   * served as usual, and nothing of this is a stop.
   */
  public void lameDuck(boolean on) {
    lock.lock();
    try {
      lameDuck = on;
      watcher.health(healthy());
    } finally {
      lock.unlock();
    }
  }

  /** Seconds an idle connection may stay; 0 for as long as its peer likes. */
  public double idleLimit() {
    return idleLimit;
  }

  // ---- The life of one request ----

  /**
   * Takes a request in; its life goes on on a thread of its own. Returns what {@link #left} needs,
   * or null where it was answered already.
   */
  public Object accept(Arrival arrival, Caller caller) {
    counters.taken();
    InFlightRequest task;
    lock.lock();
    try {
      task = new InFlightRequest(++lastId, arrival, caller, lock.newCondition());
    } finally {
      lock.unlock();
    }
    if (!partner.mustAsk(task)) {
      arrive(task); // on the thread that read it: most of what is refused needs no other
    }
    if (overAtOnce(task)) {
      guarded(task);
      return null;
    }
    try {
      threads.execute(() -> guarded(task));
    } catch (RejectedExecutionException | OutOfMemoryError full) {
      // Guards against a request that no thread can be had for any more: it is owed its answer all
      // the same.
      forceAnswer(task);
      guarded(task);
      return null;
    }
    return task;
  }

  /** True where its answer is all that is left of its life. */
  private boolean overAtOnce(InFlightRequest task) {
    lock.lock();
    try {
      return task.arrived && task.over();
    } finally {
      lock.unlock();
    }
  }

  private void forceAnswer(InFlightRequest task) {
    lock.lock();
    try {
      counters.add(Count.GUARDED);
      task.arrived = true;
      answer(task, Answer.failed());
      if (task.spawned) {
        task.steps.removeIf(step -> step.kind() != InFlightRequest.Kind.ANSWER); // no run was begun
        tellRunOver(task, Outcome.VOID, 0, null);
      } else if (byId.containsKey(task.id)) {
        module.callerLeft(now(), task.id);
        settle(now());
      }
    } finally {
      lock.unlock();
    }
  }

  /** Guards against a fault of ours in one request taking an answer with it. */
  private void guarded(InFlightRequest task) {
    try {
      live(task);
    } catch (RuntimeException | Error fault) {
      Logger.error(fault, "request {}", task.arrival.ref());
      boolean owed;
      lock.lock();
      try {
        if (!task.answered) {
          counters.answered(task.arrival.classIndex(), Result.ABORTED);
        }
        owed =
            !task.answered
                || task.steps.removeIf(step -> step.kind() == InFlightRequest.Kind.ANSWER);
        task.answered = true;
        forget(task);
      } finally {
        lock.unlock();
      }
      if (owed) {
        task.caller.answer(Answer.failed());
      }
    }
  }

  /** One request from its arrival to its last word. */
  private void live(InFlightRequest task) {
    Arrival arrival = task.arrival;
    if (!task.arrived) {
      partner.ask(task);
      arrive(task);
    }
    for (InFlightRequest.Step step = next(task); step != null; step = next(task)) {
      switch (step.kind()) {
        case INTEND -> intend(task);
        case SPAWN -> {
          counters.add(Count.RUNS);
          partner.tellBeforeRun(task);
          pool.spawn(
              arrival.ref(), settings.classes().get(arrival.classIndex()).name(), arrival.body());
        }
        case CALL -> {
          counters.add(Count.CALLS);
          beginCall(task, step);
        }
        case SUPPLY -> pool.supply(arrival.ref(), step.bytes());
        case PASS -> pool.pass(arrival.ref(), (long) step.until());
        case SUSPEND -> pool.suspend(arrival.ref());
        case ABANDON -> abandonCall(task);
        case REPLAY -> replay(task);
        case ANSWER -> task.caller.answer(step.answer());
      }
    }
  }

  private void arrive(InFlightRequest task) {
    lock.lock();
    try {
      task.arrived = true;
      if (task.answered) {
        return;
      }
      KeyEntry<InFlightRequest> known = task.key == null ? null : keys.find(task.key);
      boolean ran =
          (known != null && known.mayHaveRun())
              || (task.key != null && !partner.between().isOwner());
      if (byId.size() >= most) {
        // Guards against threads filling the memory in a flood: what finds none is turned away
        // unread by
        // the module, or failed where another try of it ran.
        counters.add(Count.GUARDED);
        answer(task, ran ? Answer.failed() : Answer.refused(settings.maxRetryAfter(), false));
        return;
      }
      if (module == null
          && known != null
          && known.state() == KeyState.SUCCEEDED
          && known.covers(task.arrival.door())
          && known.body().matches(task.arrival.body())) {
        // What a dead process answered needs no worker pool to be given again.
        task.backstop = due(task.arrival, now());
        endAttached(task, known);
        return;
      }
      if (module == null || byRef.containsKey(task.arrival.ref())) {
        // Before the worker pool is up nothing can run; a reference in use would be taken for its
        // run. Guards
        // against refusing what a dead process ran.
        counters.add(Count.GUARDED);
        answer(
            task,
            module == null && !ran
                ? Answer.refused(settings.maxRetryAfter(), false)
                : Answer.failed());
        return;
      }
      double now = now();
      Arrival a = task.arrival;
      double lay = lay(a);
      task.backstop = due(a, now);
      byId.put(task.id, task);
      byRef.put(a.ref(), task);
      sweepKeys(now);
      KeyEntry<InFlightRequest> prior =
          task.key == null ? null : keys.findDuplicate(task.key, a.door());
      boolean repeat = prior != null;
      if (task.key != null && !repeat && partner.unasked(task)) {
        // Guards against a second run of a key, or its refusal after one: the process that owns it
        // is silent.
        answer(task, Answer.late());
        return;
      }
      if (repeat && !prior.body().matches(a.body())) {
        // Guards against a result for what was never asked: a known key with another body is no
        // try.
        counters.add(Count.INVALID);
        answer(task, Answer.conflict());
        return;
      }
      ResultStore.Refusal why = task.key == null || repeat ? null : recorder.refusal();
      if (why != null) {
        // Guards against holding what could not be recorded when its turn comes.
        counters.add(Count.GUARDED);
        answer(task, recorder.unrecorded(why));
        return;
      }
      if (task.key != null && !repeat && !promise(task)) {
        // Guards against a run whose key could not be known to its end, and against memory that
        // ends the box.
        answer(task, roomless(now));
        return;
      }
      task.entry = prior;
      module.arrived(
          now,
          new Admission.Request(
              task.id,
              a.further(),
              lay,
              a.classIndex(),
              a.tenantIndex(),
              a.heldKb(),
              a.caller(),
              a.cost(),
              a.subject(),
              !repeat ? 0 : prior.attempt() == null ? ELSEWHERE : prior.attempt().id,
              0,
              a.rank()));
      settle(now);
    } finally {
      lock.unlock();
    }
  }

  private static double lay(Arrival a) {
    return Math.max(0, (SteadyWallClock.steadyWallMillis() - a.door()) / 1000.0);
  }

  double due(Arrival a, double now) {
    return Math.min(
        now - lay(a) + settings.classes().get(a.classIndex()).deadline() + BACKSTOP, stopAt);
  }

  /** The request's next step; null once it is answered and nothing of it runs. */
  private InFlightRequest.Step next(InFlightRequest task) {
    lock.lock();
    try {
      for (; ; ) {
        InFlightRequest.Step step = task.steps.poll();
        if (step != null) {
          return step;
        }
        if (task.over()) {
          forget(task);
          return null;
        }
        double wait = task.backstop - now();
        if (recorder.recording(task)) {
          wait = Math.min(wait, task.recordBy - now());
          if (now() >= task.recordBy) {
            recorder.neverBegun(task, ResultStore.Refusal.DISK_STALLED);
            continue;
          }
        }
        if (wait <= 0 && task.answered) {
          Logger.warn("no word of run {}, given up", task.arrival.ref());
          tellRunOver(task, Outcome.BROKEN, now() - task.since, null);
        } else if (wait <= 0) {
          // Guards against a late answer should the module or its timer be held up.
          counters.add(Count.BACKSTOPS);
          answer(task, Answer.late());
          if (byId.containsKey(task.id)) {
            module.callerLeft(now(), task.id);
            settle(now());
          }
        } else {
          task.signal.awaitNanos((long) (wait * 1e9) + 1);
        }
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException("nobody interrupts a request", e);
    } finally {
      lock.unlock();
    }
  }

  /** True where there is room to know this try's key to its end. */
  private boolean promise(InFlightRequest task) {
    task.promised = task.promised || keys.tryReserveMemory();
    if (!task.promised) {
      keys.expire(now()); // what is over by now need not wait for the next sweep
      task.promised = keys.tryReserveMemory();
    }
    return task.promised;
  }

  /** Not taken for want of room: with the time at which there is some, as far as is known now. */
  private Answer roomless(double now) {
    counters.add(Count.GUARDED);
    counters.add(Count.NO_ROOM);
    return Answer.refused(
        Math.min(settings.maxRetryAfter(), Math.max(LEAST_AGAIN, keys.secondsUntilCapacity(now))),
        false);
  }

  private void forget(InFlightRequest task) {
    if (task.promised) {
      task.promised = false;
      keys.releaseMemory();
    }
    byId.remove(task.id);
    byRef.remove(task.arrival.ref(), task);
    partner.forgotten(task, byId.values());
    if (byId.isEmpty()) {
      drained.signalAll();
    }
  }

  /** The caller of a request waits no longer. */
  public void left(Object accepted) {
    InFlightRequest task = (InFlightRequest) accepted;
    lock.lock();
    try {
      if (task == null || task.answered) {
        return;
      }
      counters.gone();
      markAnswered(task);
      if (task.entry != null) {
        keys.detach(task.entry, task);
      }
      if (byId.containsKey(task.id)) {
        module.callerLeft(now(), task.id);
        settle(now());
      }
    } finally {
      lock.unlock();
    }
  }

  void answer(InFlightRequest task, Answer answer) {
    if (!task.answered) {
      // Each request is counted here and once, whatever front, replay or guard its answer comes by.
      counters.answered(
          task.arrival.classIndex(),
          switch (answer.kind()) {
            case SERVED -> Result.SUCCEEDED;
            case REFUSED -> Result.DECLINED;
            case FAILED, LATE, CONFLICT -> Result.ABORTED;
          });
      Admission.RequestClass type = settings.classes().get(task.arrival.classIndex());
      double aim = type.aim() + type.aimStretch() * task.arrival.cost();
      if (answer.kind() == Answer.Kind.SERVED && lay(task.arrival) > aim) {
        counters.late(task.arrival.classIndex());
      }
      markAnswered(task);
      task.step(new InFlightRequest.Step(InFlightRequest.Kind.ANSWER, null, 0, answer));
    }
  }

  private void markAnswered(InFlightRequest task) {
    task.answered = true;
    task.backstop = now() + ORPHAN;
    task.signal.signal();
  }

  // ---- Time and the module ----

  /** Seconds on a clock that never goes back; under the lock. */
  double now() {
    clock = Math.max(clock, System.nanoTime() / 1e9);
    return clock;
  }

  /**
   * Ends the instant after what the worker pool or the store said. Guards against the module
   * looking at all that is in hand for each of their words: with much in hand, those of a moment
   * make one instant.
   */
  private void settleSoon(double now) {
    if (byId.size() <= MUCH_IN_HAND || now >= settledAt + MOMENT) {
      settle(now);
    } else if (!unsettled) {
      unsettled = true;
      timers.signal();
    }
  }

  /** Ends the instant, and the instants that follow from what the module asked for in it. */
  private void settle(double now) {
    unsettled = false;
    settledAt = now;
    module.settled(now);
    for (Runnable event = pending.poll(); event != null; event = pending.poll()) {
      event.run();
      module.settled(now());
    }
  }

  private void runTimers() {
    lock.lock();
    try {
      for (; ; ) {
        Wake first = wakes.peek();
        double wait = first == null ? 1 : first.at() - now();
        boolean moment = unsettled && settledAt + MOMENT - now() < wait;
        wait = moment ? settledAt + MOMENT - now() : wait;
        if (wait > 0) {
          timers.awaitNanos((long) (wait * 1e9) + 1);
          continue;
        }
        double[] seen = moment ? null : freshGauges();
        double now = now();
        try {
          if (!moment) {
            wakes.remove(first);
            module.timer(now, first.label(), seen);
          }
          settle(now);
        } catch (RuntimeException | Error fault) {
          Logger.error(fault, "timer"); // without a timer, nothing held would ever be answered
          wakes.add(new Wake(now + 0.1, moment ? 0 : first.label()));
        }
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException("nobody interrupts the timer", e);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Gauges read now; none where the worker pool does not say in time, for old ones would mislead.
   */
  private double[] freshGauges() throws InterruptedException {
    long before = gaugeCount;
    if (!pool.poll()) {
      return new double[0];
    }
    long left = (long) (GAUGE_WAIT * 1e9);
    while (gaugeCount == before && left > 0) {
      left = gaugesCame.awaitNanos(left);
    }
    return gaugeCount == before ? new double[0] : gauges;
  }

  // ---- What the worker pool tells ----

  /**
   * The worker pool is up, cold or warm at its start so many seconds ago. The module's life begins,
   * but for a process that was told to leave before: a module made then would not know the notice,
   * and run what comes after the grace.
   */
  public void bound(boolean cold, double ago) {
    lock.lock();
    try {
      if (module == null && stopAt == Double.POSITIVE_INFINITY) {
        module = factory.create(now() - ago, seed, settings.started(cold), this);
        settle(now());
        up.countDown();
      }
    } finally {
      lock.unlock();
    }
  }

  /** The worker pool has started anew: what ran there is over, and may have had its effect. */
  public void poolRestarted() {
    lock.lock();
    try {
      for (InFlightRequest task : List.copyOf(byId.values())) {
        if (task.spawned && !task.runOver && !recorder.recording(task)) {
          tellRunOver(task, Outcome.BROKEN, now() - task.since, null);
        }
      }
    } finally {
      lock.unlock();
    }
  }

  public void gauges(double[] values) {
    lock.lock();
    try {
      gauges = values;
      gaugeCount++;
      gaugesCame.signal();
    } finally {
      lock.unlock();
    }
  }

  /** A run is over; the result is null unless it ended well. */
  public void finished(String ref, Outcome outcome, double elapsed, byte[] result) {
    lock.lock();
    try {
      InFlightRequest task = byRef.get(ref);
      if (task == null || !task.spawned || task.runOver) {
        return;
      }
      tellRunOver(task, outcome, elapsed, result);
    } finally {
      lock.unlock();
    }
  }

  void tellRunOver(InFlightRequest task, Outcome outcome, double elapsed, byte[] result) {
    if (!recorder.recording(task) && !task.unsent) {
      counters.add(outcome == Outcome.SUCCESS ? Count.RUNS_GOOD : Count.RUNS_OTHER);
    }
    task.runOver = true;
    task.callNumber++;
    if (task.call != null) {
      task.step(InFlightRequest.Step.of(InFlightRequest.Kind.ABANDON));
    }
    boolean waits = false;
    if (task.entry != null && task.entry.attempt() == task) {
      if (outcome == Outcome.VOID) {
        if (task.entry.state() == KeyState.RUNNING) {
          recorder.voided(task.entry);
        }
        keys.abandon(task.entry);
      } else {
        waits = finish(task.entry, outcome == Outcome.SUCCESS ? result : null);
      }
    }
    if (!waits) {
      answer(task, outcome == Outcome.SUCCESS ? Answer.served(result) : Answer.failed());
    }
    task.signal.signal();
    double now = now();
    module.ended(now, task.id, outcome, elapsed);
    settleSoon(now);
  }

  /** A run waits for a call. */
  public void blocked(String ref, long notice, byte[] body) {
    lock.lock();
    try {
      InFlightRequest task = byRef.get(ref);
      if (task == null || !task.spawned || task.runOver) {
        return;
      }
      task.notice = notice;
      task.callFailed = false;
      task.callBody = body;
      double now = now();
      module.standsAtCall(now, task.id);
      settleSoon(now);
    } finally {
      lock.unlock();
    }
  }

  // ---- Calls ----

  private void beginCall(InFlightRequest task, InFlightRequest.Step step) {
    byte[] body;
    int number;
    long timeout;
    lock.lock();
    try {
      if (task.runOver) {
        return;
      }
      body = task.callBody;
      number = ++task.callNumber;
      timeout = Math.max(1, Math.round((step.until() - now()) * 1000));
    } finally {
      lock.unlock();
    }
    boolean again =
        settings.classes().get(task.arrival.classIndex()).repeat() == Admission.Repeat.SAFE;
    Call call =
        store.begin(
            task.arrival.ref(),
            body,
            timeout,
            again,
            (outcome, reply) -> callEnded(task, number, outcome, reply));
    lock.lock();
    try {
      if (task.callNumber == number) {
        task.call = call;
      }
    } finally {
      lock.unlock();
    }
  }

  private void abandonCall(InFlightRequest task) {
    Call call;
    lock.lock();
    try {
      call = task.call;
      task.call = null;
    } finally {
      lock.unlock();
    }
    if (call != null) {
      call.abandon();
    }
  }

  private void callEnded(InFlightRequest task, int number, Outcome outcome, byte[] reply) {
    counters.add(outcome == Outcome.SUCCESS ? Count.CALLS_GOOD : Count.CALLS_OTHER);
    lock.lock();
    try {
      if (task.callNumber != number) {
        return;
      }
      task.callNumber++;
      task.call = null;
      task.callFailed = outcome != Outcome.SUCCESS && outcome != Outcome.TIMED_OUT;
      double now = now();
      if (outcome == Outcome.SUCCESS) {
        task.step(new InFlightRequest.Step(InFlightRequest.Kind.SUPPLY, reply, 0, null));
      }
      module.callEnded(now, task.id, outcome, now - task.callSince);
      settleSoon(now);
    } finally {
      lock.unlock();
    }
  }

  // ---- Keys ----

  /**
   * A run of this key is over; the result is null unless it ended well. True where its answer waits
   * for the disk.
   */
  boolean finish(KeyEntry<InFlightRequest> entry, byte[] result) {
    partner.between().sendFinished(entry, result);
    boolean ran = entry.state() == KeyState.RUNNING || entry.state() == KeyState.OWNED_BY_PEER;
    keys.complete(entry, result);
    if (ran) {
      recorder.ended(entry, result);
    }
    partner.between().forwardSettled(entry.key(), recorder.on(), now());
    return entry.state() == KeyState.SAVING;
  }

  /** The result of a settled key goes out again, byte for byte. */
  private void replay(InFlightRequest task) {
    byte[] result = recorder.read(task.key, task.entry.location());
    lock.lock();
    try {
      endWith(task, result);
      settleIfUp();
    } finally {
      lock.unlock();
    }
  }

  private void intend(InFlightRequest task) {
    lock.lock();
    try {
      recorder.intend(task);
    } finally {
      lock.unlock();
    }
  }

  private void endsWith(InFlightRequest rider, KeyEntry<InFlightRequest> entry) {
    pending.add(() -> endAttached(rider, entry));
  }

  /** An attached try ends as the one it repeats did. */
  private void endAttached(InFlightRequest task, KeyEntry<InFlightRequest> entry) {
    if (!task.answered && entry != null && entry.isOnDisk() && keys.result(entry) == null) {
      task.entry = entry;
      task.step(
          InFlightRequest.Step.of(
              InFlightRequest.Kind.REPLAY)); // it lies on disk: no reading here, under the lock
      return;
    }
    endWith(task, entry == null ? null : keys.result(entry));
  }

  private void endWith(InFlightRequest task, byte[] result) {
    if (task.answered) {
      return;
    }
    if (result != null) {
      counters.add(Count.REPLAYED);
    }
    answer(task, result != null ? Answer.served(result) : Answer.failed());
    if (module != null && byId.containsKey(task.id)) {
      double now = now();
      module.ended(
          now, task.id, result != null ? Outcome.SUCCESS : Outcome.FAILURE, now - task.since);
    }
  }

  private void join(InFlightRequest task) {
    KeyEntry<InFlightRequest> entry = task.entry;
    task.attached = true;
    task.since = now();
    if (entry == null || !keys.attach(entry, task)) {
      pending.add(() -> endAttached(task, entry));
    }
  }

  private void sweepKeys(double now) {
    if (now < keysSwept + 1) {
      return;
    }
    keysSwept = now;
    keys.expire(now);
    indexBytes = keys.indexBytes();
    counters.kept(
        new Counters.Kept(
            keys.size(),
            recorder.mostKeys(),
            keys.indexBytes() + keys.resultBytes(),
            room.bytes()));
  }

  /** Seconds; for a class that only the other process of the box knows, the longest of all. */
  double window(int classIndex) {
    return classIndex < settings.classes().size()
        ? settings.classes().get(classIndex).window()
        : settings.classes().stream().mapToDouble(Admission.RequestClass::window).max().orElse(0);
  }

  /** Bytes of results that are kept in memory at most. */
  long mostResultBytes() {
    return room.maxResultBytes();
  }

  void lock() {
    lock.lock();
  }

  void unlock() {
    lock.unlock();
  }

  void count(Count count) {
    counters.add(count);
  }

  private void share(double part) {
    if (module != null) {
      module.shares(now(), part);
      settle(now());
    }
  }

  /** The other process of the box came or went; under the lock. */
  void halved(boolean half) {
    share(half ? HALF : 1);
  }

  void settleSoonIfUp() {
    if (module != null) {
      settleSoon(now());
    }
  }

  void settleIfUp() {
    if (module != null) {
      settle(now());
    }
  }

  // ---- What the module asks for: each becomes a step of the request concerned ----

  @Override
  public void start(long id) {
    InFlightRequest task = byId.get(id);
    if (task == null || task.spawned) {
      return;
    }
    Arrival a = task.arrival;
    task.since = now();
    if (task.key != null) {
      KeyEntry<InFlightRequest> known = keys.find(task.key);
      if (!(known != null && known.mayHaveRun() && known.covers(a.door())) && !promise(task)) {
        // It came as a repeat of a try that never ran, so no room was asked for before.
        task.spawned = true;
        task.unsent = true;
        pending.add(
            () -> {
              answer(task, roomless(now()));
              if (task.entry != null) {
                keys.release(task.entry, task);
              }
              tellRunOver(task, Outcome.VOID, 0, null);
            });
        return;
      }
      KeyEntry<InFlightRequest> entry =
          keys.start(task.key, a.body(), a.door(), window(a.classIndex()), now(), task);
      task.entry = entry;
      if (entry.attempt() != task) {
        // Guards against a second run of one key, whatever the module holds of it.
        Logger.warn("a second run of one key was asked for; its try joins the first");
        join(task);
        return;
      }
    }
    task.spawned = true;
    task.step(
        InFlightRequest.Step.of(
            recorder.recording(task) ? InFlightRequest.Kind.INTEND : InFlightRequest.Kind.SPAWN));
  }

  @Override
  public void refuse(long id, boolean nowhereElse, double retryAfter) {
    InFlightRequest task = byId.get(id);
    if (task != null) {
      // Guards against a refusal after the run of a key: that answer would promise that none ran.
      boolean ran = task.entry != null && task.entry.mayHaveRun();
      answer(task, ran ? Answer.failed() : Answer.refused(retryAfter, nowhereElse));
    }
  }

  @Override
  public void fail(long id) {
    InFlightRequest task = byId.get(id);
    if (task != null) {
      answer(task, task.callFailed ? Answer.failed() : Answer.late());
      if (task.attached && task.entry != null) {
        keys.detach(task.entry, task);
      }
    }
  }

  @Override
  public void stop(long id) {
    InFlightRequest task = byId.get(id);
    if (task != null && recorder.recording(task)) {
      pending.add(
          () -> {
            if (recorder.recording(task)) {
              recorder.neverBegun(task, null);
            }
          });
    } else if (task != null && task.spawned && !task.runOver) {
      task.step(InFlightRequest.Step.of(InFlightRequest.Kind.SUSPEND));
    }
  }

  @Override
  public void call(long id, double notPast) {
    InFlightRequest task = byId.get(id);
    if (task != null && !task.runOver) {
      task.callSince = now();
      task.step(new InFlightRequest.Step(InFlightRequest.Kind.CALL, null, notPast, null));
    }
  }

  @Override
  public void skipCall(long id) {
    InFlightRequest task = byId.get(id);
    if (task != null && !task.runOver) {
      task.step(new InFlightRequest.Step(InFlightRequest.Kind.PASS, null, task.notice, null));
    }
  }

  @Override
  public void keep(long id, double time) {
    InFlightRequest task = byId.get(id);
    if (task == null || task.key == null) {
      return;
    }
    KeyEntry<InFlightRequest> entry =
        keys.enqueue(task.key, task.arrival.body(), task.arrival.door(), task);
    if (entry != null) {
      task.entry = entry;
    }
  }

  @Override
  public void release(long id) {
    InFlightRequest task = byId.get(id);
    if (task != null && task.entry != null) {
      keys.release(task.entry, task);
    }
  }

  @Override
  public void attach(long id) {
    InFlightRequest task = byId.get(id);
    if (task != null) {
      join(task);
    }
  }

  @Override
  public void health(boolean good, boolean fromStore) {
    healthy = good;
    watcher.health(healthy());
  }

  @Override
  public void idleLimit(double time) {
    idleLimit = time;
  }

  @Override
  public void timer(long label, double in) {
    wakes.add(new Wake(now() + in, label));
    timers.signal();
  }

  @Override
  public void log(String line) {
    Logger.info("module: {}", line);
  }

  // ---- Leaving ----

  /** The notice to leave: all in hand is answered within this many seconds. */
  public void leave(double timeLeft) {
    lock.lock();
    try {
      double now = now();
      stopAt = now + timeLeft;
      for (InFlightRequest task : byId.values()) {
        if (!task.answered) {
          task.backstop = Math.min(task.backstop, stopAt);
          task.signal.signal();
        }
      }
      if (module == null) {
        health(false, true);
        return;
      }
      module.leaving(now, timeLeft);
      settle(now);
    } finally {
      lock.unlock();
    }
  }

  /** Waits until nothing is in hand, at most so long. */
  public boolean awaitDrained(double seconds) throws InterruptedException {
    lock.lock();
    try {
      long left = (long) (seconds * 1e9);
      while (!byId.isEmpty() && left > 0) {
        left = drained.awaitNanos(left);
      }
      return byId.isEmpty();
    } finally {
      lock.unlock();
    }
  }
}
