package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.ResultStore;

/** Checks the output of the operators' commands on a folder that no daemon is using. */
class ResultLogToolTest {
  private static final byte[] RESULT = {'s', 'a', 'v', 'e', 'd', 0, (byte) 200};

  @TempDir private Path folder;

  private interface Command {
    Object run(ResultLogTool results, PrintStream out) throws IOException;
  }

  private Object returnValue;

  private String outputOf(Command command) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (ResultLogTool results = new ResultLogTool(folder)) {
      returnValue = command.run(results, new PrintStream(bytes, true, StandardCharsets.UTF_8));
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private DaemonConfig.Durable settings() {
    return new DaemonConfig.Durable(folder, 4 << 20, 100, 1 << 20, 0.3, "group");
  }

  private static ResultStore.KeyRecord keyed(String key) {
    return new ResultStore.KeyRecord(key, System.currentTimeMillis() + 20_000, 20, 5);
  }

  @BeforeEach
  void writeThreeKeysInThreeSegments() throws Exception {
    for (String key : new String[] {"2/0/first", "2/0/second", "2/1/third"}) {
      try (WriteAheadLog log = new WriteAheadLog(settings())) {
        log.open(20);
        CountDownLatch intentWritten = new CountDownLatch(1);
        log.writeIntent(keyed(key), location -> intentWritten.countDown());
        intentWritten.await();
        assertThrows(
            UnusableStorageException.class,
            () -> new ResultLogTool(folder),
            "the log is open and holds the lock of the folder");
        if (!key.contains("third")) {
          CountDownLatch resultWritten = new CountDownLatch(1);
          log.writeResult(keyed(key), RESULT, location -> resultWritten.countDown());
          resultWritten.await();
        }
      }
    }
  }

  @Test
  void listShowAndExport_printRecordedKeys() throws Exception {
    List<String> listedLines =
        outputOf(
                (results, out) -> {
                  results.list(out, false);
                  return null;
                })
            .lines()
            .toList();
    assertEquals(5, listedLines.size());
    assertTrue(
        listedLines.get(1).startsWith("known") && listedLines.get(1).endsWith("2/0/first"),
        listedLines.get(1));
    assertTrue(
        listedLines.get(3).startsWith("unknown") && listedLines.get(3).endsWith("2/1/third"),
        listedLines.get(3));
    String showOutput = outputOf((results, out) -> results.show(out, "second"));
    assertTrue(
        (boolean) returnValue
            && showOutput.contains("key       2/0/second")
            && showOutput.contains("7 bytes"),
        showOutput);
    outputOf((results, out) -> results.show(out, "fourth"));
    assertFalse((boolean) returnValue);
    List<String> exported =
        outputOf(
                (results, out) -> {
                  results.export(out);
                  return null;
                })
            .lines()
            .toList();
    JsonNode first = new ObjectMapper().readTree(exported.get(0));
    assertArrayEquals(RESULT, Base64.getDecoder().decode(first.get("result_base64").asText()));
    assertEquals("unknown", new ObjectMapper().readTree(exported.get(2)).get("state").asText());
  }

  @Test
  void compact_keepsAllKeysAndResults() throws Exception {
    assertTrue(
        outputOf((results, out) -> results.compact(out))
            .startsWith("1 files, 256 kB; before: 3 files, 768 kB"));
    assertTrue((boolean) returnValue);
    outputOf((results, out) -> results.compact(out));
    assertFalse((boolean) returnValue, "a second compaction saves no segment");
    try (WriteAheadLog next = new WriteAheadLog(settings())) {
      List<ResultStore.RecoveredKey> keys = new ArrayList<>();
      next.open(20).keys().forEach(keys::add);
      assertEquals(3, keys.size());
      assertArrayEquals(RESULT, next.readResult("2/0/first", keys.get(0).position()));
    }
  }

  @Test
  void verifyAndCompact_ofDamagedLog_reportDamageAndChangeNothing() throws Exception {
    String intactOutput = outputOf((results, out) -> results.verify(out));
    assertTrue((boolean) returnValue && intactOutput.endsWith("whole\n"), intactOutput);
    Path first;
    try (Stream<Path> files = Files.list(folder)) {
      first =
          files.filter(file -> file.toString().endsWith(".log")).sorted().findFirst().orElseThrow();
    }
    byte[] bytes = Files.readAllBytes(first);
    bytes[Segment.HEADER_BYTES + 20] ^= 1;
    Files.write(first, bytes);
    String damagedOutput = outputOf((results, out) -> results.verify(out));
    assertTrue(!(boolean) returnValue && damagedOutput.contains("DAMAGED"), damagedOutput);
    assertThrows(
        UnusableStorageException.class, () -> outputOf((results, out) -> results.compact(out)));
    Files.delete(first);
    assertTrue(outputOf((results, out) -> results.verify(out)).contains("missing"));
    assertThrows(UnusableStorageException.class, () -> new ResultLogTool(folder.resolve("none")));
  }
}
