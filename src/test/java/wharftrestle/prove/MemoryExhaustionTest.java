package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;

/**
 * Guards against a daemon that lacks memory and lives on without serving anybody, and against a
 * stack trace in place of one clear line. The daemons are started by deploy/run.sh.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MemoryExhaustionTest {
  private static final int EXIT_TIMEOUT_MS = 30_000;
  private static final int LARGE_FILE_BYTES = 5 << 20;
  private static final int USAGE_ERROR = 2;
  private static final int SOFTWARE_ERROR = 1;

  @TempDir private Path folder;

  private HostTestbed newTestbed(String script) throws Exception {
    HostTestbed testbed = new HostTestbed(folder, script, 29421, HostTestbed.Play.of(64));
    testbed.useRunScript();
    return testbed;
  }

  /** Starts a daemon and waits until it ends; returns the lines that say why it ended. */
  private static List<String> reasonsOfTheEnd(HostTestbed testbed, int exitCode) throws Exception {
    DaemonProcess daemon = testbed.launch();
    assertEquals(exitCode, daemon.awaitExit(EXIT_TIMEOUT_MS), daemon.log());
    assertTrue(!daemon.log().contains("Exception in thread"), daemon.log());
    return daemon.log().lines().filter(line -> line.startsWith("wharftrestle: ")).toList();
  }

  /** The limit suffices to read the configuration, but not for a socket beside it. */
  @Test
  void daemonWithoutDirectMemoryForItsLink_endsWithOneLine() throws Exception {
    try (HostTestbed testbed = newTestbed("")) {
      testbed.setEnvironment("_JAVA_OPTIONS", "-XX:MaxDirectMemorySize=12k");

      List<String> reasons = reasonsOfTheEnd(testbed, SOFTWARE_ERROR);

      assertEquals(1, reasons.size(), reasons.toString());
      assertTrue(reasons.get(0).contains("out of memory"), reasons.toString());
    }
  }

  /** The limit does not suffice to read the configuration. */
  @Test
  void daemonWithoutDirectMemoryForItsStart_endsWithOneLine() throws Exception {
    try (HostTestbed testbed = newTestbed("")) {
      testbed.setEnvironment("_JAVA_OPTIONS", "-XX:MaxDirectMemorySize=1k");

      List<String> reasons = reasonsOfTheEnd(testbed, SOFTWARE_ERROR);

      assertEquals(1, reasons.size(), reasons.toString());
      assertTrue(reasons.get(0).contains("out of memory"), reasons.toString());
    }
  }

  @Test
  void configurationLongerThanMemory_endsTheStartWithOneLine() throws Exception {
    try (HostTestbed testbed = newTestbed("")) {
      Path file = folder.resolve("config.json");
      Files.writeString(file, Files.readString(file) + " ".repeat(LARGE_FILE_BYTES));

      List<String> reasons = reasonsOfTheEnd(testbed, USAGE_ERROR);

      assertEquals(1, reasons.size(), reasons.toString());
      assertTrue(reasons.get(0).contains("is longer than"), reasons.toString());
    }
  }

  @Test
  void settingsLongerThanMemory_endTheStartWithOneLine() throws Exception {
    try (HostTestbed testbed = newTestbed("#".repeat(LARGE_FILE_BYTES))) {
      List<String> reasons = reasonsOfTheEnd(testbed, USAGE_ERROR);

      assertEquals(1, reasons.size(), reasons.toString());
      assertTrue(reasons.get(0).contains("longer than"), reasons.toString());
    }
  }
}
