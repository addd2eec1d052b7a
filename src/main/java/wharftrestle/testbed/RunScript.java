package wharftrestle.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The deployed start script, with the JVM's limits as operators get them. It runs in a folder of
 * its own, where a {@link ThinJar} stands in for the packed build.
 */
final class RunScript {
  private static final Path SCRIPT = Path.of("deploy", "run.sh");

  private final Path directory;

  /** Prepares a working directory. */
  RunScript(Path directory) throws IOException {
    this.directory = directory;
    Path target = Files.createDirectories(directory.resolve("target"));
    ThinJar.write(target.resolve("wharftrestle.jar"), "wharftrestle.Main", Map.of());
  }

  /** The working directory in which the script finds its jar. */
  Path directory() {
    return directory;
  }

  List<String> command() {
    return List.of("/bin/sh", SCRIPT.toAbsolutePath().toString());
  }

  /** The search path on which the script finds the JVM of this process. */
  String searchPath() {
    return Path.of(System.getProperty("java.home"), "bin") + ":" + System.getenv("PATH");
  }
}
