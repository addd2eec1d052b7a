package wharftrestle.admission;

import wharftrestle.admission.Admission.Idempotency;
import wharftrestle.admission.Admission.Request;
import wharftrestle.admission.Admission.RequestClass;

/**
 * One request from its arrival to its end, and after that while its key is retained. Only {@link
 * RequestTable} changes {@link #state}; the other fields belong to the class named at each.
 */
final class TrackedRequest {

  /** Where a request stands. */
  enum State {
    QUEUED,
    EXECUTING,
    /** Off the cores, waiting until its dependency call may be made. */
    BLOCKED,
    /** Off the cores, with a dependency call in flight. */
    CALLING,
    /** Waits for the result of the request that it duplicates. */
    ATTACHED,
    DONE
  }

  final Request request;
  final RequestClass requestClass;
  final ClassEstimate estimate;
  final double reachedHostAt;

  /** The answer must be out by then; kept by {@link Deadlines}. */
  double answerDueAt;

  /** An answer has its full weight until then; kept by {@link Deadlines}. */
  double objectiveAt;

  State state = State.QUEUED;
  double dispatchedAt;
  boolean executed;

  /** Kept by {@link FinalAnswers}. */
  boolean answered;

  /** The host was asked to preempt it; kept by {@link DeadlineEnforcer}. */
  boolean preempting;

  /** Blocked and calling time of the calls that are over. */
  double offCoresSeconds;

  /** When it blocked on its present call. */
  double blockedSince;

  /** The present call is not repeated before; kept by {@link DependencyCalls}. */
  double nextCallAt;

  /** Failed attempts of the present call; kept by {@link DependencyCalls}. */
  int failedCalls;

  /** Dependency calls it has blocked on so far. */
  int callsReached;

  /** Its entry in the table of keys lasts until then; kept by {@link DuplicateTracker}. */
  double keyRetainedUntil;

  /** Kept by {@link DuplicateTracker}. */
  boolean keyRetained;

  /** The attempt that took over, where this one ended without execution. */
  TrackedRequest successor;

  /** The attempt whose result it waits for; null where that is unknown here. */
  TrackedRequest attachedTo;

  /** Attached requests that wait for this one. */
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

  /** Returns whether it was dispatched and has not ended, on the cores or off them. */
  boolean isStarted() {
    return state == State.EXECUTING || state == State.BLOCKED || state == State.CALLING;
  }

  boolean isIdempotent() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENT;
  }

  boolean hasIdempotencyKey() {
    return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY;
  }

  /** Returns whether its dependency call may be skipped for a part of its weight. */
  boolean maySkipCall() {
    return requestClass.weightWithoutCall() > 0;
  }

  /** Returns whether an answer after the latency objective has any weight. */
  boolean hasWeightAfterObjective() {
    return requestClass.weightAfterObjective() > 0;
  }

  /** Returns the seconds since its dispatch that it spent off the cores. */
  double offCoresSeconds(double now) {
    return offCoresSeconds + (state == State.EXECUTING ? 0 : now - blockedSince);
  }
}
