package wharftrestle.admission;

import wharftrestle.admission.Admission.Idempotency;
import wharftrestle.admission.Admission.Request;
import wharftrestle.admission.Admission.RequestClass;

/**
 * One request from its arrival to its end, and beyond that while its key is retained. Only {@link
 * RequestTable} changes {@link #state}; the comment of a field names the class that sets it.
 */
final class TrackedRequest {

  /** The states of a request. */
  enum State {
    QUEUED,
    EXECUTING,
    /** Occupies no core; its dependency call is not yet made. */
    BLOCKED,
    /** Occupies no core; its dependency call is in flight. */
    CALLING,
    /** Waits for the result of the request that it duplicates. */
    ATTACHED,
    DONE
  }

  final Request request;
  final RequestClass requestClass;
  final ClassEstimate estimate;

  /** When it reached the host, before its queueing delay before read. */
  final double reachedHostAt;

  /** The answer must be sent by this time; set by {@link Deadlines}. */
  double answerDueAt;

  /** An answer has its full weight until this time; set by {@link Deadlines}. */
  double objectiveAt;

  State state = State.QUEUED;
  double dispatchedAt;
  boolean executed;

  /** Answered or its caller has disconnected; set by {@link FinalAnswers} and on disconnection. */
  boolean answered;

  /** Its preemption has been requested; set by {@link DeadlineEnforcer}. */
  boolean preempting;

  /** Total blocked time of its completed dependency calls; set by {@link RequestTable}. */
  double blockedSeconds;

  /** Time when it blocked on its present call; set by {@link RequestTable}. */
  double blockedSince;

  /** Earliest time of the next attempt of its call; set by {@link DependencyCalls}. */
  double nextCallAt;

  /** Failed attempts of the present call; set by {@link DependencyCalls}. */
  int failedCalls;

  /** Number of dependency calls that it has blocked on; set by {@link RequestTable}. */
  int callsReached;

  /** Its key is retained until this time; set by {@link DuplicateTracker}. */
  double keyRetainedUntil;

  /** Whether its key is retained; set by {@link DuplicateTracker}. */
  boolean keyRetained;

  /**
   * The attempt that replaced this one, which ended without execution; set by {@link
   * DuplicateTracker}.
   */
  TrackedRequest successor;

  /** The attempt whose result it waits for, or null; set by {@link RequestTable}. */
  TrackedRequest attachedTo;

  /** Number of requests attached to this one; set by {@link RequestTable}. */
  int attachedCount;

  TrackedRequest(
      Request request, RequestClass requestClass, ClassEstimate estimate, double reachedHostAt) {
    this.request = request;
    this.requestClass = requestClass;
    this.estimate = estimate;
    this.reachedHostAt = reachedHostAt;
  }

  long id() {
    return request.id();
  }

  /** Returns whether it was dispatched and has not ended. */
  boolean isStarted() {
    return state == State.EXECUTING || state == State.BLOCKED || state == State.CALLING;
  }

  boolean isIdempotent() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  boolean hasIdempotencyKey() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
  }

  /** Returns whether its dependency call may be skipped, at the cost of a part of its weight. */
  boolean maySkipCall() {
    return requestClass.weightWithoutCall() > 0;
  }

  /** Returns whether an answer after the latency objective has any weight. */
  boolean hasWeightAfterObjective() {
    return requestClass.weightAfterObjective() > 0;
  }

  /** Returns the seconds since its dispatch in which it was blocked or calling. */
  double blockedSeconds(double now) {
    return blockedSeconds + (state == State.EXECUTING ? 0 : now - blockedSince);
  }
}
