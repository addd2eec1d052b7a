package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.testbed.RespPeer.Reply;
import wharftrestle.transport.BoundedReader;

/**
 * Guards against executions that get the response to another request's call: a store that sends a
 * second copy behind a response, at any time, must not answer the next call with it.
 */
class StoreResponseCopyTest {
  private static final String FIRST_RESPONSE = Loopback.http("200 OK", "", "of the first");
  private static final String SECOND_RESPONSE = Loopback.http("200 OK", "", "of the second");

  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private static Loopback siteWithStore() throws Exception {
    Sites.Builder site = Sites.site();
    site.calls = true;
    return new Loopback(site);
  }

  private static void awaitCall(Loopback site, String reference) throws InterruptedException {
    String call = site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS);
    assertTrue(call.contains("Request-Ref: " + reference), call);
  }

  /** Sends a second copy of the first response on the connection of the first call. */
  private static void sendCopyOfFirstResponse(Loopback site) {
    Socket connection = site.storeConnections.get(0);
    try {
      connection.getOutputStream().write(BoundedReader.ascii(FIRST_RESPONSE));
    } catch (IOException closedByTheDaemon) {
      assertTrue(site.storeConnections.size() > 0);
    }
  }

  private static void completeFirstCall(Loopback site, Caller caller, String response)
      throws Exception {
    caller.ask(1, "read", null, "x");
    site.command();
    site.block(ref(1), "select 1");
    awaitCall(site, ref(1));
    site.storeReplies.add(response);
    assertEquals(new Command("supply", ref(1), "", "of the first"), site.command());
    site.finish(ref(1), "good", 5, "first result");
    assertEquals(new Reply("1", "done", "", "first result"), caller.reply());
  }

  private static void startSecondCall(Loopback site, Caller caller) throws Exception {
    caller.ask(2, "read", null, "y");
    site.command();
    site.block(ref(2), "select 2");
    awaitCall(site, ref(2));
  }

  private static void assertSecondCallGetsItsOwnResponse(Loopback site) throws Exception {
    site.storeReplies.add(SECOND_RESPONSE);
    assertEquals(new Command("supply", ref(2), "", "of the second"), site.command());
  }

  @Test
  void copySentAfterTheNextCallIsNotItsResponse() throws Exception {
    try (Loopback site = siteWithStore();
        Caller caller = site.new Caller()) {
      completeFirstCall(site, caller, FIRST_RESPONSE);
      startSecondCall(site, caller);
      sendCopyOfFirstResponse(site);
      assertSecondCallGetsItsOwnResponse(site);
    }
  }

  @Test
  void copySentBetweenTheCallsIsNotTheNextResponse() throws Exception {
    try (Loopback site = siteWithStore();
        Caller caller = site.new Caller()) {
      completeFirstCall(site, caller, FIRST_RESPONSE);
      sendCopyOfFirstResponse(site);
      startSecondCall(site, caller);
      assertSecondCallGetsItsOwnResponse(site);
    }
  }

  @Test
  void copySentWithTheResponseIsNotTheNextResponse() throws Exception {
    try (Loopback site = siteWithStore();
        Caller caller = site.new Caller()) {
      completeFirstCall(site, caller, FIRST_RESPONSE + FIRST_RESPONSE);
      startSecondCall(site, caller);
      assertSecondCallGetsItsOwnResponse(site);
    }
  }
}
