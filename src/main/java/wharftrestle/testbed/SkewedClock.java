package wharftrestle.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import wharftrestle.time.SteadyWallClock;

/**
 * The time of day of one machine of the rig, which may be off and step. It owns a file that the
 * processes of that machine map; what stands in their requests' stamps is of this clock too. It
 * must never touch the steady clock, as no machine does.
 */
final class SkewedClock implements Closeable {
  private final Path file;
  private final FileChannel channel;
  private final LongBuffer by;

  SkewedClock(Path file) throws IOException {
    this.file = file;
    channel =
        FileChannel.open(
            file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    by = channel.map(FileChannel.MapMode.READ_WRITE, 0, Long.BYTES).asLongBuffer();
  }

  /** Off by so many ms from now on. */
  void set(long ms) {
    by.put(0, ms);
  }

  /** What this machine takes for the time, Unix ms. */
  long millis() {
    return System.currentTimeMillis() + by.get(0);
  }

  /** What a process of this machine is started with. */
  String option() {
    return "-D" + SteadyWallClock.SKEW_FILE_PROPERTY + "=" + file;
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
