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
 * The operators' commands on a folder of the write-ahead log while no daemon has it: list, show,
 * verify, compact, export. Holds the folder's lock until it is closed, and changes nothing but in
 * {@link #compact}. Used by one thread.
 */
public final class ResultLogTool implements AutoCloseable {
  private static final int MAX_DISPLAYED_CHARS = 400;

  private final Path folder;
  private final SegmentStore store;

  /**
   * Takes the folder; a missing one is not made.
   *
   * @throws UnusableStorageException where it is missing, or another process holds it
   */
  public ResultLogTool(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      throw new UnusableStorageException(folder + " is no folder");
    }
    this.folder = folder;
    store = new FileSegmentStore(folder);
  }

  /** The last record of a key with what it means. */
  private record KeyLine(LogRecord record, String state, boolean isExpired) {}

  /** The last record of each key, by key. */
  private Map<String, KeyLine> lines() throws IOException {
    Map<String, KeyLine> all = new TreeMap<>();
    long boot = store.bootId();
    long steady = LogClock.monotonicMillis();
    Recovery recovery = new Recovery(SteadyWallClock.steadyWallMillis(), steady);
    for (long number : store.segmentNumbers()) {
      ByteBuffer bytes = store.read(number);
      boolean same = Compaction.isSameBoot(bytes, boot);
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
            all.put(record.key(), new KeyLine(record, state, !kept));
          });
    }
    return all;
  }

  /** Prints a line a key: what its last record says, when it was written, bytes of its result. */
  public void list(PrintStream out, boolean everything) throws IOException {
    int displayedKeys = 0;
    Map<String, KeyLine> all = lines();
    out.printf(
        Locale.ROOT, "%-8s %-24s %8s  %s%n", "state", "written", "bytes", "class/tenant/key");
    for (KeyLine line : all.values()) {
      if (everything || !line.isExpired()) {
        out.printf(
            Locale.ROOT,
            "%-8s %-24s %8d  %s%s%n",
            line.state(),
            Instant.ofEpochMilli(line.record().writtenAtMillis()),
            line.record().result().length,
            line.record().key(),
            line.isExpired() ? "  (over)" : "");
        displayedKeys++;
      }
    }
    out.println(displayedKeys + " of " + all.size() + " keys");
  }

  /**
   * Prints what is known of one key, given in full or without its class and tenant; false where
   * nothing is.
   */
  public boolean show(PrintStream out, String key) throws IOException {
    boolean isKnown = false;
    for (KeyLine line : lines().values()) {
      LogRecord record = line.record();
      if (record.key().equals(key)
          || (record.key().matches("[0-9]+/[0-9]+/.*")
              && record.key().replaceFirst("[0-9]+/[0-9]+/", "").equals(key))) {
        isKnown = true;
        out.printf(
            Locale.ROOT,
            "key       %s%nstate     %s%s%nwritten   %s%ncovers    tries stamped up to %s%n"
                + "window    %d ms%nbody      check %016x%nresult    %d bytes%n%s%n",
            record.key(),
            line.state(),
            line.isExpired() ? ", its time is over" : "",
            Instant.ofEpochMilli(record.writtenAtMillis()),
            Instant.ofEpochMilli(record.coveredUntilMillis()),
            record.windowMillis(),
            record.bodyChecksum(),
            record.result().length,
            displayed(record.result()));
      }
    }
    return isKnown;
  }

  private static String displayed(byte[] bytes) {
    try {
      String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
      if (text.chars().noneMatch(c -> c < 32 && c != '\n' && c != '\t' && c != '\r')) {
        return text.length() > MAX_DISPLAYED_CHARS
            ? text.substring(0, MAX_DISPLAYED_CHARS) + "..."
            : text;
      }
    } catch (CharacterCodingException e) {
      // It is no text, and is displayed as base64 below.
    }
    String coded = Base64.getEncoder().encodeToString(bytes);
    return "base64 "
        + (coded.length() > MAX_DISPLAYED_CHARS
            ? coded.substring(0, MAX_DISPLAYED_CHARS) + "..."
            : coded);
  }

  /** Reads every byte; a line a segment. False where something that was on store is lost. */
  public boolean verify(PrintStream out) throws IOException {
    long[] segments = store.segmentNumbers();
    boolean intact = verifyManifest(out, segments);
    for (int i = 0; i < segments.length; i++) {
      intact &= verifySegment(out, segments[i], i == segments.length - 1);
    }
    out.println(
        intact
            ? "whole"
            : "damaged: a daemon that starts here lets no unknown key run for one window");
    return intact;
  }

  private boolean verifyManifest(PrintStream out, long[] segments) throws IOException {
    List<Long> listed = readManifest();
    if (listed == null) {
      if (segments.length > 0) {
        out.println("list: missing or garbled");
      }
      return segments.length == 0;
    }
    boolean intact = true;
    for (long number : listed) {
      if (Arrays.binarySearch(segments, number) < 0) {
        out.println("file " + number + ": missing");
        intact = false;
      }
    }
    return intact;
  }

  private List<Long> readManifest() throws IOException {
    byte[] manifest = store.readManifest();
    try {
      return manifest == null ? null : Manifest.decode(manifest);
    } catch (Segment.ForeignFormatException e) {
      throw new UnusableStorageException(folder + " " + e.getMessage(), e);
    }
  }

  private boolean verifySegment(PrintStream out, long number, boolean isLast) throws IOException {
    ByteBuffer bytes = store.read(number);
    Segment.ScanResult scan = Compaction.scan(bytes, (record, offset) -> {});
    boolean damaged = scan.damaged() || (scan.torn() && !isLast);
    out.printf(
        Locale.ROOT,
        "file %d: %d records, %d of %d bytes used, %s%n",
        number,
        scan.recordCount(),
        scan.end(),
        bytes.limit(),
        damaged ? "DAMAGED" : scan.torn() ? "ends in a torn write" : "whole");
    return !damaged;
  }

  /**
   * Rewrites the live records into as few segments as hold them; false where that gains nothing.
   *
   * @throws UnusableStorageException where the log is damaged: it is left as it is
   */
  public boolean compact(PrintStream out) throws IOException {
    PrintStream discarded = new PrintStream(OutputStream.nullOutputStream());
    if (!verify(discarded)) {
      throw new UnusableStorageException(
          folder + " is damaged, and is left as it is: see 'results verify'");
    }
    long[] segments = store.segmentNumbers();
    long before = 0;
    int segmentBytes = 0;
    for (long number : segments) {
      int length = store.read(number).limit();
      before += length;
      segmentBytes = Math.max(segmentBytes, length);
    }
    boolean done =
        segments.length > 0 && Compaction.run(store, segmentBytes, 2 * segments.length + 1);
    long[] after = store.segmentNumbers();
    out.printf(
        Locale.ROOT,
        "%d files, %d kB; before: %d files, %d kB%n",
        after.length,
        (done ? (long) after.length * segmentBytes : before) >> 10,
        segments.length,
        before >> 10);
    return done;
  }

  /** Prints a JSON object a line for each key that is not expired. */
  public void export(PrintStream out) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    for (KeyLine line : lines().values()) {
      if (line.isExpired()) {
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
    store.close();
  }
}
