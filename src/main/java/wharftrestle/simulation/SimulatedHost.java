package wharftrestle.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.admission.AdmissionSettings;

/**
 * One simulated host: the real admission controller on cores that all executions share. After a
 * start the host is cold and slower. Past a number of executions that the controller does not know,
 * contention lowers its total throughput. {@link Defects} describes what a bad release does worse.
 * Not thread-safe.
 */
final class SimulatedHost implements Admission.Actions {

  /**
   * What a release does worse; all 0 for a good release.
   *
   * @param extraWork additional work of each request, as a part of its work
   * @param failureProbabilities part of requests that fail, by class
   * @param rejectProbability part of requests that are rejected before admission
   * @param crashAfterSeconds seconds after its start at which the daemon crashes; 0 for never
   * @param leakMbPerMinute memory leak
   * @param visibleAfterSeconds seconds after its start before the other defects take effect
   */
  record Defects(
      double extraWork,
      double[] failureProbabilities,
      double rejectProbability,
      double crashAfterSeconds,
      double leakMbPerMinute,
      double visibleAfterSeconds) {
    static Defects none(int classes) {
      return new Defects(0, new double[classes], 0, 0, 0, 0);
    }
  }

  /** Receives the reply to a request. */
  interface Client {
    void replied(double now, Outcome outcome, double retryAfter);
  }

  /** How a request ended. */
  enum Outcome {
    SERVED,
    LATE,
    REFUSED,
    FAILED
  }

  /** Counts of requests by class, of calls and of CPU seconds. */
  static final class Tally {
    final long[] received;
    final long[] served;
    final long[] late;
    final long[] refused;
    final long[] failed;
    long calls;
    long failedCalls;
    double cpu;

    Tally(int classes) {
      received = new long[classes];
      served = new long[classes];
      late = new long[classes];
      refused = new long[classes];
      failed = new long[classes];
    }
  }

  private enum Phase {
    QUEUED,
    RUNNING,
    CALLING,
    FINISHED
  }

  private static final class LiveRequest {
    private final Admission.Request request;
    private final Client client;
    private final double arrivedAt;
    private final boolean fails;
    private double work; // remaining, seconds of a standard core
    private double callAt; // remaining work at which it calls; negative for never
    private double dispatchedAt;
    private Phase phase = Phase.QUEUED;
    private boolean replied;

    LiveRequest(
        Admission.Request request,
        Client client,
        double arrivedAt,
        boolean fails,
        double work,
        double callAt) {
      this.request = request;
      this.client = client;
      this.arrivedAt = arrivedAt;
      this.fails = fails;
      this.work = work;
      this.callAt = callAt;
    }
  }

  /** Executions per core past which contention lowers the total throughput. */
  private static final double CONTENTION_THRESHOLD = 3;

  private static final double BUSY_GAUGE_SECONDS = 0.5; // time constant of the cpuBusy gauge
  private static final double BASE_MB = 50;
  private static final double MIN_STEP_SECONDS = 1e-9;

  final String name;
  final String zone;
  private final EventQueue eventQueue;
  private final AdmissionSettings settings;
  private final SimulatedStore store;
  private final double machineSpeed; // 1 for a standard core
  private final SplittableRandom random;
  private final Map<Long, LiveRequest> requests = new HashMap<>();
  private final List<LiveRequest> runningRequests = new ArrayList<>();
  private Tally tally;
  private AdmissionController controller;
  private Defects defects;
  private double startedAt;
  private double speedFactor = 1; // 1 unless a fault slows the machine
  private boolean alive;
  private boolean uncontrolled;
  private boolean healthy = true;
  private boolean defectsShown;
  private long lastId;
  private long planVersion; // invalidates scheduled steps that are out of date
  private double lastAdvancedAt;
  private double cpuBusy;
  private int generation;

  SimulatedHost(
      String name,
      String zone,
      EventQueue eventQueue,
      AdmissionSettings settings,
      SimulatedStore store,
      double machineSpeed,
      long seed) {
    this.name = name;
    this.zone = zone;
    this.eventQueue = eventQueue;
    this.settings = settings;
    this.store = store;
    this.machineSpeed = machineSpeed;
    random = new SplittableRandom(seed);
    tally = new Tally(settings.classes().size());
  }

  /** Starts a daemon; as in a handover, its predecessor completes what it executes. */
  void start(Defects releaseDefects, boolean warm) {
    double now = eventQueue.now();
    generation++;
    defects = releaseDefects;
    defectsShown = false;
    startedAt = warm ? eventQueue.now() - 10 * settings.warmUp().seconds() : eventQueue.now();
    alive = true;
    healthy = true;
    controller = new AdmissionController(eventQueue.now(), random.nextLong(), settings, this);
    // The predecessor completes what it executes; the new daemon queues what it had queued.
    requests.values().stream()
        .filter(entry -> entry.phase == Phase.QUEUED && !entry.replied)
        .map(entry -> entry.request)
        .sorted((a, b) -> Long.compare(a.id(), b.id()))
        .toList()
        .forEach(
            request ->
                controller.arrived(
                    now,
                    new Admission.Request(
                        request.id(),
                        false,
                        now - requests.get(request.id()).arrivedAt,
                        request.classIndex(),
                        0,
                        request.memoryKb(),
                        1,
                        request.costHintSeconds(),
                        null,
                        0,
                        0,
                        request.priority())));
    controller.batchCompleted(now);
    if (releaseDefects.crashAfterSeconds() > 0) {
      int startedGeneration = generation;
      eventQueue.schedule(
          now + releaseDefects.crashAfterSeconds(),
          later -> {
            if (generation == startedGeneration) {
              crash();
            }
          });
    }
  }

