package wharftrestle.handover;

/**
 * Detects process pauses by the gaps between its polls. A process that owns keys announces each
 * execution to its peer and waits at most a second for the announcement to be written; then it
 * begins the execution in any case. A former owner that paused for that long, and then finds that
 * the owner has ended, therefore cannot know what was executed. Times are in seconds on a clock
 * that also advances while a process is stopped. Not thread-safe: the caller synchronizes.
 */
public final class ProcessPauseDetector {
  /** Seconds between two polls. */
  public static final double POLL_INTERVAL_SECONDS = 0.1;

  /** Shortest gap that counts as a pause: just under the wait for an announcement. */
  private static final double MIN_PAUSE_SECONDS = 0.8;

  /** Seconds after a pause within which the owner may still have had messages to write. */
  private static final double RECENT_SECONDS = 1;

  private double lastPollSeconds;
  private double resumedAtSeconds = Double.NEGATIVE_INFINITY;

  /** Starts to observe at this time. */
  public ProcessPauseDetector(double nowSeconds) {
    lastPollSeconds = nowSeconds;
  }

  /** Records that this process runs at this time. */
  public void poll(double nowSeconds) {
    if (nowSeconds - lastPollSeconds > MIN_PAUSE_SECONDS) {
      resumedAtSeconds = nowSeconds;
    }
    lastPollSeconds = nowSeconds;
  }

  /** True if messages of the peer may be lost, should it have ended by now. */
  public boolean hasPausedRecently(double nowSeconds) {
    poll(nowSeconds);
    return nowSeconds - resumedAtSeconds < RECENT_SECONDS;
  }
}
