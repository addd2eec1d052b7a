package wharftrestle.admission;

/**
 * The limit on concurrent executions on the cores. It is raised while cores are idle and requests
 * are queued, and lowered while run times are inflated; it stays between the number of cores and
 * the concurrency that the host survives.
 */
final class ConcurrencyLimit {
  /** Fraction of the cores by which one step raises the limit. */
  private static final double RAISE_FRACTION = 0.5;

  /** Fraction of the excess over the cores by which one step lowers the limit. */
  private static final double LOWER_FRACTION = 0.1;

  /** Inflation above which the limit is lowered; lower values are noise of few executions. */
  private static final double INFLATION_TOLERANCE = 1.25;

  /**
   * Utilization below which cores count as idle; below 1, since reading requests and health checks
   * load them intermittently.
   */
  private static final double BUSY_UTILIZATION = 0.9;

  /** Seconds between two steps: half the averaging window of the utilization gauge. */
  private static final double STEP_SECONDS = 0.25;

  /**
   * Fraction of the survivable concurrency that is used: reading requests and dependency calls add
   * to the load.
   */
  private static final double CONCURRENCY_MARGIN = 0.7;

  private final AdmissionSettings.Capacity capacity;
  private final AdmissionSettings.WarmUp warmUp;
  private final RunTimeInflation inflation;
  private final double startedAt;
  private final int utilizationGauge;
  private final int runnableGauge;
  private double limit;
  private double nextStepAt;

  ConcurrencyLimit(double now, AdmissionSettings settings, RunTimeInflation inflation) {
    capacity = settings.capacity();
    warmUp = settings.warmUp();
    this.inflation = inflation;
    startedAt = now;
    utilizationGauge = settings.gauges().indexOf("cpu_busy");
    runnableGauge = settings.gauges().indexOf("runnable");
    limit = capacity.cores();
    nextStepAt = now;
  }

  /** Returns the limit, not rounded. */
  double value() {
    return limit;
  }

  /** Returns the limit, rounded down. */
  int executions() {
    return (int) limit;
  }

  /** Returns when the limit may be changed next. */
  double nextStepAt() {
    return nextStepAt;
  }

  /** Changes the limit by one step, unless the last step is too recent or gauges are missing. */
  void update(double now, double[] gauges, boolean queueEmpty, int onCores) {
    if (utilizationGauge < 0 || utilizationGauge >= gauges.length) {
      return;
    }
    boolean idle =
        gauges[utilizationGauge] < BUSY_UTILIZATION
            && (runnableGauge < 0 || gauges[runnableGauge] < capacity.cores());
    if (now < nextStepAt) {
      return;
    }
    nextStepAt = now + STEP_SECONDS;
    if (idle && !queueEmpty && onCores >= (int) limit) {
      limit += RAISE_FRACTION * capacity.cores();
    } else if (!idle && inflation.classInflation() > INFLATION_TOLERANCE) {
      limit -= LOWER_FRACTION * (limit - capacity.cores());
    }
    limit = Math.max(capacity.cores(), Math.min(limit, survivableExecutions(now)));
  }

  /**
   * Returns the concurrent executions that the host survives at its present speed, which is lower
   * while it warms up.
   */
  private double survivableExecutions(double now) {
    double speed = 1;
    if (warmUp.coldStart() && warmUp.seconds() > 0) {
      speed =
          warmUp.coldSpeedFraction()
              + (1 - warmUp.coldSpeedFraction()) * (now - startedAt) / warmUp.seconds();
    }
    return CONCURRENCY_MARGIN
        * capacity.cores()
        * (1 + (capacity.survivableConcurrencyPerCore() - 1) * Math.min(1, speed));
  }
}
