import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: a line for each thing sent, answered or run, in the order of events. */
final class Log {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Log(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Writes one line, with the seconds since the start of the run. */
  synchronized void add(String format, Object... values) {
    out.printf(Locale.ROOT, "%9.3f  ", (System.nanoTime() - startNanos) / 1e9);
    out.printf(Locale.ROOT, format, values);
    out.print('\n');
    out.flush();
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... values) {
    add(format, values);
    System.out.printf(Locale.ROOT, format + "%n", values);
  }
}
