package wharftrestle.request;

import java.util.List;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.handover.PeerProcess.CompletedKey;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyMemoryBudget;

/**
 * Takes the steps of a handover and the messages of the peer process, each under the coordinator's
 * lock, to {@link KeyOwnershipTransfer}, which decides what they mean. Called by the link between
 * both processes and by the handover; never holds the lock while it waits for the peer.
 */
public final class PeerCoordinator {

  /** Part of the host's memory and dependency capacity that each of two processes has. */
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
      KeyedRequests keyed,
      PeerClaims claims,
      KeyMemoryBudget memory) {
    this.lock = lock;
    this.clock = clock;
    this.admission = admission;
    this.claims = claims;
    this.memory = memory;
    keys = keyed.table();
    ownership = claims.ownership();
  }

  /** Before the first request; both refer to each other. */
  void connect(ResultRecorder results) {
    recorder = results;
  }

  // ---- Steps of a handover ----

  /** The keys known now, and how many there can be. */
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
   * Sends all settled keys to the peer, and from now on each that settles; this process still owns
   * them. Waits for the peer, so the lock is held for one key at a time.
   *
   * @return how many were sent, or -1 where the peer did not take them
   */
  public int sendCompletedKeys(PeerProcess to) {
    List<KeyDigest> all;
    lock.lock();
    try {
      all = ownership.startSendingKeys(to);
    } finally {
      lock.unlock();
    }
    return send(to, all);
  }

  /** The same for a peer of format 1, which owns all keys by now. */
  public int sendCompletedKeysAfterHandover(PeerProcess to) {
    List<KeyDigest> all;
    lock.lock();
    try {
      all = keys.settledDigests();
    } finally {
      lock.unlock();
    }
    return send(to, all);
  }

  private int send(PeerProcess to, List<KeyDigest> keysToSend) {
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
        if (!to.sendCompletedKey(completedKey)) {
          return -1;
        }
        sent++;
      }
    }
    return sent;
  }

  /** Keys that completeBatch from now on are not sent any more. */
  public void stopSendingSettledKeys() {
    lock.lock();
    try {
      ownership.stopSendingKeys();
    } finally {
      lock.unlock();
    }
  }

  /** True where a key that settled during {@link #sendCompletedKeys} could not be sent. */
  public boolean hasUnsentKeys() {
    lock.lock();
    try {
      return ownership.isLagging();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Makes the peer the owner of all keys in one step. Keys in flight here stay here, and their ends
   * are sent.
   *
   * @return how many are in flight here
   */
  public int transferKeys(PeerProcess to) {
    lock.lock();
    try {
      int handed = ownership.transferTo(to, clock.now());
      admission.setShare(SHARE_OF_TWO);
      return handed;
    } finally {
      lock.unlock();
    }
  }

  /**
   * From now on there is a peer, whose keys follow and which this process takes over from.
   *
   * @param stretchSeconds by which the peer's idempotency windows are shorter
   */
  public void joinPeer(PeerProcess from, double stretchSeconds) {
    lock.lock();
    try {
      ownership.attach(from, stretchSeconds);
      admission.setShare(SHARE_OF_TWO);
    } finally {
      lock.unlock();
    }
  }

  /** This process took over and cannot serve: it has executed nothing and returns all keys. */
  public void returnKeys() {
    lock.lock();
    try {
      ownership.returnOwnership();
      claims.wakeAll();
    } finally {
      lock.unlock();
    }
  }

  /** The peer is lost: its executions have an unknown end, so their keys fail from now on. */
  public void peerLost() {
    lock.lock();
    try {
      ownership.onPeerLost();
      recorder.writeUnsavedResults();
      claims.wakeAll();
      admission.setShare(1);
    } finally {
      lock.unlock();
    }
  }

  /** Unknown keys fail for this long, as some that have executed may be missing here. */
  public void failUnknownKeysFor(double seconds) {
    lock.lock();
    try {
      keys.failUnknownKeysUntil(clock.now() + seconds);
    } finally {
      lock.unlock();
    }
  }

  // ---- Messages of the peer ----

  /** A key of the peer is settled. */
  public void keySettled(CompletedKey completedKey) {
    boolean isFirstLost = false;
    lock.lock();
    try {
      double now = clock.now();
      if (!ownership.onKeyReceived(completedKey, now)) {
        isFirstLost = now > keysMissingUntilSeconds;
        keysMissingUntilSeconds = Math.max(keysMissingUntilSeconds, now + completedKey.remainingSeconds());
      }
    } finally {
      lock.unlock();
    }
    if (isFirstLost) {
      Logger.warn(
          "no memory for all keys of the peer process, unknown keys fail seconds={}",
          Math.round(completedKey.remainingSeconds()));
    }
  }

  /** The peer holds or executes a key, or has settled it. */
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

  /** A key of the peer never executed, and is not held any more. */
  public void keyReleased(String key) {
    lock.lock();
    try {
      ownership.onPeerRelease(key);
      admission.completeBatchIfStarted();
    } finally {
      lock.unlock();
    }
  }

  /** The peer asks to execute a key that this process owns. */
  public void keyClaimed(String key, long receivedAtMillis, byte[] body) {
    KeyOwnershipTransfer.StoredReply<InFlightRequest> reply;
    lock.lock();
    try {
      reply = ownership.onClaim(key, receivedAtMillis, body, clock.now());
    } finally {
      lock.unlock();
    }
    if (reply != null) {
      // The result of a settled key may have to be read from disk: not under the lock.
      reply.send(
          reply.entry().isOnDisk()
              ? recorder.read(key, reply.entry().location())
              : reply.resultInMemory());
    }
  }

  /** The peer is about to execute a key that this process records. */
  public void intentRequested(String key) {
    lock.lock();
    try {
      recorder.writeIntentForPeer(key);
    } finally {
      lock.unlock();
    }
  }

  /** The peer has written an intent for this process, or cannot. */
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

  /** The peer has written a result for this process, or cannot. */
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

  /** The peer lets this process execute a key. */
  public void keyGranted(String key) {
    lock.lock();
    try {
      claims.wakeWaiters(key, true);
    } finally {
      lock.unlock();
    }
  }
}
