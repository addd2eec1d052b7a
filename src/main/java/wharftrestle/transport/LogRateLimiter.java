package wharftrestle.transport;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Owns when a line about what comes from outside may be logged again: one a second of each kind.
 * Guards against a log that grows as fast as peers, links or the system fail. It must never log
 * itself, and never wait.
 */
public final class LogRateLimiter {
  private static final long EVERY_NANOS = 1_000_000_000L;

  private final AtomicLong last;

  /**
   * @param now System.nanoTime; the first line may come at once
   */
  public LogRateLimiter(long now) {
    last = new AtomicLong(now - 2 * EVERY_NANOS);
  }

  /** True for the one line of this second. */
  public boolean may(long now) {
    long before = last.get();
    return now - before > EVERY_NANOS && last.compareAndSet(before, now);
  }
}
