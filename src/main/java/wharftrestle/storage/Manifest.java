package wharftrestle.storage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.idempotency.KeyDigest;

/**
 * The list of segments as text: a title with the version, a number a line, a checksum. A missing
 * segment is known by it: a number is listed before its segment is used, and taken off before its
 * segment is deleted.
 */
final class Manifest {
  private static final String TITLE = "wharftrestle-results ";

  private Manifest() {}

  /** The manifest of these segments. */
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

  /** The numbers; null where the manifest is garbled. */
  static List<Long> decode(byte[] bytes) throws Segment.ForeignFormatException {
    String text = new String(bytes, StandardCharsets.US_ASCII);
    int end = text.indexOf("end ");
    if (end < 0 || !text.substring(end).equals(checksumLine(text.substring(0, end)))) {
      return null;
    }
    String[] lines = text.substring(0, end).split("\n");
    if (!lines[0].equals(TITLE + Segment.VERSION)) {
      throw new Segment.ForeignFormatException(
          "is of '" + lines[0] + "', this program knows " + TITLE + Segment.VERSION);
    }
    List<Long> numbers = new ArrayList<>();
    for (int i = 1; i < lines.length; i++) {
      numbers.add(Long.parseLong(lines[i]));
    }
    return numbers;
  }
}
