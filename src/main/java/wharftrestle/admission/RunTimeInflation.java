package wharftrestle.admission;

/**
 * Run-time inflation: the run time of executions as a multiple of the minimum of their class.
 * Written by {@link RunTimeEstimator}; read by {@link ConcurrencyLimit}, {@link OutlierDetector}
 * and {@link RetryAdvice}.
 */
final class RunTimeInflation {
  /** Maximum inflation that a single execution counts for. */
  private static final double MAX_SINGLE_INFLATION = 4;

  private double classInflation = 1;
  private double executionInflation = 1;
  private double contention = 1;

  /**
   * Records one successful execution.
   *
   * @param classMean mean run time of the class, over its minimum
   * @param execution run time of this execution, over the same minimum
   * @param concurrencyPerCore executions per core at its end
   */
  void record(double classMean, double execution, double concurrencyPerCore) {
    classInflation += Smoothing.SLOW_WEIGHT * (classMean - classInflation);
    executionInflation +=
        Smoothing.FAST_WEIGHT * (Math.min(MAX_SINGLE_INFLATION, execution) - executionInflation);
    contention += Smoothing.FAST_WEIGHT * (Math.max(1, concurrencyPerCore) - contention);
  }

  /** Returns the inflation of the class means; steady, used by the concurrency limit. */
  double classInflation() {
    return classInflation;
  }

  /** Returns the inflation of single executions; fast and noisy, used to detect degradation. */
  double executionInflation() {
    return executionInflation;
  }

  /**
   * Returns the mean executions per core, at least 1. Inflation caused by contention alone is not
   * degradation.
   */
  double contention() {
    return contention;
  }
}
