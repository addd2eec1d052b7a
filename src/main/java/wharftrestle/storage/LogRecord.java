package wharftrestle.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * One record of the log and its bytes. It owns the layout and what counts as whole; it must never
 * trust a length that it has not checked.
 *
 * <pre>
 * int    length of what follows the check    1 to MOST
 * int    CRC32C of the length and of what follows
 * byte   kind; its highest bit is set on the last record of a batch
 * int    batch: all that was synced together has one number, the next batch a larger one
 * long   written at, Unix ms
 * long   written at, ms on the machine's steady clock
 * long   lastDoor, Unix ms: no try stamped up to here may run
 * int    window, ms, with its slack
 * long   check of the body
 * short  length of the key, then its UTF-8
 * int    length of the result, then its bytes
 * </pre>
 *
 * Records begin at multiples of 8 bytes; zeros fill the gap.
 *
 * @param ends it is the last of its batch
 * @param window ms
 * @param wall Unix ms
 * @param steady ms
 */
@SuppressWarnings("JavaLangClash") // what the log of results is made of; the other is never named
public record LogRecord(
    Kind kind,
    boolean lastOfBatch,
    int batch,
    long writtenAtMillis,
    long writtenAtSteadyMillis,
    long coveredUntilMillis,
    int windowMillis,
    long bodyChecksum,
    String key,
    byte[] result) {

  /** What a record says of its key. */
  public enum Kind {
    /** A run is about to be asked for. */
    INTENT,
    /** It ended well, with this result. */
    RESULT,
    /** It ended, and has no result to give. */
    FAILED,
    /** No run was begun. */
    VOID
  }

  /** Bytes of one record at most, its head left out. */
  static final int MAX_PAYLOAD_BYTES = 128 * 1024;

  /** Bytes of a key at most. */
  public static final int MAX_KEY_BYTES = 512;

  /** Bytes of a result at most; PROTOCOL has 4 kB. */
  public static final int MAX_RESULT_BYTES = 64 * 1024;

  static final int HEADER_BYTES = 8;
  private static final int LAST_OF_BATCH_FLAG = 0x80;
  static final int ALIGNMENT_BYTES = 8;
  private static final int FIXED_PAYLOAD_BYTES = 1 + 4 + 8 + 8 + 8 + 4 + 8 + 2 + 4;

  LogRecord stamped(boolean last, int inBatch, long atWall, long atSteady) {
    return new LogRecord(
        kind,
        last,
        inBatch,
        atWall,
        atSteady,
        coveredUntilMillis,
        windowMillis,
        bodyChecksum,
        key,
        result);
  }

  /** Bytes on disk, the gap to the next record included. */
  int size() {
    return size(key.getBytes(StandardCharsets.UTF_8).length, result.length);
  }

  static int size(int keyBytes, int resultBytes) {
    return aligned(HEADER_BYTES + FIXED_PAYLOAD_BYTES + keyBytes + resultBytes);
  }

  static int aligned(int size) {
    return size + ALIGNMENT_BYTES - 1 & -ALIGNMENT_BYTES;
  }

  void writeTo(ByteBuffer to) {
    int begin = to.position();
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    int length = FIXED_PAYLOAD_BYTES + name.length + result.length;
    @SuppressWarnings("EnumOrdinal") // stored: the format counts kinds in the order of declaration
    int number = kind.ordinal() + 1;
    to.putInt(length)
        .putInt(0)
        .put((byte) (number | (lastOfBatch ? LAST_OF_BATCH_FLAG : 0)))
        .putInt(batch)
        .putLong(writtenAtMillis)
        .putLong(writtenAtSteadyMillis)
        .putLong(coveredUntilMillis)
        .putInt(windowMillis)
        .putLong(bodyChecksum)
        .putShort((short) name.length)
        .put(name)
        .putInt(result.length)
        .put(result);
    to.putInt(begin + 4, crc(to, begin, length));
    while ((to.position() - begin) % ALIGNMENT_BYTES != 0) {
      to.put((byte) 0);
    }
  }

  private static int crc(ByteBuffer bytes, int begin, int length) {
    CRC32C crc = new CRC32C();
    ByteBuffer part = bytes.duplicate();
    crc.update(part.limit(begin + 4).position(begin));
    crc.update(part.limit(begin + HEADER_BYTES + length).position(begin + HEADER_BYTES));
    return (int) crc.getValue();
  }

  /** The whole record that begins there; null where there is none. */
  static LogRecord readAt(ByteBuffer bytes, int begin) {
    if (begin < 0 || bytes.limit() - begin < HEADER_BYTES + FIXED_PAYLOAD_BYTES) {
      return null;
    }
    int length = bytes.getInt(begin);
    if (length < FIXED_PAYLOAD_BYTES
        || length > MAX_PAYLOAD_BYTES
        || length > bytes.limit() - begin - HEADER_BYTES) {
      return null;
    }
    int kind = (bytes.get(begin + HEADER_BYTES) & LAST_OF_BATCH_FLAG - 1) - 1;
    boolean ends = (bytes.get(begin + HEADER_BYTES) & LAST_OF_BATCH_FLAG) != 0;
    if (kind < 0
        || kind >= Kind.values().length
        || bytes.getInt(begin + 4) != crc(bytes, begin, length)) {
      return null;
    }
    ByteBuffer in = bytes.duplicate().position(begin + HEADER_BYTES + 1);
    int batch = in.getInt();
    long wall = in.getLong();
    long steady = in.getLong();
    long lastDoor = in.getLong();
    int window = in.getInt();
    long check = in.getLong();
    byte[] name = new byte[in.getShort() & 0xffff];
    if (name.length > length - FIXED_PAYLOAD_BYTES) {
      return null;
    }
    in.get(name);
    int most = length - FIXED_PAYLOAD_BYTES - name.length;
    byte[] result = new byte[Math.max(0, Math.min(most, in.getInt()))];
    if (result.length != most) {
      return null;
    }
    in.get(result);
    return new LogRecord(
        Kind.values()[kind],
        ends,
        batch,
        wall,
        steady,
        lastDoor,
        window,
        check,
        new String(name, StandardCharsets.UTF_8),
        result);
  }
}
