package wharftrestle.admission;

/** Keeps the host's one timer set to the next obligation. */
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

  /** A timer fired; one that was set before the latest may fire early. */
  void fired(double now) {
    if (now >= dueAt) {
      stalls.recordLateness(now, now - dueAt);
      dueAt = Double.POSITIVE_INFINITY;
    }
  }

  /** Sets the timer, unless it is already set as early as that. */
  void set(double now, boolean isDraining) {
    double next = Math.max(obligations.nextAt(now, isDraining), now + tickSeconds);
    if (next < dueAt - tickSeconds / 2) {
      dueAt = next;
      actions.setTimer(LABEL, next - now);
    }
  }
}
