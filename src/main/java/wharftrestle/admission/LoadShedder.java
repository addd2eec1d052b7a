package wharftrestle.admission;

import java.util.List;

/**
 * Sheds load: rejects queued requests so that the remaining ones are expected to complete in time.
 * It iterates over the queue in the order of dispatch; while a request is expected to complete
 * late, the request of lowest value up to and including it is rejected.
 */
final class LoadShedder {
  /**
   * Fraction of the estimated run time that must fit before the deadline if a core is idle: the
   * mean that the estimate is scaled by was measured under more contention.
   */
  private static final double IDLE_CORE_FRACTION = 0.75;

  private final RequestTable requests;
  private final RunTimeEstimator estimator;
  private final RequestValue value;
  private final WorkAhead workAhead;
  private final OutlierDetector outliers;
  private final RetryAdvice advice;
  private final FinalAnswers answers;

  LoadShedder(
      RequestTable requests,
      RunTimeEstimator estimator,
      RequestValue value,
      WorkAhead workAhead,
      OutlierDetector outliers,
      RetryAdvice advice,
      FinalAnswers answers) {
    this.requests = requests;
    this.estimator = estimator;
    this.value = value;
    this.workAhead = workAhead;
    this.outliers = outliers;
    this.advice = advice;
    this.answers = answers;
  }

  /**
   * Rejects queued requests until none is expected to complete late.
   *
   * @param order the queue in the order of dispatch; rejected requests are removed from it
   */
  void shed(double now, List<TrackedRequest> order) {
    workAhead.begin(now);
    advice.setBacklogSeconds(workAhead.backlogSeconds(order));
    int index = 0;
    while (index < order.size()) {
      TrackedRequest request = order.get(index);
      double coreWait = workAhead.coreWaitSeconds();
      double callWait = workAhead.callWaitSeconds(request);
      double needed = neededSeconds(request, index);
      double usefulUntil = value.usefulUntil(now, request);
      if (now + needed > usefulUntil || (outliers.isFailing() && requests.onCores() + index > 0)) {
        order.remove(index);
        answers.rejectAndEnd(now, request);
      } else if (now + Math.max(callWait, coreWait) + needed > usefulUntil) {
        rejectLowestValue(now, order, index, callWait > coreWait);
      } else {
        workAhead.add(request);
        index++;
      }
    }
  }

  /**
   * Returns the run time that must fit before the answer loses its weight. It is reduced for a
   * request with a cost hint that would be dispatched to an idle core. Without a hint the estimate
   * is only the class mean, and a slow host would start executions that complete late.
   */
  private double neededSeconds(TrackedRequest request, int index) {
    boolean idleCore = requests.hasIdleCoreBeyond(index) && request.request.costHintSeconds() > 0;
    return estimator.runSeconds(request) * (idleCore ? IDLE_CORE_FRACTION : 1);
  }

  /** Rejects the request of lowest value up to and including the one at the index. */
  private void rejectLowestValue(
      double now, List<TrackedRequest> order, int index, boolean callsAreScarce) {
    TrackedRequest overdue = order.get(index);
    int lowest = index;
    for (int i = 0; i < index; i++) {
      // If calls are scarce, rejecting a request that makes no calls would not help.
      if ((!callsAreScarce || order.get(i).estimate.calls > 0)
          && value.compute(now, order.get(i), callsAreScarce)
              < value.compute(now, order.get(lowest), callsAreScarce)) {
        lowest = i;
      }
    }
    TrackedRequest rejected = order.remove(lowest);
    if (lowest < index) {
      workAhead.replace(rejected, overdue);
    }
    answers.rejectAndEnd(now, rejected);
  }
}
