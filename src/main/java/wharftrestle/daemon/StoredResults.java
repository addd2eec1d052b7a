package wharftrestle.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.storage.WriteAheadLog;

/**
 * The write-ahead log of results, where one is kept: opened by the start or the handover, closed by
 * the handover or the shutdown. The log is thread-safe.
 */
final class StoredResults implements AutoCloseable {
  private static final long RETRY_INTERVAL_MILLIS = 50;

  /** For which unwritten records hold up a handover. */
  private static final long HANDOVER_CLOSE_MILLIS = 1000;

  private final WriteAheadLog log; // null where no results are stored
  private final Path directory;
  private final RequestCoordinator requests;
  private final double longestWindowSeconds;

  /**
   * Nothing is opened yet.
   *
   * @param settings null where no results are stored
   */
  StoredResults(
      DaemonConfig.Durable settings, RequestCoordinator requests, double longestWindowSeconds) {
    log = settings == null ? null : new WriteAheadLog(settings);
    directory = settings == null ? null : settings.folder().toAbsolutePath().normalize();
    this.requests = requests;
    this.longestWindowSeconds = longestWindowSeconds;
    if (log != null) {
      requests.useResultStore(log);
    }
  }

  boolean isEnabled() {
    return log != null;
  }

  /** Where results are stored; empty for nowhere. */
  String directory() {
    return directory == null ? "" : directory.toString();
  }

  /**
   * Opens the log and recovers what it holds, before the first duplicate can be read.
   *
   * @throws IOException where it cannot be opened
   */
  void open() throws IOException {
    if (log != null) {
      requests.restore(log.open(longestWindowSeconds));
    }
  }

  /** Opens the log where it is closed; false where that fails so often. */
  boolean open(int attempts) {
    if (log == null || log.state() != WriteAheadLog.State.CLOSED) {
      return true;
    }
    for (int i = 0; i < attempts; i++) {
      try {
        open();
        return true;
      } catch (IOException e) {
        Logger.warn("kept results: {}", e.getMessage());
        LockSupport.parkNanos(RETRY_INTERVAL_MILLIS * 1_000_000);
      }
    }
    return false;
  }

  /** Closes the log for the process that takes over. */
  void closeForHandover() {
    close(HANDOVER_CLOSE_MILLIS);
  }

  /** Closes the log once all records are written, or this time is over. */
  void close(long maxMillis) {
    if (log != null) {
      log.close(maxMillis);
    }
  }

  /** Closes the log at once. */
  @Override
  public void close() {
    if (log != null) {
      log.close();
    }
  }
}
