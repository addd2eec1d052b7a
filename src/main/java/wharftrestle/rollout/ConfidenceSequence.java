package wharftrestle.rollout;

/**
 * Estimates the mean of a sequence, with bounds that hold at whatever moment they are read: a
 * confidence sequence for sums that behave like a random walk (Robbins' normal mixture;
 * Waudby-Smith et al., Time-uniform central limit theory and asymptotic confidence sequences, 2021,
 * theorem 2.2). The variance is estimated as it goes, and widened by what neighbours in the
 * sequence have in common (lag one), as windows of one host are no independent draws.
 *
 * <p>O(1) in time and memory for each value.
 */
public final class ConfidenceSequence {
  /** Values below which there are no bounds: the variance is not known before. */
  public static final int MIN_VALUES = 8;

  /** The number of values at which the bounds are tightest; see {@link #mixtureVariance}. */
  private static final double TIGHTEST_AT_VALUES = 40;

  /** Values at which the variance is doubled, since it is estimated from few. */
  private static final double SMALL_SAMPLE_VALUES = 4;

  /** Highest correlation of neighbours that widens the bounds. */
  private static final double MAX_CORRELATION = 0.8;

  private long count;
  private double mean;
  private double squaredDeviations; // of distances from the mean
  private double neighbourProducts; // products of neighbours' distances from the mean as it was
  private double lastValue;

  /** Takes the next value. */
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

  /** Values taken. */
  public long count() {
    return count;
  }

  /** Their mean; 0 for none. */
  public double mean() {
    return mean;
  }

  /**
   * Variance of one value, widened by what neighbours have in common, and for what is not known of
   * it yet: an estimate from few values is often too small, and so is one of their correlation
   * (Kendall's correction).
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
   * The mixture's spread for which the bounds at {@code tightest} values are least, for an error of
   * {@code error}.
   */
  private static double mixtureVariance(double error, double atValues) {
    double logError = -2 * Math.log(error);
    return (logError + Math.log(logError) + 1) / atValues; // squared
  }

  /**
   * Half the width of the bounds now; infinite where too little is known. One-sided: the error is
   * that of the lower bound, and of the upper, each.
   *
   * @param error probability that the mean is ever outside, at any moment of the sequence
   */
  public double halfWidth(double error) {
    if (count < MIN_VALUES) {
      return Double.POSITIVE_INFINITY;
    }
    return halfWidth(error, (double) count, variance());
  }

  static double halfWidth(double error, double count, double variance) {
    double twoSidedError = 2 * error; // the sequence is two-sided
    double spread = mixtureVariance(twoSidedError, TIGHTEST_AT_VALUES);
    double scale = count * spread + 1;
    return Math.sqrt(
        variance
            * 2
            * scale
            / (count * count * spread)
            * Math.log(Math.sqrt(scale) / twoSidedError));
  }
}
