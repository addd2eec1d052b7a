package wharftrestle.admission;

import java.util.List;

/**
 * Answers each request at its deadline, even if its execution or dependency call hangs, and
 * preempts executions whose results are no longer needed.
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

  /** Answers requests whose deadline has come and preempts executions that are not needed. */
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
        preemptIfNotNeeded(now, request);
      }
    }
  }

  /** Returns when this request must be answered or preempted next; infinity if never. */
  double nextDueAt(TrackedRequest request) {
    if (request.answered) {
      return mayPreempt && isPreemptible(request) ? neededUntil(request) : Double.POSITIVE_INFINITY;
    }
    return mayPreempt && request.isStarted() && hasNoWeightAfterObjective(request)
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

  private void preemptIfNotNeeded(double now, TrackedRequest request) {
    if (!request.answered && now >= request.objectiveAt && hasNoWeightAfterObjective(request)) {
      answers.answerLate(now, request);
    }
    if (request.answered && isPreemptible(request) && now >= neededUntil(request)) {
      request.preempting = true;
      actions.preempt(request.id());
    }
  }

  private static boolean isPreemptible(TrackedRequest request) {
    return request.state == TrackedRequest.State.EXECUTING && !request.preempting;
  }

  private static boolean hasNoWeightAfterObjective(TrackedRequest request) {
    return request.requestClass.weightAfterObjective() == 0;
  }

  /**
   * Returns until when the result of an answered execution may still be needed. A retry with the
   * same idempotency key may not be executed again, but can be answered with this result if the
   * caller's timeout was shorter than the execution. The drawback: a core may keep working for a
   * caller that has disconnected.
   */
  private static double neededUntil(TrackedRequest request) {
    if (!request.hasIdempotencyKey()) {
      return Double.NEGATIVE_INFINITY;
    }
    return request.reachedHostAt
        + (request.hasWeightAfterObjective()
            ? request.requestClass.deadlineSeconds()
            : request.requestClass.latencyObjectiveSeconds());
  }
}
