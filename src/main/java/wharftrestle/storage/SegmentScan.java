package wharftrestle.storage;

import java.nio.ByteBuffer;

/**
 * One pass over the bytes of a segment that may be corrupt. A corrupt region among synced records
 * must not be mistaken for the end of the log, since a key whose record is lost there could run
 * again.
 *
 * <p>Batch numbers distinguish the two cases, because a batch is written only after the previous
 * one was synced. A corrupt region that is followed by a later batch had been synced, so the
 * segment is damaged. A corrupt region in the last batch of the log is a torn write: its records
 * were never confirmed, so nothing depends on them.
 */
final class SegmentScan {
  private static final int NO_BATCH = Integer.MAX_VALUE;

  private final ByteBuffer bytes;
  private final Segment.Header header;
  private boolean damaged;
  private int recordCount;
  private int batch; // batch number of the last intact record
  private boolean batchComplete; // whether the last intact record ended its batch
  private int firstCorruptBatch = NO_BATCH; // lowest batch number with a corrupt region
  private int end = Segment.HEADER_BYTES;

  SegmentScan(ByteBuffer bytes, Segment.Header header) {
    this.bytes = bytes;
    this.header = header;
    damaged = header == null || bytes.limit() < header.capacity();
    batch = header == null ? 0 : header.firstBatch() - 1;
    batchComplete = header != null;
  }

  Segment.ScanResult run(Segment.RecordVisitor visitor) {
    int at = Segment.HEADER_BYTES;
    while (at >= 0 && at < bytes.limit()) {
      LogRecord record = LogRecord.readAt(bytes, at);
      at = record == null ? skipCorruptRegion(at) : visitRecord(record, at, visitor);
    }
    boolean torn =
        firstCorruptBatch != NO_BATCH || (recordCount > 0 && !batchComplete) || !isZeroFrom(end);
    return new Segment.ScanResult(header, end, recordCount, batch, torn, damaged);
  }

  /**
   * Handles a corrupt region; returns the offset of the next intact record, -1 if there is none.
   */
  private int skipCorruptRegion(int at) {
    int next = findIntactRecord(at);
    if (next >= 0) {
      firstCorruptBatch = Math.min(firstCorruptBatch, batchComplete ? batch + 1 : batch);
      damaged |= LogRecord.readAt(bytes, next).batch() > firstCorruptBatch;
    }
    return next;
  }

  /** Visits a record; returns the offset of the next one. */
  private int visitRecord(LogRecord record, int at, Segment.RecordVisitor visitor) {
    damaged |= record.batch() > firstCorruptBatch;
    batch = record.batch();
    batchComplete = record.lastOfBatch();
    recordCount++;
    visitor.visit(record, at);
    end = at + record.size();
    return end;
  }

  private int findIntactRecord(int after) {
    for (int at = after + LogRecord.ALIGNMENT_BYTES;
        at < bytes.limit();
        at += LogRecord.ALIGNMENT_BYTES) {
      boolean mayBeRecord = bytes.limit() - at >= Integer.BYTES && bytes.getInt(at) != 0;
      if (mayBeRecord && LogRecord.readAt(bytes, at) != null) {
        return at;
      }
    }
    return -1;
  }

  private boolean isZeroFrom(int from) {
    for (int at = from; at < bytes.limit(); at++) {
      if (bytes.get(at) != 0) {
        return false;
      }
    }
    return true;
  }
}
