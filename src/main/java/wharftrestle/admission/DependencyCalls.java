package wharftrestle.admission;

import java.util.List;
import java.util.Random;
import wharftrestle.admission.Admission.Outcome;

/**
 * Decides whether and when the dependency calls that executions are blocked on are made, retried or
 * skipped.
 */
final class DependencyCalls {
  /**
   * Base of the backoff between attempts of a call, as a fraction of the latency objective; doubled
   * after each failed attempt.
   */
  private static final double BACKOFF_OBJECTIVE_FRACTION = 0.025;

  private static final int MAX_BACKOFF_DOUBLINGS = 6;

  private final Admission.Actions actions;
  private final Random random;
  private final RequestTable requests;
  private final DependencyCallBudget budget;
  private final CallTimeLimit timeLimit;
  private final CallCongestion congestion;
  private final FinalAnswers answers;

  DependencyCalls(
      Admission.Actions actions,
      Random random,
      RequestTable requests,
      DependencyCallBudget budget,
      CallTimeLimit timeLimit,
      CallCongestion congestion,
      FinalAnswers answers) {
    this.actions = actions;
    this.random = random;
    this.requests = requests;
    this.budget = budget;
    this.timeLimit = timeLimit;
    this.congestion = congestion;
    this.answers = answers;
  }

  /** Records that an execution is blocked on a dependency call. */
  void blocked(double now, TrackedRequest request) {
    requests.block(now, request);
    request.nextCallAt = now;
    request.failedCalls = 0;
  }

  /** Makes the calls that are due and permitted by the budget, in the order of blocking. */
  void makeCalls(double now) {
    if (requests.blocked().isEmpty()) {
      return;
    }
    budget.accrue(now);
    for (TrackedRequest request : List.copyOf(requests.blocked())) {
      if (request.answered || skipIfDue(now, now, request) || now < request.nextCallAt) {
        continue;
      }
      if (!budget.permitsCall()) {
        return;
      }
      requests.beginCall(request);
      budget.beginCall();
      actions.callDependency(request.id(), timeLimit.timeoutAt(now, request));
    }
  }

  /** Handles the end of a call in flight. */
  void completed(double now, TrackedRequest request, Outcome outcome, double elapsedSeconds) {
    // Only a timed-out call still occupies the dependency; one whose connection broke does not.
    budget.endCall(now, outcome == Outcome.TIMED_OUT);
    budget.recordDuration(outcome, elapsedSeconds);
    if (outcome == Outcome.SUCCESS) {
      requests.resume(now, request);
    } else {
      failed(now, request, outcome);
    }
  }

  /** Abandons the call of a request that ends, if one is in flight. */
  void requestCompleted(double now, TrackedRequest request) {
    if (request.state == TrackedRequest.State.CALLING) {
      budget.endCall(now, true);
    }
  }

  /** Returns when blocked requests must be checked next; infinity if there are none. */
  double nextCheckAt(double now) {
    return requests.blocked().isEmpty()
        ? Double.POSITIVE_INFINITY
        : now
            + BACKOFF_OBJECTIVE_FRACTION
                * requests.blocked().peek().requestClass.latencyObjectiveSeconds();
  }

  private void failed(double now, TrackedRequest request, Outcome outcome) {
    request.failedCalls++;
    requests.reblock(request);
    request.nextCallAt = now + backoffSeconds(request);
    if (skipIfDue(now, request.nextCallAt, request)) {
      return;
    }
    // A call of a request that is not idempotent is retried only if it provably was not executed.
    boolean mayRetry = request.isIdempotent() || outcome.neverExecuted();
    if (!request.answered && (!mayRetry || request.nextCallAt > request.objectiveAt)) {
      answers.fail(request);
    }
  }

  private double backoffSeconds(TrackedRequest request) {
    double backoff =
        BACKOFF_OBJECTIVE_FRACTION
            * request.requestClass.latencyObjectiveSeconds()
            * (1 << Math.min(request.failedCalls, MAX_BACKOFF_DOUBLINGS));
    return backoff * (0.5 + random.nextDouble());
  }

  /**
   * Resumes an execution without its call if the answer then has a part of its weight and would
   * lose all weight by waiting for the call.
   *
   * @param callAt earliest time at which the call could be made
   * @return whether the call was skipped
   */
  private boolean skipIfDue(double now, double callAt, TrackedRequest request) {
    if (request.answered
        || !request.maySkipCall()
        || (callAt < timeLimit.skipFrom(request) && !congestion.isCongestedFor(request))
        || now > request.objectiveAt) {
      return false;
    }
    requests.resume(now, request);
    actions.skipCall(request.id());
    return true;
  }
}
