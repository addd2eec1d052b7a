package wharftrestle.admission;

/** Sets the timeouts of dependency calls. */
final class CallTimeLimit {
  /**
   * Timeout of a call, as a multiple of the mean call duration. Some calls never end, and each
   * occupies a part of the quota until it times out.
   */
  private static final double TIMEOUT_MULTIPLE = 10;

  /** The same for a call that may not be repeated: its request fails if the call times out. */
  private static final double UNREPEATABLE_TIMEOUT_MULTIPLE = 20;

  /** Minimum timeout of a call, as a fraction of the latency objective. */
  private static final double MIN_TIMEOUT_OBJECTIVE_FRACTION = 0.1;

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
   * Returns when a call that starts now times out: when the answer of its request has no more
   * weight, or when the call is so late that it is unlikely to end. A shorter timeout would fail or
   * repeat calls that are about to succeed.
   */
  double timeoutAt(double now, TrackedRequest request) {
    double multiple = request.isIdempotent() ? TIMEOUT_MULTIPLE : UNREPEATABLE_TIMEOUT_MULTIPLE;
    double timeoutSeconds =
        Math.max(
            MIN_TIMEOUT_OBJECTIVE_FRACTION * request.requestClass.latencyObjectiveSeconds(),
            multiple * budget.meanSeconds());
    double until = request.answered ? now : value.usefulUntil(now, request);
    until = Math.min(until, now + stalls.stallSeconds() + timeoutSeconds);
    if (request.maySkipCall()) {
      until = Math.min(until, Math.max(now + tickSeconds, skipFrom(request)));
    }
    return budget.isBounded() ? Math.min(until, now + budget.burstCallSeconds()) : until;
  }

  /** Returns the time after which a blocked execution must skip its call to meet its objective. */
  double skipFrom(TrackedRequest request) {
    return request.objectiveAt - estimator.ownSeconds(request);
  }
}
