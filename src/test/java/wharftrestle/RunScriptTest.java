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
 * deploy/run.sh where no other program can be started: the search path holds a stand-in java and
 * nothing else.
 */
class RunScriptTest {
  @TempDir Path folder;

  /** What the stand-in was given: its process id, then its words, one a line. */
  private record Start(long pid, List<String> words, long script) {}

  private Start start(String config, String... words) throws IOException, InterruptedException {
    Path bin = Files.createDirectories(folder.resolve("bin"));
    Path seen = folder.resolve("seen");
    Path java = bin.resolve("java");
    Files.writeString(
        java,
        "#!/bin/sh\n{ echo \"$$\"; printf '%s\\n' \"arenas=$MALLOC_ARENA_MAX\" \"$@\"; } > \"$SEEN\"\n");
    Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
    Path file = folder.resolve("config.json");
    Files.deleteIfExists(file);
    if (config != null) {
      Files.writeString(file, config);
    }
    ProcessBuilder script = new ProcessBuilder("/bin/sh", "deploy/run.sh");
    script.command().addAll(List.of(words));
    script.environment().clear();
    script.environment().put("PATH", bin.toString());
    script.environment().put("EDGE_CONFIG", file.toString());
    script.environment().put("SEEN", seen.toString());
    Process process = script.redirectErrorStream(true).start();
    String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(10, TimeUnit.SECONDS), "the script never ended");
    assertEquals(0, process.exitValue(), said);
    assertEquals("", said, "the script said something");
    List<String> lines = Files.readAllLines(seen);
    return new Start(Long.parseLong(lines.get(0)), lines.subList(1, lines.size()), process.pid());
  }

  private void assertHeap(String least, String most, String config)
      throws IOException, InterruptedException {
    Start start = start(config);
    assertTrue(start.words.contains("-Xms" + least), config + ": " + start.words);
    assertTrue(start.words.contains("-Xmx" + most), config + ": " + start.words);
  }

  @Test
  void heapFollowsTheConfiguredMemory() throws Exception {
    String form =
        "{\"name\":\"n3\",\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":1024},\"settings\":{}}\n";
    assertHeap("9m", "16m", form.formatted(52));
    assertHeap("11m", "19m", form.formatted(64));
    assertHeap("15m", "26m", form.formatted(88));
    assertHeap("24m", "40m", form.formatted(192));
  }

  @Test
  void figureMayStandOnItsOwnLineOrAtTheEndOfAFileWithoutOne() throws Exception {
    assertHeap(
        "11m",
        "19m",
        "{\n  \"limits\": {\n    \"memory_mb\"\r\n\t:\t\r\n      64\r\n    ,\n  \"sockets\": 256}\n}\n");
    assertHeap("15m", "26m", "{\"limits\":{\"memory_mb\": 88}}");
  }

  @Test
  void withoutAFigureTheLimitIsTakenFor192() throws Exception {
    assertHeap("24m", "40m", null);
    assertHeap("24m", "40m", "");
    assertHeap("24m", "40m", "{\"limits\":{\"memory_mb\":\"x\"}}");
    assertHeap("24m", "40m", "{\"limits\":{\"memory_mb\":99999999999999999999}}");
  }

  @Test
  void endsInTheDaemonByExecAndPassesItsWordsOn() throws Exception {
    Start start = start("{\"limits\":{\"memory_mb\":192}}", "--appliance", "a file.star");
    assertEquals(start.script, start.pid, "the daemon is another process than the script");
    assertEquals("arenas=1", start.words.get(0));
    assertTrue(
        start.words.contains("-XX:ArchiveRelocationMode=0"),
        "the archive's pages stay the kernel's");
    int serve = start.words.indexOf("serve");
    assertEquals(
        List.of("serve", "--appliance", "a file.star"),
        start.words.subList(serve, start.words.size()));
  }
}
