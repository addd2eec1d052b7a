package wharftrestle.request;

import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Result;

/**
 * Fixes the one answer of each request, counts it once, and has the request's own thread notify its
 * caller. Guarded by the coordinator's lock.
 */
final class CallerNotifier {

  /** Seconds an execution may outlast its answer before its thread stops waiting for its end. */
  private static final double ORPHAN_SECONDS = 60;

  private final AdmissionSettings settings;
  private final Counters counters;
  private final EventClock clock;

  CallerNotifier(AdmissionSettings settings, Counters counters, EventClock clock) {
    this.settings = settings;
    this.counters = counters;
    this.clock = clock;
  }

  /** Does nothing where the request has its answer or its caller is gone. */
  void answer(InFlightRequest request, Answer answer) {
    if (request.isAnswered) {
      return;
    }
    count(request.incoming, answer.kind());
    markAnswered(request);
    request.enqueue(new InFlightRequest.SendAnswer(answer));
  }

  /** The caller does not wait any more; false where the request was answered before. */
  boolean callerDisconnected(InFlightRequest request) {
    if (request.isAnswered) {
      return false;
    }
    counters.callerDisconnected();
    markAnswered(request);
    return true;
  }

  /**
   * Counts a failure of a request that a fault has ended; true where its listener has yet to be
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

  // Here and nowhere else, so that each answer counts once whatever it is caused by.
  private void count(IncomingRequest incoming, Answer.Kind kind) {
    counters.answered(
        incoming.classIndex(),
        switch (kind) {
          case SERVED -> Result.SERVED;
          case REJECTED -> Result.REJECTED;
          case FAILED, DEADLINE_EXCEEDED, CONFLICT -> Result.FAILED;
        });
    Admission.RequestClass type = settings.classes().get(incoming.classIndex());
    double objective =
        type.latencyObjectiveSeconds()
            + type.latencyObjectiveStretch() * incoming.expectedWorkSeconds();
    if (kind == Answer.Kind.SERVED && incoming.queueingDelaySeconds() > objective) {
      counters.servedAfterObjective(incoming.classIndex());
    }
  }

  private void markAnswered(InFlightRequest request) {
    request.isAnswered = true;
    request.backstopSeconds = clock.now() + ORPHAN_SECONDS;
    request.changed.signal();
  }
}
