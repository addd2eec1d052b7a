package wharftrestle.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a process counts as paused, so that messages of the peer may be lost. */
class ProcessPauseDetectorTest {
  private final ProcessPauseDetector detector = new ProcessPauseDetector(0);

  private void pollBetween(double from, double to) {
    for (double now = from; now < to; now += ProcessPauseDetector.POLL_INTERVAL_SECONDS) {
      detector.poll(now);
    }
  }

  @Test
  void processThatWasPolledThroughout_hasNotPaused() {
    pollBetween(0, 30);
    assertFalse(detector.hasPausedRecently(30));
  }

  @Test
  void processThatResumed_hasPausedRecently() {
    pollBetween(0, 5);
    assertTrue(detector.hasPausedRecently(6), "also before its first poll");
    pollBetween(6, 6.8);
    assertTrue(detector.hasPausedRecently(6.9), "the peer may have been writing queued messages");
  }

  @Test
  void processThatResumedLongerAgo_hasNotPausedRecently() {
    pollBetween(0, 5);
    pollBetween(6, 8);
    assertFalse(detector.hasPausedRecently(8));
  }
}
