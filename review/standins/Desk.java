package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A front end of the platform: RESP arrays on connections that it opens when it needs them, at most
 * 32 open requests on each. It heeds '0 closing' and gives up with NEVERMIND.
 */
final class Desk {
  private static final int MOST_OPEN = 32;

  private final class Connection {
    final Socket socket = new Socket();
    final Map<String, Platform.Request> open = new HashMap<>();
    boolean closing;
    boolean ended;
    long lastTag;

    Connection() throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(daemon, 2000);
      Thread reading = new Thread(this::read, "desk");
      reading.setDaemon(true);
      reading.start();
    }

    private void read() {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (String head = Bytes.line(in); head != null; head = Bytes.line(in)) {
          String[] parts = new String[Integer.parseInt(head.substring(1))];
          for (int i = 0; i < parts.length; i++) {
            parts[i] = Bytes.exactly(in, Integer.parseInt(Bytes.line(in).substring(1)));
            Bytes.crlf(in);
          }
          answered(this, parts);
        }
      } catch (IOException | RuntimeException e) {
        record.line("desk connection ended: %s", e);
      } finally {
        ended(this);
      }
    }
  }

  private final Platform platform;
  private final Record record;
  private final InetSocketAddress daemon;
  private final int number;
  private final Random random;
  private final List<Connection> connections = new ArrayList<>();
  private Connection current;

  final AtomicInteger sent = new AtomicInteger();
  final AtomicInteger done = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();
  final AtomicInteger late = new AtomicInteger();
  final AtomicInteger cutOff = new AtomicInteger();

  Desk(Platform platform, Record record, InetSocketAddress daemon, int number, long seed) {
    this.platform = platform;
    this.record = record;
    this.daemon = daemon;
    this.number = number;
    this.random = new Random(seed);
  }

  String newId() {
    synchronized (random) {
      return String.format("%016x", random.nextLong());
    }
  }

  /** Sends one try of a request; its key is null unless its class is keyed. */
  synchronized Platform.Request ask(String className, String tenant, String key) throws IOException {
    String id = newId();
    Platform.Request request =
        new Platform.Request(id, className, key, key == null ? "body of " + id : "body of key " + key);
    if (current == null || current.closing || current.ended || current.open.size() >= MOST_OPEN) {
      current = new Connection();
      connections.add(current);
    }
    Connection connection = current;
    String tag = Long.toString(++connection.lastTag);
    String fields =
        "txn=" + id + ",door=" + System.currentTimeMillis() + ",lb=" + number + ",team=" + tenant
            + ",ram=24.5,standing=0.6250" + (key == null ? "" : ",unique=" + key);
    platform.add(request);
    connection.open.put(tag, request);
    record.line("ask %s %s key=%s", id, className, key);
    sent.incrementAndGet();
    connection.socket.getOutputStream().write(array("ASK", tag, className, fields, request.body));
    return request;
  }

  static byte[] array(String... parts) {
    StringBuilder text = new StringBuilder("*" + parts.length + "\r\n");
    for (String part : parts) {
      text.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
    }
    return Bytes.of(text.toString());
  }

  private synchronized void answered(Connection connection, String[] parts) {
    if (parts[0].equals("0") && parts[1].equals("closing")) {
      connection.closing = true;
      endIfDone(connection);
      return;
    }
    Platform.Request request = connection.open.remove(parts[0]);
    if (request == null) {
      record.line("desk: answer with a tag that is not open: %s %s", parts[0], parts[1]);
      return;
    }
    request.result = parts.length > 3 ? parts[3] : "";
    request.answer = parts[1];
    record.line("answer %s %s %s", request.id, parts[1], parts.length > 2 ? parts[2] : "");
    (parts[1].equals("done") ? done : parts[1].equals("later") ? refused : failed).incrementAndGet();
    endIfDone(connection);
  }

  private void endIfDone(Connection connection) {
    if (connection.closing && connection.open.isEmpty()) {
      try {
        connection.socket.close();
      } catch (IOException e) {
        record.line("desk: close failed: %s", e);
      }
    }
  }

  private synchronized void ended(Connection connection) {
    connection.ended = true;
    for (Platform.Request request : connection.open.values()) {
      record.line("cut off %s", request.id);
      cutOff.incrementAndGet();
    }
    connection.open.clear();
  }

  /** Gives up the requests that are older than this, with NEVERMIND. */
  synchronized void giveUp(double seconds) {
    long before = System.nanoTime() - (long) (seconds * 1e9);
    connections.removeIf(connection -> connection.ended);
    for (Connection connection : connections) {
      for (String tag : List.copyOf(connection.open.keySet())) {
        Platform.Request request = connection.open.get(tag);
        if (request.writtenNanos < before) {
          connection.open.remove(tag);
          request.givenUp = true;
          late.incrementAndGet();
          record.line("no answer in time %s", request.id);
          try {
            connection.socket.getOutputStream().write(array("NEVERMIND", tag));
          } catch (IOException e) {
            record.line("desk: NEVERMIND failed: %s", e);
          }
        }
      }
      endIfDone(connection);
    }
  }

  /** True once a health check is answered as good. */
  static boolean isHealthy(InetSocketAddress daemon) {
    try (Socket socket = new Socket()) {
      socket.connect(daemon, 1000);
      socket.setSoTimeout(1000);
      socket.getOutputStream().write(array("STATUS", "8", ""));
      byte[] answer = socket.getInputStream().readNBytes(24);
      return Bytes.text(answer).contains("healthy");
    } catch (IOException e) {
      return false;
    }
  }
}
