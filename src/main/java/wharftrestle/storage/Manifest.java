package wharftrestle.storage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.idempotency.KeyDigest;

/**
 * The list of the log's files, as text: the version, a number a line, a check. It is what a missing
 * file is known by. A number is on it before its file is used, and off it before its file is
 * deleted.
 */
final class Manifest {
  private static final String TITLE = "wharftrestle-results ";

  private Manifest() {}

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

  /** The numbers; null where it is garbled. */
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
