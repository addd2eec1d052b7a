package wharftrestle.admission;

/** Moving averages over the arrivals of this host: retries, rejections and accept lag. */
final class ArrivalStatistics {
  private double retryFraction;
  private double rejectedFraction;
  private double acceptLagSeconds;

  void recordArrival(Admission.Request request) {
    retryFraction += Smoothing.SLOW_WEIGHT * ((request.retry() ? 1 : 0) - retryFraction);
    rejectedFraction -= Smoothing.SLOW_WEIGHT * rejectedFraction;
    acceptLagSeconds += Smoothing.FAST_WEIGHT * (request.queueingDelaySeconds() - acceptLagSeconds);
  }

  /** Records that a request which had not been started is rejected. */
  void recordRejection() {
    rejectedFraction += Smoothing.SLOW_WEIGHT;
  }

  /** Returns the fraction of arrivals that are marked as retries. */
  double retryFraction() {
    return retryFraction;
  }

  /** Returns the fraction of arrivals that are rejected. */
  double rejectedFraction() {
    return rejectedFraction;
  }

  /** Returns the mean queueing delay before read, in seconds. */
  double acceptLagSeconds() {
    return acceptLagSeconds;
  }
}
