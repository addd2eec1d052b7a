package wharftrestle.version;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a version is.
 *
 * @param program the program's number, of its project file
 * @param commit what it was made from; "unknown" where no history was there
 * @param build SHA-256 of the jar, in hex, as the build wrote it beside the jar; "unknown" where it
 *     did not
 * @param settings digest of the effective settings' canonical form, in hex; "none" where none are
 *     read
 * @param handover words of the hand-over between two processes
 * @param log files of kept results that it reads; it writes the newest
 * @param language the operators' settings
 */
public record Version(
    String program,
    String commit,
    String jarDigest,
    String settingsDigest,
    VersionRange handoverVersions,
    VersionRange logVersions,
    VersionRange settingsLanguageVersions) {

  /** What is not known. */
  public static final String UNKNOWN = "unknown";

  /** Hexadecimal digits by which people tell builds and settings apart. */
  private static final int BRIEF = 12;

  /** Each part under its one name, in the order in which it is shown. */
  public Map<String, String> publishedFields() {
    Map<String, String> parts = new LinkedHashMap<>();
    parts.put("program", program);
    parts.put("commit", commit);
    parts.put("build", jarDigest);
    parts.put("settings", settingsDigest);
    parts.put("handover", handoverVersions.toString());
    parts.put("log", logVersions.toString());
    parts.put("language", settingsLanguageVersions.toString());
    return parts;
  }

  /** One line for people: long digests are cut. */
  public String summaryLine() {
    StringBuilder line = new StringBuilder();
    publishedFields()
        .forEach(
            (name, value) ->
                line.append(line.length() == 0 ? "" : " ")
                    .append(name)
                    .append(' ')
                    .append(
                        value.length() > BRIEF && value.matches("[0-9a-f]+")
                            ? value.substring(0, BRIEF)
                            : value));
    return line.toString();
  }

  /** A line a part, {@code name value}. */
  public String table() {
    StringBuilder lines = new StringBuilder();
    publishedFields()
        .forEach((name, value) -> lines.append(String.format("%-9s %s%n", name, value)));
    return lines.toString();
  }
}
