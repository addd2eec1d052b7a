package wharftrestle.handover;

import java.util.Arrays;
import java.util.List;
import wharftrestle.handover.PeerProcess.CompletedKey;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.RequestBody;
import wharftrestle.idempotency.SettledEntry;

/**
 * Decides on the execution of each idempotency key while two processes serve one host. One process
 * owns all keys; the other completes its requests in flight, and claims a key from the owner before
 * it executes another request of it. No key is executed here while the peer may execute it.
 *
 * <pre>
 * owner  peer   this process
 * yes    none   serves alone; after {@link #startSendingKeys} it also sends each key that
 *               completes to the process that asked to take over
 * yes    set    took over: answers claims, and announces each execution before it begins
 * no     set    transferred its keys: claims a key before it accepts a request of it, and
 *               reports each completion
 * no     none   impossible: {@link #onPeerLost} makes this process the owner
 * </pre>
 *
 * <p>Not thread-safe: the caller's lock guards it. Times are passed in, in seconds on the caller's
 * clock.
 *
 * @param <T> the caller's type of a request
 */
public final class KeyOwnershipTransfer<T> {

  /** Access to the caller's requests. */
  public interface Host<T> {
    /** When this request arrived at the host, Unix milliseconds. */
    long arrivalUnixMillis(T request);

    /** Idempotency window of this key's class, including the slack of the table. */
    double windowSeconds(String key);

    /** An execution of the peer has ended; the result is null unless it succeeded. */
    void onPeerCompletion(KeyEntry<T> entry, byte[] result);

    /** The peer held this key and never executed it. */
    void onPeerRelease(KeyEntry<T> entry);

    /** Wakes requests that wait for the owner's answer to a claim of this key. */
    void wakeWaiters(String key, boolean isGranted);
  }

  /**
   * The answer to a claim of a completed key. A result that is on disk is read before the answer is
   * sent, without the caller's lock.
   */
  public record StoredReply<T>(
      PeerProcess claimant,
      String key,
      KeyEntry<T> entry,
      byte[] resultInMemory,
      double windowSeconds,
      byte[] body) {

    /** Sends the completed key to the claimant; the result is null if there is none. */
    public void send(byte[] result) {
      // The claimant must also detect a duplicate whose body differs from the first one. The first
      // body is no longer held, so the claimant is sent a body that differs from its own.
      byte[] firstBody = entry.body().matches(body) ? body : Arrays.copyOf(body, body.length + 1);
      claimant.sendKey(
          new KeyUpdate(
              key,
              true,
              entry.coveredUntilMillis(),
              windowSeconds + IdempotencyTable.LINGER_SECONDS,
              firstBody,
              result));
    }
  }

  private final IdempotencyTable<T> keys;
  private final Host<T> host;

  /** The process that took over from this one, or that this one took over from; null for none. */
  private PeerProcess peer;

  /** The process that asked to take over and is sent each key that completes; null for none. */
  private PeerProcess completedKeyReceiver;

  private boolean isLagging;
  private boolean isOwner = true;
  private double windowExtensionSeconds;

  /** Starts as the owner of these keys, without a peer. */
  public KeyOwnershipTransfer(IdempotencyTable<T> keys, Host<T> host) {
    this.keys = keys;
    this.host = host;
  }

  /** The other process; null for none. */
  public PeerProcess peer() {
    return peer;
  }

  /** True if this process owns all keys. */
  public boolean isOwner() {
    return isOwner;
  }

  // ---- Transfer of all keys to the successor ----

  /** Starts to send each key that completes; returns the keys that are completed already. */
  public List<KeyDigest> startSendingKeys(PeerProcess receiver) {
    completedKeyReceiver = receiver;
    isLagging = false;
    return keys.settledDigests();
  }

  /** Stops sending keys, as the takeover was cancelled. */
  public void stopSendingKeys() {
    completedKeyReceiver = null;
  }

  /** True if a key that completed since {@link #startSendingKeys} could not be sent. */
  public boolean isLagging() {
    return isLagging;
  }

