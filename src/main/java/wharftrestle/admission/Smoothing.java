package wharftrestle.admission;

/** Weights of the exponential moving averages that the admission decisions are based on. */
final class Smoothing {
  /** Weight of one observation: about the last twenty count. */
  static final double SLOW_WEIGHT = 1.0 / 20;

  /** Weight of one observation: a fault must show within a dozen. */
  static final double FAST_WEIGHT = 1.0 / 12;

  /** Fraction of the gap by which a tracked minimum follows per observation, so that it ages. */
  static final double MINIMUM_AGING = 0.002;

  private Smoothing() {}
}
