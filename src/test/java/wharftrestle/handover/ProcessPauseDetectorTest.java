package wharftrestle.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a process may have missed what the other one could not say. */
class ProcessPauseDetectorTest {
  private final ProcessPauseDetector still = new ProcessPauseDetector(0);

  private void awake(double from, double to) {
    for (double now = from; now < to; now += ProcessPauseDetector.POLL_INTERVAL_SECONDS) {
      still.poll(now);
    }
  }

  @Test
  void whoWasAwakeMissedNothing() {
    awake(0, 30);
    assertFalse(still.hasPausedRecently(30));
  }

  @Test
  void whoWakesUpToAnEndMayHaveMissedWhatWasSaidLast() {
    awake(0, 5);
    assertTrue(still.hasPausedRecently(6), "also before its first look");
    awake(6, 6.8);
    assertTrue(still.hasPausedRecently(6.9), "the other one may have been writing what waited");
  }

  @Test
  void whoLivedOnWithTheOtherHeardWhatWaited() {
    awake(0, 5);
    awake(6, 8);
    assertFalse(still.hasPausedRecently(8));
  }
}
