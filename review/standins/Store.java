package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store (database) as the protocol page has it: one call at a time on a connection, a reply that
 * belongs to its call alone. A part of the good replies can be followed by a second copy.
 */
final class Store implements AutoCloseable {
  private final Record record;
  private final List<Pool> pools = new CopyOnWriteArrayList<>();
  private final Random random;
  private final int minMillis;
  private final int maxMillis;
  private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
  private final Map<String, String> replies = new ConcurrentHashMap<>();
  private volatile double copyShare;
  private volatile int copyMillis;

  final AtomicInteger calls = new AtomicInteger();
  final AtomicInteger copies = new AtomicInteger();

  Store(Record record, Pool pool, long seed, int minMillis, int maxMillis) throws IOException {
    this.record = record;
    pools.add(pool);
    this.random = new Random(seed);
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    pool.useStore(replies::get);
    Thread accepting = new Thread(this::accept, "store");
    accepting.setDaemon(true);
    accepting.start();
  }

  /** This share of the good replies brings a second copy, up to so many milliseconds behind it. */
  void bringCopies(double share, int millis) {
    copyShare = share;
    copyMillis = millis;
  }

  /** The store serves the runs of this pool too. */
  void addPool(Pool pool) {
    pools.add(pool);
    pool.useStore(replies::get);
  }

  /** The reply to this call, or null if there was none. */
  String reply(String callBody) {
    return replies.get(callBody);
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) server.getLocalSocketAddress()).getPort();
  }

  private void accept() {
    try {
      for (; ; ) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        Thread serving = new Thread(() -> serve(socket), "store-connection");
        serving.setDaemon(true);
        serving.start();
      }
    } catch (IOException closed) {
      return;
    }
  }

  private int draw(int bound) {
    synchronized (random) {
      return random.nextInt(bound);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setSoTimeout(10_000); // a connection that stays idle for 10 s is closed
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      while (serveCall(in, out)) {
        continue;
      }
    } catch (IOException | InterruptedException e) {
      return; // the call was given up, or the connection was idle
    }
  }

  private boolean serveCall(InputStream in, OutputStream out) throws IOException, InterruptedException {
    String request = Bytes.line(in);
    if (request == null) {
      return false;
    }
    String reference = "";
    int length = 0;
    for (String header = Bytes.line(in); !header.isEmpty(); header = Bytes.line(in)) {
      String value = header.substring(header.indexOf(':') + 1).trim();
      if (header.startsWith("Request-Ref:")) {
        reference = value;
      } else if (header.startsWith("Content-Length:")) {
        length = Integer.parseInt(value);
      }
    }
    String body = Bytes.exactly(in, length);
    calls.incrementAndGet();
    String ref = reference;
    if (pools.stream().noneMatch(pool -> pool.waitsFor(ref, body))) {
      record.line("store 409 for [%s]", body);
      out.write(Bytes.of("HTTP/1.1 409 Conflict\r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n"));
      return true;
    }
    record.line("store call [%s]", body);
    Thread.sleep(minMillis + draw(maxMillis - minMillis + 1));
    String reply = replies.computeIfAbsent(body, each -> "reply to " + each + " by " + Bytes.digest(each));
    byte[] message = Bytes.of("HTTP/1.1 200 OK\r\nContent-Length: " + reply.length() + "\r\n\r\n" + reply);
    boolean withCopy;
    synchronized (random) {
      withCopy = random.nextDouble() < copyShare;
    }
    out.write(message);
    if (withCopy) {
      if (copyMillis > 0) {
        Thread.sleep(1 + draw(copyMillis));
      }
      out.write(message);
      copies.incrementAndGet();
      record.line("store sent a second copy of [%s]", reply);
    }
    return true;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
