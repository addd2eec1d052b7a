package wharftrestle.admission;

import java.util.List;
import java.util.Random;
import wharftrestle.admission.Admission.Outcome;

/**
 * Decides for executions that are blocked on a dependency call whether and when the call is made,
 * repeated or skipped.
 */
final class DependencyCalls {
  /** Fraction of the latency objective before the first repeat of a call; doubles each time. */
  private static final double BACKOFF_OF_OBJECTIVE = 0.025;

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

  /** An execution blocks on a call. */
  void blocked(double now, TrackedRequest request) {
    requests.block(now, request);
    request.nextCallAt = now;
    request.failedCalls = 0;
  }

  /** Makes the calls that are due and permitted, in the order in which requests blocked. */
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
      actions.callDependency(request.id(), timeLimit.giveUpAt(now, request));
    }
  }

  /** A call in flight has ended. */
  void completed(double now, TrackedRequest request, Outcome outcome, double elapsedSeconds) {
    // One that broke is over at the dependency: only what was given up still occupies it.
    budget.endCall(now, outcome == Outcome.TIMED_OUT);
    budget.learn(outcome, elapsedSeconds);
    if (outcome == Outcome.SUCCESS) {
      requests.resume(now, request);
    } else {
      failed(now, request, outcome);
    }
  }

  /** Gives up the call of a request that ends, if one is in flight. */
  void requestEnded(double now, TrackedRequest request) {
    if (request.state == TrackedRequest.State.CALLING) {
      budget.endCall(now, true);
    }
  }

  /** Returns when blocked requests are looked at next; infinity where there are none. */
  double nextLookAt(double now) {
    return requests.blocked().isEmpty()
        ? Double.POSITIVE_INFINITY
        : now
            + BACKOFF_OF_OBJECTIVE
                * requests.blocked().peek().requestClass.latencyObjectiveSeconds();
  }

  private void failed(double now, TrackedRequest request, Outcome outcome) {
    request.failedCalls++;
    requests.blockAgain(request);
    request.nextCallAt = now + backoffSeconds(request);
    if (skipIfDue(now, request.nextCallAt, request)) {
      return;
    }
    // A call with effects may have been carried out: it is repeated only when it provably was not.
    boolean mayRepeat = request.isIdempotent() || outcome.neverExecuted();
    if (!request.answered && (!mayRepeat || request.nextCallAt > request.objectiveAt)) {
      answers.fail(request);
    }
  }

  private double backoffSeconds(TrackedRequest request) {
    double backoff =
        BACKOFF_OF_OBJECTIVE
            * request.requestClass.latencyObjectiveSeconds()
            * (1 << Math.min(request.failedCalls, MAX_BACKOFF_DOUBLINGS));
    return backoff * (0.5 + random.nextDouble());
  }

  /**
   * Resumes without the call where that keeps a part of the weight and waiting would lose all.
   *
   * @param callAt when the call could be made at the earliest
   */
  private boolean skipIfDue(double now, double callAt, TrackedRequest request) {
    if (request.answered
        || !request.maySkipCall()
        || (callAt < timeLimit.skipFrom(request) && !congestion.affects(request))
        || now > request.objectiveAt) {
      return false;
    }
    requests.resume(now, request);
    actions.skipCall(request.id());
    return true;
  }
}
