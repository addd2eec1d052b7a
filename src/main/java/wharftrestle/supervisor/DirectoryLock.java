package wharftrestle.supervisor;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A locked file that says whose a folder is, as long as its process lives. */
public final class DirectoryLock implements Closeable {
  private final FileChannel file;

  private DirectoryLock(FileChannel file) {
    this.file = file;
  }

  /** Locks this file; null where another process, or another part of this one, has it. */
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
