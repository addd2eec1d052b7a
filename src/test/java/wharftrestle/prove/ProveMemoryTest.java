package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The short form of the proof, as 'make prove-memory SHORT=1' plays it. */
class ProveMemoryTest {
  @Test
  void memoryIsLevelWithTheBoundAndNotWithoutIt() throws Exception {
    assertTrue(ProveMemory.prove(true, 29421, System.out));
  }
}
