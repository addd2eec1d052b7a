package wharftrestle.request;

import org.tinylog.Logger;
import wharftrestle.admission.AdmissionSettings;

/**
 * Handles executions that may not have received the response to their dependency call, as the link
 * to the worker pool broke behind it. Either the execution has read the response and announces its
 * next call or its end, or it waits for the response without end: nothing else tells the two apart,
 * and a second copy of the response could be taken for the response to its next call.
 *
 * <p>Where the class permits it, the call is skipped; that command names the call, so it has no
 * effect on an execution that has read the response. Otherwise the request waits for an
 * announcement for a limited time and is then answered as failed, upon which the worker pool ends
 * an execution that still waits. Guarded by the coordinator's lock.
 */
final class UnconfirmedResponses {
  private final AdmissionSettings settings;
  private final RequestDeadlines deadlines;
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final CallerNotifier callers;

  UnconfirmedResponses(
      AdmissionSettings settings,
      RequestDeadlines deadlines,
      EventClock clock,
      InFlightTable inFlight,
      AdmissionDriver admission,
      CallerNotifier callers) {
    this.settings = settings;
    this.deadlines = deadlines;
    this.clock = clock;
    this.inFlight = inFlight;
    this.admission = admission;
    this.callers = callers;
  }

  /**
   * It is uncertain whether this execution has read the response that was sent to it: skips its
   * call, or waits for its next announcement for as long as an answer of its class has its full
   * weight. Ignores unknown references.
   */
  void onUnconfirmed(String reference) {
    InFlightRequest request = inFlight.findExecuting(reference);
    if (request == null || request.isAnswered) {
      return;
    }
    if (settings.classes().get(request.incoming.classIndex()).weightWithoutCall() > 0) {
      request.enqueue(new InFlightRequest.SkipCall(request.callAnnouncementNumber));
      return;
    }
    double waitSeconds = deadlines.latencyObjectiveSeconds(request.incoming);
    request.responseConfirmationDueAtSeconds = clock.now() + waitSeconds;
    request.changed.signal();
  }

  /** The execution has announced its next call or its end, so it has read the response. */
  static void confirm(InFlightRequest request) {
    request.responseConfirmationDueAtSeconds = Double.POSITIVE_INFINITY;
  }

  /** Fails a request whose execution has announced nothing in time; false if it still may. */
  boolean expire(InFlightRequest request) {
    if (clock.now() < request.responseConfirmationDueAtSeconds) {
      return false;
    }
    confirm(request);
    if (!request.isAnswered) {
      Logger.info(
          "execution announced nothing since the worker pool link broke, request failed reference={}",
          request.incoming.reference());
      callers.answer(request, Answer.failed());
      admission.callerDisconnected(request);
    }
    return true;
  }
}