  /**
   * Crashes the daemon: requests in flight fail, and later ones are refused until the next start.
   */
  void crash() {
    generation++;
    alive = false;
    requests.values().forEach(each -> each.phase = Phase.FINISHED);
    List<LiveRequest> lost = new ArrayList<>(requests.values());
    requests.clear();
    runningRequests.clear();
    planVersion++;
    lost.stream()
        .filter(each -> !each.replied)
        .forEach(each -> each.client.replied(eventQueue.now(), Outcome.FAILED, 0));
  }

  boolean alive() {
    return alive;
  }

  boolean healthy() {
    return alive && healthy;
  }

  int generation() {
    return generation;
  }

  /** Multiplies the speed of the machine by this factor from now on; 1 for the normal speed. */
  void setSpeedFactor(double factor) {
    advance(eventQueue.now());
    speedFactor = factor;
    scheduleNextStep(eventQueue.now());
  }

  /** Executions on the cores. */
  int running() {
    return runningRequests.size();
  }

  /** If true, dispatches each arriving request at once, without admission control. */
  void setUncontrolled(boolean now) {
    uncontrolled = now;
  }

  /** Requests in flight, queued or executing. */
  int inFlight() {
    return requests.size();
  }

  Tally tally() {
    return tally;
  }

  double memoryMb(double now) {
    double age = now - startedAt;
    double visibleSeconds = Math.max(0, age - defects.visibleAfterSeconds());
    return BASE_MB * (1 - StrictMath.exp(-age / 20))
        + defects.leakMbPerMinute() * visibleSeconds / 60
        + random.nextDouble();
  }

  private boolean defectsVisible(double now) {
    return defectsShown || now - startedAt >= defects.visibleAfterSeconds();
  }

  /** Lets the defects take effect from now on. */
  void showDefects() {
    defectsShown = true;
  }

  // ---- Requests ----

  /** Delivers a request to the host. */
  void send(int type, double work, double callFraction, Client client) {
    double now = eventQueue.now();
    if (!alive) {
      client.replied(now, Outcome.REFUSED, 0);
      return;
    }
    tally.received[type]++;
    if (defectsVisible(now) && random.nextDouble() < defects.rejectProbability()) {
      tally.refused[type]++;
      client.replied(now, Outcome.REFUSED, 0);
      return;
    }
    boolean fails =
        defectsVisible(now) && random.nextDouble() < defects.failureProbabilities()[type];
    double totalWork = work * (1 + (defectsVisible(now) ? defects.extraWork() : 0));
    long id = ++lastId;
    Admission.Request request =
        new Admission.Request(id, false, 0, type, 0, 20, 1, work, null, 0, 0, random.nextDouble());
    requests.put(
        id,
        new LiveRequest(
            request,
            client,
            now,
            fails,
            totalWork,
            callFraction > 0 ? totalWork * (1 - callFraction) : -1));
    if (uncontrolled) {
      dispatch(id);
      return;
    }
    controller.arrived(now, request);
    controller.batchCompleted(now);
  }

  private void reply(LiveRequest request, Outcome outcome, double retryAfter) {
    if (request.replied) {
      return;
    }
    request.replied = true;
    int type = request.request.classIndex();
    switch (outcome) {
      case SERVED -> tally.served[type]++;
      case LATE -> {
        tally.served[type]++;
        tally.late[type]++;
      }
      case REFUSED -> tally.refused[type]++;
      default -> tally.failed[type]++;
    }
    request.client.replied(eventQueue.now(), outcome, retryAfter);
  }

  private void finish(LiveRequest request) {
    request.phase = Phase.FINISHED;
    requests.remove(request.request.id());
  }

  // ---- Cores ----

  private double workRate(double now) {
    int count = runningRequests.size();
    if (count == 0) {
      return 0;
    }
    double warmUpProgress = (now - startedAt) / settings.warmUp().seconds();
    double warmUpFactor =
        warmUpProgress >= 1
            ? 1
            : settings.warmUp().coldSpeedFraction()
                + (1 - settings.warmUp().coldSpeedFraction()) * Math.max(0, warmUpProgress);
    double contentionFactor =
        Math.min(1, CONTENTION_THRESHOLD * settings.capacity().cores() / count);
    return machineSpeed
        * speedFactor
        * warmUpFactor
        * contentionFactor
        * Math.min(1, (double) settings.capacity().cores() / count);
  }

