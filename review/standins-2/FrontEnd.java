import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One connection of a front end: sends tries and takes their answers. It keeps at most 32 open and
 * sends nothing after '0 closing', as the protocol page says. Thread-safe.
 */
final class FrontEnd implements Closeable {
  static final int MAX_OPEN = 32;
  private static final Random RANDOM = new Random();

  private final Log log;
  private final Requests requests;
  private final Socket socket = new Socket();
  private final Map<String, Requests.Try> open = new ConcurrentHashMap<>();
  private long tag;
  private volatile boolean isClosing;
  private volatile boolean isEnded;
  private volatile long awayUntilMillis;

  FrontEnd(Log log, Requests requests, int port) throws IOException {
    this.log = log;
    this.requests = requests;
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    Rig.thread("front-end", this::read);
  }

  /** True while a further request may be sent on this connection. */
  boolean isUsable() {
    return !isClosing && !isEnded && open.size() < MAX_OPEN;
  }

  /** True while the daemon has asked this front end to stay away. */
  boolean isAskedAway() {
    return System.currentTimeMillis() < awayUntilMillis;
  }

  /** True once no further request may be sent on this connection, however few are open. */
  boolean isGone() {
    return isClosing || isEnded;
  }

  static String newId() {
    synchronized (RANDOM) {
      return String.format("%016x", RANDOM.nextLong());
    }
  }

  /** Sends one try; the key is null in classes without keys. */
  synchronized Requests.Try ask(String type, String team, String key, String body)
      throws IOException {
    String requestTag = Long.toString(++tag);
    Requests.Try sent =
        new Requests.Try(newId(), type, key, body, System.currentTimeMillis());
    String fields =
        "txn=" + sent.txn + ",door=" + sent.doorMillis + ",lb=1,team=" + team
            + ",ram=24.5,standing=0.5"
            + (key == null ? "" : ",unique=" + key);
    requests.add(sent);
    open.put(requestTag, sent);
    log.add("sent: %s tag=%s class=%s key=%s", sent.txn, requestTag, type, key);
    write("ASK", requestTag, type, fields, body);
    return sent;
  }

  private void write(String... words) throws IOException {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
  }

  private void read() {
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (; ; ) {
        int count = Integer.parseInt(Pool.line(in).substring(1));
        String[] words = {"", "", "", ""};
        for (int i = 0; i < count; i++) {
          int length = Integer.parseInt(Pool.line(in).substring(1));
          byte[] word = in.readNBytes(length);
          if (word.length < length || in.readNBytes(2).length < 2) {
            throw new EOFException();
          }
          words[i] = new String(word, StandardCharsets.ISO_8859_1);
        }
        answered(words);
      }
    } catch (IOException | RuntimeException e) {
      log.add("front end: connection ended with %d open (%s)", open.size(), e.getMessage());
      isEnded = true;
    }
  }

  private void answered(String[] words) {
    if (words[0].equals("0") && words[1].equals("closing")) {
      log.add("front end: 0 closing");
      isClosing = true;
      return;
    }
    Requests.Try request = open.remove(words[0]);
    if (request == null) {
      log.add("front end: %s %s", words[0], words[1]);
      return;
    }
    if (words[1].equals("later") && words[2].startsWith("later=")) {
      long away = Long.parseLong(words[2].substring(6).split(",")[0]);
      awayUntilMillis = System.currentTimeMillis() + away;
    }
    request.answeredMillis = System.currentTimeMillis();
    request.result = words[3];
    request.word = words[1];
    log.add(
        "answer: %s %s after %d ms %s",
        request.txn, words[1], request.answeredMillis - request.doorMillis, words[3]);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
