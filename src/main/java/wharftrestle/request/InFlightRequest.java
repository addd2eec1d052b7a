package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import wharftrestle.idempotency.IdempotencyTable;

/**
 * One request in hand, and the steps that its own thread has yet to carry out. All but the final
 * fields is guarded by the core's lock.
 */
final class InFlightRequest implements Acceptance.InFlight {

  /** What a step does. */
  enum Kind {
    INTEND,
    SPAWN,
    SUPPLY,
    PASS,
    SUSPEND,
    CALL,
    ABANDON,
    REPLAY,
    ANSWER
  }

  /** One thing to carry out; {@code until} is a time or a notice's number. */
  record Step(Kind kind, byte[] bytes, double until, Answer answer) {
    static Step of(Kind kind) {
      return new Step(kind, null, 0, null);
    }
  }

  final long id;
  final IncomingRequest arrival;
  final String key; // of this class and tenant only: another's result is never theirs
  final AnswerListener caller;
  final Condition signal;
  final ArrayDeque<Step> steps = new ArrayDeque<>();
  double backstop;
  boolean answered; // or its caller is gone: the one state change
  boolean spawned; // a run was asked for
  boolean runOver; // and is known to be over
  boolean attached;
  double since; // start or attachment
  long notice; // of the call it stands at
  byte[] callBody;
  DependencyCall call;
  boolean callFailed; // not by time: what the module then fails did not lapse
  int callNumber;
  double callSince;
  IdempotencyTable.Entry<InFlightRequest> entry;
  boolean arrived; // at the module, or before it
  boolean granted; // its key, by the process that owns all keys
  PendingIntent intent; // on its way to the disk
  double recordBy; // or its run is not begun
  boolean promised; // room to know its key to the end
  boolean unsent; // a run was decided and turned away: the worker pool never hears of it

  InFlightRequest(long id, IncomingRequest arrival, AnswerListener caller, Condition signal) {
    this.id = id;
    this.arrival = arrival;
    this.key =
        arrival.idempotencyKey() == null
            ? null
            : arrival.classIndex() + "/" + arrival.tenantIndex() + "/" + arrival.idempotencyKey();
    this.caller = caller;
    this.signal = signal;
  }

  /** The place of a key's class, which leads its text. */
  static int classOf(String key) {
    return Integer.parseInt(key.substring(0, key.indexOf('/')));
  }

  boolean sameKey(InFlightRequest that) {
    return key.equals(that.key);
  }

  boolean over() {
    return answered && (!spawned || runOver);
  }

  void step(Step step) {
    steps.add(step);
    signal.signal();
  }
}
