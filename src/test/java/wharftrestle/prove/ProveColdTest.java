package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * The brief form of the proof about boxes that start cold together; {@code make prove-cold} is the
 * long one.
 */
class ProveColdTest {
  @Test
  void coldBoxesKeepTheStoreAliveWithoutKnowingOfEachOther() {
    assertTrue(ProveCold.prove(2, 5, System.out));
  }
}
