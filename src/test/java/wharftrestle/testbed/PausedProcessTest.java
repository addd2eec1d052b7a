package wharftrestle.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The process that handed over sleeps, the one that took over runs what it could not tell it, and
 * is killed.
 */
@Timeout(90)
class PausedProcessTest {
  private static final long READY_MS = 20_000;

  /** More words than the socket between the two can hold. */
  private static final int MOST = 600;

  @TempDir private Path folder;

  @Test
  void whatRanWhileTheFormerOwnerSleptDoesNotRunAgain() throws Exception {
    try (HostTestbed floor = new HostTestbed(folder, "", 12, HostTestbed.Play.of(192))) {
      HostTestbed.Version version =
          new HostTestbed.Version(null, "wharftrestle.Main", floor.settings(), "");
      DaemonProcess old = floor.begin(version);
      assertTrue(old.awaitReady(READY_MS), old::toString);
      DaemonProcess next = floor.begin(version);
      assertTrue(next.awaitReady(READY_MS), old::toString);
      old.stopped(true);
      List<String> unheard = new ArrayList<>();
      try (TestClient desk = new TestClient(floor.address())) {
        // A run whose word finds no room in the socket waits a second for it: from the first such
        // one on.
        for (int i = 0; i < MOST && unheard.size() < 3; i++) {
          String key = "k" + i;
          long began = System.nanoTime();
          assertEquals("done", desk.ask("save", 100 + i, key, body(key)).word());
          if (System.nanoTime() - began > 900_000_000L) {
            unheard.add(key);
          }
        }
      }
      assertFalse(unheard.isEmpty(), "the socket was never full");
      next.kill();
      old.stopped(false);
      assertTrue(old.awaitReady(READY_MS), old::toString);
      try (TestClient desk = new TestClient(floor.address())) {
        for (String key : unheard) {
          assertEquals(
              "error",
              desk.ask("save", 5000 + unheard.indexOf(key), key, body(key)).word(),
              "nobody knows what became of it");
        }
        assertEquals(
            "done", desk.ask("save", 6000, "k0", body("k0")).word(), "what was heard is known");
        assertEquals("done", desk.ask("read", 6001, null, "x").word());
      }
      assertEquals(0, floor.doubleRuns());
    }
  }

  /** As long as a body may be, so that few words fill the socket. */
  private static String body(String key) {
    return key + "\n" + "x".repeat(1500);
  }
}
