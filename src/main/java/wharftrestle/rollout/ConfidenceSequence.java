package wharftrestle.rollout;

/**
 * Where the mean of a sequence lies, with bounds that hold at whatever moment they are looked at: a
 * confidence sequence for sums that behave like a random walk (Robbins' normal mixture;
 * Waudby-Smith et al., Time-uniform central limit theory and asymptotic confidence sequences, 2021,
 * theorem 2.2). The variance is estimated as it goes, and widened by what neighbours in the
 * sequence have in common (lag one), as windows of one box are no independent draws.
 *
 * <p>O(1) in time and memory for each value.
 */
public final class ConfidenceSequence {
  /** Values below which nothing is said: the variance is not known before. */
  public static final int LEAST = 8;

  /** The number of values at which the bounds are tightest; see {@link #mixture}. */
  private static final double TIGHTEST = 40;

  /** Values for which the variance is taken for as much larger again. */
  private static final double FEW = 4;

  /** Correlation of neighbours that is reckoned with at most. */
  private static final double MOST_TIED = 0.8;

  private long count;
  private double mean;
  private double squares; // of distances from the mean
  private double tied; // products of neighbours' distances from the mean as it was
  private double last;

  /** Takes the next value. */
  public void add(double value) {
    count++;
    double before = value - mean;
    if (count > 1) {
      tied += (last - mean) * before;
    }
    mean += before / count;
    squares += before * (value - mean);
    last = value;
  }

  public long count() {
    return count;
  }

  public double mean() {
    return mean;
  }

  /**
   * Variance of one value, widened by what neighbours have in common, and for what is not known of
   * it yet: an estimate from few values is often too small, and so is one of their correlation
   * (Kendall's correction).
   */
  public double variance() {
    if (count < 2 || squares <= 0) {
      return 0;
    }
    double seen = tied / squares;
    double common = Math.max(0, Math.min(MOST_TIED, seen + (1 + 3 * seen) / count));
    return squares / (count - 1) * (1 + FEW / count) * (1 + common) / (1 - common);
  }

  /**
   * The mixture's spread for which the bounds at {@code tightest} values are least, for an error of
   * {@code error}.
   */
  private static double mixture(double error, double tightest) {
    double log = -2 * Math.log(error);
    return (log + Math.log(log) + 1) / tightest; // squared
  }

  /**
   * Half the width of the bounds now; infinite where too little is known. One-sided: the error is
   * that of the lower bound, and of the upper, each.
   *
   * @param error probability that the mean is ever outside, at any moment of the sequence
   */
  public double width(double error) {
    if (count < LEAST) {
      return Double.POSITIVE_INFINITY;
    }
    return width(error, (double) count, variance());
  }

  static double width(double error, double count, double variance) {
    double both = 2 * error; // the sequence is two-sided
    double spread = mixture(both, TIGHTEST);
    double grown = count * spread + 1;
    return Math.sqrt(
        variance * 2 * grown / (count * count * spread) * Math.log(Math.sqrt(grown) / both));
  }
}
