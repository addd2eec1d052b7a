package wharftrestle.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * One record of the write-ahead log and its layout on disk. Reading trusts no length that it has
 * not checked.
 *
 * <pre>
 * int    bytes of the payload, 1 to MAX_PAYLOAD_BYTES
 * int    CRC32C of that length and of the payload, which follows
 * byte   kind; its highest bit is set on the last record of a batch
 * int    batch: all records that were synced together have one number, later ones a larger one
 * long   written at, Unix ms
 * long   written at, ms of the machine's monotonic clock
 * long   covered until, Unix ms: no attempt with a timestamp up to here may run
 * int    window, ms, with its slack
 * long   checksum of the body
 * short  length of the key, then its UTF-8
 * int    length of the result, then its bytes
 * </pre>
 *
 * Records begin at multiples of 8 bytes; zeros fill the gap.
 *
 * @param kind what it says of its key
 * @param lastOfBatch true on the last record of a batch
 * @param batch number of the batch
 * @param writtenAtMillis Unix ms
 * @param writtenAtSteadyMillis ms of the machine's monotonic clock
 * @param coveredUntilMillis Unix ms
 * @param windowMillis ms, with its slack
 * @param bodyChecksum of the request's body
 * @param key with its class and tenant
 * @param result empty but in a RESULT
 */
