package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/** A daemon that was started where hangups are ignored, as by nohup, and whose parties move. */
class HangupTest {
  @TempDir private Path folder;

  @Test
  void aDaemonThatCannotHearAHangupStillTakesOverANewConfiguration() throws Exception {
    try (HostTestbed floor = new HostTestbed(folder, "", 29421, HostTestbed.Play.of(192))) {
      floor.ignoreHangups();
      floor.start();
      try (TestClient desk = new TestClient(floor.address())) {
        assertEquals("done", desk.ask("save", 1, "before", "a").word());
        floor.movePool();
        assertEquals(
            "done", desk.ask("save", 2, "after", "b").word(), "its worker pool was found again");
      }
      String log = Files.readString(folder.resolve("daemon.log"));
      assertTrue(log.contains("SIGHUP is ignored by whoever started this process"), log);
      assertTrue(log.contains("n1 has a new configuration"), log);
      assertEquals(
          1, log.lines().filter(line -> line.contains("has a new configuration")).count(), "once");
    }
  }
}
