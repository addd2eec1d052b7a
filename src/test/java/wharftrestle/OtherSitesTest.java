package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.testbed.RespPeer.Reply;

/**
 * Tests of sites with other settings: no store, work hints, marked retries, and executions that are
 * stopped past their latency objective.
 */
class OtherSitesTest {
  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private static void ask(Caller caller, int tag, String type, String extraFields, String body)
      throws Exception {
    ask(caller, System.currentTimeMillis(), tag, type, extraFields, body);
  }

  private static void ask(
      Caller caller, long timestampMs, int tag, String type, String extraFields, String body)
      throws Exception {
    caller.send(
        "ASK",
        Integer.toString(tag),
        type,
        String.format(
            "txn=%s,door=%d,lb=1,ram=24.5,standing=0.5%s", ref(tag), timestampMs, extraFields),
        body);
  }

  @Test
  void siteWithoutAStoreServesRequestsAndFailsDependencyCalls() throws Exception {
    Sites.Builder withoutStore = Sites.site();
    assertFalse(withoutStore.calls);
    try (Loopback site = new Loopback(withoutStore);
        Caller caller = site.new Caller()) {
      ask(caller, 1, "read", "", "a");
      assertEquals(new Command("spawn", ref(1), "read", "a"), site.command());
      site.finish(ref(1), "good", 3, "done a");
      assertEquals(new Reply("1", "done", "", "done a"), caller.reply());
      ask(caller, 2, "unsafe", "", "b");
      site.command();
      site.block(ref(2), "insert");
      assertEquals("error", caller.reply().word(), "a call without a store fails at once");
      assertTrue(site.calls.isEmpty());
    }
  }

  @Test
  void reloadWithoutAStoreIsAppliedOnlyIfTheSettingsNeedNone() throws Exception {
    Sites.Builder withStore = Sites.site();
    withStore.calls = true;
    try (Loopback site = new Loopback(withStore);
        Loopback other = new Loopback(Sites.site())) {
      DaemonConfig storeless = other.movePeers(Sites.site());
      site.life.reload(() -> storeless);
      assertEquals(0, site.life.counters().get(Count.RELOADS));
      other.life.reload(() -> storeless);
      assertEquals(1, other.life.counters().get(Count.RELOADS));
    }
  }

  @Test
  void workHintDecidesWhichRequestIsDispatchedNext() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      // Idle cores would raise the concurrency limit and start the third before the fourth arrives.
      site.reportedCpuBusy = 1;
      for (int i = 1; i <= 2; i++) {
        ask(caller, i, "read", ",cpu=100.00", "busy " + i);
        assertEquals(ref(i), site.command().ref());
      }
      long timestampMs = System.currentTimeMillis(); // equal deadlines, whenever they are read
      ask(caller, timestampMs, 3, "read", ",cpu=140.00", "large");
      ask(caller, timestampMs, 4, "read", ",cpu=101.50", "small");
      caller.send("STATUS", "9", "");
      assertEquals("healthy", caller.reply().word()); // all requests sent before it have arrived
      assertEquals(4, site.life.counters().inFlight());
      assertTrue(site.commands.isEmpty(), "both are queued: " + site.commands);
      site.finish(ref(1), "good", 20, "");
      assertEquals(
          "small",
          site.command().body(),
          "the shorter of two requests with about the same deadline");
    }
  }

  @Test
  void requestWhoseWorkHintExceedsItsLatencyObjectiveIsRejected() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      ask(caller, 1, "read", ",cpu=60000", "a minute of work");
      assertEquals("later", caller.reply().word());
      assertTrue(site.commands.isEmpty());
      for (String invalidField :
          new String[] {
            ",cpu=-1", ",cpu=NaN", ",cpu=1e99", ",cpu=much", ",second=-1", ",second=x"
          }) {
        ask(caller, 2, "read", invalidField, "");
        assertEquals("error", caller.reply().word(), invalidField);
      }
    }
  }

  /**
   * Sends 8 requests of 0.6 s each to two cores and returns the first answer. The last of them
   * cannot complete within the latency objective of 2 s.
   */
  private static Reply firstAnswerUnderOverload(boolean markedAsRetry) throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      for (int i = 1; i <= 8; i++) {
        ask(caller, i, "read", ",cpu=600" + (markedAsRetry ? ",second=1" : ""), "x");
      }
      return caller.reply();
    }
  }

  @Test
  void markedRetriesAreDetectedAsARetryStorm() throws Exception {
    Reply first = firstAnswerUnderOverload(false);
    assertEquals("later", first.word());
    assertFalse(
        first.fields().contains("giveup"), "other hosts may have capacity: " + first.fields());
    Reply retry = firstAnswerUnderOverload(true);
    assertEquals("later", retry.word());
    assertTrue(
        retry.fields().contains("giveup=1"),
        "most requests are retries of rejected ones: " + retry.fields());
  }

  @Test
  void smallShareOfACoreEvictsIdleConnectionsToLimitThreads() throws Exception {
    Sites.Builder smallShare = Sites.site();
    smallShare.share = 0.1; // 32 connections, each with its thread
    List<Caller> idle = new ArrayList<>();
    try (Loopback site = new Loopback(smallShare);
        Caller busy = site.new Caller()) {
      ask(busy, 1, "read", "", "x");
      assertEquals("spawn", site.command().verb());
      for (int i = 0; i < 120; i++) {
        idle.add(site.new Caller());
        idle.get(i).send("STATUS", "1", "");
        assertEquals("healthy", idle.get(i).reply().word());
      }
      // Connections above the limit of 32 have been asked to close and have a short time to do so.
      assertTrue(
          site.life.connections() <= 32 + 16 + 1,
          site.life.connections() + " connections are open");
      assertEquals(
          "closing", idle.get(0).reply().word(), "the oldest connection has been asked to close");
      site.finish(ref(1), "good", 1, "fine");
      assertEquals("fine", busy.reply().body(), "a connection that awaits an answer stays open");
    } finally {
      for (Caller each : idle) {
        each.close();
      }
    }
  }

  @Test
  void executionPastItsLatencyObjectiveIsStoppedAndItsKeyNotExecutedAgain() throws Exception {
    Sites.Builder shortObjectives = Sites.site();
    shortObjectives.haste = 4; // the latency objective is 0.5 s
    try (Loopback site = new Loopback(shortObjectives);
        Caller caller = site.new Caller()) {
      ask(caller, 1, "keyed", ",unique=k", "x");
      assertEquals("spawn", site.command().verb());
      assertEquals(
          "error",
          caller.reply().word(),
          "fails at the latency objective; not rejected, as it was executed");
      assertEquals(new Command("suspend", ref(1), "", ""), site.command());
      site.finish(ref(1), "cut", 500, "");
      ask(caller, 2, "keyed", ",unique=k,second=1", "x");
      assertEquals("error", caller.reply().word());
      assertEquals(null, site.commands.poll(50, TimeUnit.MILLISECONDS), "no second execution");
    }
  }
}
