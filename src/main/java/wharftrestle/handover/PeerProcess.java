package wharftrestle.handover;

import wharftrestle.idempotency.KeyDigest;

/**
 * The other process of this box, as one tells it of keys. Only {@link #tellSurely} and {@link
 * #tellOver} may wait; all others return at once and may be called under the core's lock, and what
 * they tell arrives in that order.
 */
public interface PeerProcess {

  /**
   * What one process tells the other of a key while two serve one box; the body tells what it was
   * asked.
   */
  record KeyUpdate(
      String key,
      boolean isFinished,
      long coveredUntilUnixMillis,
      double secondsLeft,
      byte[] body,
      byte[] result) {}

  /**
   * A key that is over, as one process tells it the other: by its digest, as its text is not kept.
   */
  record SettledKey(
      KeyDigest digest,
      long coveredUntilUnixMillis,
      double secondsLeft,
      long bodyChecksum,
      byte[] result) {}

  /**
   * Tells a key that is over; returns once few such words wait, false where the other side takes
   * none in time.
   */
  boolean sendSettledKey(SettledKey over);

  /**
   * Tells a key that has just come to be over; false where more waits to be told than should. It is
   * told all the same.
   */
  boolean forwardSettledKey(SettledKey over);

  /** Asks whether this key may be held and run here. */
  void sendClaim(String key, long door, byte[] body);

  void sendGrant(String key);

  void sendKey(KeyUpdate kept);

  /**
   * Returns once the word is on its way, whatever then becomes of this process, or the other is
   * gone.
   */
  void sendKeyAndAwaitWrite(KeyUpdate kept);

  /** A key of this side has ended; the result is null unless it ended well. */
  void sendFinished(String key, byte[] result);

  /** A key of this side never ran and is not held any more. */
  void sendReleased(String key);

  /** Asks the side that writes to have the intent of this side's run on disk. */
  void sendIntentRequest(String key, long door, byte[] body);

  /** The other side's intent is on disk, or cannot be. */
  void sendIntentOutcome(String key, boolean written);

  /** The result of the other side's run is on disk, or could not be written. */
  void sendResultWritten(String key);
}
