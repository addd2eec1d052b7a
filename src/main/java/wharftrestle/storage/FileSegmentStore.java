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
 * A folder on a real disk, held by a lock that the kernel gives back when the process dies. It must
 * never share the folder, nor leave a file half made under a name that counts.
 */
final class FileSegmentStore implements SegmentStore {
  private static final String PREFIX = "results-";
  private static final String SUFFIX = ".log";
  private static final int ZEROS = 256 * 1024;

  private final Path folder;
  private final FileChannel lockFile;
  private final FileLock lock;
  private final Map<Long, FileChannel> open = new ConcurrentHashMap<>();

  /**
   * @throws UnusableException in one line, where the folder cannot be used or is another's
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
    FileLock held = null;
    try {
      held = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      held = null; // this very process has it
    }
    if (held == null) {
      lockFile.close();
      throw new UnusableStorageException(folder + " is held by another process");
    }
    lock = held;
  }

  @Override
  public long bootId() {
    try {
      String id = Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).trim();
      return KeyDigest.of(id).high();
    } catch (IOException e) {
      return 0; // never the same boot: nothing is left out for its age
    }
  }

  private Path path(long number) {
    return folder.resolve(String.format("%s%08d%s", PREFIX, number, SUFFIX));
  }

  private FileChannel channel(long number) throws IOException {
    FileChannel known = open.get(number);
    if (known != null) {
      return known;
    }
    FileChannel made =
        FileChannel.open(path(number), StandardOpenOption.READ, StandardOpenOption.WRITE);
    FileChannel first = open.putIfAbsent(number, made);
    if (first != null) {
      made.close();
    }
    return first == null ? made : first;
  }

  @Override
  public byte[] readManifest() throws IOException {
    try {
      return Files.readAllBytes(folder.resolve("list"));
    } catch (NoSuchFileException none) {
      return null;
    }
  }

  @Override
  public void writeManifest(byte[] list) throws IOException {
    Path fresh = folder.resolve("list.new");
    try (FileChannel file =
        FileChannel.open(
            fresh,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      all(file, ByteBuffer.wrap(list), 0);
      file.force(true);
    }
    try {
      Files.move(fresh, folder.resolve("list"), StandardCopyOption.ATOMIC_MOVE);
    } catch (AtomicMoveNotSupportedException e) {
      throw new UnusableStorageException(folder + " cannot replace a file in one step");
    }
    syncFolder();
  }

  private void syncFolder() throws IOException {
    try (FileChannel self = FileChannel.open(folder, StandardOpenOption.READ)) {
      self.force(true);
    }
  }

  @Override
  public long[] segmentNumbers() throws IOException {
    LongStream.Builder numbers = LongStream.builder();
    try (DirectoryStream<Path> all = Files.newDirectoryStream(folder, PREFIX + "*" + SUFFIX)) {
      for (Path each : all) {
        String name = each.getFileName().toString();
        String digits = name.substring(PREFIX.length(), name.length() - SUFFIX.length());
        if (!digits.matches("[0-9]{8,15}")) {
          throw new UnusableStorageException(folder + ": " + name + " is no file of kept results");
        }
        numbers.add(Long.parseLong(digits));
      }
    }
    return numbers.build().sorted().toArray();
  }

  @Override
  public void create(long number, ByteBuffer head, int size) throws IOException {
    Path fresh = folder.resolve("new");
    try (FileChannel file =
        FileChannel.open(
            fresh,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      // Zeros in all of it: a sync of records then writes no length, and a file that was cut is
      // known by it.
      ByteBuffer zeros = ByteBuffer.allocate(Math.min(ZEROS, size));
      for (int at = 0; at < size; at += zeros.capacity()) {
        all(file, zeros.clear().limit(Math.min(zeros.capacity(), size - at)), at);
      }
      all(file, head.duplicate(), 0);
      file.force(true);
    }
    Files.move(fresh, path(number), StandardCopyOption.ATOMIC_MOVE);
    syncFolder();
  }

  private static void all(FileChannel file, ByteBuffer bytes, long at) throws IOException {
    for (long to = at; bytes.hasRemaining(); ) {
      to += file.write(bytes, to);
    }
  }

  @Override
  public ByteBuffer read(long number) throws IOException {
    return ByteBuffer.wrap(Files.readAllBytes(path(number)));
  }

  @Override
  public ByteBuffer read(long number, int from, int length) throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(length);
    FileChannel file = channel(number);
    for (int read = 0; read >= 0 && bytes.hasRemaining(); ) {
      read = file.read(bytes, from + (long) bytes.position());
    }
    return bytes.flip();
  }

  @Override
  public void write(long number, int at, ByteBuffer bytes) throws IOException {
    all(channel(number), bytes, at);
  }

  @Override
  public void sync(long number) throws IOException {
    channel(number).force(false);
  }

  @Override
  public void delete(long number) throws IOException {
    FileChannel file = open.remove(number);
    if (file != null) {
      file.close();
    }
    Files.deleteIfExists(path(number));
  }

  @Override
  public void close() {
    for (FileChannel file : open.values()) {
      quietly(file);
    }
    open.clear();
    quietly(lock);
    quietly(lockFile);
  }

  private static void quietly(AutoCloseable held) {
    try {
      held.close();
    } catch (Exception e) {
      Logger.debug(e, "closing kept results");
    }
  }
}
