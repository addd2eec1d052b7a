package wharftrestle.idempotency;

import java.util.Arrays;

/**
 * The body that came with an idempotency key, by which a reuse of the key for other work is told
 * apart: its bytes, or its checksum where they are not kept any more.
 *
 * @param bytes null where only the checksum is kept
 * @param storedChecksum {@link KeyDigest#checksum} of the body where bytes is null, else unused
 */
public record RequestBody(byte[] bytes, long storedChecksum) {
  /** Of a key that may have been lost with a damaged log: it matches every body. */
  static final RequestBody ANY = new RequestBody(null, 0);

  /** A body with all its bytes. */
  public static RequestBody of(byte[] bytes) {
    return new RequestBody(bytes, 0);
  }

  /** True where an attempt with these bytes asks for the same work. */
  @SuppressWarnings("ReferenceEquality") // another one with a checksum of 0 is not ANY
  public boolean matches(byte[] other) {
    return this == ANY
        || (bytes != null
            ? Arrays.equals(bytes, other)
            : storedChecksum == KeyDigest.checksum(other));
  }

  /** The 64 bits that stand for the body. */
  public long checksum() {
    return bytes != null ? KeyDigest.checksum(bytes) : storedChecksum;
  }
}
