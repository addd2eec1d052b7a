package wharftrestle.storage;

import org.tinylog.Logger;
import wharftrestle.request.PendingIntent;
import wharftrestle.request.ResultStore;

/**
 * One record on its way to the disk. Made by the thread that asked for it; the writer thread sets
 * its location and notifies the listener once.
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

  /** Bytes on disk. */
  int sizeBytes() {
    return sizeBytes;
  }

  /** When the record's key is forgotten, in seconds of System.nanoTime. */
  double expiresAtSeconds() {
    return expiresAtSeconds;
  }

  boolean isWritten() {
    return location >= 0;
  }

  /** The record is on disk. */
  void setLocation(long location) {
    this.location = location;
  }

  /** Says where the record lies; a fault in the listener must not end the writer thread. */
  void notifyListener() {
    try {
      listener.onWritten(location);
    } catch (RuntimeException | Error fault) {
      Logger.error(fault, "write-ahead log listener failed kind={}", record.kind());
    }
  }
}
