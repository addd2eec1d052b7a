package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.ResultStore;
import wharftrestle.storage.WriteAheadLog;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/**
 * Guards against a daemon that serves nobody after a restart, because reading its stored results
 * took all direct memory. The daemons are started by deploy/run.sh, which sets the limits.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class StoredResultsStartTest {
  private static final int KEYS = 20;
  private static final int READY_TIMEOUT_MS = 20_000;
  private static final int EXIT_TIMEOUT_MS = 20_000;

  /** More starts than half of the allowed segments, so that one of them compacts the log. */
  private static final int STARTS_UNTIL_COMPACTION = 10;

  private static final double WINDOW_SECONDS = 60;

  /** With a number behind it, the longest key of the platform's protocol. */
  private static final String LONG_PREFIX =
      "a-key-of-64-characters-a-key-of-64-characters-a-key-of-64-";

  @TempDir private Path folder;

  private int references;

  private String script(String settings) {
    return "durable(dir = \"" + folder.resolve("results") + "\"" + settings + ")\n";
  }

  private HostTestbed newTestbed(int memoryMb, String settings) throws IOException {
    HostTestbed testbed =
        new HostTestbed(folder, script(settings), 29421, HostTestbed.Play.of(memoryMb));
    testbed.useRunScript();
    return testbed;
  }

  /** Asks for new keys; returns the results by key. */
  private Map<String, byte[]> serveNewKeys(HostTestbed testbed, int count) throws IOException {
    Map<String, byte[]> results = new LinkedHashMap<>();
    try (TestClient client = new TestClient(testbed.address())) {
      for (int i = 0; i < count; i++) {
        String key = "key-" + ++references;
        TestClient.Reply reply = client.ask("save", references, key, "body of " + key);
        assertEquals("done", reply.word(), key);
        results.put(key, reply.bytes());
      }
    }
    return results;
  }

  private void assertDuplicatesGetTheirResults(HostTestbed testbed, Map<String, byte[]> results)
      throws IOException {
    try (TestClient client = new TestClient(testbed.address())) {
      for (Map.Entry<String, byte[]> served : results.entrySet()) {
        String key = served.getKey();
        TestClient.Reply reply = client.ask("save", ++references, key, "body of " + key);
        assertEquals("done", reply.word(), key);
        assertArrayEquals(served.getValue(), reply.bytes(), key);
      }
    }
    assertEquals(0, testbed.doubleRuns(), "executions of a key after its first");
  }

  @ParameterizedTest(name = "memory_mb {0}{1}")
  @CsvSource({
    "64, ''",
    "64, ', max_mb = 4'",
    "52, ', max_mb = 64'",
    "192, ', max_mb = 64'",
    "64, ', max_mb = 65536'"
  })
  void startAfterKill_answersDuplicatesAndNewRequests(int memoryMb, String settings)
      throws Exception {
    try (HostTestbed testbed = newTestbed(memoryMb, settings)) {
      testbed.start();
      Map<String, byte[]> results = serveNewKeys(testbed, KEYS);
      testbed.daemon().kill();

      testbed.start();

      assertDuplicatesGetTheirResults(testbed, results);
      serveNewKeys(testbed, KEYS);
    }
  }

  @Test
  void restartsUntilCompaction_answerDuplicatesAndNewRequests() throws Exception {
    try (HostTestbed testbed = newTestbed(64, "")) {
      Map<String, byte[]> results = new LinkedHashMap<>();
      for (int start = 0; start < STARTS_UNTIL_COMPACTION; start++) {
        testbed.start();
        results.putAll(serveNewKeys(testbed, 2));
        testbed.daemon().kill();
      }

      testbed.start();

      assertTrue(
          figure(testbed.daemon(), "files") < STARTS_UNTIL_COMPACTION, "the log was compacted");
      assertDuplicatesGetTheirResults(testbed, results);
    }
  }

  @Test
  void startAfterShutdown_answersDuplicatesAndNewRequests() throws Exception {
    try (HostTestbed testbed = newTestbed(64, "")) {
      testbed.start();
      Map<String, byte[]> results = serveNewKeys(testbed, KEYS);
      testbed.daemon().terminate();
      assertEquals(0, testbed.daemon().awaitExit(EXIT_TIMEOUT_MS));

      testbed.start();

      assertDuplicatesGetTheirResults(testbed, results);
      serveNewKeys(testbed, KEYS);
    }
  }

  /** Stored keys begin with the position of their class, which then belongs to another class. */
  @Test
  void startWithClassesInAnotherOrder_executesNoKeyTwice() throws Exception {
    try (HostTestbed testbed = newTestbed(64, "")) {
      HostTestbed.Settings settings = testbed.settings();
      DaemonProcess first = startWith(testbed, settings);
      Map<String, byte[]> results = serveNewKeys(testbed, KEYS);
      first.kill();

      HostTestbed.Settings reversed =
          new HostTestbed.Settings(
              settings.memoryMb(), settings.keyWindowSeconds(), true, settings.extraClass());
      startWith(testbed, reversed);

      try (TestClient client = new TestClient(testbed.address())) {
        for (String key : results.keySet()) {
          String word = client.ask("save", ++references, key, "body of " + key).word();
          assertEquals("error", word, key);
        }
        assertEquals("done", client.ask("read", ++references, null, "no key").word());
      }
      assertEquals(0, testbed.doubleRuns(), "executions of a key after its first");
    }
  }

  private DaemonProcess startWith(HostTestbed testbed, HostTestbed.Settings settings)
      throws IOException {
    DaemonProcess daemon =
        testbed.begin(new HostTestbed.Version(null, "wharftrestle.Main", settings, script("")));
    assertTrue(daemon.awaitReady(READY_TIMEOUT_MS), daemon.log());
    return daemon;
  }

  @Test
  void successorInAnUpgrade_answersDuplicatesAndNewRequests() throws Exception {
    try (HostTestbed testbed = newTestbed(64, "")) {
      HostTestbed.Version version =
          new HostTestbed.Version(null, "wharftrestle.Main", testbed.settings(), script(""));
      DaemonProcess predecessor = testbed.begin(version);
      assertTrue(predecessor.awaitReady(READY_TIMEOUT_MS), predecessor.log());
      Map<String, byte[]> results = serveNewKeys(testbed, KEYS);

      DaemonProcess successor = testbed.begin(version);

      assertTrue(successor.awaitReady(READY_TIMEOUT_MS), successor.log());
      predecessor.terminate();
      assertEquals(0, predecessor.awaitExit(EXIT_TIMEOUT_MS));
      assertDuplicatesGetTheirResults(testbed, results);
      serveNewKeys(testbed, KEYS);
    }
  }

  /**
   * Keys that expired before a reboot count as live after it, so a log may have more keys than the
   * daemon ever had at once.
   */
  @ParameterizedTest(name = "memory_mb {0}, {1} keys beginning with {2}")
  @CsvSource({"64, 150000, key", "52, 60000, " + LONG_PREFIX})
  void startWithMoreKeysThanMemoryHasSpaceFor_servesAndExecutesNoKeyTwice(
      int memoryMb, int keys, String prefix) throws Exception {
    writeKeys(folder.resolve("results"), keys, prefix);
    try (HostTestbed testbed = newTestbed(memoryMb, ", max_mb = 128")) {
      testbed.start();

      try (TestClient client = new TestClient(testbed.address())) {
        assertEquals("done", client.ask("read", 1, null, "no key").word());
        assertEquals("error", client.ask("save", 2, prefix + 0, "body").word(), "dropped key");
        assertEquals(
            "error", client.ask("save", 3, prefix + (keys - 1), "body").word(), "kept key");
      }
      assertEquals(0, testbed.executions("body"));
      assertTrue(figure(testbed.daemon(), "recovered_unknown") > 1000);
    }
  }

  /** Writes keys of the class "save" whose executions failed. */
  private static void writeKeys(Path results, int count, String prefix) throws Exception {
    DaemonConfig.Durable settings =
        new DaemonConfig.Durable(results, 128L << 20, count, 1 << 20, 5, "none");
    try (WriteAheadLog log = new WriteAheadLog(settings)) {
      log.open(WINDOW_SECONDS);
      for (int i = 0; i < count; i++) {
        ResultStore.KeyRecord key =
            new ResultStore.KeyRecord(
                "1/0/" + prefix + i, System.currentTimeMillis() + 60_000, WINDOW_SECONDS, i);
        while (log.writeIntent(key, location -> {}) == null) {
          Thread.sleep(1); // until the writer has caught up
        }
        log.writeResult(key, null, location -> {});
      }
    }
  }

  private static long figure(DaemonProcess daemon, String name) throws IOException {
    return daemon
        .get("/_results")
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToLong(line -> Long.parseLong(line.trim().split(" +", 0)[1]))
        .findFirst()
        .orElseThrow();
  }
}
