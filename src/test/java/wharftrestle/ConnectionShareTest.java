package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wharftrestle.Loopback.Caller;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters.Count;

/** Guards against one connection that takes all places of requests in flight from the others. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ConnectionShareTest {
  private static final int MAX_IN_FLIGHT = 30;
  private static final int MAX_OPEN = 32;

  @Test
  void oneConnectionSendsAllItMay_othersAreStillTakenIn() throws Exception {
    DaemonConfig.Appliance withGateways =
        new DaemonConfig.Appliance(Loopback.any(), null, null, "public", 24);
    try (Loopback host = new Loopback(Sites.site(), withGateways);
        Caller greedy = host.new Caller();
        Caller other = host.new Caller()) {
      host.life.requestCoordinator().setMaxInFlight(MAX_IN_FLIGHT);
      for (int i = 1; i <= MAX_OPEN; i++) {
        greedy.ask(i, "long", null, "greedy " + i);
      }
      // Two thirds are its share; the rest is rejected at once and may be sent elsewhere.
      int share = 2 * MAX_IN_FLIGHT / 3;
      for (int i = share; i < MAX_OPEN; i++) {
        assertEquals("later", greedy.reply().word());
      }
      long rejections = host.life.counters().get(Count.GUARD_REJECTIONS);
      other.ask(1, 100, System.currentTimeMillis(), "long", null, "other");
      Socket gateway = host.post("/long", "", "gateway");
      awaitRequests(host, MAX_OPEN + 2);
      assertEquals(rejections, host.life.counters().get(Count.GUARD_REJECTIONS));
      gateway.close();
    }
  }

  private static void awaitRequests(Loopback host, int count) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_S);
    while (host.life.counters().get(Count.REQUESTS) < count) {
      assertTrue(System.nanoTime() < deadline, "requests were not read");
      Thread.onSpinWait();
    }
  }
}
