package wharftrestle.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * One record of the write-ahead log, with its layout on disk. When a record is read, every length
 * field is validated before use.
 *
 * <pre>
 * int    length of the payload in bytes, 1 to MAX_PAYLOAD_BYTES
 * int    CRC32C of that length and of the payload, which follows
 * byte   kind; its highest bit is set on the last record of a batch
 * int    batch number: the same for all records synced together, increasing from batch to batch
 * long   time of writing, Unix ms
 * long   time of writing, ms of the machine's monotonic clock
 * long   covered until, Unix ms: no attempt with a timestamp up to this one may run
 * int    idempotency window, ms, including its slack
 * long   checksum of the request body
 * short  length of the key in bytes, then the key in UTF-8
 * int    length of the result in bytes, then the result
 * </pre>
 *
 * Records are aligned to 8 bytes and padded with zeros.
 *
 * @param kind what the record states about its key
 * @param lastOfBatch true on the last record of a batch
 * @param batch number of the batch
 * @param writtenAtMillis time of writing, Unix ms
 * @param writtenAtMonotonicMillis time of writing, ms of the machine's monotonic clock
 * @param coveredUntilMillis no attempt with a timestamp up to this one may run, Unix ms
 * @param windowMillis idempotency window, ms, including its slack
 * @param bodyChecksum checksum of the request body
 * @param key idempotency key, with request class and tenant
 * @param result the result of a RESULT record; empty for the other kinds
 */
@SuppressWarnings("JavaLangClash") // A log consists of records; java.lang.Record is never named.
public record LogRecord(
    Kind kind,
    boolean lastOfBatch,
    int batch,
    long writtenAtMillis,
    long writtenAtMonotonicMillis,
    long coveredUntilMillis,
    int windowMillis,
    long bodyChecksum,
    String key,
    byte[] result) {

  /** What a record states about its key; stored on disk as a number. */
  public enum Kind {
    /** An execution is about to be dispatched. */
    INTENT(1),
    /** The execution succeeded with this result. */
    RESULT(2),
    /** The execution ended without a result. */
    FAILED(3),
    /** No execution was dispatched. */
    VOID(4);

    private static final Kind[] BY_STORED_NUMBER = byStoredNumber();

    private final int storedNumber;

    Kind(int storedNumber) {
      this.storedNumber = storedNumber;
    }

    /** The number of this kind on disk. */
    public int storedNumber() {
      return storedNumber;
    }

    /** The kind with this number on disk; null if there is none. */
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

  /** Maximum length of a key in bytes. */
  public static final int MAX_KEY_BYTES = 512;

  /** Maximum length of a result in bytes; the protocol allows 4 kB. */
  public static final int MAX_RESULT_BYTES = 64 * 1024;

  static final int MAX_PAYLOAD_BYTES = 128 * 1024;

  /** Length and CRC. */
  static final int HEADER_BYTES = 8;

  static final int ALIGNMENT_BYTES = 8;

  private static final int CRC_OFFSET = 4;
  private static final int LAST_OF_BATCH_FLAG = 0x80;
  private static final int FIXED_PAYLOAD_BYTES = 1 + 4 + 8 + 8 + 8 + 4 + 8 + 2 + 4;

  /** Creates a record without batch number and time of writing. */
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

  /** Returns a copy with the given batch number and times of writing. */
  LogRecord stamped(boolean isLastOfBatch, int batchNumber, long wallMillis, long monotonicMillis) {
    return new LogRecord(
        kind,
        isLastOfBatch,
        batchNumber,
        wallMillis,
        monotonicMillis,
        coveredUntilMillis,
        windowMillis,
        bodyChecksum,
        key,
        result);
  }

  /** Size on disk in bytes, including padding. */
  int size() {
    return size(key.getBytes(StandardCharsets.UTF_8).length, result.length);
  }

  static int size(int keyBytes, int resultBytes) {
    return aligned(HEADER_BYTES + FIXED_PAYLOAD_BYTES + keyBytes + resultBytes);
  }

  static int aligned(int size) {
    return size + ALIGNMENT_BYTES - 1 & -ALIGNMENT_BYTES;
  }

  /** Appends the record and its padding to a buffer. */
  void writeTo(ByteBuffer buffer) {
    int offset = buffer.position();
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    int length = FIXED_PAYLOAD_BYTES + keyBytes.length + result.length;
    buffer
        .putInt(length)
        .putInt(0)
        .put((byte) (kind.storedNumber() | (lastOfBatch ? LAST_OF_BATCH_FLAG : 0)))
        .putInt(batch)
        .putLong(writtenAtMillis)
        .putLong(writtenAtMonotonicMillis)
        .putLong(coveredUntilMillis)
        .putInt(windowMillis)
        .putLong(bodyChecksum)
        .putShort((short) keyBytes.length)
        .put(keyBytes)
        .putInt(result.length)
        .put(result);
    buffer.putInt(offset + CRC_OFFSET, crc(buffer, offset, length));
    while ((buffer.position() - offset) % ALIGNMENT_BYTES != 0) {
      buffer.put((byte) 0);
    }
  }

  private static int crc(ByteBuffer bytes, int offset, int length) {
    CRC32C crc = new CRC32C();
    ByteBuffer part = bytes.duplicate();
    crc.update(part.limit(offset + CRC_OFFSET).position(offset));
    crc.update(part.limit(offset + HEADER_BYTES + length).position(offset + HEADER_BYTES));
    return (int) crc.getValue();
  }

  /**
   * Size that the record at an offset declares, without padding; 0 if the buffer is too short or
   * the declared length exceeds the maximum. The record is not validated.
   */
  static int declaredSize(ByteBuffer bytes, int offset) {
    if (bytes.limit() - offset < Integer.BYTES || bytes.getInt(offset) > MAX_PAYLOAD_BYTES) {
      return 0;
    }
    return bytes.getInt(offset) + HEADER_BYTES;
  }

  /** Reads the record at an offset; null if there is no intact record. */
  static LogRecord readAt(ByteBuffer bytes, int offset) {
    if (offset < 0 || bytes.limit() - offset < HEADER_BYTES + FIXED_PAYLOAD_BYTES) {
      return null;
    }
    int length = bytes.getInt(offset);
    if (length < FIXED_PAYLOAD_BYTES
        || length > MAX_PAYLOAD_BYTES
        || length > bytes.limit() - offset - HEADER_BYTES) {
      return null;
    }
    int kindAndFlag = bytes.get(offset + HEADER_BYTES);
    Kind kind = Kind.ofStoredNumber(kindAndFlag & LAST_OF_BATCH_FLAG - 1);
    if (kind == null || bytes.getInt(offset + CRC_OFFSET) != crc(bytes, offset, length)) {
      return null;
    }
    boolean lastOfBatch = (kindAndFlag & LAST_OF_BATCH_FLAG) != 0;
    ByteBuffer fields = bytes.duplicate().position(offset + HEADER_BYTES + 1);
    return readFields(kind, lastOfBatch, fields, length - FIXED_PAYLOAD_BYTES);
  }

  /** Reads the fields after the kind; null if the lengths of key and result are inconsistent. */
  private static LogRecord readFields(
      Kind kind, boolean lastOfBatch, ByteBuffer fields, int keyAndResultBytes) {
    int batch = fields.getInt();
    long writtenAtMillis = fields.getLong();
    long writtenAtMonotonicMillis = fields.getLong();
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
        writtenAtMonotonicMillis,
        coveredUntilMillis,
        windowMillis,
        bodyChecksum,
        new String(keyBytes, StandardCharsets.UTF_8),
        result);
  }
}
