package wharftrestle.storage;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.ResultStore;

/**
 * Counts what the write-ahead log did. Any thread may count and read; the figures are displayed and
 * decide nothing.
 */
final class LogMetrics {
  /** Longest sync that the histogram tells apart. */
  private static final long MAX_SYNC_MICROS = 60_000_000;

  private static final int HISTOGRAM_DIGITS = 2;
  private static final int NANOS_PER_MICRO = 1000;

  private final Histogram syncMicros = new Histogram(MAX_SYNC_MICROS, HISTOGRAM_DIGITS);
  private final AtomicLongArray rejections =
      new AtomicLongArray(ResultStore.RejectionReason.values().length);
  private final LongAdder records = new LongAdder();
  private final LongAdder unsaved = new LongAdder();
  private final LongAdder errors = new LongAdder();
  private volatile int recoveredKnown;
  private volatile int recoveredUnknown;
  private volatile boolean damaged;
  private volatile long recoveryMicros;

  void countRecords(int written) {
    records.add(written);
  }

  /** A result was answered that is not on disk. */
  void countUnsaved() {
    unsaved.increment();
  }

  void countError() {
    errors.increment();
  }

  void countRejection(ResultStore.RejectionReason reason) {
    rejections.incrementAndGet(index(reason));
  }

  void recordSync(long nanos) {
    long micros = Math.min(MAX_SYNC_MICROS, nanos / NANOS_PER_MICRO);
    synchronized (syncMicros) {
      syncMicros.recordValue(micros);
    }
  }

  void recordRecovery(int known, int unknown, boolean wasDamaged) {
    recoveredKnown = known;
    recoveredUnknown = unknown;
    damaged = wasDamaged;
  }

  void recordRecoveryTime(long nanos) {
    recoveryMicros = nanos / NANOS_PER_MICRO;
  }

  /** All figures under their published names. */
  Map<ResultMetric, Long> snapshot(WriteAheadLog.State state, SpaceBudget space, long queuedBytes) {
    Map<ResultMetric, Long> all = new EnumMap<>(ResultMetric.class);
    all.put(ResultMetric.STATE, publishedNumber(state));
    all.put(ResultMetric.RECORDS, records.sum());
    all.put(ResultMetric.QUEUED_BYTES, queuedBytes);
    putSpace(all, space);
    putSyncs(all);
    putRecovery(all);
    all.put(ResultMetric.DISK_ERRORS, errors.sum());
    all.put(ResultMetric.UNSAVED_RESULTS, unsaved.sum());
    for (ResultStore.RejectionReason reason : ResultStore.RejectionReason.values()) {
      all.put(reason.metric(), rejections.get(index(reason)));
    }
    return all;
  }

  private static void putSpace(Map<ResultMetric, Long> all, SpaceBudget space) {
    synchronized (space) {
      all.put(ResultMetric.SIZE_KB, space.allocatedBytes() >> 10);
      all.put(ResultMetric.USED_KB, space.usedBytes() >> 10);
      all.put(ResultMetric.RESERVED_KB, space.reservedBytes() >> 10);
      all.put(ResultMetric.SEGMENTS, (long) space.segmentCount());
    }
  }

  private void putSyncs(Map<ResultMetric, Long> all) {
    synchronized (syncMicros) {
      all.put(ResultMetric.SYNCS, syncMicros.getTotalCount());
      all.put(ResultMetric.SYNC_P50_US, syncMicros.getValueAtPercentile(50));
      all.put(ResultMetric.SYNC_P99_US, syncMicros.getValueAtPercentile(99));
      all.put(ResultMetric.SYNC_MAX_US, syncMicros.getMaxValue());
    }
  }

  private void putRecovery(Map<ResultMetric, Long> all) {
    all.put(ResultMetric.RECOVERED_WITH_RESULT, (long) recoveredKnown);
    all.put(ResultMetric.RECOVERED_UNKNOWN, (long) recoveredUnknown);
    all.put(ResultMetric.RECOVERY_US, recoveryMicros);
    all.put(ResultMetric.DAMAGED, damaged ? 1L : 0L);
  }

  @SuppressWarnings("EnumOrdinal") // The MIB counts states in the order of declaration.
  private static long publishedNumber(WriteAheadLog.State state) {
    return state.ordinal() + 1L;
  }

  @SuppressWarnings("EnumOrdinal") // An index into rejections, never stored or sent.
  private static int index(ResultStore.RejectionReason reason) {
    return reason.ordinal();
  }
}
