package wharftrestle.admission;

/** Values a request by the weight of its answer for the scarce resource that it takes. */
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
   * Returns until when an answer still has weight: the latency objective, or the deadline where
   * answers after the objective have weight and the objective is lost.
   */
  double usefulUntil(double now, TrackedRequest request) {
    return request.hasWeightAfterObjective()
            && now + estimator.runSeconds(request) > request.objectiveAt
        ? request.answerDueAt
        : request.objectiveAt;
  }

  /**
   * Returns the expected weight per unit of what is scarce; attached requests count with the one
   * execution that answers them.
   *
   * @param callsAreScarce dependency calls are what is scarce, not the cores
   */
  double of(double now, TrackedRequest request, boolean callsAreScarce) {
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
