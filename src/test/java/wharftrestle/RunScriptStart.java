package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A run of deploy/run.sh with a search path that contains only a fake java.
 *
 * @param pid process id of the fake java
 * @param arguments MALLOC_ARENA_MAX as {@code arenas=}, then the arguments of the fake java
 * @param scriptPid process id of the script
 */
public record RunScriptStart(long pid, List<String> arguments, long scriptPid) {

  /**
   * Runs the script.
   *
   * @param directory for the fake java and the configuration
   * @param config text of the configuration; null if there is none
   */
  public static RunScriptStart run(Path directory, String config, String... arguments)
      throws IOException, InterruptedException {
    Path bin = Files.createDirectories(directory.resolve("bin"));
    Path recordedCall = directory.resolve("seen");
    Path fakeJava = bin.resolve("java");
    Files.writeString(
        fakeJava,
        "#!/bin/sh\n{ echo \"$$\"; printf '%s\\n' \"arenas=$MALLOC_ARENA_MAX\" \"$@\"; } > \"$SEEN\"\n");
    Files.setPosixFilePermissions(fakeJava, PosixFilePermissions.fromString("rwxr-xr-x"));
    Path file = directory.resolve("config.json");
    Files.deleteIfExists(file);
    if (config != null) {
      Files.writeString(file, config);
    }
    ProcessBuilder script = new ProcessBuilder("/bin/sh", "deploy/run.sh");
    script.command().addAll(List.of(arguments));
    script.environment().clear();
    script.environment().put("PATH", bin.toString());
    script.environment().put("EDGE_CONFIG", file.toString());
    script.environment().put("SEEN", recordedCall.toString());
    Process process = script.redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS), "the script did not end");
    assertEquals(0, process.exitValue(), output);
    assertEquals("", output, "the script printed output");
    List<String> lines = Files.readAllLines(recordedCall);
    return new RunScriptStart(
        Long.parseLong(lines.get(0)), lines.subList(1, lines.size()), process.pid());
  }
}
