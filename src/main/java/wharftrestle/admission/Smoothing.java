package wharftrestle.admission;

/** Weights of the exponential moving averages that the admission decisions are based on. */
final class Smoothing {
  /** Weight of one observation: the average covers about the last twenty. */
  static final double SLOW_WEIGHT = 1.0 / 20;

  /** Weight of one observation where a fault must be detected within a dozen. */
  static final double FAST_WEIGHT = 1.0 / 12;

  /** Fraction of the difference by which one observation raises a tracked minimum, to age it. */
  static final double MINIMUM_AGING = 0.002;

  private Smoothing() {}
}
