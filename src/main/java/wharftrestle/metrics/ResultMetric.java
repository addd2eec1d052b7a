package wharftrestle.metrics;

/**
 * The metrics of the store of results that survive restarts. Each has the same name at the admin
 * endpoint, in status and in the MIB (in this order). This enum defines names and meanings; the
 * write-ahead log supplies the values.
 */
public enum ResultMetric {
  STATE("state", false, "1 off, 2 open, 3 the disk failed"),
  SIZE_KB("kb", false, "kB on disk, whole files"),
  USED_KB("used_kb", false, "kB of them written"),
  RESERVED_KB("promised_kb", false, "kB promised to results to come"),
  SEGMENTS("files", false, "files"),
  QUEUED_BYTES("waiting_bytes", false, "bytes that wait for the disk"),
  INDEX_BYTES("index_bytes", false, "bytes of memory that know where results lie"),
  RECORDS("records", true, "records written"),
  SYNCS("syncs", true, "syncs of the disk"),
  SYNC_P50_US("sync_p50_us", false, "microseconds of a sync, median"),
  SYNC_P99_US("sync_p99_us", false, "microseconds of a sync, 99th in 100"),
  SYNC_MAX_US("sync_max_us", false, "microseconds of the longest sync"),
  RECOVERED_WITH_RESULT("recovered_known", false, "keys found at the start with their result"),
  RECOVERED_UNKNOWN("recovered_unknown", false, "keys found at the start whose end is unknown"),
  RECOVERY_US("recovery_us", false, "microseconds in which they were read"),
  DAMAGED("damaged", false, "1 where something that was on disk was lost"),
  DISK_ERRORS("errors", true, "errors of the disk"),
  UNSAVED_RESULTS("unsaved", true, "results answered that the disk did not take"),
  REJECTED_STORE_FULL(
      "refused_store_full", true, "keyed requests refused: the store of results is full"),
  REJECTED_KEYS_FULL(
      "refused_keys_full", true, "keyed requests refused: as many keys are known as may be"),
  REJECTED_DISK_BUSY(
      "refused_disk_busy", true, "keyed requests refused: too much waits for the disk"),
  REJECTED_DISK_STALLED("refused_disk_stalled", true, "keyed requests refused: the disk is silent"),
  REJECTED_DISK_FAILED("refused_disk_failed", true, "keyed requests refused: the disk fails");

  private final String publishedName;
  private final boolean isCounter;
  private final String description;

  ResultMetric(String publishedName, boolean isCounter, String description) {
    this.publishedName = publishedName;
    this.isCounter = isCounter;
    this.description = description;
  }

  /** Returns whether it is a counter, which starts at 0 and never decreases. */
  public boolean isCounter() {
    return isCounter;
  }

  /** Returns whether it counts keyed requests rejected because their key could not be recorded. */
  public boolean isRejection() {
    return switch (this) {
      case REJECTED_STORE_FULL,
              REJECTED_KEYS_FULL,
              REJECTED_DISK_BUSY,
              REJECTED_DISK_STALLED,
              REJECTED_DISK_FAILED ->
          true;
      default -> false;
    };
  }

  /** Returns its meaning, as the admin endpoint shows it. */
  public String description() {
    return description;
  }

  /** Returns its name at the admin endpoint, in status and in the MIB. */
  public String publishedName() {
    return publishedName;
  }
}
