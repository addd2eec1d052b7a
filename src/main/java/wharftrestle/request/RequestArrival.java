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

  /** Value for the module if the execution belongs to no request that is in flight here. */
  private static final long DUPLICATE_OF_NO_REQUEST = -1;

  private final Counters counters;
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final CallerNotifier callers;
  private final RequestDeadlines deadlines;
  private final double maxRetryAfterSeconds;
  private final KeyedRequests keyed;
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
    keyed = parts.keyed;
    claims = parts.claims;
    recorder = parts.recorder;
  }

  /** Submits the request to the admission module, or answers it. */
  void arrive(InFlightRequest request) {
    request.hasArrived = true;
    if (request.isAnswered) {
      return;
    }
    KeyEntry<InFlightRequest> known = request.key == null ? null : keyed.table().find(request.key);
    boolean mayHaveExecuted =
        (known != null && known.mayHaveRun()) || (request.key != null && !claims.ownsKeys());
    if (inFlight.isFull()) {
      // Each request in flight has a thread, so their number must be bounded to bound the memory.
      rejectByGuard(request, mayHaveExecuted);
    } else if (!admission.isStarted() && isAnsweredBy(known, request)) {
      // The result was recorded before a restart, and is returned without the worker pool.
      request.backstopSeconds = deadlines.backstopSeconds(request.incoming, clock.now());
      keyed.completeAttached(request, known);
    } else if (!admission.isStarted()) {
      rejectByGuard(request, mayHaveExecuted);
    } else if (inFlight.withReference(request.incoming.reference()) != null) {
      // The worker pool could not distinguish its execution from the one in flight.
      rejectByGuard(request, true);
    } else {
      register(request);
    }
  }

  private static boolean isAnsweredBy(KeyEntry<InFlightRequest> known, InFlightRequest request) {
    return known != null
        && known.state() == KeyState.SUCCEEDED
        && known.covers(request.incoming.receivedAtMillis())
        && known.body().matches(request.incoming.body());
  }

  /** Rejects a request, or fails it if it may have executed, which a rejection rules out. */
  private void rejectByGuard(InFlightRequest request, boolean mayHaveExecuted) {
    counters.add(Count.GUARD_REJECTIONS);
    callers.answer(
        request, mayHaveExecuted ? Answer.failed() : Answer.rejected(maxRetryAfterSeconds, false));
  }

  private void register(InFlightRequest request) {
    double now = clock.now();
    request.backstopSeconds = deadlines.backstopSeconds(request.incoming, now);
    inFlight.add(request);
    keyed.expire(now);
    if (request.key == null || isKeyAccepted(request, now)) {
      submit(request, now);
    }
  }

  private boolean isKeyAccepted(InFlightRequest request, double now) {
    KeyEntry<InFlightRequest> prior =
        keyed.table().findDuplicate(request.key, request.incoming.receivedAtMillis());
    if (prior == null) {
      return isNewKeyAccepted(request, now);
    }
    if (!prior.body().matches(request.incoming.body())) {
      // The same key with another body is a conflict: the stored result belongs to another request.
      counters.add(Count.INVALID);
      callers.answer(request, Answer.conflict());
      return false;
    }
    request.entry = prior;
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
      callers.answer(request, recorder.rejected(reason));
      return false;
    }
    if (!keyed.reserveMemory(request)) {
      callers.answer(request, keyed.rejectedForMemory(now, maxRetryAfterSeconds));
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
                duplicateOf(request),
                0,
                incoming.rank()));
    admission.completeBatch(now);
  }

  private static long duplicateOf(InFlightRequest request) {
    if (request.entry == null) {
      return 0;
    }
    InFlightRequest holder = request.entry.attempt();
    return holder == null ? DUPLICATE_OF_NO_REQUEST : holder.id;
  }
}
