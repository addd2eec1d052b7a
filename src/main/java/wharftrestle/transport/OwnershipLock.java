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
 * A file lock that lives as long as a process that knows the keys of this host, or is about to:
 * each such process holds it shared, and whoever would start without those keys has to hold it
 * alone. The kernel releases it when its process ends, and not before, so a stopped process keeps
 * it. Where files cannot be locked, no other process is assumed. Thread-safe.
 */
public final class OwnershipLock implements Closeable {
  private final Path file;
  private FileChannel channel;
  private FileLock lock;

  /**
   * @param socket where the processes of the host meet; the file lies beside it
   */
  public OwnershipLock(Path socket) {
    file = socket.resolveSibling(socket.getFileName() + ".seat");
  }

  /** Holds the lock shared: this process knows the keys of its host, or is about to. */
  public synchronized void acquireShared() {
    if (lock == null || !lock.isShared()) {
      release();
      lock = tryLock(true);
    }
  }

  /**
   * Tries to hold the lock alone, until it is held shared or released. True where no other process
   * holds it, or that cannot be told.
   */
  public synchronized boolean tryAcquireExclusive() {
    release();
    try {
      lock = lockOf(false);
      return lock != null;
    } catch (OverlappingFileLockException e) {
      return false;
    } catch (IOException e) {
      Logger.debug("{}: {}", file, e.toString());
      return true;
    }
  }

  /** Holds the lock no more: this process knows nothing that others do not. */
  public synchronized void release() {
    if (lock != null) {
      try {
        lock.release();
      } catch (IOException e) {
        Logger.debug("{}: {}", file, e.toString());
      }
      lock = null;
    }
  }

  private FileLock tryLock(boolean shared) {
    try {
      return lockOf(shared);
    } catch (IOException | OverlappingFileLockException e) {
      Logger.debug("{}: {}", file, e.toString());
      return null;
    }
  }

  private FileLock lockOf(boolean shared) throws IOException {
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
