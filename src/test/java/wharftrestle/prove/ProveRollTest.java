package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The brief form of the proof of rolling changes with real processes; {@code make prove-roll} is
 * the long one.
 */
class ProveRollTest {
  private static final long SEED = 5;

  @Test
  @Timeout(240)
  void aBadReleaseIsTakenBackAndAGoodOneArrivesThroughFaults() throws Exception {
    assertTrue(ProveRoll.prove(SEED, true, System.out));
  }
}
