package wharftrestle.transport;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;
import wharftrestle.io.BoundedTransfers;

/**
 * Helpers shared by the protocol parsers: lines, numbers and bodies of bounded length. A limit is
 * checked before memory is allocated for what it limits, and malformed input is rejected rather
 * than interpreted.
 */
public final class BoundedReader {
  private BoundedReader() {}

  /** An input stream whose single-byte read is implemented by the block read. */
  public abstract static class BlockInputStream extends InputStream {
    @Override
    public int read() throws IOException {
      byte[] single = new byte[1];
      return read(single, 0, 1) < 0 ? -1 : single[0] & 0xff;
    }

    @Override
    public abstract int read(byte[] buffer, int offset, int length) throws IOException;
  }

  /**
   * A socket's input stream with one deadline for all reads. A timeout for each read would start
   * anew with every byte, so a peer that sends byte by byte could hold the connection forever.
   */
  public static class DeadlineInputStream extends BlockInputStream {
    private final Socket socket;
    private final InputStream input;
    private long deadlineNanos;

    public DeadlineInputStream(Socket socket) throws IOException {
      this.socket = socket;
      input = socket.getInputStream();
    }

    /**
     * Sets when reads throw SocketTimeoutException, on the clock of System.nanoTime; 0 for never.
     */
    public void setDeadlineNanos(long nanos) {
      deadlineNanos = nanos;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      socket.setSoTimeout(
          deadlineNanos == 0
              ? 0
              : (int) Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000));
      return input.read(buffer, offset, Math.min(length, BoundedTransfers.MAX_BYTES));
    }

    @Override
    public int available() throws IOException {
      return input.available();
    }
  }

  /** Reads a line of at most {@code maxLength} bytes and returns it without its CR LF. */
  public static String line(InputStream in, int maxLength) throws IOException {
    StringBuilder line = new StringBuilder(32);
    for (int c = in.read(); c != '\r'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("end of stream within a line");
      }
      if (line.length() >= maxLength || c == '\n') {
        throw new Server.MalformedException("line too long or without CR LF");
      }
      line.append((char) c);
    }
    if (in.read() != '\n') {
      throw new Server.MalformedException("CR without LF at the end of a line");
    }
    return line.toString();
  }

  public static void crlf(InputStream in) throws IOException {
    if (in.read() != '\r' || in.read() != '\n') {
      throw new Server.MalformedException("no CR LF after a body of the announced length");
    }
  }

  public static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("end of stream within a body");
    }
    return bytes;
  }

  /** Parses an integer from 0 to {@code max}. */
  public static long number(String text, long max) throws IOException {
    // Digits only: the library also accepts signs and blanks, which no protocol here allows in a
    // length.
    long value = text.isEmpty() || text.length() > 18 ? -1 : 0;
    for (int i = 0; i < text.length() && value >= 0; i++) {
      int digit = text.charAt(i) - '0';
      value = digit >= 0 && digit <= 9 ? value * 10 + digit : -1;
    }
    if (value >= 0 && value <= max) {
      return value;
    }
    throw new Server.MalformedException(
        "expected an integer from 0 to " + max + ", found: " + truncate(text));
  }

  public static double parseDecimal(String text) throws IOException {
    try {
      double value = Double.parseDouble(text);
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw new Server.MalformedException("expected a decimal number, found: " + truncate(text));
  }

  /**
   * Converts milliseconds to seconds; the worker pool sends milliseconds with decimals. A negative
   * value becomes 0.
   */
  public static double parseMillisAsSeconds(String text) throws IOException {
    return Math.max(0, parseDecimal(text) / 1000);
  }

  public static byte[] join(byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) {
      length += part.length;
    }
    byte[] all = new byte[length];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, all, at, part.length);
      at += part.length;
    }
    return all;
  }

  public static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /**
   * Closes a connection that may be null; a failure is logged only, as the connection is discarded
   * in any case.
   */
  public static void closeQuietly(Closeable connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (IOException e) {
      Logger.debug(e, "connection could not be closed");
    }
  }

  private static String truncate(String text) {
    return text.length() <= 40 ? text : text.substring(0, 40) + "...";
  }
}
