package wharftrestle.time;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * The machine's wall clock, which may step, and a steady wall clock, which never does: the Unix
 * time in ms at the start of this process, advanced from there by the monotonic clock. A request's
 * timestamp is mapped to the steady clock by its age as it is read, so that a step of the wall
 * clock shifts neither a key's window nor a deadline. The successor of a handover continues its
 * predecessor's steady clock by {@link #adoptOffset}. Thread-safe.
 */
public final class SteadyWallClock {
  /**
   * System property that names a file of eight bytes: ms by which this process's wall clock is
   * skewed. Only the test environment sets it.
   */
  public static final String SKEW_FILE_PROPERTY = "wharftrestle.clock";

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final LongBuffer SKEW = openSkewFile(System.getProperty(SKEW_FILE_PROPERTY));
  private static volatile long offsetMillis = wallMillis() - monotonicMillis();

  private SteadyWallClock() {}

  private static LongBuffer openSkewFile(String file) {
    if (file == null) {
      return null;
    }
    try (FileChannel channel = FileChannel.open(Path.of(file))) {
      return channel.map(FileChannel.MapMode.READ_ONLY, 0, Long.BYTES).asLongBuffer();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot read the clock skew file " + file, e);
    }
  }

  private static long monotonicMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  /** The wall clock, Unix ms; it may step. */
  public static long wallMillis() {
    return System.currentTimeMillis() + (SKEW == null ? 0 : SKEW.get(0));
  }

  /** The steady wall clock, Unix ms; it never steps. */
  public static long steadyWallMillis() {
    return offsetMillis + monotonicMillis();
  }

  /**
   * Maps a timestamp of the wall clock to the steady clock; a timestamp in the future becomes now.
   *
   * @param timestampMillis Unix ms
   */
  public static long toSteadyWallMillis(long timestampMillis) {
    return steadyWallMillis() - Math.max(0, wallMillis() - timestampMillis);
  }

  /** Steady wall clock minus monotonic clock, ms; the same for all processes of a handover. */
  public static long offsetMillis() {
    return offsetMillis;
  }

  /** Continues the predecessor's steady clock. Called before this process maps any timestamp. */
  public static void adoptOffset(long predecessorOffsetMillis) {
    offsetMillis = predecessorOffsetMillis;
  }
}
