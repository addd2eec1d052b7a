package wharftrestle.testbed;

import java.util.Random;

/**
 * Decides when a proxy delivers the bytes or datagrams of one direction. It uses no sockets and no
 * clock: the decisions depend on the applied effects, the seed and the times that callers pass, in
 * ms. Not thread-safe.
 */
public final class FaultRule {

  /** An injected fault, until {@link #heal}. */
  public enum Effect {
    /** Nothing is delivered; stream bytes wait, as after a lost packet, and datagrams are lost. */
    HOLE,
    /** Delivery is delayed by a number of ms and a random jitter. */
    DELAY,
    /** Streams are limited to a number of kB a second. */
    RATE,
    /** This part of datagrams, 0 to 1, is lost. */
    DROP,
    /** This part of datagrams, 0 to 1, is duplicated. */
    DOUBLE,
    /** This part of datagrams, 0 to 1, is delivered after the next one. */
    REORDER
  }

  private final Random random;
  private boolean blackholed;
  private double delayMs;
  private double jitterMs;
  private double kbPerSecond = Double.POSITIVE_INFINITY;
  private double dropShare;
  private double duplicateShare;
  private double reorderShare;
  private double rateFreeAt; // time at which the rate limit allows the next bytes
  private double lastDelivery; // a stream keeps its order

  public FaultRule(long seed) {
    random = new Random(seed);
  }

  /**
   * Applies an effect, or changes its value.
   *
   * @param newJitterMs jitter of a delay
   */
  public void apply(Effect effect, double value, double newJitterMs) {
    switch (effect) {
      case HOLE -> blackholed = true;
      case DELAY -> {
        delayMs = value;
        jitterMs = newJitterMs;
      }
      case RATE -> kbPerSecond = value;
      case DROP -> dropShare = value;
      case DOUBLE -> duplicateShare = value;
      case REORDER -> reorderShare = value;
      default -> throw new IllegalStateException("unknown effect: " + effect);
    }
  }

  /** Removes all effects; waiting bytes are delivered. */
  public void heal() {
    blackholed = false;
    delayMs = 0;
    jitterMs = 0;
    kbPerSecond = Double.POSITIVE_INFINITY;
    dropShare = 0;
    duplicateShare = 0;
    reorderShare = 0;
  }

  /** Whether nothing is delivered now. */
  public boolean blackholed() {
    return blackholed;
  }

  /** Delivery time of stream bytes that arrive now, never before that of earlier bytes. */
  public double deliveryTime(int bytes, double now) {
    double start = Math.max(now, rateFreeAt);
    rateFreeAt =
        kbPerSecond == Double.POSITIVE_INFINITY
            ? now
            : start + bytes / kbPerSecond; // kB a second is bytes a ms
    double delivery =
        Math.max(now, rateFreeAt) + delayMs + (jitterMs > 0 ? random.nextDouble() * jitterMs : 0);
    lastDelivery = Math.max(lastDelivery, delivery);
    return lastDelivery;
  }

  /**
   * Delivery times of the copies of a datagram that arrives now; none if it is lost. A delayed
   * datagram can be delivered after the next one.
   */
  public double[] datagramDeliveries(double now) {
    if (blackholed || random.nextDouble() < dropShare) {
      return new double[0];
    }
    double delivery =
        now
            + delayMs
            + (jitterMs > 0 ? random.nextDouble() * jitterMs : 0)
            + (random.nextDouble() < reorderShare ? REORDER_DELAY_MS : 0);
    return random.nextDouble() < duplicateShare
        ? new double[] {delivery, delivery}
        : new double[] {delivery};
  }

  /** Extra delay that lets a datagram arrive after the next one. */
  private static final double REORDER_DELAY_MS = 40;
}
