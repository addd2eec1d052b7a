package wharftrestle.transport;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/**
 * Owns the pieces that the parsers share: bounded lines, lengths, exact reads. A bound is checked
 * before anything is allocated for what it bounds; nothing here guesses at what it cannot read.
 */
public final class BoundedReader {
  private BoundedReader() {}

  /** An input that is read in runs of bytes; a single one is a run of one. */
  public abstract static class Runs extends InputStream {
    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public abstract int read(byte[] into, int from, int most) throws IOException;
  }

  /**
   * A socket's input with one limit in time for all reads up to it. Guards against a peer that
   * drips: a limit for each read would start anew with every byte.
   */
  public static class Timed extends Runs {
    private final Socket socket;
    private final InputStream raw;
    private long until;

    public Timed(Socket socket) throws IOException {
      this.socket = socket;
      raw = socket.getInputStream();
    }

    /** When reads throw SocketTimeoutException, on the clock of System.nanoTime; 0 for never. */
    public void until(long nanos) {
      until = nanos;
    }

    @Override
    public int read(byte[] into, int from, int most) throws IOException {
      socket.setSoTimeout(
          until == 0 ? 0 : (int) Math.max(1, (until - System.nanoTime()) / 1_000_000));
      return raw.read(into, from, most);
    }

    @Override
    public int available() throws IOException {
      return raw.available();
    }
  }

  /** A line without its CR LF; at most so many bytes. */
  public static String line(InputStream in, int most) throws IOException {
    StringBuilder line = new StringBuilder(32);
    for (int c = in.read(); c != '\r'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("ended within a line");
      }
      if (line.length() >= most || c == '\n') {
        throw new Server.MalformedException("a line without an end");
      }
      line.append((char) c);
    }
    if (in.read() != '\n') {
      throw new Server.MalformedException("a line with half an end");
    }
    return line.toString();
  }

  public static void crlf(InputStream in) throws IOException {
    if (in.read() != '\r' || in.read() != '\n') {
      throw new Server.MalformedException("bytes past a body's length");
    }
  }

  public static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("ended within a body");
    }
    return bytes;
  }

  /** A whole number from 0 to {@code most}. */
  public static long number(String text, long most) throws IOException {
    // Digits alone: signs and blanks, which the library takes, are no part of a length on any wire
    // here.
    long value = text.isEmpty() || text.length() > 18 ? -1 : 0;
    for (int i = 0; i < text.length() && value >= 0; i++) {
      int digit = text.charAt(i) - '0';
      value = digit >= 0 && digit <= 9 ? value * 10 + digit : -1;
    }
    if (value >= 0 && value <= most) {
      return value;
    }
    throw new Server.MalformedException("not a number up to " + most + ": " + clip(text));
  }

  public static double decimal(String text) throws IOException {
    try {
      double value = Double.parseDouble(text);
      if (Double.isFinite(value)) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Named below.
    }
    throw new Server.MalformedException("not a figure: " + clip(text));
  }

  /** Seconds from a figure in milliseconds, which the worker pool tells with decimals. */
  public static double duration(String text) throws IOException {
    return Math.max(0, decimal(text) / 1000);
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

  /** Closes what may be null already or fail to close: its peer is of no more use either way. */
  public static void closeQuietly(Closeable connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (IOException e) {
      Logger.debug(e, "closing");
    }
  }

  private static String clip(String text) {
    return text.length() <= 40 ? text : text.substring(0, 40) + "...";
  }
}
