package wharftrestle.admission;

/** Computes the advice in a rejection: whether another host may accept a retry, and Retry-After. */
final class RetryAdvice {
  /** Fraction of retries in arrivals above which other hosts are assumed to reject as well. */
  static final double RETRY_STORM_FRACTION = 0.12;

  /** Fraction of rejected arrivals above which the same is assumed if retries are not marked. */
  private static final double REJECTION_STORM_FRACTION = 0.4;

  /** Retry-After as a fraction of the backlog, per unit of run-time inflation. */
  private static final double BACKLOG_FRACTION = 0.3;

  /** Maximum Retry-After as a fraction of the time until the execution must start. */
  private static final double SLACK_FRACTION = 0.1;

  private final AdmissionSettings.Retries settings;
  private final RunTimeEstimator estimator;
  private final RunTimeInflation inflation;
  private final ArrivalStatistics arrivals;
  private final OutlierDetector outliers;
  private double backlogSeconds;

  RetryAdvice(
      AdmissionSettings.Retries settings,
      RunTimeEstimator estimator,
      RunTimeInflation inflation,
      ArrivalStatistics arrivals,
      OutlierDetector outliers) {
    this.settings = settings;
    this.estimator = estimator;
    this.inflation = inflation;
    this.arrivals = arrivals;
    this.outliers = outliers;
  }

  /** Sets the seconds of work in flight and queued; updated once per batch. */
  void setBacklogSeconds(double seconds) {
    backlogSeconds = seconds;
  }

  /** Returns whether a retry of this request is expected to be rejected by other hosts too. */
  boolean expectsRejectionEverywhere(double now, TrackedRequest request) {
    boolean storm =
        settings.marked()
            ? arrivals.retryFraction() > RETRY_STORM_FRACTION
            : arrivals.rejectedFraction() > REJECTION_STORM_FRACTION;
    return storm || (settings.marked() && slackSeconds(now, request) <= 0);
  }

  /** Returns the Retry-After for a request, in seconds; 0 for none. */
  double retryAfterSeconds(double now, TrackedRequest request) {
    return Math.min(settings.maxRetryAfterSeconds(), uncappedSeconds(now, request));
  }

  private double uncappedSeconds(double now, TrackedRequest request) {
    if (outliers.isFailing()) {
      return settings.maxRetryAfterSeconds();
    }
    double advice =
        Math.min(1, BACKLOG_FRACTION * inflation.executionInflation()) * backlogSeconds
            + arrivals.acceptLagSeconds();
    // If retries are not marked, the age of a retry is unknown, so the remaining time of the
    // request is not used; the advice then spreads the retries of all callers over time.
    if (!settings.marked()) {
      return advice;
    }
    double slack = slackSeconds(now, request);
    if (slack > 0) {
      // Retry-After must leave time to meet the latency objective: clients limit the number of
      // their attempts, and an attempt that is too late is wasted.
      return Math.min(advice, SLACK_FRACTION * slack);
    }
    return request.isStarted() ? settings.maxRetryAfterSeconds() : advice;
  }

  /** Returns the time until the execution must start to meet the latency objective. */
  private double slackSeconds(double now, TrackedRequest request) {
    return request.objectiveAt - now - estimator.runSeconds(request);
  }
}
