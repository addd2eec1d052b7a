package wharftrestle.admission;

import java.util.List;

/**
 * Rejects queued requests that cannot be served in time: it walks the queue in the order of
 * dispatch, and while one request would end late, the one of least value up to it is rejected.
 */
final class LoadShedder {
  /**
   * Fraction of the estimate that must fit before the deadline where a core is idle: the mean it is
   * scaled by stems from busier times.
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
   * Rejects what would end late.
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
        rejectLeastValue(now, order, index, callWait > coreWait);
      } else {
        workAhead.add(request);
        index++;
      }
    }
  }

  /**
   * Run time that must fit before the answer loses its weight. On an idle core a hinted request may
   * try with less. Without a hint the mean is all there is: a slow host would try in vain.
   */
  private double neededSeconds(TrackedRequest request, int index) {
    boolean idleCore =
        requests.hasIdleCoreBeyond(index) && request.request.costHintSeconds() > 0;
    return estimator.runSeconds(request) * (idleCore ? IDLE_CORE_FRACTION : 1);
  }

  /** Rejects the request of least value up to and including the one at the index. */
  private void rejectLeastValue(
      double now, List<TrackedRequest> order, int index, boolean callsAreScarce) {
    TrackedRequest late = order.get(index);
    int least = index;
    for (int i = 0; i < index; i++) {
      // Where calls are scarce, rejecting what makes none would free nothing.
      if ((!callsAreScarce || order.get(i).estimate.calls > 0)
          && value.of(now, order.get(i), callsAreScarce)
              < value.of(now, order.get(least), callsAreScarce)) {
        least = i;
      }
    }
    TrackedRequest victim = order.remove(least);
    if (least < index) {
      workAhead.replace(victim, late);
    }
    answers.rejectAndEnd(now, victim);
  }
}
