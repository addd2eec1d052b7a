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

/**
 * Guards against a flood of log lines from a worker pool whose address accepts connections and
 * closes each at once.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LinkFlapTest {
  private static final Pattern LINKS_PATTERN = Pattern.compile("(\\d+)\\s+worker pool links made");
  private static final int ATTEMPTS = 60; // each takes at least 50 ms

  private static final long MAX_NANOS = 30_000_000_000L;

  @TempDir private Path folder;

  private static int links(DaemonProcess daemon) throws Exception {
    Matcher matcher = LINKS_PATTERN.matcher(daemon.get("/_counters"));
    assertTrue(matcher.find(), "the admin endpoint reports the links made");
    return Integer.parseInt(matcher.group(1));
  }

  @Test
  void flappingLinkLogsAtMostOneLineASecondAndRecovers() throws Exception {
    try (HostTestbed testbed = new HostTestbed(folder, "", 29421, HostTestbed.Play.of(192), true)) {
      testbed.start();
      DaemonProcess daemon = testbed.daemon();
      int linksBefore = links(daemon);
      long startedAt = System.nanoTime();
      testbed.link("pool").refuse();
      testbed.link("pool").cut();
      while (links(daemon) < linksBefore + ATTEMPTS && System.nanoTime() - startedAt < MAX_NANOS) {
        Thread.onSpinWait();
      }
      assertTrue(links(daemon) >= linksBefore + ATTEMPTS, "the daemon retries");
      double seconds = (System.nanoTime() - startedAt) / 1e9;
      long lines = daemon.log().lines().filter(line -> line.contains("worker pool link")).count();
      assertTrue(lines >= 1 && lines <= 2 + seconds, lines + " lines in " + seconds + " s");
      testbed.link("pool").heal();
      try (TestClient client = new TestClient(testbed.address())) {
        assertEquals("done", client.ask("save", 1, "key", "body").word());
      }
    }
  }
}
