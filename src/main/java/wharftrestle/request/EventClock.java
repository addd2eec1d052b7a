package wharftrestle.request;

/**
 * Seconds on a monotonic clock that never goes back from one admission event to the next. Guarded
 * by the coordinator's lock.
 */
final class EventClock {
  private static final double NANOS_PER_SECOND = 1e9;

  private double latestSeconds;

  double now() {
    latestSeconds = Math.max(latestSeconds, System.nanoTime() / NANOS_PER_SECOND);
    return latestSeconds;
  }

  /** Nanoseconds for which to wait until so many seconds have passed, never too few. */
  static long waitNanos(double seconds) {
    return (long) (seconds * NANOS_PER_SECOND) + 1;
  }
}
