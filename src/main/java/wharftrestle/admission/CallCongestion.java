package wharftrestle.admission;

/**
 * Detects that so many executions are blocked on dependency calls that no further request that
 * needs a call should be dispatched: its call would come too late, and it would delay requests of
 * higher value.
 */
final class CallCongestion {
  private final RequestTable requests;
  private final RunTimeEstimator estimator;
  private final DependencyCallBudget budget;

  CallCongestion(RequestTable requests, RunTimeEstimator estimator, DependencyCallBudget budget) {
    this.requests = requests;
    this.estimator = estimator;
    this.budget = budget;
  }

  /**
   * Returns whether as many executions are blocked as there are cores, or whether the calls ahead
   * of this request's call would take longer than its run time without calls.
   */
  boolean isCongestedFor(TrackedRequest request) {
    return requests.hasAllCoresBlocked()
        || (budget.isBounded()
            && budget.waitSeconds(requests.blocked().size() + budget.inFlight())
                > estimator.ownSeconds(request));
  }
}
