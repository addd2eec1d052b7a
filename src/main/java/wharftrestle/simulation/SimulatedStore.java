package wharftrestle.simulation;

import java.util.SplittableRandom;

/**
 * The store that all boxes call, in virtual time: it takes a while, and a trouble makes it slower
 * for all.
 */
final class SimulatedStore {

  /** Hears how a call ended. */
  interface Ended {
    void at(double now, boolean good);
  }

  private static final double MEAN = 0.02;

  /** Seconds that a call which was given up may stay in the store's hands. */
  private static final double LINGER = 0.2;

  private final EventQueue agenda;
  private double slower = 1;
  private int inHand;

  SimulatedStore(EventQueue agenda) {
    this.agenda = agenda;
  }

  void slow(double factor) {
    slower = factor;
  }

  /** Calls in its hands now, with those that were given up a moment ago. */
  int inHand() {
    return inHand;
  }

  /** A call that is given up at {@code notPast}. */
  void call(double now, SplittableRandom random, Ended told, double notPast) {
    double takes = -Math.log(1 - random.nextDouble()) * MEAN * slower;
    boolean good = notPast <= 0 || now + takes <= notPast;
    inHand++;
    agenda.at(
        Math.min(now + takes, notPast <= 0 ? Double.POSITIVE_INFINITY : notPast + LINGER),
        then -> inHand--);
    agenda.at(good ? now + takes : notPast, then -> told.at(then, good));
  }
}
