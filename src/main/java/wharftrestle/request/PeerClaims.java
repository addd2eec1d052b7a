package wharftrestle.request;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.idempotency.IdempotencyTable;

/**
 * What the requests of this process need of the peer process that owns their keys: a claim before
 * they are taken in, an announcement before they execute, a release at their end. Owns the requests
 * that wait for the peer. Guarded by the coordinator's lock, which {@link #claim} gives up while it
 * waits and no method holds while it writes.
 */
final class PeerClaims implements KeyOwnershipTransfer.Host<InFlightRequest> {
  private final ReentrantLock lock;
  private final EventClock clock;
  private final RequestDeadlines deadlines;
  private final KeyedRequests keyed;
  private final KeyOwnershipTransfer<InFlightRequest> ownership;
  private final Set<InFlightRequest> waiting = new HashSet<>();
  private ResultRecorder recorder;

  PeerClaims(
      ReentrantLock lock, EventClock clock, RequestDeadlines deadlines, KeyedRequests keyed) {
    this.lock = lock;
    this.clock = clock;
    this.deadlines = deadlines;
    this.keyed = keyed;
    ownership = new KeyOwnershipTransfer<>(keyed.table(), this);
  }

  /** Before the first request; both refer to each other. */
  void connect(ResultRecorder results) {
    recorder = results;
  }

  KeyOwnershipTransfer<InFlightRequest> ownership() {
    return ownership;
  }

  /** True where this process decides on all keys. */
  boolean ownsKeys() {
    return ownership.isOwner();
  }

  /** True where the peer must be asked before the request is taken in; takes the lock. */
  boolean mustClaim(InFlightRequest request) {
    lock.lock();
    try {
      return ownership.mustClaim(request.key, request.incoming.receivedAtMillis());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Asks the peer for the key of a request, and waits until it answers, is lost, or the answer is
   * due. Takes the lock, and gives it up while it waits.
   */
  void claim(InFlightRequest request) {
    lock.lock();
    try {
      if (!mustClaim(request)) {
        return;
      }
      IncomingRequest incoming = request.incoming;
      waiting.add(request);
      ownership.peer().sendClaim(request.key, incoming.receivedAtMillis(), incoming.body());
      double dueAt = deadlines.backstopSeconds(incoming, clock.now());
      while (isAwaitingPeer(request) && clock.now() < dueAt) {
        request.changed.awaitNanos(EventClock.waitNanos(dueAt - clock.now()));
      }
      waiting.remove(request);
    } catch (InterruptedException e) {
      throw new IllegalStateException("nobody interrupts a request", e);
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

  /** True where the peer owns the key and has not let this process decide on it. */
  boolean isClaimUnanswered(InFlightRequest request) {
    return ownership.peer() != null && !ownership.isOwner() && !request.isKeyGranted;
  }

  /**
   * Has the peer know of an execution before it begins, so that none is repeated should this
   * process end early. Takes the lock, and waits for the write without it.
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

  /** A request has left the table; the key is released where no other request has it. */
  void releaseKeyOf(InFlightRequest request, Iterable<InFlightRequest> inFlight) {
    if (ownership.peer() == null || request.key == null) {
      return;
    }
    boolean isKeyInUse = waiting.stream().anyMatch(request::hasSameKey);
    for (InFlightRequest other : inFlight) {
      isKeyInUse |= other.key != null && request.hasSameKey(other);
    }
    ownership.sendRelease(request.key, isKeyInUse);
  }

  /** Every request that waits for the peer looks again. */
  void wakeAll() {
    waiting.forEach(request -> request.changed.signal());
  }

  // ---- What the ownership of keys needs of the requests ----

  @Override
  public void wakeWaiters(String key, boolean isGranted) {
    for (InFlightRequest request : waiting) {
      if (key.equals(request.key)) {
        request.isKeyGranted |= isGranted;
        request.changed.signal();
      }
    }
  }

  @Override
  public long arrivalUnixMillis(InFlightRequest holder) {
    return holder.incoming.receivedAtMillis();
  }

  @Override
  public double windowSeconds(String key) {
    int classIndex = InFlightRequest.classIndexOf(key);
    return deadlines.idempotencyWindowSeconds(classIndex) + IdempotencyTable.WINDOW_SLACK_SECONDS;
  }

  @Override
  public void onPeerCompletion(KeyEntry<InFlightRequest> entry, byte[] result) {
    keyed.complete(entry, result);
  }

  @Override
  public void onPeerRelease(KeyEntry<InFlightRequest> entry) {
    recorder.neverExecuted(entry);
  }
}
