package wharftrestle.admission;

import java.util.List;

/**
 * The face between a server and its admission control. The server (the host) tells what happens
 * through {@link Events}, and the control answers through {@link Actions}.
 *
 * <p>Units: all times and durations are seconds, all memory is kilobytes. {@code now} is the host's
 * monotonic clock; it starts anywhere and never goes back.
 *
 * <p>Threading: one thread per instance. Events are told one after another; actions are called back
 * on the same thread, within the event. After the events of one instant the host calls {@link
 * Events#settled}, in which most decisions are taken.
 */
public interface Admission {

  /** Whether a request may run more than once. */
  enum Repeat {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** What the host can do to work that is running. */
  enum Preemption {
    NONE,
    DROP,
    PAUSE
  }

  /** Where the calls of running requests go. */
  enum Downstream {
    NONE,
    SHARED,
    TIER
  }

  /** How a run, an attachment or a call ended. */
  enum Outcome {
    SUCCESS,
    FAILURE,
    OVERLOADED,
    TIMED_OUT,
    UNREACHABLE,
    BROKEN,
    WITHDRAWN,
    VOID;

    /** True where this outcome proves that nothing was carried out. */
    public boolean neverRan() {
      return this == OVERLOADED || this == UNREACHABLE || this == VOID;
    }
  }

  /**
   * One class of requests.
   *
   * @param name for logs only
   * @param aim an answer within this time earns its full worth
   * @param aimStretch the aim grows by this multiple of the request's own work, up to the deadline
   * @param deadline how long a client waits in all
   * @param worth what an answer within the aim is worth
   * @param lateWorth part of the worth still paid between aim and deadline
   * @param repeat whether a request may run again
   * @param window KEYED: how long after its arrival the request may come again
   * @param calls its requests may call below
   * @param skipWorth part of the worth kept when a call is left out; 0 where it may not be left out
   */
  record RequestClass(
      String name,
      double aim,
      double aimStretch,
      double deadline,
      double worth,
      double lateWorth,
      Repeat repeat,
      double window,
      boolean calls,
      double skipWorth) {}

  /**
   * One tenant.
   *
   * @param name for logs only
   * @param allowance requests a second within its share, over the whole fleet
   * @param portion its part of the service
   */
  record Tenant(String name, double allowance, double portion) {}

  /**
   * What an instance is told when it starts. Absent optional values arrive as 0, false or an empty
   * list.
   *
   * @param classes request classes, by position
   * @param tenants tenants, by position; may be empty
   * @param peers instances of this service when this one started, this one included
   * @param callers callers when this one started
   * @param cores cores of this machine
   * @param memory memory for held and running requests and kept keys, kB
   * @param runFactor memory of a running request, as a multiple of a held one
   * @param keyMemory memory of one kept key, kB
   * @param shareFor how long the answer of a read may serve others; 0 for never
   * @param preemption what can be done to running work
   * @param downstream where calls go
   * @param callShare calls in hand this instance may have, as a mean over callsOver
   * @param callsOver the span of that mean
   * @param linger longest time an abandoned call stays in the dependency's hands
   * @param tellsGone the host says when a caller has gone
   * @param realChecks health checks do real work unless answered from store
   * @param listFollows the callers' list of servers follows the health set here
   * @param answerSlack an answer this long after its due time still counts
   * @param drainGrace what arrives later than this after the notice to leave may not run
   * @param crowdMultiple requests on the cores, per core, that a warm machine survives
   * @param crowdOver the span of that mean
   * @param justStarted the machine is cold
   * @param coldFrom least share of speed of a cold machine
   * @param coldFor it is warm after this time at the latest
   * @param maxRetryAfter longest advice to stay away that is observed; 0 where advice is not passed
   *     on
   * @param worthByWork worth is counted per unit of work, not per request
   * @param overShareWorth part of the worth of what exceeds its tenant's share
   * @param marksRetry further tries are marked
   * @param tick shortest gap between two instants of the host
   * @param gauges names of the gauges that come with timers, by position
   */
  record Settings(
      List<RequestClass> classes,
      List<Tenant> tenants,
      int peers,
      int callers,
      int cores,
      double memory,
      double runFactor,
      double keyMemory,
      double shareFor,
      Preemption preemption,
      Downstream downstream,
      double callShare,
      double callsOver,
      double linger,
      boolean tellsGone,
      boolean realChecks,
      boolean listFollows,
      double answerSlack,
      double drainGrace,
      double crowdMultiple,
      double crowdOver,
      boolean justStarted,
      double coldFrom,
      double coldFor,
      double maxRetryAfter,
      boolean worthByWork,
      double overShareWorth,
      boolean marksRetry,
      double tick,
      List<String> gauges) {

    /** The same for a server that may have started cold, whatever the configuration says. */
    public Settings started(boolean cold) {
      return new Settings(
          classes,
          tenants,
          peers,
          callers,
          cores,
          memory,
          runFactor,
          keyMemory,
          shareFor,
          preemption,
          downstream,
          callShare,
          callsOver,
          linger,
          tellsGone,
          realChecks,
          listFollows,
          answerSlack,
          drainGrace,
          crowdMultiple,
          crowdOver,
          justStarted || cold,
          coldFrom,
          coldFor,
          maxRetryAfter,
          worthByWork,
          overShareWorth,
          marksRetry,
          tick,
          gauges);
    }
  }

