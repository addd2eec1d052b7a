package wharftrestle.prove;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import wharftrestle.transport.BoundedReader;

/**
 * One misbehaving client of a daemon, on one connection at a time. It runs until it is stopped and
 * connects again whenever its connection ends.
 */
final class HostileClient implements Runnable {

  /** The ways to misbehave; the protocol is RESP unless the name says uwsgi. */
  enum Kind {
    /** Sends valid requests, and the next one as soon as one is answered. */
    REPEATS_AT_ONCE,
    /** The same with ever new keys, tags, front end numbers and subjects. */
    NEW_NAMES,
    /** Sends requests of an unknown class, the next as soon as one is answered. */
    UNSOUND,
    /** Sends health checks without waiting for their answers. */
    HEALTH_CHECKS,
    /** Sends requests and withdraws each of them at once. */
    WITHDRAWALS,
    /** Withdraws requests that it never sent. */
    UNKNOWN_WITHDRAWALS,
    /** Sends health checks and never reads an answer. */
    NEVER_READS,
    /** Writes a large request slowly, a few bytes at a time. */
    SLOW,
    /** Stops half way through a large request. */
    HALF_REQUEST,
    /** Sends requests whose fields are as many and as short as the protocol allows. */
    MANY_FIELDS,
    /** Sends thirty requests and closes its connection at once. */
    LEAVES,
    /** The same, but resets the connection. */
    RESETS,
    /** Sends keyed requests, closes its connection, and sends the same keys on a new one. */
    RETURNS,
    /** Connects and closes the connection again. */
    RECONNECTS,
    /** Stops half way through the variables of a gateway's request. */
    UWSGI_HALF_REQUEST,
    /** Writes a gateway's request slowly, a few bytes at a time. */
    UWSGI_SLOW,
    /** Sends a gateway's request of as many variables as fit into one. */
    UWSGI_MANY_VARIABLES
  }

  private static final int OPEN_REQUESTS = 16;
  private static final int LEAVING_REQUESTS = 30;
  private static final int SLOW_CHUNK_BYTES = 4;
  private static final long SLOW_PAUSE_NANOS = 20_000_000;
  private static final int READ_TIMEOUT_MS = 5000;
  private static final int UWSGI_VARIABLES_BYTES = 32_000;
  private static final AtomicLong NEXT_NUMBER = new AtomicLong(1L << 40);

  private final Kind kind;
  private final InetSocketAddress address;
  private final String tenant;
  private final BooleanSupplier isStopped;
  private final LeftCallers leftCallers;
  private final AtomicLong messages;

  HostileClient(
      Kind kind,
      InetSocketAddress address,
      String tenant,
      BooleanSupplier isStopped,
      LeftCallers leftCallers,
      AtomicLong messages) {
    this.kind = kind;
    this.address = address;
    this.tenant = tenant;
    this.isStopped = isStopped;
    this.leftCallers = leftCallers;
    this.messages = messages;
  }

  @Override
  public void run() {
    while (!isStopped.getAsBoolean()) {
      try (Socket socket = new Socket()) {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.connect(address, 2000);
        runConnection(socket);
      } catch (IOException ended) {
        LockSupport.parkNanos(kind == Kind.RECONNECTS ? 0 : 1_000_000);
      }
    }
  }

  private void runConnection(Socket socket) throws IOException {
    switch (kind) {
      case REPEATS_AT_ONCE, NEW_NAMES, MANY_FIELDS -> sendOnEachAnswer(socket, OPEN_REQUESTS);
      case UNSOUND -> sendOnEachAnswer(socket, 1);
      case HEALTH_CHECKS, WITHDRAWALS, UNKNOWN_WITHDRAWALS -> {
        Thread reader = new Thread(() -> discardInput(socket), "hostile-reader");
        reader.setDaemon(true);
        reader.start();
        writeWithoutPause(socket);
      }
      case NEVER_READS -> writeWithoutPause(socket);
      case SLOW -> writeSlowly(socket, largeRequest());
      case UWSGI_SLOW -> writeSlowly(socket, gatewayRequest(UWSGI_VARIABLES_BYTES, 1000));
      case HALF_REQUEST -> writeHalf(socket, largeRequest());
      case UWSGI_HALF_REQUEST -> writeHalf(socket, gatewayRequest(UWSGI_VARIABLES_BYTES, 1000));
      case UWSGI_MANY_VARIABLES -> {
        socket.getOutputStream().write(gatewayRequest(UWSGI_VARIABLES_BYTES, 0));
        messages.incrementAndGet();
        discardInput(socket);
      }
      case LEAVES, RESETS -> leave(socket);
      case RETURNS -> returnWithSameKeys(socket);
      case RECONNECTS -> messages.incrementAndGet();
    }
  }

