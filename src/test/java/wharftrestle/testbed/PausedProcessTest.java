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
 * Guards against a second execution of requests after a handover: the predecessor is paused, so the
 * successor cannot report its executions to it; then the successor is killed and the predecessor
 * resumes.
 */
@Timeout(90)
class PausedProcessTest {
  private static final long READY_TIMEOUT_MS = 20_000;

  /** More requests than the socket buffer between the processes holds reports. */
  private static final int MAX_REQUESTS = 600;

  @TempDir private Path folder;

  @Test
  void executionsDuringAPauseOfThePredecessorAreNotRepeated() throws Exception {
    try (HostTestbed testbed = new HostTestbed(folder, "", 12, HostTestbed.Play.of(192))) {
      HostTestbed.Version version =
          new HostTestbed.Version(null, "wharftrestle.Main", testbed.settings(), "");
      DaemonProcess predecessor = testbed.begin(version);
      assertTrue(predecessor.awaitReady(READY_TIMEOUT_MS), predecessor::toString);
      DaemonProcess successor = testbed.begin(version);
      assertTrue(successor.awaitReady(READY_TIMEOUT_MS), predecessor::toString);
      predecessor.setPaused(true);
      List<String> unreportedKeys = new ArrayList<>();
      try (TestClient client = new TestClient(testbed.address())) {
        // An execution whose report does not fit the socket buffer waits a second for it.
        for (int i = 0; i < MAX_REQUESTS && unreportedKeys.size() < 3; i++) {
          String key = "k" + i;
          long startedAt = System.nanoTime();
          assertEquals("done", client.ask("save", 100 + i, key, body(key)).word());
          if (System.nanoTime() - startedAt > 900_000_000L) {
            unreportedKeys.add(key);
          }
        }
      }
      assertFalse(unreportedKeys.isEmpty(), "the socket was never full");
      successor.kill();
      predecessor.setPaused(false);
      assertTrue(predecessor.awaitReady(READY_TIMEOUT_MS), predecessor::toString);
      try (TestClient client = new TestClient(testbed.address())) {
        for (String key : unreportedKeys) {
          assertEquals(
              "error",
              client.ask("save", 5000 + unreportedKeys.indexOf(key), key, body(key)).word(),
              "the outcome is unknown");
        }
        assertEquals(
            "done",
            client.ask("save", 6000, "k0", body("k0")).word(),
            "the predecessor has the reported result");
        assertEquals("done", client.ask("read", 6001, null, "x").word());
      }
      assertEquals(0, testbed.doubleRuns());
    }
  }

  /** A long body, so that few requests fill the socket buffer. */
  private static String body(String key) {
    return key + "\n" + "x".repeat(1500);
  }
}
