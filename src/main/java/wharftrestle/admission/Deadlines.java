package wharftrestle.admission;

/** Sets the moments by which a request must be answered, and by which it has its full weight. */
final class Deadlines {
  /** Ticks left for an answer to be given before it is due. */
  private static final double ANSWER_TICKS = 2;

  private final RunTimeEstimator estimator;
  private final AttemptAge attemptAge;
  private final Drain drain;
  private final double marginSeconds;

  Deadlines(AdmissionSettings settings, RunTimeEstimator estimator, Drain drain) {
    this.estimator = estimator;
    this.drain = drain;
    marginSeconds = ANSWER_TICKS * settings.timing().tickSeconds();
    attemptAge = new AttemptAge(settings, marginSeconds);
  }

  /** Sets the deadlines of a request that has arrived. */
  void assign(double now, TrackedRequest arrived) {
    Admission.RequestClass requestClass = arrived.requestClass;
    double remaining = arrived.request.remainingDeadlineSeconds();
    double deadline =
        remaining > 0 ? now + remaining : arrived.reachedHostAt + requestClass.deadlineSeconds();
    arrived.answerDueAt = Math.max(now, Math.min(deadline, drain.stopAt()) - marginSeconds);
    double objective =
        Math.min(
            requestClass.deadlineSeconds(),
            requestClass.latencyObjectiveSeconds()
                + requestClass.latencyObjectiveStretch() * estimator.runSeconds(arrived));
    arrived.objectiveAt =
        Math.min(
            arrived.answerDueAt,
            arrived.reachedHostAt + objective - attemptAge.seconds(arrived) - marginSeconds);
  }

  /** Brings the deadlines of a request forward to the stop of this process. */
  void shortenToStop(TrackedRequest request) {
    request.answerDueAt = Math.min(request.answerDueAt, drain.stopAt() - marginSeconds);
    request.objectiveAt = Math.min(request.objectiveAt, request.answerDueAt);
  }
}
