package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.TreeSet;
import wharftrestle.time.SteadyWallClock;

/**
 * Appends batches of records to the current segment, begins the next one, and keeps the manifest.
 * Owns the batch number and the write buffer. Used by one thread at a time: the one that opens the
 * log, then the writer thread. The lock of the space budget is held for its figures alone, never
 * over a call of the store.
 */
final class SegmentWriter {
  private static final int BUFFER_BYTES = 256 * 1024;
  private static final int EMPTY = -1;

  private final SegmentStore store;
  private final SpaceBudget space;
  private final boolean syncs;
  private final LogMetrics metrics;
  private final TreeSet<Long> missingSegments;
  private final double missingExpireAtSeconds;
  private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
  private int bufferOffset = EMPTY; // where in the segment the buffer's first byte belongs
  private int batch;

  /**
   * A writer behind what a reader found.
   *
   * @param syncs false where records may be lost with the machine's power
   * @param missingExpireAtSeconds until then segments that were missing stay in the manifest, so
   *     that a further start still knows of the damage
   */
  SegmentWriter(
      SegmentStore store,
      SpaceBudget space,
      boolean syncs,
      LogMetrics metrics,
      LogReader.Contents contents,
      double missingExpireAtSeconds) {
    this.store = store;
    this.space = space;
    this.syncs = syncs;
    this.metrics = metrics;
    this.missingSegments = new TreeSet<>(contents.missingSegments());
    this.missingExpireAtSeconds = missingExpireAtSeconds;
    this.batch = contents.batch();
  }

  /** True where the space budget allows a further segment. */
  boolean hasCapacityForSegment() {
    synchronized (space) {
      return space.hasCapacityForSegment();
    }
  }

  /** Begins a further segment: it is made, then listed, before anything in it counts. */
  void beginSegment() throws IOException {
    if (!hasCapacityForSegment()) {
      throw new IOException("no capacity for a further segment");
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
   * Begins a segment after a failure. The batch number leaves a gap: what the failed batch left on
   * disk must not look like a part of the next one.
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
   * Writes one batch and syncs it; a record gets its location only when it is on disk. A record
   * that finds no capacity gets none.
   */
  void write(List<PendingRecord> records) throws IOException {
    batch++;
    buffer.clear();
    bufferOffset = EMPTY;
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

  /** Makes place for a record in the segment and in the buffer. */
  private long allocate(PendingRecord pending) throws IOException {
    if (needsNewSegment(pending)) {
      flush();
      sync();
      if (!hasCapacityForSegment()) {
        return RecordLocation.NOT_WRITTEN; // Longer than was reserved: it stays in memory alone.
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
    bufferOffset = bufferOffset == EMPTY ? offset : bufferOffset;
    return RecordLocation.pack(number, offset);
  }

  private boolean needsNewSegment(PendingRecord pending) {
    synchronized (space) {
      return space.needsNewSegment(pending.sizeBytes());
    }
  }

  private void flush() throws IOException {
    if (bufferOffset != EMPTY) {
      buffer.flip();
      store.write(space.currentSegment(), bufferOffset, buffer);
      bufferOffset = EMPTY;
    }
    buffer.clear();
  }

  private void sync() throws IOException {
    if (syncs) {
      long began = System.nanoTime();
      store.sync(space.currentSegment());
      metrics.recordSync(System.nanoTime() - began);
    }
  }

  /** Deletes the segments whose keys are all forgotten: off the manifest first, then the file. */
  void removeExpired(double nowSeconds) throws IOException {
    if (!missingSegments.isEmpty() && nowSeconds > missingExpireAtSeconds) {
      missingSegments.clear();
      writeManifest();
    }
    for (long expired = oldestExpired(nowSeconds);
        expired >= 0;
        expired = oldestExpired(nowSeconds)) {
      synchronized (space) {
        space.removeOldest();
      }
      writeManifest();
      store.delete(expired);
    }
  }

  private long oldestExpired(double nowSeconds) {
    synchronized (space) {
      return space.oldestExpiredSegment(nowSeconds);
    }
  }
}
