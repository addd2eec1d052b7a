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
 * A journal on disk: a JSON object a line, each synced before what it says is done. A last line
 * that is not whole, as a kill or a full disk leaves it, counts for nothing and is cut off. It must
 * never be written over.
 *
 * @param <E> a line, a record that Jackson reads and writes
 */
public class JsonLineJournal<E> implements Closeable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final FileChannel file;
  private final List<E> entries = new ArrayList<>();

  /**
   * @throws IOException also where a line that is not the last cannot be read: then nothing of it
   *     is believed
   */
  public JsonLineJournal(Path path, Class<E> type) throws IOException {
    boolean fresh = !Files.exists(path);
    long whole = fresh ? 0 : read(path, type, entries);
    file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    file.truncate(whole);
    file.position(whole);
    if (fresh) {
      syncFolder(path);
    }
  }

  /** Reads the whole lines of a journal that may be somebody else's, and leaves it as it is. */
  public static <E> List<E> read(Path path, Class<E> type) throws IOException {
    List<E> all = new ArrayList<>();
    read(path, type, all);
    return all;
  }

  /** Reads the whole lines; the bytes that they take. */
  private static <E> long read(Path path, Class<E> type, List<E> into) throws IOException {
    byte[] bytes = Files.readAllBytes(path);
    int from = 0;
    for (int i = 0; i < bytes.length; i++) {
      if (bytes[i] == '\n') {
        try {
          into.add(JSON.readValue(bytes, from, i - from, type));
        } catch (JsonProcessingException e) {
          throw new IOException(path + ", line " + (into.size() + 1) + ": cannot be read");
        }
        from = i + 1;
      }
    }
    return from;
  }

  /** A file that is new is there after a loss of power only once its folder is on disk. */
  private static void syncFolder(Path path) throws IOException {
    try (FileChannel folder = FileChannel.open(path.toAbsolutePath().getParent())) {
      folder.force(true);
    }
  }

  /** All lines, the oldest first. */
  public synchronized List<E> entries() {
    return List.copyOf(entries);
  }

  /** The newest line; null for none. */
  public synchronized E last() {
    return entries.isEmpty() ? null : entries.get(entries.size() - 1);
  }

  /** Writes a line, which is on disk when this returns. */
  public synchronized void add(E entry) throws IOException {
    long at = file.position();
    ByteBuffer line =
        ByteBuffer.wrap((JSON.writeValueAsString(entry) + "\n").getBytes(StandardCharsets.UTF_8));
    try {
      while (line.hasRemaining()) {
        file.write(line);
      }
      file.force(false);
    } catch (IOException full) {
      file.truncate(at); // guards against half a line within the journal, once there is room again
      file.position(at);
      throw full;
    }
    entries.add(entry);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