@SuppressWarnings("JavaLangClash") // A log consists of records; java.lang.Record is never named.
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

  /** What a record says of its key; each kind is stored as its number. */
  public enum Kind {
    /** An execution is about to be dispatched. */
    INTENT(1),
    /** It succeeded, with this result. */
    RESULT(2),
    /** It ended, and has no result to give. */
    FAILED(3),
    /** No execution was begun. */
    VOID(4);

    private static final Kind[] BY_STORED_NUMBER = byStoredNumber();

    private final int storedNumber;

    Kind(int storedNumber) {
      this.storedNumber = storedNumber;
    }

    /** The number on disk. */
    public int storedNumber() {
      return storedNumber;
    }

    /** The kind that a number on disk stands for; null for none. */
    static Kind ofStoredNumber(int number) {
      return number >= 0 && number < BY_STORED_NUMBER.length ? BY_STORED_NUMBER[number] : null;
    }

    private static Kind[] byStoredNumber() {
      Kind[] all = new Kind[values().length + 1];
      for (Kind kind : values()) {
        all[kind.storedNumber] = kind;
      }
      return all;
    }
  }

  /** Bytes of a key at most. */
  public static final int MAX_KEY_BYTES = 512;

  /** Bytes of a result at most; the protocol has 4 kB. */
  public static final int MAX_RESULT_BYTES = 64 * 1024;

  static final int MAX_PAYLOAD_BYTES = 128 * 1024;

  /** The length and the check. */
  static final int HEADER_BYTES = 8;

  static final int ALIGNMENT_BYTES = 8;

  private static final int CRC_OFFSET = 4;
  private static final int LAST_OF_BATCH_FLAG = 0x80;
  private static final int FIXED_PAYLOAD_BYTES = 1 + 4 + 8 + 8 + 8 + 4 + 8 + 2 + 4;

  /** A record that belongs to no batch yet. */
  static LogRecord unstamped(
      Kind kind,
      long coveredUntilMillis,
      int windowMillis,
      long bodyChecksum,
      String key,
      byte[] result) {
    return new LogRecord(
        kind, false, 0, 0, 0, coveredUntilMillis, windowMillis, bodyChecksum, key, result);
  }

  /** The same record as one of a batch that is written at this moment. */
  LogRecord stamped(boolean last, int inBatch, long wallMillis, long steadyMillis) {
    return new LogRecord(
        kind,
        last,
        inBatch,
        wallMillis,
        steadyMillis,
        coveredUntilMillis,
        windowMillis,
        bodyChecksum,
        key,
        result);
  }

  /** Bytes on disk, with the gap to the next record. */
  int size() {
    return size(key.getBytes(StandardCharsets.UTF_8).length, result.length);
  }

  static int size(int keyBytes, int resultBytes) {
    return aligned(HEADER_BYTES + FIXED_PAYLOAD_BYTES + keyBytes + resultBytes);
  }

  static int aligned(int size) {
    return size + ALIGNMENT_BYTES - 1 & -ALIGNMENT_BYTES;
  }

  /** Puts the record's bytes, and the zeros behind it, into a buffer. */
  void writeTo(ByteBuffer to) {
    int begin = to.position();
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    int length = FIXED_PAYLOAD_BYTES + keyBytes.length + result.length;
    to.putInt(length)
        .putInt(0)
        .put((byte) (kind.storedNumber() | (lastOfBatch ? LAST_OF_BATCH_FLAG : 0)))
        .putInt(batch)
        .putLong(writtenAtMillis)
        .putLong(writtenAtSteadyMillis)
        .putLong(coveredUntilMillis)
        .putInt(windowMillis)
        .putLong(bodyChecksum)
        .putShort((short) keyBytes.length)
        .put(keyBytes)
        .putInt(result.length)
        .put(result);
    to.putInt(begin + CRC_OFFSET, crc(to, begin, length));
    while ((to.position() - begin) % ALIGNMENT_BYTES != 0) {
      to.put((byte) 0);
    }
  }

  private static int crc(ByteBuffer bytes, int begin, int length) {
    CRC32C crc = new CRC32C();
    ByteBuffer part = bytes.duplicate();
    crc.update(part.limit(begin + CRC_OFFSET).position(begin));
    crc.update(part.limit(begin + HEADER_BYTES + length).position(begin + HEADER_BYTES));
    return (int) crc.getValue();
  }

  /** Bytes that the record at the begin of the buffer says it has, its gap left out; 0 for none. */
  static int bytesAt(ByteBuffer bytes) {
    if (bytes.limit() < Integer.BYTES || bytes.getInt(0) > MAX_PAYLOAD_BYTES) {
      return 0;
    }
    return bytes.getInt(0) + HEADER_BYTES;
  }

  /** The intact record that begins there; null where there is none. */
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
    int kindAndFlag = bytes.get(begin + HEADER_BYTES);
    Kind kind = Kind.ofStoredNumber(kindAndFlag & LAST_OF_BATCH_FLAG - 1);
    if (kind == null || bytes.getInt(begin + CRC_OFFSET) != crc(bytes, begin, length)) {
      return null;
    }
    boolean lastOfBatch = (kindAndFlag & LAST_OF_BATCH_FLAG) != 0;
    ByteBuffer fields = bytes.duplicate().position(begin + HEADER_BYTES + 1);
    return readFields(kind, lastOfBatch, fields, length - FIXED_PAYLOAD_BYTES);
  }

  /** The fields behind the kind; null where the lengths of key and result do not add up. */
  private static LogRecord readFields(
      Kind kind, boolean lastOfBatch, ByteBuffer fields, int keyAndResultBytes) {
    int batch = fields.getInt();
    long writtenAtMillis = fields.getLong();
    long writtenAtSteadyMillis = fields.getLong();
    long coveredUntilMillis = fields.getLong();
    int windowMillis = fields.getInt();
    long bodyChecksum = fields.getLong();
    byte[] keyBytes = new byte[fields.getShort() & 0xffff];
    if (keyBytes.length > keyAndResultBytes) {
      return null;
    }
    fields.get(keyBytes);
    int resultBytes = keyAndResultBytes - keyBytes.length;
    if (fields.getInt() != resultBytes) {
      return null;
    }
    byte[] result = new byte[resultBytes];
    fields.get(result);
    return new LogRecord(
        kind,
        lastOfBatch,
        batch,
        writtenAtMillis,
        writtenAtSteadyMillis,
        coveredUntilMillis,
        windowMillis,
        bodyChecksum,
        new String(keyBytes, StandardCharsets.UTF_8),
        result);
  }
}
