package wharftrestle.admission;

/** Knows how late this host's timers were of late: so much of a run time may be the host's own. */
final class StallDetector {
  /** Seconds by which a timer may be late, for its gauges, before the host counts as stalled. */
  private static final double TIMER_TOLERANCE_SECONDS = 0.02;

  /** Seconds over which a stall is forgotten: executions that it touched are over by then. */
  private static final double MEMORY_SECONDS = 2;

  private double stallSeconds;
  private double measuredAt;

  /** Records that a timer fired so late. */
  void recordLateness(double now, double lateSeconds) {
    stallSeconds =
        Math.max(
            lateSeconds - TIMER_TOLERANCE_SECONDS,
            stallSeconds * Math.exp((measuredAt - now) / MEMORY_SECONDS));
    measuredAt = now;
  }

  /** Returns the longest recent stall, as of the last timer. */
  double stallSeconds() {
    return stallSeconds;
  }
}
