package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Short run of {@link ProveResults}, similar to {@code make prove-results SHORT=1}. */
class ProveResultsTest {
  private static final long SEED = 29421;

  @Test
  void killsCauseDuplicateExecutionsOnlyWithoutTheStore() throws Exception {
    ProveResults.Observations withStore = ProveResults.runWithKills(true, 400, 8, SEED, System.out);
    System.out.println("store on, seed " + SEED + ": " + withStore);
    assertEquals(0, withStore.tally.runTwice());
    assertEquals(0, withStore.tally.refusedAfterRun());
    assertEquals(0, withStore.tally.otherBytes());
    assertEquals(0, withStore.tally.failedAfterResult());
    assertTrue(withStore.tally.again() > 50, "results were sent again");
    ProveResults.Observations withoutStore =
        ProveResults.runWithKills(false, 0, 5, SEED, System.out);
    System.out.println("store off: " + withoutStore);
    assertTrue(
        withoutStore.tally.runTwice() > 0, "without the store the proof must find double runs");
  }
}
