package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.IdempotencyTable;

/**
 * One request in flight, and the steps that its own thread has yet to carry out. All but the final
 * fields is guarded by the coordinator's lock.
 */
final class InFlightRequest implements Acceptance.InFlight {

  /** What a step does. */
  enum StepKind {
    WRITE_INTENT,
    DISPATCH,
    DELIVER_RESPONSE,
    SKIP_CALL,
    SUSPEND,
    CALL_DEPENDENCY,
    CANCEL_CALL,
    REPLAY_RESULT,
    ANSWER
  }

  /**
   * One thing to carry out without the lock.
   *
   * @param response to deliver; null but for DELIVER_RESPONSE
   * @param callBySeconds the call may not last longer; CALL_DEPENDENCY only
   * @param announcementNumber announced the call to skip; SKIP_CALL only
   * @param answer null but for ANSWER
   */
  record Step(
      StepKind kind, byte[] response, double callBySeconds, long announcementNumber, Answer answer) {

    static final Step WRITE_INTENT = plain(StepKind.WRITE_INTENT);
    static final Step DISPATCH = plain(StepKind.DISPATCH);
    static final Step SUSPEND = plain(StepKind.SUSPEND);
    static final Step CANCEL_CALL = plain(StepKind.CANCEL_CALL);
    static final Step REPLAY_RESULT = plain(StepKind.REPLAY_RESULT);

    private static Step plain(StepKind kind) {
      return new Step(kind, null, 0, 0, null);
    }

    static Step deliverResponse(byte[] response) {
      return new Step(StepKind.DELIVER_RESPONSE, response, 0, 0, null);
    }

    static Step callDependency(double callBySeconds) {
      return new Step(StepKind.CALL_DEPENDENCY, null, callBySeconds, 0, null);
    }

    static Step skipCall(long announcementNumber) {
      return new Step(StepKind.SKIP_CALL, null, 0, announcementNumber, null);
    }

    static Step answer(Answer answer) {
      return new Step(StepKind.ANSWER, null, 0, 0, answer);
    }
  }

  final long id;
  final IncomingRequest incoming;

  /** Null without one; with its class and tenant, so that no other's result is ever theirs. */
  final String key;

  final AnswerListener listener;
  final Condition changed;
  final ArrayDeque<Step> steps = new ArrayDeque<>();

  /** When its answer, and once answered its completion, is forced. */
  double backstopSeconds;

  /** Its answer is fixed, or its caller is gone. */
  boolean isAnswered;

  /** The admission module, or a check before it, has decided on it. */
  boolean hasArrived;

  boolean isDispatched;
  boolean isCompleted;

  /** Its execution was decided and then rejected: the worker pool never hears of it. */
  boolean isNeverSent;

  /** Waits for the execution of another request with its key. */
  boolean isAttached;

  /** Start of its execution or attachment. */
  double startedAtSeconds;

  /** The worker pool's number of the notice of the call that it is blocked on. */
  long callAnnouncement;

  byte[] callBody;
  DependencyCall call;

  /** Counts calls and their ends, so that a late end of an earlier call is known as such. */
  int callNumber;

  double callStartedAtSeconds;

  /** Its last call failed otherwise than by time. */
  boolean hasFailedCall;

  KeyEntry<InFlightRequest> entry;

  /** The process that owns all keys lets this one decide on its key. */
  boolean isKeyGranted;

  /** On its way to the disk; null for none. */
  PendingIntent pendingIntent;

  /** Its execution is not begun where its intent is not on disk by then. */
  double intentBySeconds;

  /** Memory is reserved to know its key to the end. */
  boolean hasReservation;

  InFlightRequest(long id, IncomingRequest incoming, AnswerListener listener, Condition changed) {
    this.id = id;
    this.incoming = incoming;
    this.key =
        incoming.idempotencyKey() == null
            ? null
            : incoming.classIndex()
                + "/"
                + incoming.tenantIndex()
                + "/"
                + incoming.idempotencyKey();
    this.listener = listener;
    this.changed = changed;
  }

  /** The index of a key's class, which leads its text. */
  static int classIndexOf(String key) {
    return Integer.parseInt(key.substring(0, key.indexOf('/')));
  }

  boolean hasSameKey(InFlightRequest that) {
    return key.equals(that.key);
  }

  boolean isExecuting() {
    return isDispatched && !isCompleted;
  }

  /** Nothing of it is left but the steps that are queued. */
  boolean isFinished() {
    return isAnswered && !isExecuting();
  }

  /** True where it is the one whose execution its key knows. */
  boolean holdsKey() {
    return entry != null && entry.attempt() == this;
  }

  void enqueue(Step step) {
    steps.add(step);
    changed.signal();
  }
}
