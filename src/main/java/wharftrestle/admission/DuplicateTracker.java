package wharftrestle.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Detects duplicate requests and attaches them to the request that they duplicate. The key of a
 * request with an idempotency key is retained before the request can be executed; its duplicates
 * are answered with its result and never executed. Idempotent requests for the same resource share
 * a result in the same way while it is fresh.
 */
final class DuplicateTracker {
  /** Seconds for which a key is retained beyond its window, to cover rounding of times. */
  private static final double KEY_MARGIN_SECONDS = 0.02;

  private final double resultSharingSeconds;
  private final Admission.Actions actions;
  private final RequestTable requests;
  private final MemoryBudget memory;
  private final Map<Long, TrackedRequest> retained = new LinkedHashMap<>();
  private final PriorityQueue<TrackedRequest> byExpiry =
      new PriorityQueue<>(
          (a, b) ->
              a.keyRetainedUntil != b.keyRetainedUntil
                  ? Double.compare(a.keyRetainedUntil, b.keyRetainedUntil)
                  : Long.compare(a.id(), b.id()));

  DuplicateTracker(
      AdmissionSettings settings,
      Admission.Actions actions,
      RequestTable requests,
      MemoryBudget memory) {
    resultSharingSeconds = settings.timing().resultSharingSeconds();
    this.actions = actions;
    this.requests = requests;
    this.memory = memory;
  }

  /**
   * Attaches an arrived request to the request that it duplicates, or retains its key.
   *
   * @return false if its key must be retained but memory is short, so that it must be rejected
   */
  boolean register(double now, TrackedRequest arrived) {
    boolean keyed = arrived.hasIdempotencyKey();
    if (!keyed && !sharesResult(arrived)) {
      return true;
    }
    if (arrived.request.duplicateOf() != 0) {
      TrackedRequest prior = latestAttempt(arrived.request.duplicateOf());
      // A prior attempt that is unknown here or has been executed must not be executed again. This
      // attempt replaces a prior one that ended without execution.
      if (prior == null || prior.state != TrackedRequest.State.DONE || prior.executed) {
        actions.attach(arrived.id());
        requests.attach(arrived, prior);
        return true;
      }
      prior.successor = arrived;
    }
    double until = retainUntil(arrived);
    if (until <= now || memory.lacksKeyMemory()) {
      return !(keyed && until > now);
    }
    retain(now, arrived, until);
    return true;
  }

  /** Removes the keys that are past their retention time. */
  void expireKeys(double now) {
    for (TrackedRequest first = byExpiry.peek();
        first != null && first.keyRetainedUntil < now;
        first = byExpiry.peek()) {
      byExpiry.poll();
      retained.remove(first.id());
      if (first.keyRetained) {
        first.keyRetained = false;
        memory.removeKey();
      }
    }
  }

  /** Releases the key of a request that ended without execution, so that a retry is executed. */
  void requestCompleted(TrackedRequest request) {
    if (!request.keyRetained) {
      return;
    }
    if (request.executed) {
      // The host still has the key, and a duplicate of a request that is unknown here is attached.
      retained.remove(request.id());
      return;
    }
    request.keyRetained = false;
    memory.removeKey();
    actions.releaseKey(request.id());
  }

  private boolean sharesResult(TrackedRequest request) {
    return request.isIdempotent()
        && resultSharingSeconds > 0
        && request.request.resourceKey() != null;
  }

  private TrackedRequest latestAttempt(long id) {
    TrackedRequest attempt = retained.get(id);
    while (attempt != null && attempt.successor != null) {
      attempt = attempt.successor;
    }
    return attempt;
  }

  /** Returns until when a key is retained; for shared results, while the result may be fresh. */
  private double retainUntil(TrackedRequest request) {
    return request.hasIdempotencyKey()
        ? request.reachedHostAt
            + request.requestClass.idempotencyWindowSeconds()
            + KEY_MARGIN_SECONDS
        : request.objectiveAt + resultSharingSeconds;
  }

  private void retain(double now, TrackedRequest request, double until) {
    request.keyRetained = true;
    request.keyRetainedUntil = until;
    memory.addKey();
    retained.put(request.id(), request);
    byExpiry.add(request);
    actions.retainKey(request.id(), until - now);
  }
}
