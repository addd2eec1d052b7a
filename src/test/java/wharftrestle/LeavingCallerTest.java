package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters.Count;

/** Guards against executions of requests whose caller has left with much still unread or queued. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LeavingCallerTest {
  private static final int REQUESTS = 32;

  /** Time after a caller has left by which the daemon knows it. */
  private static final int KNOWN_AFTER_MS = 60;

  /** A process that gets no CPU for a moment learns of it late, so one round may miss it. */
  private static final int ROUNDS = 5;

  private static final int MIN_GOOD_ROUNDS = 3;

  private static Loopback newHost(Sites.Builder site) throws Exception {
    return new Loopback(site, new DaemonConfig.Appliance(Loopback.any(), null, null, "public", 24));
  }

  /** Returns the references of the executions that have been dispatched by now. */
  private static List<String> dispatched(Loopback host) {
    List<Command> commands = new ArrayList<>();
    host.commands.drainTo(commands);
    return commands.stream().filter(each -> each.verb().equals("spawn")).map(Command::ref).toList();
  }

  private static void assertNothingDispatchedAfterwards(Round round) throws Exception {
    assertNothingDispatchedAfterwards(Sites.site(), round);
  }

  private static void assertNothingDispatchedAfterwards(Sites.Builder site, Round round)
      throws Exception {
    int goodRounds = 0;
    for (int i = 0; i < ROUNDS; i++) {
      try (Loopback host = newHost(site)) {
        round.sendAndLeave(host);
        Thread.sleep(KNOWN_AFTER_MS);
        List<String> before = dispatched(host);
        assertTrue(before.size() < REQUESTS, "all were dispatched: nothing is left to be tested");
        for (String reference : before) {
          host.finish(reference, "cut", 1, ""); // cores become free for what is queued
        }
        Thread.sleep(KNOWN_AFTER_MS);
        goodRounds += dispatched(host).isEmpty() ? 1 : 0;
      }
    }
    assertTrue(goodRounds >= MIN_GOOD_ROUNDS, goodRounds + " of " + ROUNDS + " rounds");
  }

  /** Sends more requests than the worker pool has cores, and ends their connections. */
  private interface Round {
    void sendAndLeave(Loopback host) throws Exception;
  }

  private static Caller sendRequests(Loopback host) throws Exception {
    Caller caller = host.new Caller();
    for (int i = 1; i <= REQUESTS; i++) {
      caller.ask(i, "long", null, "body " + i);
    }
    assertEquals("spawn", host.commands.take().verb());
    return caller;
  }

  @Test
  void connectionReset_withRequestsUnread_dispatchesNoMore() throws Exception {
    assertNothingDispatchedAfterwards(
        host -> {
          Caller caller = sendRequests(host);
          caller.socket.setSoLinger(true, 0);
          caller.close();
        });
  }

  @Test
  void connectionClosed_withRequestsUnread_dispatchesNoMore() throws Exception {
    assertNothingDispatchedAfterwards(host -> sendRequests(host).close());
  }

  /** Another connection sends so much that messages are delayed, and the end is seen late. */
  @Test
  void connectionClosed_whileMessagesAreDelayed_dispatchesNoMore() throws Exception {
    Sites.Builder site = Sites.site();
    site.share = 0.01;
    assertNothingDispatchedAfterwards(
        site,
        host -> {
          Caller flood = host.new Caller();
          for (int i = 1; host.life.counters().get(Count.MESSAGES_DELAYED) == 0; i++) {
            flood.send("STATUS", Integer.toString(i), "");
          }
          sendRequests(host).close();
        });
  }

  @Test
  void gatewaysClosed_withRequestsQueued_dispatchesNoMore() throws Exception {
    assertNothingDispatchedAfterwards(
        host -> {
          List<Socket> gateways = new ArrayList<>();
          for (int i = 0; i < REQUESTS; i++) {
            gateways.add(host.post("/long", "", "body " + i));
          }
          Command first = host.commands.poll(Loopback.WAIT_S, TimeUnit.SECONDS);
          assertEquals("spawn", first.verb());
          for (Socket gateway : gateways) {
            gateway.close();
          }
        });
  }
}
