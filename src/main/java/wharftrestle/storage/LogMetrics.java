package wharftrestle.storage;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.ResultStore;

/**
 * Metrics of the write-ahead log. Thread-safe. The values are only published; no decision depends
 * on them.
 */
final class LogMetrics {
  /** Upper limit of the sync histogram; longer syncs are recorded as this value. */
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

  void countRecords(int count) {
    records.add(count);
  }

  /** Counts a result that was not written to disk; it is still sent to its clients. */
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

  void recordRecovery(int known, int unknown, boolean isDamaged) {
    recoveredKnown = known;
    recoveredUnknown = unknown;
    damaged = isDamaged;
  }

  void recordRecoveryTime(long nanos) {
    recoveryMicros = nanos / NANOS_PER_MICRO;
  }

  /** All metrics under their published names. */
  Map<ResultMetric, Long> snapshot(WriteAheadLog.State state, SpaceBudget space, long queuedBytes) {
    Map<ResultMetric, Long> values = new EnumMap<>(ResultMetric.class);
    values.put(ResultMetric.STATE, publishedNumber(state));
    values.put(ResultMetric.RECORDS, records.sum());
    values.put(ResultMetric.QUEUED_BYTES, queuedBytes);
    putSpace(values, space);
    putSyncs(values);
    putRecovery(values);
    values.put(ResultMetric.DISK_ERRORS, errors.sum());
    values.put(ResultMetric.UNSAVED_RESULTS, unsaved.sum());
    for (ResultStore.RejectionReason reason : ResultStore.RejectionReason.values()) {
      values.put(reason.metric(), rejections.get(index(reason)));
    }
    return values;
  }

  private static void putSpace(Map<ResultMetric, Long> values, SpaceBudget space) {
    synchronized (space) {
      values.put(ResultMetric.SIZE_KB, space.allocatedBytes() >> 10);
      values.put(ResultMetric.USED_KB, space.usedBytes() >> 10);
      values.put(ResultMetric.RESERVED_KB, space.reservedBytes() >> 10);
      values.put(ResultMetric.SEGMENTS, (long) space.segmentCount());
    }
  }

  private void putSyncs(Map<ResultMetric, Long> values) {
    synchronized (syncMicros) {
      values.put(ResultMetric.SYNCS, syncMicros.getTotalCount());
      values.put(ResultMetric.SYNC_P50_US, syncMicros.getValueAtPercentile(50));
      values.put(ResultMetric.SYNC_P99_US, syncMicros.getValueAtPercentile(99));
      values.put(ResultMetric.SYNC_MAX_US, syncMicros.getMaxValue());
    }
  }

  private void putRecovery(Map<ResultMetric, Long> values) {
    values.put(ResultMetric.RECOVERED_WITH_RESULT, (long) recoveredKnown);
    values.put(ResultMetric.RECOVERED_UNKNOWN, (long) recoveredUnknown);
    values.put(ResultMetric.RECOVERY_US, recoveryMicros);
    values.put(ResultMetric.DAMAGED, damaged ? 1L : 0L);
  }

  @SuppressWarnings("EnumOrdinal") // The MIB numbers states in the order of declaration.
  private static long publishedNumber(WriteAheadLog.State state) {
    return state.ordinal() + 1L;
  }

  @SuppressWarnings("EnumOrdinal") // An index into the rejections array, never stored or sent.
  private static int index(ResultStore.RejectionReason reason) {
    return reason.ordinal();
  }
}
