package wharftrestle.testbed;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import wharftrestle.transport.BoundedReader;

/**
 * A front end's connection in RESP: sends arrays of strings and reads replies, without checking
 * them. {@link #send} may be called by several threads, {@link #reply} by one.
 */
public class RespPeer implements Closeable {
  private static final int CONNECT_MS = 1000;

  private final Socket socket = new Socket();
  private final InputStream in;
  private String tenant; // null for none

  /**
   * A reply.
   *
   * @param tag tag of the request that it answers
   * @param word kind of the reply
   */
  public record Reply(String tag, String word, String fields, String body) {
    /** The body as bytes, one for each character. */
    public byte[] bytes() {
      return body.getBytes(StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * @param replyTimeoutMs longest wait for a reply
   */
  public RespPeer(InetSocketAddress to, int replyTimeoutMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(to, CONNECT_MS);
    socket.setSoTimeout(replyTimeoutMs);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sets the tenant of the requests that are sent from now on; null for none. */
  public void useTenant(String name) {
    tenant = name;
  }

  /** The socket, for tests that violate the protocol. */
  public Socket socket() {
    return socket;
  }

  /** Sends one RESP array. */
  public void send(String... words) throws IOException {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    synchronized (socket) {
      socket.getOutputStream().write(BoundedReader.ascii(text.toString()));
    }
  }

  /**
   * Sends a request.
   *
   * @param sentAtMs timestamp of the request, Unix ms
   * @param key idempotency key; null where the class has none
   */
  public void ask(
      String tag,
      long reference,
      long sentAtMs,
      String type,
      double memoryKb,
      String key,
      String body)
      throws IOException {
    send(
        "ASK",
        tag,
        type,
        String.format("txn=%016x,door=%d,lb=1,ram=%s,standing=0.5", reference, sentAtMs, memoryKb)
            + (tenant == null ? "" : ",team=" + tenant)
            + (key == null ? "" : ",unique=" + key),
        body);
  }

  /** Whether unread bytes have arrived. */
  public boolean waiting() throws IOException {
    return in.available() > 0;
  }

  /** Reads the next reply. */
  public Reply reply() throws IOException {
    byte[][] words = new byte[Integer.parseInt(BoundedReader.line(in, 20).substring(1))][];
    for (int i = 0; i < words.length; i++) {
      words[i] =
          BoundedReader.exactly(in, Integer.parseInt(BoundedReader.line(in, 20).substring(1)));
      BoundedReader.crlf(in);
    }
    return new Reply(text(words[0]), text(words[1]), text(words[2]), text(words[3]));
  }

  private static String text(byte[] word) {
    return new String(word, StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
