package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, a line each, with seconds since the start. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  void line(String format, Object... arguments) {
    String text = String.format(Locale.ROOT, format, arguments);
    synchronized (out) {
      out.printf(Locale.ROOT, "%9.4f %s%n", seconds(), text);
    }
  }

  /** A line that is also printed. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(Locale.ROOT, format, arguments));
  }

  @Override
  public void close() {
    out.close();
  }
}