  /**
   * One request, read and now owed exactly one final answer.
   *
   * @param id unique; a further try has a new one
   * @param further marked as a further try or second copy
   * @param lay time since it reached the machine
   * @param classIndex position of its class in the settings
   * @param tenantIndex position of its tenant; 0 where there are none
   * @param memory memory while held, kB
   * @param caller number of its caller
   * @param cost expected work on a standard core; 0 where not told
   * @param subject what it is about; null where not told
   * @param repeatOf id of the kept request it repeats; 0 for none
   * @param patience how much longer its caller waits; 0 where not told
   * @param rank 0 to under 1, by worth of class and then by user
   */
  record Request(
      long id,
      boolean further,
      double lay,
      int classIndex,
      int tenantIndex,
      double memory,
      int caller,
      double cost,
      String subject,
      long repeatOf,
      double patience,
      double rank) {}

  /** What the control is told. Events about requests already over are harmless. */
  interface Events {
    /** A request has been read. */
    void arrived(double now, Request request);

    /** A start or an attachment has ended; elapsed counts from that action, waits included. */
    void ended(double now, long id, Outcome outcome, double elapsed);

    /** A running request stands off the cores until it may call, skips the call or is failed. */
    void standsAtCall(double now, long id);

    /** A call has ended; after success the request resumes by itself. */
    void callEnded(double now, long id, Outcome outcome, double elapsed);

    /** The caller waits no longer; no answer is owed. */
    void callerLeft(double now, long id);

    /** This instance is leaving service and is stopped after timeLeft. */
    void leaving(double now, double timeLeft);

    /**
     * From now on this instance has so much of the machine's memory and share of calls; 1 for all.
     */
    default void shares(double now, double part) {}

    /**
     * The timer is due. Gauges stand in the order of {@link Settings#gauges}; empty where there are
     * none.
     */
    void timer(double now, long label, double[] gauges);

    /** All events of this instant have been told. */
    void settled(double now);
  }

  /** What the control may ask of its host; carried out in the order asked. */
  interface Actions {
    /** Start a held request. */
    void start(long id);

    /**
     * Final answer: declined. A promise that this try never ran, unless it is safe to repeat; a
     * safe one that is running goes on until its end is told. retryAfter 0 gives no advice.
     */
    void refuse(long id, boolean nowhereElse, double retryAfter);

    /** Final answer: failed. */
    void fail(long id);

    /** Stop running work; not an answer. */
    void stop(long id);

    /** Make the call a request stands at; given up at the clock time notPast. */
    void call(long id, double notPast);

    /** Go on without the call. */
    void skipCall(long id);

    /** Enter the request into the table of keys for this long from now. */
    void keep(long id, double time);

    /** Remove its entry. */
    void release(long id);

    /** Answer a held request from the result of the one it repeats. */
    void attach(long id);

    /** What health checks are told; fromStore answers them cheaply. */
    void health(boolean good, boolean fromStore);

    /** Close connections idle for this long; 0 for the longest the host allows. */
    void idleLimit(double time);

    /** Ask for one timer event, this long from now. */
    void timer(long label, double in);

    /** One line for the on-call reader. */
    void log(String line);
  }
}
