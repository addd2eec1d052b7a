package wharftrestle.admission;

/** The draining state of this instance, and which requests may still be executed while draining. */
final class Drain {
  /**
   * Seconds at the end of the grace period that are not used: on contended cores this process reads
   * the drain event itself late.
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

  void begin(double now, double remainingSeconds) {
    drainingSince = now;
    stopAt = now + remainingSeconds;
  }

  boolean isDraining(double now) {
    return drainingSince <= now;
  }

  /** Returns when the process is stopped; infinity before draining. */
  double stopAt() {
    return stopAt;
  }

  /** Returns whether a request reached the host too late to be executed. */
  boolean forbidsExecution(TrackedRequest request) {
    return request.reachedHostAt > drainingSince + graceSeconds - MARGIN_SECONDS;
  }
}
