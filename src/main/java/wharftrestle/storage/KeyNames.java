package wharftrestle.storage;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import wharftrestle.idempotency.KeyDigest;

/**
 * The names of the request classes and tenants to which the positions in stored keys refer. A
 * stored key begins with the positions of its class and tenant in the settings, so it is the key of
 * another class or tenant where the settings list them in another order.
 *
 * @param classes names of the request classes, in the order of the settings
 * @param tenants names of the tenants, in the order of the settings; empty at a site without
 */
public record KeyNames(List<String> classes, List<String> tenants) {
  private static final String TITLE = "wharftrestle-names 1";
  private static final String CLASS = "class ";
  private static final String TENANT = "tenant ";
  private static final String END = "end ";

  /** Copies the lists. */
  public KeyNames {
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
  }

  /** True if each position that both name has the same name in both. */
  boolean agreesWith(KeyNames other) {
    return samePositions(classes, other.classes)
        && samePositions(tenants, other.tenants)
        // Without tenants, keys have the position of the first one.
        && tenants.isEmpty() == other.tenants.isEmpty();
  }

  private static boolean samePositions(List<String> names, List<String> others) {
    int common = Math.min(names.size(), others.size());
    return names.subList(0, common).equals(others.subList(0, common));
  }

  /** All positions that either of two agreeing instances names. */
  KeyNames mergedWith(KeyNames other) {
    return new KeyNames(
        classes.size() >= other.classes.size() ? classes : other.classes,
        tenants.size() >= other.tenants.size() ? tenants : other.tenants);
  }

  /** Encodes the names as text: a title, a name on each line, and a checksum. */
  byte[] encode() {
    StringBuilder text = new StringBuilder(TITLE).append('\n');
    classes.forEach(name -> text.append(CLASS).append(encodeName(name)).append('\n'));
    tenants.forEach(name -> text.append(TENANT).append(encodeName(name)).append('\n'));
    return (text + checksumLine(text)).getBytes(StandardCharsets.US_ASCII);
  }

  /** Decodes the names; null if the text is corrupt or of a later version. */
  static KeyNames decode(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.US_ASCII);
    int end = text.lastIndexOf(END);
    if (end < 0
        || !text.startsWith(TITLE + "\n")
        || !text.substring(end).equals(checksumLine(text.substring(0, end)))) {
      return null;
    }
    List<String> classes = new ArrayList<>();
    List<String> tenants = new ArrayList<>();
    for (String line : text.substring(0, end).split("\n")) {
      if (line.startsWith(CLASS)) {
        classes.add(decodeName(line.substring(CLASS.length())));
      } else if (line.startsWith(TENANT)) {
        tenants.add(decodeName(line.substring(TENANT.length())));
      }
    }
    return new KeyNames(classes, tenants);
  }

  private static String checksumLine(CharSequence text) {
    return END + Long.toHexString(KeyDigest.of(text.toString()).high()) + "\n";
  }

  private static String encodeName(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }

  private static String decodeName(String name) {
    return URLDecoder.decode(name, StandardCharsets.UTF_8);
  }
}
