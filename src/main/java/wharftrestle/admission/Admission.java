package wharftrestle.admission;

/**
 * The interface between a host and its admission control: the host reports events through {@link
 * Events}, and the admission control requests actions through {@link Actions}.
 *
 * <p>Units: all times and durations are seconds, all memory is kilobytes. {@code now} is the host's
 * monotonic clock; its origin is arbitrary and it never decreases.
 *
 * <p>Threading: events of one instance are delivered sequentially, by one thread or under one lock.
 * Actions are called back on the same thread, within the event. After the events of one instant the
 * host calls {@link Events#batchCompleted}, in which most decisions are made.
 */
public interface Admission {

  /** Whether a request may be executed more than once. */
  enum Idempotency {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Is executed at most once for each idempotency key within the key's window. */
    IDEMPOTENCY_KEY,
    /** Is executed at most once and has no idempotency key. */
    NON_IDEMPOTENT
  }

  /** What the host can do to an execution. */
  enum Preemption {
    /** Executions cannot be preempted. */
    NONE,
    /** An execution can be dropped. */
    DROP,
    /** An execution can be paused, and resumed or dropped later. */
    PAUSE
  }

  /** Where the dependency calls of executions go. */
  enum Dependency {
    /** Executions make no dependency calls. */
    NONE,
    /** One dependency that all hosts share; this host has a quota of calls. */
    SHARED,
    /** A tier that has its own overload protection; calls to it have no quota. */
    TIER
  }

  /** How an execution, an attachment or a dependency call ended. */
  enum Outcome {
    /** Executed, with a result. */
    SUCCESS,
    /** Executed, without a usable result. */
    FAILURE,
    /** Rejected by the peer before it was started. */
    OVERLOADED,
    /** Timed out; it may have been executed. */
    TIMED_OUT,
    /** The connection to the peer could not be established. */
    UNREACHABLE,
    /** The connection broke; it may have been executed. */
    BROKEN,
    /** Cancelled by this host. */
    WITHDRAWN,
    /** Known never to have been started. */
    VOID;

    /** Returns whether this outcome proves that nothing was executed. */
    public boolean neverExecuted() {
      return this == OVERLOADED || this == UNREACHABLE || this == VOID;
    }
  }

  /**
   * One class of requests.
   *
   * @param name used in logs only
   * @param latencyObjectiveSeconds an answer within this time has its full weight
   * @param latencyObjectiveStretch multiple of the request's estimated run time that is added to
   *     the objective, up to the deadline
   * @param deadlineSeconds total time for which a client waits
   * @param weight priority weight of an answer within the latency objective
   * @param weightAfterObjective fraction of the weight that remains between objective and deadline
   * @param idempotency whether a request may be executed again
   * @param idempotencyWindowSeconds with idempotency keys: how long after the arrival of a request
   *     duplicates of it may arrive
   * @param callsDependency its executions may call the dependency
   * @param weightWithoutCall fraction of the weight of an answer made without its dependency call;
   *     0 where the call may not be skipped
   */
  record RequestClass(
      String name,
      double latencyObjectiveSeconds,
      double latencyObjectiveStretch,
      double deadlineSeconds,
      double weight,
      double weightAfterObjective,
      Idempotency idempotency,
      double idempotencyWindowSeconds,
      boolean callsDependency,
      double weightWithoutCall) {}

  /**
   * One tenant.
   *
   * @param name used in logs only
   * @param quotaPerSecond its quota in requests per second, summed over all hosts
   * @param serviceFraction its fraction of the service
   */
  record Tenant(String name, double quotaPerSecond, double serviceFraction) {}

