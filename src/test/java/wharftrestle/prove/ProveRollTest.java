package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Short run of {@link ProveRoll}; {@code make prove-roll} is the long one. */
class ProveRollTest {
  private static final long SEED = 5;

  @Test
  @Timeout(240)
  void badReleaseIsRolledBackAndGoodOneCompletesDespiteFaults() throws Exception {
    assertTrue(ProveRoll.prove(SEED, true, System.out));
  }
}
