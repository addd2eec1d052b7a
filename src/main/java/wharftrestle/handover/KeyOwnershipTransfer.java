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
 * Decides on each idempotency key while two processes serve one host: one process owns all keys,
 * the other answers what it has in flight and claims a key before it executes more of it. No key is
 * executed here that the peer may execute.
 *
 * <pre>
 * owner  peer   this process
 * yes    none   serves alone; after {@link #startSendingKeys} it also sends what completes to a process
 *               that asked to take over
 * yes    there  took over: answers claims, announces each execution before it begins
 * no     there  gave its keys away: claims a key before a request of it is taken, reports each end
 * no     none   never: {@link #onPeerLost} makes it the owner
 * </pre>
 *
 * <p>Not thread-safe: its caller's lock guards it. Times are passed in, in seconds on the caller's
 * clock.
 *
 * @param <T> a request, as the caller holds it
 */
public final class KeyOwnershipTransfer<T> {

  /** The caller's requests. */
  public interface Host<T> {
    /** When this request arrived at the host, Unix milliseconds. */
    long arrivalUnixMillis(T holder);

    /** Idempotency window of this key's class, with the slack of the table. */
    double windowSeconds(String key);

    /** An execution of the peer has ended; the result is null unless it succeeded. */
    void onPeerCompletion(KeyEntry<T> entry, byte[] result);

    /** The peer held this key and never executed it. */
    void onPeerRelease(KeyEntry<T> entry);

    /** Lets requests that wait for the owner's answer about this key look at it again. */
    void wakeWaiters(String key, boolean isGranted);
  }

  /**
   * The answer to a claim of a completed key. Where its result is on disk it is read first, without
   * the caller's lock.
   */
  public record StoredReply<T>(
      PeerProcess claimant,
      String key,
      KeyEntry<T> entry,
      byte[] resultInMemory,
      double windowSeconds,
      byte[] body) {

    /** Sends what is known of the key; the result is null where there is none. */
    public void send(byte[] result) {
      // A duplicate with another body must be told apart by the claimant too: it gets one that
      // differs.
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

  /** The process that asked to take over and gets each key that completes; null for none. */
  private PeerProcess completedKeyReceiver;

  private boolean isLagging;
  private boolean isOwner = true;
  private double windowExtensionSeconds;

  /** A process that serves alone and owns these keys. */
  public KeyOwnershipTransfer(IdempotencyTable<T> keys, Host<T> host) {
    this.keys = keys;
    this.host = host;
  }

  /** The other process; null for none. */
  public PeerProcess peer() {
    return peer;
  }

  /** True where this process decides on every key. */
  public boolean isOwner() {
    return isOwner;
  }

  // ---- Giving all keys away ----

  /** Sends each key that completes from now on, and returns those that are completed already. */
  public List<KeyDigest> startSendingKeys(PeerProcess receiver) {
    completedKeyReceiver = receiver;
    isLagging = false;
    return keys.settledDigests();
  }

  /** The takeover was given up: nothing more is sent. */
  public void stopSendingKeys() {
    completedKeyReceiver = null;
  }

  /** True where not all that completed meanwhile could be sent. */
  public boolean isLagging() {
    return isLagging;
  }

  /**
   * One completed key as it is sent; null where it is no longer known, or its result is on a disk
   * that both processes read.
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
   * Gives all keys away in one step, and sends those that are open. Requests and executions in
   * flight stay here.
   *
   * @return how many open keys were sent
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
      // Finished, and open only as the index of completed keys is full: its body is gone.
      successor.forwardCompletedKey(
          new CompletedKey(
              KeyDigest.of(entry.key()),
              entry.coveredUntilMillis(),
              entry.expiresAtSeconds() - now,
              entry.body().checksum(),
              keys.result(entry)));
    } else {
      successor.sendKey(update(entry, now));
    }
  }

  // ---- Taking all keys over ----

  /** Takes over from this process; keys that it sends stay known for so many seconds more. */
  public void attach(PeerProcess predecessor, double extensionSeconds) {
    peer = predecessor;
    windowExtensionSeconds = extensionSeconds;
  }

  /** Returns the ownership: this process has executed nothing. */
  public void returnOwnership() {
    peer = null;
  }

  /**
   * The peer is gone, or returned the ownership. How its executions in flight ended is unknown:
   * their keys fail, and are not executed again in their window.
   */
  public void onPeerLost() {
    peer = null;
    completedKeyReceiver = null;
    isOwner = true;
    windowExtensionSeconds = 0;
    keys.peerLost();
  }

  // ---- Messages of the peer ----

  /**
   * A completed key of the peer. Where memory has no space for it, no unknown key is executed until
   * its window is over, as it may be this one.
   *
   * @return false where there was no space
   */
  public boolean onKeyReceived(CompletedKey completed, double now) {
    // No request comes here yet that would expire keys whose window is over.
    keys.expire(now);
    double until = now + completed.remainingSeconds() + windowExtensionSeconds;
    boolean isKnown =
        keys.learnSettledFromPeer(
            new SettledEntry(
                completed.digest().high(),
                completed.digest().low(),
                extended(completed.coveredUntilUnixMillis()),
                completed.bodyChecksum(),
                until,
                completed.result()));
    if (!isKnown) {
      keys.failUnknownKeysUntil(until);
    }
    return isKnown;
  }

  /** A key of the peer whose execution is in flight, or has finished. */
  public void onKeyReceived(KeyUpdate update, double now) {
    keys.learnFromPeer(
        update.key(),
        RequestBody.of(update.body()),
        extended(update.coveredUntilUnixMillis()),
        now + update.remainingSeconds() + windowExtensionSeconds);
    KeyEntry<T> entry = keys.find(update.key());
    if (update.isCompleted() && keys.isOwnedByPeer(entry)) {
      host.onPeerCompletion(entry, update.result());
    }
    host.wakeWaiters(update.key(), false);
  }

  private long extended(long coveredUntilUnixMillis) {
    return coveredUntilUnixMillis + Math.round(windowExtensionSeconds * 1000);
  }

  /** An execution of the peer has ended; the result is null unless it succeeded. */
  public void onPeerCompletion(String key, byte[] result) {
    KeyEntry<T> entry = keys.find(key);
    if (keys.isOwnedByPeer(entry)) {
      host.onPeerCompletion(entry, result);
    }
  }

  /** The peer never executed this key and no longer holds it. */
  public void onPeerRelease(String key) {
    KeyEntry<T> entry = keys.find(key);
    if (keys.isOwnedByPeer(entry)) {
      host.onPeerRelease(entry);
      keys.releasedByPeer(entry);
    }
  }

  /**
   * The peer claims a key: it is granted to the peer, or what is known of it is sent.
   *
   * @return the answer where a disk may hold the result; null where the claim is answered
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
      peer.sendKey(update(entry, now));
      return null;
    }
    return new StoredReply<>(peer, key, entry, keys.result(entry), windowSeconds, body);
  }

  // ---- Requests of this process ----

  /** True where a request of this key may not be taken before the owner was asked. */
  public boolean mustClaim(String key, long arrivalUnixMillis) {
    return peer != null && !isOwner && key != null && !isKnown(key, arrivalUnixMillis);
  }

  /** True where a request that arrived then is a duplicate of what is known here. */
  public boolean isKnown(String key, long arrivalUnixMillis) {
    KeyEntry<T> entry = keys.find(key);
    return entry != null && entry.covers(arrivalUnixMillis);
  }

  /** What the peer has to know before an execution of this key begins; null for nothing. */
  public KeyUpdate announcementBeforeExecution(KeyEntry<T> entry, double now) {
    return peer == null || !isOwner || entry == null ? null : update(entry, now);
  }

  /** Reports to the peer that an execution of this process has ended. */
  public void sendCompletion(KeyEntry<T> entry, byte[] result) {
    if (peer != null && entry.attempt() != null && keys.isCurrent(entry)) {
      peer.sendCompletion(entry.key(), result);
    }
  }

  /** Reports to the peer that no request of this key is in flight, unless one still is. */
  public void sendRelease(String key, boolean isInFlight) {
    if (peer != null && key != null && !isInFlight && keys.find(key) == null) {
      peer.sendRelease(key);
    }
  }

  private KeyUpdate update(KeyEntry<T> entry, double now) {
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
