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
 * Records what the module asks for and enforces the four rules on it. It plays no server: tests say
 * what happens.
 */
final class RecordingHost implements Admission.Actions {
  enum Phase {
    HELD,
    PAUSED,
    RUNNING,
    AT_CALL,
    CALLING,
    ATTACHED,
    OVER
  }

  static final class Known {
    Admission.Request request;
    double arrived;
    double due;
    Phase phase = Phase.HELD;
    boolean ran;
    boolean answered;
    boolean stopAsked;
    boolean callMayHaveRun;
    double since;
    double keyUntil = Double.NEGATIVE_INFINITY;
    double notPast;
    String answer = "";
  }

  private record Due(double at, long label) {}

  final AdmissionSettings settings;
  final AdmissionController module;
  final Map<Long, Known> known = new LinkedHashMap<>();
  final List<String> log = new ArrayList<>();
  final PriorityQueue<Due> timers = new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
  final Map<String, Double> keyRanArrival = new LinkedHashMap<>();
  double now;
  double leftAt = Double.POSITIVE_INFINITY;
  boolean healthy = true;
  double lastAdvice;
  boolean lastNowhereElse;
  double idleLimit;
  int idleLimits;
  double callSeconds;
  double[] gauges = {1.0, 99};
  private long nextId = 1;

  RecordingHost(AdmissionSettings settings) {
    this(settings, 7);
  }

  RecordingHost(AdmissionSettings settings, long seed) {
    this.settings = settings;
    this.now = 100;
    this.module = new AdmissionController(now, seed, settings, this);
  }

  // ---- What happens ----

  long arrive(int type) {
    return arrive(request(type).build());
  }

  Requests request(int type) {
    return new Requests(nextId++, type);
  }

  long arrive(Admission.Request r) {
    Known k = new Known();
    k.request = r;
    k.arrived = now - r.queueingDelaySeconds();
    Admission.RequestClass type = settings.classes().get(r.classIndex());
    k.due =
        Math.max(
            now,
            r.remainingDeadlineSeconds() > 0
                ? now + r.remainingDeadlineSeconds()
                : k.arrived + type.deadlineSeconds());
    known.put(r.id(), k);
    module.arrived(now, r);
    return r.id();
  }

  long arrive(Admission.Request r, boolean settles) {
    long id = arrive(r);
    if (settles) {
      settle();
    }
    return id;
  }

  void settle() {
    module.batchCompleted(now);
    checkMemory();
  }

  long arriveAndSettle(int type) {
    long id = arrive(type);
    settle();
    return id;
  }

  /** Moves the clock, letting timers fire on the way, and checks that nothing owed is overdue. */
  void pass(double seconds) {
    double until = now + seconds;
    while (!timers.isEmpty() && timers.peek().at <= until) {
      Due due = timers.poll();
      advance(Math.max(now, due.at));
      module.timerFired(now, due.label, gauges);
      settle();
      checkAnswers();
    }
    advance(until);
    checkAnswers();
  }

  private void advance(double to) {
    callSeconds +=
        (to - now) * known.values().stream().filter(k -> k.phase == Phase.CALLING).count();
    now = to;
  }

  void end(long id, Admission.Outcome outcome) {
    Known k = known.get(id);
    if (!k.answered
        && (outcome == Admission.Outcome.SUCCESS || outcome == Admission.Outcome.FAILURE)) {
      answer(k, outcome.name());
    }
    k.phase = Phase.OVER;
    module.completed(now, id, outcome, now - k.since);
    settle();
  }

  /**
   * Confirms that running work stopped: it is paused where it may be, over where its answer was
   * given.
   */
  void stopped(long id) {
    Known k = known.get(id);
    assertTrue(k.stopAsked && k.phase == Phase.RUNNING, "nobody asked to stop " + id);
    k.stopAsked = false;
    k.phase = k.answered ? Phase.OVER : Phase.PAUSED;
    module.completed(now, id, Admission.Outcome.WITHDRAWN, now - k.since);
    settle();
  }

  void needCall(long id) {
    known.get(id).phase = Phase.AT_CALL;
    module.blockedOnCall(now, id);
    settle();
  }

