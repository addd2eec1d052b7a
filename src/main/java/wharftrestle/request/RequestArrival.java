package wharftrestle.request;

import wharftrestle.admission.Admission;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;

/**
 * Checks a request before the admission module does: rejects it if the in-flight table is full or
 * the worker pool has not started, then applies the rules of its idempotency key. Guarded by the
 * coordinator's lock.
 */
final class RequestArrival {

  /** Passed to the admission module as the duplicated id if that request is not in flight here. */
  private static final long DUPLICATE_OF_NO_REQUEST = -1;

  private final Counters counters;
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final CallerNotifier callers;
  private final RequestDeadlines deadlines;
  private final double maxRetryAfterSeconds;
  private final KeyedRequests keyedRequests;
  private final PeerClaims claims;
  private final ResultRecorder recorder;

  RequestArrival(RequestParts parts) {
    counters = parts.counters;
    clock = parts.clock;
    inFlight = parts.inFlight;
    admission = parts.admission;
    callers = parts.callers;
    deadlines = parts.deadlines;
    maxRetryAfterSeconds = parts.settings.retries().maxRetryAfterSeconds();
    keyedRequests = parts.keyedRequests;
    claims = parts.claims;
    recorder = parts.recorder;
  }

  /** Submits the request to the admission module, or answers it. */
  void submitOrAnswer(InFlightRequest request) {
    request.isArrivalProcessed = true;
    if (request.isAnswered) {
      return;
    }
    KeyEntry<InFlightRequest> existing =
        request.key == null ? null : keyedRequests.table().find(request.key);
    boolean mayHaveExecuted =
        (existing != null && existing.mayHaveRun()) || (request.key != null && !claims.ownsKeys());
    if (inFlight.isFullFor(request.connection)) {
      // Each request in flight has a thread, so their number must be bounded to bound the memory.
      rejectOrFail(request, mayHaveExecuted);
    } else if (!admission.isStarted() && hasResultFor(existing, request)) {
      // The result was recorded before a restart, and is returned without the worker pool.
      request.backstopAtSeconds = deadlines.backstopAtSeconds(request.incoming, clock.now());
      keyedRequests.completeAttached(request, existing);
    } else if (!admission.isStarted()) {
      rejectOrFail(request, mayHaveExecuted);
    } else if (inFlight.findByReference(request.incoming.reference()) != null) {
      // The worker pool could not distinguish its execution from the one in flight.
      rejectOrFail(request, true);
    } else {
      register(request);
    }
  }

  private static boolean hasResultFor(KeyEntry<InFlightRequest> existing, InFlightRequest request) {
    return existing != null
        && existing.state() == KeyState.SUCCEEDED
        && existing.covers(request.incoming.receivedAtMillis())
        && existing.body().matches(request.incoming.body());
  }

  /**
   * Rejects a request before the admission module sees it. If it may have executed, fails it
   * instead, as a rejection states that it has not.
   */
  private void rejectOrFail(InFlightRequest request, boolean mayHaveExecuted) {
    counters.add(Count.GUARD_REJECTIONS);
    callers.answer(
        request, mayHaveExecuted ? Answer.failed() : Answer.rejected(maxRetryAfterSeconds, false));
  }

  private void register(InFlightRequest request) {
    double now = clock.now();
    request.backstopAtSeconds = deadlines.backstopAtSeconds(request.incoming, now);
    inFlight.add(request);
    keyedRequests.expire(now);
    if (request.key == null || isKeyAccepted(request, now)) {
      submit(request, now);
    }
  }

  private boolean isKeyAccepted(InFlightRequest request, double now) {
    KeyEntry<InFlightRequest> original =
        keyedRequests.table().findDuplicate(request.key, request.incoming.receivedAtMillis());
    if (original == null) {
      return isNewKeyAccepted(request, now);
    }
    if (!original.body().matches(request.incoming.body())) {
      // The same key with another body is a conflict: the stored result belongs to another request.
      counters.add(Count.INVALID);
      callers.answer(request, Answer.conflict());
      return false;
    }
    request.entry = original;
    return true;
  }

  private boolean isNewKeyAccepted(InFlightRequest request, double now) {
    if (claims.isClaimUnanswered(request)) {
      // The peer owns the key and may have executed it, so it can be neither executed nor rejected.
      callers.answer(request, Answer.deadlineExceeded());
      return false;
    }
    ResultStore.RejectionReason reason = recorder.rejectionReason();
    if (reason != null) {
      counters.add(Count.GUARD_REJECTIONS);
      callers.answer(request, recorder.newRejection(reason));
      return false;
    }
    if (!keyedRequests.reserveMemory(request)) {
      callers.answer(request, keyedRequests.newMemoryRejection(now, maxRetryAfterSeconds));
      return false;
    }
    return true;
  }

  private void submit(InFlightRequest request, double now) {
    IncomingRequest incoming = request.incoming;
    admission
        .events()
        .arrived(
            now,
            new Admission.Request(
                request.id,
                incoming.isRetry(),
                incoming.queueingDelaySeconds(),
                incoming.classIndex(),
                incoming.tenantIndex(),
                incoming.memoryKb(),
                incoming.callerId(),
                incoming.expectedWorkSeconds(),
                incoming.subject(),
                duplicateIdOf(request),
                0,
                incoming.rank()));
    admission.completeBatch(now);
  }

  private static long duplicateIdOf(InFlightRequest request) {
    if (request.entry == null) {
      return 0;
    }
    InFlightRequest attempt = request.entry.attempt();
    return attempt == null ? DUPLICATE_OF_NO_REQUEST : attempt.id;
  }
}
