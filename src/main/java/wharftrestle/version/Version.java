package wharftrestle.version;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A version of the program: its build, its effective settings, and the formats that it supports.
 * Immutable. Only {@link #publishedFields} defines its published names.
 *
 * @param program version of the project
 * @param commit from which it was built; "unknown" if the build had no history
 * @param jarDigest SHA-256 of the jar in hex, as the build recorded it; "unknown" if it did not
 * @param settingsDigest digest of the effective settings' canonical form, in hex; "none" if none
 *     are read
 * @param handoverVersions formats of the handover between two processes
 * @param logVersions formats of the write-ahead log that it reads; it writes the newest
 * @param settingsLanguageVersions versions of the language of the operators' settings
 */
public record Version(
    String program,
    String commit,
    String jarDigest,
    String settingsDigest,
    VersionRange handoverVersions,
    VersionRange logVersions,
    VersionRange settingsLanguageVersions) {

  /** Value of a part that is not known. */
  public static final String UNKNOWN = "unknown";

  /** Number of hex digits of a digest that are shown to operators. */
  private static final int DISPLAYED_HEX_DIGITS = 12;

  /** Each part under its published name, in the order in which it is shown. */
  public Map<String, String> publishedFields() {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("program", program);
    fields.put("commit", commit);
    fields.put("build", jarDigest);
    fields.put("settings", settingsDigest);
    fields.put("handover", handoverVersions.toString());
    fields.put("log", logVersions.toString());
    fields.put("language", settingsLanguageVersions.toString());
    return fields;
  }

  /** One line for operators, with long digests truncated. */
  public String summaryLine() {
    StringBuilder line = new StringBuilder();
    publishedFields()
        .forEach(
            (name, value) ->
                line.append(line.isEmpty() ? "" : " ")
                    .append(name)
                    .append(' ')
                    .append(truncateDigest(value)));
    return line.toString();
  }

  private static String truncateDigest(String value) {
    return value.length() > DISPLAYED_HEX_DIGITS && isHex(value)
        ? value.substring(0, DISPLAYED_HEX_DIGITS)
        : value;
  }

  static boolean isHex(String text) {
    return text.matches("[0-9a-f]+");
  }

  /** A line of {@code name value} for each part. */
  public String table() {
    StringBuilder lines = new StringBuilder();
    publishedFields()
        .forEach((name, value) -> lines.append(String.format("%-9s %s%n", name, value)));
    return lines.toString();
  }
}
