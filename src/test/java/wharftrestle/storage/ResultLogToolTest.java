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
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.ResultStore;

/** What operators see of a folder that no daemon has. */
class ResultLogToolTest {
  private static final byte[] RESULT = {'s', 'a', 'v', 'e', 'd', 0, (byte) 200};

  @TempDir private Path folder;

  private interface Act {
    Object on(ResultLogTool results, PrintStream out) throws IOException;
  }

  private Object answer;

  private String said(Act act) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (ResultLogTool results = new ResultLogTool(folder)) {
      answer = act.on(results, new PrintStream(bytes, true, StandardCharsets.UTF_8));
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
  void threeKeysOverThreeStarts() throws Exception {
    for (String key : new String[] {"2/0/first", "2/0/second", "2/1/third"}) {
      try (WriteAheadLog log = new WriteAheadLog(settings())) {
        log.open(20);
        CountDownLatch written = new CountDownLatch(1);
        log.writeIntent(keyed(key), place -> written.countDown());
        written.await();
        assertThrows(
            UnusableStorageException.class, () -> new ResultLogTool(folder), "a daemon has it");
        if (!key.contains("third")) {
          CountDownLatch ended = new CountDownLatch(1);
          log.writeResult(keyed(key), RESULT, place -> ended.countDown());
          ended.await();
        }
      }
    }
  }

  @Test
  void keysAreListedShownAndExported() throws Exception {
    List<String> lines =
        said((results, out) -> {
              results.list(out, false);
              return null;
            })
            .lines()
            .toList();
    assertEquals(5, lines.size());
    assertTrue(
        lines.get(1).startsWith("known") && lines.get(1).endsWith("2/0/first"), lines.get(1));
    assertTrue(
        lines.get(3).startsWith("unknown") && lines.get(3).endsWith("2/1/third"), lines.get(3));
    String shown = said((results, out) -> results.show(out, "second"));
    assertTrue(
        (boolean) answer && shown.contains("key       2/0/second") && shown.contains("7 bytes"),
        shown);
    said((results, out) -> results.show(out, "fourth"));
    assertFalse((boolean) answer);
    List<String> exported =
        said((results, out) -> {
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
  void aCompactedFolderHoldsTheSameKeys() throws Exception {
    assertTrue(
        said((results, out) -> results.compact(out))
            .startsWith("1 files, 256 kB; before: 3 files, 768 kB"));
    assertTrue((boolean) answer);
    said((results, out) -> results.compact(out));
    assertFalse((boolean) answer, "nothing more to gain");
    try (WriteAheadLog next = new WriteAheadLog(settings())) {
      ResultStore.RecoveredKeys recovered = next.open(20);
      assertEquals(3, recovered.keys().size());
      assertArrayEquals(RESULT, next.readResult("2/0/first", recovered.keys().get(0).position()));
    }
  }

  @Test
  void damageIsReportedAndNotCompactedAway() throws Exception {
    String whole = said((results, out) -> results.verify(out));
    assertTrue((boolean) answer && whole.endsWith("whole\n"), whole);
    Path first;
    try (Stream<Path> all = Files.list(folder)) {
      first =
          all.filter(file -> file.toString().endsWith(".log")).sorted().findFirst().orElseThrow();
    }
    byte[] bytes = Files.readAllBytes(first);
    bytes[Segment.HEADER_BYTES + 20] ^= 1;
    Files.write(first, bytes);
    String hurt = said((results, out) -> results.verify(out));
    assertTrue(!(boolean) answer && hurt.contains("DAMAGED"), hurt);
    assertThrows(
        UnusableStorageException.class, () -> said((results, out) -> results.compact(out)));
    Files.delete(first);
    assertTrue(said((results, out) -> results.verify(out)).contains("missing"));
    assertThrows(UnusableStorageException.class, () -> new ResultLogTool(folder.resolve("none")));
  }
}
