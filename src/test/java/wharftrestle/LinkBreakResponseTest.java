package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.testbed.RespPeer.Reply;

/**
 * Guards against executions that get the response to their first call as the response to their
 * second: after a break of the worker pool link, a response that may have been read is not sent
 * again.
 */
class LinkBreakResponseTest {
  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private static Sites.Builder siteWithStore() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    return site;
  }

  /** Starts a request and lets the worker pool read the response to its first call. */
  private static void deliverFirstResponse(
      Loopback site, Caller caller, String className, String key) throws Exception {
    caller.ask(1, className, key, "x");
    assertEquals("spawn", site.command().verb());
    site.block(ref(1), "first call");
    site.storeReplies.add(Loopback.http("200 OK", "", "first row"));
    assertEquals(new Command("supply", ref(1), "", "first row"), site.command());
  }

  @Test
  void responseReadBeforeTheBreakIsNotSentAgain() throws Exception {
    try (Loopback site = new Loopback(siteWithStore());
        Caller caller = site.new Caller()) {
      deliverFirstResponse(site, caller, "keyed", "k");
      caller.ask(2, "read", null, "y");
      assertEquals("spawn", site.command().verb());
      site.breakLink();
      assertEquals(new Command("bind", "", "1", ""), site.command());
      // Commands are repeated in their order, and the response was sent before this one.
      assertEquals(new Command("spawn", ref(2), "read", "y"), site.command());
      site.block(ref(1), "second call");
      site.storeReplies.add(Loopback.http("200 OK", "", "second row"));
      assertEquals(new Command("supply", ref(1), "", "second row"), site.command());
      site.finish(ref(1), "good", 9, "done");
      assertEquals(new Reply("1", "done", "", "done"), caller.reply());
    }
  }

  @Test
  void responseReadBeforeSeveralBreaksIsNotSentAgain() throws Exception {
    try (Loopback site = new Loopback(siteWithStore());
        Caller caller = site.new Caller()) {
      deliverFirstResponse(site, caller, "keyed", "k");
      for (int i = 0; i < 3; i++) {
        site.breakLink();
        assertEquals(new Command("bind", "", "1", ""), site.command());
      }
      site.block(ref(1), "second call");
      site.storeReplies.add(Loopback.http("200 OK", "", "second row"));
      assertEquals(new Command("supply", ref(1), "", "second row"), site.command());
    }
  }

  @Test
  void responseLostWithTheLinkFailsItsRequestBeforeTheDeadline() throws Exception {
    Sites.Builder builder = siteWithStore();
    builder.haste = 8; // class long: latency objective 1 s, deadline 2.5 s
    try (Loopback site = new Loopback(builder);
        Caller caller = site.new Caller()) {
      long startedNanos = System.nanoTime();
      deliverFirstResponse(site, caller, "long", null);
      site.breakLink();
      assertEquals("bind", site.command().verb());
      assertEquals("error", caller.reply().word());
      double seconds = (System.nanoTime() - startedNanos) / 1e9;
      assertTrue(seconds >= 1 && seconds < 2, "answered after " + seconds + " s");
      assertEquals(1, site.life.counters().get(Count.RESPONSES_UNCONFIRMED));
    }
  }

  @Test
  void callWhoseResponseMayBeLostIsSkippedWhereTheClassPermitsIt() throws Exception {
    Sites.Builder builder = siteWithStore();
    builder.weightWithoutCall = 0.5;
    try (Loopback site = new Loopback(builder);
        Caller caller = site.new Caller()) {
      deliverFirstResponse(site, caller, "read", null);
      site.breakLink();
      assertEquals("bind", site.command().verb());
      // Names the call, so that it has no effect if the response was read.
      assertEquals(new Command("pass", ref(1), "1", ""), site.command());
      site.finish(ref(1), "good", 9, "done");
      assertEquals(new Reply("1", "done", "", "done"), caller.reply());
    }
  }

  @Test
  void keyWhoseResponseIsLostIsNeitherRejectedNorExecutedAgain() throws Exception {
    try (Loopback site = new Loopback(siteWithStore());
        Caller caller = site.new Caller()) {
      deliverFirstResponse(site, caller, "keyed", "k");
      site.breakLink();
      assertEquals("bind", site.command().verb());
      assertEquals("error", caller.reply().word());
      site.finish(ref(1), "cut", 9, ""); // the worker pool ends it at its call
      caller.ask(2, "keyed", "k", "x");
      assertEquals("error", caller.reply().word());
      Command next = site.commands.poll(100, TimeUnit.MILLISECONDS);
      while (next != null && next.verb().equals("suspend")) {
        next = site.commands.poll(100, TimeUnit.MILLISECONDS);
      }
      assertNull(next, "no second execution");
    }
  }
}
