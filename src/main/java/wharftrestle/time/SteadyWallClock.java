package wharftrestle.time;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.LongBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;

/**
 * The machine's time of day, which may step, and a scale beside it that never does: Unix ms as they
 * were when this process began, and on from there by the steady clock. A stamp of a request is laid
 * on that scale as it is read, by its age then, so that a step of the clock moves neither a window
 * of a key nor a due time. Two processes of one box agree on the scale by {@link #adoptOffset}: the
 * one that takes over goes on with that of the one before.
 */
public final class SteadyWallClock {
  /**
   * Names a file of eight bytes, ms by which this process's time of day is off; the rig alone sets
   * it.
   */
  public static final String SKEW_FILE_PROPERTY = "wharftrestle.clock";

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
      throw new UncheckedIOException("the rig's clock cannot be read", e);
    }
  }

  private static long monotonicMillis() {
    return System.nanoTime() / 1_000_000;
  }

  /** The time of day, Unix ms; it may step. */
  public static long wallMillis() {
    return System.currentTimeMillis() + (SKEW == null ? 0 : SKEW.get(0));
  }

  /** The time on the scale that never steps, ms. */
  public static long steadyWallMillis() {
    return offsetMillis + monotonicMillis();
  }

  /**
   * A stamp of the machine's clock, Unix ms, as it lies on the scale that never steps; none lies
   * ahead of now.
   */
  public static long toSteadyWallMillis(long timestampMillis) {
    return steadyWallMillis() - Math.max(0, wallMillis() - timestampMillis);
  }

  /**
   * Where the scale of this process begins, ms; another process of this machine goes on with it.
   */
  public static long offsetMillis() {
    return offsetMillis;
  }

  /** Goes on with the scale of the process before; nothing may have been stamped here yet. */
  public static void adoptOffset(long predecessorOffsetMillis) {
    offsetMillis = predecessorOffsetMillis;
  }
}
