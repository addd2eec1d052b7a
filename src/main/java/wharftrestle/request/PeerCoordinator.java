package wharftrestle.request;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.handover.PeerProcess.CompletedKey;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyMemoryBudget;

/**
 * Passes the steps of a handover and the messages of the peer process, each under the coordinator's
 * lock, to {@link KeyOwnershipTransfer}, which implements the protocol. Called by the peer link and
 * by the handover, on any thread. Releases the lock before it waits for the peer.
 */
public final class PeerCoordinator {

  /** Fraction of the host's memory and dependency capacity for each of two processes. */
  private static final double SHARE_OF_TWO = 0.5;

  private final ReentrantLock lock;
  private final EventClock clock;
  private final AdmissionDriver admission;
  private final IdempotencyTable<InFlightRequest> keys;
  private final KeyOwnershipTransfer<InFlightRequest> ownership;
  private final PeerClaims claims;
  private final KeyMemoryBudget memory;
  private ResultRecorder recorder;
  private double keysMissingUntilSeconds = Double.NEGATIVE_INFINITY;

  PeerCoordinator(
      ReentrantLock lock,
      EventClock clock,
      AdmissionDriver admission,
      KeyedRequests keyedRequests,
      PeerClaims claims,
      KeyMemoryBudget memory) {
    this.lock = lock;
    this.clock = clock;
    this.admission = admission;
    this.claims = claims;
    this.memory = memory;
    keys = keyedRequests.table();
    ownership = claims.ownership();
  }

  /** Called before the first request. A setter, as the two objects refer to each other. */
  void connect(ResultRecorder resultRecorder) {
    recorder = resultRecorder;
  }

  // ---- Steps of a handover ----

