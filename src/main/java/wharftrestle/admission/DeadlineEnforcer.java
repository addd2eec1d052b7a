package wharftrestle.admission;

import java.util.List;

/**
 * Answers each request when it is due, whatever hangs, and preempts executions whose answers nobody
 * waits for.
 */
final class DeadlineEnforcer {
  private final boolean mayPreempt;
  private final Admission.Actions actions;
  private final RequestTable requests;
  private final FinalAnswers answers;

  DeadlineEnforcer(
      AdmissionSettings settings,
      Admission.Actions actions,
      RequestTable requests,
      FinalAnswers answers) {
    mayPreempt = settings.capacity().preemption() != Admission.Preemption.NONE;
    this.actions = actions;
    this.requests = requests;
    this.answers = answers;
  }

  /** Answers what is due and preempts what has no purpose any more. */
  void enforce(double now) {
    for (TrackedRequest request : List.copyOf(requests.all())) {
      if (!request.answered && now >= request.answerDueAt) {
        if (!request.isStarted()) {
          endUnstarted(now, request);
          continue;
        }
        answers.fail(request);
      }
      if (request.isStarted() && mayPreempt) {
        preemptIfPointless(now, request);
      }
    }
  }

  /** Returns when something of this request is due next; infinity where nothing is. */
  double nextDueAt(TrackedRequest request) {
    if (request.answered) {
      return mayPreempt && isPreemptible(request)
          ? purposeUntil(request)
          : Double.POSITIVE_INFINITY;
    }
    return mayPreempt && request.isStarted() && losesAllAtObjective(request)
        ? request.objectiveAt
        : request.answerDueAt;
  }

  private void endUnstarted(double now, TrackedRequest request) {
    if (request.state == TrackedRequest.State.ATTACHED) {
      answers.failAndEnd(request);
    } else {
      answers.rejectAndEnd(now, request);
    }
  }

  private void preemptIfPointless(double now, TrackedRequest request) {
    if (!request.answered && now >= request.objectiveAt && losesAllAtObjective(request)) {
      answers.giveUp(now, request);
    }
    if (request.answered && isPreemptible(request) && now >= purposeUntil(request)) {
      request.preempting = true;
      actions.preempt(request.id());
    }
  }

  private static boolean isPreemptible(TrackedRequest request) {
    return request.state == TrackedRequest.State.EXECUTING && !request.preempting;
  }

  private static boolean losesAllAtObjective(TrackedRequest request) {
    return request.requestClass.weightAfterObjective() == 0;
  }

  /**
   * Until when an answered execution still serves someone. With an idempotency key, a retry of a
   * caller that waits briefly may not be executed here, but takes this execution's result; the
   * price is a core that may work for a caller that is gone.
   */
  private static double purposeUntil(TrackedRequest request) {
    if (!request.hasIdempotencyKey()) {
      return Double.NEGATIVE_INFINITY;
    }
    return request.reachedHostAt
        + (request.hasWeightAfterObjective()
            ? request.requestClass.deadlineSeconds()
            : request.requestClass.latencyObjectiveSeconds());
  }
}
