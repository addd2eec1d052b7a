package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Short run of {@link ProveCold}; {@code make prove-cold} is the long one. */
class ProveColdTest {
  @Test
  void coldHostsOverloadNeitherTheStoreNorThemselves() {
    assertTrue(ProveCold.prove(2, 5, System.out));
  }
}