  /**
   * One request that was read; it receives exactly one final answer.
   *
   * @param id unique; a retry has a new id
   * @param retry marked by its client as a retry or a hedged request
   * @param queueingDelaySeconds time between reaching the host and being read
   * @param classIndex position of its class in the settings
   * @param tenantIndex position of its tenant in the settings; 0 without tenants
   * @param memoryKb memory while queued
   * @param caller number of its caller
   * @param costHintSeconds expected run time on a standard core; 0 if unknown
   * @param resourceKey key of the resource that it addresses; null if unknown
   * @param duplicateOf id of the retained request that it duplicates; 0 for none
   * @param remainingDeadlineSeconds how much longer its caller waits; 0 if unknown
   * @param priority from 0 to below 1, by the weight of its class and then by user
   */
  // Nested records would cost further allocations per request.
  @SuppressWarnings("checkstyle:RecordComponentNumber")
  record Request(
      long id,
      boolean retry,
      double queueingDelaySeconds,
      int classIndex,
      int tenantIndex,
      double memoryKb,
      int caller,
      double costHintSeconds,
      String resourceKey,
      long duplicateOf,
      double remainingDeadlineSeconds,
      double priority) {}

  /** The events that the host reports. Events about requests that have ended have no effect. */
  interface Events {
    /** A request has been read. */
    void arrived(double now, Request request);

    /**
     * An execution or an attachment has ended.
     *
     * @param elapsedSeconds time since the action that started it, waiting included
     */
    void completed(double now, long id, Outcome outcome, double elapsedSeconds);

    /**
     * An execution is blocked on a dependency call: it occupies no core until the call has
     * succeeded or is skipped, or until the request is failed.
     */
    void blockedOnCall(double now, long id);

    /** A dependency call has ended; after a success the host resumes the execution. */
    void callCompleted(double now, long id, Outcome outcome, double elapsedSeconds);

    /** The caller has disconnected; the request needs no answer any more. */
    void callerGone(double now, long id);

    /** This instance starts to drain and is stopped after {@code remainingSeconds}. */
    void draining(double now, double remainingSeconds);

    /**
     * Sets the fraction of the host's memory and call quota that this instance may use: 1, or less
     * while two processes serve one host.
     */
    default void quotaChanged(double now, double fraction) {}

    /**
     * A timer has fired.
     *
     * @param gauges in the order of the gauge names in the settings; empty if there are none
     */
    void timerFired(double now, long label, double[] gauges);

    /** All events of this instant have been delivered. */
    void batchCompleted(double now);
  }

  /** The actions that the admission control requests; the host performs them in this order. */
  interface Actions {
    /** Starts the execution of a queued request. */
    void dispatch(long id);

    /**
     * Final answer: rejected. The attempt was never executed, unless the request is idempotent: an
     * idempotent request may be rejected in execution, and its execution continues until the host
     * reports its end.
     *
     * @param everywhere whether a retry at another host is expected to be rejected as well
     * @param retryAfterSeconds Retry-After for the caller; 0 for none
     */
    void reject(long id, boolean everywhere, double retryAfterSeconds);

    /** Final answer: failed. */
    void fail(long id);

    /** Drops or pauses an execution; this does not answer the request. */
    void preempt(long id);

    /**
     * Makes the dependency call that a request is blocked on; it times out at {@code timeoutAt}.
     */
    void callDependency(long id, double timeoutAt);

    /** Resumes a request that is blocked on a dependency call, without the call. */
    void skipCall(long id);

    /** Enters the key of the request into the table of retained keys for this long from now. */
    void retainKey(long id, double seconds);

    /** Removes the key of the request from the table of retained keys. */
    void releaseKey(long id);

    /** Answers a queued request with the result of the request that it duplicates. */
    void attach(long id);

    /**
     * Sets the answer to health checks.
     *
     * @param cached whether health checks are answered without an execution
     */
    void reportHealth(boolean healthy, boolean cached);

    /** Sets the idle timeout of connections; 0 for the longest that the host allows. */
    void setIdleTimeout(double seconds);

    /** Requests one {@link Events#timerFired} after this delay. */
    void setTimer(long label, double delaySeconds);

    /** Logs one line for operators. */
    void log(String line);
  }
}
