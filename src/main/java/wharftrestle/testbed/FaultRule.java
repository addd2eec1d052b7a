package wharftrestle.testbed;

import java.util.Random;

/**
 * What a link does now with what crosses it in one direction: the decisions of a proxy, without
 * sockets or clocks. It must never decide by anything but what it was told and its seed. Times are
 * in ms on the caller's clock.
 */
public final class FaultRule {

  /** One thing that is wrong, until it is healed. */
  public enum Trouble {
    /** Nothing comes through; what was sent waits, as after a lost packet. */
    HOLE,
    /** What crosses comes later, by so many ms and a jitter. */
    DELAY,
    /** So many kB a second at most. */
    RATE,
    /** So large a part of datagrams is lost, doubled, or comes after the next one. */
    DROP,
    DOUBLE,
    REORDER
  }

  private final Random random;
  private boolean hole;
  private double delay;
  private double jitter;
  private double rate = Double.POSITIVE_INFINITY;
  private double drop;
  private double twice;
  private double reorder;
  private double freeAt; // the rate lets the next bytes through
  private double lastOut; // a stream keeps its order

  public FaultRule(long seed) {
    random = new Random(seed);
  }

  /** Something goes wrong, or more so; the second value is the jitter of a delay. */
  public void trouble(Trouble what, double value, double more) {
    switch (what) {
      case HOLE -> hole = true;
      case DELAY -> {
        delay = value;
        jitter = more;
      }
      case RATE -> rate = value;
      case DROP -> drop = value;
      case DOUBLE -> twice = value;
      case REORDER -> reorder = value;
      default -> throw new IllegalStateException("no trouble: " + what);
    }
  }

  /** All is well again; what waits comes through. */
  public void heal() {
    hole = false;
    delay = 0;
    jitter = 0;
    rate = Double.POSITIVE_INFINITY;
    drop = 0;
    twice = 0;
    reorder = 0;
  }

  /** True while nothing comes through. */
  public boolean hole() {
    return hole;
  }

  /** When bytes of a stream that came now go on: never before what came earlier. */
  public double passes(int bytes, double now) {
    double from = Math.max(now, freeAt);
    freeAt =
        rate == Double.POSITIVE_INFINITY ? now : from + bytes / rate; // kB a second is bytes a ms
    double at = Math.max(now, freeAt) + delay + (jitter > 0 ? random.nextDouble() * jitter : 0);
    lastOut = Math.max(lastOut, at);
    return lastOut;
  }

  /**
   * When copies of a datagram that came now go on: none where it is lost. One that is late may come
   * after the next.
   */
  public double[] datagram(double now) {
    if (hole || random.nextDouble() < drop) {
      return new double[0];
    }
    double at =
        now
            + delay
            + (jitter > 0 ? random.nextDouble() * jitter : 0)
            + (random.nextDouble() < reorder ? LATE : 0);
    return random.nextDouble() < twice ? new double[] {at, at} : new double[] {at};
  }

  /** Milliseconds by which a datagram that is to come after the next one is held. */
  private static final double LATE = 40;
}
