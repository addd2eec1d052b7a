package wharftrestle.storage;

/** The machine's monotonic clock, in the units that the log uses. */
final class LogClock {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private LogClock() {}

  /** Seconds; the clock by which keys expire. */
  static double seconds() {
    return System.nanoTime() / NANOS_PER_SECOND;
  }

  /** Milliseconds; comparable across restarts of the process until the machine reboots. */
  static long monotonicMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }
}
