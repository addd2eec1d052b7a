package wharftrestle.handover;

/**
 * Detects that this process did not run for a while, by the gaps between its own polls. A process
 * that owns keys announces each execution to its peer, waits at most a second for the announcement
 * to be written, and then begins all the same. So a former owner that paused as long, and then
 * finds the owner gone, cannot know what ran. Times are seconds on a clock that goes on while a
 * process is stopped. Not thread-safe: its caller guards it.
 */
public final class ProcessPauseDetector {
  /** Seconds between two polls. */
  public static final double POLL_INTERVAL_SECONDS = 0.1;

  /** The shortest gap that counts: just under the wait for an announcement. */
  private static final double MIN_PAUSE_SECONDS = 0.8;

  /** Seconds after a pause within which the owner may still have had messages to write. */
  private static final double RECENT_SECONDS = 1;

  private double lastPollSeconds;
  private double resumedAtSeconds = Double.NEGATIVE_INFINITY;

  /** Begins to observe at this time. */
  public ProcessPauseDetector(double nowSeconds) {
    lastPollSeconds = nowSeconds;
  }

  /** Notes that this process runs at this time. */
  public void poll(double nowSeconds) {
    if (nowSeconds - lastPollSeconds > MIN_PAUSE_SECONDS) {
      resumedAtSeconds = nowSeconds;
    }
    lastPollSeconds = nowSeconds;
  }

  /** True where messages of the peer may be lost if it is gone now. */
  public boolean hasPausedRecently(double nowSeconds) {
    poll(nowSeconds);
    return nowSeconds - resumedAtSeconds < RECENT_SECONDS;
  }
}
