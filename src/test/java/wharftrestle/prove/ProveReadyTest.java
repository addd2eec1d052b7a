package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * The brief form of the proof that restarted processes are ready again; {@code make prove-ready}
 * starts 20 at once.
 */
class ProveReadyTest {
  @Test
  @Timeout(120)
  void someStartedAtOnceAreReadyInTime() throws Exception {
    assertTrue(ProveReady.prove(3, 5, System.out));
  }
}
