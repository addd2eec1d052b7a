package wharftrestle.transport;

/**
 * Shares the rate at which input is handled among the connections of a process, by max-min
 * fairness: while all of them together send no more than the process can handle, none is delayed.
 * Otherwise a common rate is set so that the sum fits, and only connections that send faster are
 * delayed. What happens to requests later plays no part, so clients of a host whose worker pool
 * fails or stands still are treated as any others.
 *
 * <p>The common rate has a lower bound: a peer may have {@value #MAX_OPEN_REQUESTS} requests open,
 * and if all of them are unread, the last one is still read within half of the shortest time in
 * which any request has to be answered.
 *
 * <p>Reads no clock and never waits; times are those of System.nanoTime. Thread-safe.
 */
public final class InputRateLimiter {
  /** Maximum number of open requests on a connection, by the platform's protocol. */
  public static final int MAX_OPEN_REQUESTS = 32;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Messages a second that one core suffices for if each of them is a request that is served. */
  private static final double MESSAGES_PER_CORE_SECOND = 4000;

  /** Nanoseconds after which the common rate is computed anew. */
  private static final long WINDOW_NANOS = 100_000_000;

  /** Growth of the common rate in one window, nearly used up and with much to spare. */
  private static final double SLOW_GROWTH = 1.1;

  private static final double FAST_GROWTH = 1.5;
  private static final double NEARLY_USED_UP = 0.8;

  /** Messages that a connection may send at once after a pause: all that may be open. */
  private static final double BURST = MAX_OPEN_REQUESTS;

  /** Nanoseconds within its share after which an excess counts as a new one. */
  private static final long EXCESS_PAUSE_NANOS = 1_000_000_000;

  /** Part of the shortest answer time in which all open requests of a connection are read. */
  private static final double MAX_UNREAD_FRACTION = 0.5;

  private final double capacity;
  private final double minRatePerConnection;
  private final long maxExcessNanos;
  private double ratePerConnection = Double.POSITIVE_INFINITY;
  private long windowStartedAt;
  private long windowNumber;
  private int messagesInWindow;
  private int mostOfOneConnection;

  /** What one connection has used of its share. Guarded by the limiter. */
  public static final class Account {
    private double tokens;
    private long refilledAt;
    private long windowNumber;
    private int messagesInWindow;
    private long excessSince; // 0 while it has no more input than its share
    private long lastExceededAt;

    private Account(double tokens, long now) {
      this.tokens = tokens;
      refilledAt = now;
    }
  }

  /**
   * Creates a limiter without connections.
   *
   * @param cores cores that the process may use
   * @param shortestAnswerSeconds shortest time in which any request has to be answered
   * @param now the present time
   */
  public InputRateLimiter(double cores, double shortestAnswerSeconds, long now) {
    capacity = cores * MESSAGES_PER_CORE_SECOND;
    minRatePerConnection = MAX_OPEN_REQUESTS / (MAX_UNREAD_FRACTION * shortestAnswerSeconds);
    maxExcessNanos = (long) (shortestAnswerSeconds * NANOS_PER_SECOND);
    windowStartedAt = now;
  }

  /**
   * Opens the account of a new connection. Its first message is not delayed; the burst that others
   * may send must not be had anew with each connection.
   */
  public synchronized Account open(long now) {
    return new Account(isLimiting() ? 1 : BURST, now);
  }

  /** Counts a message that was read; true if it exceeds its connection's share. */
  public synchronized boolean exceedsShare(Account account, long now) {
    if (now - windowStartedAt >= WINDOW_NANOS) {
      startWindow(now);
    }
    messagesInWindow++;
    if (account.windowNumber != windowNumber) {
      account.windowNumber = windowNumber;
      account.messagesInWindow = 0;
    }
    account.messagesInWindow++;
    mostOfOneConnection = Math.max(mostOfOneConnection, account.messagesInWindow);
    if (!isLimiting()) {
      account.tokens = BURST;
      account.refilledAt = now;
      return false;
    }
    double refill = (now - account.refilledAt) / NANOS_PER_SECOND * ratePerConnection;
    account.tokens = Math.max(-1, Math.min(BURST, account.tokens + refill) - 1);
    account.refilledAt = now;
    return account.tokens < 0;
  }

  /** Returns the nanoseconds by which to delay a message that exceeds its connection's share. */
  public synchronized long delayNanos(Account account) {
    return (long) (-account.tokens / ratePerConnection * NANOS_PER_SECOND);
  }

  /**
   * Records whether a delayed connection has more input than can be read ahead. Returns true once
   * it has had so for longer than open requests explain: its peer sends what the protocol does not
   * allow, or does not wait for answers.
   */
  public synchronized boolean isInExcess(Account account, boolean hasMoreInput, long now) {
    boolean hasPaused = now - account.lastExceededAt > EXCESS_PAUSE_NANOS;
    account.lastExceededAt = now;
    if (!hasMoreInput) {
      account.excessSince = 0;
    } else if (account.excessSince == 0 || hasPaused) {
      account.excessSince = now;
    }
    return account.excessSince != 0 && now - account.excessSince > maxExcessNanos;
  }

  private boolean isLimiting() {
    return ratePerConnection < Double.POSITIVE_INFINITY;
  }

  private void startWindow(long now) {
    double seconds = (now - windowStartedAt) / NANOS_PER_SECOND;
    double rate = messagesInWindow / seconds;
    if (rate > capacity) {
      double highestRate = Math.min(ratePerConnection, mostOfOneConnection / seconds);
      ratePerConnection = Math.max(minRatePerConnection, highestRate * capacity / rate);
    } else if (isLimiting()) {
      double growth = rate > NEARLY_USED_UP * capacity ? SLOW_GROWTH : FAST_GROWTH;
      ratePerConnection *= Math.pow(growth, seconds * NANOS_PER_SECOND / WINDOW_NANOS);
      if (ratePerConnection > capacity) {
        ratePerConnection = Double.POSITIVE_INFINITY;
      }
    }
    windowStartedAt = now;
    windowNumber++;
    messagesInWindow = 0;
    mostOfOneConnection = 0;
  }
}
