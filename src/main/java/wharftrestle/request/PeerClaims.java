package wharftrestle.request;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyEntry;

/**
 * Coordinates the keys of this process's requests with the peer process during a handover: claims a
 * key from a peer that owns all keys before the request is accepted, announces executions to the
 * peer, and releases keys. Keeps the requests that wait for the peer's reply. Guarded by the
 * coordinator's lock, which {@link #claim} releases while it waits, and which no method holds while
 * it waits for a write.
 */
final class PeerClaims implements KeyOwnershipTransfer.Host<InFlightRequest> {
  private final ReentrantLock lock;
  private final EventClock clock;
  private final RequestDeadlines deadlines;
  private final KeyedRequests keyedRequests;
  private final KeyOwnershipTransfer<InFlightRequest> ownership;
  private final Set<InFlightRequest> waitingRequests = new HashSet<>();
  private ResultRecorder recorder;

  PeerClaims(
      ReentrantLock lock,
      EventClock clock,
      RequestDeadlines deadlines,
      KeyedRequests keyedRequests) {
    this.lock = lock;
    this.clock = clock;
    this.deadlines = deadlines;
    this.keyedRequests = keyedRequests;
    ownership = new KeyOwnershipTransfer<>(keyedRequests.table(), this);
  }

  /** Called before the first request. A setter, as the two objects refer to each other. */
  void connect(ResultRecorder resultRecorder) {
    recorder = resultRecorder;
  }

  KeyOwnershipTransfer<InFlightRequest> ownership() {
    return ownership;
  }

  /** True if this process owns all keys. */
  boolean ownsKeys() {
    return ownership.isOwner();
  }

  /**
   * True if the key must be claimed from the peer before the request is accepted. Acquires the
   * lock.
   */
  boolean mustClaim(InFlightRequest request) {
    lock.lock();
    try {
      return ownership.mustClaim(request.key, request.incoming.receivedAtMillis());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Claims the key of a request from the peer, and waits until the peer replies or is lost, or the
   * request's answer is due. Acquires the lock, and releases it while it waits.
   */
  void claim(InFlightRequest request) {
    lock.lock();
    try {
      if (!mustClaim(request)) {
        return;
      }
      IncomingRequest incoming = request.incoming;
      waitingRequests.add(request);
      ownership.peer().sendClaim(request.key, incoming.receivedAtMillis(), incoming.body());
      double dueAtSeconds = deadlines.backstopAtSeconds(incoming, clock.now());
      while (isAwaitingPeer(request) && clock.now() < dueAtSeconds) {
        request.changed.awaitNanos(EventClock.waitNanos(dueAtSeconds - clock.now()));
      }
      waitingRequests.remove(request);
    } catch (InterruptedException e) {
      throw new IllegalStateException(
          "request thread was interrupted, which nothing in the daemon does", e);
    } finally {
      lock.unlock();
    }
  }

  private boolean isAwaitingPeer(InFlightRequest request) {
    return ownership.peer() != null
        && !request.isKeyGranted
        && !request.isAnswered
        && !ownership.isKnown(request.key, request.incoming.receivedAtMillis());
  }

  /** True if the peer owns all keys and has not granted this one. */
  boolean isClaimUnanswered(InFlightRequest request) {
    return ownership.peer() != null && !ownership.isOwner() && !request.isKeyGranted;
  }

  /**
   * Announces an execution to the peer before it begins, so that the peer does not repeat it should
   * this process end early. Acquires the lock, and releases it before it waits for the write.
   */
  void announceExecution(InFlightRequest request) {
    PeerProcess peer;
    KeyUpdate announcement;
    lock.lock();
    try {
      peer = ownership.peer();
      announcement = ownership.announcementBeforeExecution(request.entry, clock.now());
    } finally {
      lock.unlock();
    }
    if (announcement != null) {
      peer.sendKeyAndAwaitWrite(announcement);
    }
  }

  /** Releases the key of a request that has left the table, unless another request has it. */
  void releaseKeyOf(InFlightRequest request, Iterable<InFlightRequest> inFlight) {
    if (ownership.peer() == null || request.key == null) {
      return;
    }
    boolean isKeyInUse = waitingRequests.stream().anyMatch(request::hasSameKey);
    for (InFlightRequest remaining : inFlight) {
      isKeyInUse |= remaining.key != null && request.hasSameKey(remaining);
    }
    ownership.sendRelease(request.key, isKeyInUse);
  }

  /** Wakes every request that waits for the peer, to check its state again. */
  void wakeAllWaiters() {
    waitingRequests.forEach(request -> request.changed.signal());
  }

  // ---- KeyOwnershipTransfer.Host ----

  @Override
  public void wakeWaiters(String key, boolean isGranted) {
    for (InFlightRequest request : waitingRequests) {
      if (key.equals(request.key)) {
        request.isKeyGranted |= isGranted;
        request.changed.signal();
      }
    }
  }

  @Override
  public long arrivalUnixMillis(InFlightRequest attempt) {
    return attempt.incoming.receivedAtMillis();
  }

  @Override
  public double windowSeconds(String key) {
    int classIndex = InFlightRequest.classIndexOf(key);
    return deadlines.idempotencyWindowSeconds(classIndex) + IdempotencyTable.WINDOW_SLACK_SECONDS;
  }

  @Override
  public void onPeerCompletion(KeyEntry<InFlightRequest> entry, byte[] result) {
    keyedRequests.complete(entry, result);
  }

  @Override
  public void onPeerRelease(KeyEntry<InFlightRequest> entry) {
    recorder.discardIntent(entry);
  }
}
