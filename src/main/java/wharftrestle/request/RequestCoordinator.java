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
import wharftrestle.admission.AdmissionSettings;
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
  private final AdmissionSettings settings;
  private final long seed;
  private final AdmissionFactory factory;
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
  private WorkerPool pool;
  private DependencyClient store;
  private volatile long indexBytes;
  private HealthListener watcher = good -> {};
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
      AdmissionSettings settings,
      long seed,
      int mostInHand,
      KeyMemoryBudget room,
      AdmissionFactory factory,
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
  public void start(WorkerPool workers, DependencyClient calls, HealthListener told) {
    pool = workers;
    store = calls;
    watcher = told;
    PlatformThreads.restartingThread("timer", this::runTimers).start();
  }

  /**
   * From now on no keyed run begins before its intent is kept, and none is answered before its
   * result is.
   */
  public void useResultStore(ResultStore kept) {
    lock.lock();
    try {
      recorder.record(kept);
    } finally {
      lock.unlock();
    }
  }

  /** What a dead process of this box left, or the one that handed over. */
  public void restore(ResultStore.RecoveredKeys left) {
    lock.lock();
    try {
      boolean all = true;
      double latest = left.unknownKeysFailUntilSeconds();
      for (ResultStore.RecoveredKey key : left.keys()) {
        all &=
            keys.recover(
                key.key(),
                key.position(),
                key.lastAttemptAtMillis(),
                key.bodyChecksum(),
                key.expiresAtSeconds());
        latest = Math.max(latest, key.expiresAtSeconds());
      }
      if (!all || left.unknownKeysFailUntilSeconds() > now()) {
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
  public Map<ResultMetric, Long> resultMetrics() {
    return recorder.figures(indexBytes);
  }

  /** What the other process of this box says and is told. */
  public PeerCoordinator peer() {
    return partner;
  }

  public AdmissionSettings settings() {
    return settings;
  }

  /** True once the worker pool is up, and with it the module. */
  public boolean isReady() {
    return up.getCount() == 0;
  }

  public void awaitReady() throws InterruptedException {
    up.await();
  }

  /** What checks and reports are told: the module's health, with the lame duck over it. */
  public boolean isHealthy() {
    return (healthy || ceded) && !lameDuck;
  }

  /**
   * Another process takes the clients of this box: the end of this one is no illness, and no check
   * says so.
   */
  public void setRelinquished(boolean now) {
    ceded = now;
  }

  /** So many requests in hand at most from now on. */
  public void setMaxInFlight(int inHand) {
    most = inHand;
  }

  public boolean isDraining() {
    return lameDuck;
  }

  /**
   * Sends callers away, or takes them again. The module is not told: whatever still arrives is
   * served as usual, and nothing of this is a stop.
   */
  public void setDraining(boolean on) {
    lock.lock();
    try {
      lameDuck = on;
      watcher.onHealthChanged(isHealthy());
    } finally {
      lock.unlock();
    }
  }

  /** Seconds an idle connection may stay; 0 for as long as its peer likes. */
  public double idleTimeoutSeconds() {
    return idleLimit;
  }

  // ---- The life of one request ----

  /** Takes a request in; its life goes on on a thread of its own. */
  public Acceptance accept(IncomingRequest arrival, AnswerListener caller) {
    counters.requestReceived();
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
      return Acceptance.Answered.ANSWERED;
    }
    try {
      threads.execute(() -> guarded(task));
    } catch (RejectedExecutionException | OutOfMemoryError full) {
      // Guards against a request that no thread can be had for any more: it is owed its answer all
      // the same.
      forceAnswer(task);
      guarded(task);
      return Acceptance.Answered.ANSWERED;
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
      counters.add(Count.GUARD_REJECTIONS);
      task.arrived = true;
      answer(task, Answer.failed());
      if (task.spawned) {
        task.steps.removeIf(step -> step.kind() != InFlightRequest.Kind.ANSWER); // no run was begun
        tellRunOver(task, Outcome.VOID, 0, null);
      } else if (byId.containsKey(task.id)) {
        module.callerGone(now(), task.id);
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
      Logger.error(fault, "request {}", task.arrival.reference());
      boolean owed;
      lock.lock();
      try {
        if (!task.answered) {
          counters.answered(task.arrival.classIndex(), Result.FAILED);
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
        task.caller.onAnswer(Answer.failed());
      }
    }
  }

  /** One request from its arrival to its last word. */
  private void live(InFlightRequest task) {
    IncomingRequest arrival = task.arrival;
    if (!task.arrived) {
      partner.ask(task);
      arrive(task);
    }
    for (InFlightRequest.Step step = next(task); step != null; step = next(task)) {
      switch (step.kind()) {
        case INTEND -> intend(task);
        case SPAWN -> {
          counters.add(Count.EXECUTIONS);
          partner.tellBeforeRun(task);
          pool.dispatch(
              arrival.reference(),
              settings.classes().get(arrival.classIndex()).name(),
              arrival.body());
        }
        case CALL -> {
          counters.add(Count.DEPENDENCY_CALLS);
          beginCall(task, step);
        }
        case SUPPLY -> pool.deliverResponse(arrival.reference(), step.bytes());
        case PASS -> pool.skipCall(arrival.reference(), (long) step.until());
        case SUSPEND -> pool.suspend(arrival.reference());
        case ABANDON -> abandonCall(task);
        case REPLAY -> replay(task);
        case ANSWER -> task.caller.onAnswer(step.answer());
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
        counters.add(Count.GUARD_REJECTIONS);
        answer(
            task,
            ran
                ? Answer.failed()
                : Answer.rejected(settings.retries().maxRetryAfterSeconds(), false));
        return;
      }
      if (module == null
          && known != null
          && known.state() == KeyState.SUCCEEDED
          && known.covers(task.arrival.receivedAtMillis())
          && known.body().matches(task.arrival.body())) {
        // What a dead process answered needs no worker pool to be given again.
        task.backstop = due(task.arrival, now());
        endAttached(task, known);
        return;
      }
      if (module == null || byRef.containsKey(task.arrival.reference())) {
        // Before the worker pool is up nothing can run; a reference in use would be taken for its
        // run. Guards
        // against refusing what a dead process ran.
        counters.add(Count.GUARD_REJECTIONS);
        answer(
            task,
            module == null && !ran
                ? Answer.rejected(settings.retries().maxRetryAfterSeconds(), false)
                : Answer.failed());
        return;
      }
      double now = now();
      IncomingRequest a = task.arrival;
      double lay = lay(a);
      task.backstop = due(a, now);
      byId.put(task.id, task);
      byRef.put(a.reference(), task);
      sweepKeys(now);
      KeyEntry<InFlightRequest> prior =
          task.key == null ? null : keys.findDuplicate(task.key, a.receivedAtMillis());
      boolean repeat = prior != null;
      if (task.key != null && !repeat && partner.unasked(task)) {
        // Guards against a second run of a key, or its refusal after one: the process that owns it
        // is silent.
        answer(task, Answer.deadlineExceeded());
        return;
      }
      if (repeat && !prior.body().matches(a.body())) {
        // Guards against a result for what was never asked: a known key with another body is no
        // try.
        counters.add(Count.INVALID);
        answer(task, Answer.conflict());
        return;
      }
      ResultStore.RejectionReason why = task.key == null || repeat ? null : recorder.refusal();
      if (why != null) {
        // Guards against holding what could not be recorded when its turn comes.
        counters.add(Count.GUARD_REJECTIONS);
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
              a.isRetry(),
              lay,
              a.classIndex(),
              a.tenantIndex(),
              a.memoryKb(),
              a.callerId(),
              a.expectedWorkSeconds(),
              a.subject(),
              !repeat ? 0 : prior.attempt() == null ? ELSEWHERE : prior.attempt().id,
              0,
              a.rank()));
      settle(now);
    } finally {
      lock.unlock();
    }
  }

  private static double lay(IncomingRequest a) {
    return Math.max(0, (SteadyWallClock.steadyWallMillis() - a.receivedAtMillis()) / 1000.0);
  }

  double due(IncomingRequest a, double now) {
    return Math.min(
        now - lay(a) + settings.classes().get(a.classIndex()).deadlineSeconds() + BACKSTOP, stopAt);
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
            recorder.neverBegun(task, ResultStore.RejectionReason.DISK_STALLED);
            continue;
          }
        }
        if (wait <= 0 && task.answered) {
          Logger.warn("no word of run {}, given up", task.arrival.reference());
          tellRunOver(task, Outcome.BROKEN, now() - task.since, null);
        } else if (wait <= 0) {
          // Guards against a late answer should the module or its timer be held up.
          counters.add(Count.DEADLINE_BACKSTOPS);
          answer(task, Answer.deadlineExceeded());
          if (byId.containsKey(task.id)) {
            module.callerGone(now(), task.id);
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
    counters.add(Count.GUARD_REJECTIONS);
    counters.add(Count.KEY_MEMORY_FULL);
    return Answer.rejected(
        Math.min(
            settings.retries().maxRetryAfterSeconds(),
            Math.max(LEAST_AGAIN, keys.secondsUntilCapacity(now))),
        false);
  }

  private void forget(InFlightRequest task) {
    if (task.promised) {
      task.promised = false;
      keys.releaseMemory();
    }
    byId.remove(task.id);
    byRef.remove(task.arrival.reference(), task);
    partner.forgotten(task, byId.values());
    if (byId.isEmpty()) {
      drained.signalAll();
    }
  }

  /** The caller of a request waits no longer. */
  public void callerGone(Acceptance accepted) {
    if (!(accepted instanceof InFlightRequest task)) {
      return;
    }
    lock.lock();
    try {
      if (task.answered) {
        return;
      }
      counters.callerGone();
      markAnswered(task);
      if (task.entry != null) {
        keys.detach(task.entry, task);
      }
      if (byId.containsKey(task.id)) {
        module.callerGone(now(), task.id);
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
            case SERVED -> Result.SERVED;
            case REJECTED -> Result.REJECTED;
            case FAILED, DEADLINE_EXCEEDED, CONFLICT -> Result.FAILED;
          });
      Admission.RequestClass type = settings.classes().get(task.arrival.classIndex());
      double aim =
          type.latencyObjectiveSeconds()
              + type.latencyObjectiveStretch() * task.arrival.expectedWorkSeconds();
      if (answer.kind() == Answer.Kind.SERVED && lay(task.arrival) > aim) {
        counters.servedAfterObjective(task.arrival.classIndex());
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
    module.batchCompleted(now);
    for (Runnable event = pending.poll(); event != null; event = pending.poll()) {
      event.run();
      module.batchCompleted(now());
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
            module.timerFired(now, first.label(), seen);
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
    if (!pool.pollGauges()) {
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
  public void workerPoolStarted(boolean cold, double ago) {
    lock.lock();
    try {
      if (module == null && stopAt == Double.POSITIVE_INFINITY) {
        module = factory.create(now() - ago, seed, settings.withColdStart(cold), this);
        settle(now());
        up.countDown();
      }
    } finally {
      lock.unlock();
    }
  }

  /** The worker pool has started anew: what ran there is over, and may have had its effect. */
  public void workerPoolRestarted() {
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

  public void gaugesReceived(double[] values) {
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
  public void executionCompleted(String ref, Outcome outcome, double elapsed, byte[] result) {
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
      counters.add(
          outcome == Outcome.SUCCESS ? Count.EXECUTIONS_SUCCEEDED : Count.EXECUTIONS_UNSUCCESSFUL);
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
    module.completed(now, task.id, outcome, elapsed);
    settleSoon(now);
  }

  /** A run waits for a call. */
  public void executionBlocked(String ref, long notice, byte[] body) {
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
      module.blockedOnCall(now, task.id);
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
        settings.classes().get(task.arrival.classIndex()).idempotency()
            == Admission.Idempotency.IDEMPOTENT;
    DependencyCall call =
        store.call(
            task.arrival.reference(),
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
    DependencyCall call;
    lock.lock();
    try {
      call = task.call;
      task.call = null;
    } finally {
      lock.unlock();
    }
    if (call != null) {
      call.cancel();
    }
  }

  private void callEnded(InFlightRequest task, int number, Outcome outcome, byte[] reply) {
    counters.add(
        outcome == Outcome.SUCCESS
            ? Count.DEPENDENCY_CALLS_SUCCEEDED
            : Count.DEPENDENCY_CALLS_UNSUCCESSFUL);
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
      module.callCompleted(now, task.id, outcome, now - task.callSince);
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
      module.completed(
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
    counters.updateKeyUsage(
        new Counters.KeyUsage(
            keys.size(),
            recorder.mostKeys(),
            keys.indexBytes() + keys.resultBytes(),
            room.bytes()));
  }

  /** Seconds; for a class that only the other process of the box knows, the longest of all. */
  double window(int classIndex) {
    return classIndex < settings.classes().size()
        ? settings.classes().get(classIndex).idempotencyWindowSeconds()
        : settings.classes().stream()
            .mapToDouble(Admission.RequestClass::idempotencyWindowSeconds)
            .max()
            .orElse(0);
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
      module.quotaChanged(now(), part);
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
  public void dispatch(long id) {
    InFlightRequest task = byId.get(id);
    if (task == null || task.spawned) {
      return;
    }
    IncomingRequest a = task.arrival;
    task.since = now();
    if (task.key != null) {
      KeyEntry<InFlightRequest> known = keys.find(task.key);
      if (!(known != null && known.mayHaveRun() && known.covers(a.receivedAtMillis()))
          && !promise(task)) {
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
          keys.start(task.key, a.body(), a.receivedAtMillis(), window(a.classIndex()), now(), task);
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
  public void reject(long id, boolean nowhereElse, double retryAfter) {
    InFlightRequest task = byId.get(id);
    if (task != null) {
      // Guards against a refusal after the run of a key: that answer would promise that none ran.
      boolean ran = task.entry != null && task.entry.mayHaveRun();
      answer(task, ran ? Answer.failed() : Answer.rejected(retryAfter, nowhereElse));
    }
  }

  @Override
  public void fail(long id) {
    InFlightRequest task = byId.get(id);
    if (task != null) {
      answer(task, task.callFailed ? Answer.failed() : Answer.deadlineExceeded());
      if (task.attached && task.entry != null) {
        keys.detach(task.entry, task);
      }
    }
  }

  @Override
  public void preempt(long id) {
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
  public void callDependency(long id, double notPast) {
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
  public void retainKey(long id, double time) {
    InFlightRequest task = byId.get(id);
    if (task == null || task.key == null) {
      return;
    }
    KeyEntry<InFlightRequest> entry =
        keys.enqueue(task.key, task.arrival.body(), task.arrival.receivedAtMillis(), task);
    if (entry != null) {
      task.entry = entry;
    }
  }

  @Override
  public void releaseKey(long id) {
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
  public void reportHealth(boolean good, boolean fromStore) {
    healthy = good;
    watcher.onHealthChanged(isHealthy());
  }

  @Override
  public void setIdleTimeout(double time) {
    idleLimit = time;
  }

  @Override
  public void setTimer(long label, double in) {
    wakes.add(new Wake(now() + in, label));
    timers.signal();
  }

  @Override
  public void log(String line) {
    Logger.info("module: {}", line);
  }

  // ---- Leaving ----

  /** The notice to leave: all in hand is answered within this many seconds. */
  public void beginShutdown(double timeLeft) {
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
        reportHealth(false, true);
        return;
      }
      module.draining(now, timeLeft);
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
