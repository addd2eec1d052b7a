package wharftrestle.admission;

/**
 * Estimates how long the client of a retry has already waited, so that the latency objective counts
 * from the first attempt. The estimate compares the wait of the retry (its remaining deadline plus
 * its queueing delay before read) with the waits of first attempts of its class. A longer wait
 * marks the client's last attempt, for which it waits until the deadline of the class. A shorter
 * wait marks a forwarded or hedged request, which has used up the difference. If first attempts of
 * a class differ, their longest and shortest waits are compared.
 */
final class AttemptAge {
  private final boolean marksRetries;
  private final double marginSeconds;
  private final double[] longestWaits;
  private final double[] shortestWaits;

  /**
   * Creates an estimator without observations.
   *
   * @param marginSeconds minimum by which a wait must exceed the longest wait to count as longer
   */
  AttemptAge(AdmissionSettings settings, double marginSeconds) {
    marksRetries = settings.retries().marked();
    this.marginSeconds = marginSeconds;
    longestWaits = new double[settings.classes().size()];
    shortestWaits = new double[longestWaits.length];
  }

  /** Returns the seconds that the client waited before this attempt; 0 if unknown. */
  double seconds(TrackedRequest arrived) {
    Admission.Request request = arrived.request;
    if (!marksRetries || request.remainingDeadlineSeconds() <= 0) {
      return 0;
    }
    double wait = request.remainingDeadlineSeconds() + request.queueingDelaySeconds();
    int index = request.classIndex();
    if (!request.retry()) {
      recordFirstAttempt(index, wait);
      return 0;
    }
    boolean last = longestWaits[index] > 0 && wait > longestWaits[index] + marginSeconds;
    double totalWait = last ? arrived.requestClass.deadlineSeconds() : shortestWaits[index];
    return Math.max(0, totalWait - wait);
  }

  private void recordFirstAttempt(int index, double wait) {
    double longest = longestWaits[index];
    longestWaits[index] = Math.max(wait, longest + Smoothing.MINIMUM_AGING * (wait - longest));
    double shortest = shortestWaits[index];
    double aged = shortest + Smoothing.MINIMUM_AGING * (wait - shortest);
    shortestWaits[index] = shortest == 0 ? wait : Math.min(wait, aged);
  }
}
