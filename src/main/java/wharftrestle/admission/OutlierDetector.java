package wharftrestle.admission;

import java.util.Locale;
import java.util.Random;

/**
 * Decides whether this host is an outlier and reports itself unhealthy, so that it is ejected from
 * the endpoint list. An outlier fails executions quickly (and so appears to have free capacity),
 * executes them slowly, or hangs. Requests that it accepts fail although other hosts could serve
 * them.
 *
 * <p>The criteria:
 *
 * <ul>
 *   <li>Executions count, dependency calls do not, since a faulty dependency affects all hosts.
 *   <li>A host that reads requests late and rejects nearly all of them has hardly any executions to
 *       measure. It counts as an outlier only if few arrivals are retries, since in a retry storm
 *       all hosts are in this state.
 *   <li>After an ejection the host stays in the list for a trial period that is at least as long as
 *       a mean ejection. Ejections have random lengths, so they are not synchronized between hosts,
 *       and about half of the hosts remain in the list if all of them are unhealthy.
 *   <li>Executions in flight also appear overdue if this host was stalled or if their commands
 *       waited before the worker pool read them. They make the host an outlier only if completed
 *       executions were slow too, or if none completes.
 * </ul>
 */
final class OutlierDetector {
  /** Fraction of failed executions above which the host is an outlier. */
  private static final double FAILURE_FRACTION = 0.35;

  /**
   * Elapsed over estimated time, summed over all executions in flight, above which they are
   * overdue. It is above 1 since run times vary.
   */
  private static final double OVERRUN_MULTIPLE = 5;

  /** Maximum elapsed time that one execution adds, in estimates: a few long ones are normal. */
  private static final double MAX_SINGLE_OVERRUN = 16;

  /** Executions of mean length added as if on time, since a few in flight are weak evidence. */
  private static final double ON_TIME_PRIOR_EXECUTIONS = 3;

  /** Overrun is confirmed if no execution completes in this time and in this many run times. */
  private static final double NO_COMPLETION_SECONDS = 0.5;

  private static final double NO_COMPLETION_RUN_TIMES = 5;

  /** Inflation as a multiple of contention that confirms overrun while executions complete. */
  private static final double CONFIRMING_INFLATION = 2;

  /** Inflation as a multiple of contention that makes the host an outlier without overrun. */
  private static final double SUFFICIENT_INFLATION = 3.0;

  /**
   * Accept lag above which requests are too late before they are read; counts only together with
   * {@link #REJECTED_FRACTION}.
   */
  private static final double ACCEPT_LAG_SECONDS = 1;

  /**
   * Fraction of rejected arrivals above which accept lag counts. In an overloaded fleet each host
   * still serves some requests, so its fraction is lower.
   */
  private static final double REJECTED_FRACTION = 0.8;

  /**
   * Mean length of an ejection and minimum length of the trial after it; endpoint lists follow the
   * reported health with a delay of seconds.
   */
  private static final double EJECTION_SECONDS = 4;

  private final boolean marksRetries;
  private final Admission.Actions actions;
  private final Random random;
  private final RunTimeEstimator estimator;
  private final RunTimeInflation inflation;
  private final ArrivalStatistics arrivals;
  private double failureFraction;
  private double lastCompletionAt;
  private double elapsedSeconds;
  private double estimatedSeconds;
  private double overrun;
  private boolean healthy = true;
  private double ejectedUntil = Double.NEGATIVE_INFINITY;

  OutlierDetector(
      double now,
      AdmissionSettings settings,
      Admission.Actions actions,
      Random random,
      RunTimeEstimator estimator,
      RunTimeInflation inflation,
      ArrivalStatistics arrivals) {
    marksRetries = settings.retries().marked();
    this.actions = actions;
    this.random = random;
    this.estimator = estimator;
    this.inflation = inflation;
    this.arrivals = arrivals;
    lastCompletionAt = now;
  }

  /** Records that an execution ended with success or failure and was not preempted. */
  void recordCompletion(double now, boolean failed) {
    lastCompletionAt = now;
    failureFraction += Smoothing.FAST_WEIGHT * ((failed ? 1 : 0) - failureFraction);
  }

  /** Starts a new measurement of the overrun of the executions in flight. */
  void beginOverrunMeasurement() {
    elapsedSeconds = 0;
    estimatedSeconds = 0;
  }

  /** Adds an execution in flight: its time on the cores without stalls, and its estimate. */
  void addExecution(double executingSeconds, double estimateSeconds) {
    elapsedSeconds += Math.min(MAX_SINGLE_OVERRUN * estimateSeconds, Math.max(0, executingSeconds));
    estimatedSeconds += estimateSeconds;
  }

  /** Ends the measurement of the overrun. */
  void endOverrunMeasurement() {
    double prior = ON_TIME_PRIOR_EXECUTIONS * estimator.meanOwnSeconds();
    overrun = (elapsedSeconds + prior) / (estimatedSeconds + prior);
  }

  /**
   * Returns whether the fraction of failed executions makes the host an outlier. Only one execution
   * at a time is dispatched while it does.
   */
  boolean isFailing() {
    return failureFraction > FAILURE_FRACTION;
  }

  boolean isHealthy() {
    return healthy;
  }

  /** Returns when the latest ejection ends or ended; negative infinity before the first. */
  double ejectedUntil() {
    return ejectedUntil;
  }

  /** Updates the health of the host and reports a change, unless this instance drains. */
  void evaluate(double now, boolean isDraining) {
    if (isDraining) {
      return;
    }
    if (!healthy && now >= ejectedUntil) {
      healthy = true;
      actions.reportHealth(true, true);
    }
    if (healthy && now >= ejectedUntil + EJECTION_SECONDS && isOutlier(now)) {
      eject(now);
    }
  }

  private boolean isOutlier(double now) {
    return isFailing()
        || (overrun > OVERRUN_MULTIPLE && confirmsOverrun(now))
        || inflation.executionInflation() > SUFFICIENT_INFLATION * inflation.contention()
        || rejectsNearlyAll();
  }

  private boolean confirmsOverrun(double now) {
    return inflation.executionInflation() > CONFIRMING_INFLATION * inflation.contention()
        || now - lastCompletionAt
            > Math.max(NO_COMPLETION_SECONDS, NO_COMPLETION_RUN_TIMES * estimator.meanOwnSeconds());
  }

  private boolean rejectsNearlyAll() {
    return arrivals.acceptLagSeconds() > ACCEPT_LAG_SECONDS
        && arrivals.rejectedFraction() > REJECTED_FRACTION
        && marksRetries
        && arrivals.retryFraction() < RetryAdvice.RETRY_STORM_FRACTION / 2;
  }

  private void eject(double now) {
    ejectedUntil = now + EJECTION_SECONDS * (0.75 + random.nextDouble() / 2); // mean +/- 25 %
    healthy = false;
    actions.reportHealth(false, true);
    // The text is fixed: the simulator receives this line, and recorded decisions contain it.
    actions.log(
        String.format(
            Locale.ROOT,
            "ill: failing %.2f, strain %.1f, drag %.1f, unread %.1f s",
            failureFraction,
            overrun,
            inflation.executionInflation(),
            arrivals.acceptLagSeconds()));
  }
}
