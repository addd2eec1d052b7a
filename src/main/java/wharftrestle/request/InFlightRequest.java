package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import wharftrestle.idempotency.KeyEntry;

/**
 * One request in flight, and the steps that its thread has yet to carry out. All fields that are
 * not final are guarded by the coordinator's lock.
 */
final class InFlightRequest implements Acceptance.InFlight {

  /** The kinds of step. */
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

  /** An action that the request's thread carries out without the lock. */
  sealed interface Step {
    Step WRITE_INTENT = new PlainStep(StepKind.WRITE_INTENT);
    Step DISPATCH = new PlainStep(StepKind.DISPATCH);
    Step SUSPEND = new PlainStep(StepKind.SUSPEND);
    Step CANCEL_CALL = new PlainStep(StepKind.CANCEL_CALL);
    Step REPLAY_RESULT = new PlainStep(StepKind.REPLAY_RESULT);

    StepKind kind();
  }

  /** A step without parameters. */
  private record PlainStep(StepKind kind) implements Step {}

  /** Sends the response of a dependency call to the execution. */
  record DeliverResponse(byte[] response) implements Step {
    @Override
    public StepKind kind() {
      return StepKind.DELIVER_RESPONSE;
    }
  }

  /**
   * Sends the dependency call on which the execution is blocked.
   *
   * @param callDeadlineSeconds when the call times out, on the coordinator's clock
   */
  record CallDependency(double callDeadlineSeconds) implements Step {
    @Override
    public StepKind kind() {
      return StepKind.CALL_DEPENDENCY;
    }
  }

  /**
   * Continues the execution without its dependency call.
   *
   * @param announcementNumber number of the worker pool's message that announced the call
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

  /** Class, tenant and idempotency key, so that tenants never share a result; null for no key. */
  final String key;

  final AnswerListener listener;
  final ConnectionUsage connection;
  final Condition changed;
  final ArrayDeque<Step> steps = new ArrayDeque<>();

  /**
   * When an unanswered request is answered as past its deadline without the admission module. Once
   * it is answered: when an execution that has not ended is completed as broken.
   */
  double backstopAtSeconds;

  /** The answer is set, or the caller has disconnected. */
  boolean isAnswered;

  /** The checks before the admission module have run: they answered the request or submitted it. */
  boolean isArrivalProcessed;

  boolean isDispatched;
  boolean isCompleted;

  /** The execution was decided on and then rejected, and is never sent to the worker pool. */
  boolean isRejectedBeforeSend;

  /** The request waits for the execution of another request with the same key. */
  boolean isAttached;

  /** When the execution or the attachment began. */
  double startedAtSeconds;

  /** Number of the worker pool's message that announced the dependency call. */
  long callAnnouncementNumber;

  byte[] callBody;
  DependencyCall call;

  /**
   * Incremented as a call starts or ends, so that a late response to an earlier call is ignored.
   */
  int callNumber;

  double callStartedAtSeconds;

  /**
   * When the execution counts as not having read the response to its dependency call; infinity
   * unless that is uncertain.
   */
  double responseConfirmationDueAtSeconds = Double.POSITIVE_INFINITY;

  /** The last dependency call failed for a reason other than a timeout. */
  boolean hasFailedCall;

  KeyEntry<InFlightRequest> entry;

  /** The peer process, which owns all keys, has granted this key to this process. */
  boolean isKeyGranted;

  /** The intent record that is being written to disk; null for none. */
  PendingIntent pendingIntent;

  /** If the intent is not on disk by then, the execution is rejected. */
  double intentDeadlineSeconds;

  /** Memory is reserved for the key until it expires. */
  boolean hasReservation;

  InFlightRequest(
      long id,
      IncomingRequest incoming,
      AnswerListener listener,
      ConnectionUsage connection,
      Condition changed) {
    this.id = id;
    this.connection = connection;
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

  /** Parses the class index, with which the text of a key begins. */
  static int classIndexOf(String key) {
    return Integer.parseInt(key.substring(0, key.indexOf('/')));
  }

  boolean hasSameKey(InFlightRequest that) {
    return key.equals(that.key);
  }

  boolean isExecuting() {
    return isDispatched && !isCompleted;
  }

  /** True once the request is answered and not executing, so that only queued steps remain. */
  boolean isFinished() {
    return isAnswered && !isExecuting();
  }

  /** True if this request is the current attempt of its key's entry. */
  boolean isCurrentAttempt() {
    return entry != null && entry.attempt() == this;
  }

  void enqueue(Step step) {
    steps.add(step);
    changed.signal();
  }
}