  private void sendOnEachAnswer(Socket socket, int openRequests) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    for (int i = 0; i < openRequests; i++) {
      write(socket, message());
    }
    while (!isStopped.getAsBoolean()) {
      if (!readReply(in).equals("0")) {
        write(socket, message());
      }
    }
  }

  private static String readReply(InputStream in) throws IOException {
    int words = Integer.parseInt(BoundedReader.line(in, 20).substring(1));
    String tag = "";
    for (int i = 0; i < words; i++) {
      byte[] word =
          BoundedReader.exactly(in, Integer.parseInt(BoundedReader.line(in, 20).substring(1)));
      BoundedReader.crlf(in);
      tag = i == 0 ? new String(word, StandardCharsets.ISO_8859_1) : tag;
    }
    return tag;
  }

  private void writeWithoutPause(Socket socket) throws IOException {
    while (!isStopped.getAsBoolean()) {
      StringBuilder batch = new StringBuilder();
      for (int i = 0; i < 20; i++) {
        batch.append(message());
      }
      write(socket, batch.toString());
    }
  }

  private void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(BoundedReader.ascii(text));
    messages.incrementAndGet();
  }

  private void discardInput(Socket socket) {
    byte[] buffer = new byte[4096];
    try {
      while (!isStopped.getAsBoolean() && socket.getInputStream().read(buffer) >= 0) {
        continue;
      }
      socket.close();
    } catch (IOException ended) {
      return;
    }
  }

  private void writeSlowly(Socket socket, byte[] request) throws IOException {
    OutputStream out = socket.getOutputStream();
    for (int at = 0; at < request.length && !isStopped.getAsBoolean(); at += SLOW_CHUNK_BYTES) {
      out.write(request, at, Math.min(SLOW_CHUNK_BYTES, request.length - at));
      LockSupport.parkNanos(SLOW_PAUSE_NANOS);
    }
  }

  private void writeHalf(Socket socket, byte[] request) throws IOException {
    socket.getOutputStream().write(request, 0, request.length * 9 / 10);
    messages.incrementAndGet();
    discardInput(socket);
  }

  private void leave(Socket socket) throws IOException {
    StringBuilder batch = new StringBuilder();
    String[] names = new String[LEAVING_REQUESTS];
    for (int i = 0; i < LEAVING_REQUESTS; i++) {
      long number = NEXT_NUMBER.incrementAndGet();
      names[i] = "left" + number;
      batch.append(ask(number, "read", null, names[i]));
    }
    socket.getOutputStream().write(BoundedReader.ascii(batch.toString()));
    messages.incrementAndGet();
    LockSupport.parkNanos(ThreadLocalRandom.current().nextInt(20_000_000));
    if (kind == Kind.RESETS) {
      socket.setSoLinger(true, 0);
    }
    socket.close();
    leftCallers.left(names);
    LockSupport.parkNanos(50_000_000);
  }

  /** Leaves at a random moment, and waits for the answers to the second attempts. */
  private void returnWithSameKeys(Socket first) throws IOException {
    long[] numbers = new long[OPEN_REQUESTS];
    StringBuilder batch = new StringBuilder();
    for (int i = 0; i < OPEN_REQUESTS; i++) {
      numbers[i] = NEXT_NUMBER.incrementAndGet();
      batch.append(ask(numbers[i], "save", "key" + numbers[i], "returns" + numbers[i]));
    }
    first.getOutputStream().write(BoundedReader.ascii(batch.toString()));
    messages.incrementAndGet();
    LockSupport.parkNanos(ThreadLocalRandom.current().nextInt(60_000_000));
    if (ThreadLocalRandom.current().nextBoolean()) {
      first.setSoLinger(true, 0);
    }
    first.close();
    try (Socket second = new Socket()) {
      second.setSoTimeout(READ_TIMEOUT_MS);
      second.connect(address, 2000);
      InputStream in = new BufferedInputStream(second.getInputStream());
      for (long number : numbers) {
        long attempt = NEXT_NUMBER.incrementAndGet();
        write(second, ask(attempt, "save", "key" + number, "returns" + number));
      }
      for (int answers = 0; answers < numbers.length; ) {
        answers += readReply(in).equals("0") ? 0 : 1;
      }
    }
  }

  private String message() {
    long number = NEXT_NUMBER.incrementAndGet();
    return switch (kind) {
      case NEW_NAMES -> ask(number, "save", "key" + number, "hostile" + number);
      case UNSOUND -> ask(number, "unknown", null, "x");
      case HEALTH_CHECKS, NEVER_READS -> array("STATUS", Long.toString(number), "");
      case WITHDRAWALS ->
          ask(number, "read", null, "hostile" + number) + array("NEVERMIND", Long.toString(number));
      case UNKNOWN_WITHDRAWALS -> array("NEVERMIND", Long.toString(number));
      case MANY_FIELDS ->
          array("ASK", Long.toString(number), "read", manyFields(number), "many" + number);
      default -> ask(number, "read", null, "hostile" + number);
    };
  }

  private String ask(long number, String type, String key, String body) {
    return array("ASK", Long.toString(number), type, fields(number, key), body);
  }

  private String fields(long number, String key) {
    return String.format(
            Locale.ROOT,
            "txn=%016x,door=%d,lb=%d,team=%s,ram=1,standing=0.9,item=item%d",
            number,
            System.currentTimeMillis(),
            kind == Kind.NEW_NAMES ? number % Integer.MAX_VALUE : 1,
            tenant,
            number)
        + (key == null ? "" : ",unique=" + key);
  }

  private String manyFields(long number) {
    StringBuilder fields = new StringBuilder(fields(number, null));
    for (int i = 0; fields.length() < 1015; i++) {
      fields.append(',').append(Integer.toString(i, 36)).append('=');
    }
    return fields.toString();
  }

  private static String array(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString();
  }

  private byte[] largeRequest() {
    long number = NEXT_NUMBER.incrementAndGet();
    return BoundedReader.ascii(ask(number, "read", null, "large" + "b".repeat(2000)));
  }

  /** A gateway's request without a class, with variables of so many bytes each. */
  private static byte[] gatewayRequest(int totalBytes, int variableBytes) {
    byte[] packet = new byte[4 + totalBytes];
    packet[1] = (byte) totalBytes;
    packet[2] = (byte) (totalBytes >> 8);
    int pairBytes = 4 + variableBytes;
    for (int at = 4; at + pairBytes <= packet.length; at += pairBytes) {
      packet[at] = (byte) variableBytes;
      packet[at + 1] = (byte) (variableBytes >> 8);
    }
    return packet;
  }
}
