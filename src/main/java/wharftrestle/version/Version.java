package wharftrestle.version;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A version of the program: its build, its effective settings, and the formats that it speaks.
 * Immutable. Its published names are given in {@link #publishedFields} alone.
 *
 * @param program version of the project
 * @param commit that it was built from; "unknown" where the build had no history
 * @param jarDigest SHA-256 of the jar in hex, as the build recorded it; "unknown" where it did not
 * @param settingsDigest digest of the effective settings' canonical form, in hex; "none" where none
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

  /** Stands for a part that is not known. */
  public static final String UNKNOWN = "unknown";

  /** Hex digits of a digest that an operator is shown. */
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

  /** One operator-facing line, with long digests cut. */
  public String summaryLine() {
    StringBuilder line = new StringBuilder();
    publishedFields()
        .forEach(
            (name, value) ->
                line.append(line.isEmpty() ? "" : " ")
                    .append(name)
                    .append(' ')
                    .append(displayed(value)));
    return line.toString();
  }

  private static String displayed(String value) {
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
