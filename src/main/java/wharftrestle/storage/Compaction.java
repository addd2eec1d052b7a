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

  private final SegmentStore store;
  private final int segmentBytes;
  private final long bootId;
  private final long monotonicMillis = LogClock.monotonicMillis();
  private final long wallMillis = SteadyWallClock.wallMillis();
  private final List<Long> newSegments = new ArrayList<>();
  private ByteBuffer segment; // records of the newest segment; null before the first

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
      ByteBuffer bytes = store.read(number);
      boolean sameBoot = isSameBoot(bytes, bootId);
      scan(
          bytes,
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

  static boolean isSameBoot(ByteBuffer bytes, long bootId) throws IOException {
    try {
      return Segment.isSameBoot(bytes, bootId);
    } catch (Segment.ForeignFormatException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  static Segment.ScanResult scan(ByteBuffer bytes, Segment.RecordVisitor visitor)
      throws IOException {
    try {
      return Segment.scan(bytes, visitor);
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
      if (segment == null || segment.remaining() < live.get(i).size()) {
        finishSegment();
        beginSegment(++number);
      }
      int remaining = segment.remaining() - live.get(i).size();
      boolean lastOfBatch = i == live.size() - 1 || remaining < live.get(i + 1).size();
      copy(live.get(i), lastOfBatch);
    }
    finishSegment();
  }

  private void beginSegment(long number) throws IOException {
    segment = ByteBuffer.allocate(segmentBytes - Segment.HEADER_BYTES);
    store.create(number, Segment.header(BATCH, number, bootId, segmentBytes), segmentBytes);
    newSegments.add(number);
  }

  private void copy(LiveRecord live, boolean lastOfBatch) throws IOException {
    RecordLocation at = live.location();
    LogRecord record = LogRecord.readAt(store.read(at.segment(), at.offset(), live.size()), 0);
    if (record == null) {
      throw new IOException("expected a record at " + at + ", found none or a corrupt one");
    }
    // Monotonic times of an earlier boot cannot be compared, so the record ages from now on.
    record
        .stamped(
            lastOfBatch,
            BATCH,
            live.sameBoot() ? record.writtenAtMillis() : wallMillis,
            live.sameBoot() ? record.writtenAtMonotonicMillis() : monotonicMillis)
        .writeTo(segment);
  }

  private void finishSegment() throws IOException {
    if (segment != null) {
      long number = newSegments.get(newSegments.size() - 1);
      store.write(number, Segment.HEADER_BYTES, segment.flip());
      store.sync(number);
    }
  }
}
