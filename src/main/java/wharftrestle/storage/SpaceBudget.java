package wharftrestle.storage;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The space budget of the log: the bytes used in each segment, the bytes reserved for the results
 * of executions in flight, and the expiry time of each segment. An intent is accepted only if its
 * result will fit as well. Does no I/O: the writer reports what it wrote. Sizes are in bytes, times
 * in seconds on one clock. Not thread-safe: callers synchronize on the instance.
 */
public final class SpaceBudget {
  private static final int PROTOCOL_MAX_RESULT_BYTES = 4096;

  /** Reserved for each intent: the longest result of the protocol plus a VOID record. */
  static final int RESERVED_BYTES_PER_INTENT =
      LogRecord.size(LogRecord.MAX_KEY_BYTES, PROTOCOL_MAX_RESULT_BYTES)
          + LogRecord.size(LogRecord.MAX_KEY_BYTES, 0);

  private static final int TARGET_SEGMENTS = 16;
  private static final int MIN_SEGMENT_BYTES = 256 * 1024;
  private static final int MAX_SEGMENT_BYTES = 4 << 20;
  private static final int MIN_SEGMENTS = 2;
  private static final long NO_SEGMENT = -1;
  private static final double MIN_RETRY_AFTER_SECONDS = 0.05;
  private static final double DEFAULT_RETRY_AFTER_SECONDS = 1;

  /** One segment: its number, the bytes used, and when the last of its keys expires. */
  private static final class SegmentUsage {
    private final long number;
    private int usedBytes = Segment.HEADER_BYTES;
    private double expiresAtSeconds = Double.NEGATIVE_INFINITY;

    SegmentUsage(long number) {
      this.number = number;
    }
  }

  private final int segmentBytes;
  private final int maxSegments;
  private final ArrayDeque<SegmentUsage> segments = new ArrayDeque<>();
  private long reservedBytes;

  /**
   * Creates a budget without segments.
   *
   * @param bytes limit on the size on disk
   */
  public SpaceBudget(long bytes) {
    segmentBytes =
        (int) Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, bytes / TARGET_SEGMENTS))
            & -LogRecord.ALIGNMENT_BYTES;
    maxSegments = (int) Math.max(MIN_SEGMENTS, bytes / segmentBytes);
  }

  /** Size of a segment in bytes. */
  int segmentBytes() {
    return segmentBytes;
  }

  int segmentCount() {
    return segments.size();
  }

  /** Size of all segments on disk, including unused space. */
  public long allocatedBytes() {
    return (long) segments.size() * segmentBytes;
  }

  /** Bytes used in all segments. */
  public long usedBytes() {
    return segments.stream().mapToLong(segment -> segment.usedBytes).sum();
  }

  /** Number of the segment that is being written; -1 if there is none. */
  long currentSegment() {
    return segments.isEmpty() ? NO_SEGMENT : segments.peekLast().number;
  }

  /** Adds a new segment, or one that was found on disk. */
  void addSegment(long number, int usedBytes, double expiresAtSeconds) {
    SegmentUsage segment = new SegmentUsage(number);
    segment.usedBytes = usedBytes;
    segment.expiresAtSeconds = expiresAtSeconds;
    segments.addLast(segment);
  }

  /** True if a record of this size does not fit in the current segment. */
  boolean needsNewSegment(int size) {
    return segments.isEmpty() || segments.peekLast().usedBytes + size > segmentBytes;
  }

  /** True if another segment may be created. */
  boolean hasCapacityForSegment() {
    return segments.size() < maxSegments;
  }

  /** Allocates space for a record in the current segment and returns its offset. */
  int append(int size, double expiresAtSeconds) {
    SegmentUsage segment = segments.peekLast();
    int offset = segment.usedBytes;
    segment.usedBytes += size;
    segment.expiresAtSeconds = Math.max(segment.expiresAtSeconds, expiresAtSeconds);
    return offset;
  }

  /** Maximum number of segments. */
  int maxSegments() {
    return maxSegments;
  }

  /** The numbers of all segments, in order. */
  List<Long> segmentNumbers() {
    return segments.stream().map(segment -> segment.number).toList();
  }

  /** Removes all segments and reservations. */
  void clear() {
    segments.clear();
    reservedBytes = 0;
  }

  /** Reserves space for an intent of this size and its result; returns false if there is none. */
  boolean tryReserve(int size) {
    if (!hasCapacityFor(size)) {
      return false;
    }
    reservedBytes += size + RESERVED_BYTES_PER_INTENT;
    return true;
  }

  /** True if there is space for an intent of this size and its result. */
  boolean hasCapacityFor(int size) {
    long currentFreeBytes = segments.isEmpty() ? 0 : segmentBytes - segments.peekLast().usedBytes;
    long newSegmentBytes =
        (long) (maxSegments - segments.size()) * (segmentBytes - Segment.HEADER_BYTES);
    // A segment may end in unused space that is too small for the next record; that wastes at most
    // the reservation of one intent per segment.
    long unusableBytes = (long) RESERVED_BYTES_PER_INTENT * (maxSegments - segments.size() + 1);
    return currentFreeBytes + newSegmentBytes - unusableBytes - reservedBytes
        >= size + RESERVED_BYTES_PER_INTENT;
  }

  /** Releases the reservation of an intent of this size. */
  void release(int size) {
    reservedBytes -= size + RESERVED_BYTES_PER_INTENT;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /** The oldest segment if all its keys have expired and it is not the current one; else -1. */
  long oldestExpiredSegment(double now) {
    SegmentUsage oldest = segments.peekFirst();
    return segments.size() > 1 && oldest.expiresAtSeconds < now ? oldest.number : NO_SEGMENT;
  }

  /** Removes the oldest segment. */
  void removeOldest() {
    segments.removeFirst();
  }

  /** Estimated seconds until the oldest segment expires. */
  double secondsUntilCapacity(double now) {
    SegmentUsage oldest = segments.peekFirst();
    return oldest == null || oldest.expiresAtSeconds == Double.NEGATIVE_INFINITY
        ? DEFAULT_RETRY_AFTER_SECONDS
        : Math.max(MIN_RETRY_AFTER_SECONDS, oldest.expiresAtSeconds - now);
  }
}
