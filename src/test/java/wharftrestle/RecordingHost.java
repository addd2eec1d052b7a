package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.admission.AdmissionSettings;

/**
 * A host that records the actions of an admission control and asserts that they are legal. It
 * simulates no executions: tests report the events. Its rules are in particular:
 *
 * <ul>
 *   <li>each request receives exactly one answer, at its deadline at the latest;
 *   <li>a request that is not idempotent is executed at most once, and one that was executed is not
 *       rejected;
 *   <li>the memory of requests and keys stays within the settings;
 *   <li>no request that arrives after the drain grace period is executed.
 * </ul>
 */
final class RecordingHost implements Admission.Actions {
  enum Phase {
    QUEUED,
    PAUSED,
    EXECUTING,
    BLOCKED,
    CALLING,
    ATTACHED,
    DONE
  }

  static final class RequestState {
    Admission.Request request;
    double arrivedAt;
    double deadline;
    Phase phase = Phase.QUEUED;
    boolean executed;
    boolean answered;
    boolean preemptionRequested;
    boolean callMayHaveExecuted;
    double startedAt;
    double keyRetainedUntil = Double.NEGATIVE_INFINITY;
    double callTimeoutAt;
    String answer = "";
  }

  private record ScheduledTimer(double at, long label) {}

  final AdmissionSettings settings;
  final AdmissionController control;
  final Map<Long, RequestState> requests = new LinkedHashMap<>();
  final List<String> log = new ArrayList<>();
  final PriorityQueue<ScheduledTimer> timers =
      new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
  final Map<String, Double> executedKeyArrivals = new LinkedHashMap<>();
  double now;
  double drainingSince = Double.POSITIVE_INFINITY;
  boolean healthy = true;
  double lastRetryAfter;
  boolean lastRejectedEverywhere;
  double idleTimeout;
  int idleTimeoutChanges;
  double callSeconds;
  double[] gauges = {1.0, 99};
  private long nextId = 1;

  RecordingHost(AdmissionSettings settings) {
    this(settings, 7);
  }

  RecordingHost(AdmissionSettings settings, long seed) {
    this.settings = settings;
    this.now = 100;
    this.control = new AdmissionController(now, seed, settings, this);
  }

  // ---- Events ----

  long arrive(int classIndex) {
    return arrive(request(classIndex).build());
  }

  RequestBuilder request(int classIndex) {
    return new RequestBuilder(nextId++, classIndex);
  }

  long arrive(Admission.Request r) {
    RequestState state = new RequestState();
    state.request = r;
    state.arrivedAt = now - r.queueingDelaySeconds();
    Admission.RequestClass requestClass = settings.classes().get(r.classIndex());
    state.deadline =
        Math.max(
            now,
            r.remainingDeadlineSeconds() > 0
                ? now + r.remainingDeadlineSeconds()
                : state.arrivedAt + requestClass.deadlineSeconds());
    requests.put(r.id(), state);
    control.arrived(now, r);
    return r.id();
  }

  long arrive(Admission.Request r, boolean completesBatch) {
    long id = arrive(r);
    if (completesBatch) {
      completeBatch();
    }
    return id;
  }

  void completeBatch() {
    control.batchCompleted(now);
    checkMemory();
  }

  long arriveInBatch(int classIndex) {
    long id = arrive(classIndex);
    completeBatch();
    return id;
  }

  /** Advances the clock, fires the timers that are due, and checks that no answer is overdue. */
  void advanceTime(double seconds) {
    double until = now + seconds;
    while (!timers.isEmpty() && timers.peek().at <= until) {
      ScheduledTimer timer = timers.poll();
      setClock(Math.max(now, timer.at));
      control.timerFired(now, timer.label, gauges);
      completeBatch();
      checkAnswers();
    }
    setClock(until);
    checkAnswers();
  }

  private void setClock(double to) {
    callSeconds +=
        (to - now)
            * requests.values().stream().filter(state -> state.phase == Phase.CALLING).count();
    now = to;
  }

  void complete(long id, Admission.Outcome outcome) {
    RequestState state = requests.get(id);
    if (!state.answered
        && (outcome == Admission.Outcome.SUCCESS || outcome == Admission.Outcome.FAILURE)) {
      setAnswer(state, outcome.name());
    }
    state.phase = Phase.DONE;
    control.completed(now, id, outcome, now - state.startedAt);
    completeBatch();
  }

  /**
   * Confirms a requested preemption. The execution ends if its request has been answered, and is
   * paused otherwise.
   */
  void confirmPreemption(long id) {
    RequestState state = requests.get(id);
    assertTrue(
        state.preemptionRequested && state.phase == Phase.EXECUTING,
        "no preemption requested for request " + id);
    state.preemptionRequested = false;
    state.phase = state.answered ? Phase.DONE : Phase.PAUSED;
    control.completed(now, id, Admission.Outcome.WITHDRAWN, now - state.startedAt);
    completeBatch();
  }

