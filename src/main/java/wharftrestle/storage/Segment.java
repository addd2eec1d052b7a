package wharftrestle.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * One file of the log: a head, then records, then zeros up to its full size. It owns the head's
 * layout and what a scan makes of a file that is not whole. It must never take a hole in what was
 * synced for the end of the log: a key lost in there could run again.
 *
 * <p>A file has its full size from the start, so a shorter one was cut. Within it, what is no
 * record is told apart by the batches: a batch is written only after the one before it was synced.
 * So a hole with a later batch behind it was on disk and is damage; a hole within the last batch of
 * the log is a write that a crash tore, and nothing in it was acted on.
 */
final class Segment {
  /** Bytes: magic, version, first batch, number, boot, capacity, check; records follow. */
  static final int HEADER_BYTES = 48;

  static final int VERSION = 1;
  private static final long MAGIC = 0x5754524553554c54L; // "WTRESULT"

  private Segment() {}

  /** A head as read: the boot tells whether the steady clock of its records is the present one. */
  record Header(int version, int firstBatch, long number, long boot, long capacity) {}

  /** Told of each whole record in turn. */
  interface RecordVisitor {
    void visit(LogRecord record, int offset);
  }

  /**
   * What a scan saw.
   *
   * @param end where the next record would begin
   * @param lastBatch of its records; 0 for none
   * @param torn something at its end is no record
   * @param damaged something that was on disk is lost
   */
  record ScanResult(
      Header header, int end, int recordCount, int lastBatch, boolean torn, boolean damaged) {}

  /** This is no file of ours, or one of a later version. */
  static final class ForeignFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    ForeignFormatException(String message) {
      super(message);
    }
  }

  static ByteBuffer header(int firstBatch, long number, long boot, long capacity) {
    ByteBuffer head = ByteBuffer.allocate(HEADER_BYTES);
    head.putLong(MAGIC)
        .putInt(VERSION)
        .putInt(firstBatch)
        .putLong(number)
        .putLong(boot)
        .putLong(capacity);
    CRC32C crc = new CRC32C();
    crc.update(head.array(), 0, head.position());
    head.putInt((int) crc.getValue());
    return head.position(0).limit(HEADER_BYTES);
  }

  /** The head; null where it is garbled or cut. */
  static Header readHeader(ByteBuffer bytes) throws ForeignFormatException {
    if (bytes.limit() < HEADER_BYTES) {
      return null;
    }
    CRC32C crc = new CRC32C();
    crc.update(bytes.duplicate().position(0).limit(40));
    boolean whole = bytes.getInt(40) == (int) crc.getValue();
    if (bytes.getLong(0) != MAGIC) {
      if (whole || !resemblesMagic(bytes.getLong(0))) {
        throw new ForeignFormatException("is no file of kept results");
      }
      return null;
    }
    if (whole && bytes.getInt(8) > VERSION) {
      throw new ForeignFormatException(
          "is of version " + bytes.getInt(8) + ", this program knows " + VERSION);
    }
    return whole
        ? new Header(
            bytes.getInt(8),
            bytes.getInt(12),
            bytes.getLong(16),
            bytes.getLong(24),
            bytes.getLong(32))
        : null;
  }

  /**
   * True where the steady clock of its records is that of this boot; a boot of 0 is no known one.
   */
  static boolean isSameBoot(ByteBuffer bytes, long boot) throws ForeignFormatException {
    Header head = readHeader(bytes);
    return head != null && boot != 0 && head.boot() == boot;
  }

  /**
   * Guards against calling a file of ours foreign for some garbled bytes, or zeros that a crash
   * left.
   */
  private static boolean resemblesMagic(long magic) {
    int same = 0;
    for (int i = 0; i < 64; i += 8) {
      same += (magic >>> i & 0xff) == (MAGIC >>> i & 0xff) ? 1 : 0;
    }
    return magic == 0 || same >= 4;
  }

  /** Goes through a file; each record is told in the order of the file. */
  static ScanResult scan(ByteBuffer bytes, RecordVisitor each) throws ForeignFormatException {
    Header head = readHeader(bytes);
    boolean damaged = head == null || bytes.limit() < head.capacity();
    int records = 0;
    int batch = head == null ? 0 : head.firstBatch() - 1; // of the last whole record
    boolean ended = head != null; // and it was the last of that
    int hole = Integer.MAX_VALUE; // the batch that the last hole lies in
    int at = HEADER_BYTES;
    int end = HEADER_BYTES;
    while (at < bytes.limit()) {
      LogRecord record = LogRecord.readAt(bytes, at);
      if (record == null) {
        int next = nextRecord(bytes, at);
        if (next < 0) {
          break;
        }
        int behind = LogRecord.readAt(bytes, next).batch();
        hole = Math.min(hole, ended ? batch + 1 : batch);
        damaged |= behind > hole;
        at = next;
        continue;
      }
      damaged |= record.batch() > hole;
      batch = record.batch();
      ended = record.lastOfBatch();
      records++;
      each.visit(record, at);
      at += record.size();
      end = at;
    }
    boolean torn = hole < Integer.MAX_VALUE || (records > 0 && !ended) || !isZeroFrom(bytes, end);
    return new ScanResult(head, end, records, batch, torn, damaged);
  }

  /** Where the next whole record begins behind this place; -1 for none. */
  private static int nextRecord(ByteBuffer bytes, int after) {
    for (int at = after + LogRecord.ALIGNMENT_BYTES;
        at < bytes.limit();
        at += LogRecord.ALIGNMENT_BYTES) {
      if (bytes.limit() - at >= 4 && bytes.getInt(at) != 0 && LogRecord.readAt(bytes, at) != null) {
        return at;
      }
    }
    return -1;
  }

  private static boolean isZeroFrom(ByteBuffer bytes, int from) {
    for (int at = from; at < bytes.limit(); at++) {
      if (bytes.get(at) != 0) {
        return false;
      }
    }
    return true;
  }
}
