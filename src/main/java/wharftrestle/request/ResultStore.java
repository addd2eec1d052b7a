package wharftrestle.request;

import java.io.IOException;
import java.util.Map;
import wharftrestle.metrics.ResultMetric;

/**
 * Records intents and results of keyed executions on disk. Only {@link #readResult} waits for the
 * disk; all other methods may be called under the coordinator's lock. Whether a key may execute is
 * decided by {@link wharftrestle.idempotency.IdempotencyTable}, not by the store.
 */
public interface ResultStore {

  /** Why a key cannot be recorded now and therefore may not execute. */
  enum RejectionReason {
    STORE_FULL(ResultMetric.REJECTED_STORE_FULL, "the result store is full"),
    KEYS_FULL(ResultMetric.REJECTED_KEYS_FULL, "the maximum number of keys is reached"),
    DISK_BUSY(ResultMetric.REJECTED_DISK_BUSY, "too many bytes are waiting to be written to disk"),
    DISK_STALLED(ResultMetric.REJECTED_DISK_STALLED, "the disk does not respond"),
    DISK_FAILED(ResultMetric.REJECTED_DISK_FAILED, "the disk reports errors");

    private final ResultMetric metric;
    private final String description;

    RejectionReason(ResultMetric metric, String description) {
      this.metric = metric;
      this.description = description;
    }

    /** The metric that counts these rejections. */
    public ResultMetric metric() {
      return metric;
    }

    /** A readable description of the reason. */
    public String description() {
      return description;
    }
  }

  /**
   * The record of one key.
   *
   * @param lastAttemptAtMillis attempts received up to then are duplicates, Unix ms
   * @param retentionSeconds idempotency window plus its slack
   * @param bodyChecksum of {@link wharftrestle.idempotency.KeyDigest}
   */
  record KeyRecord(
      String key, long lastAttemptAtMillis, double retentionSeconds, long bodyChecksum) {}

  /**
   * A key that an earlier process recorded.
   *
   * @param position of its result, or -1 if its outcome is unknown
   * @param expiresAtSeconds on the clock of System.nanoTime
   */
  record RecoveredKey(
      String key,
      long position,
      long lastAttemptAtMillis,
      double expiresAtSeconds,
      long bodyChecksum) {}

  /**
   * All keys that an earlier process recorded.
   *
   * @param unknownKeysFailUntilSeconds until then unknown keys fail, as records may be lost; in the
   *     past if none are
   */
  record RecoveredKeys(Iterable<RecoveredKey> keys, double unknownKeysFailUntilSeconds) {}

  /** Receives the position of a record, once, on a thread of the store or within the call. */
  interface WriteListener {
    /** Called once the record is on disk, or with a negative position if its write failed. */
    void onWritten(long position);
  }

  /** How long an execution waits for its intent to be on disk, in seconds. */
  double intentTimeoutSeconds();

  /** The maximum number of keys. */
  int maxKeys();

  /** Why no key can be recorded now; null if one can. */
  RejectionReason rejectionReason();

  /** Counts a rejection and returns its Retry-After in seconds. */
  double retryAfterSeconds(RejectionReason reason);

  /** Starts writing an intent; null, without notifying the listener, if that is not possible. */
  PendingIntent writeIntent(KeyRecord keyRecord, WriteListener listener);

  /** The execution of this intent does not begin, whether or not the record is written. */
  void withdrawIntent(PendingIntent intent, KeyRecord keyRecord);

  /** The execution of a recorded intent never began. */
  void discardIntent(KeyRecord keyRecord);

  /** Writes the end of a recorded execution; the result is null unless it succeeded. */
  void writeResult(KeyRecord keyRecord, byte[] result, WriteListener listener);

  /** Reads the result at this position; waits for the disk, so never called under a lock. */
  byte[] readResult(String key, long position) throws IOException;

  /** All metrics except the size of the index, which the coordinator adds. */
  Map<ResultMetric, Long> metrics();
}