  private void advance(double now) {
    double elapsed = now - lastAdvancedAt;
    if (elapsed > 0) {
      double done = elapsed * workRate(lastAdvancedAt);
      for (LiveRequest each : runningRequests) {
        each.work -= done;
      }
      double usedCores = Math.min(runningRequests.size(), settings.capacity().cores());
      tally.cpu += elapsed * usedCores;
      double decay = StrictMath.exp(-elapsed / BUSY_GAUGE_SECONDS);
      cpuBusy = cpuBusy * decay + usedCores / settings.capacity().cores() * (1 - decay);
    }
    lastAdvancedAt = now;
  }

  /** Schedules the next time at which an execution reaches its call or its end. */
  private void scheduleNextStep(double now) {
    long version = ++planVersion;
    double currentRate = workRate(now);
    if (currentRate <= 0) {
      return;
    }
    double nextWork = Double.POSITIVE_INFINITY;
    for (LiveRequest each : runningRequests) {
      nextWork = Math.min(nextWork, each.work - Math.max(0, each.callAt));
    }
    // While the host warms up its rate rises, so the step is recomputed at least every 0.05 s.
    double delay =
        Math.max(
            MIN_STEP_SECONDS,
            Math.min(
                nextWork / currentRate, now - startedAt < settings.warmUp().seconds() ? 0.05 : 1));
    eventQueue.schedule(
        now + delay,
        later -> {
          if (version == planVersion) {
            completeWork(later);
          }
        });
  }

  private void completeWork(double now) {
    advance(now);
    List<LiveRequest> reached = new ArrayList<>();
    for (LiveRequest each : runningRequests) {
      if (each.work - Math.max(0, each.callAt) <= 1e-9) {
        reached.add(each);
      }
    }
    runningRequests.removeAll(reached);
    for (LiveRequest each : reached) {
      if (each.callAt >= 0) {
        each.callAt = -1;
        each.phase = Phase.CALLING;
        controller.blockedOnCall(now, each.request.id());
      } else {
        boolean late =
            now - each.arrivedAt
                > settings.classes().get(each.request.classIndex()).latencyObjectiveSeconds();
        reply(each, each.fails ? Outcome.FAILED : late ? Outcome.LATE : Outcome.SERVED, 0);
        finish(each);
        if (uncontrolled) {
          continue;
        }
        controller.completed(
            now,
            each.request.id(),
            each.fails ? Admission.Outcome.FAILURE : Admission.Outcome.SUCCESS,
            now - each.dispatchedAt);
      }
    }
    if (!reached.isEmpty()) {
      controller.batchCompleted(now);
    }
    scheduleNextStep(now);
  }

  private void putOnCores(LiveRequest request) {
    double now = eventQueue.now();
    advance(now);
    request.phase = Phase.RUNNING;
    runningRequests.add(request);
    scheduleNextStep(now);
  }

  // ---- Actions of the admission controller ----

  @Override
  public void dispatch(long id) {
    LiveRequest request = requests.get(id);
    request.dispatchedAt = eventQueue.now();
    putOnCores(request);
  }

  @Override
  public void reject(long id, boolean nowhereElse, double retryAfter) {
    endRequest(id, Outcome.REFUSED, retryAfter);
  }

  @Override
  public void fail(long id) {
    endRequest(id, Outcome.FAILED, 0);
  }

  private void endRequest(long id, Outcome outcome, double retryAfter) {
    LiveRequest request = requests.get(id);
    if (request != null) {
      reply(request, outcome, retryAfter);
      if (request.phase == Phase.QUEUED) {
        finish(request);
      }
    }
  }

  @Override
  public void preempt(long id) {
    throw new IllegalStateException("simulated hosts cannot preempt");
  }

  @Override
  public void callDependency(long id, double deadline) {
    LiveRequest request = requests.get(id);
    double callStartedAt = eventQueue.now();
    tally.calls++;
    int startedGeneration = generation;
    store.call(
        callStartedAt,
        random,
        (now, good) -> {
          if (generation != startedGeneration || !requests.containsKey(id)) {
            return;
          }
          if (good) {
            putOnCores(request);
          } else {
            tally.failedCalls++;
          }
          controller.callCompleted(
              now,
              id,
              good ? Admission.Outcome.SUCCESS : Admission.Outcome.FAILURE,
              now - callStartedAt);
          controller.batchCompleted(now);
        },
        deadline);
  }

  @Override
  public void skipCall(long id) {
    putOnCores(requests.get(id));
  }

  @Override
  public void retainKey(long id, double time) {}

  @Override
  public void releaseKey(long id) {}

  @Override
  public void attach(long id) {
    throw new IllegalStateException("simulated clients send no duplicates");
  }

  @Override
  public void reportHealth(boolean good, boolean fromStore) {
    healthy = good;
  }

  @Override
  public void setIdleTimeout(double time) {}

  @Override
  public void setTimer(long label, double in) {
    int startedGeneration = generation;
    eventQueue.schedule(
        eventQueue.now() + in,
        now -> {
          if (generation == startedGeneration) {
            advance(now);
            controller.timerFired(now, label, new double[] {cpuBusy, runningRequests.size()});
            controller.batchCompleted(now);
          }
        });
  }

  @Override
  public void log(String line) {}
}
