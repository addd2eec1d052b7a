package wharftrestle.admission;

import java.util.List;

/**
 * What an instance knows when it starts, grouped by subject. Absent optional values are 0, false or
 * an empty list. Units are those of {@link Admission}.
 *
 * @param classes request classes, by position
 * @param tenants tenants, by position; may be empty
 * @param fleet the other hosts and the callers
 * @param capacity what this host can hold and execute
 * @param warmUp slow start of a cold host
 * @param calls dependency calls
 * @param timing clock and time limits
 * @param retries what is known and advised about retries
 * @param weighting how the weight of answers is counted
 * @param gauges names of the gauges that come with the timer, by position
 */
public record AdmissionSettings(
    List<Admission.RequestClass> classes,
    List<Admission.Tenant> tenants,
    Fleet fleet,
    Capacity capacity,
    WarmUp warmUp,
    DependencyCalls calls,
    Timing timing,
    Retries retries,
    Weighting weighting,
    List<String> gauges) {

  /**
   * The other hosts of the service, and its callers.
   *
   * @param hosts instances of this service when this one started, this one included
   * @param callers callers when this one started
   * @param notifiesCallerGone the host reports when a caller has gone
   * @param healthChecksExecute health checks are executed unless answered from the cache
   * @param endpointListFollowsHealth the callers' endpoint list follows the health reported here
   */
  public record Fleet(
      int hosts,
      int callers,
      boolean notifiesCallerGone,
      boolean healthChecksExecute,
      boolean endpointListFollowsHealth) {}

  /**
   * What this host can hold and execute.
   *
   * @param cores cores of this host
   * @param memoryKb memory for queued and executing requests and retained keys
   * @param executionMemoryFactor memory of an executing request, as a multiple of a queued one
   * @param keyMemoryKb memory of one retained key
   * @param preemption what can be done to executions
   * @param survivableConcurrencyPerCore executions per core that a warm host survives
   * @param concurrencyWindowSeconds the span of that mean
   */
  public record Capacity(
      int cores,
      double memoryKb,
      double executionMemoryFactor,
      double keyMemoryKb,
      Admission.Preemption preemption,
      double survivableConcurrencyPerCore,
      double concurrencyWindowSeconds) {}

  /**
   * Slow start of a cold host.
   *
   * @param coldStart the host has just started
   * @param coldSpeedFraction least fraction of its full speed while cold
   * @param seconds it is warm after this time at the latest
   */
  public record WarmUp(boolean coldStart, double coldSpeedFraction, double seconds) {}

  /**
   * Dependency calls of executions.
   *
   * @param dependency where they go
   * @param quota calls in flight that this instance may have, as a mean over the window
   * @param quotaWindowSeconds the span of that mean
   * @param abandonedSeconds longest time for which an abandoned call still occupies the dependency
   */
  public record DependencyCalls(
      Admission.Dependency dependency,
      double quota,
      double quotaWindowSeconds,
      double abandonedSeconds) {}

  /**
   * The host's clock, and time limits.
   *
   * @param tickSeconds shortest gap between two instants of the host
   * @param answerSlackSeconds an answer this long after its deadline still counts
   * @param drainGraceSeconds what arrives later than this after the start of draining may not be
   *     executed
   * @param resultSharingSeconds how long the result of an idempotent request may answer others; 0
   *     for never
   */
  public record Timing(
      double tickSeconds,
      double answerSlackSeconds,
      double drainGraceSeconds,
      double resultSharingSeconds) {}

  /**
   * Retries of callers.
   *
   * @param maxRetryAfterSeconds longest Retry-After that is observed; 0 where none is passed on
   * @param marked clients mark retries
   */
  public record Retries(double maxRetryAfterSeconds, boolean marked) {}

  /**
   * How the weight of answers is counted.
   *
   * @param perWork per unit of work, not per request
   * @param overQuota fraction of the weight of what exceeds its tenant's quota
   */
  public record Weighting(boolean perWork, double overQuota) {}

  /** Returns the same settings for a host that may have started cold. */
  public AdmissionSettings withColdStart(boolean cold) {
    WarmUp started =
        new WarmUp(warmUp.coldStart() || cold, warmUp.coldSpeedFraction(), warmUp.seconds());
    return new AdmissionSettings(
        classes, tenants, fleet, capacity, started, calls, timing, retries, weighting, gauges);
  }
}
