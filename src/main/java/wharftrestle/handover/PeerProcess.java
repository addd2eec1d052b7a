package wharftrestle.handover;

import wharftrestle.idempotency.KeyDigest;

/**
 * The other process of this host, as the receiver of messages about keys. Messages arrive in the
 * order in which they were sent. Only {@link #sendCompletedKey} and {@link #sendKeyAndAwaitWrite}
 * may block; all others return at once and may be called under the lock of the requests.
 */
public interface PeerProcess {

  /**
   * The state of a key, sent to the other process while both serve.
   *
   * @param isCompleted false while its execution is in flight
   * @param coveredUntilUnixMillis requests that arrived until then are duplicates
   * @param remainingSeconds until the key is forgotten
   * @param body of the first request, against which duplicates are compared
   * @param result null if there is none
   */
  record KeyUpdate(
      String key,
      boolean isCompleted,
      long coveredUntilUnixMillis,
      double remainingSeconds,
      byte[] body,
      byte[] result) {}

  /**
   * A key whose execution has ended, identified by its digest, as its text is no longer held.
   *
   * @param coveredUntilUnixMillis requests that arrived until then are duplicates
   * @param remainingSeconds until the key is forgotten
   * @param bodyChecksum of the first request's body
   * @param result null if there is none
   */
  record CompletedKey(
      KeyDigest digest,
      long coveredUntilUnixMillis,
      double remainingSeconds,
      long bodyChecksum,
      byte[] result) {}

  /**
   * Sends a completed key, and blocks until only a few such messages are unwritten; false if the
   * peer does not read in time.
   */
  boolean sendCompletedKey(CompletedKey completed);

  /**
   * Sends a key that has just completed, without blocking; false if too many messages are
   * unwritten.
   */
  boolean forwardCompletedKey(CompletedKey completed);

  /** Asks whether this process may execute this key. */
  void sendClaim(String key, long arrivalUnixMillis, byte[] body);

  /** Answers a claim: the peer may execute this key. */
  void sendGrant(String key);

  /** Sends the state of a key. */
  void sendKey(KeyUpdate update);

  /** Sends the state of a key, and blocks until it is written or the peer has ended. */
  void sendKeyAndAwaitWrite(KeyUpdate update);

  /** Reports the end of an execution; the result is null unless it succeeded. */
  void sendCompletion(String key, byte[] result);

  /** Reports that a key was never executed and is no longer held. */
  void sendRelease(String key);

  /** Asks the process that owns the write-ahead log to write an intent record for this one. */
  void sendIntentRequest(String key, long arrivalUnixMillis, byte[] body);

  /** Answers an intent request: the record is on disk, or could not be written. */
  void sendIntentOutcome(String key, boolean isWritten);

  /** Reports that the result of the peer's execution is on disk, or could not be written. */
  void sendResultWritten(String key);
}
