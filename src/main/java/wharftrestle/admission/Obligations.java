package wharftrestle.admission;

/** Computes when the next decision is due if no other event arrives before. */
final class Obligations {
  private final RequestTable requests;
  private final DeadlineEnforcer deadlines;
  private final ConcurrencyLimit limit;
  private final DependencyCalls calls;
  private final OutlierDetector outliers;

  Obligations(
      RequestTable requests,
      DeadlineEnforcer deadlines,
      ConcurrencyLimit limit,
      DependencyCalls calls,
      OutlierDetector outliers) {
    this.requests = requests;
    this.deadlines = deadlines;
    this.limit = limit;
    this.calls = calls;
    this.outliers = outliers;
  }

  /** Returns when the next decision is due, possibly in the past; infinity if none is pending. */
  double nextAt(double now, boolean isDraining) {
    double next = Double.POSITIVE_INFINITY;
    for (TrackedRequest request : requests.all()) {
      next = Math.min(next, deadlines.nextDueAt(request));
    }
    if (!requests.queued().isEmpty()) {
      next = Math.min(next, limit.nextStepAt());
    }
    next = Math.min(next, calls.nextCheckAt(now));
    if (!outliers.isHealthy() && !isDraining) {
      next = Math.min(next, outliers.ejectedUntil());
    }
    return next;
  }
}
