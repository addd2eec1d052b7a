package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** However often an event occurs, at most one line a second is logged. */
class LogRateLimiterTest {
  private static final long SECOND = 1_000_000_000L;

  @Property(tries = 200)
  void firstLineIsAllowedAtOnceAndAtMostOneASecondAfterwards(
      @ForAll long start,
      @ForAll @Size(min = 1, max = 200) List<@LongRange(min = 0, max = 300_000_000L) Long> gaps) {
    LogRateLimiter limiter = new LogRateLimiter(start);
    long now = start;
    assertTrue(limiter.tryAcquire(now));
    long last = now;
    for (long gap : gaps) {
      now += gap;
      boolean due = now - last > SECOND;
      assertEquals(due, limiter.tryAcquire(now));
      last = due ? now : last;
    }
  }
}
