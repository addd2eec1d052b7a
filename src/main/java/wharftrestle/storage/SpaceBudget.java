package wharftrestle.storage;

import java.util.ArrayDeque;
import java.util.List;

/**
 * The space on disk: bytes used by segment, bytes reserved for results to come, and when a segment
 * expires. An intent is let in only where its result will fit. Does no I/O: the writer says what it
 * did. Sizes in bytes, times in seconds on one clock. Not thread-safe: its callers hold it as their
 * lock.
 */
public final class SpaceBudget {
  private static final int PROTOCOL_MAX_RESULT_BYTES = 4096;

  /** For the result of each intent: the protocol's longest one, and a VOID record beside it. */
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

  /** One segment: its number, what is used of it, and when the last of its keys is forgotten. */
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
   * A budget without segments.
   *
   * @param bytes on disk at most
   */
  public SpaceBudget(long bytes) {
    segmentBytes =
        (int) Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, bytes / TARGET_SEGMENTS))
            & -LogRecord.ALIGNMENT_BYTES;
    maxSegments = (int) Math.max(MIN_SEGMENTS, bytes / segmentBytes);
  }

  /** Bytes of one segment. */
  int segmentBytes() {
    return segmentBytes;
  }

  int segmentCount() {
    return segments.size();
  }

  /** Bytes on disk, whole segments. */
  public long allocatedBytes() {
    return (long) segments.size() * segmentBytes;
  }

  /** Bytes written to the segments that are there. */
  public long usedBytes() {
    return segments.stream().mapToLong(segment -> segment.usedBytes).sum();
  }

  /** The segment that is written; -1 for none. */
  long currentSegment() {
    return segments.isEmpty() ? NO_SEGMENT : segments.peekLast().number;
  }

  /** A segment was begun, or was found with so many bytes used. */
  void addSegment(long number, int usedBytes, double expiresAtSeconds) {
    SegmentUsage segment = new SegmentUsage(number);
    segment.usedBytes = usedBytes;
    segment.expiresAtSeconds = expiresAtSeconds;
    segments.addLast(segment);
  }

  /** True where a record of this size needs a further segment. */
  boolean needsNewSegment(int size) {
    return segments.isEmpty() || segments.peekLast().usedBytes + size > segmentBytes;
  }

  /** True where a further segment may be begun. */
  boolean hasCapacityForSegment() {
    return segments.size() < maxSegments;
  }

  /** A record of this size is appended to the current segment; at which offset. */
  int append(int size, double expiresAtSeconds) {
    SegmentUsage segment = segments.peekLast();
    int offset = segment.usedBytes;
    segment.usedBytes += size;
    segment.expiresAtSeconds = Math.max(segment.expiresAtSeconds, expiresAtSeconds);
    return offset;
  }

  /** Segments at most. */
  int maxSegments() {
    return maxSegments;
  }

  /** The numbers of all segments, in order. */
  List<Long> segmentNumbers() {
    return segments.stream().map(segment -> segment.number).toList();
  }

  /** Forgets all segments and reservations. */
  void clear() {
    segments.clear();
    reservedBytes = 0;
  }

  /** Reserves space for an intent of this size and its result; false where there is none. */
  boolean tryReserve(int size) {
    if (!hasCapacityFor(size)) {
      return false;
    }
    reservedBytes += size + RESERVED_BYTES_PER_INTENT;
    return true;
  }

  /** True where an intent of this size and its result fit. */
  boolean hasCapacityFor(int size) {
    long currentRest = segments.isEmpty() ? 0 : segmentBytes - segments.peekLast().usedBytes;
    long newSegments =
        (long) (maxSegments - segments.size()) * (segmentBytes - Segment.HEADER_BYTES);
    // The end of a segment stays unused where the next record does not fit: a result at most.
    long unusable = (long) RESERVED_BYTES_PER_INTENT * (maxSegments - segments.size() + 1);
    return currentRest + newSegments - unusable - reservedBytes >= size + RESERVED_BYTES_PER_INTENT;
  }

  /** Gives the reservation of an intent of this size back. */
  void release(int size) {
    reservedBytes -= size + RESERVED_BYTES_PER_INTENT;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /** The oldest segment whose keys are all forgotten; -1 for none. The current one stays. */
  long oldestExpiredSegment(double now) {
    SegmentUsage first = segments.peekFirst();
    return segments.size() > 1 && first.expiresAtSeconds < now ? first.number : NO_SEGMENT;
  }

  /** The oldest segment is deleted. */
  void removeOldest() {
    segments.removeFirst();
  }

  /** Seconds until the oldest segment expires, as far as is known now. */
  double secondsUntilCapacity(double now) {
    SegmentUsage first = segments.peekFirst();
    return first == null || first.expiresAtSeconds == Double.NEGATIVE_INFINITY
        ? DEFAULT_RETRY_AFTER_SECONDS
        : Math.max(MIN_RETRY_AFTER_SECONDS, first.expiresAtSeconds - now);
  }
}
