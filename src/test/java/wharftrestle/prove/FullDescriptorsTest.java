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
 * A real process that may hold few descriptors, and idle clients that would fill them while the
 * name service is gone.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a story may spin
class FullDescriptorsTest {
  private static final int ALLOWED = 96;

  /** Files of this build's many jars, which a daemon on the platform does not have: it has one. */
  private static final int JARS = 40;

  /** Twice what it has room for. */
  private static final int IDLE = 200;

  private static final int MOST_LINES = 30;
  private static final long BACK_NANOS = 20_000_000_000L;
  private static final int MOST_TRIES = 100;

  @TempDir private Path folder;

  private static long held(HostTestbed floor) throws IOException {
    try (Stream<Path> all =
        Files.list(Path.of("/proc", Long.toString(floor.daemon().pid()), "fd"))) {
      return all.count();
    }
  }

  /**
   * A front end's work on a new connection; a refusal, as on a busy machine, is an answer and is
   * asked again.
   */
  private static String ask(HostTestbed floor, int number) throws IOException {
    String word = "";
    for (int tries = 0; tries < MOST_TRIES && !word.equals("done"); tries++) {
      try (TestClient desk = new TestClient(floor.address())) {
        word = desk.ask("save", 1000L * number + tries, "key " + number, "body " + number).word();
      }
    }
    return word;
  }

  @Test
  void allPartsFitWhatItIsAllowed() throws Exception {
    String log = play(ALLOWED, ALLOWED + JARS);
    assertTrue(!log.contains("Too many open files") && !log.contains("no descriptor is left"), log);
  }

  /** What the configuration says is four times what there is. */
  @Test
  void withFewerThanItWasToldItMakesDo() throws Exception {
    String log = play(4 * ALLOWED, ALLOWED + JARS);
    assertTrue(log.contains("no descriptor is left"), log);
  }

  /** Work, operators and links get in before, during and after; what was logged. */
  private String play(int told, int allowed) throws Exception {
    List<TestClient> idle = new ArrayList<>();
    try (HostTestbed floor = new HostTestbed(folder, "", 29421, HostTestbed.Play.of(192))) {
      floor.limitDescriptors(told, allowed);
      floor.start();
      assertEquals("done", ask(floor, 1), "before");
      long before = held(floor);
      floor.loseNames();
      for (int i = 0; i < IDLE; i++) {
        TestClient rests = new TestClient(floor.address());
        idle.add(rests);
        if (i % 2 == 0) {
          rests.send("STATUS", "1", ""); // every other one was heard, and rests
        }
        if (i % 10 == 0) {
          assertEquals("done", ask(floor, 100 + i), "a front end with work gets in");
          assertTrue(
              floor.daemon().get("/_ready").startsWith("HTTP/1.1 200 "), "and so do operators");
        }
        assertTrue(held(floor) <= allowed, held(floor) + " descriptors");
      }
      floor.movePool(); // a new link, while all is full
      new ProcessBuilder("kill", "-HUP", Long.toString(floor.daemon().pid())).start().waitFor();
      assertEquals("done", ask(floor, 2), "the worker pool's new link could be made");
      for (TestClient each : idle) {
        each.close();
      }
      long until = System.nanoTime() + BACK_NANOS;
      while (held(floor) > before + JARS / 2 && System.nanoTime() < until) {
        Thread.onSpinWait();
      }
      assertTrue(
          held(floor) <= before + JARS / 2,
          held(floor) + " descriptors after, " + before + " before");
      assertEquals("done", ask(floor, 3), "after");
      assertTrue(floor.daemon().log().lines().count() < MOST_LINES, floor.daemon().log());
      return floor.daemon().log();
    } finally {
      for (TestClient each : idle) {
        each.close();
      }
    }
  }
}
