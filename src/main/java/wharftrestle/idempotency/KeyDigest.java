package wharftrestle.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Stands for a key where its text is not kept: 128 bits of its SHA-256 (FIPS 180-4). Callers choose
 * keys, so a weaker hash would let them make two keys collide.
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

  /** The 64 bits that stand for a body. */
  public static long checksum(byte[] body) {
    return ByteBuffer.wrap(sha256(body)).getLong();
  }

  private static byte[] sha256(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }
}
