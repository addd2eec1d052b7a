package wharftrestle.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.storage.KeyNames;
import wharftrestle.storage.WriteAheadLog;

/**
 * The write-ahead log of results, if results are stored. The start or the handover opens it, the
 * handover or the shutdown closes it. The log is thread-safe.
 */
final class StoredResults implements AutoCloseable {
  private static final long RETRY_INTERVAL_MILLIS = 50;

  /** Longest time for which unwritten records delay a handover. */
  private static final long HANDOVER_CLOSE_MILLIS = 1000;

  private final WriteAheadLog log; // null if no results are stored
  private final Path directory;
  private final RequestCoordinator requests;
  private final double longestWindowSeconds;
  private final KeyNames names;

  /**
   * Does not open the log.
   *
   * @param settings null if no results are stored
   */
  StoredResults(
      DaemonConfig.Durable settings, RequestCoordinator requests, double longestWindowSeconds) {
    log = settings == null ? null : new WriteAheadLog(settings);
    directory = settings == null ? null : settings.folder().toAbsolutePath().normalize();
    this.requests = requests;
    this.longestWindowSeconds = longestWindowSeconds;
    names =
        new KeyNames(
            requests.settings().classes().stream().map(Admission.RequestClass::name).toList(),
            requests.settings().tenants().stream().map(Admission.Tenant::name).toList());
    if (log != null) {
      requests.useResultStore(log);
    }
  }

  boolean isEnabled() {
    return log != null;
  }

  /** The directory of stored results; empty if none are stored. */
  String directory() {
    return directory == null ? "" : directory.toString();
  }

  /**
   * Opens the log and recovers its records. Called before the first duplicate can be read.
   *
   * @throws IOException if the log cannot be opened
   */
  void open() throws IOException {
    if (log != null) {
      requests.restore(log.open(longestWindowSeconds, requests.maxKeys(), names));
    }
  }

  /** Opens the log if it is closed; false if all attempts fail. */
  boolean open(int attempts) {
    if (log == null || log.state() != WriteAheadLog.State.CLOSED) {
      return true;
    }
    for (int i = 0; i < attempts; i++) {
      try {
        open();
        return true;
      } catch (IOException e) {
        Logger.warn("cannot open the stored results error={}", e.getMessage());
        LockSupport.parkNanos(RETRY_INTERVAL_MILLIS * 1_000_000);
      }
    }
    return false;
  }

  /** Closes the log, so that the successor can open it. */
  void closeForHandover() {
    close(HANDOVER_CLOSE_MILLIS);
  }

  /** Closes the log once all records are written, or after {@code maxMillis}. */
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
