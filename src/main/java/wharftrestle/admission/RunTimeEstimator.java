package wharftrestle.admission;

/**
 * Estimates run times as moving averages over the successful executions of a class, scaled by the
 * cost hint of a request. The own run time of an execution is its run time without dependency
 * calls.
 */
final class RunTimeEstimator {
  /** Initial estimate of the run time of a class, as a fraction of its latency objective. */
  private static final double INITIAL_OBJECTIVE_FRACTION = 1.0 / 8;

  /** Executions of a class before its mean may set the minimum run time. */
  private static final int MIN_EXECUTIONS = 5;

  /**
   * Expected remaining time of an overdue execution, as a fraction of its elapsed time: the
   * distribution of run times has a long tail.
   */
  private static final double OVERRUN_FRACTION = 0.25;

  private final int cores;
  private final DependencyCallBudget calls;
  private final RunTimeInflation inflation;
  private final ClassEstimate[] classes;
  private double meanOwnSeconds;

  RunTimeEstimator(
      AdmissionSettings settings, DependencyCallBudget calls, RunTimeInflation inflation) {
    this.cores = settings.capacity().cores();
    this.calls = calls;
    this.inflation = inflation;
    classes = new ClassEstimate[settings.classes().size()];
    for (int i = 0; i < classes.length; i++) {
      Admission.RequestClass requestClass = settings.classes().get(i);
      classes[i] = new ClassEstimate();
      classes[i].calls = requestClass.callsDependency() ? 1 : 0;
      classes[i].ownSeconds = requestClass.latencyObjectiveSeconds() * INITIAL_OBJECTIVE_FRACTION;
      meanOwnSeconds += classes[i].ownSeconds / classes.length;
    }
  }

  ClassEstimate classEstimate(int classIndex) {
    return classes[classIndex];
  }

  /** Returns the moving average of own run times over all classes. */
  double meanOwnSeconds() {
    return meanOwnSeconds;
  }

  /** Returns the estimated run time without dependency calls. */
  double ownSeconds(TrackedRequest request) {
    ClassEstimate estimate = request.estimate;
    double hint = request.request.costHintSeconds();
    if (hint <= 0) {
      return estimate.ownSeconds;
    }
    return estimate.costHintSeconds > 0
        ? hint * estimate.ownSeconds / estimate.costHintSeconds
        : hint;
  }

  /** Returns the estimated run time, dependency calls included. */
  double runSeconds(TrackedRequest request) {
    return ownSeconds(request) + request.estimate.calls * calls.meanSeconds();
  }

  /** Returns the own run time still expected of a started request. */
  double remainingOwnSeconds(double now, TrackedRequest request) {
    double elapsed = now - request.dispatchedAt - request.blockedSeconds(now);
    return Math.max(ownSeconds(request) - elapsed, OVERRUN_FRACTION * elapsed);
  }

  /**
   * Records a successful execution. Failed executions are not recorded, since quick failures would
   * lower the estimate.
   *
   * @param elapsedSeconds time since its dispatch
   * @param stallSeconds recent lateness of this host's timers; the host measures dependency calls,
   *     so this part of the run time may be a delay of the host itself
   * @param onCores executions on the cores at its end, this one included
   */
  void recordSuccess(
      TrackedRequest request, double elapsedSeconds, double stallSeconds, int onCores) {
    ClassEstimate estimate = request.estimate;
    double own = Math.max(0, elapsedSeconds - request.blockedSeconds);
    updateAverages(request, own);
    double level =
        estimate.costHintSeconds > 0
            ? estimate.ownSeconds / estimate.costHintSeconds
            : estimate.ownSeconds;
    if (estimate.executions < MIN_EXECUTIONS) {
      return;
    }
    estimate.minimumOwn =
        estimate.minimumOwn == 0
            ? level
            : Math.min(
                level,
                estimate.minimumOwn + Smoothing.MINIMUM_AGING * (level - estimate.minimumOwn));
    double ownWithoutStall = request.callsReached == 0 ? own : Math.max(0, own - stallSeconds);
    double hint = request.request.costHintSeconds();
    double perUnit = hint > 0 ? ownWithoutStall / hint : ownWithoutStall;
    inflation.record(
        level / estimate.minimumOwn, perUnit / estimate.minimumOwn, (double) onCores / cores);
  }

  private void updateAverages(TrackedRequest request, double own) {
    ClassEstimate estimate = request.estimate;
    double hint = request.request.costHintSeconds();
    estimate.executions++;
    double weight = Math.max(Smoothing.SLOW_WEIGHT, 1.0 / (estimate.executions + 1));
    if (hint > 0) {
      estimate.costHintSeconds =
          estimate.costHintSeconds == 0
              ? hint
              : estimate.costHintSeconds + weight * (hint - estimate.costHintSeconds);
      weight = estimate.executions == 1 ? 1 : weight;
    }
    estimate.ownSeconds += weight * (own - estimate.ownSeconds);
    meanOwnSeconds += Smoothing.SLOW_WEIGHT * (own - meanOwnSeconds);
    estimate.calls += weight * (request.callsReached - estimate.calls);
  }
}
