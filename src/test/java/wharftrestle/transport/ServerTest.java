package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.transport.Connection.Merit;

/**
 * How connections end, on real sockets: a gate in the front or in the peer says which side goes
 * first.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a story may spin
class ServerTest {
  private static final int WAIT_MS = 10_000;
  private static final String BYE = "bye";

  private final Counters counters = new Counters(List.of());
  private final BlockingQueue<Connection> served = new LinkedBlockingQueue<>();

  /** Opened by the story: until then a front has not gone on. */
  private final CountDownLatch gate = new CountDownLatch(1);

  /**
   * Reads bytes, each of them a request: 'x' is malformed, 'w' waits at the gate and is answered,
   * any other at once.
   */
  private class Bytewise implements Server.Front {
    @Override
    public void serve(Connection connection) throws IOException {
      served.add(connection);
      connection.settled();
      for (int c = connection.in().read(); c >= 0; c = connection.in().read()) {
        if (c == 'x') {
          throw new Server.MalformedException("x");
        }
        connection.heard(Merit.HEARD);
        if (connection.begin()) {
          byte[] answer = {(byte) Character.toUpperCase(c)};
          Runnable end =
              () -> {
                connection.send(answer);
                connection.end();
              };
          if (c == 'w') {
            new Thread(
                    () -> {
                      awaitGate();
                      end.run();
                    })
                .start();
          } else {
            end.run();
          }
        }
        if (connection.in().available() == 0) {
          connection.settled();
        }
      }
    }

    @Override
    public boolean sayClosing(Connection connection) {
      connection.send(BoundedReader.ascii(BYE));
      return true;
    }
  }

  /**
   * Whose word to go takes as long as the gate is shut, as a write to a peer that reads nothing;
   * not to silent peers.
   */
  private Server.Front deaf() {
    return new Bytewise() {
      @Override
      public boolean sayClosing(Connection connection) {
        if (connection.merit() != Merit.SILENT) {
          awaitGate();
        }
        return super.sayClosing(connection);
      }
    };
  }

  private void awaitGate() {
    try {
      gate.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Server server(int most) throws IOException {
    return server(most, new Bytewise());
  }

  private Server server(int most, Server.Front front) throws IOException {
    return server(most, 16, front);
  }

  private Server server(int most, int leaving, Server.Front front) throws IOException {
    Server server =
        new Server(
            "test",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            most,
            leaving,
            front,
            counters);
    server.listen(false, true);
    return server;
  }

  private static Socket peer(Server server) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(server.address());
    socket.setSoTimeout(WAIT_MS);
    return socket;
  }

  private static String read(Socket socket, int bytes) throws IOException {
    return new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.ISO_8859_1);
  }

  private static String rest(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(BoundedReader.ascii(text));
  }

  /**
   * Waits until so many requests are owed their answers: one is still for an instant after its peer
   * has it.
   */
  private static void awaitOwed(Server server, int requests) {
    while (server.connections().stream().mapToInt(Connection::owed).sum() != requests) {
      Thread.onSpinWait();
    }
  }

  private static void awaitNone(Server server) {
    while (!server.connections().isEmpty()) {
      Thread.onSpinWait();
    }
  }

  @Test
  void whatWasReadBeforeNonsenseIsAnsweredBeforeTheClose() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "aw");
      assertEquals("A", read(peer, 1));
      write(
          peer,
          "x" + "z".repeat(20_000)); // and more behind it, which a bare close would reset over
      while (counters.get(Count.MALFORMED) == 0) {
        Thread.onSpinWait();
      }
      gate.countDown();
      assertEquals("W", rest(peer), "its answer, then an end and no reset");
    }
  }

  @Test
  void aLongAnswerIsReadWholeThoughItsPeerWritesBehindTheEnd() throws Exception {
    byte[] answer = new byte[400_000];
    CountDownLatch returned = new CountDownLatch(1);
    Server.Front front =
        connection -> {
          connection.in().read();
          for (int sent = 0; sent < answer.length; sent += 4000) {
            connection.send(new byte[4000]);
          }
          returned.countDown();
        };
    try (Server server = server(8, front);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a" + "z".repeat(3000));
      returned.await();
      write(peer, "z"); // crosses the end of the other side
      assertEquals(answer.length, peer.getInputStream().readAllBytes().length);
    }
  }

  @Test
  void whoRestsIsToldThenHalfClosedAndItsLateWordIsDroppedWithoutAReset() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "w");
      awaitOwed(server, 1);
      server.goAway();
      assertEquals(BYE, read(peer, 3));
      write(peer, "b"); // crosses the word: it is taken, as an answer is owed still
      assertEquals("B", read(peer, 1));
      gate.countDown();
      assertEquals("W", read(peer, 1));
      assertEquals(-1, peer.getInputStream().read(), "its end");
      write(peer, "c"); // crosses the end: it is not taken, and not reset either
      write(peer, "d");
      assertEquals(-1, peer.getInputStream().read());
      peer.close();
      awaitNone(server);
    }
  }

  @Test
  void anEndWaitsForTheAnswerThatIsOwed() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "w");
      Connection connection = served.take();
      while (connection.owed() == 0) {
        Thread.onSpinWait();
      }
      server.finish();
      assertEquals(BYE, read(peer, 3));
      assertEquals(ConnectionState.Phase.CLOSING, connection.phase());
      write(peer, "b"); // after the end was decided: nothing is taken
      gate.countDown();
      assertEquals("W", rest(peer));
    }
  }

  @Test
  void aPeerThatHasEndedItsSideHasItsAnswersThenTheEnd() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "ww");
      awaitOwed(server, 2);
      peer.shutdownOutput();
      assertEquals(BYE, read(peer, 3), "its end was read");
      gate.countDown();
      String rest = rest(peer);
      assertEquals("WW", rest.replace(BYE, ""), "whatever is said to see whether it is there");
      awaitNone(server);
    }
  }

  @Test
  void aPeerThatIsGoneIsKnownToBeSoByTheWordToGo() throws Exception {
    CountDownLatch gone = new CountDownLatch(1);
    Server.Front front =
        new Bytewise() {
          @Override
          public void serve(Connection connection) throws IOException {
            connection.whenGone(gone::countDown);
            super.serve(connection);
          }
        };
    try (Server server = server(8, front);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "w");
      awaitOwed(server, 1);
      peer.close();
      assertTrue(
          gone.await(WAIT_MS, TimeUnit.MILLISECONDS), "long before its answer, which never comes");
    }
  }

  @Test
  void aPeerThatNeverEndsItsSideIsClosedInTheEnd() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a");
      assertEquals("A", read(peer, 1));
      server.finish();
      assertEquals(BYE, rest(peer));
      awaitNone(server);
    }
  }

  @Test
  void aNewcomerWithoutRoomHearsItsEndThoughItHasWritten() throws Exception {
    try (Server server = server(1);
        Socket first = peer(server);
        Socket second = peer(server)) {
      write(first, "w");
      write(second, "never read"); // both wait, with their bytes, before the first is accepted
      server.start();
      Connection busy = served.take();
      while (busy.owed() == 0) {
        Thread.onSpinWait();
      }
      assertEquals(BYE, rest(second), "no room, as the first is owed its answer");
      assertEquals(1, counters.get(Count.CONNECTIONS_REJECTED));
      gate.countDown();
      assertEquals("W", read(first, 1));
    }
  }

  @Test
  void aThreadThatCannotBeHadTurnsItsConnectionAwayAndTheNextIsServed() throws Exception {
    CountDownLatch once = new CountDownLatch(1);
    Bytewise bytewise = new Bytewise();
    Server.Front front =
        connection -> {
          if (once.getCount() > 0) {
            once.countDown();
            throw new OutOfMemoryError("made up");
          }
          bytewise.serve(connection);
        };
    try (Server server = server(8, front);
        Socket first = peer(server)) {
      server.start();
      write(first, "a");
      assertEquals("", rest(first), "an orderly end");
      try (Socket second = peer(server)) {
        write(second, "a");
        assertEquals("A", read(second, 1));
      }
    }
  }

  @Test
  void roomIsMadeByWhoOwesNothing() throws Exception {
    try (Server server = server(2);
        Socket rests = peer(server);
        Socket works = peer(server)) {
      server.start();
      write(rests, "a");
      assertEquals("A", read(rests, 1));
      awaitOwed(server, 0);
      write(works, "w");
      awaitOwed(server, 1);
      try (Socket comes = peer(server)) {
        write(comes, "c");
        assertEquals("C", read(comes, 1), "who comes with work gets in");
        assertEquals(BYE, rest(rests), "who rests is told, and ends");
        gate.countDown();
        assertEquals("W", read(works, 1));
      }
    }
  }

  @Test
  void whoCannotBeToldToGoHoldsUpNeitherNewcomersNorTheEnd() throws Exception {
    Server.Front deaf = deaf();
    try (Server server = server(1, deaf);
        Socket rests = peer(server)) {
      server.start();
      write(rests, "a");
      assertEquals("A", read(rests, 1));
      awaitOwed(server, 0);
      try (Socket comes = peer(server)) {
        write(comes, "c");
        assertEquals("C", read(comes, 1), "room was made");
        server.goAway(); // comes back at once
        gate.countDown();
        assertEquals(BYE, rest(comes));
        assertEquals(BYE, rest(rests));
      }
    }
  }

  @Test
  void silentPeersMakeRoomForWorkThoughAllWhoSayTheWordAreHeldUp() throws Exception {
    int words = 4; // threads that say it
    List<Socket> peers = new ArrayList<>();
    try (Server server = server(words + 1, words + 1, deaf())) {
      server.start();
      for (int i = 0; i < words; i++) {
        peers.add(peer(server));
        write(peers.get(i), "w"); // owed an answer: not to be closed for others
      }
      awaitOwed(server, words);
      server.goAway();
      for (int i = 0; i < words + 2; i++) {
        peers.add(peer(server)); // silent ones, one more than there is room for
      }
      try (Socket comes = peer(server)) {
        write(comes, "c");
        assertEquals("C", read(comes, 1), "who comes with work gets in");
        assertEquals(BYE, rest(peers.get(words)), "the first silent one is told, and ends");
        assertEquals(0, counters.get(Count.CONNECTIONS_REJECTED));
      }
      gate.countDown();
    } finally {
      for (Socket each : peers) {
        each.close();
      }
    }
  }

  @Test
  void allThatWaitsAtAListenerThatEndsIsTaken() throws Exception {
    try (Server server = server(8);
        Socket one = peer(server);
        Socket two = peer(server)) {
      write(one, "a");
      write(two, "b");
      server.start();
      server.stopListening();
      server.goAway(); // those that came just before
      for (Socket each : List.of(one, two)) {
        String all = rest(each);
        assertTrue(all.contains(BYE) && all.length() == 4, all);
      }
    }
  }

  @Test
  void aPeerThatReadsNothingIsCutAndItsThreadsComeBack() throws Exception {
    Server.Front flood =
        connection -> {
          connection.in().read();
          new Thread(
                  () -> {
                    while (connection.phase() != ConnectionState.Phase.CLOSED) {
                      connection.send(new byte[4000]);
                    }
                  })
              .start();
          connection.in().read();
        };
    try (Server server = server(8, flood);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a");
      while (counters.get(Count.CONNECTIONS_UNREAD) == 0) {
        Thread.onSpinWait();
      }
      awaitNone(server);
    }
  }
}
