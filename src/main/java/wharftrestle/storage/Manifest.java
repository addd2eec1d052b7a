package wharftrestle.storage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.idempotency.KeyDigest;

/**
 * The list of segments as text: a title with the version, one segment number per line, and a
 * checksum. It allows a missing segment to be detected: a number is listed before records are
 * written to its segment, and removed before its segment is deleted.
 */
final class Manifest {
  private static final String TITLE = "wharftrestle-results ";

  private Manifest() {}

  /** Encodes the manifest that lists these segments. */
  static byte[] encode(Iterable<Long> numbers) {
    StringBuilder text = new StringBuilder(TITLE + Segment.VERSION + "\n");
    for (long number : numbers) {
      text.append(number).append('\n');
    }
    return (text + checksumLine(text)).getBytes(StandardCharsets.US_ASCII);
  }

  private static String checksumLine(CharSequence text) {
    return "end " + Long.toHexString(KeyDigest.of(text.toString()).high()) + "\n";
  }

  /**
   * Decodes the segment numbers; null if the manifest is corrupt.
   *
   * @throws Segment.ForeignFormatException if the title differs from that of this version
   */
  static List<Long> decode(byte[] bytes) throws Segment.ForeignFormatException {
    String text = new String(bytes, StandardCharsets.US_ASCII);
    int end = text.indexOf("end ");
    if (end < 0 || !text.substring(end).equals(checksumLine(text.substring(0, end)))) {
      return null;
    }
    String[] lines = text.substring(0, end).split("\n");
    if (!lines[0].equals(TITLE + Segment.VERSION)) {
      throw new Segment.ForeignFormatException(
          "the manifest has the title '" + lines[0] + "', expected " + TITLE + Segment.VERSION);
    }
    List<Long> numbers = new ArrayList<>();
    for (int i = 1; i < lines.length; i++) {
      numbers.add(Long.parseLong(lines[i]));
    }
    return numbers;
  }
}
