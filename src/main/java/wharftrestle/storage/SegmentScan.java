package wharftrestle.storage;

import java.nio.ByteBuffer;

/**
 * One pass over the bytes of a segment that may not be intact. A hole in what was synced must not
 * be taken for the end of the log: a key lost in there could run again.
 *
 * <p>Holes are told apart by batches, as a batch is written only after the one before it was
 * synced. A hole with a later batch behind it was on disk and is damage. A hole within the last
 * batch of the log is a write that a crash tore, and nothing in it was acted on.
 */
final class SegmentScan {
  private static final int NONE = Integer.MAX_VALUE;

  private final ByteBuffer bytes;
  private final Segment.Header header;
  private boolean damaged;
  private int recordCount;
  private int batch; // of the last intact record
  private boolean batchEnded; // that record was the last of its batch
  private int holeBatch = NONE; // the batch that the earliest hole lies in
  private int end = Segment.HEADER_BYTES;

  SegmentScan(ByteBuffer bytes, Segment.Header header) {
    this.bytes = bytes;
    this.header = header;
    damaged = header == null || bytes.limit() < header.capacity();
    batch = header == null ? 0 : header.firstBatch() - 1;
    batchEnded = header != null;
  }

  Segment.ScanResult run(Segment.RecordVisitor visitor) {
    int at = Segment.HEADER_BYTES;
    while (at >= 0 && at < bytes.limit()) {
      LogRecord record = LogRecord.readAt(bytes, at);
      at = record == null ? skipHole(at) : accept(record, at, visitor);
    }
    boolean torn = holeBatch != NONE || (recordCount > 0 && !batchEnded) || !isZeroFrom(end);
    return new Segment.ScanResult(header, end, recordCount, batch, torn, damaged);
  }

  /** Notes a hole; where the next intact record begins, -1 for none. */
  private int skipHole(int at) {
    int next = nextRecord(at);
    if (next >= 0) {
      holeBatch = Math.min(holeBatch, batchEnded ? batch + 1 : batch);
      damaged |= LogRecord.readAt(bytes, next).batch() > holeBatch;
    }
    return next;
  }

  /** Visits a record; where the next one begins. */
  private int accept(LogRecord record, int at, Segment.RecordVisitor visitor) {
    damaged |= record.batch() > holeBatch;
    batch = record.batch();
    batchEnded = record.lastOfBatch();
    recordCount++;
    visitor.visit(record, at);
    end = at + record.size();
    return end;
  }

  private int nextRecord(int after) {
    for (int at = after + LogRecord.ALIGNMENT_BYTES;
        at < bytes.limit();
        at += LogRecord.ALIGNMENT_BYTES) {
      boolean mayBegin = bytes.limit() - at >= Integer.BYTES && bytes.getInt(at) != 0;
      if (mayBegin && LogRecord.readAt(bytes, at) != null) {
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