  void endCall(long id, Admission.Outcome outcome) {
    Known k = known.get(id);
    k.phase = outcome == Admission.Outcome.SUCCESS ? Phase.RUNNING : Phase.AT_CALL;
    k.callMayHaveRun = outcome != Admission.Outcome.SUCCESS && !outcome.neverExecuted();
    module.callCompleted(now, id, outcome, 0.05);
    settle();
  }

  void gone(long id) {
    Known k = known.get(id);
    k.answered = true;
    if (k.phase == Phase.HELD || k.phase == Phase.PAUSED || k.phase == Phase.ATTACHED) {
      k.phase = Phase.OVER;
    }
    module.callerGone(now, id);
    settle();
  }

  void leave(double timeLeft) {
    leftAt = now;
    module.draining(now, timeLeft);
    settle();
  }

  // ---- What is seen ----

  Phase phase(long id) {
    return known.get(id).phase;
  }

  String answer(long id) {
    return known.get(id).answer;
  }

  List<Long> in(Phase phase) {
    return known.values().stream().filter(k -> k.phase == phase).map(k -> k.request.id()).toList();
  }

  List<String> startsLogged() {
    return log.stream().filter(l -> l.startsWith("start ")).toList();
  }

  int refusals() {
    return (int) log.stream().filter(l -> l.startsWith("refuse ")).count();
  }

  List<String> stops() {
    return log.stream().filter(l -> l.startsWith("stop ")).toList();
  }

  void checkMemory() {
    double used = 0;
    for (Known k : known.values()) {
      used +=
          switch (k.phase) {
            case HELD, ATTACHED -> k.request.memoryKb();
            case PAUSED, RUNNING, AT_CALL, CALLING ->
                k.request.memoryKb() * settings.capacity().executionMemoryFactor();
            case OVER -> 0;
          };
      used += k.keyUntil >= now ? settings.capacity().keyMemoryKb() : 0;
    }
    assertTrue(
        used <= settings.capacity().memoryKb(),
        "memory " + used + " over " + settings.capacity().memoryKb());
  }

  void checkAnswers() {
    for (Known k : known.values()) {
      assertTrue(
          k.answered || now <= k.due + settings.timing().answerSlackSeconds(),
          "request " + k.request.id() + " unanswered " + (now - k.due) + " s after it was due");
    }
  }

  // ---- What the module asks for, held against the rules ----

  private Known own(long id) {
    Known k = known.get(id);
    assertNotNull(k, "unknown request " + id);
    return k;
  }

  private void answer(Known k, String what) {
    assertFalse(k.answered, "second answer to " + k.request.id());
    k.answered = true;
    k.answer = what;
  }

  private boolean effectful(Known k) {
    return settings.classes().get(k.request.classIndex()).idempotency()
        != Admission.Idempotency.IDEMPOTENT;
  }

  @Override
  public void dispatch(long id) {
    Known k = own(id);
    log.add("start " + id);
    assertFalse(k.answered, "started though answered: " + id);
    if (k.phase == Phase.PAUSED) {
      k.phase = Phase.RUNNING;
      k.since = now;
      return;
    }
    assertEquals(Phase.HELD, k.phase, "started though not held: " + id);
    assertFalse(k.ran && effectful(k), "ran twice: " + id);
    assertTrue(
        k.arrived <= leftAt + settings.timing().drainGraceSeconds(),
        "started after the grace: " + id);
    Admission.RequestClass type = settings.classes().get(k.request.classIndex());
    if (type.idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY) {
      assertTrue(
          k.keyUntil >= k.arrived + type.idempotencyWindowSeconds(),
          "keyed request started without a lasting entry");
      Double ran = keyRanArrival.get(k.request.resourceKey());
      assertTrue(
          ran == null || k.arrived > ran + type.idempotencyWindowSeconds(),
          "key ran twice: " + k.request.resourceKey());
      keyRanArrival.put(k.request.resourceKey(), k.arrived);
    }
    k.ran = true;
    k.phase = Phase.RUNNING;
    k.since = now;
  }

