package wharftrestle.admission;

/** Decides for how long a dependency call is waited for. */
final class CallTimeLimit {
  /**
   * Multiple of the mean call for which one is waited: some never end, and each holds a part of the
   * quota.
   */
  private static final double PATIENCE_MULTIPLE = 10;

  /** The same where the call may not be repeated, so that the request is lost with it. */
  private static final double PATIENCE_MULTIPLE_ONCE = 20;

  /** Fraction of the latency objective for which a call is waited at least. */
  private static final double LEAST_PATIENCE_OF_OBJECTIVE = 0.1;

  private final double tickSeconds;
  private final RunTimeEstimator estimator;
  private final RequestValue value;
  private final DependencyCallBudget budget;
  private final StallDetector stalls;

  CallTimeLimit(
      double tickSeconds,
      RunTimeEstimator estimator,
      RequestValue value,
      DependencyCallBudget budget,
      StallDetector stalls) {
    this.tickSeconds = tickSeconds;
    this.estimator = estimator;
    this.value = value;
    this.budget = budget;
    this.stalls = stalls;
  }

  /**
   * A call is given up when its answer has no more weight, or when it is so late that it will
   * hardly end: sooner, it would fail or be repeated for nothing.
   */
  double giveUpAt(double now, TrackedRequest request) {
    double multiple = request.isIdempotent() ? PATIENCE_MULTIPLE : PATIENCE_MULTIPLE_ONCE;
    double patience =
        Math.max(
            LEAST_PATIENCE_OF_OBJECTIVE * request.requestClass.latencyObjectiveSeconds(),
            multiple * budget.meanSeconds());
    double until = request.answered ? now : value.usefulUntil(now, request);
    until = Math.min(until, now + stalls.stallSeconds() + patience);
    if (request.maySkipCall()) {
      until = Math.min(until, Math.max(now + tickSeconds, skipFrom(request)));
    }
    return budget.isBounded() ? Math.min(until, now + budget.burstCallSeconds()) : until;
  }

  /** From then on a blocked execution meets its objective only without its call. */
  double skipFrom(TrackedRequest request) {
    return request.objectiveAt - estimator.ownSeconds(request);
  }
}
