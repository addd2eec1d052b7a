package wharftrestle.admission;

/** Decides what a rejected caller is advised: whether to retry elsewhere and after how long. */
final class RetryAdvice {
  /** Fraction of retries in arrivals above which other hosts are taken to reject as well. */
  static final double RETRY_STORM = 0.12;

  /** Fraction of rejected arrivals above which the same holds where retries are not marked. */
  private static final double REJECTION_STORM = 0.4;

  /** Fraction of the backlog for which a rejected caller is advised to stay away. */
  private static final double BACKLOG_FRACTION = 0.3;

  /** Most of the time left until its execution must start that a caller is asked to wait. */
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

  /** Sets the seconds of work in flight, as of the last pass over the queue. */
  void setBacklogSeconds(double seconds) {
    backlogSeconds = seconds;
  }

  /** Returns whether a retry of this request is expected to be rejected by other hosts too. */
  boolean expectsRejectionElsewhere(double now, TrackedRequest request) {
    boolean storm =
        settings.marked()
            ? arrivals.retryFraction() > RETRY_STORM
            : arrivals.rejectedFraction() > REJECTION_STORM;
    return storm || (settings.marked() && slackSeconds(now, request) <= 0);
  }

  /** Returns the Retry-After for a request, in seconds; 0 gives no advice. */
  double retryAfterSeconds(double now, TrackedRequest request) {
    return Math.min(settings.maxRetryAfterSeconds(), uncappedSeconds(now, request));
  }

  private double uncappedSeconds(double now, TrackedRequest request) {
    if (outliers.isFailing()) {
      return settings.maxRetryAfterSeconds();
    }
    double advice =
        Math.min(1, BACKLOG_FRACTION * inflation.ofExecutions()) * backlogSeconds
            + arrivals.acceptLagSeconds();
    // Without marks nobody knows who comes back and how late: callers then spread the load.
    if (!settings.marked()) {
      return advice;
    }
    double slack = slackSeconds(now, request);
    if (slack > 0) {
      // Advice must not cost the objective: clients count their attempts, and a late one is lost.
      return Math.min(advice, SLACK_FRACTION * slack);
    }
    return request.isStarted() ? settings.maxRetryAfterSeconds() : advice;
  }

  /** Time until the execution must start for its answer to meet the objective. */
  private double slackSeconds(double now, TrackedRequest request) {
    return request.objectiveAt - now - estimator.runSeconds(request);
  }
}
