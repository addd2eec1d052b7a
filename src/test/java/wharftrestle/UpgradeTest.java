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

/** Tests of two daemon processes on one host while the new one takes over. */
class UpgradeTest {
  private static final DaemonConfig.Appliance NONE =
      new DaemonConfig.Appliance(null, null, null, "x", 24);

  @TempDir private Path folder;

  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private Loopback startPredecessor(DaemonConfig.Appliance appliance) throws Exception {
    Files.writeString(folder.resolve("n1.sock"), "stale"); // left behind by a killed process
    return new Loopback(Sites.site(), appliance, 1024, folder.resolve("n1.sock"), null);
  }

  private Loopback startSuccessor(Loopback predecessor, DaemonConfig.Appliance appliance)
      throws Exception {
    Loopback successor =
        new Loopback(Sites.site(), appliance, 1024, folder.resolve("n1.sock"), predecessor);
    successor.awaitTaking();
    return successor;
  }

  private static Thread startShutdown(Loopback site) {
    Thread server =
        new Thread(
            () -> {
              try {
                site.life.serveUntilStopped();
                site.life.close();
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    server.start();
    site.life.leave();
    return server;
  }

  @Test
  void successorOwnsAllKeysAndPredecessorAnswersRequestsInFlight() throws Exception {
    try (Loopback predecessor = startPredecessor(NONE);
        Caller before = predecessor.new Caller()) {
      before.ask(1, "keyed", "over", "a");
      predecessor.finish(predecessor.command().ref(), "good", 1, "saved");
      assertEquals("saved", before.reply().body());
      before.ask(2, "keyed", "runs", "b");
      assertEquals("spawn", predecessor.command().verb());
      try (Loopback successor = startSuccessor(predecessor, NONE);
          Caller after = successor.new Caller()) {
        assertEquals("closing", before.reply().word());
        assertTrue(predecessor.get("/_ready").startsWith("HTTP/1.1 503 "));
        after.ask(1, 11, System.currentTimeMillis(), "keyed", "over", "a");
        assertEquals(
            new Reply("1", "done", "", "saved"),
            after.reply(),
            "completed before the handover: replayed");
        after.ask(2, 12, System.currentTimeMillis(), "keyed", "over", "other");
        assertEquals("error", after.reply().word(), "the body was handed over with the key");
        // Waits for the predecessor's completion.
        after.ask(3, 13, System.currentTimeMillis(), "keyed", "runs", "b");
        after.ask(4, 14, System.currentTimeMillis(), "keyed", "new", "c");
        assertEquals(
            new Command("spawn", ref(14), "keyed", "c"),
            successor.command(),
            "and request 13 is not dispatched");
        // Read after the handover: waits for the successor's completion.
        before.ask(3, "keyed", "new", "c");
        // Read after the handover, no other attempt: the claim is granted.
        before.ask(4, "keyed", "late", "d");
        assertEquals(
            new Command("spawn", ref(4), "keyed", "d"),
            predecessor.command(),
            "and request 3 is not dispatched");
        after.ask(5, 15, System.currentTimeMillis(), "keyed", "late", "d");
        successor.finish(ref(14), "good", 1, "by the new");
        assertEquals("4 by the new", tagAndBody(after.reply()));
        assertEquals("3 by the new", tagAndBody(before.reply()));
        predecessor.finish(ref(2), "good", 1, "by the old");
        assertEquals("2 by the old", tagAndBody(before.reply()));
        assertEquals("3 by the old", tagAndBody(after.reply()));
        // As by SIGTERM: no report to the name service says no.
        Thread shutdown = startShutdown(predecessor);
        before.send("STATUS", "5", "");
        assertEquals("healthy", before.reply().word());
        predecessor.finish(ref(4), "good", 1, "late");
        assertEquals("4 late", tagAndBody(before.reply()));
        assertEquals("5 late", tagAndBody(after.reply()));
        before.close();
        shutdown.join();
        assertTrue(
            predecessor.unhealthyReportCount() == 0 && successor.report().equals("renew n1 yes"),
            "the host stays in service");
        after.ask(6, 16, System.currentTimeMillis(), "keyed", "late", "d");
        assertEquals("6 late", tagAndBody(after.reply()));
        assertNull(successor.commands.poll());
      }
    }
  }

  @Test
  void thirdProcessTakesOverOnlyAfterTheFirstHasExited() throws Exception {
    try (Loopback predecessor = startPredecessor(NONE);
        Loopback successor = startSuccessor(predecessor, NONE);
        Loopback third =
            new Loopback(Sites.site(), NONE, 1024, folder.resolve("n1.sock"), predecessor);
        Caller caller = successor.new Caller()) {
      caller.ask(1, "read", null, "x");
      successor.finish(successor.command().ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body(), "the second process serves");
      assertTrue(third.get("/_ready").startsWith("HTTP/1.1 503 "));
      startShutdown(predecessor).join();
      third.awaitTaking();
      assertEquals("closing", caller.reply().word());
    }
  }

  @Test
  void processThatWaitsForTheFirstTakesOverFromTheSecond() throws Exception {
    Path earlySocket = folder.resolve("early.sock");
    try (Loopback predecessor = startPredecessor(NONE)) {
      // Still the first process's socket after the second replaces the name.
      Files.createLink(earlySocket, folder.resolve("n1.sock"));
      try (Loopback successor = startSuccessor(predecessor, NONE);
          Loopback third = new Loopback(Sites.site(), NONE, 1024, earlySocket, predecessor);
          Caller caller = successor.new Caller()) {
        Files.delete(earlySocket);
        Files.createSymbolicLink(earlySocket, folder.resolve("n1.sock"));
        caller.ask(1, "keyed", "k", "x");
        successor.finish(successor.command().ref(), "good", 1, "fine");
        assertEquals("fine", caller.reply().body(), "the second process serves");
        startShutdown(predecessor).join();
        third.awaitTaking();
        assertEquals("closing", caller.reply().word(), "the second process no longer serves");
        try (Caller again = third.new Caller()) {
          again.ask(1, 2, System.currentTimeMillis(), "keyed", "k", "x");
          assertEquals("fine", again.reply().body(), "all keys were handed over");
        }
      }
    }
  }

  @Test
  void predecessorClosesEachConnectionOnceItsAnswersAreSent() throws Exception {
    try (Loopback predecessor = startPredecessor(NONE);
        Caller idle = predecessor.new Caller();
        Caller waiting = predecessor.new Caller()) {
      idle.send("STATUS", "1", "");
      assertEquals("healthy", idle.reply().word());
      waiting.ask(1, "read", null, "x");
      Command execution = predecessor.command();
      try (Loopback successor = startSuccessor(predecessor, NONE)) {
        assertEquals("closing", idle.reply().word());
        assertEquals(
            -1,
            idle.socket.getInputStream().read(),
            "its descriptor belongs to the successor by now");
        assertEquals("closing", waiting.reply().word());
        predecessor.finish(execution.ref(), "good", 1, "fine");
        assertEquals("fine", waiting.reply().body());
        assertTrue(successor.life.respAddress().equals(predecessor.life.respAddress()));
      }
    }
  }

  private static String tagAndBody(Reply reply) {
    return reply.tag() + " " + reply.body();
  }

  @Test
  void executionWithUnknownOutcomeFailsItsKeyAndIsNotRepeated() throws Exception {
    try (Loopback predecessor = startPredecessor(NONE);
        Caller before = predecessor.new Caller()) {
      before.ask(1, "keyed", "k", "x");
      assertEquals("spawn", predecessor.command().verb());
      try (Loopback successor = startSuccessor(predecessor, NONE);
          Caller after = successor.new Caller()) {
        after.ask(1, 11, System.currentTimeMillis(), "keyed", "k", "x");
        after.send("STATUS", "2", "");
        assertEquals("2", after.reply().tag(), "the duplicate waits");
        predecessor.life.close(); // as by a kill: the outcome never arrives
        assertEquals(new Reply("1", "error", "", ""), after.reply());
        after.ask(3, 13, System.currentTimeMillis(), "keyed", "k", "x");
        assertEquals("error", after.reply().word());
        assertNull(successor.commands.poll(), "no execution");
      }
    }
  }

  @Test
  void predecessorResumesWithAllKeysWhenTheSuccessorDies() throws Exception {
    try (Loopback predecessor = startPredecessor(NONE);
        Caller before = predecessor.new Caller()) {
      try (Loopback successor = startSuccessor(predecessor, NONE);
          Caller after = successor.new Caller()) {
        assertEquals("closing", before.reply().word());
        after.ask(1, 11, System.currentTimeMillis(), "keyed", "ran", "x");
        assertEquals("spawn", successor.command().verb());
        after.ask(2, 12, System.currentTimeMillis(), "keyed", "ended", "y");
        successor.finish(successor.command().ref(), "good", 1, "fine");
        assertEquals("fine", after.reply().body());
        // An execution is dispatched only after its key and all earlier messages have been sent to
        // the predecessor, so the completion above has been sent as well.
        after.ask(3, 13, System.currentTimeMillis(), "keyed", "last", "w");
        assertEquals(new Command("spawn", ref(13), "keyed", "w"), successor.command());
      }
      predecessor.awaitTaking();
      try (Caller again = predecessor.new Caller()) {
        again.ask(1, 21, System.currentTimeMillis(), "keyed", "ran", "x");
        assertEquals("error", again.reply().word(), "the outcome is unknown");
        again.ask(2, 22, System.currentTimeMillis(), "keyed", "ended", "y");
        assertEquals("fine", again.reply().body());
        again.ask(3, 23, System.currentTimeMillis(), "keyed", "other", "z");
        assertEquals(
            new Command("spawn", ref(23), "keyed", "z"),
            predecessor.command(),
            "new keys are executed");
      }
      // The next successor finds the predecessor.
      try (Loopback third = startSuccessor(predecessor, NONE)) {
        assertFalse(third.commands.contains(new Command("spawn", ref(23), "keyed", "z")));
      }
    }
  }

  @Test
  void operatorAddressesInUseAreBoundAfterThePredecessorExits() throws Exception {
    try (Loopback predecessor =
        startPredecessor(
            new DaemonConfig.Appliance(Loopback.any(), null, Loopback.any(), "x", 24))) {
      InetSocketAddress agent = predecessor.life.snmpAddress();
      DaemonConfig.Appliance sameAddresses =
          new DaemonConfig.Appliance(predecessor.life.uwsgiAddress(), null, agent, "x", 24);
      try (Loopback successor = startSuccessor(predecessor, sameAddresses)) {
        assertNull(successor.life.snmpAddress());
        startShutdown(predecessor).join();
        while (successor.life.snmpAddress() == null) {
          Thread.onSpinWait();
        }
        assertEquals(agent, successor.life.snmpAddress());
        Socket gateway = successor.post("/read", "", "x");
        successor.finish(successor.command().ref(), "good", 1, "fine");
        assertTrue(Loopback.response(gateway).endsWith("fine"));
        BindException bindException = null;
        try {
          new Lifecycle(successor.configWithHandoverSocket(folder.resolve("other.sock")), NONE)
              .close();
        } catch (BindException e) {
          bindException = e;
        }
        assertTrue(
            bindException != null,
            "a process with another handover socket cannot share the addresses");
      }
    }
  }
}
