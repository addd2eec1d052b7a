package wharftrestle.admission;

/**
 * How much longer executions take than the least that was seen of their class. Written by {@link
 * RunTimeEstimator}; read by the concurrency limit, the health decision and the retry advice.
 */
final class RunTimeInflation {
  /** A single execution counts for at most this multiple of the least seen. */
  private static final double MAX_SINGLE = 4;

  private double classMeans = 1;
  private double executions = 1;
  private double contention = 1;

  /**
   * Records one successful execution.
   *
   * @param classMean the class's mean run time over its least seen
   * @param execution this execution's run time over the same
   * @param concurrencyPerCore executions per core at its end
   */
  void record(double classMean, double execution, double concurrencyPerCore) {
    classMeans += Smoothing.SLOW_WEIGHT * (classMean - classMeans);
    executions += Smoothing.FAST_WEIGHT * (Math.min(MAX_SINGLE, execution) - executions);
    contention += Smoothing.FAST_WEIGHT * (Math.max(1, concurrencyPerCore) - contention);
  }

  /** Inflation of the class means: steady, it leads the concurrency limit. */
  double ofClassMeans() {
    return classMeans;
  }

  /** Inflation of single executions: quick and noisy, it shows degradation. */
  double ofExecutions() {
    return executions;
  }

  /** Mean executions per core, at least 1: inflation by contention alone is no degradation. */
  double contention() {
    return contention;
  }
}
