package wharftrestle.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.request.PlatformThreads;

/**
 * Stands in for SIGHUP where that cannot be heard: owns the look at the configuration's file, and
 * tells once that it has changed. It must never read what is in the file for more than that, and
 * runs only where the signal is ignored.
 */
final class ConfigWatcher {
  /**
   * Milliseconds between two looks: some kilobytes are read, and callers wait seconds for a box
   * that moves.
   */
  static final int POLL_INTERVAL_MILLIS = 250;

  private final Path file;
  private final Runnable changed;
  private byte[] known;

  ConfigWatcher(Path file, Runnable changed) {
    this.file = file;
    this.changed = changed;
    known = read();
  }

  void start() {
    PlatformThreads.restartingThread(
            "config-watch",
            () -> {
              for (; ; ) {
                LockSupport.parkNanos(POLL_INTERVAL_MILLIS * 1_000_000L);
                poll();
              }
            })
        .start();
  }

  /** One look; a file that cannot be read now is looked at again. */
  void poll() {
    byte[] now = read();
    if (now.length > 0 && !Arrays.equals(known, now)) {
      known = now;
      changed.run();
    }
  }

  private byte[] read() {
    try {
      return Files.readAllBytes(file);
    } catch (IOException e) {
      Logger.debug("configuration: {}", e.toString());
      return new byte[0];
    }
  }
}
