package wharftrestle.request;

/**
 * A clock in seconds for admission events, which never decreases from one event to the next.
 * Guarded by the coordinator's lock.
 */
final class EventClock {
  private static final double NANOS_PER_SECOND = 1e9;

  private double latestSeconds;

  double now() {
    latestSeconds = Math.max(latestSeconds, System.nanoTime() / NANOS_PER_SECOND);
    return latestSeconds;
  }

  /** Converts a wait to nanoseconds, rounded up so that it never ends early. */
  static long waitNanos(double seconds) {
    return (long) (seconds * NANOS_PER_SECOND) + 1;
  }
}
