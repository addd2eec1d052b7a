package wharftrestle.admission;

/**
 * Knows when so many executions are blocked on dependency calls that no further one which needs its
 * call should be started: it would be started and lost, and bar others of more value.
 */
final class CallCongestion {
  private final RequestTable requests;
  private final RunTimeEstimator estimator;
  private final DependencyCallBudget budget;

  CallCongestion(
      RequestTable requests, RunTimeEstimator estimator, DependencyCallBudget budget) {
    this.requests = requests;
    this.estimator = estimator;
    this.budget = budget;
  }

  /** Returns whether the calls in front of this request's would take longer than its own run. */
  boolean affects(TrackedRequest request) {
    return requests.hasAllCoresBlocked()
        || (budget.isBounded()
            && budget.waitSeconds(requests.blocked().size() + budget.inFlight())
                > estimator.ownSeconds(request));
  }
}
