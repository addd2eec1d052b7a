package wharftrestle.admission;

/**
 * Limits the executions on the cores at once: raised while cores idle and work waits, lowered while
 * run times are inflated, never below the cores nor above what the host survives.
 */
final class ConcurrencyLimit {
  /** Fraction of the cores by which the limit is raised a step. */
  private static final double RAISE = 0.5;

  /** Fraction of the excess over the cores by which the limit is lowered a step. */
  private static final double LOWER = 0.1;

  /** Inflation above which the limit is lowered; less is noise of few executions. */
  private static final double INFLATION_TOLERANCE = 1.25;

  /** Utilization below which cores count as idle: reading and health checks come and go. */
  private static final double BUSY_UTILIZATION = 0.9;

  /** Seconds between two steps: half of the span of the utilization gauge. */
  private static final double STEP_SECONDS = 0.25;

  /** Fraction of the survivable concurrency that is used: reading and calls come on top. */
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

  /** Returns the limit, fractions of an execution included. */
  double value() {
    return limit;
  }

  /** Returns the limit in whole executions. */
  int executions() {
    return (int) limit;
  }

  /** Returns when the gauges are looked at next. */
  double nextStepAt() {
    return nextStepAt;
  }

  /** Moves the limit one step, unless the last step is too recent or gauges are missing. */
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
      limit += RAISE * capacity.cores();
    } else if (!idle && inflation.ofClassMeans() > INFLATION_TOLERANCE) {
      limit -= LOWER * (limit - capacity.cores());
    }
    limit = Math.max(capacity.cores(), Math.min(limit, survivable(now)));
  }

  /** Returns what the host survives at its present speed, which is lower while it warms up. */
  private double survivable(double now) {
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
