package wharftrestle.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.io.FileTooLargeException;
import wharftrestle.request.PlatformThreads;
import wharftrestle.transport.BoundedReader;

/**
 * Polls the configuration file on a separate thread, if SIGHUP is ignored, and notifies a listener
 * of each change. It compares the file's bytes and does not interpret them.
 */
final class ConfigWatcher {
  static final int POLL_INTERVAL_MILLIS = 250;

  private static final byte[] UNREADABLE = new byte[0];

  private final Path file;
  private final Runnable listener;
  private byte[] lastContent;

  ConfigWatcher(Path file, Runnable listener) {
    this.file = file;
    this.listener = listener;
    lastContent = read();
  }

  void start() {
    PlatformThreads.restartingThread("config-watch", this::pollForever).start();
  }

  private void pollForever() {
    while (true) {
      LockSupport.parkNanos(POLL_INTERVAL_MILLIS * 1_000_000L);
      poll();
    }
  }

  /** Skips a file that cannot be read; the next poll reads it again. */
  private void poll() {
    byte[] content = read();
    if (content.length > 0 && !Arrays.equals(lastContent, content)) {
      lastContent = content;
      listener.run();
    }
  }

  private byte[] read() {
    try {
      return DaemonConfig.readFile(file);
    } catch (FileTooLargeException e) {
      // Counts as a change, so that the listener reads the file and reports why it cannot be used.
      return BoundedReader.ascii(e.getMessage());
    } catch (IOException e) {
      Logger.debug("cannot read the configuration file error={}", e.toString());
      return UNREADABLE;
    }
  }
}
