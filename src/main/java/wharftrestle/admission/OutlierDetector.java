package wharftrestle.admission;

import java.util.Locale;
import java.util.Random;

/**
 * Decides whether this host reports itself unhealthy, so that the endpoint list leaves it out: it
 * fails executions quickly (and so looks free), runs them slowly or hangs. What it takes is lost
 * while others could serve it.
 *
 * <p>Only its own executions count, never dependency calls, since a bad dependency strikes all
 * hosts at once. A host that reads late and rejects everything has no executions to go by; that
 * counts only without retries about, since in a retry storm all hosts are so. Trials of at least
 * the same length, out of step between hosts, keep half of the hosts in the list if all of them are
 * unhealthy together. A host that was stalled itself sees short executions as overdue, and so does
 * one whose commands wait: executions in flight make it unhealthy only where those that end are
 * slow too, or none ends.
 */
final class OutlierDetector {
  /** Fraction of executions that fail by themselves. */
  private static final double FAILURE_FRACTION = 0.35;

  /** Elapsed over estimated time of all executions in flight; guards against uneven run times. */
  private static final double OVERRUN_MULTIPLE = 5;

  /** One execution counts for at most this multiple of its estimate: few long ones are usual. */
  private static final double MAX_SINGLE_OVERRUN = 16;

  /** Mean executions added as if on time: few in flight are little evidence. */
  private static final double ON_TIME_PRIOR_EXECUTIONS = 3;

  /** Without a completion for this long, and for so many mean run times, overrun is confirmed. */
  private static final double NO_COMPLETION_SECONDS = 0.5;

  private static final double NO_COMPLETION_RUN_TIMES = 5;

  /** Inflation beyond contention that confirms overrun while executions complete. */
  private static final double CONFIRMING_INFLATION = 2;

  /** Inflation beyond contention that is sufficient alone. */
  private static final double SUFFICIENT_INFLATION = 3.0;

  /** Accept lag from which, with nearly all rejected, what is taken in is late before it is read. */
  private static final double ACCEPT_LAG_SECONDS = 1;

  /** Fraction of rejected arrivals for the same: a fleet that is overloaded still serves some. */
  private static final double REJECTED_FRACTION = 0.8;

  /** Mean length of an ejection, and least length of a trial: lists follow seconds late. */
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

  /** Records that an execution ended by itself. */
  void recordCompletion(double now, boolean failed) {
    lastCompletionAt = now;
    failureFraction += Smoothing.FAST_WEIGHT * ((failed ? 1 : 0) - failureFraction);
  }

  /** Starts a new measurement of the executions in flight. */
  void clearOverrun() {
    elapsedSeconds = 0;
    estimatedSeconds = 0;
  }

  /** Adds one execution in flight: its time on the cores, stalls apart, and its estimate. */
  void addExecution(double onCoresSeconds, double ownSeconds) {
    elapsedSeconds += Math.min(MAX_SINGLE_OVERRUN * ownSeconds, Math.max(0, onCoresSeconds));
    estimatedSeconds += ownSeconds;
  }

  /** Ends the measurement. */
  void measureOverrun() {
    double prior = ON_TIME_PRIOR_EXECUTIONS * estimator.meanOwnSeconds();
    overrun = (elapsedSeconds + prior) / (estimatedSeconds + prior);
  }

  /** Returns whether executions fail by themselves, so that only single ones are tried. */
  boolean isFailing() {
    return failureFraction > FAILURE_FRACTION;
  }

  boolean isHealthy() {
    return healthy;
  }

  /** Returns until when this host is ejected; in the past where it is not. */
  double ejectedUntil() {
    return ejectedUntil;
  }

  /** Reports a change of health, unless this instance drains. */
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
        || inflation.ofExecutions() > SUFFICIENT_INFLATION * inflation.contention()
        || rejectsNearlyAll();
  }

  private boolean confirmsOverrun(double now) {
    return inflation.ofExecutions() > CONFIRMING_INFLATION * inflation.contention()
        || now - lastCompletionAt
            > Math.max(NO_COMPLETION_SECONDS, NO_COMPLETION_RUN_TIMES * estimator.meanOwnSeconds());
  }

  private boolean rejectsNearlyAll() {
    return arrivals.acceptLagSeconds() > ACCEPT_LAG_SECONDS
        && arrivals.rejectedFraction() > REJECTED_FRACTION
        && marksRetries
        && arrivals.retryFraction() < RetryAdvice.RETRY_STORM / 2;
  }

  private void eject(double now) {
    ejectedUntil = now + EJECTION_SECONDS * (0.75 + random.nextDouble() / 2);
    healthy = false;
    actions.reportHealth(false, true);
    // The wire carries this line; its words are fixed.
    actions.log(
        String.format(
            Locale.ROOT,
            "ill: failing %.2f, strain %.1f, drag %.1f, unread %.1f s",
            failureFraction,
            overrun,
            inflation.ofExecutions(),
            arrivals.acceptLagSeconds()));
  }
}
