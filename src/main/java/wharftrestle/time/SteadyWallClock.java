package wharftrestle.time;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * The machine's wall clock, which may step, and a steady wall clock beside it that never does: Unix
 * ms as they were when this process began, advanced from there by the monotonic clock. A request's
 * timestamp is mapped to the steady clock by its age as it is read, so that a step of the wall
 * clock moves neither a key's window nor a deadline. The successor of a handover goes on with its
 * predecessor's clock by {@link #adoptOffset}. Safe for all threads.
 */
public final class SteadyWallClock {
  /**
   * System property that names a file of eight bytes: ms by which this process's wall clock is
   * skewed. Only the testbed sets it.
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
      throw new UncheckedIOException("cannot read the skewed clock " + file, e);
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
   * Maps a timestamp of the wall clock to the steady clock; one that lies ahead of now becomes now.
   *
   * @param timestampMillis Unix ms
   */
  public static long toSteadyWallMillis(long timestampMillis) {
    return steadyWallMillis() - Math.max(0, wallMillis() - timestampMillis);
  }

  /** Steady wall clock less monotonic clock, ms; the same for all processes of a handover. */
  public static long offsetMillis() {
    return offsetMillis;
  }

  /** Goes on with the predecessor's steady clock; nothing may have been stamped here yet. */
  public static void adoptOffset(long predecessorOffsetMillis) {
    offsetMillis = predecessorOffsetMillis;
  }
}
