package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Loopback.Caller;
import wharftrestle.config.DaemonConfig;
import wharftrestle.handover.HandoverStateMachine;

/**
 * Tests of a serving process that is asked for a takeover by peers that are incompatible, stall, or
 * send malformed input.
 */
@Timeout(60)
class ChangeTest {
  private static final DaemonConfig.Appliance NONE =
      new DaemonConfig.Appliance(null, null, null, "x", 24);

  @TempDir private Path folder;

  private Loopback startPredecessor() throws Exception {
    return new Loopback(Sites.site(), NONE, 1024, folder.resolve("n1.sock"), null);
  }

  /** A scripted peer process at the handover socket of the host. */
  private final class Peer implements AutoCloseable {
    private final SocketChannel channel =
        SocketChannel.open(UnixDomainSocketAddress.of(folder.resolve("n1.sock")));
    private final BufferedReader in =
        new BufferedReader(
            new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.ISO_8859_1));

    Peer() throws IOException {}

    void send(String text) throws IOException {
      channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Reads up to the line with this prefix and returns that line. */
    String readUntil(String prefix) throws IOException {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith(prefix)) {
          return line;
        }
      }
      throw new IOException("the connection ended before a line that begins with '" + prefix + "'");
    }

    /** Asks for a takeover and returns the serving process's capabilities as its own. */
    void requestTakeover() throws IOException {
      send("take n1 over 1-2\r\n");
      int length = Integer.parseInt(readUntil("who ").split(" ", 0)[1]);
      char[] capabilities = new char[length];
      for (int read = 0; read < length; ) {
        read += in.read(capabilities, read, length - read);
      }
      send("terms " + length + "\r\n" + new String(capabilities) + "\r\n");
      readUntil("agreed");
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  private static void awaitState(Loopback site, HandoverStateMachine.State expected) {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!site.life.handover().startsWith(expected.publishedName())) {
      assertTrue(System.nanoTime() < deadline, "state of the handover: " + site.life.handover());
      Thread.onSpinWait();
    }
  }

  private static void assertServed(Loopback site, Caller caller, int tag, String key)
      throws Exception {
    caller.ask(tag, "keyed", key, "x");
    site.finish(site.command().ref(), "good", 1, "fine " + tag);
    assertEquals("fine " + tag, caller.reply().body());
  }

  @Test
  void incompatibleSuccessorLearnsTheReasonAndTheServingProcessContinues() throws Exception {
    try (Loopback predecessor = startPredecessor();
        Caller caller = predecessor.new Caller()) {
      assertServed(predecessor, caller, 1, "before");
      try (Loopback successor =
          new Loopback(Sites.swapped(), NONE, 1024, folder.resolve("n1.sock"), predecessor)) {
        awaitState(successor, HandoverStateMachine.State.AWAITING_PREDECESSOR_EXIT);
        assertTrue(
            successor.life.handover().contains("keys are known by their class's place"),
            successor.life.handover());
        assertTrue(
            successor.get("/_status").contains("class 1 is"),
            "the admin endpoint shows the reason");
        assertTrue(successor.get("/_ready").startsWith("HTTP/1.1 503 "));
        awaitState(predecessor, HandoverStateMachine.State.ACTIVE);
        assertServed(predecessor, caller, 2, "meanwhile");
        caller.ask(3, "keyed", "before", "x");
        assertEquals("fine 1", caller.reply().body());
        predecessor.life.close(); // as by a kill: its keys were not handed over
        awaitState(successor, HandoverStateMachine.State.ACTIVE);
        successor.awaitTaking();
        try (Caller after = successor.new Caller()) {
          after.ask(1, "keyed", "before", "x");
          assertEquals("error", after.reply().word(), "it may have been executed");
        }
      }
    }
  }

  @Test
  void successorThatStallsAfterAllKeysWereSentOwnsNothingAndDelaysNothing() throws Exception {
    try (Loopback predecessor = startPredecessor();
        Caller caller = predecessor.new Caller();
        Peer peer = new Peer()) {
      assertServed(predecessor, caller, 1, "before");
      peer.requestTakeover();
      assertTrue(peer.readUntil("over ").contains(" "), "the completed key is sent");
      peer.readUntil("told 1");
      assertServed(predecessor, caller, 2, "meanwhile");
      peer.readUntil("over "); // keys completed later follow
      assertTrue(predecessor.get("/_ready").startsWith("HTTP/1.1 200 "));
    }
  }

  @Test
  void ownershipIsTransferredOnlyAfterTheSuccessorAcknowledgedAllKeys() throws Exception {
    try (Loopback predecessor = startPredecessor();
        Caller caller = predecessor.new Caller()) {
      caller.ask(1, "keyed", "open", "x");
      Loopback.Command execution = predecessor.command();
      try (Peer peer = new Peer()) {
        peer.requestTakeover();
        peer.readUntil("told 0");
        assertEquals("offered", predecessor.life.handover());
        peer.send("taken\r\n");
        assertTrue(peer.readUntil("key ").contains(" open "), "keys in flight are included");
        peer.readUntil("yours 1");
        assertEquals("given", predecessor.life.handover());
      }
      // The successor died before it listened.
      awaitState(predecessor, HandoverStateMachine.State.ACTIVE);
      predecessor.finish(execution.ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body());
      assertServed(predecessor, caller, 2, "after");
    }
  }

  @Test
  void buildWithoutCompletedKeyTransferIsNeverAnsweredAndBlocksNoOther() throws Exception {
    try (Loopback predecessor = startPredecessor();
        Caller caller = predecessor.new Caller();
        Peer olderPeer = new Peer()) {
      olderPeer.send("take n1\r\n");
      assertServed(predecessor, caller, 1, "k");
      try (Loopback successor =
          new Loopback(Sites.site(), NONE, 1024, folder.resolve("n1.sock"), predecessor)) {
        successor.awaitTaking(); // the unanswered peer delays no other successor
        assertEquals("closing", caller.reply().word());
      }
    }
  }

  @Test
  void malformedInputIsIgnoredAndClosesNoLink() throws Exception {
    try (Loopback predecessor = startPredecessor();
        Caller caller = predecessor.new Caller();
        Peer peer = new Peer()) {
      peer.requestTakeover();
      peer.readUntil("told 0");
      peer.send("taken\r\n");
      peer.readUntil("yours");
      peer.send("gibberish\r\nlistens\r\n");
      // The state remains "given": the peer may own the keys, and a closed link would mean that
      // this process has ended.
      assertEquals("given", predecessor.life.handover());
      caller.ask(1, "read", null, "x");
      predecessor.finish(predecessor.command().ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body(), "requests without a key are still served");
      assertEquals("given", predecessor.life.handover());
    }
  }

  @Test
  void buildWithTheFormerFormatIsHandedOverInThatFormat() throws Exception {
    try (Loopback predecessor = startPredecessor();
        Caller caller = predecessor.new Caller();
        Peer formerPeer = new Peer()) {
      assertServed(predecessor, caller, 1, "k");
      formerPeer.send("take n1 over\r\n");
      formerPeer.readUntil("over ");
      formerPeer.readUntil("handed 1");
      formerPeer.send("listens\r\n");
      formerPeer.readUntil("ceded");
      assertEquals("ceded", predecessor.life.handover());
    }
  }
}
