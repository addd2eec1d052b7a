package wharftrestle.admission;

/** Sets the time by which a request must be answered, and the time of its latency objective. */
final class Deadlines {
  /** Ticks by which answers are due before the deadline, so that they are sent in time. */
  private static final double ANSWER_MARGIN_TICKS = 2;

  private final RunTimeEstimator estimator;
  private final AttemptAge attemptAge;
  private final Drain drain;
  private final double marginSeconds;

  Deadlines(AdmissionSettings settings, RunTimeEstimator estimator, Drain drain) {
    this.estimator = estimator;
    this.drain = drain;
    marginSeconds = ANSWER_MARGIN_TICKS * settings.timing().tickSeconds();
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

  /** Moves the deadlines of a request to the stop of this process if they are later. */
  void shortenToStop(TrackedRequest request) {
    request.answerDueAt = Math.min(request.answerDueAt, drain.stopAt() - marginSeconds);
    request.objectiveAt = Math.min(request.objectiveAt, request.answerDueAt);
  }
}
