package wharftrestle.admission;

/** The value of a request: the weight of its answer per unit of the scarce resource it uses. */
final class RequestValue {
  private final boolean weightPerWork;
  private final RunTimeEstimator estimator;
  private final TenantQuota tenantQuota;

  RequestValue(AdmissionSettings settings, RunTimeEstimator estimator, TenantQuota tenantQuota) {
    weightPerWork = settings.weighting().perWork();
    this.estimator = estimator;
    this.tenantQuota = tenantQuota;
  }

  /**
   * Returns the time that an execution started now should meet: the latency objective, or the
   * deadline if the objective can no longer be met and later answers still have weight.
   */
  double usefulUntil(double now, TrackedRequest request) {
    return request.hasWeightAfterObjective()
            && now + estimator.runSeconds(request) > request.objectiveAt
        ? request.answerDueAt
        : request.objectiveAt;
  }

  /**
   * Returns the expected weight per unit of the scarce resource. The weight of attached requests is
   * included in that of the execution that answers them.
   *
   * @param callsAreScarce whether dependency calls are the scarce resource instead of the cores
   */
  double compute(double now, TrackedRequest request, boolean callsAreScarce) {
    double weight =
        request.requestClass.weight()
            * (1 + request.attachedCount)
            * tenantQuota.weightFactor(request.request);
    if (now + estimator.runSeconds(request) > request.objectiveAt) {
      weight *= request.requestClass.weightAfterObjective();
    }
    if (callsAreScarce) {
      return weight * (weightPerWork ? estimator.ownSeconds(request) : 1) / request.estimate.calls;
    }
    return weightPerWork ? weight : weight / estimator.runSeconds(request);
  }
}
