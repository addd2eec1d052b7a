package wharftrestle.supervisor;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * An append-only journal on disk with one JSON object on each line. Each entry is synced before
 * {@link #add} returns, so a caller can act on it. An incomplete last line, as a kill or a full
 * disk leaves it, is dropped. Thread-safe.
 *
 * @param <E> an entry, a record that Jackson reads and writes
 */
public class JsonLineJournal<E> implements Closeable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final FileChannel file;
  private final List<E> entries = new ArrayList<>();

  /**
   * Opens the journal, which is created if absent.
   *
   * @throws IOException also if a complete line is malformed: then no entry of the file is trusted
   */
  public JsonLineJournal(Path path, Class<E> type) throws IOException {
    boolean isNew = !Files.exists(path);
    long completeBytes = isNew ? 0 : read(path, type, entries);
    file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    file.truncate(completeBytes);
    file.position(completeBytes);
    if (isNew) {
      syncDirectory(path);
    }
  }

  /** Reads the complete lines of a journal that another process may have open. */
  public static <E> List<E> read(Path path, Class<E> type) throws IOException {
    List<E> all = new ArrayList<>();
    read(path, type, all);
    return all;
  }

  /** Reads the complete lines; returns their length in bytes. */
  private static <E> long read(Path path, Class<E> type, List<E> into) throws IOException {
    byte[] bytes = Files.readAllBytes(path);
    int lineStart = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        try {
          into.add(JSON.readValue(bytes, lineStart, i - lineStart, type));
        } catch (JsonProcessingException e) {
          throw new IOException(path + ", line " + (into.size() + 1) + ": malformed journal entry");
        }
        lineStart = i + 1;
      }
    }
    return lineStart;
  }

  /** Without this a new file may be missing from its directory after a loss of power. */
  private static void syncDirectory(Path path) throws IOException {
    try (FileChannel directory = FileChannel.open(path.toAbsolutePath().getParent())) {
      directory.force(true);
    }
  }

  /** All entries, the oldest first. */
  public synchronized List<E> entries() {
    return List.copyOf(entries);
  }

  /** The newest entry; null if there is none. */
  public synchronized E last() {
    return entries.isEmpty() ? null : entries.get(entries.size() - 1);
  }

  /** Appends an entry, which is on disk when this returns. */
  public synchronized void add(E entry) throws IOException {
    long start = file.position();
    ByteBuffer line =
        ByteBuffer.wrap((JSON.writeValueAsString(entry) + "\n").getBytes(StandardCharsets.UTF_8));
    try {
      while (line.hasRemaining()) {
        file.write(line);
      }
      file.force(false);
    } catch (IOException e) {
      // Half a line would make the journal malformed as soon as a later entry follows it.
      file.truncate(start);
      file.position(start);
      throw e;
    }
    entries.add(entry);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
