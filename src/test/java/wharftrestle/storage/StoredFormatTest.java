package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharftrestle.storage.StoredFormatFixtures.EXPORT;
import static wharftrestle.storage.StoredFormatFixtures.MANIFEST;
import static wharftrestle.storage.StoredFormatFixtures.RECORDS;
import static wharftrestle.storage.StoredFormatFixtures.RECOVERED;
import static wharftrestle.storage.StoredFormatFixtures.SEGMENTS;
import static wharftrestle.storage.StoredFormatFixtures.STORE;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the format on disk with a folder that an earlier build wrote: three segments, of which
 * the last ends in a torn write, and the manifest.
 */
class StoredFormatTest {
  private static final int SEGMENT_HEADER_BYTES = 48;
  private static final int RECORD_CRC_OFFSET = 4;
  private static final int RECORD_TIMES_OFFSET = 13;
  private static final int RECORD_TIMES_END_OFFSET = 29;

  @TempDir private Path folder;

  @Test
  void scan_ofStoredFolder_readsRecordedFields() throws Exception {
    String expected = Files.readString(RECORDS);

    String actual = StoredFormatFixtures.describeRecords(STORE);

    assertEquals(expected, actual);
  }

  @Test
  void scan_ofLastStoredSegment_isTornAndNotDamaged() throws Exception {
    byte[] last = Files.readAllBytes(STORE.resolve(SEGMENTS.get(2)));

    Segment.ScanResult scan = SegmentBytes.scan(last, (record, offset) -> {});

    assertEquals("torn=true damaged=false", "torn=" + scan.torn() + " damaged=" + scan.damaged());
  }

  @Test
  void open_onStoredFolder_recoversRecordedKeysAndResults() throws Exception {
    StoredFormatFixtures.copyStore(folder);
    String expected = Files.readString(RECOVERED);

    String actual = StoredFormatFixtures.describeRecovered(folder);

    assertEquals(expected, actual);
  }

  @Test
  void export_ofStoredFolder_printsRecordedJsonLines() throws Exception {
    StoredFormatFixtures.copyStore(folder);
    String expected = Files.readString(EXPORT);

    String actual = StoredFormatFixtures.export(folder);

    assertEquals(expected, actual);
  }

  @Test
  void recordedFields_writtenToNewFolder_giveStoredBytes() throws Exception {
    List<String> lines = Files.readAllLines(RECORDS);

    writeFolder(lines);

    for (String name : SEGMENTS) {
      assertArrayEquals(
          Files.readAllBytes(STORE.resolve(name)),
          Files.readAllBytes(folder.resolve(name)),
          () -> name + differenceOf(STORE.resolve(name), folder.resolve(name)));
    }
    assertArrayEquals(
        Files.readAllBytes(STORE.resolve(MANIFEST)),
        Files.readAllBytes(folder.resolve(MANIFEST)),
        MANIFEST);
  }

  @Test
  void sameSequence_writtenByLog_givesStoredBytesApartFromTimes() throws Exception {
    StoredFormatFixtures.writeSequence(folder);

    for (String name : SEGMENTS) {
      byte[] expected = withoutTimes(Files.readAllBytes(STORE.resolve(name)));
      byte[] actual = withoutTimes(Files.readAllBytes(folder.resolve(name)));
      assertArrayEquals(expected, actual, name);
    }
    assertArrayEquals(
        Files.readAllBytes(STORE.resolve(MANIFEST)),
        Files.readAllBytes(folder.resolve(MANIFEST)),
        MANIFEST);
  }

  /** Writes the segments, records with their recorded times, the torn tail and the manifest. */
  private void writeFolder(List<String> lines) throws IOException {
    FileSegmentStore store = new FileSegmentStore(folder);
    try {
      List<Long> numbers = new ArrayList<>();
      for (String line : lines) {
        if (line.startsWith("segment ")) {
          numbers.add(Long.parseLong(field(line, "number")));
          store.create(numbers.get(numbers.size() - 1), header(line), integer(line, "capacity"));
        } else if (line.startsWith("record ")) {
          LogRecord record = record(line);
          ByteBuffer bytes = ByteBuffer.allocate(record.size());
          record.writeTo(bytes);
          store.write(numbers.get(numbers.size() - 1), integer(line, "offset"), bytes.flip());
        } else if (line.startsWith("tail ")) {
          ByteBuffer bytes = ByteBuffer.wrap(HexFormat.of().parseHex(field(line, "bytes")));
          store.write(numbers.get(numbers.size() - 1), integer(line, "offset"), bytes);
        }
      }
      store.writeManifest(Manifest.encode(numbers));
    } finally {
      store.close();
    }
  }

  private static ByteBuffer header(String line) {
    return Segment.header(
        integer(line, "firstBatch"),
        Long.parseLong(field(line, "number")),
        Long.parseUnsignedLong(field(line, "boot"), 16),
        integer(line, "capacity"));
  }

  private static LogRecord record(String line) {
    return new LogRecord(
        LogRecord.Kind.values()[integer(line, "kind") - 1],
        Boolean.parseBoolean(field(line, "ends")),
        integer(line, "batch"),
        Long.parseLong(field(line, "wall")),
        Long.parseLong(field(line, "steady")),
        Long.parseLong(field(line, "lastDoor")),
        integer(line, "window"),
        Long.parseUnsignedLong(field(line, "check"), 16),
        line.substring(line.indexOf(" key=") + " key=".length()),
        HexFormat.of().parseHex(field(line, "result")));
  }

  private static int integer(String line, String name) {
    return Integer.parseInt(field(line, name));
  }

  private static String field(String line, String name) {
    Matcher field = Pattern.compile(" " + name + "=(\\S*)").matcher(line);
    assertTrue(field.find(), "expected field " + name + " in line: " + line);
    return field.group(1);
  }

  /**
   * Zeros the bytes that depend on the time of writing: both times of each record, its CRC, and the
   * torn bytes behind the last record. The offsets repeat the layout on disk instead of using
   * constants of the main code, so that a moved field is detected.
   */
  private static byte[] withoutTimes(byte[] bytes) {
    ByteBuffer segment = ByteBuffer.wrap(bytes);
    int at = SEGMENT_HEADER_BYTES;
    while (isComplete(segment, at)) {
      Arrays.fill(bytes, at + RECORD_CRC_OFFSET, at + RECORD_CRC_OFFSET + Integer.BYTES, (byte) 0);
      Arrays.fill(bytes, at + RECORD_TIMES_OFFSET, at + RECORD_TIMES_END_OFFSET, (byte) 0);
      at += LogRecord.aligned(LogRecord.HEADER_BYTES + segment.getInt(at));
    }
    Arrays.fill(bytes, at, bytes.length, (byte) 0);
    return bytes;
  }

  private static boolean isComplete(ByteBuffer segment, int at) {
    return segment.limit() - at >= LogRecord.HEADER_BYTES && LogRecord.readAt(segment, at) != null;
  }

  private static String differenceOf(Path expected, Path actual) {
    try {
      return ": first difference at byte " + Files.mismatch(expected, actual);
    } catch (IOException e) {
      return ": " + e;
    }
  }
}
