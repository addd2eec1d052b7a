import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A store: answers each call with its own body after some milliseconds. Thread-safe. */
final class Store implements Closeable {
  private final Log log;
  private final ServerSocket server;
  private volatile long millis = 20;

  Store(Log log) throws IOException {
    this.log = log;
    server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    Rig.thread("store-accept", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Milliseconds that a call takes from now on. */
  void take(long callMillis) {
    millis = callMillis;
  }

  private void accept() {
    try {
      for (; ; ) {
        Socket socket = server.accept();
        Rig.thread("store-call", () -> serve(socket));
      }
    } catch (IOException closed) {
      return;
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (; ; ) {
        int length = 0;
        String reference = "";
        String head = Pool.line(in);
        for (String line = Pool.line(in); !line.isEmpty(); line = Pool.line(in)) {
          String[] field = line.split(": ", 2);
          String name = field[0].toLowerCase(Locale.ROOT);
          length = name.equals("content-length") ? Integer.parseInt(field[1]) : length;
          reference = name.equals("request-ref") ? field[1] : reference;
        }
        String body = new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        log.add("store: %s for %s: %s", head, reference, body);
        Thread.sleep(millis);
        String reply = "reply to " + body;
        socket
            .getOutputStream()
            .write(
                ("HTTP/1.1 200 OK\r\nContent-Length: " + reply.length() + "\r\n\r\n" + reply)
                    .getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException | InterruptedException ended) {
      return;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
