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
 * A front end's connection as RESP has it: arrays of words go out, answers come in. It owns the
 * socket, and judges nothing.
 */
public class RespPeer implements Closeable {
  private static final int CONNECT_MS = 1000;

  private final Socket socket = new Socket();
  private final InputStream in;

  /** An answer: what it answers, its word, its fields, its body. */
  public record Reply(String tag, String word, String fields, String body) {
    /** Its body as bytes; a character of the text is one. */
    public byte[] bytes() {
      return body.getBytes(StandardCharsets.ISO_8859_1);
    }
  }

  /**
   * @param patienceMs for which an answer is waited for
   */
  public RespPeer(InetSocketAddress to, int patienceMs) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(to, CONNECT_MS);
    socket.setSoTimeout(patienceMs);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** The socket itself, for what no front end of the protocol does. */
  public Socket socket() {
    return socket;
  }

  /** Sends one array. */
  public void send(String... words) throws IOException {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    synchronized (socket) {
      socket.getOutputStream().write(BoundedReader.ascii(text.toString()));
    }
  }

  /** Asks; the key is null where the class has none, the stamp is Unix ms. */
  public void ask(
      String tag, long reference, long door, String type, double kb, String key, String body)
      throws IOException {
    send(
        "ASK",
        tag,
        type,
        String.format("txn=%016x,door=%d,lb=1,ram=%s,standing=0.5", reference, door, kb)
            + (key == null ? "" : ",unique=" + key),
        body);
  }

  /** True where something has come that was not read yet. */
  public boolean waiting() throws IOException {
    return in.available() > 0;
  }

  /** The next answer. */
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
