package wharftrestle.admission;

import java.util.List;
import java.util.Random;

/**
 * The admission control of one service instance: decides which requests are dispatched, queued,
 * rejected or failed. Routes each event to the classes that decide on it, in a fixed order;
 * decisions are made only within these events. Not thread-safe: the host serializes the events.
 */
public final class AdmissionController implements Admission.Events {
  /**
   * Seconds at the end of the drain grace period: a request that reached the host in them is not
   * executed.
   */
  public static final double DRAIN_MARGIN_SECONDS = Drain.MARGIN_SECONDS;

  private final AdmissionSettings settings;
  private final Admission.Actions actions;
  private final MemoryBudget memory;
  private final RequestTable requests;
  private final DependencyCallBudget callBudget;
  private final RunTimeEstimator estimator;
  private final Drain drain;
  private final Deadlines deadlines;
  private final TenantQuota tenantQuota;
  private final ArrivalStatistics arrivals = new ArrivalStatistics();
  private final IdleConnectionControl idleConnections;
  private final StallDetector stalls = new StallDetector();
  private final OutlierDetector outliers;
  private final DuplicateTracker duplicates;
  private final FinalAnswers answers;
  private final ConcurrencyLimit limit;
  private final DependencyCalls calls;
  private final DeadlineEnforcer deadlineEnforcer;
  private final GroupEdfScheduler scheduler;
  private final MemoryShedder memoryShedder;
  private final LoadShedder loadShedder;
  private final Dispatcher dispatcher;
  private final ObligationTimer timer;

  /**
   * Creates an instance that is healthy and has no requests, and reports its health.
   *
   * @param now time of the host's monotonic clock
   * @param seed seed of the random numbers; equal seeds and events give equal decisions
   * @param settings the settings of the instance
   * @param actions the host; called from the constructor on
   */
  public AdmissionController(
      double now, long seed, AdmissionSettings settings, Admission.Actions actions) {
    this.settings = settings;
    this.actions = actions;
    Random random = new Random(seed);
    RunTimeInflation inflation = new RunTimeInflation();
    memory = new MemoryBudget(settings.capacity());
    requests = new RequestTable(settings.capacity().cores(), memory);
    callBudget = new DependencyCallBudget(now, settings.calls());
    estimator = new RunTimeEstimator(settings, callBudget, inflation);
    drain = new Drain(settings.timing().drainGraceSeconds());
    deadlines = new Deadlines(settings, estimator, drain);
    tenantQuota = new TenantQuota(settings);
    idleConnections = new IdleConnectionControl(actions, arrivals);
    outliers = new OutlierDetector(now, settings, actions, random, estimator, inflation, arrivals);
    duplicates = new DuplicateTracker(settings, actions, requests, memory);
    RetryAdvice advice =
        new RetryAdvice(settings.retries(), estimator, inflation, arrivals, outliers);
    answers = new FinalAnswers(actions, requests, duplicates, advice, arrivals);
    RequestValue value = new RequestValue(settings, estimator, tenantQuota);
    limit = new ConcurrencyLimit(now, settings, inflation);
    double tick = settings.timing().tickSeconds();
    CallTimeLimit timeLimit = new CallTimeLimit(tick, estimator, value, callBudget, stalls);
    CallCongestion congestion = new CallCongestion(requests, estimator, callBudget);
    calls =
        new DependencyCalls(actions, random, requests, callBudget, timeLimit, congestion, answers);
    deadlineEnforcer = new DeadlineEnforcer(settings, actions, requests, answers);
    scheduler = new GroupEdfScheduler(estimator);
    memoryShedder = new MemoryShedder(requests, value, memory, answers);
    WorkAhead ahead = new WorkAhead(requests, estimator, limit, callBudget, stalls, outliers);
    loadShedder = new LoadShedder(requests, estimator, value, ahead, outliers, advice, answers);
    dispatcher = new Dispatcher(actions, requests, limit, memory, congestion, outliers);
    Obligations obligations = new Obligations(requests, deadlineEnforcer, limit, calls, outliers);
    timer = new ObligationTimer(tick, actions, obligations, stalls);
    actions.reportHealth(true, true);
  }

