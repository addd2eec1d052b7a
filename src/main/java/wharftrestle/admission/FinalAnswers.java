package wharftrestle.admission;

/** Gives requests their final answers, other than results, and ends them. */
final class FinalAnswers {
  private final Admission.Actions actions;
  private final RequestTable requests;
  private final DuplicateTracker duplicates;
  private final RetryAdvice advice;
  private final ArrivalStatistics arrivals;

  FinalAnswers(
      Admission.Actions actions,
      RequestTable requests,
      DuplicateTracker duplicates,
      RetryAdvice advice,
      ArrivalStatistics arrivals) {
    this.actions = actions;
    this.requests = requests;
    this.duplicates = duplicates;
    this.advice = advice;
    this.arrivals = arrivals;
  }

  /**
   * Rejects and ends a request that is not in execution. It was never executed, so that its key is
   * released and a retry may be executed; one that may have been executed is failed instead.
   */
  void rejectAndEnd(double now, TrackedRequest request) {
    if (mayHaveExecuted(request)) {
      actions.fail(request.id());
    } else {
      reject(now, request);
    }
    end(request);
  }

  /** Fails and ends a request that waits for the result of another. */
  void failAndEnd(TrackedRequest request) {
    actions.fail(request.id());
    end(request);
  }

  /**
   * Answers a request in execution whose objective is lost; the execution goes on until the host
   * reports its end. An idempotent one is rejected, since it may be executed again elsewhere.
   */
  void giveUp(double now, TrackedRequest request) {
    if (request.isIdempotent()) {
      reject(now, request);
      request.answered = true;
    } else {
      fail(request);
    }
  }

  /** Fails a request in execution; the execution goes on until the host reports its end. */
  void fail(TrackedRequest request) {
    actions.fail(request.id());
    request.answered = true;
  }

  /** Ends a request: its memory is freed, and its key where it was never executed. */
  void end(TrackedRequest request) {
    requests.remove(request);
    duplicates.requestEnded(request);
  }

  private void reject(double now, TrackedRequest request) {
    boolean otherHostsToo = advice.expectsRejectionElsewhere(now, request);
    double retryAfterSeconds = advice.retryAfterSeconds(now, request);
    if (!request.isStarted()) {
      arrivals.recordRejection();
    }
    actions.reject(request.id(), otherHostsToo, retryAfterSeconds);
  }

  private static boolean mayHaveExecuted(TrackedRequest request) {
    return !request.isIdempotent() && (request.executed || request.attachedTo != null);
  }
}
