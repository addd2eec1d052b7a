package wharftrestle.admission;

/**
 * Estimates how long the client of a retry has waited already, so that its latency objective counts
 * from its first attempt. A retry whose client waits longer than clients of first attempts do is
 * the client's last one, waited for to the deadline. One whose client waits less was passed on or
 * is a hedged request, and has used up the difference. Where first attempts differ, the longest and
 * the shortest wait of the class count.
 */
final class AttemptAge {
  private final boolean marksRetries;
  private final double marginSeconds;
  private final double[] longestWaits;
  private final double[] shortestWaits;

  /**
   * Learns nothing yet.
   *
   * @param marginSeconds by which a wait must exceed the longest one to be told from it
   */
  AttemptAge(AdmissionSettings settings, double marginSeconds) {
    marksRetries = settings.retries().marked();
    this.marginSeconds = marginSeconds;
    longestWaits = new double[settings.classes().size()];
    shortestWaits = new double[longestWaits.length];
  }

  /** Returns the seconds that the client waited before this attempt; 0 where unknown. */
  double seconds(TrackedRequest arrived) {
    Admission.Request request = arrived.request;
    if (!marksRetries || request.remainingDeadlineSeconds() <= 0) {
      return 0;
    }
    double waits = request.remainingDeadlineSeconds() + request.queueingDelaySeconds();
    int index = request.classIndex();
    if (!request.retry()) {
      learnFirstAttempt(index, waits);
      return 0;
    }
    boolean last = longestWaits[index] > 0 && waits > longestWaits[index] + marginSeconds;
    double allWaits = last ? arrived.requestClass.deadlineSeconds() : shortestWaits[index];
    return Math.max(0, allWaits - waits);
  }

  private void learnFirstAttempt(int index, double waits) {
    double longest = longestWaits[index];
    longestWaits[index] = Math.max(waits, longest + Smoothing.MINIMUM_AGING * (waits - longest));
    double shortest = shortestWaits[index];
    double aged = shortest + Smoothing.MINIMUM_AGING * (waits - shortest);
    shortestWaits[index] = shortest == 0 ? waits : Math.min(waits, aged);
  }
}
