package wharftrestle.daemon;

import java.util.concurrent.locks.LockSupport;
import wharftrestle.handover.ProcessPauseDetector;
import wharftrestle.request.PlatformThreads;

/**
 * Polls a {@link ProcessPauseDetector} on a separate thread, from the moment at which this process
 * transfers its keys until it owns them again or is closed. Thread-safe. It does not use the lock
 * of the handover, which may be held for longer than a poll interval.
 */
final class PauseWatch {
  private volatile ProcessPauseDetector detector; // null while stopped

  void start() {
    ProcessPauseDetector started = new ProcessPauseDetector(nowSeconds());
    detector = started;
    PlatformThreads.thread("handover-pause-watch", () -> poll(started)).start();
  }

  void stop() {
    detector = null;
  }

  /** True if this process paused so recently that messages of the peer may be lost. */
  boolean hasPausedRecently() {
    ProcessPauseDetector current = detector;
    if (current == null) {
      return false;
    }
    synchronized (current) {
      return current.hasPausedRecently(nowSeconds());
    }
  }

  private void poll(ProcessPauseDetector started) {
    while (detector == started) {
      synchronized (started) {
        started.poll(nowSeconds());
      }
      LockSupport.parkNanos((long) (ProcessPauseDetector.POLL_INTERVAL_SECONDS * 1e9));
    }
  }

  private static double nowSeconds() {
    return System.nanoTime() / 1e9;
  }
}
