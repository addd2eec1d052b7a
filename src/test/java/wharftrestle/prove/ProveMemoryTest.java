package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Short run of {@link ProveMemory}, as of {@code make prove-memory SHORT=1}. */
class ProveMemoryTest {
  @Test
  void memoryIsLevelOnlyWithTheBound() throws Exception {
    assertTrue(ProveMemory.prove(true, 29421, System.out));
  }
}
