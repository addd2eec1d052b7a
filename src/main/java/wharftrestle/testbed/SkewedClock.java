package wharftrestle.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import wharftrestle.time.SteadyWallClock;

/**
 * Wall clock of one simulated host, which can be off and step. The offset is in a file that the
 * processes of that host map; test clients stamp their requests with the same clock. The monotonic
 * clock is never changed, as on a real machine.
 */
final class SkewedClock implements Closeable {
  private final Path file;
  private final FileChannel channel;
  private final LongBuffer offsetMs;

  SkewedClock(Path file) throws IOException {
    this.file = file;
    channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    offsetMs = channel.map(FileChannel.MapMode.READ_WRITE, 0, Long.BYTES).asLongBuffer();
  }

  /** Sets the offset from the system clock. */
  void setOffset(long ms) {
    offsetMs.put(0, ms);
  }

  /** Time of this clock, Unix ms. */
  long millis() {
    return System.currentTimeMillis() + offsetMs.get(0);
  }

  /** The JVM option that makes a process use this clock. */
  String option() {
    return "-D" + SteadyWallClock.SKEW_FILE_PROPERTY + "=" + file;
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