  /**
   * The message for one completed key; null if the key is no longer known, or if its result is on a
   * disk that both processes read.
   */
  public CompletedKey completedKey(KeyDigest digest, boolean hasDisk, double now) {
    SettledEntry completed = keys.findSettled(digest);
    if (completed == null || (hasDisk && completed.result() == null)) {
      return null;
    }
    return new CompletedKey(
        digest,
        completed.coveredUntilMillis(),
        completed.expiresAtSeconds() - now,
        completed.checksum(),
        completed.result());
  }

  /** Sends this key to the process that asked to take over, if it has just completed. */
  public void forwardCompleted(String key, boolean hasDisk, double now) {
    if (completedKeyReceiver == null || isLagging) {
      return;
    }
    CompletedKey completed = completedKey(KeyDigest.of(key), hasDisk, now);
    if (completed != null) {
      isLagging = !completedKeyReceiver.forwardCompletedKey(completed);
    }
  }

  /**
   * Transfers the ownership of all keys in one step, and sends those that are open. Requests and
   * executions in flight stay with this process.
   *
   * @return the number of open keys that were sent
   */
  public int transferTo(PeerProcess successor, double now) {
    completedKeyReceiver = null;
    peer = successor;
    isOwner = false;
    int[] openKeys = {0};
    keys.forEachActive(
        entry -> {
          openKeys[0]++;
          sendOpenKey(successor, entry, now);
        });
    return openKeys[0];
  }

  private void sendOpenKey(PeerProcess successor, KeyEntry<T> entry, double now) {
    if (entry.isFinal() && entry.body().bytes() == null) {
      // Completed, and still active only because the index of completed keys is full: its body has
      // been released.
      successor.forwardCompletedKey(
          new CompletedKey(
              KeyDigest.of(entry.key()),
              entry.coveredUntilMillis(),
              entry.expiresAtSeconds() - now,
              entry.body().checksum(),
              keys.result(entry)));
    } else {
      successor.sendKey(toUpdate(entry, now));
    }
  }

  // ---- Receipt of all keys from the predecessor ----

  /**
   * Sets the process to take over from.
   *
   * @param extensionSeconds added to the time for which the keys that it sends stay known
   */
  public void attach(PeerProcess predecessor, double extensionSeconds) {
    peer = predecessor;
    windowExtensionSeconds = extensionSeconds;
  }

  /** Returns the ownership to the predecessor; this process has executed nothing. */
  public void returnOwnership() {
    peer = null;
  }

  /**
   * The peer has ended, or has returned the ownership. The outcome of its executions in flight is
   * unknown: their keys fail, and are not executed again within their window.
   */
  public void onPeerLost() {
    peer = null;
    completedKeyReceiver = null;
    isOwner = true;
    windowExtensionSeconds = 0;
    keys.peerLost();
  }

  // ---- Messages from the peer ----

  /**
   * Records a completed key of the peer. If memory has no space for it, no unknown key is executed
   * until the window of this one has ended, as an unknown key may be this one.
   *
   * @return false if there was no space
   */
  public boolean onKeyReceived(CompletedKey completed, double now) {
    // Requests expire keys whose window has ended, but this process receives no request yet.
    keys.expire(now);
    double until = now + completed.remainingSeconds() + windowExtensionSeconds;
    boolean isKnown =
        keys.learnSettledFromPeer(
            new SettledEntry(
                completed.digest().high(),
                completed.digest().low(),
                extendCoverage(completed.coveredUntilUnixMillis()),
                completed.bodyChecksum(),
                until,
                completed.result()));
    if (!isKnown) {
      keys.failUnknownKeysUntil(until);
    }
    return isKnown;
  }

  /** Records a key of the peer whose execution is in flight, or has ended. */
  public void onKeyReceived(KeyUpdate update, double now) {
    keys.learnFromPeer(
        update.key(),
        RequestBody.of(update.body()),
        extendCoverage(update.coveredUntilUnixMillis()),
        now + update.remainingSeconds() + windowExtensionSeconds);
    KeyEntry<T> entry = keys.find(update.key());
    if (update.isCompleted() && keys.isOwnedByPeer(entry)) {
      host.onPeerCompletion(entry, update.result());
    }
    host.wakeWaiters(update.key(), false);
  }

