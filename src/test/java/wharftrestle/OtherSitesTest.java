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
 * Stories of sites unlike the first: no store below, hints of work, marked tries, runs that are
 * stopped for good.
 */
class OtherSitesTest {
  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private static void ask(Caller caller, int tag, String type, String more, String body)
      throws Exception {
    ask(caller, System.currentTimeMillis(), tag, type, more, body);
  }

  private static void ask(Caller caller, long door, int tag, String type, String more, String body)
      throws Exception {
    caller.send(
        "ASK",
        Integer.toString(tag),
        type,
        String.format("txn=%s,door=%d,lb=1,ram=24.5,standing=0.5%s", ref(tag), door, more),
        body);
  }

  @Test
  void withoutAStoreRequestsAreServedAndACallAllTheSameFails() throws Exception {
    Sites.Builder alone = Sites.site();
    assertFalse(alone.calls);
    try (Loopback site = new Loopback(alone);
        Caller caller = site.new Caller()) {
      ask(caller, 1, "read", "", "a");
      assertEquals(new Command("spawn", ref(1), "read", "a"), site.command());
      site.finish(ref(1), "good", 3, "done a");
      assertEquals(new Reply("1", "done", "", "done a"), caller.reply());
      ask(caller, 2, "unsafe", "", "b");
      site.command();
      site.block(ref(2), "insert");
      assertEquals("error", caller.reply().word(), "no store is no reason to hang");
      assertTrue(site.calls.isEmpty());
    }
  }

  @Test
  void aReloadThatNamesNoStoreIsTakenOnlyWhereNoneIsNeeded() throws Exception {
    Sites.Builder calling = Sites.site();
    calling.calls = true;
    try (Loopback site = new Loopback(calling);
        Loopback other = new Loopback(Sites.site())) {
      DaemonConfig storeless = other.move(Sites.site());
      site.life.reload(() -> storeless);
      assertEquals(0, site.life.counters().get(Count.RELOADS));
      other.life.reload(() -> storeless);
      assertEquals(1, other.life.counters().get(Count.RELOADS));
    }
  }

  @Test
  void theHintOfItsWorkDecidesWhoIsNext() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      // Idle cores would raise the concurrency limit and start the third before the fourth arrives.
      site.reportedCpuBusy = 1;
      for (int i = 1; i <= 2; i++) {
        ask(caller, i, "read", ",cpu=100.00", "busy " + i);
        assertEquals(ref(i), site.command().ref());
      }
      long door = System.currentTimeMillis(); // as urgent, whenever they are read
      ask(caller, door, 3, "read", ",cpu=140.00", "large");
      ask(caller, door, 4, "read", ",cpu=101.50", "small");
      caller.send("STATUS", "9", "");
      assertEquals("healthy", caller.reply().word()); // all that was sent before it has arrived
      assertEquals(4, site.life.counters().inFlight());
      assertTrue(site.commands.isEmpty(), "both wait: " + site.commands);
      site.finish(ref(1), "good", 20, "");
      assertEquals("small", site.command().body(), "the shorter of two that are about as urgent");
    }
  }

  @Test
  void aHintTooLargeForItsAimIsTurnedAwayUnrun() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      ask(caller, 1, "read", ",cpu=60000", "a minute of work");
      assertEquals("later", caller.reply().word());
      assertTrue(site.commands.isEmpty());
      for (String wrong :
          new String[] {
            ",cpu=-1", ",cpu=NaN", ",cpu=1e99", ",cpu=much", ",second=-1", ",second=x"
          }) {
        ask(caller, 2, "read", wrong, "");
        assertEquals("error", caller.reply().word(), wrong);
      }
    }
  }

  /** Eight runs of 0.6 s at two cores: the last can not end within the 2 s of their aim. */
  private static Reply crowdedOut(boolean marked) throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      for (int i = 1; i <= 8; i++) {
        ask(caller, i, "read", ",cpu=600" + (marked ? ",second=1" : ""), "x");
      }
      return caller.reply();
    }
  }

  @Test
  void markedTriesAreSeenAsAStorm() throws Exception {
    Reply first = crowdedOut(false);
    assertEquals("later", first.word());
    assertFalse(first.fields().contains("giveup"), "others may have room: " + first.fields());
    Reply further = crowdedOut(true);
    assertEquals("later", further.word());
    assertTrue(
        further.fields().contains("giveup=1"),
        "most are on their way from a refusal: " + further.fields());
  }

  @Test
  void withASmallShareOfACoreIdleConnectionsGoBeforeTheirThreadsTakeIt() throws Exception {
    Sites.Builder small = Sites.site();
    small.share = 0.1; // 32 connections, each with its thread
    List<Caller> idle = new ArrayList<>();
    try (Loopback site = new Loopback(small);
        Caller busy = site.new Caller()) {
      ask(busy, 1, "read", "", "x");
      assertEquals("spawn", site.command().verb());
      for (int i = 0; i < 120; i++) {
        idle.add(site.new Caller());
        idle.get(i).send("STATUS", "1", "");
        assertEquals("healthy", idle.get(i).reply().word());
      }
      // Beyond the most are those that were told to go and have a moment to hear of it.
      assertTrue(
          site.life.connections() <= 32 + 16 + 1,
          site.life.connections() + " connections are held");
      assertEquals("closing", idle.get(0).reply().word(), "the first that came has been told");
      site.finish(ref(1), "good", 1, "fine");
      assertEquals("fine", busy.reply().body(), "whoever is owed an answer stays");
    } finally {
      for (Caller each : idle) {
        each.close();
      }
    }
  }

  @Test
  void aRunThatLostItsAimIsStoppedAndItsKeyRunsNoMore() throws Exception {
    Sites.Builder hasty = Sites.site();
    hasty.haste = 4; // the aim is 0.5 s
    try (Loopback site = new Loopback(hasty);
        Caller caller = site.new Caller()) {
      ask(caller, 1, "keyed", ",unique=k", "x");
      assertEquals("spawn", site.command().verb());
      assertEquals("error", caller.reply().word(), "at its aim; no refusal, as it ran");
      assertEquals(new Command("suspend", ref(1), "", ""), site.command());
      site.finish(ref(1), "cut", 500, "");
      ask(caller, 2, "keyed", ",unique=k,second=1", "x");
      assertEquals("error", caller.reply().word());
      assertEquals(null, site.commands.poll(50, TimeUnit.MILLISECONDS), "and not a second run");
    }
  }
}
