package wharftrestle.idempotency;

import java.util.Arrays;

/**
 * The body of the first attempt of an idempotency key, which detects a reuse of the key for another
 * request: its bytes, or only its checksum once the bytes have been dropped.
 *
 * @param bytes null if only the checksum is kept
 * @param storedChecksum {@link KeyDigest#checksum} of the body if bytes is null, else unused
 */
public record RequestBody(byte[] bytes, long storedChecksum) {
  /** The body of a key that may have been lost with a damaged log: it matches every body. */
  static final RequestBody ANY = new RequestBody(null, 0);

  /** A body that keeps its bytes. */
  public static RequestBody of(byte[] bytes) {
    return new RequestBody(bytes, 0);
  }

  /** True if an attempt with these bytes is the same request. */
  @SuppressWarnings("ReferenceEquality") // another body with a checksum of 0 is not ANY
  public boolean matches(byte[] attemptBody) {
    return this == ANY
        || (bytes != null
            ? Arrays.equals(bytes, attemptBody)
            : storedChecksum == KeyDigest.checksum(attemptBody));
  }

  /** The {@link KeyDigest#checksum} of the body, 64 bits. */
  public long checksum() {
    return bytes != null ? KeyDigest.checksum(bytes) : storedChecksum;
  }
}
