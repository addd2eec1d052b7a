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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that deploy/run.sh needs no other program and starts the JVM with the right options: its
 * search path contains only a fake java.
 */
class RunScriptTest {
  @TempDir Path directory;

  /** Process id and arguments of the fake java, and process id of the script. */
  private record Start(long pid, List<String> arguments, long scriptPid) {}

  private Start start(String config, String... arguments) throws IOException, InterruptedException {
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
    return new Start(Long.parseLong(lines.get(0)), lines.subList(1, lines.size()), process.pid());
  }

  private void assertHeap(String initialSize, String maxSize, String config)
      throws IOException, InterruptedException {
    Start start = start(config);
    assertTrue(start.arguments.contains("-Xms" + initialSize), config + ": " + start.arguments);
    assertTrue(start.arguments.contains("-Xmx" + maxSize), config + ": " + start.arguments);
  }

  @Test
  void heapFollowsTheConfiguredMemory() throws Exception {
    String template =
        "{\"name\":\"n3\",\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":1024},\"settings\":{}}\n";
    assertHeap("9m", "16m", template.formatted(52));
    assertHeap("11m", "19m", template.formatted(64));
    assertHeap("15m", "26m", template.formatted(88));
    assertHeap("24m", "40m", template.formatted(192));
  }

  @Test
  void memoryLimitIsReadAcrossLinesAndWithoutATrailingNewline() throws Exception {
    assertHeap(
        "11m",
        "19m",
        "{\n  \"limits\": {\n    \"memory_mb\"\r\n\t:\t\r\n      64\r\n    ,\n  \"sockets\": 256}\n}\n");
    assertHeap("15m", "26m", "{\"limits\":{\"memory_mb\": 88}}");
  }

  @Test
  void missingOrInvalidMemoryLimit_countsAs192Mb() throws Exception {
    assertHeap("24m", "40m", null);
    assertHeap("24m", "40m", "");
    assertHeap("24m", "40m", "{\"limits\":{\"memory_mb\":\"x\"}}");
    assertHeap("24m", "40m", "{\"limits\":{\"memory_mb\":99999999999999999999}}");
  }

  @Test
  void scriptExecsTheDaemonAndPassesItsArgumentsOn() throws Exception {
    Start start = start("{\"limits\":{\"memory_mb\":192}}", "--appliance", "a file.star");
    assertEquals(start.scriptPid, start.pid, "the script did not exec the daemon");
    assertEquals("arenas=1", start.arguments.get(0));
    assertTrue(
        start.arguments.contains("-XX:ArchiveRelocationMode=0"),
        "without relocation, the pages of the class archive stay file-backed");
    int serve = start.arguments.indexOf("serve");
    assertEquals(
        List.of("serve", "--appliance", "a file.star"),
        start.arguments.subList(serve, start.arguments.size()));
  }
}
