package wharftrestle.storage;

import org.tinylog.Logger;
import wharftrestle.request.PendingIntent;
import wharftrestle.request.ResultStore;

/**
 * A record that is queued or being written. Created by the thread that requested the write; the
 * writer thread sets its location and notifies the listener once. Not thread-safe; it is passed to
 * the writer thread through the queue.
 */
final class PendingRecord implements PendingIntent {
  private final LogRecord record;
  private final int sizeBytes;
  private final double expiresAtSeconds;
  private final ResultStore.WriteListener listener;
  private long location = RecordLocation.NOT_WRITTEN;

  PendingRecord(LogRecord record, double expiresAtSeconds, ResultStore.WriteListener listener) {
    this.record = record;
    this.sizeBytes = record.size();
    this.expiresAtSeconds = expiresAtSeconds;
    this.listener = listener;
  }

  LogRecord record() {
    return record;
  }

  /** Size on disk in bytes. */
  int sizeBytes() {
    return sizeBytes;
  }

  /** When the record's key expires, in seconds of System.nanoTime. */
  double expiresAtSeconds() {
    return expiresAtSeconds;
  }

  boolean isWritten() {
    return location >= 0;
  }

  /** Sets the location after the record was synced. */
  void setLocation(long location) {
    this.location = location;
  }

  /**
   * Passes the location to the listener. Exceptions of the listener are logged, so that they do not
   * end the writer thread.
   */
  void notifyListener() {
    try {
      listener.onWritten(location);
    } catch (RuntimeException | Error e) {
      Logger.error(e, "write-ahead log listener failed kind={}", record.kind());
    }
  }
}
