package wharftrestle.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Server;

/**
 * Parses the messages of the worker pool on one link and passes each to a handler. Used by the one
 * thread that reads the link.
 */
final class AnnouncementReader {
  private static final int MAX_LINE_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Receives the messages in the order in which they were sent. */
  interface Handler {
    /**
     * The answer to the bind; the announcements that were missed follow.
     *
     * @param isCold whether the worker pool began cold
     * @param secondsAgo since its start
     */
    void onBound(boolean isCold, double secondsAgo) throws IOException;

    /** An execution has ended; the result is empty unless it succeeded. */
    void onFinished(
        long number, String reference, Outcome outcome, double elapsedSeconds, byte[] result);

    /** An execution is blocked on a dependency call with this body. */
    void onBlocked(long number, String reference, byte[] callBody);

    /** The answer to the poll with this tag. */
    void onPolled(String tag, double[] gauges);

    /** A command was not carried out. */
    void onUnknownCommand(String command, String reference);

    /** An announcement without a meaning. */
    void onRemark(long number);
  }

  private final InputStream in;
  private final Handler handler;

  AnnouncementReader(InputStream in, Handler handler) {
    this.in = in;
    this.handler = handler;
  }

  /**
   * Reads one message.
   *
   * @throws Server.MalformedException if it is not one of the protocol
   */
  void readNext() throws IOException {
    String[] fields = BoundedReader.line(in, MAX_LINE_BYTES).split(" ");
    switch (fields[0]) {
      case "bound" -> readBound(fields);
      case "finished" -> readFinished(fields);
      case "blocked" -> readBlocked(fields);
      case "polled" -> readPolled(fields);
      case "unknown" -> {
        requireFields(fields, 3);
        handler.onUnknownCommand(fields[1], fields[2]);
      }
      case "chatter" -> {
        requireFields(fields, 2);
        handler.onRemark(parseNumber(fields[1]));
      }
      default ->
          throw new Server.MalformedException(
              "unknown message of the worker pool: '" + fields[0] + "'");
    }
  }

  private void readBound(String[] fields) throws IOException {
    requireFields(fields, 3);
    handler.onBound(fields[1].equals("new"), BoundedReader.parseMillisAsSeconds(fields[2]));
  }

  private void readFinished(String[] fields) throws IOException {
    requireFields(fields, 5);
    byte[] result = fields.length > 5 ? readBody(fields[5]) : new byte[0];
    handler.onFinished(
        parseNumber(fields[1]),
        fields[2],
        parseOutcome(fields[3]),
        BoundedReader.parseMillisAsSeconds(fields[4]),
        result);
  }

  private void readBlocked(String[] fields) throws IOException {
    requireFields(fields, 4);
    byte[] callBody = readBody(fields[3]);
    handler.onBlocked(parseNumber(fields[1]), fields[2], callBody);
  }

  private void readPolled(String[] fields) throws IOException {
    requireFields(fields, 2);
    String[] values = Arrays.copyOfRange(fields, 2, fields.length);
    double[] gauges = new double[values.length];
    for (int i = 0; i < values.length; i++) {
      gauges[i] = BoundedReader.parseDecimal(values[i]);
    }
    handler.onPolled(fields[1], gauges);
  }

  private static long parseNumber(String field) throws IOException {
    return BoundedReader.number(field, Long.MAX_VALUE);
  }

  private static Outcome parseOutcome(String outcome) throws IOException {
    return switch (outcome) {
      case "good" -> Outcome.SUCCESS;
      case "bad" -> Outcome.FAILURE;
      case "cut" -> Outcome.WITHDRAWN;
      case "gone" -> Outcome.VOID;
      default ->
          throw new Server.MalformedException("unknown result of an execution: '" + outcome + "'");
    };
  }

  private static void requireFields(String[] fields, int minFields) throws IOException {
    if (fields.length < minFields) {
      throw new Server.MalformedException(
          "worker pool message has too few fields: " + String.join(" ", fields));
    }
  }

  private byte[] readBody(String length) throws IOException {
    byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, MAX_BODY_BYTES));
    BoundedReader.crlf(in);
    return body;
  }
}
