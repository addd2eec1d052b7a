package wharftrestle.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.Condition;

/**
 * The requests that the admission module may know: by their id and by their reference at the worker
 * pool. Guarded by the coordinator's lock, but for {@link #setMaxInFlight}.
 */
final class InFlightTable {
  private final Map<Long, InFlightRequest> byId = new HashMap<>();
  private final Map<String, InFlightRequest> byReference = new HashMap<>();
  private final Condition emptied;
  private volatile int maxInFlight;

  /** The condition is signalled whenever the last request leaves. */
  InFlightTable(Condition emptied, int maxInFlight) {
    this.emptied = emptied;
    this.maxInFlight = maxInFlight;
  }

  void setMaxInFlight(int requests) {
    maxInFlight = requests;
  }

  boolean isFull() {
    return byId.size() >= maxInFlight;
  }

  int size() {
    return byId.size();
  }

  Collection<InFlightRequest> all() {
    return byId.values();
  }

  boolean contains(InFlightRequest request) {
    return byId.containsKey(request.id);
  }

  /** Null where no such request is in flight. */
  InFlightRequest withId(long id) {
    return byId.get(id);
  }

  /** Null where no request of this reference is in flight. */
  InFlightRequest withReference(String reference) {
    return byReference.get(reference);
  }

  /** The request whose execution is under way under this reference; null for none. */
  InFlightRequest executing(String reference) {
    InFlightRequest request = byReference.get(reference);
    return request == null || !request.isExecuting() ? null : request;
  }

  void add(InFlightRequest request) {
    byId.put(request.id, request);
    byReference.put(request.incoming.reference(), request);
  }

  /** Also takes requests that were never added. */
  void remove(InFlightRequest request) {
    byId.remove(request.id);
    byReference.remove(request.incoming.reference(), request);
    if (byId.isEmpty()) {
      emptied.signalAll();
    }
  }

  /** Waits until nothing is in flight, at most so long; false where something still is. */
  boolean awaitEmpty(double seconds) throws InterruptedException {
    long remainingNanos = EventClock.waitNanos(seconds);
    while (!byId.isEmpty() && remainingNanos > 0) {
      remainingNanos = emptied.awaitNanos(remainingNanos);
    }
    return byId.isEmpty();
  }
}
