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
 * The folder of releases: a folder each, with the jar, what else it is run with, and the digests of
 * all of it. It must never call a release whole whose digests are missing or differ: half a copy
 * has no list, as that is written last.
 */
public final class ReleaseDirectory {
  /** The list of digests, as sha256sum writes it. */
  static final String SUMS = "SHA256SUMS";

  /** The program. */
  public static final String JAR = "wharftrestle.jar";

  /** The operators' settings of a release, where it has its own. */
  public static final String SETTINGS = "appliance.star";

  private static final String NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

  private final Path folder;

  public ReleaseDirectory(Path folder) {
    this.folder = folder;
  }

  /** Where a release lies. */
  public Path of(String name) {
    return folder.resolve(name);
  }

  /** The names of all releases, whole or not, in order. */
  public List<String> names() throws IOException {
    try (Stream<Path> all = Files.list(folder)) {
      return all.filter(Files::isDirectory)
          .map(each -> each.getFileName().toString())
          .filter(name -> name.matches(NAME))
          .sorted()
          .toList();
    }
  }

  /** Why a release cannot be started; empty where it can. Reads every byte of it. */
  public String against(String name) {
    if (!name.matches(NAME)) {
      return "'" + name + "' is no name of a release";
    }
    Path release = of(name);
    if (!Files.isDirectory(release)) {
      return "there is no release '" + name + "' in " + folder;
    }
    try {
      Path list = release.resolve(SUMS);
      if (!Files.exists(list)) {
        return "release '" + name + "' is not whole: it has no " + SUMS;
      }
      Map<String, String> sums = read(list);
      if (!sums.containsKey(JAR)) {
        return "release '" + name + "' lists no " + JAR;
      }
      for (Map.Entry<String, String> each : sums.entrySet()) {
        Path file = release.resolve(each.getKey());
        if (!Files.isRegularFile(file)) {
          return "release '" + name + "' is not whole: " + each.getKey() + " is missing";
        }
        if (!BuildInfo.digest(file).equals(each.getValue())) {
          return "release '"
              + name
              + "' is not what was packed: the digest of "
              + each.getKey()
              + " is another";
        }
      }
      return "";
    } catch (IOException e) {
      return "release '" + name + "' cannot be read (" + e + ")";
    }
  }

  /**
   * SHA-256 of a release's program as its list has it; empty where it has none. Reads the list
   * alone.
   */
  public String build(String name) {
    return listed(name).getOrDefault(JAR, "");
  }

  /** SHA-256 of a release's own settings as its list has it; empty where it has none. */
  public String settings(String name) {
    return listed(name).getOrDefault(SETTINGS, "");
  }

  private Map<String, String> listed(String name) {
    try {
      return name.matches(NAME) ? read(of(name).resolve(SUMS)) : Map.of();
    } catch (IOException none) {
      return Map.of();
    }
  }

  private static Map<String, String> read(Path list) throws IOException {
    Map<String, String> sums = new LinkedHashMap<>();
    for (String line : Files.readAllLines(list)) {
      if (!line.matches("[0-9a-f]{64} [ *][^/\\\\]{1,255}")) {
        throw new IOException("no line of digests: '" + line + "'");
      }
      sums.put(line.substring(66), line.substring(0, 64));
    }
    return sums;
  }

  /**
   * Makes a release of a jar, and settings where they are not null: in a folder beside, which gets
   * its name last.
   *
   * @throws IOException also where there is a release of that name
   */
  public void pack(Path jar, Path settings, String name) throws IOException {
    if (!name.matches(NAME) || Files.exists(of(name))) {
      throw new IOException("'" + name + "' is there already, or no name of a release");
    }
    Files.createDirectories(folder);
    Path made = Files.createTempDirectory(folder, ".pack-");
    Files.copy(jar, made.resolve(JAR), StandardCopyOption.REPLACE_EXISTING);
    Files.writeString(
        made.resolve(JAR + ".sha256"), BuildInfo.digest(made.resolve(JAR)) + "  " + JAR + "\n");
    if (settings != null) {
      Files.copy(settings, made.resolve(SETTINGS));
    }
    StringBuilder sums = new StringBuilder();
    try (Stream<Path> all = Files.list(made)) {
      for (Path file : (Iterable<Path>) all.sorted()::iterator) {
        sums.append(BuildInfo.digest(file)).append("  ").append(file.getFileName()).append('\n');
      }
    }
    Files.writeString(made.resolve(SUMS), sums);
    Files.move(made, of(name), StandardCopyOption.ATOMIC_MOVE);
  }
}
