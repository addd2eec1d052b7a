package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import wharftrestle.idempotency.KeyEntry;

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

  /** One thing to carry out without the lock; its kind says which record it is. */
  sealed interface Step {
    Step WRITE_INTENT = new PlainStep(StepKind.WRITE_INTENT);
    Step DISPATCH = new PlainStep(StepKind.DISPATCH);
    Step SUSPEND = new PlainStep(StepKind.SUSPEND);
    Step CANCEL_CALL = new PlainStep(StepKind.CANCEL_CALL);
    Step REPLAY_RESULT = new PlainStep(StepKind.REPLAY_RESULT);

    StepKind kind();
  }

  /** A step that its kind says all of. */
  private record PlainStep(StepKind kind) implements Step {}

  /** Hands the response of a dependency call to the execution. */
  record DeliverResponse(byte[] response) implements Step {
    @Override
    public StepKind kind() {
      return StepKind.DELIVER_RESPONSE;
    }
  }

  /**
   * Makes the call at which the execution is blocked.
   *
   * @param callBySeconds the call may not last longer
   */
  record CallDependency(double callBySeconds) implements Step {
    @Override
    public StepKind kind() {
      return StepKind.CALL_DEPENDENCY;
    }
  }

  /**
   * Lets the execution go on without its call.
   *
   * @param announcementNumber of the notice that announced the call
   */
  record SkipCall(long announcementNumber) implements Step {
    @Override
    public StepKind kind() {
      return StepKind.SKIP_CALL;
    }
  }

  /** Notifies the caller. */
  record SendAnswer(Answer answer) implements Step {
    @Override
    public StepKind kind() {
      return StepKind.ANSWER;
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
