package wharftrestle.request;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.Condition;

/**
 * The requests that have been registered for the admission module, by id and by their reference at
 * the worker pool. Guarded by the coordinator's lock, except {@link #setMaxInFlight}.
 */
final class InFlightTable {
  /** Requests that a connection may have in flight for each one that is free. */
  private static final int SHARE_OF_FREE = 2;

  private final Map<Long, InFlightRequest> byId = new HashMap<>();
  private final Map<String, InFlightRequest> byReference = new HashMap<>();
  private final Condition emptied;
  private volatile int maxInFlight;

  /** Signals the condition whenever the table becomes empty. */
  InFlightTable(Condition emptied, int maxInFlight) {
    this.emptied = emptied;
    this.maxInFlight = maxInFlight;
  }

  void setMaxInFlight(int requests) {
    maxInFlight = requests;
  }

  /**
   * Returns whether a connection may add no further request. It may have a multiple of what is
   * still free, so that however many requests one connection sends, others find room: the dynamic
   * thresholds by which switches share a buffer (Choudhury and Hahne, 1998).
   */
  boolean isFullFor(ConnectionUsage connection) {
    return connection.inFlight >= SHARE_OF_FREE * (maxInFlight - byId.size());
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

  /** Finds a request by its id; null if it is not in flight. */
  InFlightRequest findById(long id) {
    return byId.get(id);
  }

  /** Finds a request by its reference; null if it is not in flight. */
  InFlightRequest findByReference(String reference) {
    return byReference.get(reference);
  }

  /** Finds a request that is executing by its reference; null if there is none. */
  InFlightRequest findExecuting(String reference) {
    InFlightRequest request = byReference.get(reference);
    return request == null || !request.isExecuting() ? null : request;
  }

  void add(InFlightRequest request) {
    byId.put(request.id, request);
    request.connection.inFlight++;
    byReference.put(request.incoming.reference(), request);
  }

  /** Removes a request; no effect if it was never added. */
  void remove(InFlightRequest request) {
    if (byId.remove(request.id) != null) {
      request.connection.inFlight--;
    }
    byReference.remove(request.incoming.reference(), request);
    if (byId.isEmpty()) {
      emptied.signalAll();
    }
  }

  /** Waits until the table is empty; false if it is not after this many seconds. */
  boolean awaitEmpty(double seconds) throws InterruptedException {
    long remainingNanos = EventClock.waitNanos(seconds);
    while (!byId.isEmpty() && remainingNanos > 0) {
      remainingNanos = emptied.awaitNanos(remainingNanos);
    }
    return byId.isEmpty();
  }
}
