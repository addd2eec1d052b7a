package wharftrestle.transport;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.tinylog.Logger;

/**
 * A file lock for the processes that own the keys of this host or are about to own them. Each such
 * process holds it shared; a process that would start without the keys has to acquire it
 * exclusively. If a process does not release the lock, the kernel releases it only when the process
 * ends, so a suspended process keeps it. If locking the file fails, the process proceeds as if no
 * other process held the lock. Thread-safe.
 */
public final class OwnershipLock implements Closeable {
  private final Path file;
  private FileChannel channel;
  private FileLock lock;

  /**
   * @param socket Unix socket of the handover; the lock file is created in the same directory
   */
  public OwnershipLock(Path socket) {
    file = socket.resolveSibling(socket.getFileName() + ".seat");
  }

  /** Acquires the lock shared: this process owns the keys of the host or is about to. */
  public synchronized void acquireShared() {
    if (lock == null || !lock.isShared()) {
      release();
      lock = tryLock(true);
    }
  }

  /**
   * Tries to acquire the lock exclusively; it is then held until {@link #acquireShared} or {@link
   * #release} is called. Returns true if no other process holds it, or if locking the file fails.
   */
  public synchronized boolean tryAcquireExclusive() {
    release();
    try {
      lock = openAndTryLock(false);
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    } catch (IOException e) {
      Logger.debug("cannot lock file={} error={}", file, e.toString());
      return true;
    }
  }

  /** Releases the lock: this process holds no keys that another process lacks. */
  public synchronized void release() {
    if (lock != null) {
      try {
        lock.release();
      } catch (IOException e) {
        Logger.debug("cannot release file={} error={}", file, e.toString());
      }
      lock = null;
    }
  }

  private FileLock tryLock(boolean shared) {
    try {
      return openAndTryLock(shared);
    } catch (IOException | OverlappingFileLockException e) {
      Logger.debug("cannot lock file={} error={}", file, e.toString());
      return null;
    }
  }

  private FileLock openAndTryLock(boolean shared) throws IOException {
    if (channel == null) {
      channel =
          FileChannel.open(
              file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }
    return channel.tryLock(0, Long.MAX_VALUE, shared);
  }

  @Override
  public synchronized void close() {
    release();
    if (channel != null) {
      BoundedReader.closeQuietly(channel);
      channel = null;
    }
  }
}
