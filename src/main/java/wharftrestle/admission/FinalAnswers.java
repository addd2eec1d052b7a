package wharftrestle.admission;

/** Sends the final answers that are not results: rejections and failures. Also ends requests. */
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
   * Rejects and ends a request that is not in execution. A request that was never executed is
   * rejected and its key is released, so that a retry may be executed. A request that may have been
   * executed is failed instead.
   */
  void rejectAndEnd(double now, TrackedRequest request) {
    if (mayHaveExecuted(request)) {
      actions.fail(request.id());
    } else {
      reject(now, request);
    }
    end(request);
  }

  /** Fails and ends an attached request. */
  void failAndEnd(TrackedRequest request) {
    actions.fail(request.id());
    end(request);
  }

  /**
   * Answers a request in execution that has missed its latency objective; the execution continues
   * until the host reports its end. An idempotent request is rejected, since another host may
   * execute it again; others are failed.
   */
  void answerLate(double now, TrackedRequest request) {
    if (request.isIdempotent()) {
      reject(now, request);
      request.answered = true;
    } else {
      fail(request);
    }
  }

  /** Fails a request in execution; the execution continues until the host reports its end. */
  void fail(TrackedRequest request) {
    actions.fail(request.id());
    request.answered = true;
  }

  /** Ends a request: frees its memory, and releases its key if it was never executed. */
  void end(TrackedRequest request) {
    requests.remove(request);
    duplicates.requestCompleted(request);
  }

  private void reject(double now, TrackedRequest request) {
    boolean everywhere = advice.expectsRejectionEverywhere(now, request);
    double retryAfterSeconds = advice.retryAfterSeconds(now, request);
    if (!request.isStarted()) {
      arrivals.recordRejection();
    }
    actions.reject(request.id(), everywhere, retryAfterSeconds);
  }

  private static boolean mayHaveExecuted(TrackedRequest request) {
    return !request.isIdempotent() && (request.executed || request.attachedTo != null);
  }
}
