package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that deploy/run.sh needs no other program and starts the JVM with the right options: its
 * search path contains only a fake java.
 */
class RunScriptTest {
  @TempDir Path directory;

  private RunScriptStart start(String config, String... arguments)
      throws IOException, InterruptedException {
    return RunScriptStart.run(directory, config, arguments);
  }

  private void assertHeap(String initialSize, String maxSize, String config)
      throws IOException, InterruptedException {
    RunScriptStart start = start(config);
    assertTrue(start.arguments().contains("-Xms" + initialSize), config + ": " + start.arguments());
    assertTrue(start.arguments().contains("-Xmx" + maxSize), config + ": " + start.arguments());
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
    RunScriptStart start = start("{\"limits\":{\"memory_mb\":192}}", "--appliance", "a file.star");
    assertEquals(start.scriptPid(), start.pid(), "the script did not exec the daemon");
    assertEquals("arenas=1", start.arguments().get(0));
    assertTrue(
        start.arguments().contains("-XX:ArchiveRelocationMode=0"),
        "without relocation, the pages of the class archive stay file-backed");
    int serve = start.arguments().indexOf("serve");
    assertEquals(
        List.of("serve", "--appliance", "a file.star"),
        start.arguments().subList(serve, start.arguments().size()));
  }
}
