package wharftrestle.request;

import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Result;

/**
 * Sets the one answer of each request, counts it once, and queues the step by which the request's
 * thread notifies the caller. Guarded by the coordinator's lock.
 */
final class CallerNotifier {

  /** How long after the answer the request's thread still waits for the execution to end. */
  private static final double ORPHANED_EXECUTION_SECONDS = 60;

  private final RequestDeadlines deadlines;
  private final Counters counters;
  private final EventClock clock;

  CallerNotifier(RequestDeadlines deadlines, Counters counters, EventClock clock) {
    this.deadlines = deadlines;
    this.counters = counters;
    this.clock = clock;
  }

  /** Answers a request; no effect if it was answered before or its caller disconnected. */
  void answer(InFlightRequest request, Answer answer) {
    if (request.isAnswered) {
      return;
    }
    count(request.incoming, answer.kind());
    markAnswered(request);
    request.enqueue(new InFlightRequest.SendAnswer(answer));
  }

  /** Records that the caller disconnected; false if the request was answered before. */
  boolean callerDisconnected(InFlightRequest request) {
    if (request.isAnswered) {
      return false;
    }
    counters.callerDisconnected();
    markAnswered(request);
    return true;
  }

  /**
   * Counts a request whose thread threw an exception as failed; true if its listener has yet to be
   * notified.
   */
  boolean abort(InFlightRequest request) {
    boolean wasAnswered = request.isAnswered;
    if (!wasAnswered) {
      counters.answered(request.incoming.classIndex(), Result.FAILED);
    }
    request.isAnswered = true;
    return request.steps.removeIf(step -> step.kind() == InFlightRequest.StepKind.ANSWER)
        || !wasAnswered;
  }

  // The only place that counts answers, so that each counts once, whatever caused it.
  private void count(IncomingRequest incoming, Answer.Kind kind) {
    counters.answered(
        incoming.classIndex(),
        switch (kind) {
          case SERVED -> Result.SERVED;
          case REJECTED -> Result.REJECTED;
          case FAILED, DEADLINE_EXCEEDED, CONFLICT -> Result.FAILED;
        });
    if (kind == Answer.Kind.SERVED
        && incoming.queueingDelaySeconds() > deadlines.latencyObjectiveSeconds(incoming)) {
      counters.servedAfterObjective(incoming.classIndex());
    }
  }

  private void markAnswered(InFlightRequest request) {
    request.isAnswered = true;
    request.backstopAtSeconds = clock.now() + ORPHANED_EXECUTION_SECONDS;
    request.changed.signal();
  }
}
