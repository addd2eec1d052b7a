package wharftrestle.idempotency;

/**
 * One settled key as it goes to the peer process.
 *
 * @param high first half of the key's {@link KeyDigest}
 * @param low second half
 * @param coveredUntilMillis no attempt with a timestamp up to here may run, Unix ms
 * @param checksum of the body
 * @param expiresAtSeconds on the caller's clock
 * @param result null where there is none to give, or it lies on disk
 */
public record SettledEntry(
    long high,
    long low,
    long coveredUntilMillis,
    long checksum,
    double expiresAtSeconds,
    byte[] result) {}
