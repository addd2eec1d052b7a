package wharftrestle.transport;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits log lines about external events to one a second for each kind, so that the log does not
 * grow as fast as peers, links or the system fail. Thread-safe; never blocks and logs nothing
 * itself.
 */
public final class LogRateLimiter {
  private static final long INTERVAL_NANOS = 1_000_000_000L;

  private final AtomicLong lastNanos;

  /**
   * @param now System.nanoTime; the first line is allowed immediately
   */
  public LogRateLimiter(long now) {
    lastNanos = new AtomicLong(now - 2 * INTERVAL_NANOS);
  }

  /** Returns true if a line may be logged now: at most once a second. */
  public boolean tryAcquire(long now) {
    long previous = lastNanos.get();
    return now - previous > INTERVAL_NANOS && lastNanos.compareAndSet(previous, now);
  }
}
