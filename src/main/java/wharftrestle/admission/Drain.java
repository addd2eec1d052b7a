package wharftrestle.admission;

/** Knows whether and since when this instance drains, and what may still be executed then. */
final class Drain {
  /**
   * Seconds of the grace that are not used: on contended cores the notice itself is read late.
   *
   * @see AdmissionController#DRAIN_MARGIN_SECONDS
   */
  static final double MARGIN_SECONDS = 0.4;

  private final double graceSeconds;
  private double drainingSince = Double.POSITIVE_INFINITY;
  private double stopAt = Double.POSITIVE_INFINITY;

  Drain(double graceSeconds) {
    this.graceSeconds = graceSeconds;
  }

  void begin(double now, double secondsLeft) {
    drainingSince = now;
    stopAt = now + secondsLeft;
  }

  boolean isDraining(double now) {
    return drainingSince <= now;
  }

  /** Returns when the process is stopped; infinity while it does not drain. */
  double stopAt() {
    return stopAt;
  }

  /** Returns whether a request reached the host too late to be executed. */
  boolean forbidsExecution(TrackedRequest request) {
    return request.reachedHostAt > drainingSince + graceSeconds - MARGIN_SECONDS;
  }
}
