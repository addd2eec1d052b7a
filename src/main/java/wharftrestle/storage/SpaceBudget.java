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
  static final int PROMISE =
      LogRecord.size(LogRecord.LONGEST_KEY, 4096) + LogRecord.size(LogRecord.LONGEST_KEY, 0);

  private static final int SEGMENTS = 16;
  private static final int LEAST_SEGMENT = 256 * 1024;
  private static final int LARGEST_SEGMENT = 4 << 20;

  /** One file: its number, what is used of it, and when the last of its keys is forgotten. */
  private static final class Part {
    private final long number;
    private int used = Segment.HEAD;
    private double until = Double.NEGATIVE_INFINITY;

    Part(long number) {
      this.number = number;
    }
  }

  private final int segment;
  private final int most;
  private final ArrayDeque<Part> parts = new ArrayDeque<>();
  private long promised;

  /**
   * @param bytes on disk at most
   */
  public SpaceBudget(long bytes) {
    segment =
        (int) Math.max(LEAST_SEGMENT, Math.min(LARGEST_SEGMENT, bytes / SEGMENTS))
            & -LogRecord.ALIGN;
    most = (int) Math.max(2, bytes / segment);
  }

  /** Bytes of one file. */
  int segment() {
    return segment;
  }

  int segments() {
    return parts.size();
  }

  /** Bytes on disk, whole files. */
  public long bytes() {
    return (long) parts.size() * segment;
  }

  /** Bytes written that are not given back. */
  public long used() {
    return parts.stream().mapToLong(part -> part.used).sum();
  }

  /** The file that is written, or -1. */
  long current() {
    return parts.isEmpty() ? -1 : parts.peekLast().number;
  }

  /**
   * A file is begun, or was found with so many bytes used, the last of whose keys is forgotten
   * then.
   */
  void add(long number, int used, double until) {
    Part part = new Part(number);
    part.used = used;
    part.until = until;
    parts.addLast(part);
  }

  /** True where a record of this size needs a further file. */
  boolean full(int size) {
    return parts.isEmpty() || parts.peekLast().used + size > segment;
  }

  /** True where a further file may be begun. */
  boolean mayGrow() {
    return parts.size() < most;
  }

  /** A record was put into the file that is written; where, and until when its key is known. */
  int put(int size, double until) {
    Part part = parts.peekLast();
    int at = part.used;
    part.used += size;
    part.until = Math.max(part.until, until);
    return at;
  }

  /** Files at most. */
  int files() {
    return most;
  }

  /** The numbers of all files. */
  List<Long> numbers() {
    return parts.stream().map(part -> part.number).toList();
  }

  /** No file is there. */
  void clear() {
    parts.clear();
    promised = 0;
  }

  /** Promises room for an intent of this size and its result; false where it does not fit. */
  boolean promise(int size) {
    if (!fits(size)) {
      return false;
    }
    promised += size + PROMISE;
    return true;
  }

  boolean fits(int size) {
    long rest = parts.isEmpty() ? 0 : segment - parts.peekLast().used;
    long whole = (long) (most - parts.size()) * (segment - Segment.HEAD);
    // What a record leaves unused at the end of a file is lost: at most a promise a file.
    long lost = (long) PROMISE * (most - parts.size() + 1);
    return rest + whole - lost - promised >= size + PROMISE;
  }

  /** A promise made for an intent of this size is over. */
  void settle(int size) {
    promised -= size + PROMISE;
  }

  long promised() {
    return promised;
  }

  /** The oldest file whose keys are all forgotten; -1 for none. The one that is written stays. */
  long over(double now) {
    Part first = parts.peekFirst();
    return parts.size() > 1 && first.until < now ? first.number : -1;
  }

  /** The oldest file is gone. */
  void drop() {
    parts.removeFirst();
  }

  /** Seconds until there is room again as far as is known now: when the oldest file goes. */
  double again(double now) {
    Part first = parts.peekFirst();
    return first == null || first.until == Double.NEGATIVE_INFINITY
        ? 1
        : Math.max(0.05, first.until - now);
  }
}
