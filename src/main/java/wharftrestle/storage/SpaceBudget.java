package wharftrestle.storage;

import java.util.ArrayDeque;
import java.util.List;

/**
 * What fits. It owns the account of bytes on disk by segment, what is promised to results to come,
 * and when a segment's time is over; it must never let an intent in whose result would not fit. No
 * files: the journal tells it. Sizes in bytes, times in seconds on one clock.
 */
public final class SpaceBudget {
  /** Promised to the result of each intent: PROTOCOL's 4 kB with its head, and a void beside it. */
  static final int RESERVED_BYTES_PER_INTENT =
      LogRecord.size(LogRecord.MAX_KEY_BYTES, 4096) + LogRecord.size(LogRecord.MAX_KEY_BYTES, 0);

  private static final int TARGET_SEGMENTS = 16;
  private static final int MIN_SEGMENT_BYTES = 256 * 1024;
  private static final int MAX_SEGMENT_BYTES = 4 << 20;

  /** One file: its number, what is used of it, and when the last of its keys is forgotten. */
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
   * @param bytes on disk at most
   */
  public SpaceBudget(long bytes) {
    segmentBytes =
        (int) Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, bytes / TARGET_SEGMENTS))
            & -LogRecord.ALIGNMENT_BYTES;
    maxSegments = (int) Math.max(2, bytes / segmentBytes);
  }

  /** Bytes of one file. */
  int segmentBytes() {
    return segmentBytes;
  }

  int segmentCount() {
    return segments.size();
  }

  /** Bytes on disk, whole files. */
  public long allocatedBytes() {
    return (long) segments.size() * segmentBytes;
  }

  /** Bytes written that are not given back. */
  public long usedBytes() {
    return segments.stream().mapToLong(part -> part.usedBytes).sum();
  }

  /** The file that is written, or -1. */
  long currentSegment() {
    return segments.isEmpty() ? -1 : segments.peekLast().number;
  }

  /**
   * A file is begun, or was found with so many bytes used, the last of whose keys is forgotten
   * then.
   */
  void addSegment(long number, int used, double until) {
    SegmentUsage part = new SegmentUsage(number);
    part.usedBytes = used;
    part.expiresAtSeconds = until;
    segments.addLast(part);
  }

  /** True where a record of this size needs a further file. */
  boolean needsNewSegment(int size) {
    return segments.isEmpty() || segments.peekLast().usedBytes + size > segmentBytes;
  }

  /** True where a further file may be begun. */
  boolean hasCapacityForSegment() {
    return segments.size() < maxSegments;
  }

  /** A record was put into the file that is written; where, and until when its key is known. */
  int append(int size, double until) {
    SegmentUsage part = segments.peekLast();
    int at = part.usedBytes;
    part.usedBytes += size;
    part.expiresAtSeconds = Math.max(part.expiresAtSeconds, until);
    return at;
  }

  /** Files at most. */
  int maxSegments() {
    return maxSegments;
  }

  /** The numbers of all files. */
  List<Long> segmentNumbers() {
    return segments.stream().map(part -> part.number).toList();
  }

  /** No file is there. */
  void clear() {
    segments.clear();
    reservedBytes = 0;
  }

  /** Promises room for an intent of this size and its result; false where it does not fit. */
  boolean tryReserve(int size) {
    if (!hasCapacityFor(size)) {
      return false;
    }
    reservedBytes += size + RESERVED_BYTES_PER_INTENT;
    return true;
  }

  boolean hasCapacityFor(int size) {
    long rest = segments.isEmpty() ? 0 : segmentBytes - segments.peekLast().usedBytes;
    long whole = (long) (maxSegments - segments.size()) * (segmentBytes - Segment.HEADER_BYTES);
    // What a record leaves unused at the end of a file is lost: at most a promise a file.
    long lost = (long) RESERVED_BYTES_PER_INTENT * (maxSegments - segments.size() + 1);
    return rest + whole - lost - reservedBytes >= size + RESERVED_BYTES_PER_INTENT;
  }

  /** A promise made for an intent of this size is over. */
  void release(int size) {
    reservedBytes -= size + RESERVED_BYTES_PER_INTENT;
  }

  long reservedBytes() {
    return reservedBytes;
  }

  /** The oldest file whose keys are all forgotten; -1 for none. The one that is written stays. */
  long oldestExpiredSegment(double now) {
    SegmentUsage first = segments.peekFirst();
    return segments.size() > 1 && first.expiresAtSeconds < now ? first.number : -1;
  }

  /** The oldest file is gone. */
  void removeOldest() {
    segments.removeFirst();
  }

  /** Seconds until there is room again as far as is known now: when the oldest file goes. */
  double secondsUntilCapacity(double now) {
    SegmentUsage first = segments.peekFirst();
    return first == null || first.expiresAtSeconds == Double.NEGATIVE_INFINITY
        ? 1
        : Math.max(0.05, first.expiresAtSeconds - now);
  }
}
