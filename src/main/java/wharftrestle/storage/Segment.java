package wharftrestle.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Layout of one file of the write-ahead log: a header, records, then zeros up to its full size. A
 * file has its full size from the start, so a shorter one was cut. {@link SegmentScan} reads the
 * records.
 */
final class Segment {
  /** Magic, version, first batch, number, boot, capacity and check; records follow. */
  static final int HEADER_BYTES = 48;

  static final int VERSION = 1;

  private static final long MAGIC = 0x5754524553554c54L; // "WTRESULT"
  private static final int VERSION_OFFSET = 8;
  private static final int FIRST_BATCH_OFFSET = 12;
  private static final int NUMBER_OFFSET = 16;
  private static final int BOOT_OFFSET = 24;
  private static final int CAPACITY_OFFSET = 32;
  private static final int CRC_OFFSET = 40;

  /** Bytes of the magic that must be right in a garbled file of ours. */
  private static final int LEAST_MAGIC_BYTES = 4;

  private static final long UNKNOWN_BOOT = 0;

  private Segment() {}

  /** A header as read; its boot tells whether the records' monotonic clock is the present one. */
  record Header(int version, int firstBatch, long number, long boot, long capacity) {}

  /** Visits each intact record in turn. */
  interface RecordVisitor {
    void visit(LogRecord record, int offset);
  }

  /**
   * What a scan found.
   *
   * @param header null where it is garbled or cut
   * @param end where the next record would begin
   * @param recordCount intact records
   * @param lastBatch batch of the last of them; 0 for none
   * @param torn something at the end is no record: a write that a crash cut
   * @param damaged something that was on disk is lost
   */
  record ScanResult(
      Header header, int end, int recordCount, int lastBatch, boolean torn, boolean damaged) {}

  /** A file that is none of the log's, or one of a later version. */
  static final class ForeignFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    ForeignFormatException(String message) {
      super(message);
    }
  }

  /** The bytes of a header. */
  static ByteBuffer header(int firstBatch, long number, long boot, long capacity) {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    header
        .putLong(MAGIC)
        .putInt(VERSION)
        .putInt(firstBatch)
        .putLong(number)
        .putLong(boot)
        .putLong(capacity);
    header.putInt(crc(header));
    return header.position(0).limit(HEADER_BYTES);
  }

  /**
   * Reads the header; null where it is garbled or cut.
   *
   * @throws ForeignFormatException where the file is of another format or a later version
   */
  static Header readHeader(ByteBuffer bytes) throws ForeignFormatException {
    if (bytes.limit() < HEADER_BYTES) {
      return null;
    }
    boolean intact = bytes.getInt(CRC_OFFSET) == crc(bytes);
    if (bytes.getLong(0) != MAGIC) {
      if (intact || !resemblesMagic(bytes.getLong(0))) {
        throw new ForeignFormatException("is no file of the write-ahead log");
      }
      return null;
    }
    int version = bytes.getInt(VERSION_OFFSET);
    if (intact && version > VERSION) {
      throw new ForeignFormatException("is of version " + version + ", expected " + VERSION);
    }
    return intact
        ? new Header(
            version,
            bytes.getInt(FIRST_BATCH_OFFSET),
            bytes.getLong(NUMBER_OFFSET),
            bytes.getLong(BOOT_OFFSET),
            bytes.getLong(CAPACITY_OFFSET))
        : null;
  }

  private static int crc(ByteBuffer header) {
    CRC32C crc = new CRC32C();
    crc.update(header.duplicate().position(0).limit(CRC_OFFSET));
    return (int) crc.getValue();
  }

  /** A file of the log with some garbled bytes, or zeros that a crash left, is not foreign. */
  private static boolean resemblesMagic(long magic) {
    int same = 0;
    for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
      same += (magic >>> shift & 0xff) == (MAGIC >>> shift & 0xff) ? 1 : 0;
    }
    return magic == 0 || same >= LEAST_MAGIC_BYTES;
  }

  /** True where the records' monotonic clock is that of this boot. */
  static boolean isSameBoot(ByteBuffer bytes, long boot) throws ForeignFormatException {
    Header header = readHeader(bytes);
    return header != null && boot != UNKNOWN_BOOT && header.boot() == boot;
  }

  /** Visits the intact records in the order of the file. */
  static ScanResult scan(ByteBuffer bytes, RecordVisitor visitor) throws ForeignFormatException {
    return new SegmentScan(bytes, readHeader(bytes)).run(visitor);
  }
}
