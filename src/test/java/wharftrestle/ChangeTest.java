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
 * Stories of a process that serves and is asked by others that cannot take over, stall, or talk
 * nonsense.
 */
@Timeout(60)
class ChangeTest {
  private static final DaemonConfig.Appliance NONE =
      new DaemonConfig.Appliance(null, null, null, "x", 24);

  @TempDir private Path folder;

  private Loopback first() throws Exception {
    return new Loopback(Sites.site(), NONE, 1024, folder.resolve("n1.sock"), null);
  }

  /** A scripted peer at the place where processes of the box meet. */
  private final class Peer implements AutoCloseable {
    private final SocketChannel channel =
        SocketChannel.open(UnixDomainSocketAddress.of(folder.resolve("n1.sock")));
    private final BufferedReader in =
        new BufferedReader(
            new InputStreamReader(Channels.newInputStream(channel), StandardCharsets.ISO_8859_1));

    Peer() throws IOException {}

    void say(String text) throws IOException {
      channel.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Reads to the line that begins so, and gives it back. */
    String until(String start) throws IOException {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith(start)) {
          return line;
        }
      }
      throw new IOException("ended before '" + start + "'");
    }

    /** Asks, and agrees with the terms of the one that serves, which it says again. */
    void asksAndAgrees() throws IOException {
      say("take n1 over 1-2\r\n");
      int length = Integer.parseInt(until("who ").split(" ", 0)[1]);
      char[] terms = new char[length];
      for (int read = 0; read < length; ) {
        read += in.read(terms, read, length - read);
      }
      say("terms " + length + "\r\n" + new String(terms) + "\r\n");
      until("agreed");
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }

  private static void awaitStep(Loopback site, HandoverStateMachine.State wanted) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!site.life.handover().startsWith(wanted.publishedName())) {
      assertTrue(System.nanoTime() < until, "it is " + site.life.handover());
      Thread.onSpinWait();
    }
  }

  private static void serves(Loopback site, Caller caller, int tag, String key) throws Exception {
    caller.ask(tag, "keyed", key, "x");
    site.finish(site.command().ref(), "good", 1, "fine " + tag);
    assertEquals("fine " + tag, caller.reply().body());
  }

  @Test
  void whoHasNoCommonGroundIsToldWhyAndTheOneThatServesGoesOnAsIfNeverAsked() throws Exception {
    try (Loopback old = first();
        Caller caller = old.new Caller()) {
      serves(old, caller, 1, "before");
      try (Loopback next =
          new Loopback(Sites.swapped(), NONE, 1024, folder.resolve("n1.sock"), old)) {
        awaitStep(next, HandoverStateMachine.State.AWAITING_PREDECESSOR_EXIT);
        assertTrue(
            next.life.handover().contains("keys are known by their class's place"),
            next.life.handover());
        assertTrue(next.get("/_status").contains("class 1 is"), "the door says why");
        assertTrue(next.get("/_ready").startsWith("HTTP/1.1 503 "));
        awaitStep(old, HandoverStateMachine.State.ACTIVE);
        serves(old, caller, 2, "meanwhile");
        caller.ask(3, "keyed", "before", "x");
        assertEquals("fine 1", caller.reply().body());
        old.life.close(); // as by a kill: what it knew was not carried along
        awaitStep(next, HandoverStateMachine.State.ACTIVE);
        next.awaitTaking();
        try (Caller after = next.new Caller()) {
          after.ask(1, "keyed", "before", "x");
          assertEquals("error", after.reply().word(), "it may have run");
        }
      }
    }
  }

  @Test
  void anAskerThatStallsAfterAllWasToldOwnsNothingAndCostsNothing() throws Exception {
    try (Loopback old = first();
        Caller caller = old.new Caller();
        Peer asker = new Peer()) {
      serves(old, caller, 1, "before");
      asker.asksAndAgrees();
      assertTrue(asker.until("over ").contains(" "), "the settled key is told");
      asker.until("told 1");
      serves(old, caller, 2, "meanwhile");
      asker.until("over "); // what settles follows
      assertTrue(old.get("/_ready").startsWith("HTTP/1.1 200 "));
    }
  }

  @Test
  void ownershipPassesOnlyAfterTheAskerSaidThatItHasAll() throws Exception {
    try (Loopback old = first();
        Caller caller = old.new Caller()) {
      caller.ask(1, "keyed", "open", "x");
      Loopback.Command run = old.command();
      try (Peer asker = new Peer()) {
        asker.asksAndAgrees();
        asker.until("told 0");
        assertEquals("offered", old.life.handover());
        asker.say("taken\r\n");
        assertTrue(asker.until("key ").contains(" open "), "with what is open");
        asker.until("yours 1");
        assertEquals("given", old.life.handover());
      }
      awaitStep(old, HandoverStateMachine.State.ACTIVE); // it died before it listened
      old.finish(run.ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body());
      serves(old, caller, 2, "after");
    }
  }

  @Test
  void aBuildThatKnowsNoWordForSettledKeysWaitsAndIsNeverAnswered() throws Exception {
    try (Loopback old = first();
        Caller caller = old.new Caller();
        Peer older = new Peer()) {
      older.say("take n1\r\n");
      serves(old, caller, 1, "k");
      try (Loopback next = new Loopback(Sites.site(), NONE, 1024, folder.resolve("n1.sock"), old)) {
        next.awaitTaking(); // and holds up nobody else
        assertEquals("closing", caller.reply().word());
      }
    }
  }

  @Test
  void nonsenseMakesThisSideDeafAndEndsNoLink() throws Exception {
    try (Loopback old = first();
        Caller caller = old.new Caller();
        Peer asker = new Peer()) {
      asker.asksAndAgrees();
      asker.until("told 0");
      asker.say("taken\r\n");
      asker.until("yours");
      asker.say("gibberish\r\nlistens\r\n");
      // It is given and stays so: the other may own the keys, and a closed link would say that this
      // one is gone.
      assertEquals("given", old.life.handover());
      caller.ask(1, "read", null, "x");
      old.finish(old.command().ref(), "good", 1, "fine");
      assertEquals("fine", caller.reply().body(), "what needs no key is served on");
      assertEquals("given", old.life.handover());
    }
  }

  @Test
  void aBuildOfTheFormerFormatIsHandedOverInItsOwnWords() throws Exception {
    try (Loopback old = first();
        Caller caller = old.new Caller();
        Peer former = new Peer()) {
      serves(old, caller, 1, "k");
      former.say("take n1 over\r\n");
      former.until("over ");
      former.until("handed 1");
      former.say("listens\r\n");
      former.until("ceded");
      assertEquals("ceded", old.life.handover());
    }
  }
}
