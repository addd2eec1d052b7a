package wharftrestle.storage;

import java.util.LinkedHashMap;
import java.util.Map;
import wharftrestle.idempotency.IdempotencyTable;

/**
 * What the records of a dead process mean. Result known: repeats get it. Intent without a result:
 * its end is unknown, whatever the worker pool may still be doing of it, so tries in the window
 * fail and never run. Neither: the key may run. It must never trust a clock that can step: see
 * {@link #expiresAtSeconds}.
 *
 * <pre>
 * last records of a key       after recovery
 * INTENT                      unknown
 * INTENT RESULT               known
 * RESULT                      known       (its intent lies in a segment that is gone)
 * INTENT FAILED, FAILED       unknown     (it ran, and there is no result to give)
 * INTENT VOID, VOID           nothing
 * </pre>
 */
public final class Recovery {
  /** Seconds kept beyond a window, as of the keys in memory. */
  static final double LINGER_SECONDS = IdempotencyTable.LINGER_SECONDS;

  /**
   * What is known of one key.
   *
   * @param place of its result; -1 where its end is unknown
   */
  public record RecoveredKey(
      String key, long location, long coveredUntilMillis, int windowMillis, long bodyChecksum) {}

  private final Map<String, RecoveredKey> keys = new LinkedHashMap<>();
  private final long wallNow;
  private final long steadyNow;
  private int expiredCount;

  /**
   * @param wallNow ms on the scale of stamps; steadyNow ms on the machine's steady clock
   */
  public Recovery(long wallNow, long steadyNow) {
    this.wallNow = wallNow;
    this.steadyNow = steadyNow;
  }

  /**
   * Takes the next record of the log, which lies there; same boot where its steady clock is the
   * present one. False where nothing of it need be kept.
   */
  public boolean replay(LogRecord record, long location, boolean sameBoot) {
    keys.remove(record.key());
    if (record.kind() == LogRecord.Kind.VOID) {
      return false;
    }
    if (sameBoot
        && steadyNow - record.writtenAtSteadyMillis()
            > record.windowMillis() + LINGER_SECONDS * 1000) {
      expiredCount++; // a process that dies again and again must not carry it for ever
      return false;
    }
    boolean known = record.kind() == LogRecord.Kind.RESULT;
    // Stamps are of a clock that may have stepped meanwhile: any try read within a window from now
    // is covered.
    keys.put(
        record.key(),
        new RecoveredKey(
            record.key(),
            known ? location : -1,
            Math.max(record.coveredUntilMillis(), wallNow + record.windowMillis()),
            record.windowMillis(),
            record.bodyChecksum()));
    return true;
  }

  /**
   * Seconds on a clock that is now at {@code now} until a key is forgotten: one window and a
   * linger, from now.
   */
  public static double expiresAtSeconds(RecoveredKey known, double now) {
    return now + known.windowMillis() / 1000.0 + LINGER_SECONDS;
  }

  public Iterable<RecoveredKey> keys() {
    return keys.values();
  }

  /** Keys with a result. */
  public int knownCount() {
    return (int) keys.values().stream().filter(key -> key.location() >= 0).count();
  }

  /** Keys whose end is unknown. */
  public int unknownCount() {
    return keys.size() - knownCount();
  }

  /** Records left out as their time was over. */
  public int expiredCount() {
    return expiredCount;
  }
}