  /** Keys and bytes of results in use, and the maximum of each. */
  public Capabilities.KeyCapacity keyCapacity() {
    lock.lock();
    try {
      return new Capabilities.KeyCapacity(
          keys.size(), recorder.maxKeys(), keys.resultBytes(), memory.maxResultBytes());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Sends all completed keys to the peer, and from now on each key that completes; this process
   * still owns them. Waits for the peer, so the lock is held for one key at a time.
   *
   * @return how many were sent, or -1 if the peer did not read them in time
   */
  public int sendCompletedKeys(PeerProcess receiver) {
    List<KeyDigest> digests;
    lock.lock();
    try {
      digests = ownership.startSendingKeys(receiver);
    } finally {
      lock.unlock();
    }
    return send(receiver, digests);
  }

  /** Sends all completed keys to a peer of format 1, which owns all keys already. */
  public int sendCompletedKeysAfterHandover(PeerProcess receiver) {
    List<KeyDigest> digests;
    lock.lock();
    try {
      digests = keys.settledDigests();
    } finally {
      lock.unlock();
    }
    return send(receiver, digests);
  }

  private int send(PeerProcess receiver, List<KeyDigest> keysToSend) {
    int sent = 0;
    for (KeyDigest key : keysToSend) {
      CompletedKey completedKey;
      lock.lock();
      try {
        completedKey = ownership.completedKey(key, recorder.isEnabled(), clock.now());
      } finally {
        lock.unlock();
      }
      if (completedKey != null) {
        if (!receiver.sendCompletedKey(completedKey)) {
          return -1;
        }
        sent++;
      }
    }
    return sent;
  }

  /** From now on, keys that complete are not sent to the peer. */
  public void stopSendingSettledKeys() {
    lock.lock();
    try {
      ownership.stopSendingKeys();
    } finally {
      lock.unlock();
    }
  }

  /** True if a key that completed since {@link #sendCompletedKeys} could not be sent. */
  public boolean hasUnsentKeys() {
    lock.lock();
    try {
      return ownership.isLagging();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Makes the peer the owner of all keys in one step. Executions in flight continue in this
   * process, which sends their outcomes to the peer.
   *
   * @return how many keys are in flight here
   */
  public int transferKeys(PeerProcess receiver) {
    lock.lock();
    try {
      int inFlightCount = ownership.transferTo(receiver, clock.now());
      admission.setQuota(SHARE_OF_TWO);
      return inFlightCount;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Attaches the predecessor, from which this process takes over, and which sends its keys next.
   *
   * @param stretchSeconds by how much the predecessor's idempotency windows are shorter
   */
  public void joinPeer(PeerProcess predecessor, double stretchSeconds) {
    lock.lock();
    try {
      ownership.attach(predecessor, stretchSeconds);
      admission.setQuota(SHARE_OF_TWO);
    } finally {
      lock.unlock();
    }
  }

  /** Returns all keys to the peer, as this process took over, cannot serve and executed nothing. */
  public void returnKeys() {
    lock.lock();
    try {
      ownership.returnOwnership();
      claims.wakeAllWaiters();
    } finally {
      lock.unlock();
    }
  }

  /** The peer is lost: the outcome of its executions is unknown, so their keys fail. */
  public void peerLost() {
    lock.lock();
    try {
      ownership.onPeerLost();
      recorder.writeUnsavedResults();
      claims.wakeAllWaiters();
      admission.setQuota(1);
    } finally {
      lock.unlock();
    }
  }

  /** Fails unknown keys for this long, as keys that have executed may be missing here. */
  public void failUnknownKeysFor(double seconds) {
    lock.lock();
    try {
      keys.failUnknownKeysUntil(clock.now() + seconds);
    } finally {
      lock.unlock();
    }
  }

  // ---- Messages of the peer ----

  /** The peer sent a completed key. */
  public void keySettled(CompletedKey completedKey) {
    boolean isFirstMissingKey = false;
    lock.lock();
    try {
      double now = clock.now();
      if (!ownership.onKeyReceived(completedKey, now)) {
        isFirstMissingKey = now > keysMissingUntilSeconds;
        keysMissingUntilSeconds =
            Math.max(keysMissingUntilSeconds, now + completedKey.remainingSeconds());
      }
    } finally {
      lock.unlock();
    }
    if (isFirstMissingKey) {
      Logger.warn(
          "no memory for a key of the peer process, unknown keys fail for seconds={}",
          Math.round(completedKey.remainingSeconds()));
    }
  }

  /** The peer queues or executes a key, or has completed it. */
  public void keyUpdated(KeyUpdate update) {
    lock.lock();
    try {
      ownership.onKeyReceived(update, clock.now());
      admission.completeBatchIfStarted();
    } finally {
      lock.unlock();
    }
  }

  /** An execution of the peer has ended; the result is null unless it succeeded. */
  public void executionCompleted(String key, byte[] result) {
    lock.lock();
    try {
      ownership.onPeerCompletion(key, result);
      admission.completeBatchIfStarted();
    } finally {
      lock.unlock();
    }
  }

  /** The peer released a key that it never executed. */
  public void keyReleased(String key) {
    lock.lock();
    try {
      ownership.onPeerRelease(key);
      admission.completeBatchIfStarted();
    } finally {
      lock.unlock();
    }
  }

  /** The peer claims a key that this process owns, in order to execute it. */
  public void keyClaimed(String key, long receivedAtMillis, byte[] body) {
    KeyOwnershipTransfer.StoredReply<InFlightRequest> reply;
    lock.lock();
    try {
      reply = ownership.onClaim(key, receivedAtMillis, body, clock.now());
    } finally {
      lock.unlock();
    }
    if (reply != null) {
      // The result may have to be read from disk, which must not happen under the lock.
      reply.send(
          reply.entry().isOnDisk()
              ? recorder.read(key, reply.entry().location())
              : reply.resultInMemory());
    }
  }

  /** The peer is about to execute a key, whose intent this process records. */
  public void intentRequested(String key) {
    lock.lock();
    try {
      recorder.writeIntentForPeer(key);
    } finally {
      lock.unlock();
    }
  }

  /** The peer has written an intent for this process, or failed to. */
  public void intentWritten(String key, boolean isWritten) {
    lock.lock();
    try {
      KeyEntry<InFlightRequest> entry = keys.find(key);
      if (entry != null && entry.attempt() != null) {
        recorder.intentWriteCompleted(entry.attempt(), isWritten);
        admission.completeBatchIfStarted();
      }
    } finally {
      lock.unlock();
    }
  }

  /** The peer has written a result for this process, or failed to. */
  public void resultSaved(String key) {
    lock.lock();
    try {
      KeyEntry<InFlightRequest> entry = keys.find(key);
      if (entry != null) {
        recorder.resultWriteCompleted(entry, -1);
      }
    } finally {
      lock.unlock();
    }
  }

  /** The peer granted a key to this process, which may execute it. */
  public void keyGranted(String key) {
    lock.lock();
    try {
      claims.wakeWaiters(key, true);
    } finally {
      lock.unlock();
    }
  }
}
