package wharftrestle.admission;

import java.util.List;

/**
 * Sums up the work that comes before a queued request: executions in flight, and what stands before
 * it in the queue. {@link LoadShedder} walks the queue with it.
 */
final class WorkAhead {
  private final RequestTable requests;
  private final RunTimeEstimator estimator;
  private final ConcurrencyLimit limit;
  private final DependencyCallBudget callBudget;
  private final StallDetector stalls;
  private final OutlierDetector outliers;

  /** Own run time over all cores. */
  private double seconds;

  private double calls;

  WorkAhead(
      RequestTable requests,
      RunTimeEstimator estimator,
      ConcurrencyLimit limit,
      DependencyCallBudget callBudget,
      StallDetector stalls,
      OutlierDetector outliers) {
    this.requests = requests;
    this.estimator = estimator;
    this.limit = limit;
    this.callBudget = callBudget;
    this.stalls = stalls;
    this.outliers = outliers;
  }

  /** Starts with the executions in flight, and compares them with their estimates. */
  void begin(double now) {
    seconds = 0;
    calls = 0;
    outliers.clearOverrun();
    for (TrackedRequest request : requests.all()) {
      if (request.isStarted() && !request.preempting) {
        addExecution(now, request);
      }
    }
    outliers.measureOverrun();
    if (callBudget.isBounded()) {
      callBudget.accrue(now);
    }
  }

  /** Returns the seconds that all executions and this queue would take. */
  double backlogSeconds(List<TrackedRequest> queue) {
    double all = seconds;
    for (TrackedRequest request : queue) {
      all += estimator.ownSeconds(request);
    }
    return all / limit.value();
  }

  /** Returns the seconds until the next request gets a core. */
  double coreWaitSeconds() {
    return seconds / limit.value();
  }

  /** Returns the seconds until this request, if it came next, gets its dependency calls. */
  double callWaitSeconds(TrackedRequest request) {
    boolean needsCalls =
        callBudget.isBounded() && request.estimate.calls > 0 && !request.maySkipCall();
    return needsCalls ? callBudget.waitSeconds(calls) : 0;
  }

  /** Adds a request that stays in the queue. */
  void add(TrackedRequest request) {
    seconds += estimator.ownSeconds(request);
    calls += request.estimate.calls;
  }

  /** Adds a request that stays in the queue, and takes one out that was added before. */
  void replace(TrackedRequest removed, TrackedRequest added) {
    seconds += estimator.ownSeconds(added) - estimator.ownSeconds(removed);
    calls += added.estimate.calls - removed.estimate.calls;
  }

  private void addExecution(double now, TrackedRequest request) {
    boolean onCore = request.state == TrackedRequest.State.EXECUTING;
    seconds += onCore ? estimator.remainingOwnSeconds(now, request) : 0;
    calls += onCore ? Math.max(0, request.estimate.calls - request.callsReached) : 1;
    double elapsed = now - request.dispatchedAt - request.offCoresSeconds(now);
    outliers.addExecution(elapsed - stalls.stallSeconds(), estimator.ownSeconds(request));
  }
}
