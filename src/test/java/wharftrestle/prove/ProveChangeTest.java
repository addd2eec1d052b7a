package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Short run of {@link ProveChange}; {@code make prove-change} is the long one. */
class ProveChangeTest {
  private static final long SEED = 20261201;

  @Test
  @Timeout(180)
  void changedDaemonsExecuteNothingTwice() throws Exception {
    assertTrue(ProveChange.prove(7, false, SEED, System.out));
  }
}
