package wharftrestle.admission;

import java.util.List;

/**
 * The settings of one admission control instance, grouped by subject. Absent optional values are 0,
 * false or an empty list. Units are those of {@link Admission}.
 *
 * @param classes request classes, by position
 * @param tenants tenants, by position; may be empty
 * @param fleet the other hosts and the callers
 * @param capacity cores and memory of this host
 * @param warmUp slow start of a cold host
 * @param calls dependency calls
 * @param timing clock and time limits
 * @param retries retries of callers
 * @param weighting what the weight of an answer depends on besides its request class
 * @param gauges names of the gauges that are reported when a timer fires, by position
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
   * @param callers number of callers when this instance started
   * @param notifiesCallerGone whether the host reports that a caller has disconnected
   * @param healthChecksExecute whether health checks are executed unless answered from the cache
   * @param endpointListFollowsHealth whether the callers' endpoint list follows the reported health
   */
  public record Fleet(
      int hosts,
      int callers,
      boolean notifiesCallerGone,
      boolean healthChecksExecute,
      boolean endpointListFollowsHealth) {}

  /**
   * Cores and memory of this host, and how it can preempt executions.
   *
   * @param cores cores of this host
   * @param memoryKb memory for queued and executing requests and retained keys
   * @param executionMemoryFactor memory of an executing request, as a multiple of a queued one
   * @param keyMemoryKb memory of one retained key
   * @param preemption how executions can be preempted
   * @param survivableConcurrencyPerCore highest mean number of concurrent executions per core at
   *     which a warm host still works
   * @param concurrencyWindowSeconds the window of that mean
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
   * @param coldStart whether the host has just started
   * @param coldSpeedFraction lowest speed while cold, as a fraction of the full speed
   * @param seconds time after which the host is warm at the latest
   */
  public record WarmUp(boolean coldStart, double coldSpeedFraction, double seconds) {}

  /**
   * Dependency calls of executions.
   *
   * @param dependency the kind of dependency that is called
   * @param quota calls in flight that this instance may have, as a mean over the window
   * @param quotaWindowSeconds the window of that mean
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
   * @param tickSeconds resolution of the host's clock
   * @param answerSlackSeconds how long after its deadline an answer still counts
   * @param drainGraceSeconds a request that arrives later than this after the start of draining may
   *     not be executed
   * @param resultSharingSeconds how long the result of an idempotent request may answer duplicates;
   *     0 to disable
   */
  public record Timing(
      double tickSeconds,
      double answerSlackSeconds,
      double drainGraceSeconds,
      double resultSharingSeconds) {}

  /**
   * Retries of callers.
   *
   * @param maxRetryAfterSeconds longest Retry-After that callers observe; 0 if none is passed on
   * @param marked whether clients mark retries
   */
  public record Retries(double maxRetryAfterSeconds, boolean marked) {}

  /**
   * How the weight of answers is counted.
   *
   * @param perWork whether weight counts per unit of work instead of per request
   * @param overQuota fraction of the weight that requests over their tenant's quota keep
   */
  public record Weighting(boolean perWork, double overQuota) {}

  /** Returns these settings, marked as a cold start if {@code cold} is set. */
  public AdmissionSettings withColdStart(boolean cold) {
    WarmUp started =
        new WarmUp(warmUp.coldStart() || cold, warmUp.coldSpeedFraction(), warmUp.seconds());
    return new AdmissionSettings(
        classes, tenants, fleet, capacity, started, calls, timing, retries, weighting, gauges);
  }
}
