package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Short run of {@link ProveReady}; {@code make prove-ready} starts 20 daemons at once. */
class ProveReadyTest {
  @Test
  @Timeout(120)
  void daemonsStartedAtOnceAreReadyInTime() throws Exception {
    assertTrue(ProveReady.prove(3, 5, System.out));
  }
}
