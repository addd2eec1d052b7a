package wharftrestle.supervisor;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * A file lock that marks a directory as in use by one process. The operating system releases it
 * when the process ends.
 */
public final class DirectoryLock implements Closeable {
  private final FileChannel file;

  private DirectoryLock(FileChannel file) {
    this.file = file;
  }

  /** Locks this file, which is created if absent; null if this or another process has locked it. */
  public static DirectoryLock take(Path path) throws IOException {
    FileChannel file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = file.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      file.close();
      return null;
    }
    return new DirectoryLock(file);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
