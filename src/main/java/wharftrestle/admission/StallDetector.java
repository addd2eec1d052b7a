package wharftrestle.admission;

/**
 * Measures recent stalls of this host by the lateness of its timers. A measured run time may
 * contain a delay of this length that is caused by the host itself.
 */
final class StallDetector {
  /** Lateness of a timer that is not a stall; reading the gauges for it delays a timer. */
  private static final double TIMER_TOLERANCE_SECONDS = 0.02;

  /** Time constant of the decay of a stall; executions affected by it have then ended. */
  private static final double DECAY_SECONDS = 2;

  private double stallSeconds;
  private double measuredAt;

  /** Records the lateness of a fired timer. */
  void recordLateness(double now, double latenessSeconds) {
    stallSeconds =
        Math.max(
            latenessSeconds - TIMER_TOLERANCE_SECONDS,
            stallSeconds * StrictMath.exp((measuredAt - now) / DECAY_SECONDS));
    measuredAt = now;
  }

  /** Returns the length of the longest recent stall, decayed, as of the last timer. */
  double stallSeconds() {
    return stallSeconds;
  }
}
