package wharftrestle.admission;

import wharftrestle.admission.Admission.Outcome;

/**
 * Keeps the dependency calls of this host, those in flight and those abandoned, under its quota of
 * what a shared dependency bears. A token bucket of call-seconds fills at the calls allowed and is
 * spent by those in flight, so that the mean over the quota's window stays bounded. The calls
 * allowed follow the latency of the dependency: more calls than it has slots only slow it further.
 */
final class DependencyCallBudget {
  /** Fraction of the quota, over its window, that one burst may spend. */
  private static final double BURST_FRACTION = 0.35;

  /** Fraction of the quota in flight, at once and in steady use, while calls are quick. */
  private static final double QUICK_FRACTION = 0.5;

  /** The same while calls are slow. */
  private static final double SLOW_FRACTION = 0.2;

  /** Multiple of the least-seen mean call from which calls count as slow. */
  private static final double SLOW_MULTIPLE = 2;

  /** Weight of one call in the mean call: a slow dependency must show within few calls. */
  private static final double CALL_WEIGHT = 1.0 / 10;

  private static final double INITIAL_CALL_SECONDS = 0.1;

  /**
   * Multiple of the mean call that an abandoned call counts for at most: more would measure the
   * time limit, not the dependency.
   */
  private static final double MAX_ABANDONED_MULTIPLE = 3;

  private final AdmissionSettings.DependencyCalls settings;
  private double budgetCallSeconds;
  private double accruedAt;
  private int inFlight;
  private double meanSeconds = INITIAL_CALL_SECONDS;
  private double leastMeanSeconds = INITIAL_CALL_SECONDS;
  private double quotaFraction = 1;

  DependencyCallBudget(double now, AdmissionSettings.DependencyCalls settings) {
    this.settings = settings;
    budgetCallSeconds = burstCallSeconds();
    accruedAt = now;
  }

  /** Returns whether calls are bounded by a quota at all. */
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

  /** Returns the most call-seconds that the budget holds. */
  double burstCallSeconds() {
    return BURST_FRACTION * quotaFraction * settings.quota() * settings.quotaWindowSeconds();
  }

  /** Brings the budget up to date: filled at the calls allowed, spent by those in flight. */
  void accrue(double now) {
    double gained = (allowed() - inFlight) * (now - accruedAt);
    budgetCallSeconds = Math.min(burstCallSeconds(), budgetCallSeconds + gained);
    accruedAt = now;
  }

  /** Sets the fraction of the quota that this process has. */
  void setQuotaFraction(double now, double fraction) {
    accrue(now);
    quotaFraction = fraction;
    budgetCallSeconds = Math.min(budgetCallSeconds, burstCallSeconds());
  }

  /** Returns whether one more call may be made now; {@link #accrue} comes first. */
  boolean permitsCall() {
    if (!isBounded()) {
      return true;
    }
    if (inFlight > 0
        && (inFlight >= allowed() || budgetCallSeconds < (inFlight + 1) * meanSeconds)) {
      return false;
    }
    return !(budgetCallSeconds < Math.min(meanSeconds, burstCallSeconds()));
  }

  /** Returns the seconds until so many further calls are over, by calls allowed and by budget. */
  double waitSeconds(double calls) {
    double atOnce = Math.max(1, allowed());
    return Math.max(
        Math.max(0, calls + 1 - atOnce) * meanSeconds / atOnce,
        (calls * meanSeconds - budgetCallSeconds) / allowed());
  }

  void beginCall() {
    inFlight++;
  }

  /**
   * Ends a call.
   *
   * @param abandoned it still occupies the dependency, which is paid for at once
   */
  void endCall(double now, boolean abandoned) {
    accrue(now);
    inFlight--;
    budgetCallSeconds -= abandoned ? settings.abandonedSeconds() : 0;
  }

  /** Learns the duration of a call that succeeded or was given up. */
  void learn(Outcome outcome, double elapsedSeconds) {
    if (outcome != Outcome.SUCCESS && outcome != Outcome.TIMED_OUT) {
      return;
    }
    // Calls that never end are no sign of a slow dependency, which would be given fewer.
    double most = outcome == Outcome.SUCCESS ? elapsedSeconds : MAX_ABANDONED_MULTIPLE * meanSeconds;
    meanSeconds += CALL_WEIGHT * (Math.min(elapsedSeconds, most) - meanSeconds);
    leastMeanSeconds =
        Math.min(
            meanSeconds,
            leastMeanSeconds + Smoothing.MINIMUM_AGING * (meanSeconds - leastMeanSeconds));
  }

  private double allowed() {
    double fraction = QUICK_FRACTION * Math.min(1, SLOW_MULTIPLE * leastMeanSeconds / meanSeconds);
    return Math.max(SLOW_FRACTION, fraction) * quotaFraction * settings.quota();
  }
}
