package wharftrestle.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Handles duplicates. A request with an idempotency key has its key retained before it can be
 * executed, and what duplicates it attaches to its result and is never executed again. Idempotent
 * requests share results in the same way while a result is fresh.
 */
final class DuplicateTracker {
  /** Seconds for which a key is retained beyond its window, for rounding. */
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
   * Attaches an arrived request to the one that it duplicates, or retains its key.
   *
   * @return false where its key must be retained and cannot, so that it must be rejected
   */
  boolean register(double now, TrackedRequest arrived) {
    boolean keyed = arrived.hasIdempotencyKey();
    if (!keyed && !sharesResult(arrived)) {
      return true;
    }
    if (arrived.request.duplicateOf() != 0) {
      TrackedRequest prior = latestAttempt(arrived.request.duplicateOf());
      // Unknown here or executed: never again. Known to have ended unexecuted: this attempt
      // replaces it.
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

  /** Drops the keys whose time is over. */
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

  /** Releases the key of a request that ended unexecuted, so that a retry may be executed. */
  void requestEnded(TrackedRequest request) {
    if (!request.keyRetained) {
      return;
    }
    if (request.executed) {
      // The host still knows the key: a duplicate that finds no request here is attached anyway.
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

  /** A shared result's entry lasts while the request may be open and its result fresh. */
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
