package wharftrestle.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sets for how long idle connections stay open. Where callers come back soon, connections stay.
 * Where they seldom do, idle ones are closed early, so that they do not fill the connection table
 * and keep others out. While the ingress is backlogged, opening connections would eat the cores:
 * idle ones then stay longer step by step, until the full table keeps others out without work. The
 * size of the table is not known here, so the return of callers and the accept lag decide; a burst
 * may fill the table for seconds.
 */
final class IdleConnectionControl {
  /** A caller must be back within this for its idle connection to be worth its memory. */
  private static final double RETURN_SECONDS = 5;

  /** Fraction of returning callers above which idle connections stay. */
  private static final double RETURN_FRACTION = 0.4;

  /** Added to that once connections close early, against flapping. */
  private static final double RETURN_HYSTERESIS = 0.2;

  /** Least timeout where callers seldom come back: retries follow fast. */
  private static final double MIN_TIMEOUT_SECONDS = 0.1;

  /** Longest timeout where callers seldom come back. */
  private static final double MAX_TIMEOUT_SECONDS = 13;

  /** Between two steps of the timeout, each a doubling or a halving. */
  private static final double STEP_SECONDS = 1;

  /** Accept lag from which the ingress counts as backlogged: reading itself takes far less. */
  private static final double BACKLOG_SECONDS = 0.15;

  private final Admission.Actions actions;
  private final ArrivalStatistics arrivals;

  /** Callers by number, longest unseen first. */
  private final Map<Integer, Double> lastArrivals = new LinkedHashMap<>();

  private double returnFraction = 0.5;

  /** 0 for the longest that the host allows. */
  private double timeoutSeconds;

  private double nextStepAt;

  IdleConnectionControl(Admission.Actions actions, ArrivalStatistics arrivals) {
    this.actions = actions;
    this.arrivals = arrivals;
  }

  /** Records an arrival, after {@link ArrivalStatistics#recordArrival}, and moves the timeout. */
  void recordArrival(double now, Admission.Request request) {
    recordReturn(now, request.caller());
    if (now < nextStepAt) {
      return;
    }
    nextStepAt = now + STEP_SECONDS;
    double next = nextTimeoutSeconds();
    if (next != timeoutSeconds) {
      timeoutSeconds = next;
      actions.setIdleTimeout(timeoutSeconds);
    }
  }

  private void recordReturn(double now, int caller) {
    Double last = lastArrivals.remove(caller);
    lastArrivals.put(caller, now);
    while (lastArrivals.values().iterator().next() < now - RETURN_SECONDS) {
      lastArrivals.remove(lastArrivals.keySet().iterator().next());
    }
    boolean returned = last != null && last >= now - RETURN_SECONDS;
    returnFraction += Smoothing.SLOW_WEIGHT * ((returned ? 1 : 0) - returnFraction);
  }

  private double nextTimeoutSeconds() {
    boolean closesEarly = timeoutSeconds != 0;
    if (returnFraction > (closesEarly ? RETURN_FRACTION + RETURN_HYSTERESIS : RETURN_FRACTION)) {
      return 0;
    }
    if (!closesEarly) {
      return MIN_TIMEOUT_SECONDS;
    }
    return arrivals.acceptLagSeconds() > BACKLOG_SECONDS
        ? Math.min(MAX_TIMEOUT_SECONDS, timeoutSeconds * 2)
        : Math.max(MIN_TIMEOUT_SECONDS, timeoutSeconds / 2);
  }
}
