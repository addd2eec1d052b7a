package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/**
 * Guards against a daemon that no longer serves front ends, operators and the worker pool because
 * idle connections use up its descriptors, while the name service is gone.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // interrupts a busy wait
class FullDescriptorsTest {
  private static final int DESCRIPTOR_LIMIT = 96;

  /** Open jars of this class path; a deployed daemon has a single jar. */
  private static final int JAR_DESCRIPTORS = 40;

  /** Twice the number of connections for which there are descriptors. */
  private static final int IDLE_CONNECTIONS = 200;

  private static final int MAX_LOG_LINES = 30;
  private static final long RECOVERY_NANOS = 20_000_000_000L;
  private static final int MAX_ATTEMPTS = 100;

  @TempDir private Path folder;

  private static long openDescriptors(HostTestbed testbed) throws IOException {
    try (Stream<Path> descriptors =
        Files.list(Path.of("/proc", Long.toString(testbed.daemon().pid()), "fd"))) {
      return descriptors.count();
    }
  }

  /**
   * Sends a request on a new connection, and again if it is refused, as can happen on a busy
   * machine.
   */
  private static String ask(HostTestbed testbed, int number) throws IOException {
    String replyWord = "";
    for (int attempt = 0; attempt < MAX_ATTEMPTS && !replyWord.equals("done"); attempt++) {
      try (TestClient client = new TestClient(testbed.address())) {
        replyWord =
            client.ask("save", 1000L * number + attempt, "key " + number, "body " + number).word();
      }
    }
    return replyWord;
  }

  @Test
  void daemonStaysWithinItsConfiguredDescriptorLimit() throws Exception {
    String log = runWithLimits(DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT + JAR_DESCRIPTORS);
    assertTrue(!log.contains("Too many open files") && !log.contains("no descriptor is left"), log);
  }

  /** The configured limit is four times the actual one. */
  @Test
  void daemonServesWithFewerDescriptorsThanConfigured() throws Exception {
    String log = runWithLimits(4 * DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT + JAR_DESCRIPTORS);
    assertTrue(log.contains("no descriptor is left"), log);
  }

  /** Checks that requests, operators and links are served throughout; returns the log. */
  private String runWithLimits(int configured, int actualLimit) throws Exception {
    List<TestClient> idle = new ArrayList<>();
    try (HostTestbed testbed = new HostTestbed(folder, "", 29421, HostTestbed.Play.of(192))) {
      testbed.limitDescriptors(configured, actualLimit);
      testbed.start();
      assertEquals("done", ask(testbed, 1), "before");
      long descriptorsBefore = openDescriptors(testbed);
      testbed.closeNameService();
      for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        TestClient idleClient = new TestClient(testbed.address());
        idle.add(idleClient);
        if (i % 2 == 0) {
          idleClient.send("STATUS", "1", ""); // every other one has sent a command
        }
        if (i % 10 == 0) {
          assertEquals("done", ask(testbed, 100 + i), "a front end with a request is served");
          assertTrue(
              testbed.daemon().get("/_ready").startsWith("HTTP/1.1 200 "),
              "the admin endpoint replies");
        }
        assertTrue(
            openDescriptors(testbed) <= actualLimit, openDescriptors(testbed) + " descriptors");
      }
      testbed.moveWorkerPool(); // needs a new link while descriptors are scarce
      new ProcessBuilder("kill", "-HUP", Long.toString(testbed.daemon().pid())).start().waitFor();
      assertEquals("done", ask(testbed, 2), "the daemon connected to the moved worker pool");
      for (TestClient client : idle) {
        client.close();
      }
      long deadline = System.nanoTime() + RECOVERY_NANOS;
      while (openDescriptors(testbed) > descriptorsBefore + JAR_DESCRIPTORS / 2
          && System.nanoTime() < deadline) {
        Thread.onSpinWait();
      }
      assertTrue(
          openDescriptors(testbed) <= descriptorsBefore + JAR_DESCRIPTORS / 2,
          openDescriptors(testbed) + " descriptors after, " + descriptorsBefore + " before");
      assertEquals("done", ask(testbed, 3), "after");
      assertTrue(testbed.daemon().log().lines().count() < MAX_LOG_LINES, testbed.daemon().log());
      return testbed.daemon().log();
    } finally {
      for (TestClient client : idle) {
        client.close();
      }
    }
  }
}
