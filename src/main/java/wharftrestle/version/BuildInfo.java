package wharftrestle.version;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import wharftrestle.idempotency.KeyDigest;

/**
 * Which build this is, and what it speaks. It owns the ranges of formats: who adds a version of one
 * changes it here. The figure beside the jar is read, the jar is not, unless {@link #digest} is
 * asked.
 */
public final class BuildInfo {
  /** Words between two processes: 1 hands over at once, 2 agrees first. */
  public static final VersionRange HANDOVER_VERSIONS = new VersionRange(1, 2);

  /** Files of kept results ({@code durable.Segment}). */
  public static final VersionRange LOG_VERSIONS = new VersionRange(1, 1);

  /** The operators' settings. */
  public static final VersionRange SETTINGS_LANGUAGE_VERSIONS = new VersionRange(1, 1);

  /** What is written beside a jar, as sha256sum has it: the digest, two blanks, the file's name. */
  private static final String BESIDE = ".sha256";

  private static final int DIGITS = 64;
  private static final int CHUNK = 64 * 1024;

  private BuildInfo() {}

  /** This build, with these effective settings in their canonical form; null for none. */
  public static Version describe(String settings) {
    String said = BuildInfo.class.getPackage().getImplementationVersion();
    int plus = said == null ? -1 : said.indexOf('+');
    Path jar = jar();
    return new Version(
        said == null ? "unpackaged" : plus < 0 ? said : said.substring(0, plus),
        plus < 0 || plus + 1 == said.length() ? Version.UNKNOWN : said.substring(plus + 1),
        jar == null ? Version.UNKNOWN : recordedDigest(jar),
        settings == null ? "none" : digest(settings),
        HANDOVER_VERSIONS,
        LOG_VERSIONS,
        SETTINGS_LANGUAGE_VERSIONS);
  }

  /** The jar that this program is run from; null where it is run from classes. */
  public static Path jar() {
    try {
      Path from =
          Path.of(BuildInfo.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      return Files.isRegularFile(from) ? from : null;
    } catch (URISyntaxException | RuntimeException e) {
      return null; // no file: nothing is known of it
    }
  }

  /** The digest that was written beside a jar; "unknown" where there is none. */
  public static String recordedDigest(Path jar) {
    try {
      String text =
          Files.readString(
              jar.resolveSibling(jar.getFileName() + BESIDE), StandardCharsets.ISO_8859_1);
      String digits = text.length() < DIGITS ? "" : text.substring(0, DIGITS);
      return digits.matches("[0-9a-f]+") ? digits : Version.UNKNOWN;
    } catch (IOException e) {
      return Version.UNKNOWN;
    }
  }

  /** SHA-256 of a file's bytes, in hex. */
  public static String digest(Path file) throws IOException {
    try (InputStream in = Files.newInputStream(file)) {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] chunk = new byte[CHUNK];
      for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
        sha.update(chunk, 0, read);
      }
      return HexFormat.of().formatHex(sha.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }

  /** 128 bits of a text, in hex. */
  public static String digest(String text) {
    KeyDigest digest = KeyDigest.of(text);
    return HexFormat.of().toHexDigits(digest.high()) + HexFormat.of().toHexDigits(digest.low());
  }
}
