package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.testbed.RespPeer.Reply;

/** Stories of two processes that serve one box while the new one takes over. */
class UpgradeTest {
  private static final DaemonConfig.Appliance NONE =
      new DaemonConfig.Appliance(null, null, null, "x", 24);

  @TempDir private Path folder;

  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private Loopback first(DaemonConfig.Appliance appliance) throws Exception {
    Files.writeString(folder.resolve("n1.sock"), "stale"); // as a process that was killed leaves it
    return new Loopback(Sites.site(), appliance, 1024, folder.resolve("n1.sock"), null);
  }

  private Loopback second(Loopback first, DaemonConfig.Appliance appliance) throws Exception {
    Loopback next = new Loopback(Sites.site(), appliance, 1024, folder.resolve("n1.sock"), first);
    next.awaitTaking();
    return next;
  }

  private static Thread end(Loopback site) {
    Thread ending =
        new Thread(
            () -> {
              try {
                site.life.serveUntilStopped();
                site.life.close();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    ending.start();
    site.life.leave();
    return ending;
  }

  @Test
  void theNewProcessOwnsAllKeysAndTheOldOneEndsWhatItHas() throws Exception {
    try (Loopback old = first(NONE);
        Caller before = old.new Caller()) {
      before.ask(1, "keyed", "over", "a");
      old.finish(old.command().ref(), "good", 1, "saved");
      assertEquals("saved", before.reply().body());
      before.ask(2, "keyed", "runs", "b");
      assertEquals("spawn", old.command().verb());
      try (Loopback next = second(old, NONE);
          Caller after = next.new Caller()) {
        assertEquals("closing", before.reply().word());
        assertTrue(old.get("/_ready").startsWith("HTTP/1.1 503 "));
        after.ask(1, 11, System.currentTimeMillis(), "keyed", "over", "a");
        assertEquals(new Reply("1", "done", "", "saved"), after.reply(), "ended before: replayed");
        after.ask(2, 12, System.currentTimeMillis(), "keyed", "over", "other");
        assertEquals("error", after.reply().word(), "its body came along");
        after.ask(
            3, 13, System.currentTimeMillis(), "keyed", "runs", "b"); // waits for the old one's end
        after.ask(4, 14, System.currentTimeMillis(), "keyed", "new", "c");
        assertEquals(
            new Command("spawn", ref(14), "keyed", "c"), next.command(), "and nothing of 13 runs");
        before.ask(3, "keyed", "new", "c"); // read late: waits for the new one's end
        before.ask(4, "keyed", "late", "d"); // read late, and of no other try: granted
        assertEquals(
            new Command("spawn", ref(4), "keyed", "d"), old.command(), "and nothing of 3 runs");
        after.ask(5, 15, System.currentTimeMillis(), "keyed", "late", "d");
        next.finish(ref(14), "good", 1, "by the new");
        assertEquals("4 by the new", tagAndBody(after.reply()));
        assertEquals("3 by the new", tagAndBody(before.reply()));
        old.finish(ref(2), "good", 1, "by the old");
        assertEquals("2 by the old", tagAndBody(before.reply()));
        assertEquals("3 by the old", tagAndBody(after.reply()));
        Thread ending = end(old); // SIGTERM: no notice to the box
        before.send("STATUS", "5", "");
        assertEquals("healthy", before.reply().word());
        old.finish(ref(4), "good", 1, "late");
        assertEquals("4 late", tagAndBody(before.reply()));
        assertEquals("5 late", tagAndBody(after.reply()));
        before.close();
        ending.join();
        assertTrue(old.saidNo() == 0 && next.report().equals("renew n1 yes"), "the box goes on");
        after.ask(6, 16, System.currentTimeMillis(), "keyed", "late", "d");
        assertEquals("6 late", tagAndBody(after.reply()));
        assertNull(next.commands.poll());
      }
    }
  }

  @Test
  void aThirdProcessHasItsTurnWhenTheFirstHasEnded() throws Exception {
    try (Loopback old = first(NONE);
        Loopback next = second(old, NONE);
        Loopback third = new Loopback(Sites.site(), NONE, 1024, folder.resolve("n1.sock"), old);
        Caller caller = next.new Caller()) {
      caller.ask(1, "read", null, "x");
      next.finish(next.command().ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body(), "the second serves");
      assertTrue(third.get("/_ready").startsWith("HTTP/1.1 503 "));
      end(old).join();
      third.awaitTaking();
      assertEquals("closing", caller.reply().word());
    }
  }

  @Test
  void whoWaitsAtTheFirstProcessTakesOverFromTheSecond() throws Exception {
    Path early = folder.resolve("early.sock");
    try (Loopback old = first(NONE)) {
      Files.createLink(
          early, folder.resolve("n1.sock")); // the first one, met before the second took its name
      try (Loopback next = second(old, NONE);
          Loopback third = new Loopback(Sites.site(), NONE, 1024, early, old);
          Caller caller = next.new Caller()) {
        Files.delete(early);
        Files.createSymbolicLink(early, folder.resolve("n1.sock"));
        caller.ask(1, "keyed", "k", "x");
        next.finish(next.command().ref(), "good", 1, "fine");
        assertEquals("fine", caller.reply().body(), "the second serves");
        end(old).join();
        third.awaitTaking();
        assertEquals("closing", caller.reply().word(), "and not both");
        try (Caller again = third.new Caller()) {
          again.ask(1, 2, System.currentTimeMillis(), "keyed", "k", "x");
          assertEquals("fine", again.reply().body(), "all keys came along");
        }
      }
    }
  }

  @Test
  void whoStaysAtTheOldProcessIsSentAwayOnceItOwesNothing() throws Exception {
    try (Loopback old = first(NONE);
        Caller stays = old.new Caller();
        Caller waits = old.new Caller()) {
      stays.send("STATUS", "1", "");
      assertEquals("healthy", stays.reply().word());
      waits.ask(1, "read", null, "x");
      Command run = old.command();
      try (Loopback next = second(old, NONE)) {
        assertEquals("closing", stays.reply().word());
        assertEquals(
            -1, stays.socket.getInputStream().read(), "its descriptor is the new one's by now");
        assertEquals("closing", waits.reply().word());
        old.finish(run.ref(), "good", 1, "fine");
        assertEquals("fine", waits.reply().body());
        assertTrue(next.life.respAddress().equals(old.life.respAddress()));
      }
    }
  }

  private static String tagAndBody(Reply reply) {
    return reply.tag() + " " + reply.body();
  }

  @Test
  void anUnknownEndFailsItsKeyAndNothingOfItRuns() throws Exception {
    try (Loopback old = first(NONE);
        Caller before = old.new Caller()) {
      before.ask(1, "keyed", "k", "x");
      assertEquals("spawn", old.command().verb());
      try (Loopback next = second(old, NONE);
          Caller after = next.new Caller()) {
        after.ask(1, 11, System.currentTimeMillis(), "keyed", "k", "x");
        after.send("STATUS", "2", "");
        assertEquals("2", after.reply().tag(), "it waits");
        old.life.close(); // as by a kill: no word of the run any more
        assertEquals(new Reply("1", "error", "", ""), after.reply());
        after.ask(3, 13, System.currentTimeMillis(), "keyed", "k", "x");
        assertEquals("error", after.reply().word());
        assertNull(next.commands.poll(), "no run");
      }
    }
  }

  @Test
  void whereTheNewProcessDiesTheOldOneServesOnAndKnowsWhatRan() throws Exception {
    try (Loopback old = first(NONE);
        Caller before = old.new Caller()) {
      try (Loopback next = second(old, NONE);
          Caller after = next.new Caller()) {
        assertEquals("closing", before.reply().word());
        after.ask(1, 11, System.currentTimeMillis(), "keyed", "ran", "x");
        assertEquals("spawn", next.command().verb());
        after.ask(2, 12, System.currentTimeMillis(), "keyed", "ended", "y");
        next.finish(next.command().ref(), "good", 1, "fine");
        assertEquals("fine", after.reply().body());
        // A run is spawned once the old process can know of it, and of all told before: so also of
        // that end.
        after.ask(3, 13, System.currentTimeMillis(), "keyed", "last", "w");
        assertEquals(new Command("spawn", ref(13), "keyed", "w"), next.command());
      }
      old.awaitTaking();
      try (Caller again = old.new Caller()) {
        again.ask(1, 21, System.currentTimeMillis(), "keyed", "ran", "x");
        assertEquals("error", again.reply().word(), "its end is unknown");
        again.ask(2, 22, System.currentTimeMillis(), "keyed", "ended", "y");
        assertEquals("fine", again.reply().body());
        again.ask(3, 23, System.currentTimeMillis(), "keyed", "other", "z");
        assertEquals(
            new Command("spawn", ref(23), "keyed", "z"), old.command(), "all else goes on");
      }
      try (Loopback third = second(old, NONE)) { // and the next one finds it
        assertFalse(third.commands.contains(new Command("spawn", ref(23), "keyed", "z")));
      }
    }
  }

  @Test
  void takenAddressesOfOperatorsWaitForTheOldProcess() throws Exception {
    try (Loopback old =
        first(new DaemonConfig.Appliance(Loopback.any(), null, Loopback.any(), "x", 24))) {
      InetSocketAddress agent = old.life.snmpAddress();
      DaemonConfig.Appliance same =
          new DaemonConfig.Appliance(old.life.uwsgiAddress(), null, agent, "x", 24);
      try (Loopback next = second(old, same)) {
        assertNull(next.life.snmpAddress());
        end(old).join();
        while (next.life.snmpAddress() == null) {
          Thread.onSpinWait();
        }
        assertEquals(agent, next.life.snmpAddress());
        Socket gateway = next.post("/read", "", "x");
        next.finish(next.command().ref(), "good", 1, "fine");
        assertTrue(Loopback.response(gateway).endsWith("fine"));
        BindException taken = null;
        try {
          new Lifecycle(next.stranger(folder.resolve("other.sock")), NONE).close();
        } catch (BindException e) {
          taken = e;
        }
        assertTrue(taken != null, "who does not meet the one that serves shares nothing with it");
      }
    }
  }
}
