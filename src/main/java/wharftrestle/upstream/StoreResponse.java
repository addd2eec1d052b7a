package wharftrestle.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Pattern;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Server;

/**
 * How a store call ended.
 *
 * @param outcome of the call
 * @param body of the response; null if there was no response
 */
record StoreResponse(Outcome outcome, byte[] body) {
  private static final int MAX_LINE_BYTES = 256;
  private static final int MAX_HEADERS = 16;

  /**
   * Bytes of all headers of a response, interim ones included; each header may arrive in a packet
   * of its own, which costs far more than its bytes.
   */
  private static final int MAX_HEAD_BYTES = 1024;

  /** Interim (1xx) responses allowed before a response. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int STATUS_CODE_START = 9;
  private static final int STATUS_CODE_END = 12;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?");
  private static final Pattern HEADER_NAME = Pattern.compile("[A-Za-z0-9_-]+");

  /** The end of a call to which there was no response. */
  static StoreResponse none(Outcome outcome) {
    return new StoreResponse(outcome, null);
  }

  /**
   * Reads one response. A head that is not fully understood, or a length that is missing, repeated
   * or contradicted, says nothing reliable about the body; the call then fails, so that an
   * execution never gets bytes that no call returned.
   *
   * @throws Server.MalformedException if the response is not fully understood
   */
  static StoreResponse read(InputStream in) throws IOException {
    int[] remainingHeadBytes = {MAX_HEAD_BYTES};
    for (int interim = 0; interim <= MAX_INTERIM_RESPONSES; interim++) {
      int code = readStatus(in, remainingHeadBytes);
      Map<String, String> headers = readHeaders(in, remainingHeadBytes);
      if ((code > 101 && code < 200) || code == 100) {
        continue; // interim response
      }
      boolean neverStarted = requireValidHeaders(headers);
      long length = BoundedReader.number(headers.get("content-length"), MAX_BODY_BYTES);
      byte[] body = BoundedReader.exactly(in, (int) length);
      return new StoreResponse(toOutcome(code, neverStarted), body);
    }
    throw new Server.MalformedException("too many interim responses of the store");
  }

  private static int readStatus(InputStream in, int[] remainingHeadBytes) throws IOException {
    String status = readLine(in, remainingHeadBytes);
    if (!STATUS_LINE.matcher(status).matches()) {
      throw new Server.MalformedException("malformed status line of the store");
    }
    return Integer.parseInt(status.substring(STATUS_CODE_START, STATUS_CODE_END));
  }

  /** Returns whether the store states that the call never started. */
  private static boolean requireValidHeaders(Map<String, String> headers) throws IOException {
    String neverStarted = headers.getOrDefault("never-started", "0");
    if (!headers.containsKey("content-length")
        || headers.containsKey("transfer-encoding")
        || (!neverStarted.equals("0") && !neverStarted.equals("1"))) {
      throw new Server.MalformedException(
          "store response without a plain Content-Length, or with an invalid Never-Started");
    }
    return neverStarted.equals("1");
  }

  private static String readLine(InputStream in, int[] remainingHeadBytes) throws IOException {
    String line = BoundedReader.line(in, Math.min(remainingHeadBytes[0], MAX_LINE_BYTES));
    remainingHeadBytes[0] -= line.length() + 2;
    return line;
  }

  private static Map<String, String> readHeaders(InputStream in, int[] remainingHeadBytes)
      throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in, remainingHeadBytes);
        !line.isEmpty();
        line = readLine(in, remainingHeadBytes)) {
      int colon = line.indexOf(':');
      if (colon < 1
          || headers.size() >= MAX_HEADERS
          || !HEADER_NAME.matcher(line.substring(0, colon)).matches()) {
        throw new Server.MalformedException("malformed or too many headers of the store");
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      if (headers.put(name, line.substring(colon + 1).trim()) != null
          && (name.equals("content-length") || name.equals("never-started"))) {
        throw new Server.MalformedException("store header repeated: " + name);
      }
    }
    return headers;
  }

  /**
   * Maps a status to an outcome. A response without Never-Started: 1 does not prove that the call
   * never ran.
   */
  private static Outcome toOutcome(int status, boolean neverStarted) throws IOException {
    if (status == 200 && neverStarted) {
      throw new Server.MalformedException("store sent status 200 together with Never-Started: 1");
    }
    return switch (status) {
      case 200 -> Outcome.SUCCESS;
      case 503 -> neverStarted ? Outcome.OVERLOADED : Outcome.FAILURE;
      case 409 -> neverStarted ? Outcome.VOID : Outcome.FAILURE;
      case 504 -> Outcome.TIMED_OUT;
      case 500 -> Outcome.FAILURE;
      default -> throw new Server.MalformedException("unexpected status of the store: " + status);
    };
  }
}
