package wharftrestle.storage;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import wharftrestle.time.SteadyWallClock;

/**
 * What operators see and do of a folder of kept results while no daemon has it: list, show, verify,
 * compact, export. It holds the folder's lock meanwhile and changes nothing but in {@link
 * #compact}. It must never be used by a daemon.
 */
public final class ResultLogTool implements AutoCloseable {
  /** Characters of a result that are shown. */
  private static final int LONGEST_TEXT = 400;

  private final Path folder;
  private final SegmentStore disk;

  /** Takes the folder; one that is missing is not made. */
  public ResultLogTool(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      throw new UnusableStorageException(folder + " is no folder");
    }
    this.folder = folder;
    disk = new FileSegmentStore(folder);
  }

  /** The last record of a key with what it means. */
  private record Line(LogRecord record, String state, boolean over) {}

  /** All lines of the log, by key: the last record of each. */
  private Map<String, Line> lines() throws IOException {
    Map<String, Line> all = new TreeMap<>();
    long boot = disk.bootId();
    long steady = System.nanoTime() / 1_000_000;
    Recovery recovery = new Recovery(SteadyWallClock.steadyWallMillis(), steady);
    for (long file : disk.segmentNumbers()) {
      ByteBuffer bytes = disk.read(file);
      boolean same = Compaction.sameBoot(bytes, boot);
      Compaction.scan(
          bytes,
          (record, offset) -> {
            boolean kept = recovery.replay(record, offset, same);
            String state =
                switch (record.kind()) {
                  case RESULT -> "known";
                  case INTENT -> "unknown";
                  case FAILED -> "failed";
                  case VOID -> "void";
                };
            all.put(record.key(), new Line(record, state, !kept));
          });
    }
    return all;
  }

  /** A line a key: what its last record says, when it was written, bytes of its result. */
  public void list(PrintStream out, boolean everything) throws IOException {
    int shown = 0;
    Map<String, Line> all = lines();
    out.printf(
        Locale.ROOT, "%-8s %-24s %8s  %s%n", "state", "written", "bytes", "class/tenant/key");
    for (Line line : all.values()) {
      if (everything || !line.over()) {
        out.printf(
            Locale.ROOT,
            "%-8s %-24s %8d  %s%s%n",
            line.state(),
            Instant.ofEpochMilli(line.record().writtenAtMillis()),
            line.record().result().length,
            line.record().key(),
            line.over() ? "  (over)" : "");
        shown++;
      }
    }
    out.println(shown + " of " + all.size() + " keys");
  }

  /**
   * All that is known of one key, given whole or without its class and tenant; false where nothing
   * is.
   */
  public boolean show(PrintStream out, String key) throws IOException {
    boolean found = false;
    for (Line line : lines().values()) {
      LogRecord record = line.record();
      if (record.key().equals(key)
          || (record.key().matches("[0-9]+/[0-9]+/.*")
              && record.key().replaceFirst("[0-9]+/[0-9]+/", "").equals(key))) {
        found = true;
        out.printf(
            Locale.ROOT,
            "key       %s%nstate     %s%s%nwritten   %s%ncovers    tries stamped up to %s%n"
                + "window    %d ms%nbody      check %016x%nresult    %d bytes%n%s%n",
            record.key(),
            line.state(),
            line.over() ? ", its time is over" : "",
            Instant.ofEpochMilli(record.writtenAtMillis()),
            Instant.ofEpochMilli(record.coveredUntilMillis()),
            record.windowMillis(),
            record.bodyChecksum(),
            record.result().length,
            shown(record.result()));
      }
    }
    return found;
  }

  private static String shown(byte[] bytes) {
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      if (text.chars().noneMatch(c -> c < 32 && c != '\n' && c != '\t' && c != '\r')) {
        return text.length() > LONGEST_TEXT ? text.substring(0, LONGEST_TEXT) + "..." : text;
      }
    } catch (CharacterCodingException e) {
      // Shown below as it is no text.
    }
    String coded = Base64.getEncoder().encodeToString(bytes);
    return "base64 "
        + (coded.length() > LONGEST_TEXT ? coded.substring(0, LONGEST_TEXT) + "..." : coded);
  }

  /** Reads every byte; a line a file. False where something that was on disk is lost. */
  public boolean verify(PrintStream out) throws IOException {
    boolean whole = true;
    long[] files = disk.segmentNumbers();
    byte[] list = disk.readManifest();
    List<Long> listed;
    try {
      listed = list == null ? null : Manifest.decode(list);
    } catch (Segment.ForeignFormatException e) {
      throw new UnusableStorageException(folder + " " + e.getMessage());
    }
    if (listed == null && files.length > 0) {
      out.println("list: missing or garbled");
      whole = false;
    }
    for (long number : listed == null ? List.<Long>of() : listed) {
      if (Arrays.binarySearch(files, number) < 0) {
        out.println("file " + number + ": missing");
        whole = false;
      }
    }
    for (int i = 0; i < files.length; i++) {
      ByteBuffer bytes = disk.read(files[i]);
      Segment.ScanResult seen = Compaction.scan(bytes, (record, offset) -> {});
      boolean last = i == files.length - 1;
      boolean damaged = seen.damaged() || (seen.torn() && !last);
      whole &= !damaged;
      out.printf(
          Locale.ROOT,
          "file %d: %d records, %d of %d bytes used, %s%n",
          files[i],
          seen.recordCount(),
          seen.end(),
          bytes.limit(),
          damaged ? "DAMAGED" : seen.torn() ? "ends in a torn write" : "whole");
    }
    out.println(
        whole
            ? "whole"
            : "damaged: a daemon that starts here lets no unknown key run for one window");
    return whole;
  }

  /**
   * Writes what still matters into as few files as hold it; false where there is nothing to gain.
   */
  public boolean compact(PrintStream out) throws IOException {
    PrintStream none = new PrintStream(OutputStream.nullOutputStream());
    if (!verify(none)) {
      throw new UnusableStorageException(
          folder + " is damaged, and is left as it is: see 'results verify'");
    }
    long[] files = disk.segmentNumbers();
    long before = 0;
    int segment = 0;
    for (long file : files) {
      int length = disk.read(file).limit();
      before += length;
      segment = Math.max(segment, length);
    }
    boolean done = files.length > 0 && Compaction.run(disk, segment, 2 * files.length + 1);
    long[] after = disk.segmentNumbers();
    out.printf(
        Locale.ROOT,
        "%d files, %d kB; before: %d files, %d kB%n",
        after.length,
        (done ? (long) after.length * segment : before) >> 10,
        files.length,
        before >> 10);
    return done;
  }

  /** A JSON object a line for each key whose time is not over. */
  public void export(PrintStream out) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    for (Line line : lines().values()) {
      if (line.over()) {
        continue;
      }
      LogRecord record = line.record();
      ObjectNode node = mapper.createObjectNode();
      node.put("key", record.key())
          .put("state", line.state())
          .put("written_ms", record.writtenAtMillis())
          .put("last_door_ms", record.coveredUntilMillis())
          .put("window_ms", record.windowMillis())
          .put("body_check", String.format("%016x", record.bodyChecksum()));
      if (record.kind() == LogRecord.Kind.RESULT) {
        node.put("result_base64", Base64.getEncoder().encodeToString(record.result()));
      }
      out.println(mapper.writeValueAsString(node));
    }
  }

  @Override
  public void close() {
    disk.close();
  }
}