  private long extendCoverage(long coveredUntilUnixMillis) {
    return coveredUntilUnixMillis + Math.round(windowExtensionSeconds * 1000);
  }

  /** Records the end of an execution of the peer; the result is null unless it succeeded. */
  public void onPeerCompletion(String key, byte[] result) {
    KeyEntry<T> entry = keys.find(key);
    if (keys.isOwnedByPeer(entry)) {
      host.onPeerCompletion(entry, result);
    }
  }

  /** Releases a key that the peer never executed and no longer holds. */
  public void onPeerRelease(String key) {
    KeyEntry<T> entry = keys.find(key);
    if (keys.isOwnedByPeer(entry)) {
      host.onPeerRelease(entry);
      keys.releasedByPeer(entry);
    }
  }

  /**
   * Answers a claim of the peer: grants it the key, or sends what is known of the key.
   *
   * @return the answer to send once the result has been read, if the result may be on disk; null if
   *     the claim has been answered
   */
  public StoredReply<T> onClaim(String key, long arrivalUnixMillis, byte[] body, double now) {
    KeyEntry<T> entry = keys.findDuplicate(key, arrivalUnixMillis);
    if (peer == null) {
      return null;
    }
    double windowSeconds = host.windowSeconds(key);
    if (entry == null) {
      keys.learnFromPeer(
          key,
          RequestBody.of(body),
          arrivalUnixMillis + Math.round(windowSeconds * 1000),
          now + windowSeconds + IdempotencyTable.LINGER_SECONDS);
    }
    if (entry == null || keys.isOwnedByPeer(entry)) {
      peer.sendGrant(key);
      return null;
    }
    if (entry.body().bytes() != null) {
      peer.sendKey(toUpdate(entry, now));
      return null;
    }
    return new StoredReply<>(peer, key, entry, keys.result(entry), windowSeconds, body);
  }

  // ---- Requests of this process ----

  /** True if the owner must be asked before a request of this key is accepted. */
  public boolean mustClaim(String key, long arrivalUnixMillis) {
    return peer != null && !isOwner && key != null && !isKnown(key, arrivalUnixMillis);
  }

  /** True if a request that arrived at this time is a duplicate of a key that is known here. */
  public boolean isKnown(String key, long arrivalUnixMillis) {
    KeyEntry<T> entry = keys.find(key);
    return entry != null && entry.covers(arrivalUnixMillis);
  }

  /** The update to send to the peer before an execution of this key begins; null for none. */
  public KeyUpdate announcementBeforeExecution(KeyEntry<T> entry, double now) {
    return peer == null || !isOwner || entry == null ? null : toUpdate(entry, now);
  }

  /** Reports to the peer that an execution of this process has ended. */
  public void sendCompletion(KeyEntry<T> entry, byte[] result) {
    if (peer != null && entry.attempt() != null && keys.isCurrent(entry)) {
      peer.sendCompletion(entry.key(), result);
    }
  }

  /** Reports to the peer that this key is released, if it is neither in flight nor known here. */
  public void sendRelease(String key, boolean isInFlight) {
    if (peer != null && key != null && !isInFlight && keys.find(key) == null) {
      peer.sendRelease(key);
    }
  }

  private KeyUpdate toUpdate(KeyEntry<T> entry, double now) {
    if (entry.mayHaveRun()) {
      return new KeyUpdate(
          entry.key(),
          entry.isFinal(),
          entry.coveredUntilMillis(),
          entry.expiresAtSeconds() - now,
          entry.body().bytes(),
          keys.result(entry));
    }
    double windowSeconds = host.windowSeconds(entry.key());
    return new KeyUpdate(
        entry.key(),
        false,
        host.arrivalUnixMillis(entry.attempt()) + Math.round(windowSeconds * 1000),
        windowSeconds + IdempotencyTable.LINGER_SECONDS,
        entry.body().bytes(),
        null);
  }
}
