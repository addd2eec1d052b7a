package wharftrestle.admission;

import wharftrestle.admission.Admission.Outcome;

/**
 * Keeps the dependency calls of this host, in flight and abandoned, within its quota of the
 * capacity of a shared dependency. A token bucket of call-seconds is filled at the rate of the
 * allowed concurrent calls and drained by the calls in flight, so that their mean over the quota's
 * window stays bounded. The allowed concurrency follows the latency of the dependency: more calls
 * than it can process concurrently only slow it further.
 */
final class DependencyCallBudget {
  /** Fraction of the quota, over its window, that one burst may spend. */
  private static final double BURST_FRACTION = 0.35;

  /**
   * Fraction of the quota that is allowed in flight, also in steady state, while calls are fast.
   */
  private static final double FAST_FRACTION = 0.5;

  /** The same while calls are slow. */
  private static final double SLOW_FRACTION = 0.2;

  /** Multiple of the minimum mean call duration above which calls count as slow. */
  private static final double SLOW_MULTIPLE = 2;

  /** Weight of one call in the mean duration: a slow dependency must be detected in few calls. */
  private static final double CALL_WEIGHT = 1.0 / 10;

  private static final double INITIAL_CALL_SECONDS = 0.1;

  /**
   * Maximum duration that an abandoned call adds to the mean, as a multiple of the mean: a longer
   * one would measure the timeout, not the dependency.
   */
  private static final double MAX_ABANDONED_MULTIPLE = 3;

  private final AdmissionSettings.DependencyCalls settings;
  private double budgetCallSeconds;
  private double accruedAt;
  private int inFlight;
  private double meanSeconds = INITIAL_CALL_SECONDS;
  private double minimumMeanSeconds = INITIAL_CALL_SECONDS;
  private double quotaFraction = 1;

  DependencyCallBudget(double now, AdmissionSettings.DependencyCalls settings) {
    this.settings = settings;
    budgetCallSeconds = burstCallSeconds();
    accruedAt = now;
  }

  /** Returns whether a quota applies to dependency calls. */
  boolean isBounded() {
    return settings.dependency() == Admission.Dependency.SHARED && settings.quota() > 0;
  }

  /** Returns the moving average of the duration of a call. */
  double meanSeconds() {
    return meanSeconds;
  }

  int inFlight() {
    return inFlight;
  }

  /** Returns the capacity of the token bucket in call-seconds. */
  double burstCallSeconds() {
    return BURST_FRACTION * quotaFraction * settings.quota() * settings.quotaWindowSeconds();
  }

  /** Fills and drains the token bucket up to now. */
  void accrue(double now) {
    double gained = (allowedCalls() - inFlight) * (now - accruedAt);
    budgetCallSeconds = Math.min(burstCallSeconds(), budgetCallSeconds + gained);
    accruedAt = now;
  }

  /** Sets the fraction of the host's quota that this process may use. */
  void setQuotaFraction(double now, double fraction) {
    accrue(now);
    quotaFraction = fraction;
    budgetCallSeconds = Math.min(budgetCallSeconds, burstCallSeconds());
  }

  /** Returns whether one more call may be made now; call {@link #accrue} first. */
  boolean permitsCall() {
    if (!isBounded()) {
      return true;
    }
    if (inFlight > 0
        && (inFlight >= allowedCalls() || budgetCallSeconds < (inFlight + 1) * meanSeconds)) {
      return false;
    }
    return !(budgetCallSeconds < Math.min(meanSeconds, burstCallSeconds()));
  }

  /**
   * Returns the seconds that one more call waits behind this many calls; the longer of the waits
   * for the allowed concurrency and for the token bucket.
   */
  double waitSeconds(double calls) {
    double concurrency = Math.max(1, allowedCalls());
    return Math.max(
        Math.max(0, calls + 1 - concurrency) * meanSeconds / concurrency,
        (calls * meanSeconds - budgetCallSeconds) / allowedCalls());
  }

  void beginCall() {
    inFlight++;
  }

  /**
   * Ends a call.
   *
   * @param abandoned whether the call still occupies the dependency; the budget is charged for that
   *     immediately
   */
  void endCall(double now, boolean abandoned) {
    accrue(now);
    inFlight--;
    budgetCallSeconds -= abandoned ? settings.abandonedSeconds() : 0;
  }

  /** Adds the duration of a call that succeeded or timed out to the mean; ignores others. */
  void recordDuration(Outcome outcome, double elapsedSeconds) {
    if (outcome != Outcome.SUCCESS && outcome != Outcome.TIMED_OUT) {
      return;
    }
    // Calls that never end do not show that the dependency is slow, so they must not lower the
    // allowed concurrency as slow calls do.
    double maximum =
        outcome == Outcome.SUCCESS ? elapsedSeconds : MAX_ABANDONED_MULTIPLE * meanSeconds;
    meanSeconds += CALL_WEIGHT * (Math.min(elapsedSeconds, maximum) - meanSeconds);
    minimumMeanSeconds =
        Math.min(
            meanSeconds,
            minimumMeanSeconds + Smoothing.MINIMUM_AGING * (meanSeconds - minimumMeanSeconds));
  }

  /** Returns the calls that may be in flight. */
  private double allowedCalls() {
    double fraction = FAST_FRACTION * Math.min(1, SLOW_MULTIPLE * minimumMeanSeconds / meanSeconds);
    return Math.max(SLOW_FRACTION, fraction) * quotaFraction * settings.quota();
  }
}
