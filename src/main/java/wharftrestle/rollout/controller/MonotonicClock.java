package wharftrestle.rollout.controller;

/** The clock of a controller's decisions, unaffected by steps of the wall clock. */
final class MonotonicClock {
  private MonotonicClock() {}

  /** Seconds since a fixed but arbitrary moment. */
  static double seconds() {
    return System.nanoTime() / 1e9;
  }
}
