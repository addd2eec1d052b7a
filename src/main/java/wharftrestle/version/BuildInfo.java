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
 * Describes the running build and defines the ranges of the formats that it supports. A change that
 * adds a version of a format must change its range here. Stateless. At its start, a daemon reads
 * the digest that the build wrote beside the jar, not the jar itself.
 */
public final class BuildInfo {
  /** Versions of the handover between two processes; version 2 compares capabilities first. */
  public static final VersionRange HANDOVER_VERSIONS = new VersionRange(1, 2);

  /** Versions of the write-ahead log of results ({@code storage.Segment}). */
  public static final VersionRange LOG_VERSIONS = new VersionRange(1, 1);

  /** Versions of the language of the operators' settings. */
  public static final VersionRange SETTINGS_LANGUAGE_VERSIONS = new VersionRange(1, 1);

  private static final String UNPACKAGED = "unpackaged";
  private static final String NO_SETTINGS = "none";

  /** Separates the program version from the commit in the jar's manifest. */
  private static final char COMMIT_SEPARATOR = '+';

  /** Suffix of the digest file beside a jar, which has the format of sha256sum. */
  private static final String DIGEST_SUFFIX = ".sha256";

  private static final int SHA_256_HEX_DIGITS = 64;
  private static final int READ_BUFFER_BYTES = 64 * 1024;

  private BuildInfo() {}

  /**
   * Describes this build.
   *
   * @param settings canonical form of the effective settings; null if none are read
   */
  public static Version describe(String settings) {
    String manifestVersion = BuildInfo.class.getPackage().getImplementationVersion();
    Path jar = jar();
    return new Version(
        programVersion(manifestVersion),
        commit(manifestVersion),
        jar == null ? Version.UNKNOWN : recordedDigest(jar),
        settings == null ? NO_SETTINGS : digest(settings),
        HANDOVER_VERSIONS,
        LOG_VERSIONS,
        SETTINGS_LANGUAGE_VERSIONS);
  }

  private static String programVersion(String manifestVersion) {
    if (manifestVersion == null) {
      return UNPACKAGED;
    }
    int separator = manifestVersion.indexOf(COMMIT_SEPARATOR);
    return separator < 0 ? manifestVersion : manifestVersion.substring(0, separator);
  }

  private static String commit(String manifestVersion) {
    int separator = manifestVersion == null ? -1 : manifestVersion.indexOf(COMMIT_SEPARATOR);
    return separator < 0 || separator + 1 == manifestVersion.length()
        ? Version.UNKNOWN
        : manifestVersion.substring(separator + 1);
  }

  /** The jar from which this program runs; null if it runs from class files. */
  public static Path jar() {
    try {
      Path source =
          Path.of(BuildInfo.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      return Files.isRegularFile(source) ? source : null;
    } catch (URISyntaxException | RuntimeException e) {
      return null; // The code source is not a file.
    }
  }

  /** The digest that the build wrote beside a jar; "unknown" if there is none. */
  public static String recordedDigest(Path jar) {
    Path digestFile = jar.resolveSibling(jar.getFileName() + DIGEST_SUFFIX);
    try {
      String text = Files.readString(digestFile, StandardCharsets.ISO_8859_1);
      return text.length() >= SHA_256_HEX_DIGITS
              && Version.isHex(text.substring(0, SHA_256_HEX_DIGITS))
          ? text.substring(0, SHA_256_HEX_DIGITS)
          : Version.UNKNOWN;
    } catch (IOException e) {
      return Version.UNKNOWN;
    }
  }

  /**
   * SHA-256 of a file, in hex.
   *
   * @throws IOException if the file cannot be read
   */
  public static String digest(Path file) throws IOException {
    try (InputStream in = Files.newInputStream(file)) {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] buffer = new byte[READ_BUFFER_BYTES];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        sha256.update(buffer, 0, count);
      }
      return HexFormat.of().formatHex(sha256.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "this Java runtime lacks SHA-256, which every Java platform must support", e);
    }
  }

  /** 128-bit digest of a text, in hex; for comparison of texts. */
  public static String digest(String text) {
    KeyDigest digest = KeyDigest.of(text);
    return HexFormat.of().toHexDigits(digest.high()) + HexFormat.of().toHexDigits(digest.low());
  }
}
