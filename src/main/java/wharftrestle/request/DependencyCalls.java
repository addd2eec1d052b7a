package wharftrestle.request;

import java.util.concurrent.locks.ReentrantLock;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;

/**
 * Sends and cancels the dependency calls of executions on the threads of their requests, and
 * processes their responses on the threads of the client. Each method acquires the coordinator's
 * lock itself and releases it before it uses the client.
 */
final class DependencyCalls {
  private static final double MILLIS_PER_SECOND = 1000;

  private final ReentrantLock lock;
  private final Counters counters;
  private final EventClock clock;
  private final AdmissionDriver admission;
  private DependencyClient client;

  DependencyCalls(
      ReentrantLock lock, Counters counters, EventClock clock, AdmissionDriver admission) {
    this.lock = lock;
    this.counters = counters;
    this.clock = clock;
    this.admission = admission;
  }

  void start(DependencyClient dependencyClient) {
    client = dependencyClient;
  }

  /** Sends the call that the execution is blocked on, unless the execution has ended meanwhile. */
  void send(InFlightRequest request, double callDeadlineSeconds) {
    counters.add(Count.DEPENDENCY_CALLS);
    byte[] body;
    int number;
    long timeoutMillis;
    lock.lock();
    try {
      if (request.isCompleted) {
        return;
      }
      body = request.callBody;
      number = ++request.callNumber;
      timeoutMillis =
          Math.max(1, Math.round((callDeadlineSeconds - clock.now()) * MILLIS_PER_SECOND));
    } finally {
      lock.unlock();
    }
    DependencyCall call =
        client.call(
            request.incoming.reference(),
            body,
            timeoutMillis,
            (outcome, response) -> onCallCompleted(request, number, outcome, response));
    lock.lock();
    try {
      if (request.callNumber == number) {
        request.call = call;
      }
    } finally {
      lock.unlock();
    }
  }

  /** Cancels the call of an execution that has ended. */
  void cancel(InFlightRequest request) {
    DependencyCall call;
    lock.lock();
    try {
      call = request.call;
      request.call = null;
    } finally {
      lock.unlock();
    }
    if (call != null) {
      call.cancel();
    }
  }

  private void onCallCompleted(
      InFlightRequest request, int number, Outcome outcome, byte[] response) {
    counters.add(
        outcome == Outcome.SUCCESS
            ? Count.DEPENDENCY_CALLS_SUCCEEDED
            : Count.DEPENDENCY_CALLS_UNSUCCESSFUL);
    lock.lock();
    try {
      if (request.callNumber != number) {
        return;
      }
      request.callNumber++;
      request.call = null;
      request.hasFailedCall = outcome != Outcome.SUCCESS && outcome != Outcome.TIMED_OUT;
      double now = clock.now();
      if (outcome == Outcome.SUCCESS) {
        request.enqueue(new InFlightRequest.DeliverResponse(response));
      }
      admission
          .events()
          .callCompleted(now, request.id, outcome, now - request.callStartedAtSeconds);
      admission.completeBatchSoon(now);
    } finally {
      lock.unlock();
    }
  }
}
