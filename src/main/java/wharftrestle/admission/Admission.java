package wharftrestle.admission;

/**
 * The interface between a host and its admission control: the host reports what happens through
 * {@link Events}, and the control answers through {@link Actions}.
 *
 * <p>Units: all times and durations are seconds, all memory is kilobytes. {@code now} is the host's
 * monotonic clock; it has no fixed origin and never goes back.
 *
 * <p>Threading: events of one instance are delivered one after another, by one thread or under one
 * lock. Actions are called back on the same thread, within the event. After the events of one
 * instant the host calls {@link Events#batchCompleted}, in which most decisions are taken.
 */
public interface Admission {

  /** Whether a request may be executed more than once. */
  enum Idempotency {
    /** May be executed any number of times. */
    IDEMPOTENT,
    /** Is executed at most once for each idempotency key within the key's window. */
    IDEMPOTENCY_KEY,
    /** Is executed at most once and names no key. */
    NON_IDEMPOTENT
  }

  /** What the host can do to an execution. */
  enum Preemption {
    /** Executions run to their end. */
    NONE,
    /** An execution can be dropped. */
    DROP,
    /** An execution can be paused, and resumed or dropped later. */
    PAUSE
  }

  /** Where the dependency calls of executions go. */
  enum Dependency {
    /** Executions call nothing. */
    NONE,
    /** One dependency that all hosts share; this host has a quota of calls. */
    SHARED,
    /** A tier that protects itself. */
    TIER
  }

  /** How an execution, an attachment or a dependency call ended. */
  enum Outcome {
    /** Carried out, with a result. */
    SUCCESS,
    /** Carried out, without a usable result. */
    FAILURE,
    /** Rejected by the other side before it was started. */
    OVERLOADED,
    /** Given up after its time limit; it may have been carried out. */
    TIMED_OUT,
    /** The other side could not be connected to. */
    UNREACHABLE,
    /** The connection broke; it may have been carried out. */
    BROKEN,
    /** Cancelled by this host. */
    WITHDRAWN,
    /** Known never to have been started. */
    VOID;

    /** Returns whether this outcome proves that nothing was carried out. */
    public boolean neverExecuted() {
      return this == OVERLOADED || this == UNREACHABLE || this == VOID;
    }
  }

  /**
   * One class of requests.
   *
   * @param name for logs only
   * @param latencyObjectiveSeconds an answer within this time has its full weight
   * @param latencyObjectiveStretch multiple of the request's estimated run time that is added to
   *     the objective, up to the deadline
   * @param deadlineSeconds how long a client waits in all
   * @param weight priority weight of an answer within the latency objective
   * @param weightAfterObjective fraction of the weight that remains between objective and deadline
   * @param idempotency whether a request may be executed again
   * @param idempotencyWindowSeconds with idempotency keys: how long after its arrival a request may
   *     come again
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
   * @param name for logs only
   * @param quotaPerSecond requests a second within its quota, over the whole fleet
   * @param serviceFraction its part of the service
   */
  record Tenant(String name, double quotaPerSecond, double serviceFraction) {}

  /**
   * One request that was read and is now owed exactly one final answer.
   *
   * @param id unique; a retry has a new one
   * @param retry marked by its client as a retry or a hedged request
   * @param queueingDelaySeconds time between reaching the host and being read
   * @param classIndex position of its class in the settings
   * @param tenantIndex position of its tenant; 0 where there are none
   * @param memoryKb memory while queued
   * @param caller number of its caller
   * @param costHintSeconds expected run time on a standard core; 0 where unknown
   * @param resourceKey what it is about; null where unknown
   * @param duplicateOf id of the retained request that it duplicates; 0 for none
   * @param remainingDeadlineSeconds how much longer its caller waits; 0 where unknown
   * @param priority 0 to under 1, by weight of its class and then by user
   */
  @SuppressWarnings("checkstyle:RecordComponentNumber") // groups would cost allocations per request
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

  /** What the host reports. Events about requests that are already over have no effect. */
  interface Events {
    /** A request has been read. */
    void arrived(double now, Request request);

    /**
     * An execution or an attachment has ended.
     *
     * @param elapsedSeconds since the action that began it, waits included
     */
    void completed(double now, long id, Outcome outcome, double elapsedSeconds);

    /**
     * An execution waits off the cores until it may call the dependency, skips the call or is
     * failed.
     */
    void blockedOnCall(double now, long id);

    /** A dependency call has ended; after success the execution resumes by itself. */
    void callCompleted(double now, long id, Outcome outcome, double elapsedSeconds);

    /** The caller no longer waits; no answer is owed. */
    void callerGone(double now, long id);

    /** This instance drains and is stopped after {@code remainingSeconds}. */
    void draining(double now, double remainingSeconds);

    /**
     * From now on this instance has this fraction of the host's memory and call quota; 1 for all,
     * less while two processes serve one host.
     */
    default void quotaChanged(double now, double fraction) {}

    /**
     * The timer is due.
     *
     * @param gauges in the order of the gauge names in the settings; empty where there are none
     */
    void timerFired(double now, long label, double[] gauges);

    /** All events of this instant have been delivered. */
    void batchCompleted(double now);
  }

  /** What the control asks of its host; carried out in the order asked. */
  interface Actions {
    /** Starts the execution of a queued request. */
    void dispatch(long id);

    /**
     * Final answer: rejected. It promises that this attempt was never executed, unless it is
     * idempotent; an idempotent one in execution goes on until its end is reported.
     *
     * @param everywhere whether a retry at another host is expected to be rejected as well
     * @param retryAfterSeconds 0 gives no advice
     */
    void reject(long id, boolean everywhere, double retryAfterSeconds);

    /** Final answer: failed. */
    void fail(long id);

    /** Drops or pauses an execution; not an answer. */
    void preempt(long id);

    /** Makes the dependency call that a request is blocked on; given up at {@code giveUpAt}. */
    void callDependency(long id, double giveUpAt);

    /** Resumes a request that is blocked on a dependency call, without the call. */
    void skipCall(long id);

    /** Enters the request into the table of keys for this long from now. */
    void retainKey(long id, double seconds);

    /** Removes the request from the table of keys. */
    void releaseKey(long id);

    /** Answers a queued request from the result of the one that it duplicates. */
    void attach(long id);

    /**
     * Sets what health checks are answered.
     *
     * @param cached whether they are answered without any work
     */
    void reportHealth(boolean healthy, boolean cached);

    /** Closes connections that were idle for this long; 0 for the longest the host allows. */
    void setIdleTimeout(double seconds);

    /** Asks for one {@link Events#timerFired}, this long from now. */
    void setTimer(long label, double delaySeconds);

    /** Logs one line for the on-call engineer. */
    void log(String line);
  }
}
