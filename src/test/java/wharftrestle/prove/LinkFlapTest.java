package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/** A worker pool whose address takes connections and ends each at once, for seconds. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LinkFlapTest {
  private static final Pattern LINKS = Pattern.compile("(\\d+)\\s+worker pool links made");
  private static final int TRIES = 60; // of 50 ms each, at the least

  private static final long MOST_NANOS = 30_000_000_000L;

  @TempDir private Path folder;

  private static int links(DaemonProcess daemon) throws Exception {
    Matcher said = LINKS.matcher(daemon.get("/_counters"));
    assertTrue(said.find(), "the door tells the links made");
    return Integer.parseInt(said.group(1));
  }

  @Test
  void itIsOneLineASecondAndItComesBack() throws Exception {
    try (HostTestbed floor = new HostTestbed(folder, "", 29421, HostTestbed.Play.of(192), true)) {
      floor.start();
      DaemonProcess daemon = floor.daemon();
      int before = links(daemon);
      long began = System.nanoTime();
      floor.link("pool").refuse();
      floor.link("pool").cut();
      while (links(daemon) < before + TRIES && System.nanoTime() - began < MOST_NANOS) {
        Thread.onSpinWait();
      }
      assertTrue(links(daemon) >= before + TRIES, "it tries again");
      double seconds = (System.nanoTime() - began) / 1e9;
      long lines = daemon.log().lines().filter(line -> line.contains("worker pool link")).count();
      assertTrue(lines >= 1 && lines <= 2 + seconds, lines + " lines in " + seconds + " s");
      floor.link("pool").heal();
      try (TestClient desk = new TestClient(floor.address())) {
        assertEquals("done", desk.ask("save", 1, "key", "body").word());
      }
    }
  }
}
