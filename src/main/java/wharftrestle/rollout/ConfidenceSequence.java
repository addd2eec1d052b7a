package wharftrestle.rollout;

/**
 * Estimates the mean of a sequence, with bounds that are valid at every moment at once, not only at
 * one chosen in advance: a confidence sequence for sums that behave like a random walk (Robbins'
 * normal mixture; Waudby-Smith et al., Time-uniform central limit theory and asymptotic confidence
 * sequences, 2021, theorem 2.2). The variance is estimated from the values and increased for the
 * lag-one autocorrelation, because the values of successive time windows are not independent.
 *
 * <p>O(1) in time and memory for each value. Not thread-safe.
 */
public final class ConfidenceSequence {
  /** Number of values below which there are no bounds: the variance estimate is too uncertain. */
  public static final int MIN_VALUES = 8;

  /** The number of values at which the bounds are tightest; see {@link #mixtureVariance}. */
  private static final double TIGHTEST_AT_VALUES = 40;

  /** Number of values at which the variance is doubled to correct for the small sample. */
  private static final double SMALL_SAMPLE_VALUES = 4;

  /** Upper bound on the estimated lag-one autocorrelation. */
  private static final double MAX_CORRELATION = 0.8;

  private long count;
  private double mean;
  private double squaredDeviations; // sum of squared deviations from the mean
  private double neighbourProducts; // sum of lag-one products of deviations from the running mean
  private double lastValue;

  /** Adds the next value. */
  public void add(double value) {
    count++;
    double deviation = value - mean;
    if (count > 1) {
      neighbourProducts += (lastValue - mean) * deviation;
    }
    mean += deviation / count;
    squaredDeviations += deviation * (value - mean);
    lastValue = value;
  }

  /** Number of values added. */
  public long count() {
    return count;
  }

  /** Mean of the values; 0 if there are none. */
  public double mean() {
    return mean;
  }

  /**
   * Variance of one value, increased for the autocorrelation and for the small sample. Estimates
   * from few values are often too small: the variance is therefore multiplied by {@code 1 +
   * SMALL_SAMPLE_VALUES / count}, and the autocorrelation has Kendall's bias correction.
   */
  public double variance() {
    if (count < 2 || squaredDeviations <= 0) {
      return 0;
    }
    double estimate = neighbourProducts / squaredDeviations;
    double correlation =
        Math.max(0, Math.min(MAX_CORRELATION, estimate + (1 + 3 * estimate) / count));
    return squaredDeviations
        / (count - 1)
        * (1 + SMALL_SAMPLE_VALUES / count)
        * (1 + correlation)
        / (1 - correlation);
  }

  /**
   * The variance of the normal mixture for which the bounds are tightest at {@code atValues}
   * values, for the error probability {@code error}.
   */
  private static double mixtureVariance(double error, double atValues) {
    double logError = -2 * StrictMath.log(error);
    return (logError + StrictMath.log(logError) + 1) / atValues;
  }

  /**
   * Half the current width of the bounds; infinite below {@link #MIN_VALUES} values.
   *
   * @param error probability that the mean is ever below the lower bound, at any moment of the
   *     sequence; the same applies to the upper bound by itself
   */
  public double halfWidth(double error) {
    if (count < MIN_VALUES) {
      return Double.POSITIVE_INFINITY;
    }
    return halfWidth(error, (double) count, variance());
  }

  static double halfWidth(double error, double count, double variance) {
    double twoSidedError = 2 * error; // the formula is for two-sided bounds
    double mixingVariance = mixtureVariance(twoSidedError, TIGHTEST_AT_VALUES);
    double scale = count * mixingVariance + 1;
    return Math.sqrt(
        variance
            * 2
            * scale
            / (count * count * mixingVariance)
            * StrictMath.log(Math.sqrt(scale) / twoSidedError));
  }
}
