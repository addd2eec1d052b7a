package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import sun.misc.Signal;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.daemon.SignalHandlers;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.testbed.RespPeer.Reply;
import wharftrestle.transport.BoundedReader;

/** Stories of the daemon over the platform's wire, one for each failure met or guarded against. */
class DaemonTest {
  private static Sites.Builder calling() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    return site;
  }

  private static String ref(long number) {
    return String.format("%016x", number);
  }

  @Test
  void aRequestGoesThroughPoolAndStoreUnchanged() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(7, "read", null, "a\r\n\0b");
      assertEquals(new Command("spawn", ref(7), "read", "a\r\n\0b"), site.command());
      site.block(ref(7), "select\r\n1");
      site.storeReplies.add(Loopback.http("200 OK", "", "row\r\n"));
      String call = site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS);
      assertTrue(call.startsWith("POST /v1/exec HTTP/1.1\n") && call.endsWith("select\r\n1"), call);
      assertTrue(
          call.contains("Request-Ref: " + ref(7)) && call.contains("Statement-Timeout-Ms: "), call);
      assertEquals(new Command("supply", ref(7), "", "row\r\n"), site.command());
      site.finish(ref(7), "good", 22.601, "the result"); // durations come with decimals
      assertEquals(new Reply("7", "done", "", "the result"), caller.reply());
    }
  }

  @Test
  void onlyProofLetsAnEffectfulCallBeMadeAgain() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k1", "x");
      site.command();
      site.block(ref(1), "insert");
      site.storeReplies.add(
          Loopback.http("503 Busy", "Never-Started: 1\r\n", "")); // proof: made again
      site.storeReplies.add(Loopback.http("409 Conflict", "Never-Started: 1\r\n", ""));
      site.storeReplies.add(""); // a connection that breaks proves nothing
      assertEquals("error", caller.reply().word());
      assertEquals(3, site.calls.size());
    }
  }

  @Test
  void commandsLostWithALinkAreSentAgain() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k1", "first");
      site.command();
      site.finish(ref(1), "good", 5, "done before");
      assertEquals("done", caller.reply().word());
      caller.ask(2, "read", null, "second");
      assertEquals("spawn", site.command().verb());
      site.breakLink();
      assertEquals("1", site.command().rest(), "bound with the last notice read");
      // The worker pool has said nothing of 2 since, so that spawn may be lost; 1 is known to be
      // over.
      assertEquals(new Command("spawn", ref(2), "read", "second"), site.command());
      site.breakLink();
      site.finish(ref(2), "good", 9, "heard after the bind");
      site.command();
      assertEquals("heard after the bind", caller.reply().body());
      assertNull(
          site.commands.poll(100, TimeUnit.MILLISECONDS),
          "nothing is sent again of what has ended");
    }
  }

  @Test
  void allThatABrokenOrSilentLinkLostIsSentAgainInItsOrder() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      site.command();
      site.block(ref(1), "select");
      site.storeReplies.add(Loopback.http("200 OK", "", "row"));
      assertEquals("supply", site.command().verb());
      caller.send("NEVERMIND", "1");
      assertEquals("suspend", site.command().verb());
      site.mute = true; // stays open, says nothing more
      assertEquals("bind", site.command().verb(), "a silent link is made anew");
      assertEquals(new Command("supply", ref(1), "", "row"), site.command());
      assertEquals("suspend", site.command().verb());
      caller.ask(2, "read", null, "y");
      assertEquals("spawn", site.command().verb());
      site.raw("unknown spawn " + ref(2) + "\r\n");
      assertEquals("error", caller.reply().word());
    }
  }

  @Test
  void aReloadMovesAllLinksAndABadFileChangesNothing() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k1", "x");
      site.command();
      site.block(ref(1), "insert");
      assertTrue(site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS).endsWith("insert"));
      site.life.reload(
          () -> {
            throw new DaemonConfig.BadConfigException("half a file");
          });
      DaemonConfig next = site.move(calling());
      new SignalHandlers(() -> next).attach(site.life);
      Signal.raise(new Signal("HUP"));
      assertEquals(new Command("bind", "", "1", ""), site.command(), "numbers of notices go on");
      assertTrue(site.report().startsWith("renew n1 yes"));
      site.storeReplies.add(
          Loopback.http("200 OK", "", "row")); // the call under way ends where it is
      assertEquals(new Command("supply", ref(1), "", "row"), site.command());
      site.block(ref(1), "insert more");
      site.storeReplies.add(Loopback.http("200 OK", "", "row 2"));
      assertEquals(new Command("supply", ref(1), "", "row 2"), site.command());
      site.finish(ref(1), "good", 9, "done");
      assertEquals("done", caller.reply().body());
      assertEquals(1, site.life.counters().get(Count.RELOADS));
    }
  }

  @Test
  void noReplyIsPassedOnThatIsNotWhollyUnderstood() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      String[] spoilt = {
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nrow",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nrow!",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nrow",
        "\0\1\2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nrow"
      };
      for (int i = 0; i < spoilt.length; i++) {
        caller.ask(i + 1, "keyed", "k" + i, "x");
        site.command();
        site.block(ref(i + 1), "insert");
        site.storeReplies.add(spoilt[i]);
        assertEquals("error", caller.reply().word(), spoilt[i]);
        site.finish(ref(i + 1), "cut", 9, "");
      }
      assertEquals(spoilt.length, site.life.counters().get(Count.UNREADABLE_RESPONSES));
      caller.ask(9, "read", null, "x");
      site.command();
      site.block(
          ref(9), "select"); // 1xx ahead, a second copy behind: neither is the next call's reply
      site.storeReplies.add(
          "HTTP/1.1 102 Processing\r\n\r\n"
              + Loopback.http("200 OK", "", "one")
              + Loopback.http("200 OK", "", "one"));
      assertEquals("one", site.command().body());
      site.block(ref(9), "select");
      site.storeReplies.add(Loopback.http("200 OK", "", "two"));
      assertEquals("two", site.command().body());
    }
  }

  @Test
  void aKeyRunsOnceAndItsTriesShareTheResult() throws Exception {
    Sites.Builder kind = Sites.site();
    kind.window = 0.1;
    try (Loopback site = new Loopback(kind);
        Caller one = site.new Caller();
        Caller two = site.new Caller()) {
      long door = System.currentTimeMillis() - 1200;
      one.ask(1, 1, door, "keyed", "k", "note");
      assertEquals("spawn", site.command().verb());
      two.ask(1, 2, door + 5, "keyed", "k", "note"); // joins the run
      two.send("STATUS", "9", "");
      assertEquals("healthy", two.reply().word());
      site.finish(ref(1), "good", 20, "saved");
      assertEquals("saved", one.reply().body());
      assertEquals("saved", two.reply().body());
      two.ask(2, 3, door + 100, "keyed", "k", "note"); // stamped at the window's end: replayed
      assertEquals(new Reply("2", "done", "", "saved"), two.reply());
      two.ask(3, 4, door + 700, "keyed", "k", "note"); // past it: new work
      assertEquals(new Command("spawn", ref(4), "keyed", "note"), site.command());
      site.finish(ref(4), "bad", 20, "");
      assertEquals("error", two.reply().word());
      two.ask(
          4, 5, door + 705, "keyed", "k", "note"); // a failed run is a run: no refusal, no second
      assertEquals("error", two.reply().word());
      assertNull(site.commands.poll(), "no other run");
    }
  }

  @Test
  void aRunThatHangsIsAnsweredWhenItIsDue() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      long door = System.currentTimeMillis() - 5700; // read late: 300 ms are left
      caller.ask(1, 1, door, "keyed", "k", "x");
      Reply reply = caller.reply();
      long late = System.currentTimeMillis() - door - 6000;
      assertTrue(reply.word().equals("later") || reply.word().equals("error"), reply.word());
      assertTrue(late <= 110, late + " ms past the due time");
    }
  }

  @Test
  void aCallerThatLeavesIsNotAnsweredAndItsWorkStops() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      assertEquals("spawn", site.command().verb());
      caller.send("NEVERMIND", "1");
      assertEquals(new Command("suspend", ref(1), "", ""), site.command());
      site.finish(ref(1), "cut", 5, "");
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "no answer is owed to 1");
      caller.ask(3, "read", null, "y");
      assertEquals("spawn", site.command().verb());
      caller.close(); // the end of a connection says the same of all that is open on it
      assertEquals(new Command("suspend", ref(3), "", ""), site.command());
    }
  }

  @Test
  void nonsenseClosesItsConnectionOnly() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller good = site.new Caller()) {
      for (String bad :
          new String[] {
            "GET / HTTP/1.1\r\n",
            "*9999999\r\n",
            "*2\r\n$999999999\r\n",
            "*1\r\n$-1\r\n",
            "*3\r\n$3\r\nASK\r\n$2\r\n+1\r\n$4\r\nread\r\n"
          }) {
        site.endsWhoSays(bad);
      }
      assertEquals(5, site.life.counters().get(Count.MALFORMED));
      site.raw("what is this\r\n"); // the worker pool's link too: it is made anew
      assertEquals("bind", site.command().verb());
      good.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", good.reply().body());
    }
  }

  @Test
  void whatCannotRunIsAnErrorAndItsSenderIsClosedInTheEnd() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller bad = site.new Caller()) {
      String fine =
          "txn=00000000000000aa,door=" + System.currentTimeMillis() + ",lb=1,ram=24.5,standing=0.5";
      String[] fields = {
        fine.replace("ram=24.5", "ram=-1"),
        fine.replace("ram=24.5", "ram=2000"),
        fine.replace("standing=0.5", "standing=1"),
        fine.replace("lb=1", "lb=x"),
        fine + ",lb=1",
        fine.replaceAll("door=\\d+", "door=9999999999999"),
        fine.replace("txn=00000000000000aa,", "")
      };
      for (int i = 0; i < fields.length; i++) {
        bad.send("ASK", Integer.toString(i + 1), "read", fields[i], "x");
        assertEquals("error", bad.reply().word(), fields[i]);
      }
      bad.send("ASK", "9", "none", fine, "x");
      assertEquals("error", bad.reply().word());
      assertEquals(
          -1, bad.socket.getInputStream().read(), "nothing but nonsense, and as fast as can be");
      try (Caller twice = site.new Caller()) {
        twice.ask(1, 1, System.currentTimeMillis(), "read", null, "x");
        assertEquals("spawn", site.command().verb());
        twice.ask(
            1, 2, System.currentTimeMillis(), "read", null, "y"); // answers could not be told apart
        while (site.life.counters().get(Count.MALFORMED) < 2) {
          Thread.onSpinWait();
        }
        site.finish(ref(1), "good", 1, "of the first");
        assertEquals(
            new Reply("1", "done", "", "of the first"),
            twice.reply(),
            "what was read has its answer");
        assertEquals(-1, twice.socket.getInputStream().read(), "and nothing else comes");
        assertNull(site.commands.poll(), "the second never ran");
      }
    }
  }

  @Test
  void silentPeersMakeRoomAndDoNotStay() throws Exception {
    List<Caller> silent = new ArrayList<>();
    try (Loopback site = new Loopback(Sites.site(), 82);
        Caller first = site.new Caller()) {
      first.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", first.reply().body());
      long began = System.nanoTime();
      for (int i = 0; i < 100; i++) {
        silent.add(site.new Caller());
      }
      silent.get(99).send("STATUS", "1", "");
      assertEquals("healthy", silent.get(99).reply().word(), "there is room for who comes last");
      first.ask(2, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", first.reply().body(), "who was served stays");
      silent.get(98).send("ASK"); // begun, never ended
      assertEquals("closing", silent.get(97).reply().word());
      assertEquals(-1, silent.get(98).socket.getInputStream().read());
      assertTrue(System.nanoTime() - began < 3_000_000_000L, "within 3 s");
    } finally {
      for (Caller each : silent) {
        each.close();
      }
    }
  }

  @Test
  void aRequestThatCrossesTheWordToGoIsServed() throws Exception {
    List<Caller> more = new ArrayList<>();
    try (Loopback site = new Loopback(Sites.site(), 82);
        Caller first = site.new Caller()) {
      first.send("STATUS", "1", "");
      assertEquals("healthy", first.reply().word());
      for (int i = 0; i < 38; i++) { // the most that 82 descriptors allow: the first one has to go
        more.add(site.new Caller());
        more.get(i).send("STATUS", "1", "");
        assertEquals("healthy", more.get(i).reply().word());
      }
      assertEquals("closing", first.reply().word());
      first.ask(2, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals(new Reply("2", "done", "", "fine"), first.reply());
    } finally {
      for (Caller each : more) {
        each.close();
      }
    }
  }

  @RepeatedTest(20) // the race it guards against is met in one of ten
  void whoWasHeardAndWritesIsNotCutForOthers() throws Exception {
    List<Caller> more = new ArrayList<>();
    try (Loopback site = new Loopback(Sites.site(), 82);
        Caller first = site.new Caller()) {
      first.send("STATUS", "1", "");
      assertEquals("healthy", first.reply().word());
      String fields =
          "txn=00000000000000aa,door=" + System.currentTimeMillis() + ",lb=1,ram=24.5,standing=0.5";
      byte[] begun =
          BoundedReader.ascii(
              "*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$4\r\nread\r\n$" + fields.length() + "\r\n");
      first.socket.getOutputStream().write(begun);
      for (int i = 0;
          i < 60;
          i++) { // the table is full, and more than may be on their way out are told to go
        more.add(site.new Caller());
        more.get(i).send("STATUS", "1", "");
        assertEquals("healthy", more.get(i).reply().word());
      }
      assertEquals("closing", first.reply().word());
      first.socket.getOutputStream().write(BoundedReader.ascii(fields + "\r\n$1\r\nx\r\n"));
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", first.reply().body());
    } finally {
      for (Caller each : more) {
        each.close();
      }
    }
  }

  @Test
  void whoWritesItsFirstRequestSlowlyIsNotCutForThoseThatHaveTheirAnswer() throws Exception {
    List<Caller> stay = new ArrayList<>();
    try (Loopback site = new Loopback(Sites.site(), 82)) {
      long began = System.nanoTime();
      for (int i = 0; i < 38; i++) { // ask once and keep their connection for good
        stay.add(site.new Caller());
        stay.get(i).send("STATUS", "1", "");
        assertEquals("healthy", stay.get(i).reply().word());
      }
      Caller pacer = stay.get(37);
      while (System.nanoTime() - began < 1_200_000_000L) { // a second goes by on the wire
        pacer.send("STATUS", "2", "");
        pacer.reply();
      }
      Caller slow = site.new Caller();
      stay.add(slow);
      slow.socket
          .getOutputStream()
          .write("*5\r\n$3\r\nASK\r\n".getBytes(StandardCharsets.ISO_8859_1));
      for (int i = 0; i < 30; i++) {
        stay.add(site.new Caller());
        stay.get(stay.size() - 1).send("STATUS", "1", "");
        assertEquals("healthy", stay.get(stay.size() - 1).reply().word());
      }
      String fields =
          "txn=00000000000000aa,door=" + System.currentTimeMillis() + ",lb=1,ram=24.5,standing=0.5";
      slow.socket
          .getOutputStream()
          .write(
              ("$1\r\n7\r\n$4\r\nread\r\n$" + fields.length() + "\r\n" + fields + "\r\n$1\r\nx\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", slow.reply().body());
    } finally {
      for (Caller each : stay) {
        each.close();
      }
    }
  }

  @Test
  void aKnownKeyWithAnotherBodyHasNoResultAndNoRun() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "its body");
      Command run = site.command();
      site.finish(run.ref(), "good", 1, "fine");
      assertEquals("done", caller.reply().word());
      caller.ask(2, "keyed", "k", "another");
      assertEquals("error", caller.reply().word());
      caller.ask(3, "keyed", "k", "its body");
      assertEquals("fine", caller.reply().body());
      caller.ask(4, "keyed", "k4", "of no request");
      assertEquals("spawn", site.command().verb());
      site.raw("unknown spawn " + ref(4) + "\r\n");
      assertEquals("error", caller.reply().word());
      caller.ask(5, "keyed", "k4", "the true one");
      assertEquals(
          new Command("spawn", ref(5), "keyed", "the true one"),
          site.command(),
          "nothing ran before");
    }
  }

  @Test
  void aPeerThatDoesNotReadHoldsUpNobody() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller slow = site.new Caller();
        Caller good = site.new Caller()) {
      Thread flood =
          new Thread(
              () -> {
                try {
                  for (int i = 1; ; i++) {
                    slow.send("STATUS", Integer.toString(i), "");
                  }
                } catch (IOException e) {
                  return; // cut, or the story is over
                }
              });
      flood.setDaemon(true);
      flood.start();
      for (int i = 1; i <= 20; i++) {
        good.ask(i, "read", null, "x");
        site.finish(site.command().ref(), "good", 1, "fine");
        assertEquals("fine", good.reply().body());
      }
    }
  }

  @Test
  void onNoticeAllThatWasReadIsAnsweredAndNothingLateRuns() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      assertEquals("renew n1 yes", site.report());
      caller.ask(1, "read", null, "x");
      assertEquals("spawn", site.command().verb());
      caller.ask(2, "long", null, "hangs");
      assertEquals("spawn", site.command().verb());
      Thread stopping = site.stopping();
      site.life.leave();
      for (String report = site.report(); !report.equals("renew n1 no"); report = site.report()) {
        assertEquals("renew n1 yes", report);
      }
      caller.send("STATUS", "3", "");
      assertEquals("sick", caller.reply().word());
      site.finish(ref(1), "good", 30, "in time");
      assertEquals("in time", caller.reply().body());
      assertEquals("closing", caller.reply().word()); // once the grace is over
      caller.ask(4, "read", null, "late");
      Reply late = caller.reply();
      assertEquals("4 later", late.tag() + " " + late.word());
      Reply last = caller.reply(); // hangs to the end: failed before the process is stopped
      assertEquals("2 error", last.tag() + " " + last.word());
      caller.close();
      stopping.join(TimeUnit.SECONDS.toMillis(Loopback.WAIT_S));
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
      assertTrue(
          site.commands.stream().noneMatch(c -> c.verb().equals("spawn")),
          "nothing ran that came late");
    }
  }

  @Test
  void badConfigurationIsOneLine() throws Exception {
    for (String listen : new String[] {"nowhere", "127.0.0.1:99999", "example.org:80"}) {
      try {
        net(listen);
        throw new AssertionError(listen + " was taken");
      } catch (wharftrestle.config.DaemonConfig.BadConfigException e) {
        assertEquals(1, e.getMessage().lines().count());
      }
    }
    try (ServerSocket taken = new ServerSocket(0)) {
      assertEquals(
          new InetSocketAddress(
              InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), taken.getLocalPort()),
          net("127.0.0.1:" + taken.getLocalPort()));
    }
  }

  private static InetSocketAddress net(String text)
      throws wharftrestle.config.DaemonConfig.BadConfigException {
    return wharftrestle.config.DaemonConfig.address("listen", text);
  }
}
