package wharftrestle.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * Layout of one file of the write-ahead log: a header, records, then zeros up to its capacity. A
 * file is created at full size, so a shorter file was truncated. {@link SegmentScan} reads the
 * records.
 */
final class Segment {
  /**
   * Magic, version, first batch, number, boot ID, capacity and CRC (44 bytes), then 4 zero bytes;
   * records follow.
   */
  static final int HEADER_BYTES = 48;

  static final int VERSION = 1;

  private static final long MAGIC = 0x5754524553554c54L; // "WTRESULT"
  private static final int VERSION_OFFSET = 8;
  private static final int FIRST_BATCH_OFFSET = 12;
  private static final int NUMBER_OFFSET = 16;
  private static final int BOOT_OFFSET = 24;
  private static final int CAPACITY_OFFSET = 32;
  private static final int CRC_OFFSET = 40;

  /**
   * Bytes of the magic that must match for a file with a bad CRC to count as damaged, not foreign.
   */
  private static final int MIN_MATCHING_MAGIC_BYTES = 4;

  private static final long UNKNOWN_BOOT = 0;

  /** Largest file that is read as a segment; segments of all versions are smaller. */
  private static final int MAX_FILE_BYTES = 1 << 30;

  private Segment() {}

  /**
   * A decoded header.
   *
   * @param bootId ID of the boot in which the records were written; their monotonic times are valid
   *     only in that boot
   */
  record Header(int version, int firstBatch, long number, long bootId, long capacity) {

    /** True if the records were written during the given boot. */
    boolean isOfBoot(long currentBootId) {
      return currentBootId != UNKNOWN_BOOT && bootId == currentBootId;
    }
  }

  /** Called for each intact record in the order of the file. */
  interface RecordVisitor {
    void visit(LogRecord record, int offset);
  }

  /**
   * The result of a scan.
   *
   * @param header null if it is corrupt or truncated
   * @param end offset of the first byte after the last intact record
   * @param recordCount number of intact records
   * @param lastBatch batch number of the last intact record; if there is none, the number before
   *     the header's first batch, or 0 without a header
   * @param torn true if there are bytes that belong to no complete batch, as a crash during a write
   *     leaves them
   * @param damaged true if records that had been synced are lost
   */
  record ScanResult(
      Header header, int end, int recordCount, int lastBatch, boolean torn, boolean damaged) {}

  /** Thrown for a file that is not part of a write-ahead log or has a later version. */
  static final class ForeignFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    ForeignFormatException(String message) {
      super(message);
    }
  }

  /** Encodes a header. */
  static ByteBuffer header(int firstBatch, long number, long bootId, long capacity) {
    ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
    header
        .putLong(MAGIC)
        .putInt(VERSION)
        .putInt(firstBatch)
        .putLong(number)
        .putLong(bootId)
        .putLong(capacity);
    header.putInt(crc(header));
    return header.position(0).limit(HEADER_BYTES);
  }

  /**
   * Reads the header; null if it is corrupt or truncated.
   *
   * @throws ForeignFormatException if the file has another format or a later version
   */
  static Header readHeader(ByteBuffer bytes) throws ForeignFormatException {
    if (bytes.limit() < HEADER_BYTES) {
      return null;
    }
    boolean intact = bytes.getInt(CRC_OFFSET) == crc(bytes);
    if (bytes.getLong(0) != MAGIC) {
      if (intact || !resemblesMagic(bytes.getLong(0))) {
        throw new ForeignFormatException("a file is not a segment of the write-ahead log");
      }
      return null;
    }
    int version = bytes.getInt(VERSION_OFFSET);
    if (intact && version > VERSION) {
      throw new ForeignFormatException(
          "a segment has version " + version + ", expected at most " + VERSION);
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

  /**
   * True if the magic may be that of a damaged segment: enough of its bytes match, or all are zero,
   * which happens after a crash.
   */
  private static boolean resemblesMagic(long magic) {
    int matchingBytes = 0;
    for (int shift = 0; shift < Long.SIZE; shift += Byte.SIZE) {
      matchingBytes += (magic >>> shift & 0xff) == (MAGIC >>> shift & 0xff) ? 1 : 0;
    }
    return magic == 0 || matchingBytes >= MIN_MATCHING_MAGIC_BYTES;
  }

  /**
   * The size of a file as an int.
   *
   * @throws ForeignFormatException if offsets in a file of this size cannot be stored
   */
  static int checkSize(long bytes) throws ForeignFormatException {
    if (bytes > MAX_FILE_BYTES) {
      throw new ForeignFormatException(
          "a file has " + bytes + " bytes, expected a segment of at most " + MAX_FILE_BYTES);
    }
    return (int) bytes;
  }
}
