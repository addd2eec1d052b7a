package wharftrestle.idempotency;

/**
 * One settled key in the form in which it is sent to the peer process.
 *
 * @param high first half of the key's {@link KeyDigest}
 * @param low second half
 * @param coveredUntilMillis attempts with a timestamp up to here may not execute, Unix ms
 * @param checksum checksum of the body
 * @param expiresAtSeconds when the key expires, on the caller's clock
 * @param result null if there is none or it is on disk
 */
public record SettledEntry(
    long high,
    long low,
    long coveredUntilMillis,
    long checksum,
    double expiresAtSeconds,
    byte[] result) {}
