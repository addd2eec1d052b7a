package wharftrestle.storage;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import wharftrestle.idempotency.IdempotencyTable;

/**
 * Replays the records that an earlier process wrote. If a key has a result record, duplicates get
 * that result. If it has only an intent record, the outcome is unknown, even if the worker pool is
 * still executing the request: attempts within the window fail and do not run. A key without
 * records may run. Clocks that can step are not trusted: see {@link #expiresAtSeconds}. Not
 * thread-safe.
 *
 * <pre>
 * last records of a key       after recovery
 * INTENT                      outcome unknown
 * INTENT RESULT               succeeded
 * RESULT                      succeeded        (its intent was in a deleted segment)
 * INTENT FAILED, FAILED       outcome unknown  (it ran and has no result)
 * INTENT VOID, VOID           not known, may run
 * </pre>
 */
public final class Recovery {
  /** How long a key is kept after its window, the same as for a key in memory. */
  static final double LINGER_SECONDS = IdempotencyTable.LINGER_SECONDS;

  /**
   * The recovered state of one key.
   *
   * @param recordLocation of its last record
   * @param recordBytes size of that record
   * @param sameBoot true if that record was written since the last boot
   * @param hasResult true if that record has its result; else its outcome is unknown
   */
  public record RecoveredKey(
      String key,
      long recordLocation,
      int recordBytes,
      boolean sameBoot,
      boolean hasResult,
      long coveredUntilMillis,
      int windowMillis,
      long bodyChecksum) {

    /** Location of its result; -1 if its outcome is unknown. */
    public long location() {
      return hasResult ? recordLocation : RecordLocation.NOT_WRITTEN;
    }
  }

  private final LinkedHashMap<String, RecoveredKey> keys = new LinkedHashMap<>();
  private final long steadyWallMillis;
  private final long monotonicMillis;
  private final int maxKeys;
  private int expiredCount;
  private int droppedCount;

  /**
   * Creates a recovery without records.
   *
   * @param steadyWallMillis current time of the clock that stamps attempts, Unix ms
   * @param monotonicMillis current time of the machine's monotonic clock, ms
   * @param maxKeys keys that memory has space for; beyond that, the oldest are dropped
   */
  public Recovery(long steadyWallMillis, long monotonicMillis, int maxKeys) {
    this.steadyWallMillis = steadyWallMillis;
    this.monotonicMillis = monotonicMillis;
    this.maxKeys = maxKeys;
  }

  /**
   * Replays the next record of the log.
   *
   * @param location of the record
   * @param sameBoot true if the record was written since the last boot, so that its monotonic time
   *     can be compared with the current one
   * @return false if the record is void or expired and need not be kept
   */
  public boolean replay(LogRecord record, long location, boolean sameBoot) {
    keys.remove(record.key());
    if (record.kind() == LogRecord.Kind.VOID) {
      return false;
    }
    if (sameBoot
        && monotonicMillis - record.writtenAtMonotonicMillis()
            > record.windowMillis() + LINGER_SECONDS * 1000) {
      expiredCount++; // keeping the key would extend its life at each restart
      return false;
    }
    boolean hasResult = record.kind() == LogRecord.Kind.RESULT;
    // The clock that stamps attempts may have stepped since, so the key covers every attempt that
    // is read within one window from now.
    keys.put(
        record.key(),
        new RecoveredKey(
            record.key(),
            location,
            record.size(),
            sameBoot,
            hasResult,
            Math.max(record.coveredUntilMillis(), steadyWallMillis + record.windowMillis()),
            record.windowMillis(),
            record.bodyChecksum()));
    if (keys.size() > maxKeys) {
      keys.remove(keys.keySet().iterator().next());
      droppedCount++;
    }
    return true;
  }

  /**
   * When a recovered key expires: one window plus the linger time after {@code now}, regardless of
   * the time that remained when the record was written. In seconds on the clock of {@code now}.
   */
  public static double expiresAtSeconds(RecoveredKey key, double now) {
    return now + key.windowMillis() / 1000.0 + LINGER_SECONDS;
  }

  /** The recovered keys, in the order of their last records. */
  public Collection<RecoveredKey> keys() {
    return Collections.unmodifiableCollection(keys.values());
  }

  /** Forgets all keys, to free their memory. */
  void clear() {
    keys.clear();
  }

  /** Number of keys with a result. */
  public int knownCount() {
    return (int) keys.values().stream().filter(key -> key.location() >= 0).count();
  }

  /** Number of keys whose outcome is unknown. */
  public int unknownCount() {
    return keys.size() - knownCount();
  }

  /** Number of records that were dropped for lack of memory, so that their keys are unknown. */
  public int droppedCount() {
    return droppedCount;
  }

  /** Number of records that were skipped because they had expired. */
  public int expiredCount() {
    return expiredCount;
  }
}
