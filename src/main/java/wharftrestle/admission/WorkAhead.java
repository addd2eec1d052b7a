package wharftrestle.admission;

import java.util.List;

/**
 * Sums up the work ahead of a queued request: the executions in flight and the requests before it
 * in the queue. Used by {@link LoadShedder} while it iterates over the queue.
 */
final class WorkAhead {
  private final RequestTable requests;
  private final RunTimeEstimator estimator;
  private final ConcurrencyLimit limit;
  private final DependencyCallBudget callBudget;
  private final StallDetector stalls;
  private final OutlierDetector outliers;

  /** Total own run time of the work ahead. */
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

  /** Resets the sums to the executions in flight, and updates their overrun. */
  void begin(double now) {
    seconds = 0;
    calls = 0;
    outliers.beginOverrunMeasurement();
    for (TrackedRequest request : requests.all()) {
      if (request.isStarted() && !request.preempting) {
        addExecution(now, request);
      }
    }
    outliers.endOverrunMeasurement();
    if (callBudget.isBounded()) {
      callBudget.accrue(now);
    }
  }

  /** Returns the seconds until all executions in flight and this queue would be completed. */
  double backlogSeconds(List<TrackedRequest> queue) {
    double all = seconds;
    for (TrackedRequest request : queue) {
      all += estimator.ownSeconds(request);
    }
    return all / limit.value();
  }

  /** Returns the seconds until the next request would be dispatched. */
  double coreWaitSeconds() {
    return seconds / limit.value();
  }

  /** Returns the seconds until the dependency calls of this request, as the next, would be made. */
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

  /** Replaces a request that was added before by another one that stays in the queue. */
  void replace(TrackedRequest removed, TrackedRequest added) {
    seconds += estimator.ownSeconds(added) - estimator.ownSeconds(removed);
    calls += added.estimate.calls - removed.estimate.calls;
  }

  private void addExecution(double now, TrackedRequest request) {
    boolean onCore = request.state == TrackedRequest.State.EXECUTING;
    seconds += onCore ? estimator.remainingOwnSeconds(now, request) : 0;
    calls += onCore ? Math.max(0, request.estimate.calls - request.callsReached) : 1;
    double elapsed = now - request.dispatchedAt - request.blockedSeconds(now);
    outliers.addExecution(elapsed - stalls.stallSeconds(), estimator.ownSeconds(request));
  }
}
