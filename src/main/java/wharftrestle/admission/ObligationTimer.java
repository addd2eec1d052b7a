package wharftrestle.admission;

/**
 * Sets the timer of the host to the time of the next decision in {@link Obligations}. Only the
 * latest timer counts; how late it fires is reported to {@link StallDetector}.
 */
final class ObligationTimer {
  private static final long LABEL = 0;

  private final double tickSeconds;
  private final Admission.Actions actions;
  private final Obligations obligations;
  private final StallDetector stalls;
  private double dueAt = Double.POSITIVE_INFINITY;

  ObligationTimer(
      double tickSeconds,
      Admission.Actions actions,
      Obligations obligations,
      StallDetector stalls) {
    this.tickSeconds = tickSeconds;
    this.actions = actions;
    this.obligations = obligations;
    this.stalls = stalls;
  }

  /** Handles a fired timer. A timer that was set before the latest one fires earlier. */
  void fired(double now) {
    if (now >= dueAt) {
      stalls.recordLateness(now, now - dueAt);
      dueAt = Double.POSITIVE_INFINITY;
    }
  }

  /** Sets the timer, unless it is already set to this time or earlier. */
  void set(double now, boolean isDraining) {
    double next = Math.max(obligations.nextAt(now, isDraining), now + tickSeconds);
    if (next < dueAt - tickSeconds / 2) {
      dueAt = next;
      actions.setTimer(LABEL, next - now);
    }
  }
}
