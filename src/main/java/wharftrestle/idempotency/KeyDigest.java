package wharftrestle.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a key whose text is not kept: 128 bits of its SHA-256 (FIPS 180-4). Clients choose the
 * keys, so with a weaker hash they could construct two keys that collide.
 *
 * @param high first 64 bits
 * @param low second 64 bits
 */
public record KeyDigest(long high, long low) {

  /** The digest of a key. */
  public static KeyDigest of(String key) {
    ByteBuffer bytes = ByteBuffer.wrap(sha256(key.getBytes(StandardCharsets.UTF_8)));
    return new KeyDigest(bytes.getLong(), bytes.getLong());
  }

  /** The checksum of a body: the first 64 bits of its SHA-256. */
  public static long checksum(byte[] body) {
    return ByteBuffer.wrap(sha256(body)).getLong();
  }

  private static byte[] sha256(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is not available, which every Java platform must provide", e);
    }
  }
}
