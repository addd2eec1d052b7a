package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The short form of the proof, as 'make prove-results SHORT=1' plays it. */
class ProveResultsTest {
  private static final long SEED = 29421;

  @Test
  void nothingRunsTwiceOverKillsAndWithoutTheStoreItDoes() throws Exception {
    ProveResults.Seen kept = ProveResults.play(true, 400, 8, SEED, System.out);
    System.out.println("kept, seed " + SEED + ": " + kept);
    assertEquals(0, kept.tally.runTwice());
    assertEquals(0, kept.tally.refusedAfterRun());
    assertEquals(0, kept.tally.otherBytes());
    assertEquals(0, kept.tally.failedAfterResult());
    assertTrue(kept.tally.again() > 50, "results were given again");
    ProveResults.Seen without = ProveResults.play(false, 0, 5, SEED, System.out);
    System.out.println("not kept: " + without);
    assertTrue(without.tally.runTwice() > 0, "without the store the proof must find double runs");
  }
}
