package wharftrestle.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a path whose class takes time that grows with the square of its length. */
class UwsgiPathTest {
  /** Longer than any path that the protocol allows; in squared time it takes hours. */
  private static final int SLASHES = 4_000_000;

  @ParameterizedTest
  @CsvSource({
    "/read, read",
    "read, read",
    "//read//, read",
    "/read/?q=/a?b, read",
    "/re/ad, re/ad",
    "/?read, ''",
    "'', ''",
    "///, ''",
    "?, ''"
  })
  void className_isThePathWithoutOuterSlashesAndQuery(String path, String expected) {
    assertEquals(expected, UwsgiFrontend.className(path));
  }

  @Test
  void className_ofManySlashes_takesLinearTime() {
    String slashes = "/".repeat(SLASHES);
    assertTimeoutPreemptively(
        Duration.ofSeconds(10),
        () -> {
          assertEquals("", UwsgiFrontend.className(slashes));
          assertEquals("a" + slashes + "b", UwsgiFrontend.className("/a" + slashes + "b/"));
          assertEquals("a", UwsgiFrontend.className(slashes + "a" + slashes + "?" + slashes));
        });
  }
}
