package wharftrestle.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import wharftrestle.idempotency.IdempotencyTable;

/**
 * Replays the records of a dead process. With a result, duplicates get it. With an intent alone the
 * outcome is unknown, whatever the worker pool may still do of it: attempts in the window fail and
 * do not run. With neither, the key may run. No clock that can step is trusted: see {@link
 * #expiresAtSeconds}. Used by one thread.
 *
 * <pre>
 * last records of a key       after recovery
 * INTENT                      outcome unknown
 * INTENT RESULT               succeeded
 * RESULT                      succeeded        (its intent was in a deleted segment)
 * INTENT FAILED, FAILED       outcome unknown  (it ran, and there is no result to give)
 * INTENT VOID, VOID           nothing is known
 * </pre>
 */
public final class Recovery {
  /** How long a key is known past its window, as one in memory. */
  static final double LINGER_SECONDS = IdempotencyTable.LINGER_SECONDS;

  /**
   * What is known of one key.
   *
   * @param location of its result; -1 where its outcome is unknown
   */
  public record RecoveredKey(
      String key, long location, long coveredUntilMillis, int windowMillis, long bodyChecksum) {}

  private final Map<String, RecoveredKey> keys = new LinkedHashMap<>();
  private final long steadyWallMillis;
  private final long monotonicMillis;
  private int expiredCount;

  /**
   * A recovery without records.
   *
   * @param steadyWallMillis now, on the clock of timestamps
   * @param monotonicMillis now, on the machine's monotonic clock
   */
  public Recovery(long steadyWallMillis, long monotonicMillis) {
    this.steadyWallMillis = steadyWallMillis;
    this.monotonicMillis = monotonicMillis;
  }

  /**
   * Replays the next record of the log.
   *
   * @param location where it lies
   * @param sameBoot its monotonic clock is the present one
   * @return false where nothing of it need be kept
   */
  public boolean replay(LogRecord record, long location, boolean sameBoot) {
    keys.remove(record.key());
    if (record.kind() == LogRecord.Kind.VOID) {
      return false;
    }
    if (sameBoot
        && monotonicMillis - record.writtenAtSteadyMillis()
            > record.windowMillis() + LINGER_SECONDS * 1000) {
      expiredCount++; // Processes that die one after another must not carry it for ever.
      return false;
    }
    boolean hasResult = record.kind() == LogRecord.Kind.RESULT;
    // Timestamps are of a clock that may have stepped meanwhile: any attempt that is read within a
    // window from now is covered.
    keys.put(
        record.key(),
        new RecoveredKey(
            record.key(),
            hasResult ? location : RecordLocation.NOT_WRITTEN,
            Math.max(record.coveredUntilMillis(), steadyWallMillis + record.windowMillis()),
            record.windowMillis(),
            record.bodyChecksum()));
    return true;
  }

  /**
   * When a recovered key is forgotten: one window and the linger after now, whatever was left of it
   * before. In seconds on the clock of {@code now}.
   */
  public static double expiresAtSeconds(RecoveredKey key, double now) {
    return now + key.windowMillis() / 1000.0 + LINGER_SECONDS;
  }

  /** What is known of keys, in the order of their last records. */
  public Iterable<RecoveredKey> keys() {
    return keys.values();
  }

  /** Keys with a result. */
  public int knownCount() {
    return (int) keys.values().stream().filter(key -> key.location() >= 0).count();
  }

  /** Keys whose outcome is unknown. */
  public int unknownCount() {
    return keys.size() - knownCount();
  }

  /** Records left out as they had expired. */
  public int expiredCount() {
    return expiredCount;
  }
}
