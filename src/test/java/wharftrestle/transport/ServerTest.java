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
 * How connections end, on real sockets. A latch in the front end or in the peer determines which
 * side acts first.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a test may spin
class ServerTest {
  private static final int WAIT_MS = 10_000;
  private static final String GO_AWAY = "bye";

  private final Counters counters = new Counters(List.of());
  private final BlockingQueue<Connection> served = new LinkedBlockingQueue<>();

  /** Opened by the test; front ends wait for it. */
  private final CountDownLatch gate = new CountDownLatch(1);

  /**
   * Each byte is a request: 'x' is malformed, 'w' is answered once the gate is open, any other at
   * once.
   */
  private class ByteFrontend implements Server.Front {
    @Override
    public void serve(Connection connection) throws IOException {
      served.add(connection);
      connection.markInputHandled();
      for (int c = connection.in().read(); c >= 0; c = connection.in().read()) {
        if (c == 'x') {
          throw new Server.MalformedException("x");
        }
        connection.heard(Merit.HEARD);
        if (connection.beginRequest()) {
          byte[] answer = {(byte) Character.toUpperCase(c)};
          Runnable finish =
              () -> {
                connection.send(answer);
                connection.completeRequest();
              };
          if (c == 'w') {
            new Thread(
                    () -> {
                      awaitGate();
                      finish.run();
                    })
                .start();
          } else {
            finish.run();
          }
        }
        if (connection.in().available() == 0) {
          connection.markInputHandled();
        }
      }
    }

    @Override
    public boolean notifyClosing(Connection connection) {
      connection.send(BoundedReader.ascii(GO_AWAY));
      return true;
    }
  }

