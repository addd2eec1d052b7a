package wharftrestle.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;
import wharftrestle.transport.BoundedReader;

/**
 * A fault-injecting proxy for TCP and UDP at one port on loopback. A {@link FaultRule} for each
 * direction decides what is delivered and when. It never listens on or sends to an address off
 * loopback. Thread-safe; {@link #close} closes the sockets.
 */
public final class FaultProxy implements Closeable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Attempts to find a port that is free for both TCP and UDP. */
  private static final int MAX_PORT_ATTEMPTS = 20;

  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final int MAX_DATAGRAM_BYTES = 65_000;

  private final InetSocketAddress target;
  private final ServerSocket streams;
  private final DatagramSocket datagrams;
  private final DatagramSocket targetDatagrams;
  private final FaultRule toTargetRule;
  private final FaultRule toClientRule;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private final DelayQueue<DelayedDatagram> delayedDatagrams = new DelayQueue<>();
  private volatile boolean refusing;
  private volatile boolean cut;
  private volatile InetSocketAddress datagramClient;

  /** A proxied connection: the client's socket and the socket to the target. */
  private record Pair(Socket client, Socket server) {
    /** Resets both connections; bytes in flight are lost. */
    void reset() {
      for (Socket socket : List.of(client, server)) {
        try {
          socket.setSoLinger(true, 0);
        } catch (IOException e) {
          continue; // already closed
        } finally {
          BoundedReader.closeQuietly(socket);
        }
      }
    }
  }

  /** A datagram and the System.nanoTime of its delivery. */
  private record DelayedDatagram(DatagramPacket packet, DatagramSocket via, long deliverAt)
      implements Delayed {
    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(deliverAt - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed that) {
      return Long.compare(getDelay(TimeUnit.NANOSECONDS), that.getDelay(TimeUnit.NANOSECONDS));
    }
  }

  /**
   * @param target address on loopback
   * @param seed seed of all random choices
   */
  public FaultProxy(InetSocketAddress target, long seed) throws IOException {
    if (!target.getAddress().isLoopbackAddress()) {
      throw new IOException("the target of a proxy has to be on loopback, got " + target);
    }
    this.target = target;
    toTargetRule = new FaultRule(seed);
    toClientRule = new FaultRule(seed + 1);
    Ports ports = ports(0);
    streams = ports.streams();
    datagrams = ports.datagrams();
    targetDatagrams = new DatagramSocket(0, LOOPBACK);
    thread(this::accept);
    thread(() -> forwardDatagrams(datagrams, targetDatagrams, toTargetRule));
    thread(() -> forwardDatagrams(targetDatagrams, datagrams, toClientRule));
    thread(this::sendDelayed);
  }

  /** A TCP and a UDP socket with the same port number. */
  record Ports(ServerSocket streams, DatagramSocket datagrams) {}

  /**
   * Binds the same port for TCP and UDP: the preferred one if it is free, else any. The kernel
   * chooses a free TCP port without regard to UDP, so another process may hold its UDP port; then
   * the next port is tried.
   */
  static Ports ports(int preferred) throws IOException {
    int port = preferred;
    for (int attempts = 0; ; attempts++) {
      ServerSocket streams = null;
      try {
        streams = new ServerSocket(port, 100, LOOPBACK);
        return new Ports(streams, new DatagramSocket(streams.getLocalPort(), LOOPBACK));
      } catch (IOException taken) {
        BoundedReader.closeQuietly(streams);
        port = 0;
        if (attempts >= MAX_PORT_ATTEMPTS) {
          throw taken;
        }
      }
    }
  }

  /** Address at which the proxy listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) streams.getLocalSocketAddress();
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void thread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException closed) {
                return;
              }
            },
            "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  // ---- Faults ----

  /** Applies an effect to the direction to the target, to the client, or to both. */
  public void apply(
      FaultRule.Effect effect, double value, double jitterMs, boolean toTarget, boolean toClient) {
    if (toTarget) {
      synchronized (toTargetRule) {
        toTargetRule.apply(effect, value, jitterMs);
      }
    }
    if (toClient) {
      synchronized (toClientRule) {
        toClientRule.apply(effect, value, jitterMs);
      }
    }
  }

  /** Resets all connections and refuses new ones until {@link #heal}. */
  public void cut() {
    cut = true;
    refusing = true;
    pairs.forEach(Pair::reset);
    pairs.clear();
  }

  /** Refuses new connections until {@link #heal}; existing ones stay open. */
  public void refuse() {
    refusing = true;
  }

  /** Shuts down the direction to the target of all connections; the other direction stays open. */
  public void halfClose() {
    pairs.forEach(
        pair -> {
          try {
            pair.server().shutdownOutput();
          } catch (IOException ended) {
            return;
          }
        });
  }

  public void heal() {
    cut = false;
    refusing = false;
    for (FaultRule rule : List.of(toTargetRule, toClientRule)) {
      synchronized (rule) {
        rule.heal();
        rule.notifyAll();
      }
    }
  }

  // ---- Streams ----

  private void accept() throws IOException {
    for (; ; ) {
      Socket client = streams.accept();
      if (refusing) {
        new Pair(client, client).reset();
        continue;
      }
      thread(
          () -> {
            Socket server = new Socket();
            try {
              server.connect(target, CONNECT_TIMEOUT_MS);
            } catch (IOException unreachable) {
              new Pair(client, server).reset();
              return;
            }
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            Pair pair = new Pair(client, server);
            pairs.add(pair);
            thread(() -> pump(pair, client, server, toTargetRule));
            thread(() -> pump(pair, server, client, toClientRule));
            if (cut) {
              pair.reset();
            }
          });
    }
  }

  private void pump(Pair pair, Socket from, Socket out, FaultRule rule)
      throws InterruptedException {
    byte[] bytes = new byte[16 * 1024];
    try {
      for (int read = from.getInputStream().read(bytes);
          read >= 0;
          read = from.getInputStream().read(bytes)) {
        await(rule, read);
        out.getOutputStream().write(bytes, 0, read);
      }
      out.shutdownOutput();
    } catch (IOException ended) {
      pair.reset();
      pairs.remove(pair);
    }
  }

  private static void await(FaultRule rule, int bytes) throws InterruptedException {
    synchronized (rule) {
      double deliverAt = rule.deliveryTime(bytes, System.nanoTime() / 1e6);
      for (; ; ) {
        long remainingMs = (long) Math.ceil(deliverAt - System.nanoTime() / 1e6);
        if (rule.blackholed()) {
          rule.wait();
        } else if (remainingMs > 0) {
          rule.wait(remainingMs);
        } else {
          return;
        }
      }
    }
  }

  // ---- Datagrams: replies go to the client that sent the last one ----

  private void forwardDatagrams(DatagramSocket from, DatagramSocket via, FaultRule rule)
      throws IOException {
    for (byte[] bytes = new byte[MAX_DATAGRAM_BYTES]; ; ) {
      DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
      from.receive(packet);
      if (from == datagrams) {
        datagramClient = (InetSocketAddress) packet.getSocketAddress();
      }
      InetSocketAddress destination = from == datagrams ? target : datagramClient;
      if (destination == null || cut) {
        continue;
      }
      double[] times;
      long now = System.nanoTime();
      synchronized (rule) {
        times = rule.datagramDeliveries(now / 1e6);
      }
      for (double deliverAt : times) {
        delayedDatagrams.add(
            new DelayedDatagram(
                new DatagramPacket(
                    Arrays.copyOf(bytes, packet.getLength()), packet.getLength(), destination),
                via,
                now + (long) (deliverAt * 1e6 - now)));
      }
    }
  }

  private void sendDelayed() throws IOException, InterruptedException {
    for (; ; ) {
      DelayedDatagram next = delayedDatagrams.take();
      next.via().send(next.packet());
    }
  }

  @Override
  public void close() throws IOException {
    streams.close();
    datagrams.close();
    targetDatagrams.close();
    pairs.forEach(Pair::reset);
  }
}
