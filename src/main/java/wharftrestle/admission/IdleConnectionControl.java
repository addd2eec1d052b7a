package wharftrestle.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Sets the idle timeout of connections. If callers usually return soon, idle connections stay open.
 * If callers seldom return, idle connections are closed early, so that they do not fill the
 * connection table and keep other callers out. While there is an ingress backlog, accepting
 * connections would consume too much CPU: the timeout is then raised step by step, until the full
 * table keeps new connections out without any work. The size of the table is not available here, so
 * the fraction of returning callers and the accept lag decide; a burst may fill the table for
 * seconds.
 */
final class IdleConnectionControl {
  /** A caller counts as returning if its next request arrives within this time. */
  private static final double RETURN_SECONDS = 5;

  /** Callers that are remembered: callers choose their numbers, and may send ever new ones. */
  private static final int MAX_CALLERS = 2048;

  /** Fraction of returning callers above which idle connections stay open. */
  private static final double RETURN_FRACTION = 0.4;

  /** Added to that fraction while connections are closed early, to avoid flapping. */
  private static final double RETURN_HYSTERESIS = 0.2;

  /** Shortest timeout if callers seldom return; long enough for immediate retries. */
  private static final double MIN_TIMEOUT_SECONDS = 0.1;

  /** Longest timeout if callers seldom return. */
  private static final double MAX_TIMEOUT_SECONDS = 13;

  /** Seconds between two steps of the timeout; a step doubles or halves it. */
  private static final double STEP_SECONDS = 1;

  /** Accept lag above which the ingress counts as backlogged; reading alone takes far less. */
  private static final double BACKLOG_SECONDS = 0.15;

  private final Admission.Actions actions;
  private final ArrivalStatistics arrivals;

  /** Time of the last arrival by caller number, least recent first. */
  private final Map<Integer, Double> lastArrivals = new LinkedHashMap<>();

  private double returnFraction = 0.5;

  /** The present idle timeout; 0 for the longest that the host allows. */
  private double timeoutSeconds;

  private double nextStepAt;

  IdleConnectionControl(Admission.Actions actions, ArrivalStatistics arrivals) {
    this.actions = actions;
    this.arrivals = arrivals;
  }

  /** Records an arrival, after {@link ArrivalStatistics#recordArrival}, and adapts the timeout. */
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

  /** Returns the number of callers whose last arrival is remembered. */
  int rememberedCallers() {
    return lastArrivals.size();
  }

  private void recordReturn(double now, int caller) {
    Double last = lastArrivals.remove(caller);
    lastArrivals.put(caller, now);
    while (lastArrivals.size() > MAX_CALLERS
        || lastArrivals.values().iterator().next() < now - RETURN_SECONDS) {
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
