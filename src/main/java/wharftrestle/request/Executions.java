package wharftrestle.request;

import java.util.List;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;

/**
 * Handles the worker pool's reports on executions: completes the request and its key, and notifies
 * the admission module. Guarded by the coordinator's lock.
 */
final class Executions {
  private final Counters counters;
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final CallerNotifier callers;
  private final KeyedRequests keyedRequests;
  private final ResultRecorder recorder;

  Executions(
      Counters counters,
      EventClock clock,
      InFlightTable inFlight,
      AdmissionDriver admission,
      CallerNotifier callers,
      KeyedRequests keyedRequests,
      ResultRecorder recorder) {
    this.counters = counters;
    this.clock = clock;
    this.inFlight = inFlight;
    this.admission = admission;
    this.callers = callers;
    this.keyedRequests = keyedRequests;
    this.recorder = recorder;
  }

  /** An execution has ended; the result is null unless it succeeded. Ignores unknown references. */
  void onCompleted(String reference, Outcome outcome, double elapsedSeconds, byte[] result) {
    InFlightRequest request = inFlight.findExecuting(reference);
    if (request != null) {
      complete(request, outcome, elapsedSeconds, result);
    }
  }

  /** An execution is blocked on the dependency call announced in the message of this number. */
  void onBlocked(String reference, long announcementNumber, byte[] callBody) {
    InFlightRequest request = inFlight.findExecuting(reference);
    if (request == null) {
      return;
    }
    UnconfirmedResponses.confirm(request);
    request.callAnnouncementNumber = announcementNumber;
    request.hasFailedCall = false;
    request.callBody = callBody;
    double now = clock.now();
    admission.events().blockedOnCall(now, request.id);
    admission.completeBatchSoon(now);
  }

  /** The worker pool has restarted: its executions are broken and may have had their effect. */
  void workerPoolRestarted() {
    for (InFlightRequest request : List.copyOf(inFlight.all())) {
      if (request.isExecuting() && !recorder.isWritingIntent(request)) {
        double elapsed = clock.now() - request.startedAtSeconds;
        complete(request, Outcome.BROKEN, elapsed, null);
      }
    }
  }

  /** Completes an execution that was decided on; its outcome is VOID if it never began. */
  void complete(InFlightRequest request, Outcome outcome, double elapsedSeconds, byte[] result) {
    if (!recorder.isWritingIntent(request) && !request.isRejectedBeforeSend) {
      counters.add(
          outcome == Outcome.SUCCESS ? Count.EXECUTIONS_SUCCEEDED : Count.EXECUTIONS_UNSUCCESSFUL);
    }
    request.isCompleted = true;
    UnconfirmedResponses.confirm(request);
    cancelCall(request);
    if (!completeKey(request, outcome, result)) {
      callers.answer(request, outcome == Outcome.SUCCESS ? Answer.served(result) : Answer.failed());
    }
    request.changed.signal();
    double now = clock.now();
    admission.events().completed(now, request.id, outcome, elapsedSeconds);
    admission.completeBatchSoon(now);
  }

  private static void cancelCall(InFlightRequest request) {
    request.callNumber++;
    if (request.call != null) {
      request.enqueue(InFlightRequest.Step.CANCEL_CALL);
    }
  }

  /** Completes the key of a request; true if the answer must wait until the result is on disk. */
  private boolean completeKey(InFlightRequest request, Outcome outcome, byte[] result) {
    if (!request.isCurrentAttempt()) {
      return false;
    }
    if (outcome == Outcome.VOID) {
      keyedRequests.abandonKey(request.entry);
      return false;
    }
    return keyedRequests.complete(request.entry, outcome == Outcome.SUCCESS ? result : null);
  }
}