  void blockOnCall(long id) {
    requests.get(id).phase = Phase.BLOCKED;
    control.blockedOnCall(now, id);
    completeBatch();
  }

  void completeCall(long id, Admission.Outcome outcome) {
    RequestState state = requests.get(id);
    state.phase = outcome == Admission.Outcome.SUCCESS ? Phase.EXECUTING : Phase.BLOCKED;
    state.callMayHaveExecuted = outcome != Admission.Outcome.SUCCESS && !outcome.neverExecuted();
    control.callCompleted(now, id, outcome, 0.05);
    completeBatch();
  }

  void disconnectCaller(long id) {
    RequestState state = requests.get(id);
    state.answered = true;
    if (state.phase == Phase.QUEUED
        || state.phase == Phase.PAUSED
        || state.phase == Phase.ATTACHED) {
      state.phase = Phase.DONE;
    }
    control.callerGone(now, id);
    completeBatch();
  }

  void drain(double remainingSeconds) {
    drainingSince = now;
    control.draining(now, remainingSeconds);
    completeBatch();
  }

  // ---- State ----

  Phase phase(long id) {
    return requests.get(id).phase;
  }

  String answer(long id) {
    return requests.get(id).answer;
  }

  List<Long> withPhase(Phase phase) {
    return requests.values().stream()
        .filter(state -> state.phase == phase)
        .map(state -> state.request.id())
        .toList();
  }

  List<String> dispatches() {
    return log.stream().filter(l -> l.startsWith("dispatch ")).toList();
  }

  int rejectionCount() {
    return (int) log.stream().filter(l -> l.startsWith("reject ")).count();
  }

  List<String> preemptions() {
    return log.stream().filter(l -> l.startsWith("preempt ")).toList();
  }

  void checkMemory() {
    double used = 0;
    for (RequestState state : requests.values()) {
      used +=
          switch (state.phase) {
            case QUEUED, ATTACHED -> state.request.memoryKb();
            case PAUSED, EXECUTING, BLOCKED, CALLING ->
                state.request.memoryKb() * settings.capacity().executionMemoryFactor();
            case DONE -> 0;
          };
      used += state.keyRetainedUntil >= now ? settings.capacity().keyMemoryKb() : 0;
    }
    assertTrue(
        used <= settings.capacity().memoryKb(),
        "memory in use " + used + " KB, limit " + settings.capacity().memoryKb() + " KB");
  }

  void checkAnswers() {
    for (RequestState state : requests.values()) {
      assertTrue(
          state.answered || now <= state.deadline + settings.timing().answerSlackSeconds(),
          "request "
              + state.request.id()
              + " unanswered "
              + (now - state.deadline)
              + " s after its deadline");
    }
  }

  // ---- Actions, checked against the rules ----

  private RequestState find(long id) {
    RequestState state = requests.get(id);
    assertNotNull(state, "unknown request " + id);
    return state;
  }

  private void setAnswer(RequestState state, String answer) {
    assertFalse(state.answered, "second answer to request " + state.request.id());
    state.answered = true;
    state.answer = answer;
  }

  private boolean isNonIdempotent(RequestState state) {
    return settings.classes().get(state.request.classIndex()).idempotency()
        != Admission.Idempotency.IDEMPOTENT;
  }

  @Override
  public void dispatch(long id) {
    RequestState state = find(id);
    log.add("dispatch " + id);
    assertFalse(state.answered, "dispatched although answered: request " + id);
    if (state.phase == Phase.PAUSED) {
      state.phase = Phase.EXECUTING;
      state.startedAt = now;
      return;
    }
    assertEquals(Phase.QUEUED, state.phase, "dispatched although not queued: request " + id);
    assertFalse(state.executed && isNonIdempotent(state), "executed twice: request " + id);
    assertTrue(
        state.arrivedAt <= drainingSince + settings.timing().drainGraceSeconds(),
        "arrived after the drain grace period, but dispatched: request " + id);
    Admission.RequestClass requestClass = settings.classes().get(state.request.classIndex());
    if (requestClass.idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY) {
      assertTrue(
          state.keyRetainedUntil >= state.arrivedAt + requestClass.idempotencyWindowSeconds(),
          "dispatched although its key is not retained for the idempotency window: request " + id);
      Double executedArrival = executedKeyArrivals.get(state.request.resourceKey());
      assertTrue(
          executedArrival == null
              || state.arrivedAt > executedArrival + requestClass.idempotencyWindowSeconds(),
          "key executed twice within its window: " + state.request.resourceKey());
      executedKeyArrivals.put(state.request.resourceKey(), state.arrivedAt);
    }
    state.executed = true;
    state.phase = Phase.EXECUTING;
    state.startedAt = now;
  }

