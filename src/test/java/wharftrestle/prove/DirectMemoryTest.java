package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/**
 * Guards against sockets that fail at full load, because the threads of connections and requests
 * together keep more direct memory than deploy/run.sh allows. The daemons are started by it.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DirectMemoryTest {
  private static final int CONNECTIONS = 1600;
  private static final int CONCURRENT_REQUESTS = 180;
  private static final int REQUESTS_EACH = 30;
  private static final int MAX_LOG_CHARS = 3000;

  @TempDir private Path folder;

  private HostTestbed newTestbed(int memoryMb, int maxResultBytes) throws IOException {
    HostTestbed testbed =
        new HostTestbed(
            folder,
            "",
            29421,
            new HostTestbed.Play("wharftrestle.Main", memoryMb, 24, maxResultBytes));
    testbed.useRunScript();
    return testbed;
  }

  /** What a test does with a daemon that is ready. */
  private interface Load {
    void run(HostTestbed testbed) throws Exception;
  }

  /** Runs a load; if it fails or memory does not suffice, the failure shows the daemon's log. */
  private static void assertServes(HostTestbed testbed, Load load) throws Exception {
    testbed.start();
    try {
      load.run(testbed);
    } catch (IOException | ExecutionException e) {
      throw new AssertionError("a connection failed; the daemon's log:\n" + logEnd(testbed), e);
    }
    assertFalse(testbed.daemon().log().contains("OutOfMemoryError"), logEnd(testbed));
  }

  private static String logEnd(HostTestbed testbed) throws IOException {
    String log = testbed.daemon().log();
    return log.substring(Math.max(0, log.length() - MAX_LOG_CHARS));
  }

  /**
   * Each connection's thread writes the result of a duplicate, so it keeps a buffer of that size.
   */
  @Test
  void connectionsUpToTheLimitOfALargeHost_allGetTheirAnswer() throws Exception {
    List<TestClient> clients = new ArrayList<>();
    try (HostTestbed testbed = newTestbed(1024, 4000)) {
      testbed.configureLimits(8, 4096);
      assertServes(testbed, host -> openConnections(host, clients));
    } finally {
      for (TestClient client : clients) {
        client.close();
      }
    }
  }

  private static void openConnections(HostTestbed testbed, List<TestClient> clients)
      throws IOException {
    for (int i = 0; i < CONNECTIONS; i++) {
      TestClient client = new TestClient(testbed.address());
      clients.add(client);
      assertEquals("done", client.ask("save", i, "one key", "one body").word(), "client " + i);
    }
    for (int i = 0; i < CONNECTIONS; i++) {
      TestClient client = clients.get(i);
      long reference = (long) CONNECTIONS + i;
      assertEquals("done", client.ask("save", reference, "one key", "one body").word());
    }
  }

  /** Each request's thread writes a result of the largest size that the worker pool may send. */
  @Test
  void requestsUpToTheLimitWithLargestResults_allGetTheirAnswer() throws Exception {
    ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_REQUESTS);
    try (HostTestbed testbed = newTestbed(192, 60_000)) {
      assertServes(testbed, host -> sendConcurrently(host, callers));
    } finally {
      callers.shutdownNow();
    }
  }

  private static void sendConcurrently(HostTestbed testbed, ExecutorService callers)
      throws Exception {
    List<Future<Integer>> served = new ArrayList<>();
    for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
      int caller = i;
      served.add(callers.submit((Callable<Integer>) () -> serve(testbed, caller)));
    }
    int total = 0;
    for (Future<Integer> each : served) {
      total += each.get();
    }
    assertTrue(total > CONCURRENT_REQUESTS * REQUESTS_EACH / 2, total + " served");
  }

  /** Sends requests one at a time; returns how many were served and not rejected. */
  private static int serve(HostTestbed testbed, int caller) throws IOException {
    int served = 0;
    try (TestClient client = new TestClient(testbed.address())) {
      for (int i = 0; i < REQUESTS_EACH; i++) {
        long reference = 1000L * (caller + 1) + i;
        served +=
            client.ask("read", reference, null, "body " + reference).word().equals("done") ? 1 : 0;
      }
    }
    return served;
  }
}
