package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

  /** The location of the last record of a key that has not expired. */
  private record LiveRecord(RecordLocation location, int size, boolean sameBoot) {}

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
    return new Compaction(store, segmentBytes).run(maxSegments);
  }

  private boolean run(int maxSegments) throws IOException {
    long[] oldSegments = store.segmentNumbers();
    List<LiveRecord> live = findLiveRecords(oldSegments);
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

  /** The last record of each key that has not expired, in the order of the log. */
  private List<LiveRecord> findLiveRecords(long[] segments) throws IOException {
    Map<String, LiveRecord> live = new LinkedHashMap<>();
    Recovery recovery = new Recovery(SteadyWallClock.steadyWallMillis(), monotonicMillis);
    for (long number : segments) {
      boolean sameBoot = isOfBoot(store, number, bootId);
      scan(
          store,
          number,
          (record, offset) -> {
            live.remove(record.key());
            if (recovery.replay(record, offset, sameBoot)) {
              RecordLocation location = new RecordLocation(number, offset);
              live.put(record.key(), new LiveRecord(location, record.size(), sameBoot));
            }
          });
    }
    return new ArrayList<>(live.values());
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

  private int segmentsFor(List<LiveRecord> live) {
    int neededSegments = live.isEmpty() ? 0 : 1;
    int usedBytes = Segment.HEADER_BYTES;
    for (LiveRecord liveRecord : live) {
      if (usedBytes + liveRecord.size() > segmentBytes) {
        neededSegments++;
        usedBytes = Segment.HEADER_BYTES;
      }
      usedBytes += liveRecord.size();
    }
    return neededSegments;
  }

  private void writeAll(List<LiveRecord> live, long lastOldSegment) throws IOException {
    long number = lastOldSegment;
    for (int i = 0; i < live.size(); i++) {
      if (newSegments.isEmpty() || freeBytes() < live.get(i).size()) {
        finishSegment();
        beginSegment(++number);
      }
      int remaining = freeBytes() - live.get(i).size();
      boolean lastOfBatch = i == live.size() - 1 || remaining < live.get(i + 1).size();
      copy(live.get(i), lastOfBatch);
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

  private void copy(LiveRecord live, boolean lastOfBatch) throws IOException {
    RecordLocation at = live.location();
    LogRecord record = LogRecord.readAt(store.read(at.segment(), at.offset(), live.size()), 0);
    if (record == null) {
      throw new IOException("expected a record at " + at + ", found none or a corrupt one");
    }
    if (buffer.remaining() < live.size()) {
      flush();
    }
    // Monotonic times of an earlier boot cannot be compared, so the record ages from now on.
    record
        .stamped(
            lastOfBatch,
            BATCH,
            live.sameBoot() ? record.writtenAtMillis() : wallMillis,
            live.sameBoot() ? record.writtenAtMonotonicMillis() : monotonicMillis)
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
