package wharftrestle.request;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import wharftrestle.metrics.ResultMetric;

/**
 * Where intents and results of keyed runs are kept, as the core sees it. None of these waits for
 * the disk but {@link #read}, so all others may be called under the core's lock. It must never
 * decide whether a key may run.
 */
public interface ResultStore {

  /** Why a key cannot be recorded now, and so may not run. */
  enum RejectionReason {
    STORE_FULL(ResultMetric.REJECTED_STORE_FULL, "the store of results is full"),
    KEYS_FULL(ResultMetric.REJECTED_KEYS_FULL, "as many keys are known as may be"),
    DISK_BUSY(ResultMetric.REJECTED_DISK_BUSY, "too much waits for the disk"),
    DISK_STALLED(ResultMetric.REJECTED_DISK_STALLED, "the disk is silent"),
    DISK_FAILED(ResultMetric.REJECTED_DISK_FAILED, "the disk fails");

    private final ResultMetric metric;
    private final String text;

    RejectionReason(ResultMetric metric, String text) {
      this.metric = metric;
      this.text = text;
    }

    /** The count of these rejections. */
    public ResultMetric metric() {
      return metric;
    }

    /** The reason in words. */
    public String text() {
      return text;
    }
  }

  /**
   * One key as it is recorded.
   *
   * @param lastDoor no try stamped up to here may run, Unix ms
   * @param window seconds, with its slack
   * @param check {@code keys.Digest.check} of the body
   */
  record KeyRecord(
      String key, long lastAttemptAtMillis, double retentionSeconds, long bodyChecksum) {}

  /**
   * What a dead process left of one key.
   *
   * @param place of its result, or -1 where its end is unknown
   * @param until seconds on the clock of System.nanoTime
   */
  record RecoveredKey(
      String key,
      long position,
      long lastAttemptAtMillis,
      double expiresAtSeconds,
      long bodyChecksum) {}

  /**
   * All that a dead process left.
   *
   * @param blindUntil until then keys that are not known fail, as some may be lost; in the past
   *     where none are
   */
  record RecoveredKeys(List<RecoveredKey> keys, double unknownKeysFailUntilSeconds) {}

  /**
   * Told once, on another thread or within the call, where a record lies; -1 where it could not be
   * written.
   */
  interface WriteListener {
    void onWritten(long position);
  }

  /** Seconds for which an intent waits for the disk. */
  double intentTimeoutSeconds();

  /** Keys known at most. */
  int maxKeys();

  /** Why no key can be recorded now; null where one can. */
  RejectionReason rejectionReason();

  /** Counts a refusal; seconds until it is worth while to come again. */
  double retryAfterSeconds(RejectionReason why);

  /** Has an intent written; null, and no word of it, where it cannot be. */
  PendingIntent writeIntent(KeyRecord keyed, WriteListener told);

  /** The run of this intent is not begun, whatever became of the record. */
  void withdrawIntent(PendingIntent intent, KeyRecord keyed);

  /** A recorded run was never begun. */
  void discardIntent(KeyRecord keyed);

  /** A recorded run is over; the result is null where it has none to give. */
  void writeResult(KeyRecord keyed, byte[] result, WriteListener told);

  /** The result that lies there; never under a lock. */
  byte[] readResult(String key, long place) throws IOException;

  /** All figures but the index, which the core knows. */
  Map<ResultMetric, Long> metrics();
}
