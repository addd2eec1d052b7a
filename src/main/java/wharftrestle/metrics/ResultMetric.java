package wharftrestle.metrics;

import java.util.Locale;

/**
 * The figures of results kept over restarts, under one name at the door, in status and in the MIB
 * (in this order). It owns names and meanings; the journal fills them in.
 */
public enum ResultMetric {
  STATE(false, "1 off, 2 open, 3 the disk failed"),
  KB(false, "kB on disk, whole files"),
  USED_KB(false, "kB of them written"),
  PROMISED_KB(false, "kB promised to results to come"),
  FILES(false, "files"),
  WAITING_BYTES(false, "bytes that wait for the disk"),
  INDEX_BYTES(false, "bytes of memory that know where results lie"),
  RECORDS(true, "records written"),
  SYNCS(true, "syncs of the disk"),
  SYNC_P50_US(false, "microseconds of a sync, median"),
  SYNC_P99_US(false, "microseconds of a sync, 99th in 100"),
  SYNC_MAX_US(false, "microseconds of the longest sync"),
  RECOVERED_KNOWN(false, "keys found at the start with their result"),
  RECOVERED_UNKNOWN(false, "keys found at the start whose end is unknown"),
  RECOVERY_US(false, "microseconds in which they were read"),
  DAMAGED(false, "1 where something that was on disk was lost"),
  ERRORS(true, "errors of the disk"),
  UNSAVED(true, "results answered that the disk did not take"),
  REFUSED_STORE_FULL(true, "keyed requests refused: the store of results is full"),
  REFUSED_KEYS_FULL(true, "keyed requests refused: as many keys are known as may be"),
  REFUSED_DISK_BUSY(true, "keyed requests refused: too much waits for the disk"),
  REFUSED_DISK_STALLED(true, "keyed requests refused: the disk is silent"),
  REFUSED_DISK_FAILED(true, "keyed requests refused: the disk fails");

  private final boolean counts;
  private final String text;

  ResultMetric(boolean counts, String text) {
    this.counts = counts;
    this.text = text;
  }

  /** True where it only rises, from 0 at the start. */
  public boolean counts() {
    return counts;
  }

  public String text() {
    return text;
  }

  /** Its name. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