  @Override
  public void reject(long id, boolean everywhere, double retryAfterSeconds) {
    RequestState state = find(id);
    log.add("reject " + id);
    lastRetryAfter = retryAfterSeconds;
    lastRejectedEverywhere = everywhere;
    assertFalse(
        isNonIdempotent(state) && state.executed, "rejected after it was executed: request " + id);
    assertTrue(retryAfterSeconds <= settings.retries().maxRetryAfterSeconds());
    setAnswer(state, "rejected");
    if (state.phase == Phase.QUEUED
        || state.phase == Phase.PAUSED
        || state.phase == Phase.ATTACHED) {
      state.phase = Phase.DONE;
    }
  }

  @Override
  public void fail(long id) {
    RequestState state = find(id);
    log.add("fail " + id);
    setAnswer(state, "failed");
    if (state.phase == Phase.QUEUED
        || state.phase == Phase.PAUSED
        || state.phase == Phase.ATTACHED) {
      state.phase = Phase.DONE;
    }
  }

  @Override
  public void preempt(long id) {
    log.add("preempt " + id);
    assertTrue(settings.capacity().preemption() != Admission.Preemption.NONE);
    assertEquals(Phase.EXECUTING, find(id).phase);
    assertTrue(
        find(id).answered || settings.capacity().preemption() == Admission.Preemption.PAUSE,
        "dropped before it was answered: request " + id);
    find(id).preemptionRequested = true;
  }

  @Override
  public void callDependency(long id, double timeoutAt) {
    RequestState state = find(id);
    log.add("call " + id);
    assertEquals(Phase.BLOCKED, state.phase);
    assertFalse(
        state.callMayHaveExecuted && isNonIdempotent(state),
        "call retried although it may have been executed: request " + id);
    assertTrue(timeoutAt <= state.deadline, "the call times out after the deadline: request " + id);
    state.callTimeoutAt = timeoutAt;
    state.phase = Phase.CALLING;
  }

  @Override
  public void skipCall(long id) {
    log.add("skip " + id);
    assertTrue(settings.classes().get(find(id).request.classIndex()).weightWithoutCall() > 0);
    assertEquals(Phase.BLOCKED, find(id).phase);
    find(id).phase = Phase.EXECUTING;
  }

  @Override
  public void retainKey(long id, double seconds) {
    log.add("retain " + id);
    find(id).keyRetainedUntil = now + seconds;
  }

  @Override
  public void releaseKey(long id) {
    log.add("release " + id);
    find(id).keyRetainedUntil = Double.NEGATIVE_INFINITY;
  }

  @Override
  public void attach(long id) {
    RequestState state = find(id);
    log.add("attach " + id);
    assertTrue(
        state.request.duplicateOf() != 0,
        "attached although it duplicates no request: request " + id);
    assertEquals(Phase.QUEUED, state.phase);
    state.phase = Phase.ATTACHED;
    state.startedAt = now;
  }

  @Override
  public void reportHealth(boolean isHealthy, boolean cached) {
    log.add("health " + isHealthy);
    healthy = isHealthy;
  }

  @Override
  public void setIdleTimeout(double seconds) {
    assertTrue(seconds >= 0);
    idleTimeout = seconds;
    idleTimeoutChanges++;
  }

  @Override
  public void setTimer(long label, double delaySeconds) {
    assertTrue(delaySeconds > 0);
    timers.add(new ScheduledTimer(now + delaySeconds, label));
  }

  @Override
  public void log(String line) {
    log.add("log " + line);
  }

  /** Builds an arriving request. */
  static final class RequestBuilder {
    private final long id;
    private final int classIndex;
    private boolean retry;
    private double queueingDelay;
    private int tenant;
    private double memory = 10;
    private double costHint;
    private String resourceKey;
    private long duplicateOf;
    private double remainingDeadline;
    private int caller;

    RequestBuilder(long id, int classIndex) {
      this.id = id;
      this.classIndex = classIndex;
    }

    RequestBuilder retry() {
      retry = true;
      return this;
    }

    RequestBuilder queueingDelay(double value) {
      queueingDelay = value;
      return this;
    }

    RequestBuilder tenant(int value) {
      tenant = value;
      return this;
    }

    RequestBuilder memory(double value) {
      memory = value;
      return this;
    }

    RequestBuilder costHint(double value) {
      costHint = value;
      return this;
    }

    RequestBuilder resourceKey(String value) {
      resourceKey = value;
      return this;
    }

    RequestBuilder duplicateOf(long value) {
      duplicateOf = value;
      return this;
    }

    RequestBuilder caller(int value) {
      caller = value;
      return this;
    }

    RequestBuilder remainingDeadline(double value) {
      remainingDeadline = value;
      return this;
    }

    Admission.Request build() {
      return new Admission.Request(
          id,
          retry,
          queueingDelay,
          classIndex,
          tenant,
          memory,
          caller,
          costHint,
          resourceKey,
          duplicateOf,
          remainingDeadline,
          0);
    }
  }
}
