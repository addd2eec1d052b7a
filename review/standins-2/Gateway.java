import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A uwsgi gateway: one request on each connection, an HTTP response as its answer. */
final class Gateway {
  private final Log log;
  private final Requests requests;
  private final int port;

  Gateway(Log log, Requests requests, int port) {
    this.log = log;
    this.requests = requests;
    this.port = port;
  }

  /**
   * Sends one request and waits for its answer, which it enters into the try; the word stays null
   * where the connection ends without a whole response.
   *
   * @param halfCloseMillis so long after the last byte the path closes the gateway's side of the
   *     connection, the other way stays open; negative for never
   */
  Requests.Try ask(String type, String team, String key, String body, long halfCloseMillis)
      throws IOException, InterruptedException {
    Requests.Try sent =
        new Requests.Try(FrontEnd.newId(), type, key, body, System.currentTimeMillis());
    requests.add(sent);
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(12_000);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
      byte[] vars =
          join(
              var("REQUEST_METHOD", "POST"),
              var("PATH_INFO", "/" + type),
              var("TENANT", team),
              key == null ? new byte[0] : var("HTTP_IDEMPOTENCY_KEY", key),
              var("CONTENT_LENGTH", Integer.toString(body.length())));
      byte[] head = {0, (byte) vars.length, (byte) (vars.length >> 8), 0};
      socket
          .getOutputStream()
          .write(join(head, vars, body.getBytes(StandardCharsets.ISO_8859_1)));
      log.add("gateway: sent %s class=%s key=%s", sent.txn, type, key);
      if (halfCloseMillis >= 0) {
        Thread.sleep(halfCloseMillis);
        socket.shutdownOutput();
        log.add("trouble: the path half-closes behind %s", sent.txn);
      }
      read(sent, new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      log.add("gateway: %s ended without an answer: %s", sent.txn, e);
    }
    return sent;
  }

  private void read(Requests.Try sent, InputStream in) throws IOException {
    String status = Pool.line(in);
    int length = -1;
    for (String line = Pool.line(in); !line.isEmpty(); line = Pool.line(in)) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).trim());
      }
    }
    byte[] result = in.readNBytes(length);
    if (result.length < length) {
      throw new IOException("half a response");
    }
    sent.answeredMillis = System.currentTimeMillis();
    sent.result = new String(result, StandardCharsets.ISO_8859_1);
    sent.word = status.split(" ")[1];
    log.add("gateway: answer to %s: %s %s", sent.txn, status, sent.result);
  }

  private static byte[] var(String name, String value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (String each : new String[] {name, value}) {
      out.write(each.length());
      out.write(each.length() >> 8);
      out.writeBytes(each.getBytes(StandardCharsets.ISO_8859_1));
    }
    return out.toByteArray();
  }

  private static byte[] join(byte[]... parts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      out.writeBytes(part);
    }
    return out.toByteArray();
  }
}
