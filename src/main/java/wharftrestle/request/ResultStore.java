package wharftrestle.request;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import wharftrestle.metrics.ResultMetric;

/**
 * Records intents and results of keyed executions on disk, as the coordinator needs it. Only {@link
 * #readResult} waits for the disk: all else may be called under the coordinator's lock. Whether a
 * key may execute is decided elsewhere.
 */
public interface ResultStore {

  /** Why a key cannot be recorded now, and so may not execute. */
  enum RejectionReason {
    STORE_FULL(ResultMetric.REJECTED_STORE_FULL, "the store of results is full"),
    KEYS_FULL(ResultMetric.REJECTED_KEYS_FULL, "as many keys are known as may be"),
    DISK_BUSY(ResultMetric.REJECTED_DISK_BUSY, "too much waits for the disk"),
    DISK_STALLED(ResultMetric.REJECTED_DISK_STALLED, "the disk is silent"),
    DISK_FAILED(ResultMetric.REJECTED_DISK_FAILED, "the disk fails");

    private final ResultMetric metric;
    private final String description;

    RejectionReason(ResultMetric metric, String description) {
      this.metric = metric;
      this.description = description;
    }

    /** The count of these rejections. */
    public ResultMetric metric() {
      return metric;
    }

    /** The reason in words. */
    public String description() {
      return description;
    }
  }

  /**
   * One key as it is recorded.
   *
   * @param lastAttemptAtMillis no attempt received up to here may execute, Unix ms
   * @param retentionSeconds idempotency window with its slack
   * @param bodyChecksum of {@link wharftrestle.idempotency.KeyDigest}
   */
  record KeyRecord(
      String key, long lastAttemptAtMillis, double retentionSeconds, long bodyChecksum) {}

  /**
   * What an earlier process left of one key.
   *
   * @param position of its result, or -1 where its end is unknown
   * @param expiresAtSeconds on the clock of System.nanoTime
   */
  record RecoveredKey(
      String key,
      long position,
      long lastAttemptAtMillis,
      double expiresAtSeconds,
      long bodyChecksum) {}

  /**
   * All that an earlier process left.
   *
   * @param unknownKeysFailUntilSeconds until then unknown keys fail, as some may be lost; in the
   *     past where none are
   */
  record RecoveredKeys(List<RecoveredKey> keys, double unknownKeysFailUntilSeconds) {}

  /** Is notified once of the position of a record, on a thread of the store or within the call. */
  interface WriteListener {
    /** Negative where the record could not be written. */
    void onWritten(long position);
  }

  /** Seconds for which an execution waits for its intent to be on disk. */
  double intentTimeoutSeconds();

  /** Keys known at most. */
  int maxKeys();

  /** Why no key can be recorded now; null where one can. */
  RejectionReason rejectionReason();

  /** Counts a rejection; the Retry-After for it. */
  double retryAfterSeconds(RejectionReason why);

  /** Has an intent written; null, and the listener not notified, where it cannot be. */
  PendingIntent writeIntent(KeyRecord keyed, WriteListener listener);

  /** The execution of this intent is not begun, whatever became of the record. */
  void withdrawIntent(PendingIntent intent, KeyRecord keyed);

  /** The execution of a recorded intent was never begun. */
  void discardIntent(KeyRecord keyed);

  /** The execution of a recorded intent has ended; the result is null unless it succeeded. */
  void writeResult(KeyRecord keyed, byte[] result, WriteListener listener);

  /** The result at this position; never under a lock. */
  byte[] readResult(String key, long position) throws IOException;

  /** All metrics but the size of the index, which the coordinator adds. */
  Map<ResultMetric, Long> metrics();
}