  @Override
  public void reject(long id, boolean nowhereElse, double retryAfter) {
    Known k = own(id);
    log.add("refuse " + id);
    lastAdvice = retryAfter;
    lastNowhereElse = nowhereElse;
    assertFalse(effectful(k) && k.ran, "turned away after it ran: " + id);
    assertTrue(retryAfter <= settings.retries().maxRetryAfterSeconds());
    answer(k, "refused");
    if (k.phase == Phase.HELD || k.phase == Phase.PAUSED || k.phase == Phase.ATTACHED) {
      k.phase = Phase.OVER;
    }
  }

  @Override
  public void fail(long id) {
    Known k = own(id);
    log.add("fail " + id);
    answer(k, "failed");
    if (k.phase == Phase.HELD || k.phase == Phase.PAUSED || k.phase == Phase.ATTACHED) {
      k.phase = Phase.OVER;
    }
  }

  @Override
  public void preempt(long id) {
    log.add("stop " + id);
    assertTrue(settings.capacity().preemption() != Admission.Preemption.NONE);
    assertEquals(Phase.RUNNING, own(id).phase);
    assertTrue(
        own(id).answered || settings.capacity().preemption() == Admission.Preemption.PAUSE,
        "stopped while an answer is owed: " + id);
    own(id).stopAsked = true;
  }

  @Override
  public void callDependency(long id, double notPast) {
    Known k = own(id);
    log.add("call " + id);
    assertEquals(Phase.AT_CALL, k.phase);
    assertFalse(k.callMayHaveRun && effectful(k), "call repeated though it may have run: " + id);
    assertTrue(notPast <= k.due, "call given up only after the answer is due");
    k.notPast = notPast;
    k.phase = Phase.CALLING;
  }

  @Override
  public void skipCall(long id) {
    log.add("skip " + id);
    assertTrue(settings.classes().get(own(id).request.classIndex()).weightWithoutCall() > 0);
    assertEquals(Phase.AT_CALL, own(id).phase);
    own(id).phase = Phase.RUNNING;
  }

  @Override
  public void retainKey(long id, double time) {
    log.add("keep " + id);
    own(id).keyUntil = now + time;
  }

  @Override
  public void releaseKey(long id) {
    log.add("release " + id);
    own(id).keyUntil = Double.NEGATIVE_INFINITY;
  }

  @Override
  public void attach(long id) {
    Known k = own(id);
    log.add("attach " + id);
    assertTrue(k.request.duplicateOf() != 0, "attached without a request to attach to");
    assertEquals(Phase.HELD, k.phase);
    k.phase = Phase.ATTACHED;
    k.since = now;
  }

  @Override
  public void reportHealth(boolean good, boolean fromStore) {
    log.add("health " + good);
    healthy = good;
  }

  @Override
  public void setIdleTimeout(double time) {
    assertTrue(time >= 0);
    idleLimit = time;
    idleLimits++;
  }

  @Override
  public void setTimer(long label, double in) {
    assertTrue(in > 0);
    timers.add(new Due(now + in, label));
  }

  @Override
  public void log(String line) {
    log.add("log " + line);
  }

  /** Builds one request. */
  static final class Requests {
    private final long id;
    private final int type;
    private boolean further;
    private double lay;
    private int tenant;
    private double memory = 10;
    private double cost;
    private String subject;
    private long repeatOf;
    private double patience;
    private int caller;

    Requests(long id, int type) {
      this.id = id;
      this.type = type;
    }

    Requests further() {
      further = true;
      return this;
    }

    Requests lay(double value) {
      lay = value;
      return this;
    }

    Requests tenant(int value) {
      tenant = value;
      return this;
    }

    Requests memory(double value) {
      memory = value;
      return this;
    }

    Requests cost(double value) {
      cost = value;
      return this;
    }

    Requests subject(String value) {
      subject = value;
      return this;
    }

    Requests repeatOf(long value) {
      repeatOf = value;
      return this;
    }

    Requests caller(int value) {
      caller = value;
      return this;
    }

    Requests patience(double value) {
      patience = value;
      return this;
    }

    Admission.Request build() {
      return new Admission.Request(
          id, further, lay, type, tenant, memory, caller, cost, subject, repeatOf, patience, 0);
    }
  }
}
