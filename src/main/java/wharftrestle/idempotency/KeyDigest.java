package wharftrestle.idempotency;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * The 128 bits that stand for a key, and the 64 that stand for a body, where the whole of them is
 * not kept. SHA-256 cut short (FIPS 180-4): callers choose keys, so no weaker hash may tell two
 * apart.
 */
public record KeyDigest(long high, long low) {

  /** Of a key's text. */
  public static KeyDigest of(String key) {
    ByteBuffer bytes = ByteBuffer.wrap(sha256(key.getBytes(StandardCharsets.UTF_8)));
    return new KeyDigest(bytes.getLong(), bytes.getLong());
  }

  /** Of a body. */
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
