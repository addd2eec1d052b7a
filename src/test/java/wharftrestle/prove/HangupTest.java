package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/** A daemon started with SIGHUP ignored, as by nohup, still loads a changed configuration. */
class HangupTest {
  @TempDir private Path folder;

  @Test
  void newConfigurationIsLoadedWhereSighupIsIgnored() throws Exception {
    try (HostTestbed testbed = new HostTestbed(folder, "", 29421, HostTestbed.Play.of(192))) {
      testbed.ignoreHangups();
      testbed.start();
      try (TestClient client = new TestClient(testbed.address())) {
        assertEquals("done", client.ask("save", 1, "before", "a").word());
        testbed.moveWorkerPool();
        assertEquals(
            "done",
            client.ask("save", 2, "after", "b").word(),
            "the daemon connected to the moved worker pool");
      }
      String log = Files.readString(folder.resolve("daemon.log"));
      assertTrue(log.contains("SIGHUP is ignored by whoever started this process"), log);
      assertTrue(log.contains("n1 has a new configuration"), log);
      assertEquals(
          1, log.lines().filter(line -> line.contains("has a new configuration")).count(), "once");
    }
  }
}
