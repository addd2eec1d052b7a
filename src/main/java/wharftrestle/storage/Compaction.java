package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import wharftrestle.time.SteadyWallClock;

/**
 * Rewrites the live records of a log without a writer into as few segments as possible. It creates
 * the new segments, then writes a manifest that lists only them, then deletes the old segments, so
 * a crash after any step leaves a log with the same keys. A damaged log must not be compacted,
 * since the evidence of the damage would be lost. An instance is used for one run, by one thread.
 */
final class Compaction {
  /** Batch number of all records; each new segment is a complete batch of its own. */
  private static final int BATCH = 1;

  private static final int BUFFER_BYTES = LogRecord.aligned(SegmentScan.MIN_WINDOW_BYTES);

  private final SegmentStore store;
  private final int segmentBytes;
  private final long bootId;
  private final long monotonicMillis = LogClock.monotonicMillis();
  private final long wallMillis = SteadyWallClock.wallMillis();
  private final List<Long> newSegments = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES); // unwritten records
  private int writtenBytes; // of the newest segment, without the buffer

  private Compaction(SegmentStore store, int segmentBytes) {
    this.store = store;
    this.segmentBytes = segmentBytes;
    bootId = store.bootId();
  }

  /**
   * True if more than half of the allowed segments are in use. Each start of a daemon creates a
   * segment, so without compaction repeated starts would use up the space budget.
   */
  static boolean isWorthwhile(SpaceBudget space) {
    return space.segmentCount() > space.maxSegments() / 2;
  }

  /**
   * Compacts the log.
   *
   * @param segmentBytes size of a new segment
   * @param maxSegments limit on the number of old and new segments together
   * @return false, with the log unchanged, if the new segments would exceed the limit or would not
   *     be fewer than the old ones
   */
  static boolean run(SegmentStore store, int segmentBytes, int maxSegments) throws IOException {
    return run(store, findLiveRecords(store), segmentBytes, maxSegments);
  }

  /**
   * The same with the live records of the log.
   *
   * @param recovery of all segments, without dropped keys
   */
  static boolean run(SegmentStore store, Recovery recovery, int segmentBytes, int maxSegments)
      throws IOException {
    return new Compaction(store, segmentBytes).run(recovery.keys(), maxSegments);
  }

  private boolean run(Collection<Recovery.RecoveredKey> live, int maxSegments) throws IOException {
    long[] oldSegments = store.segmentNumbers();
    int neededSegments = segmentsFor(live);
    if (oldSegments.length + neededSegments > maxSegments || neededSegments >= oldSegments.length) {
      return false;
    }
    writeAll(live, oldSegments.length == 0 ? 0 : oldSegments[oldSegments.length - 1]);
    store.writeManifest(Manifest.encode(newSegments));
    for (long number : oldSegments) {
      store.delete(number);
    }
    return true;
  }

  /** The last record of each key that has not expired. */
  private static Recovery findLiveRecords(SegmentStore store) throws IOException {
    long bootId = store.bootId();
    Recovery recovery =
        new Recovery(
            SteadyWallClock.steadyWallMillis(), LogClock.monotonicMillis(), Integer.MAX_VALUE);
    for (long number : store.segmentNumbers()) {
      boolean sameBoot = isOfBoot(store, number, bootId);
      scan(
          store,
          number,
          (record, offset) ->
              recovery.replay(record, RecordLocation.pack(number, offset), sameBoot));
    }
    return recovery;
  }

  /** True if the records of a segment were written during the given boot. */
  static boolean isOfBoot(SegmentStore store, long number, long bootId) throws IOException {
    try {
      Segment.Header header = store.readHeader(number);
      return header != null && header.isOfBoot(bootId);
    } catch (Segment.ForeignFormatException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  static Segment.ScanResult scan(SegmentStore store, long number, Segment.RecordVisitor visitor)
      throws IOException {
    try {
      return store.scan(number, visitor);
    } catch (Segment.ForeignFormatException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private int segmentsFor(Collection<Recovery.RecoveredKey> live) {
    int neededSegments = live.isEmpty() ? 0 : 1;
    int usedBytes = Segment.HEADER_BYTES;
    for (Recovery.RecoveredKey key : live) {
      if (usedBytes + key.recordBytes() > segmentBytes) {
        neededSegments++;
        usedBytes = Segment.HEADER_BYTES;
      }
      usedBytes += key.recordBytes();
    }
    return neededSegments;
  }

  private void writeAll(Collection<Recovery.RecoveredKey> live, long lastOldSegment)
      throws IOException {
    long number = lastOldSegment;
    Iterator<Recovery.RecoveredKey> remaining = live.iterator();
    Recovery.RecoveredKey next = remaining.hasNext() ? remaining.next() : null;
    while (next != null) {
      Recovery.RecoveredKey key = next;
      next = remaining.hasNext() ? remaining.next() : null;
      if (newSegments.isEmpty() || freeBytes() < key.recordBytes()) {
        finishSegment();
        beginSegment(++number);
      }
      boolean lastOfBatch = next == null || freeBytes() - key.recordBytes() < next.recordBytes();
      copy(key, lastOfBatch);
    }
    finishSegment();
  }

  private void beginSegment(long number) throws IOException {
    store.create(number, Segment.header(BATCH, number, bootId, segmentBytes), segmentBytes);
    newSegments.add(number);
    writtenBytes = Segment.HEADER_BYTES;
  }

  /** Unused bytes of the newest segment. */
  private int freeBytes() {
    return segmentBytes - writtenBytes - buffer.position();
  }

  private void copy(Recovery.RecoveredKey key, boolean lastOfBatch) throws IOException {
    RecordLocation at = RecordLocation.unpack(key.recordLocation());
    LogRecord record =
        LogRecord.readAt(store.read(at.segment(), at.offset(), key.recordBytes()), 0);
    if (record == null) {
      throw new IOException("expected a record at " + at + ", found none or a corrupt one");
    }
    if (buffer.remaining() < key.recordBytes()) {
      flush();
    }
    // Monotonic times of an earlier boot cannot be compared, so the record ages from now on.
    record
        .stamped(
            lastOfBatch,
            BATCH,
            key.sameBoot() ? record.writtenAtMillis() : wallMillis,
            key.sameBoot() ? record.writtenAtMonotonicMillis() : monotonicMillis)
        .writeTo(buffer);
  }

  private void finishSegment() throws IOException {
    if (!newSegments.isEmpty()) {
      flush();
      store.sync(newestSegment());
    }
  }

  private void flush() throws IOException {
    buffer.flip();
    int flushedBytes = buffer.remaining();
    store.write(newestSegment(), writtenBytes, buffer);
    writtenBytes += flushedBytes;
    buffer.clear();
  }

  private long newestSegment() {
    return newSegments.get(newSegments.size() - 1);
  }
}
