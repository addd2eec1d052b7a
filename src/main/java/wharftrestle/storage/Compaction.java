package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.time.SteadyWallClock;

/**
 * Rewrites the live records of a log that nobody writes into as few segments as hold them. After
 * each step a crash leaves a log that says the same: new segments first, then the manifest that
 * names them alone, then the old ones are deleted. Must not be run on a damaged log, as the damage
 * would be forgotten. One instance serves one run, on one thread.
 */
final class Compaction {
  private static final int BATCH = 1;

  private final SegmentStore store;
  private final int segmentBytes;
  private final long bootId;
  private final long monotonicMillis = LogClock.monotonicMillis();
  private final long wallMillis = SteadyWallClock.wallMillis();
  private final List<Long> newSegments = new ArrayList<>();
  private ByteBuffer segment; // records of the last new segment; null before the first

  private Compaction(SegmentStore store, int segmentBytes) {
    this.store = store;
    this.segmentBytes = segmentBytes;
    bootId = store.bootId();
  }

  /** A record that still matters, and where it lies. */
  private record LiveRecord(RecordLocation location, int size, boolean sameBoot) {}

  /** True where a start finds so many segments that a few more would leave no capacity. */
  static boolean isWorthwhile(SpaceBudget space) {
    return space.segmentCount() > space.maxSegments() / 2;
  }

  /**
   * Compacts the log.
   *
   * @param segmentBytes size of a new segment
   * @param maxSegments old and new ones together
   * @return false where it would not fit or gain nothing; then nothing has changed
   */
  static boolean run(SegmentStore store, int segmentBytes, int maxSegments) throws IOException {
    return new Compaction(store, segmentBytes).run(maxSegments);
  }

  private boolean run(int maxSegments) throws IOException {
    long[] oldSegments = store.segmentNumbers();
    List<LiveRecord> live = findLiveRecords(oldSegments);
    int needed = segmentsFor(live);
    if (oldSegments.length + needed > maxSegments || needed >= oldSegments.length) {
      return false;
    }
    writeAll(live, oldSegments.length == 0 ? 0 : oldSegments[oldSegments.length - 1]);
    store.writeManifest(Manifest.encode(newSegments));
    for (long number : oldSegments) {
      store.delete(number);
    }
    return true;
  }

  /** The last record of each key that is not expired, in the order of the log. */
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
    int needed = live.isEmpty() ? 0 : 1;
    int used = Segment.HEADER_BYTES;
    for (LiveRecord each : live) {
      if (used + each.size() > segmentBytes) {
        needed++;
        used = Segment.HEADER_BYTES;
      }
      used += each.size();
    }
    return needed;
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
      throw new IOException("expected a record at " + at + ", found none");
    }
    // A record of an earlier boot ages from now on: its monotonic clock says nothing here.
    record
        .stamped(
            lastOfBatch,
            BATCH,
            live.sameBoot() ? record.writtenAtMillis() : wallMillis,
            live.sameBoot() ? record.writtenAtSteadyMillis() : monotonicMillis)
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