  /**
   * A front end whose go-away message blocks until the gate is open, like a write to a peer that
   * does not read; messages to silent peers do not block.
   */
  private Server.Front blockingGoAway() {
    return new ByteFrontend() {
      @Override
      public boolean notifyClosing(Connection connection) {
        if (connection.merit() != Merit.SILENT) {
          awaitGate();
        }
        return super.notifyClosing(connection);
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

  private Server server(int maxConnections) throws IOException {
    return server(maxConnections, new ByteFrontend());
  }

  private Server server(int maxConnections, Server.Front frontend) throws IOException {
    return server(maxConnections, 16, frontend);
  }

  private Server server(int maxConnections, int maxClosing, Server.Front frontend)
      throws IOException {
    Server server =
        new Server(
            "test",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            maxConnections,
            maxClosing,
            frontend,
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

  private static String readRemaining(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(BoundedReader.ascii(text));
  }

  /**
   * Waits until this number of requests is in flight; a request still counts for an instant after
   * its peer has the answer.
   */
  private static void awaitInFlight(Server server, int requests) {
    while (server.connections().stream().mapToInt(Connection::inFlight).sum() != requests) {
      Thread.onSpinWait();
    }
  }

  private static void awaitNoConnections(Server server) {
    while (!server.connections().isEmpty()) {
      Thread.onSpinWait();
    }
  }

  @Test
  void requestsBeforeMalformedInputAreAnsweredBeforeTheClose() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "aw");
      assertEquals("A", read(peer, 1));
      write(
          peer,
          "x"
              + "z"
                  .repeat(
                      20_000)); // and more input after it, over which a plain close would reset the
      // connection
      while (counters.get(Count.MALFORMED) == 0) {
        Thread.onSpinWait();
      }
      gate.countDown();
      assertEquals("W", readRemaining(peer), "the answer, then a close without a reset");
    }
  }

  @Test
  void longAnswerArrivesWholeThoughThePeerWritesAfterTheShutdown() throws Exception {
    byte[] answer = new byte[400_000];
    CountDownLatch returned = new CountDownLatch(1);
    Server.Front frontend =
        connection -> {
          connection.in().read();
          for (int sent = 0; sent < answer.length; sent += 4000) {
            connection.send(new byte[4000]);
          }
          returned.countDown();
        };
    try (Server server = server(8, frontend);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a" + "z".repeat(3000));
      returned.await();
      write(peer, "z"); // crosses the shutdown of the server's output
      assertEquals(answer.length, peer.getInputStream().readAllBytes().length);
    }
  }

  @Test
  void goAwayIsFollowedByHalfCloseAndLateInputIsDiscardedWithoutAReset() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "w");
      awaitInFlight(server, 1);
      server.goAway();
      assertEquals(GO_AWAY, read(peer, 3));
      write(peer, "b"); // crosses the go-away message: accepted, as a request is still in flight
      assertEquals("B", read(peer, 1));
      gate.countDown();
      assertEquals("W", read(peer, 1));
      assertEquals(-1, peer.getInputStream().read(), "end of stream");
      write(peer, "c"); // crosses the shutdown: neither accepted nor reset
      write(peer, "d");
      assertEquals(-1, peer.getInputStream().read());
      peer.close();
      awaitNoConnections(server);
    }
  }

  @Test
  void closeWaitsForRequestsInFlight() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "w");
      Connection connection = served.take();
      while (connection.inFlight() == 0) {
        Thread.onSpinWait();
      }
      server.finish();
      assertEquals(GO_AWAY, read(peer, 3));
      assertEquals(ConnectionState.Phase.CLOSING, connection.phase());
      write(peer, "b"); // after finish(): not accepted
      gate.countDown();
      assertEquals("W", readRemaining(peer));
    }
  }

  @Test
  void peerThatShutDownItsOutputGetsItsAnswersBeforeTheClose() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "ww");
      awaitInFlight(server, 2);
      peer.shutdownOutput();
      assertEquals(GO_AWAY, read(peer, 3), "the server has read the end of the input");
      gate.countDown();
      String received = readRemaining(peer);
      assertEquals(
          "WW", received.replace(GO_AWAY, ""), "apart from go-away messages that probe the peer");
      awaitNoConnections(server);
    }
  }

  @Test
  void goAwayMessageDetectsADisconnectedPeer() throws Exception {
    CountDownLatch disconnected = new CountDownLatch(1);
    Server.Front frontend =
        new ByteFrontend() {
          @Override
          public void serve(Connection connection) throws IOException {
            connection.onDisconnect(disconnected::countDown);
            super.serve(connection);
          }
        };
    try (Server server = server(8, frontend);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "w");
      awaitInFlight(server, 1);
      peer.close();
      assertTrue(
          disconnected.await(WAIT_MS, TimeUnit.MILLISECONDS),
          "long before its answer, which is never sent");
    }
  }

  @Test
  void peerThatNeverClosesIsClosedAfterTheDeadline() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a");
      assertEquals("A", read(peer, 1));
      server.finish();
      assertEquals(GO_AWAY, readRemaining(peer));
      awaitNoConnections(server);
    }
  }

  @Test
  void peerRejectedAtTheLimitGetsAGoAwayThoughItHasWritten() throws Exception {
    try (Server server = server(1);
        Socket first = peer(server);
        Socket second = peer(server)) {
      write(first, "w");
      write(
          second, "never read"); // both are queued, with their bytes, before the first is accepted
      server.start();
      Connection busy = served.take();
      while (busy.inFlight() == 0) {
        Thread.onSpinWait();
      }
      assertEquals(
          GO_AWAY, readRemaining(second), "rejected, as the first has a request in flight");
      assertEquals(1, counters.get(Count.CONNECTIONS_REJECTED));
      gate.countDown();
      assertEquals("W", read(first, 1));
    }
  }

  @Test
  void errorInAConnectionThreadClosesItsConnectionAndTheNextIsServed() throws Exception {
    CountDownLatch firstCall = new CountDownLatch(1);
    ByteFrontend byteFrontend = new ByteFrontend();
    Server.Front frontend =
        connection -> {
          if (firstCall.getCount() > 0) {
            firstCall.countDown();
            throw new OutOfMemoryError("injected");
          }
          byteFrontend.serve(connection);
        };
    try (Server server = server(8, frontend);
        Socket first = peer(server)) {
      server.start();
      write(first, "a");
      assertEquals("", readRemaining(first), "closed without a reset");
      try (Socket second = peer(server)) {
        write(second, "a");
        assertEquals("A", read(second, 1));
      }
    }
  }

  @Test
  void connectionWithoutRequestsInFlightIsEvicted() throws Exception {
    try (Server server = server(2);
        Socket idlePeer = peer(server);
        Socket busyPeer = peer(server)) {
      server.start();
      write(idlePeer, "a");
      assertEquals("A", read(idlePeer, 1));
      awaitInFlight(server, 0);
      write(busyPeer, "w");
      awaitInFlight(server, 1);
      try (Socket newPeer = peer(server)) {
        write(newPeer, "c");
        assertEquals("C", read(newPeer, 1), "a new peer with a request is served");
        assertEquals(
            GO_AWAY, readRemaining(idlePeer), "the idle peer is sent a go-away and closed");
        gate.countDown();
        assertEquals("W", read(busyPeer, 1));
      }
    }
  }

  @Test
  void blockedGoAwayDelaysNeitherNewConnectionsNorTheShutdown() throws Exception {
    Server.Front blockingGoAway = blockingGoAway();
    try (Server server = server(1, blockingGoAway);
        Socket idlePeer = peer(server)) {
      server.start();
      write(idlePeer, "a");
      assertEquals("A", read(idlePeer, 1));
      awaitInFlight(server, 0);
      try (Socket newPeer = peer(server)) {
        write(newPeer, "c");
        assertEquals("C", read(newPeer, 1), "an idle peer was evicted");
        server.goAway(); // returns at once
        gate.countDown();
        assertEquals(GO_AWAY, readRemaining(newPeer));
        assertEquals(GO_AWAY, readRemaining(idlePeer));
      }
    }
  }

  @Test
  void silentPeersAreEvictedThoughAllGoAwayThreadsAreBlocked() throws Exception {
    int goAwayThreads = 4; // threads that send it
    List<Socket> peers = new ArrayList<>();
    try (Server server = server(goAwayThreads + 1, goAwayThreads + 1, blockingGoAway())) {
      server.start();
      for (int i = 0; i < goAwayThreads; i++) {
        peers.add(peer(server));
        write(peers.get(i), "w"); // in flight: must not be evicted
      }
      awaitInFlight(server, goAwayThreads);
      server.goAway();
      for (int i = 0; i < goAwayThreads + 2; i++) {
        peers.add(peer(server)); // silent peers, one more than the limit
      }
      try (Socket newPeer = peer(server)) {
        write(newPeer, "c");
        assertEquals("C", read(newPeer, 1), "a new peer with a request is served");
        assertEquals(
            GO_AWAY,
            readRemaining(peers.get(goAwayThreads)),
            "the first silent peer is sent a go-away and closed");
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
  void connectionsQueuedAtAClosingListenerAreAccepted() throws Exception {
    try (Server server = server(8);
        Socket first = peer(server);
        Socket second = peer(server)) {
      write(first, "a");
      write(second, "b");
      server.start();
      server.stopListening();
      server.goAway(); // includes the two accepted last
      for (Socket each : List.of(first, second)) {
        String received = readRemaining(each);
        assertTrue(received.contains(GO_AWAY) && received.length() == 4, received);
      }
    }
  }

  /** Guards against peers that keep their places by sending on after the go-away message. */
  @Test
  void peerThatIgnoresTheGoAwayMessage_isClosed() throws Exception {
    try (Server server = server(8);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a");
      assertEquals("A", read(peer, 1));
      server.sendAway(0);
      Thread sending =
          new Thread(
              () -> {
                try {
                  for (; ; ) {
                    write(peer, "b");
                    Thread.sleep(10);
                  }
                } catch (IOException | InterruptedException closed) {
                  return;
                }
              });
      sending.start();
      awaitNoConnections(server);
      sending.join();
    }
  }

  /** Guards against ordinary peers that lose their places to those who send without pause. */
  @Test
  void peerOverItsShare_atTheLimit_isEvictedBeforeOneThatWaits() throws Exception {
    Server.Front delayingFrontend =
        connection -> {
          for (int c = connection.in().read(); c >= 0; c = connection.in().read()) {
            if (c == 'd') {
              connection.delayInput(1_000_000);
              connection.readUntil(0); // without a deadline, as before
            }
            connection.heard(Merit.SERVED);
            connection.send(BoundedReader.ascii("ok"));
            connection.markInputHandled();
          }
        };
    try (Server server = server(2, delayingFrontend);
        Socket ordinary = peer(server);
        Socket greedy = peer(server)) {
      server.start();
      write(ordinary, "a");
      assertEquals("ok", read(ordinary, 2));
      write(greedy, "d");
      assertEquals("ok", read(greedy, 2)); // it has sent last, and is idle for the shorter time
      try (Socket newPeer = peer(server)) {
        write(newPeer, "a");
        assertEquals("ok", read(newPeer, 2));
        assertEquals(-1, greedy.getInputStream().read(), "its connection is ended");
        write(ordinary, "a");
        assertEquals("ok", read(ordinary, 2));
      }
    }
  }

  /**
   * Guards against new peers that are turned away because peers that do not read fill the table.
   */
  @Test
  void peersThatReadNothing_atTheLimit_giveWayToNewOnes() throws Exception {
    Server.Front floodingFrontend =
        connection -> {
          for (int c = connection.in().read(); c >= 0; c = connection.in().read()) {
            connection.heard(Merit.HEARD);
            if (c == 'f') {
              served.add(connection);
              while (connection.phase() != ConnectionState.Phase.CLOSED) {
                connection.send(new byte[4000]);
              }
            }
            connection.send(BoundedReader.ascii("ok"));
          }
        };
    int maxConnections = 2;
    int maxClosing = 2;
    List<Socket> flooding = new ArrayList<>();
    try (Server server = server(maxConnections, maxClosing, floodingFrontend)) {
      server.start();
      for (int i = 0; i < maxConnections + maxClosing; i++) {
        flooding.add(peer(server));
        write(flooding.get(i), "f");
        served.take();
      }
      Thread.sleep(1500); // longer than a peer is given at the limit, shorter than otherwise
      try (Socket ordinary = peer(server)) {
        write(ordinary, "a");
        assertEquals("ok", read(ordinary, 2));
      }
    } finally {
      for (Socket peer : flooding) {
        peer.close();
      }
    }
  }

  @Test
  void peerThatReadsNothingIsClosedAndItsThreadsEnd() throws Exception {
    Server.Front floodingFrontend =
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
    try (Server server = server(8, floodingFrontend);
        Socket peer = peer(server)) {
      server.start();
      write(peer, "a");
      while (counters.get(Count.CONNECTIONS_UNREAD) == 0) {
        Thread.onSpinWait();
      }
      awaitNoConnections(server);
    }
  }
}
