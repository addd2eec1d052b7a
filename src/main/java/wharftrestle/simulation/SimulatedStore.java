package wharftrestle.simulation;

import java.util.SplittableRandom;

/**
 * Simulated store that all hosts call. Calls take an exponentially distributed time, which a
 * slowdown multiplies for all hosts.
 */
final class SimulatedStore {

  /** Is called when a call ends. */
  interface CallListener {
    void ended(double now, boolean succeeded);
  }

  private static final double MEAN_CALL_SECONDS = 0.02;

  /** Time for which the store still works on a call that the caller gave up. */
  private static final double ABANDONED_CALL_SECONDS = 0.2;

  private final EventQueue eventQueue;
  private double slowdown = 1;
  private int inFlight;

  SimulatedStore(EventQueue eventQueue) {
    this.eventQueue = eventQueue;
  }

  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Calls in flight in the store, including those given up shortly before. */
  int inFlight() {
    return inFlight;
  }

  /** Starts a call that the caller gives up at {@code deadline}; 0 for no deadline. */
  void call(double now, SplittableRandom random, CallListener listener, double deadline) {
    double duration = -StrictMath.log(1 - random.nextDouble()) * MEAN_CALL_SECONDS * slowdown;
    boolean succeeded = deadline <= 0 || now + duration <= deadline;
    inFlight++;
    eventQueue.schedule(
        Math.min(
            now + duration,
            deadline <= 0 ? Double.POSITIVE_INFINITY : deadline + ABANDONED_CALL_SECONDS),
        later -> inFlight--);
    eventQueue.schedule(
        succeeded ? now + duration : deadline, later -> listener.ended(later, succeeded));
  }
}