  @Override
  public void arrived(double now, Admission.Request request) {
    TrackedRequest arrived =
        new TrackedRequest(
            request,
            settings.classes().get(request.classIndex()),
            estimator.classEstimate(request.classIndex()),
            now - request.queueingDelaySeconds());
    deadlines.assign(now, arrived);
    requests.add(arrived);
    tenantQuota.recordArrival(now, request);
    arrivals.recordArrival(request);
    idleConnections.recordArrival(now, request);
    if (!duplicates.register(now, arrived)) {
      answers.rejectAndEnd(now, arrived);
    }
    if (drain.forbidsExecution(arrived) && arrived.state == TrackedRequest.State.QUEUED) {
      answers.rejectAndEnd(now, arrived);
    }
  }

  @Override
  public void completed(double now, long id, Admission.Outcome outcome, double elapsedSeconds) {
    TrackedRequest request = requests.find(id);
    if (request == null) {
      return;
    }
    if (request.state == TrackedRequest.State.EXECUTING) {
      executionCompleted(now, request, outcome, elapsedSeconds);
    }
    calls.requestCompleted(now, request);
    answers.end(request);
  }

  private void executionCompleted(
      double now, TrackedRequest request, Admission.Outcome outcome, double elapsedSeconds) {
    if (outcome == Admission.Outcome.SUCCESS) {
      estimator.recordSuccess(request, elapsedSeconds, stalls.stallSeconds(), requests.onCores());
    }
    boolean ranToEnd = outcome == Admission.Outcome.SUCCESS || outcome == Admission.Outcome.FAILURE;
    if (ranToEnd && !request.preempting) {
      outliers.recordCompletion(now, outcome == Admission.Outcome.FAILURE);
    }
  }

  @Override
  public void blockedOnCall(double now, long id) {
    TrackedRequest request = requests.find(id);
    if (request != null && request.state == TrackedRequest.State.EXECUTING) {
      calls.blocked(now, request);
    }
  }

  @Override
  public void callCompleted(double now, long id, Admission.Outcome outcome, double elapsedSeconds) {
    TrackedRequest request = requests.find(id);
    if (request != null && request.state == TrackedRequest.State.CALLING) {
      calls.completed(now, request, outcome, elapsedSeconds);
    }
  }

  @Override
  public void callerGone(double now, long id) {
    TrackedRequest request = requests.find(id);
    if (request == null) {
      return;
    }
    request.answered = true;
    if (!request.isStarted()) {
      answers.end(request);
    }
  }

  @Override
  public void draining(double now, double remainingSeconds) {
    drain.begin(now, remainingSeconds);
    actions.reportHealth(false, true);
    // The text is fixed: the simulator receives this line, and recorded decisions contain it.
    actions.log(
        "leaving in "
            + remainingSeconds
            + " s with "
            + requests.queued().size()
            + " held, "
            + requests.onCores()
            + " running");
    for (TrackedRequest request : requests.all()) {
      deadlines.shortenToStop(request);
    }
  }

  @Override
  public void quotaChanged(double now, double fraction) {
    callBudget.setQuotaFraction(now, fraction);
    memory.setQuotaFraction(fraction);
  }

  @Override
  public void timerFired(double now, long label, double[] gauges) {
    timer.fired(now);
    limit.update(now, gauges, requests.queued().isEmpty(), requests.onCores());
  }

  @Override
  public void batchCompleted(double now) {
    boolean isDraining = drain.isDraining(now);
    duplicates.expireKeys(now);
    deadlineEnforcer.enforce(now);
    memoryShedder.shed(now);
    List<TrackedRequest> order = scheduler.order(now, requests.queued());
    loadShedder.shed(now, order);
    outliers.evaluate(now, isDraining);
    dispatcher.dispatch(now, order);
    calls.makeCalls(now);
    timer.set(now, isDraining);
  }
}
