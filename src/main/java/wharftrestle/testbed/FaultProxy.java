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
 * A path between two parties that can be made to fail: a proxy on loopback for TCP and for UDP at
 * one port each, whose {@link FaultRule}s decide what comes through. It owns the sockets. It must
 * never listen or send off loopback.
 */
public final class FaultProxy implements Closeable {
  private static final InetAddress HOST = InetAddress.getLoopbackAddress();

  /** Tries for a port that is free for both kinds. */
  private static final int MOST_TRIES = 20;

  private static final int CONNECT_MS = 1000;
  private static final int LARGEST = 65_000;

  private final InetSocketAddress to;
  private final ServerSocket streams;
  private final DatagramSocket datagrams;
  private final DatagramSocket back;
  private final FaultRule there;
  private final FaultRule here;
  private final List<Pair> pairs = new CopyOnWriteArrayList<>();
  private final DelayQueue<Late> late = new DelayQueue<>();
  private volatile boolean refuses;
  private volatile boolean cut;
  private volatile InetSocketAddress caller;

  /** Two sockets whose bytes are passed on. */
  private record Pair(Socket one, Socket other) {
    /** Ends both at once, with what is under way. */
    void reset() {
      for (Socket each : List.of(one, other)) {
        try {
          each.setSoLinger(true, 0);
        } catch (IOException e) {
          continue; // it has ended already
        } finally {
          BoundedReader.closeQuietly(each);
        }
      }
    }
  }

  /** A datagram on its way. */
  private record Late(DatagramPacket packet, DatagramSocket by, long at) implements Delayed {
    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(at - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed that) {
      return Long.compare(getDelay(TimeUnit.NANOSECONDS), that.getDelay(TimeUnit.NANOSECONDS));
    }
  }

  /**
   * @param to on loopback
   * @param seed of all that is drawn
   */
  public FaultProxy(InetSocketAddress to, long seed) throws IOException {
    if (!to.getAddress().isLoopbackAddress()) {
      throw new IOException("a link leads to loopback alone, not to " + to);
    }
    this.to = to;
    there = new FaultRule(seed);
    here = new FaultRule(seed + 1);
    Ports mine = ports(0);
    streams = mine.streams();
    datagrams = mine.datagrams();
    back = new DatagramSocket(0, HOST);
    thread(this::accept);
    thread(() -> pass(datagrams, back, there));
    thread(() -> pass(back, datagrams, here));
    thread(this::sendLate);
  }

  /** One port, for connections and for datagrams. */
  record Ports(ServerSocket streams, DatagramSocket datagrams) {}

  /**
   * A port of both kinds, that one where it can be had and else any. Guards against a port that is
   * free for one kind and held for the other by somebody else on this machine: the system chooses
   * by one kind alone.
   */
  static Ports ports(int wanted) throws IOException {
    int port = wanted;
    for (int tries = 0; ; tries++) {
      ServerSocket streams = null;
      try {
        streams = new ServerSocket(port, 100, HOST);
        return new Ports(streams, new DatagramSocket(streams.getLocalPort(), HOST));
      } catch (IOException taken) {
        BoundedReader.closeQuietly(streams);
        port = 0;
        if (tries >= MOST_TRIES) {
          throw taken;
        }
      }
    }
  }

  /** Where it is reached. */
  public InetSocketAddress address() {
    return (InetSocketAddress) streams.getLocalSocketAddress();
  }

  private interface Body {
    void run() throws IOException, InterruptedException;
  }

  private static void thread(Body body) {
    Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (IOException | InterruptedException closed) {
                return;
              }
            },
            "link");
    thread.setDaemon(true);
    thread.start();
  }

  // ---- What can go wrong ----

  /** Something goes wrong on the way there, on the way back, or on both. */
  public void trouble(
      FaultRule.Trouble what,
      double value,
      double more,
      boolean onTheWayThere,
      boolean onTheWayBack) {
    if (onTheWayThere) {
      synchronized (there) {
        there.trouble(what, value, more);
      }
    }
    if (onTheWayBack) {
      synchronized (here) {
        here.trouble(what, value, more);
      }
    }
  }

  /** All connections end at once, and none can be made until it is healed. */
  public void cut() {
    cut = true;
    refuses = true;
    pairs.forEach(Pair::reset);
    pairs.clear();
  }

  /** No connection can be made from now on; those that are go on. */
  public void refuse() {
    refuses = true;
  }

  /** Nothing more is sent on the way there, and that is said: the other way goes on. */
  public void halfClose() {
    pairs.forEach(
        pair -> {
          try {
            pair.other().shutdownOutput();
          } catch (IOException ended) {
            return;
          }
        });
  }

  public void heal() {
    cut = false;
    refuses = false;
    for (FaultRule wire : List.of(there, here)) {
      synchronized (wire) {
        wire.heal();
        wire.notifyAll();
      }
    }
  }

  // ---- Streams ----

  private void accept() throws IOException {
    for (; ; ) {
      Socket one = streams.accept();
      if (refuses) {
        new Pair(one, one).reset();
        continue;
      }
      thread(
          () -> {
            Socket other = new Socket();
            try {
              other.connect(to, CONNECT_MS);
            } catch (IOException none) {
              new Pair(one, other).reset();
              return;
            }
            one.setTcpNoDelay(true);
            other.setTcpNoDelay(true);
            Pair pair = new Pair(one, other);
            pairs.add(pair);
            thread(() -> pump(pair, one, other, there));
            thread(() -> pump(pair, other, one, here));
            if (cut) {
              pair.reset();
            }
          });
    }
  }

  private void pump(Pair pair, Socket from, Socket into, FaultRule wire)
      throws InterruptedException {
    byte[] bytes = new byte[16 * 1024];
    try {
      for (int read = from.getInputStream().read(bytes);
          read >= 0;
          read = from.getInputStream().read(bytes)) {
        await(wire, read);
        into.getOutputStream().write(bytes, 0, read);
      }
      into.shutdownOutput();
    } catch (IOException ended) {
      pair.reset();
      pairs.remove(pair);
    }
  }

  private static void await(FaultRule wire, int bytes) throws InterruptedException {
    synchronized (wire) {
      double at = wire.passes(bytes, System.nanoTime() / 1e6);
      for (; ; ) {
        long left = (long) Math.ceil(at - System.nanoTime() / 1e6);
        if (wire.hole()) {
          wire.wait();
        } else if (left > 0) {
          wire.wait(left);
        } else {
          return;
        }
      }
    }
  }

  // ---- Datagrams: the last who sent one has the answers ----

  private void pass(DatagramSocket from, DatagramSocket by, FaultRule wire) throws IOException {
    for (byte[] bytes = new byte[LARGEST]; ; ) {
      DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
      from.receive(packet);
      if (from == datagrams) {
        caller = (InetSocketAddress) packet.getSocketAddress();
      }
      InetSocketAddress next = from == datagrams ? to : caller;
      if (next == null || cut) {
        continue;
      }
      double[] times;
      long now = System.nanoTime();
      synchronized (wire) {
        times = wire.datagram(now / 1e6);
      }
      for (double at : times) {
        late.add(
            new Late(
                new DatagramPacket(
                    Arrays.copyOf(bytes, packet.getLength()), packet.getLength(), next),
                by,
                now + (long) (at * 1e6 - now)));
      }
    }
  }

  private void sendLate() throws IOException, InterruptedException {
    for (; ; ) {
      Late next = late.take();
      next.by().send(next.packet());
    }
  }

  @Override
  public void close() throws IOException {
    streams.close();
    datagrams.close();
    back.close();
    pairs.forEach(Pair::reset);
  }
}
