package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AtomicMoveNotSupportedException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.LongStream;
import org.tinylog.Logger;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.io.BoundedTransfers;

/**
 * A segment store in a folder of the file system. Holds an exclusive file lock on the folder, which
 * the kernel releases if the process dies. Has one segment open for writing and one for reading;
 * segments can be read after {@link #close} too. Files are written under a temporary name and then
 * renamed, so that no incomplete file appears under its final name. Only one thread writes; any
 * thread may read, one at a time.
 */
final class FileSegmentStore implements SegmentStore {
  private static final String PREFIX = "results-";
  private static final String SUFFIX = ".log";
  private static final String MANIFEST = "list";
  private static final String NAMES = "names";
  private static final int MAX_LIST_BYTES = 1 << 20;
  private static final long UNKNOWN_BOOT = 0;

  private final Path folder;
  private final FileChannel lockFile;
  private final FileLock lock;
  private final OpenSegment writer = new OpenSegment(StandardOpenOption.WRITE); // guarded by itself
  private final ReentrantLock readLock = new ReentrantLock();
  private final OpenSegment reader =
      new OpenSegment(StandardOpenOption.READ); // guarded by readLock
  private boolean isClosed; // guarded by writer

  /**
   * Creates the folder if it is missing and locks it.
   *
   * @throws UnusableStorageException if the folder cannot be written or another process holds its
   *     lock; the message is one line
   */
  FileSegmentStore(Path folder) throws IOException {
    this.folder = folder;
    try {
      Files.createDirectories(folder);
      lockFile =
          FileChannel.open(
              folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    } catch (FileSystemException e) {
      throw new UnusableStorageException(
          folder + " cannot be written (" + e.getClass().getSimpleName() + ")");
    }
    FileLock acquired;
    try {
      acquired = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      acquired = null; // This process already holds the lock.
    }
    if (acquired == null) {
      lockFile.close();
      throw new UnusableStorageException(folder + " is held by another process");
    }
    lock = acquired;
  }

  @Override
  public long bootId() {
    try {
      String id = Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).trim();
      return KeyDigest.of(id).high();
    } catch (IOException e) {
      return UNKNOWN_BOOT; // Recovery then skips no record as expired.
    }
  }

  private Path path(long number) {
    return folder.resolve(String.format("%s%08d%s", PREFIX, number, SUFFIX));
  }

  @Override
  public byte[] readManifest() throws IOException {
    return readList(MANIFEST);
  }

  @Override
  public void writeManifest(byte[] manifest) throws IOException {
    replaceList(MANIFEST, manifest);
  }

  @Override
  public byte[] readNames() throws IOException {
    return readList(NAMES);
  }

  @Override
  public void writeNames(byte[] names) throws IOException {
    replaceList(NAMES, names);
  }

  /** Reads a file that is no segment; null if there is none. */
  private byte[] readList(String name) throws IOException {
    try {
      return BoundedTransfers.readFile(folder.resolve(name), MAX_LIST_BYTES);
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  private void replaceList(String name, byte[] content) throws IOException {
    Path fresh = folder.resolve(name + ".new");
    try (FileChannel file =
        FileChannel.open(
            fresh,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      BoundedTransfers.write(file, 0, ByteBuffer.wrap(content));
      file.force(true);
    }
    try {
      Files.move(fresh, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
    } catch (AtomicMoveNotSupportedException e) {
      throw new UnusableStorageException(
          folder + " is on a file system that cannot replace a file atomically");
    }
    syncFolder();
  }

  /** Makes file creations and renames durable. */
  private void syncFolder() throws IOException {
    try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
      directory.force(true);
    }
  }

  @Override
  public long[] segmentNumbers() throws IOException {
    LongStream.Builder numbers = LongStream.builder();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
      for (Path file : files) {
        String name = file.getFileName().toString();
        String digits = name.substring(PREFIX.length(), name.length() - SUFFIX.length());
        if (!digits.matches("[0-9]{8,15}")) {
          throw new UnusableStorageException(
              folder + ": " + name + " is not a segment file, expected a number of 8 to 15 digits");
        }
        numbers.add(Long.parseLong(digits));
      }
    }
    return numbers.build().sorted().toArray();
  }

  @Override
  public void create(long number, ByteBuffer header, int size) throws IOException {
    Path fresh = folder.resolve("new");
    try (FileChannel file =
        FileChannel.open(
            fresh,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      // Full size from the start: a sync of records then need not write the file length, and a
      // truncated file is detected.
      ByteBuffer zeros = ByteBuffer.allocate(Math.min(BoundedTransfers.MAX_BYTES, size));
      for (int at = 0; at < size; at += zeros.capacity()) {
        zeros.clear().limit(Math.min(zeros.capacity(), size - at));
        BoundedTransfers.write(file, at, zeros);
      }
      BoundedTransfers.write(file, 0, header.duplicate());
      file.force(true);
    }
    Files.move(fresh, path(number), StandardCopyOption.ATOMIC_MOVE);
    syncFolder();
  }

  @Override
  public long size(long number) throws IOException {
    return Files.size(path(number));
  }

  @Override
  public void read(long number, int offset, ByteBuffer target) throws IOException {
    readLock.lock();
    try {
      BoundedTransfers.read(reader.open(number), offset, target);
    } finally {
      readLock.unlock();
    }
  }

  @Override
  public void write(long number, int offset, ByteBuffer bytes) throws IOException {
    BoundedTransfers.write(openForWrite(number), offset, bytes);
  }

  @Override
  public void sync(long number) throws IOException {
    openForWrite(number).force(false);
  }

  private FileChannel openForWrite(long number) throws IOException {
    synchronized (writer) {
      if (isClosed) {
        throw new ClosedChannelException(); // another process may write to the folder by now
      }
      return writer.open(number);
    }
  }

  @Override
  public void delete(long number) throws IOException {
    synchronized (writer) {
      writer.close(number);
    }
    closeReader(number);
    Files.deleteIfExists(path(number));
  }

  @Override
  public void close() {
    synchronized (writer) {
      isClosed = true;
      writer.close(writer.number);
    }
    closeReader(reader.number);
    closeQuietly(lock);
    closeQuietly(lockFile);
  }

  /** Closes a segment for reading, unless a read is in progress, which the disk may hold up. */
  private void closeReader(long number) {
    if (readLock.tryLock()) {
      try {
        reader.close(number);
      } finally {
        readLock.unlock();
      }
    }
  }

  /**
   * The channel of one segment, so that the number of descriptors does not depend on the number of
   * segments. Not thread-safe.
   */
  private final class OpenSegment {
    private final StandardOpenOption access;
    private volatile long number;
    private FileChannel channel; // null before the first segment

    OpenSegment(StandardOpenOption access) {
      this.access = access;
    }

    /** Opens a segment, and closes the one before. */
    FileChannel open(long next) throws IOException {
      if (channel == null || !channel.isOpen() || number != next) {
        close(number);
        channel = FileChannel.open(path(next), access);
        number = next;
      }
      return channel;
    }

    /** Closes this segment if it is the open one. */
    void close(long closed) {
      if (channel != null && number == closed) {
        closeQuietly(channel);
      }
    }
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      Logger.debug(e, "write-ahead log file could not be closed");
    }
  }
}
