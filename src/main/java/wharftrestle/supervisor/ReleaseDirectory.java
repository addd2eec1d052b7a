package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import wharftrestle.version.BuildInfo;

/**
 * The directory of releases. Each release is a subdirectory with the program's jar, optionally its
 * settings, and a list of digests. A release is usable only if its files match the list; the list
 * is written last, so that a copy that was interrupted has none.
 */
public final class ReleaseDirectory {
  /** The list of digests, in the format of sha256sum. */
  static final String DIGEST_LIST = "SHA256SUMS";

  /** The jar file of the program. */
  public static final String JAR = "wharftrestle.jar";

  /** The operators' settings of a release; optional. */
  public static final String SETTINGS = "appliance.star";

  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

  private final Path directory;

  public ReleaseDirectory(Path directory) {
    this.directory = directory;
  }

  /** The directory of a release. */
  public Path path(String name) {
    return directory.resolve(name);
  }

  /** The names of all releases, complete or not, sorted. */
  public List<String> names() throws IOException {
    try (Stream<Path> paths = Files.list(directory)) {
      return paths
          .filter(Files::isDirectory)
          .map(entry -> entry.getFileName().toString())
          .filter(name -> name.matches(NAME_PATTERN))
          .sorted()
          .toList();
    }
  }

  /** Why a release cannot be started; empty if it can. Reads all of its files. */
  public String obstacle(String name) {
    if (!name.matches(NAME_PATTERN)) {
      return "'" + name + "' is not a valid release name";
    }
    Path release = path(name);
    if (!Files.isDirectory(release)) {
      return "there is no release '" + name + "' in " + directory;
    }
    try {
      Path list = release.resolve(DIGEST_LIST);
      if (!Files.exists(list)) {
        return "release '" + name + "' is incomplete: it has no " + DIGEST_LIST;
      }
      Map<String, String> digests = readDigests(list);
      if (!digests.containsKey(JAR)) {
        return "release '" + name + "' lists no " + JAR;
      }
      for (Map.Entry<String, String> entry : digests.entrySet()) {
        Path file = release.resolve(entry.getKey());
        if (!Files.isRegularFile(file)) {
          return "release '" + name + "' is incomplete: " + entry.getKey() + " is missing";
        }
        if (!BuildInfo.digest(file).equals(entry.getValue())) {
          return "release '"
              + name
              + "' was modified: the digest of "
              + entry.getKey()
              + " differs from the listed one";
        }
      }
      return "";
    } catch (IOException e) {
      return "release '" + name + "' cannot be read (" + e + ")";
    }
  }

  /**
   * SHA-256 of a release's program according to its list; empty if the list has none. The program
   * itself is not read.
   */
  public String programDigest(String name) {
    return listedDigests(name).getOrDefault(JAR, "");
  }

  /** SHA-256 of a release's settings according to its list; empty if the list has none. */
  public String settingsDigest(String name) {
    return listedDigests(name).getOrDefault(SETTINGS, "");
  }

  private Map<String, String> listedDigests(String name) {
    try {
      return name.matches(NAME_PATTERN) ? readDigests(path(name).resolve(DIGEST_LIST)) : Map.of();
    } catch (IOException unreadable) {
      return Map.of();
    }
  }

  private static Map<String, String> readDigests(Path list) throws IOException {
    Map<String, String> digests = new LinkedHashMap<>();
    for (String line : Files.readAllLines(list)) {
      if (!line.matches("[0-9a-f]{64} [ *][^/\\\\]{1,255}")) {
        throw new IOException("expected a line of digest and file name, found '" + line + "'");
      }
      digests.put(line.substring(66), line.substring(0, 64));
    }
    return digests;
  }

  /**
   * Creates a release. It is assembled in a temporary directory, which is renamed last: so it
   * appears completely or not at all.
   *
   * @param settings null for a release without settings
   * @throws IOException also if the name is malformed or in use
   */
  public void pack(Path jar, Path settings, String name) throws IOException {
    if (!name.matches(NAME_PATTERN) || Files.exists(path(name))) {
      throw new IOException("'" + name + "' already exists or is not a valid release name");
    }
    Files.createDirectories(directory);
    Path staging = Files.createTempDirectory(directory, ".pack-");
    Files.copy(jar, staging.resolve(JAR), StandardCopyOption.REPLACE_EXISTING);
    Files.writeString(
        staging.resolve(JAR + ".sha256"),
        BuildInfo.digest(staging.resolve(JAR)) + "  " + JAR + "\n");
    if (settings != null) {
      Files.copy(settings, staging.resolve(SETTINGS));
    }
    StringBuilder digests = new StringBuilder();
    try (Stream<Path> paths = Files.list(staging)) {
      for (Path file : (Iterable<Path>) paths.sorted()::iterator) {
        digests.append(BuildInfo.digest(file)).append("  ").append(file.getFileName()).append('\n');
      }
    }
    Files.writeString(staging.resolve(DIGEST_LIST), digests);
    Files.move(staging, path(name), StandardCopyOption.ATOMIC_MOVE);
  }
}
