package wharftrestle.handover;

/**
 * Whether this process stood still of late, by the gaps between its own looks. A process that owns
 * keys waits a second for the other one to hear of a run, and then begins it all the same; what it
 * could not say is lost with it. So a former owner that stood still as long, and then finds the
 * other one gone, cannot know what ran. Time is passed in, seconds on a clock that goes on while a
 * process is stopped.
 */
public final class ProcessPauseDetector {
  /** Seconds between two looks. */
  public static final double POLL_INTERVAL_SECONDS = 0.1;

  /**
   * Seconds without a look that count: just under the second for which a run waits for its word.
   */
  private static final double LONG = 0.8;

  /** Seconds after it woke up within which the other one may have had words left to say. */
  private static final double AFTER = 1;

  private double last;
  private double woke = Double.NEGATIVE_INFINITY;

  public ProcessPauseDetector(double now) {
    last = now;
  }

  /** A look. */
  public void poll(double now) {
    if (now - last > LONG) {
      woke = now;
    }
    last = now;
  }

  /** True where words of the other process may have been lost, if it is gone now. */
  public boolean hasPausedRecently(double now) {
    poll(now);
    return now - woke < AFTER;
  }
}
