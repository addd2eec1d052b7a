package wharftrestle.frontend;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.Acceptance;
import wharftrestle.request.Answer;
import wharftrestle.request.AnswerListener;
import wharftrestle.request.IncomingRequest;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Connection;
import wharftrestle.transport.InputRateLimiter;
import wharftrestle.transport.Server;
import wharftrestle.transport.Server.MalformedException;

/**
 * The platform's protocol: RESP arrays of bulk strings. Reads the messages of each connection and
 * passes every request to the {@link RequestCoordinator}, which decides about it.
 */
public final class RespFrontend implements Server.Front {
  private static final int MAX_PARTS = 5;
  private static final int MAX_PART_BYTES = 1024;
  private static final int MAX_BODY_BYTES = 2048;
  private static final int MAX_LENGTH_DIGITS = 6;

  /** Invalid requests after which a connection that has sent nothing else is closed. */
  private static final int MAX_INVALID = 8;

  /**
   * Maximum milliseconds between two idle checks of a connection; hundreds of connections check.
   */
  private static final int MAX_IDLE_POLL_MS = 3000;

  /**
   * Minimum of these milliseconds if idle connections are closed; more frequent checks would cost
   * more than the connections.
   */
  private static final int MIN_IDLE_POLL_MS = 200;

  /** Milliseconds from the opening of a connection to the completion of its first message. */
  private static final int FIRST_MESSAGE_MS = 2500;

  /** Milliseconds to complete any other message; longer than a machine may be paused. */
  private static final int MESSAGE_TIMEOUT_MS = 10_000;

  private static final byte[] CLOSING = array("0", "closing", "", new byte[0]);

  private final RequestCoordinator coordinator;
  private final RespRequestParser parser;
  private final InputRateLimiter limiter;
  private final Counters counters;

  public RespFrontend(RequestCoordinator coordinator, InputRateLimiter limiter, Counters counters) {
    this.coordinator = coordinator;
    this.limiter = limiter;
    this.counters = counters;
    parser = new RespRequestParser(coordinator.settings());
  }

  @Override
  public boolean notifyClosing(Connection connection) {
    connection.send(CLOSING);
    return true;
  }

  @Override
  public void serve(Connection connection) throws IOException {
    OpenRequests openRequests = new OpenRequests();
    InputRateLimiter.Account account = limiter.open(System.nanoTime());
    int invalidCount = 0;
    connection.onDisconnect(() -> coordinator.callersDisconnected(openRequests.all()));
    // Announces that this front end reports handled input. A peer whose next message always arrives
    // in time would otherwise never cause such a report, and could be closed while a message is
    // half read.
    connection.markInputHandled();
    for (byte[][] parts = readMessage(connection); parts != null; parts = readMessage(connection)) {
      awaitShare(connection, account);
      try {
        handle(connection, openRequests, parts);
      } catch (InvalidRequestException e) {
        // Well framed, but not executable: it is answered with an error and the connection
        // continues. Peers that send nothing else would repeat it as fast as they are answered, so
        // they are closed.
        counters.add(Count.INVALID);
        connection.send(array(text(parts[1]), "error", "", new byte[0]));
        if (++invalidCount >= MAX_INVALID && connection.merit() == Connection.Merit.SILENT) {
          throw new MalformedException("only invalid requests on this connection");
        }
      }
    }
  }

  /**
   * Delays a message of a connection that sends more than its share. A peer that goes on for longer
   * than its open requests explain is sent the go-away message.
   */
  private void awaitShare(Connection connection, InputRateLimiter.Account account)
      throws IOException {
    if (!limiter.exceedsShare(account, System.nanoTime())) {
      return;
    }
    counters.add(Count.MESSAGES_DELAYED);
    boolean hasMoreInput = connection.delayInput(limiter.delayNanos(account));
    if (limiter.isInExcess(account, hasMoreInput, System.nanoTime())) {
      connection.goAway();
    }
  }

  private void handle(Connection connection, OpenRequests openRequests, byte[][] parts)
      throws IOException {
    String command = text(parts[0]);
    if (parts.length < 2) {
      throw new MalformedException("command without a tag");
    }
    String tag = text(parts[1]);
    if (BoundedReader.number(tag, Long.MAX_VALUE) == 0) {
      throw new MalformedException("tag must not be 0");
    }
    switch (command) {
      case "ASK" -> handleAsk(connection, openRequests, tag, parts);
      case "NEVERMIND" -> {
        Acceptance.InFlight abandoned = openRequests.remove(tag);
        if (abandoned != null) {
          connection.completeRequest();
          coordinator.callerDisconnected(abandoned);
        }
      }
      case "STATUS" -> {
        counters.add(Count.HEALTH_CHECKS);
        connection.heard(Connection.Merit.HEARD);
        connection.send(array(tag, coordinator.isHealthy() ? "healthy" : "sick", "", new byte[0]));
      }
      default -> throw new MalformedException("unknown command");
    }
  }

