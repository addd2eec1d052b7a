package wharftrestle.frontend;

import java.util.Arrays;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Connection;

/**
 * The response on one gateway's connection. Its first bytes are the same whatever the answer, so
 * they can be sent ahead, to learn whether a gateway that has ended its output still reads: one
 * that has closed its socket answers them with a reset, and the next write fails. Thread-safe.
 */
final class GatewayResponse {
  /** The beginning of every response. */
  static final String PREFIX = "HTTP/1.1 ";

  /** Bytes of the beginning that are sent at a time, so that it suffices for several probes. */
  private static final int PROBE_BYTES = 2;

  private final Connection connection;
  private int sentPrefixBytes;
  private boolean isSent;

  GatewayResponse(Connection connection) {
    this.connection = connection;
  }

  /** Sends a further part of the beginning, unless it or the response is sent already. */
  synchronized void probe() {
    int end = Math.min(PREFIX.length(), sentPrefixBytes + PROBE_BYTES);
    if (!isSent && sentPrefixBytes < end) {
      connection.send(BoundedReader.ascii(PREFIX.substring(sentPrefixBytes, end)));
      sentPrefixBytes = end;
    }
  }

  /** Sends a response that begins with {@link #PREFIX}, without what is sent already. */
  synchronized void send(byte[] response) {
    isSent = true;
    connection.send(Arrays.copyOfRange(response, sentPrefixBytes, response.length));
  }
}
