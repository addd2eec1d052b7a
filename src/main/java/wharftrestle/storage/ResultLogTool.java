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
 * The operators' commands on a folder of the write-ahead log that no daemon is using: list, show,
 * verify, compact, export. Holds the folder's lock until it is closed. Only {@link #compact}
 * modifies the folder. Not thread-safe.
 */
public final class ResultLogTool implements AutoCloseable {
  private static final int MAX_DISPLAYED_CHARS = 400;

  private final Path folder;
  private final SegmentStore store;

  /**
   * Locks an existing folder.
   *
   * @throws UnusableStorageException if it is missing or another process holds its lock
   */
  public ResultLogTool(Path folder) throws IOException {
    if (!Files.isDirectory(folder)) {
      throw new UnusableStorageException(folder + " is not a folder");
    }
    this.folder = folder;
    store = new FileSegmentStore(folder);
  }

  /** The last record of a key and the state that follows from it. */
  private record KeyEntry(LogRecord record, String state, boolean isExpired) {}

  /** Reads the last record of each key, sorted by key. */
  private Map<String, KeyEntry> readEntries() throws IOException {
    Map<String, KeyEntry> entries = new TreeMap<>();
    long bootId = store.bootId();
    long monotonicMillis = LogClock.monotonicMillis();
    Recovery recovery =
        new Recovery(SteadyWallClock.steadyWallMillis(), monotonicMillis, Integer.MAX_VALUE);
    for (long number : store.segmentNumbers()) {
      boolean sameBoot = Compaction.isOfBoot(store, number, bootId);
      Compaction.scan(
          store,
          number,
          (record, offset) -> {
            boolean isLive = recovery.replay(record, offset, sameBoot);
            String state =
                switch (record.kind()) {
                  case RESULT -> "known";
                  case INTENT -> "unknown";
                  case FAILED -> "failed";
                  case VOID -> "void";
                };
            entries.put(record.key(), new KeyEntry(record, state, !isLive));
          });
    }
    return entries;
  }

  /**
   * Prints one line per key: state, time of the last record, size of the result.
   *
   * @param includeExpired true to include expired keys
   */
  public void list(PrintStream out, boolean includeExpired) throws IOException {
    int displayedKeys = 0;
    Map<String, KeyEntry> entries = readEntries();
    out.printf(
        Locale.ROOT, "%-8s %-24s %8s  %s%n", "state", "written", "bytes", "class/tenant/key");
    for (KeyEntry entry : entries.values()) {
      if (includeExpired || !entry.isExpired()) {
        out.printf(
            Locale.ROOT,
            "%-8s %-24s %8d  %s%s%n",
            entry.state(),
            Instant.ofEpochMilli(entry.record().writtenAtMillis()),
            entry.record().result().length,
            entry.record().key(),
            entry.isExpired() ? "  (over)" : "");
        displayedKeys++;
      }
    }
    out.println(displayedKeys + " of " + entries.size() + " keys");
  }

  /**
   * Prints the last record of a key.
   *
   * @param key with or without its request class and tenant
   * @return false if no record has this key
   */
  public boolean show(PrintStream out, String key) throws IOException {
    boolean isKnown = false;
    for (KeyEntry entry : readEntries().values()) {
      LogRecord record = entry.record();
      if (record.key().equals(key)
          || (record.key().matches("[0-9]+/[0-9]+/.*")
              && record.key().replaceFirst("[0-9]+/[0-9]+/", "").equals(key))) {
        isKnown = true;
        out.printf(
            Locale.ROOT,
            "key       %s%nstate     %s%s%nwritten   %s%ncovers    attempts with a timestamp up to %s%n"
                + "window    %d ms%nbody      check %016x%nresult    %d bytes%n%s%n",
            record.key(),
            entry.state(),
            entry.isExpired() ? ", expired" : "",
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
      // Not text: displayed as base64 below.
    }
    String base64 = Base64.getEncoder().encodeToString(bytes);
    return "base64 "
        + (base64.length() > MAX_DISPLAYED_CHARS
            ? base64.substring(0, MAX_DISPLAYED_CHARS) + "..."
            : base64);
  }

  /** Reads all segments and prints one line for each; returns false if synced records are lost. */
  public boolean verify(PrintStream out) throws IOException {
    long[] segments = store.segmentNumbers();
    boolean intact = verifyManifest(out, segments);
    for (int i = 0; i < segments.length; i++) {
      intact &= verifySegment(out, segments[i], i == segments.length - 1);
    }
    out.println(
        intact
            ? "whole"
            : "damaged: a daemon started on this folder fails unknown keys for one window");
    return intact;
  }

  private boolean verifyManifest(PrintStream out, long[] segments) throws IOException {
    List<Long> listed = readManifest();
    if (listed == null) {
      if (segments.length > 0) {
        out.println("list: missing or corrupt");
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
      throw new UnusableStorageException(folder + ": " + e.getMessage(), e);
    }
  }

  private boolean verifySegment(PrintStream out, long number, boolean isLast) throws IOException {
    Segment.ScanResult scan = Compaction.scan(store, number, (record, offset) -> {});
    boolean damaged = scan.damaged() || (scan.torn() && !isLast);
    out.printf(
        Locale.ROOT,
        "file %d: %d records, %d of %d bytes used, %s%n",
        number,
        scan.recordCount(),
        scan.end(),
        store.size(number),
        damaged ? "DAMAGED" : scan.torn() ? "ends in a torn write" : "whole");
    return !damaged;
  }

  /**
   * Rewrites the live records into as few segments as possible; returns false if that saves none.
   *
   * @throws UnusableStorageException if the log is damaged; it is left unchanged
   */
  public boolean compact(PrintStream out) throws IOException {
    PrintStream nullOutput = new PrintStream(OutputStream.nullOutputStream());
    if (!verify(nullOutput)) {
      throw new UnusableStorageException(
          folder + " is damaged and was not compacted: see 'results verify'");
    }
    long[] segments = store.segmentNumbers();
    long sizeBefore = 0;
    long segmentBytes = 0;
    for (long number : segments) {
      sizeBefore += store.size(number);
      segmentBytes = Math.max(segmentBytes, store.size(number));
    }
    boolean compacted =
        segments.length > 0 && Compaction.run(store, (int) segmentBytes, 2 * segments.length + 1);
    long[] after = store.segmentNumbers();
    out.printf(
        Locale.ROOT,
        "%d files, %d kB; before: %d files, %d kB%n",
        after.length,
        (compacted ? (long) after.length * segmentBytes : sizeBefore) >> 10,
        segments.length,
        sizeBefore >> 10);
    return compacted;
  }

  /** Prints one line with a JSON object for each key that has not expired. */
  public void export(PrintStream out) throws IOException {
    ObjectMapper mapper = new ObjectMapper();
    for (KeyEntry entry : readEntries().values()) {
      if (entry.isExpired()) {
        continue;
      }
      LogRecord record = entry.record();
      ObjectNode node = mapper.createObjectNode();
      node.put("key", record.key())
          .put("state", entry.state())
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
