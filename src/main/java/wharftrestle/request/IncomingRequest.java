package wharftrestle.request;

import wharftrestle.time.SteadyWallClock;

/**
 * One attempt of a client's request as a frontend read it.
 *
 * @param reference identifies this attempt to the worker pool and the store
 * @param isRetry the sender marked it as a retry or a hedged request
 * @param memoryKb memory that it needs while it is in flight, kB
 * @param callerId number of the load balancer that sent it
 * @param rank in [0, 1), ordered by the weight of its class and then by user
 * @param expectedWorkSeconds estimated work on one core; 0 if not known
 * @param idempotencyKey null if there is none
 * @param subject what it is about; null if not known
 * @param receivedAtMillis when it reached the host, ms on the {@link SteadyWallClock}
 */
@SuppressWarnings("checkstyle:RecordComponentNumber") // one allocation per request instead of two
public record IncomingRequest(
    String reference,
    boolean isRetry,
    int classIndex,
    int tenantIndex,
    double memoryKb,
    int callerId,
    double rank,
    double expectedWorkSeconds,
    String idempotencyKey,
    String subject,
    long receivedAtMillis,
    byte[] body) {

  private static final double MILLIS_PER_SECOND = 1000;

  /** Seconds since it reached the host; not below 0, even if the timestamp is of another clock. */
  double queueingDelaySeconds() {
    return Math.max(0, (SteadyWallClock.steadyWallMillis() - receivedAtMillis) / MILLIS_PER_SECOND);
  }
}
