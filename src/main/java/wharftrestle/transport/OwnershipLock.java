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
 * Says whether a process lives that knows the keys of this box, or is about to: each such process
 * shares the lock of one file, and whoever would start without those keys has to have it alone. The
 * kernel gives a lock back when its process ends, and not before, so a stopped process keeps its
 * own. Where files cannot be locked it says what it can: nothing.
 */
public final class OwnershipLock implements Closeable {
  private final Path file;
  private FileChannel channel;
  private FileLock lock;

  /**
   * @param meeting where the processes of the box meet; the file lies beside it
   */
  public OwnershipLock(Path meeting) {
    file = meeting.resolveSibling(meeting.getFileName() + ".seat");
  }

  /** This process knows the keys of its box, or is about to. */
  public synchronized void share() {
    if (lock == null || !lock.isShared()) {
      leave();
      lock = tryLock(true);
    }
  }

  /**
   * True where no other process does, or that cannot be told; this one has the file alone until it
   * shares or leaves.
   */
  public synchronized boolean alone() {
    leave();
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

  /** This process knows no more than it would by itself. */
  public synchronized void leave() {
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
    leave();
    if (channel != null) {
      BoundedReader.closeQuietly(channel);
      channel = null;
    }
  }
}
