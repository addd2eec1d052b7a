package wharftrestle.request;

import wharftrestle.time.SteadyWallClock;

/**
 * One attempt of a client's request as a frontend read it.
 *
 * @param reference names this attempt at the worker pool and the store
 * @param isRetry its sender marked it as a retry or a hedged request
 * @param memoryKb memory while it is in flight
 * @param callerId number of the load balancer that sent it
 * @param rank 0 to under 1, by weight of its class and then by user
 * @param expectedWorkSeconds work on one core, rough; 0 where not known
 * @param idempotencyKey null where there is none
 * @param subject what it is about; null where not known
 * @param receivedAtMillis when it reached the host, on the {@link SteadyWallClock}'s even scale
 */
@SuppressWarnings("checkstyle:RecordComponentNumber") // one object a request, not two
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

  /** Seconds since it reached the host, on clocks that may differ: never less than 0. */
  double queueingDelaySeconds() {
    return Math.max(0, (SteadyWallClock.steadyWallMillis() - receivedAtMillis) / MILLIS_PER_SECOND);
  }
}
