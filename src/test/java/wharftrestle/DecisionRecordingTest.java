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
 * Replays recorded events and compares every reply byte for byte. The events come from the files
 * alone, so one decision that differs cannot change what follows. {@link DecisionGenerator} says
 * how the files were made and when they may be made anew.
 */
class DecisionRecordingTest {

  static List<Path> recordings() throws IOException {
    try (Stream<Path> files = Files.list(DecisionGenerator.FOLDER)) {
      return files.filter(f -> f.toString().endsWith(".txt.gz")).sorted().toList();
    }
  }

  @ParameterizedTest
  @MethodSource("recordings")
  void everyReplyIsAsRecorded(Path file) throws IOException {
    String name = file.getFileName().toString().replace(".txt.gz", "");
    DecisionGenerator.Endpoint endpoint =
        name.startsWith("interface-") ? new AdmissionLines()::answer : DecisionGenerator.wire();
    List<String> lines = read(file);
    StringBuilder batch = new StringBuilder();
    int at = 0;
    while (at < lines.size()) {
      batch.setLength(0);
      while (at < lines.size() && !lines.get(at).startsWith(DecisionGenerator.REPLY)) {
        batch.append(lines.get(at++)).append('\n');
      }
      int first = at;
      StringBuilder expected = new StringBuilder();
      while (at < lines.size() && lines.get(at).startsWith(DecisionGenerator.REPLY)) {
        expected.append(lines.get(at++).substring(DecisionGenerator.REPLY.length())).append('\n');
      }
      String actual = endpoint.answer(batch.toString());
      if (!actual.contentEquals(expected)) {
        fail(difference(name, first + 1, expected.toString(), actual));
      }
    }
  }

  /** The file's name tells the site and the seed. */
  private static String difference(String name, int line, String expected, String actual) {
    String[] want = expected.split("\n", -1);
    String[] have = actual.split("\n", -1);
    int i = 0;
    while (i < want.length && i < have.length && want[i].equals(have[i])) {
      i++;
    }
    int seed = name.lastIndexOf('-');
    return String.format(
        "site %s, seed %s, line %d of the recording: expected <%s> but was <%s>",
        name.substring(0, seed),
        name.substring(seed + 1),
        line + i,
        i < want.length ? want[i] : "",
        i < have.length ? have[i] : "");
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
  void bothSitesAreRecordedWithAtLeastTwentySeedsEach() throws IOException {
    for (String site : List.of("wire-shared-store-", "wire-no-store-")) {
      int seeds = 0;
      for (Path file : recordings()) {
        if (!file.getFileName().toString().startsWith(site)) {
          continue;
        }
        seeds++;
        List<String> lines = read(file);
        assertEquals(DecisionGenerator.REPLY + "ok", lines.get(lines.size() - 1), file.toString());
        long events =
            lines.stream()
                .filter(l -> !l.startsWith(DecisionGenerator.REPLY))
                .filter(l -> !l.matches("(clock|at|commit)(\t.*)?"))
                .count();
        assertTrue(events >= 1500, file + " has " + events + " events");
        assertTrue(lines.stream().noneMatch(l -> l.contains("crash")), file.toString());
      }
      assertTrue(seeds >= 20, site + " has " + seeds + " seeds");
    }
  }
}
