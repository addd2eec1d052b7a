package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.GZIPInputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays recorded events and compares every reply byte for byte. All events are read from the
 * files, so a decision that differs does not change the events after it. {@link DecisionGenerator}
 * describes how the files were generated and when they may be regenerated.
 */
class DecisionRecordingTest {

  static List<Path> recordings() throws IOException {
    try (Stream<Path> files = Files.list(DecisionGenerator.DIRECTORY)) {
      return files.filter(f -> f.toString().endsWith(".txt.gz")).sorted().toList();
    }
  }

  @ParameterizedTest
  @MethodSource("recordings")
  void repliesEqualTheRecording(Path file) throws IOException {
    String name = file.getFileName().toString().replace(".txt.gz", "");
    DecisionGenerator.Endpoint endpoint =
        name.startsWith("interface-")
            ? new AdmissionLines()::process
            : DecisionGenerator.simulatorAdapter();
    List<String> lines = read(file);
    StringBuilder batch = new StringBuilder();
    int index = 0;
    while (index < lines.size()) {
      batch.setLength(0);
      while (index < lines.size() && !lines.get(index).startsWith(DecisionGenerator.REPLY_PREFIX)) {
        batch.append(lines.get(index++)).append('\n');
      }
      int first = index;
      StringBuilder expected = new StringBuilder();
      while (index < lines.size() && lines.get(index).startsWith(DecisionGenerator.REPLY_PREFIX)) {
        expected
            .append(lines.get(index++).substring(DecisionGenerator.REPLY_PREFIX.length()))
            .append('\n');
      }
      String actual = endpoint.process(batch.toString());
      if (!actual.contentEquals(expected)) {
        fail(difference(name, first + 1, expected.toString(), actual));
      }
    }
  }

  /**
   * Returns a message about the first line that differs.
   *
   * @param name the name of the recording, which ends with '-' and the seed
   * @param line line number of the first expected line in the recording
   */
  private static String difference(String name, int line, String expected, String actual) {
    String[] expectedLines = expected.split("\n", -1);
    String[] actualLines = actual.split("\n", -1);
    int i = 0;
    while (i < expectedLines.length
        && i < actualLines.length
        && expectedLines[i].equals(actualLines[i])) {
      i++;
    }
    int seed = name.lastIndexOf('-');
    return String.format(
        "site %s, seed %s, line %d of the recording: expected <%s> but was <%s>",
        name.substring(0, seed),
        name.substring(seed + 1),
        line + i,
        i < expectedLines.length ? expectedLines[i] : "",
        i < actualLines.length ? actualLines[i] : "");
  }

  private static List<String> read(Path file) throws IOException {
    List<String> lines = new ArrayList<>();
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(
                new GZIPInputStream(Files.newInputStream(file)), StandardCharsets.UTF_8))) {
      for (String line; (line = in.readLine()) != null; ) {
        lines.add(line);
      }
    }
    return lines;
  }

  @Test
  void bothSitesHaveAtLeastTwentyRecordings() throws IOException {
    for (String site : List.of("wire-shared-store-", "wire-no-store-")) {
      int seeds = 0;
      for (Path file : recordings()) {
        if (!file.getFileName().toString().startsWith(site)) {
          continue;
        }
        seeds++;
        List<String> lines = read(file);
        assertEquals(
            DecisionGenerator.REPLY_PREFIX + "ok", lines.get(lines.size() - 1), file.toString());
        long events =
            lines.stream()
                .filter(l -> !l.startsWith(DecisionGenerator.REPLY_PREFIX))
                .filter(l -> !l.matches("(clock|at|commit)(\t.*)?"))
                .count();
        assertTrue(events >= 1500, file + " has " + events + " events");
        assertTrue(lines.stream().noneMatch(l -> l.contains("crash")), file.toString());
      }
      assertTrue(seeds >= 20, site + " has " + seeds + " seeds");
    }
  }
}