  private void handleAsk(
      Connection connection, OpenRequests openRequests, String tag, byte[][] parts)
      throws IOException {
    if (openRequests.contains(tag) || openRequests.size() >= InputRateLimiter.MAX_OPEN_REQUESTS) {
      // Two answers with one tag could not be distinguished, and one peer must not use up all
      // capacity.
      throw new MalformedException("tag already in use, or too many open requests");
    }
    IncomingRequest request = parser.parse(parts);
    connection.heard(Connection.Merit.HEARD);
    if (!connection.beginRequest()) {
      return; // closing, nothing was executed: the front end sends the request again
    }
    AnswerWriter answerWriter = new AnswerWriter(connection, openRequests, tag);
    synchronized (answerWriter) {
      if (coordinator.accept(request, answerWriter, openRequests.usage())
          instanceof Acceptance.InFlight inFlight) {
        openRequests.add(tag, inFlight);
      } else {
        connection.completeRequest();
      }
    }
  }

  private record AnswerWriter(Connection connection, OpenRequests openRequests, String tag)
      implements AnswerListener {
    @Override
    public void onAnswer(Answer answer) {
      boolean wasOpen;
      synchronized (this) {
        wasOpen = openRequests.remove(tag) != null;
      }
      if (answer.kind() == Answer.Kind.SERVED) {
        connection.heard(Connection.Merit.SERVED);
      }
      byte[] message =
          switch (answer.kind()) {
            case SERVED -> array(tag, "done", "", answer.result());
            case FAILED, DEADLINE_EXCEEDED, CONFLICT -> array(tag, "error", "", answer.result());
            case REJECTED -> array(tag, "later", retryAdvice(answer), answer.result());
          };
      if (wasOpen) {
        connection.sendAnswer(message);
      } else {
        connection.send(message); // answered while it was accepted, or withdrawn meanwhile
      }
    }

    private static String retryAdvice(Answer answer) {
      long millis = Math.round(answer.retryAfterSeconds() * 1000);
      String delay = millis > 0 ? "later=" + millis : "";
      return !answer.fleetOverloaded() ? delay : delay.isEmpty() ? "giveup=1" : delay + ",giveup=1";
    }
  }

  /** Reads the next array; null if the peer closed between two, or never sent one in time. */
  private byte[][] readMessage(Connection connection) throws IOException {
    InputStream in = connection.in();
    int firstByte = readFirstByte(connection);
    if (firstByte < 0) {
      return null;
    }
    if (firstByte != '*') {
      throw new MalformedException("expected an array");
    }
    int count = (int) BoundedReader.number(BoundedReader.line(in, MAX_LENGTH_DIGITS), MAX_PARTS);
    if (count == 0) {
      throw new MalformedException("empty array");
    }
    byte[][] parts = new byte[count][];
    for (int i = 0; i < count; i++) {
      int marker = in.read();
      if (marker < 0) {
        throw new EOFException("end of stream within an array");
      }
      if (marker != '$') {
        throw new MalformedException("expected a bulk string");
      }
      int maxBytes = i == MAX_PARTS - 1 ? MAX_BODY_BYTES : MAX_PART_BYTES;
      parts[i] =
          BoundedReader.exactly(
              in, (int) BoundedReader.number(BoundedReader.line(in, MAX_LENGTH_DIGITS), maxBytes));
      BoundedReader.crlf(in);
    }
    return parts;
  }

  /**
   * Reads the first byte of the next message, with which its timeout begins. Peers that connect and
   * send nothing, or never complete a message, would otherwise use up the connections.
   */
  private int readFirstByte(Connection connection) throws IOException {
    boolean isSilent = connection.merit() == Connection.Merit.SILENT;
    long firstDeadline = connection.openedAt() + FIRST_MESSAGE_MS * 1_000_000L;
    if (connection.in().available() == 0) {
      connection.markInputHandled();
    }
    for (; ; ) {
      double idleTimeout = coordinator.idleTimeoutSeconds();
      long pollMillis =
          idleTimeout > 0
              ? Math.max(MIN_IDLE_POLL_MS, Math.min(MAX_IDLE_POLL_MS, (long) (idleTimeout * 1000)))
              : MAX_IDLE_POLL_MS;
      connection.readUntil(isSilent ? firstDeadline : System.nanoTime() + pollMillis * 1_000_000L);
      try {
        int firstByte = connection.in().read();
        connection.readUntil(
            isSilent ? firstDeadline : System.nanoTime() + MESSAGE_TIMEOUT_MS * 1_000_000L);
        return firstByte;
      } catch (SocketTimeoutException timeout) {
        double timeoutSeconds = coordinator.idleTimeoutSeconds();
        boolean isIdle =
            timeoutSeconds > 0
                && System.nanoTime() - connection.lastMessageNanos() > timeoutSeconds * 1e9;
        if (isSilent || (isIdle && connection.inFlight() == 0)) {
          // A request that crosses the close must not be lost: the peer is sent the go-away message
          // first, and may still send.
          connection.goAway();
        }
        if (isSilent) {
          return -1; // the peer never sent a message
        }
      }
    }
  }

  static String text(byte[] part) {
    return new String(part, StandardCharsets.ISO_8859_1);
  }

  static byte[] array(String tag, String status, String fields, byte[] body) {
    return BoundedReader.join(
        BoundedReader.ascii(
            "*4\r\n" + bulk(tag) + bulk(status) + bulk(fields) + "$" + body.length + "\r\n"),
        body,
        BoundedReader.ascii("\r\n"));
  }

  private static String bulk(String text) {
    return "$" + text.length() + "\r\n" + text + "\r\n";
  }
}
