package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.TreeSet;
import wharftrestle.time.SteadyWallClock;

/**
 * Appends batches of records to the current segment, creates new segments, deletes expired ones,
 * and updates the manifest. Not thread-safe: used by the thread that opens the log, then by the
 * writer thread. The monitor of the space budget is held only to read and update the budget, never
 * during a call of the store.
 */
final class SegmentWriter {
  private static final int BUFFER_BYTES = 256 * 1024;
  private static final int NO_OFFSET = -1;

  private final SegmentStore store;
  private final SpaceBudget space;
  private final boolean syncEnabled;
  private final LogMetrics metrics;
  private final TreeSet<Long> missingSegments;
  private final double missingSegmentsExpireAtSeconds;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private int bufferOffset = NO_OFFSET; // offset in the segment of the buffer's first byte
  private int batch;

  /**
   * Creates a writer that continues the log that a reader found.
   *
   * @param syncEnabled false if records are not synced and may be lost in a power failure
   * @param missingSegmentsExpireAtSeconds time until which missing segments stay in the manifest,
   *     so that another start detects the damage as well
   */
  SegmentWriter(
      SegmentStore store,
      SpaceBudget space,
      boolean syncEnabled,
      LogMetrics metrics,
      LogReader.Contents contents,
      double missingSegmentsExpireAtSeconds) {
    this.store = store;
    this.space = space;
    this.syncEnabled = syncEnabled;
    this.metrics = metrics;
    this.missingSegments = new TreeSet<>(contents.missingSegments());
    this.missingSegmentsExpireAtSeconds = missingSegmentsExpireAtSeconds;
    this.batch = contents.batch();
  }

  /** True if the space budget allows another segment. */
  boolean hasCapacityForSegment() {
    synchronized (space) {
      return space.hasCapacityForSegment();
    }
  }

  /** Creates a segment, then lists it in the manifest, before any record is written to it. */
  void beginSegment() throws IOException {
    if (!hasCapacityForSegment()) {
      throw new IOException("space budget allows no further segment");
    }
    long number = nextSegmentNumber();
    int bytes = space.segmentBytes();
    store.create(number, Segment.header(batch + 1, number, store.bootId(), bytes), bytes);
    synchronized (space) {
      space.addSegment(number, Segment.HEADER_BYTES, Double.NEGATIVE_INFINITY);
    }
    writeManifest();
  }

  /**
   * Begins a segment after a failure. Skips the next two batch numbers, so that records of the
   * failed batch that reached the disk cannot be mistaken for part of the next batch.
   */
  void beginSegmentAfterFailure() throws IOException {
    batch += 2;
    beginSegment();
  }

  private long nextSegmentNumber() {
    long number;
    synchronized (space) {
      number = space.currentSegment() + 1;
    }
    return Math.max(number, missingSegments.isEmpty() ? 0 : missingSegments.last() + 1);
  }

  private void writeManifest() throws IOException {
    TreeSet<Long> numbers = new TreeSet<>(missingSegments);
    synchronized (space) {
      numbers.addAll(space.segmentNumbers());
    }
    store.writeManifest(Manifest.encode(numbers));
  }

  /**
   * Writes one batch and syncs it. Each record gets its location once it is on disk; a record for
   * which there is no capacity gets {@link RecordLocation#NOT_WRITTEN}.
   */
  void write(List<PendingRecord> records) throws IOException {
    batch++;
    buffer.clear();
    bufferOffset = NO_OFFSET;
    long wallMillis = SteadyWallClock.wallMillis();
    long monotonicMillis = LogClock.monotonicMillis();
    long[] locations = new long[records.size()];
    for (int i = 0; i < locations.length; i++) {
      PendingRecord pending = records.get(i);
      locations[i] = allocate(pending);
      if (locations[i] != RecordLocation.NOT_WRITTEN) {
        boolean lastOfBatch = i == locations.length - 1;
        pending.record().stamped(lastOfBatch, batch, wallMillis, monotonicMillis).writeTo(buffer);
      }
    }
    flush();
    sync();
    metrics.countRecords(locations.length);
    for (int i = 0; i < locations.length; i++) {
      records.get(i).setLocation(locations[i]);
    }
  }

  /** Allocates space for a record in the segment and in the buffer, and returns its location. */
  private long allocate(PendingRecord pending) throws IOException {
    if (needsNewSegment(pending)) {
      flush();
      sync();
      if (!hasCapacityForSegment()) {
        // The record exceeds its reservation; its result is kept only in memory.
        return RecordLocation.NOT_WRITTEN;
      }
      beginSegment();
    }
    if (buffer.remaining() < pending.sizeBytes()) {
      flush();
    }
    int offset;
    long number;
    synchronized (space) {
      offset = space.append(pending.sizeBytes(), pending.expiresAtSeconds());
      number = space.currentSegment();
    }
    bufferOffset = bufferOffset == NO_OFFSET ? offset : bufferOffset;
    return RecordLocation.pack(number, offset);
  }

  private boolean needsNewSegment(PendingRecord pending) {
    synchronized (space) {
      return space.needsNewSegment(pending.sizeBytes());
    }
  }

  private void flush() throws IOException {
    if (bufferOffset != NO_OFFSET) {
      buffer.flip();
      store.write(space.currentSegment(), bufferOffset, buffer);
      bufferOffset = NO_OFFSET;
    }
    buffer.clear();
  }

  private void sync() throws IOException {
    if (syncEnabled) {
      long startNanos = System.nanoTime();
      store.sync(space.currentSegment());
      metrics.recordSync(System.nanoTime() - startNanos);
    }
  }

  /** Deletes segments whose keys have all expired, first from the manifest, then the file. */
  void removeExpired(double nowSeconds) throws IOException {
    if (!missingSegments.isEmpty() && nowSeconds > missingSegmentsExpireAtSeconds) {
      missingSegments.clear();
      writeManifest();
    }
    for (long expiredSegment = oldestExpired(nowSeconds);
        expiredSegment >= 0;
        expiredSegment = oldestExpired(nowSeconds)) {
      synchronized (space) {
        space.removeOldest();
      }
      writeManifest();
      store.delete(expiredSegment);
    }
  }

  private long oldestExpired(double nowSeconds) {
    synchronized (space) {
      return space.oldestExpiredSegment(nowSeconds);
    }
  }
}
