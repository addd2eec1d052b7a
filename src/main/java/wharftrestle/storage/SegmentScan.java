package wharftrestle.storage;

import java.nio.ByteBuffer;

/**
 * One pass over the bytes of a segment that may be corrupt. The caller passes the bytes in windows,
 * so that a segment of any size needs the memory of one window. A corrupt region among synced
 * records must not be mistaken for the end of the log, since a key whose record is lost there could
 * run again.
 *
 * <p>Batch numbers distinguish the two cases, because a batch is written only after the previous
 * one was synced. A corrupt region that is followed by a later batch had been synced, so the
 * segment is damaged. A corrupt region in the last batch of the log is a torn write: its records
 * were never confirmed, so nothing depends on them.
 */
final class SegmentScan {
  /** Minimum size of a window that does not reach the end of the segment: the largest record. */
  static final int MIN_WINDOW_BYTES = LogRecord.HEADER_BYTES + LogRecord.MAX_PAYLOAD_BYTES;

  private static final int NO_BATCH = Integer.MAX_VALUE;

  private final Segment.Header header;
  private final int segmentBytes;
  private final Segment.RecordVisitor visitor;
  private int position = Segment.HEADER_BYTES;
  private boolean inCorruptRegion;
  private boolean damaged;
  private int recordCount;
  private int batch; // batch number of the last intact record
  private boolean batchComplete; // whether the last intact record ended its batch
  private int firstCorruptBatch = NO_BATCH; // lowest batch number with a corrupt region
  private int end = Segment.HEADER_BYTES;
  private boolean zeroSinceEnd = true;

  /**
   * Creates a scan that begins behind the header.
   *
   * @param header null if it is corrupt or truncated
   * @param segmentBytes size of the segment
   */
  SegmentScan(Segment.Header header, int segmentBytes, Segment.RecordVisitor visitor) {
    this.header = header;
    this.segmentBytes = segmentBytes;
    this.visitor = visitor;
    damaged = header == null || segmentBytes < header.capacity();
    batch = header == null ? 0 : header.firstBatch() - 1;
    batchComplete = header != null;
  }

  /** Offset in the segment at which the next window begins. */
  int position() {
    return position;
  }

  /** True once all bytes were scanned. */
  boolean isComplete() {
    return position >= segmentBytes;
  }

  /**
   * Scans the records that are complete in a window.
   *
   * @param window from its first byte to its limit the bytes of the segment from {@link #position}:
   *     at least {@link #MIN_WINDOW_BYTES}, or all up to the end of the segment
   */
  void accept(ByteBuffer window) {
    int windowStart = position;
    while (!isComplete() && !extendsBeyond(window, position - windowStart)) {
      LogRecord record = LogRecord.readAt(window, position - windowStart);
      if (record == null) {
        skipCorruptBytes(window, position - windowStart);
      } else {
        visitRecord(record);
      }
    }
  }

  /** The result, once the scan is complete. */
  Segment.ScanResult result() {
    boolean torn =
        firstCorruptBatch != NO_BATCH || (recordCount > 0 && !batchComplete) || !zeroSinceEnd;
    return new Segment.ScanResult(header, end, recordCount, batch, torn, damaged);
  }

  /** True if only a later window shows whether there is a record at this index of the window. */
  private boolean extendsBeyond(ByteBuffer window, int index) {
    int available = window.limit() - index;
    if (position + available >= segmentBytes) {
      return false;
    }
    if (available < LogRecord.HEADER_BYTES) {
      return true;
    }
    int recordBytes = LogRecord.declaredSize(window, index);
    return recordBytes > available && recordBytes <= segmentBytes - position;
  }

  private void skipCorruptBytes(ByteBuffer window, int index) {
    inCorruptRegion = true;
    int skippedBytes = Math.min(LogRecord.ALIGNMENT_BYTES, segmentBytes - position);
    zeroSinceEnd &= isZero(window, index, skippedBytes);
    position += skippedBytes;
  }

  private static boolean isZero(ByteBuffer window, int index, int length) {
    if (length == Long.BYTES) {
      return window.getLong(index) == 0;
    }
    boolean isZero = true;
    for (int i = 0; i < length; i++) {
      isZero &= window.get(index + i) == 0;
    }
    return isZero;
  }

  private void visitRecord(LogRecord record) {
    if (inCorruptRegion) {
      firstCorruptBatch = Math.min(firstCorruptBatch, batchComplete ? batch + 1 : batch);
      inCorruptRegion = false;
    }
    damaged |= record.batch() > firstCorruptBatch;
    batch = record.batch();
    batchComplete = record.lastOfBatch();
    recordCount++;
    visitor.visit(record, position);
    position += record.size();
    end = position;
    zeroSinceEnd = true;
  }
}
