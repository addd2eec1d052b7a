package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
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
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.LongStream;
import org.tinylog.Logger;
import wharftrestle.idempotency.KeyDigest;

/**
 * A segment store in a folder of the file system. Holds an exclusive file lock on the folder, which
 * the kernel releases if the process dies, and keeps segment channels open until {@link #close}.
 * Files are written under a temporary name and then renamed, so that no incomplete file appears
 * under its final name. Only the writer thread writes; any thread may read.
 */
final class FileSegmentStore implements SegmentStore {
  private static final String PREFIX = "results-";
  private static final String SUFFIX = ".log";
  private static final String MANIFEST = "list";
  private static final int ZERO_FILL_BYTES = 256 * 1024;
  private static final long UNKNOWN_BOOT = 0;

  private final Path folder;
  private final FileChannel lockFile;
  private final FileLock lock;
  private final Map<Long, FileChannel> openChannels = new ConcurrentHashMap<>();

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

  private FileChannel channel(long number) throws IOException {
    FileChannel cached = openChannels.get(number);
    if (cached != null) {
      return cached;
    }
    FileChannel opened =
        FileChannel.open(path(number), StandardOpenOption.READ, StandardOpenOption.WRITE);
    FileChannel existing = openChannels.putIfAbsent(number, opened);
    if (existing != null) {
      opened.close();
    }
    return existing == null ? opened : existing;
  }

  @Override
  public byte[] readManifest() throws IOException {
    try {
      return Files.readAllBytes(folder.resolve(MANIFEST));
    } catch (NoSuchFileException e) {
      return null;
    }
  }

  @Override
  public void writeManifest(byte[] manifest) throws IOException {
    Path fresh = folder.resolve("list.new");
    try (FileChannel file =
        FileChannel.open(
            fresh,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      writeFully(file, ByteBuffer.wrap(manifest), 0);
      file.force(true);
    }
    try {
      Files.move(fresh, folder.resolve(MANIFEST), StandardCopyOption.ATOMIC_MOVE);
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
      ByteBuffer zeros = ByteBuffer.allocate(Math.min(ZERO_FILL_BYTES, size));
      for (int at = 0; at < size; at += zeros.capacity()) {
        writeFully(file, zeros.clear().limit(Math.min(zeros.capacity(), size - at)), at);
      }
      writeFully(file, header.duplicate(), 0);
      file.force(true);
    }
    Files.move(fresh, path(number), StandardCopyOption.ATOMIC_MOVE);
    syncFolder();
  }

  private static void writeFully(FileChannel file, ByteBuffer bytes, long at) throws IOException {
    for (long position = at; bytes.hasRemaining(); ) {
      position += file.write(bytes, position);
    }
  }

  @Override
  public ByteBuffer read(long number) throws IOException {
    return ByteBuffer.wrap(Files.readAllBytes(path(number)));
  }

  @Override
  public ByteBuffer read(long number, int offset, int length) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(length);
    FileChannel file = channel(number);
    for (int read = 0; read >= 0 && bytes.hasRemaining(); ) {
      read = file.read(bytes, offset + (long) bytes.position());
    }
    return bytes.flip();
  }

  @Override
  public void write(long number, int offset, ByteBuffer bytes) throws IOException {
    writeFully(channel(number), bytes, offset);
  }

  @Override
  public void sync(long number) throws IOException {
    channel(number).force(false);
  }

  @Override
  public void delete(long number) throws IOException {
    FileChannel file = openChannels.remove(number);
    if (file != null) {
      file.close();
    }
    Files.deleteIfExists(path(number));
  }

  @Override
  public void close() {
    for (FileChannel file : openChannels.values()) {
      closeQuietly(file);
    }
    openChannels.clear();
    closeQuietly(lock);
    closeQuietly(lockFile);
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      Logger.debug(e, "write-ahead log file could not be closed");
    }
  }
}
