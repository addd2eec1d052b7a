package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that neither the program nor the files that start it contain a name or a limit of one
 * particular deployment. The test bed and the simulation are exempt.
 */
class NoDeploymentTest {
  /**
   * Names of classes, tenants, zones and sites of deployments that have no file in deploy/sites.
   */
  private static final Set<String> OTHER_NAMES =
      Set.of(
          "windhoek",
          "khomas",
          "next-step",
          "prefill",
          "outcome",
          "omaruru",
          "kalahari",
          "swakop",
          "etosha",
          "eros",
          "northern-ind",
          "lisboa",
          "ribeira",
          "grid-view",
          "playout-list",
          "clip-preview",
          "slot-change",
          "alfama",
          "canal-sado",
          "serrana",
          "lis-a",
          "lis-b",
          "porto-a",
          "kochi",
          "route-sheet",
          "rate-check",
          "farmer-ledger",
          "pour-entry",
          "kakkanad",
          "aluva",
          "thrissur");

  /** Windows and deadlines of these deployments in milliseconds, if not round numbers. */
  private static final Set<String> OTHER_LIMITS = Set.of("23547", "11178", "21744");

  private static final Pattern NAME =
      Pattern.compile("\\[\\[(class|tenant)]]\\s+name = \"([^\"]+)\"");
  private static final Pattern ZONES = Pattern.compile("^zones = \\[(.*)]", Pattern.MULTILINE);
  private static final Pattern LIMIT = Pattern.compile("(?:window|deadline)_ms = (\\d+)");
  private static final Pattern COMMENT = Pattern.compile("(?s)/\\*.*?\\*/|(?<=\\s)//[^\\n]*");
  private static final Pattern QUOTED =
      Pattern.compile("(?s)\"\"\".*?\"\"\"|\"(?:[^\"\\\\\\n]|\\\\.)*\"");

  @TempDir private Path scannedDirectory;

  /** Names, and limits as code may contain them: with or without underscores, or in seconds. */
  private record ForbiddenWords(Set<String> names, Set<String> limitForms) {
    static ForbiddenWords read() throws IOException {
      ForbiddenWords words = new ForbiddenWords(new TreeSet<>(OTHER_NAMES), new TreeSet<>());
      Set<String> limits = new TreeSet<>(OTHER_LIMITS);
      try (Stream<Path> sites = Files.list(Path.of("deploy/sites"))) {
        for (Path site :
            (Iterable<Path>) sites.filter(each -> each.toString().endsWith(".toml"))::iterator) {
          String text = Files.readString(site);
          words.names.add(site.getFileName().toString().replace(".toml", ""));
          NAME.matcher(text).results().forEach(each -> words.names.add(each.group(2)));
          ZONES
              .matcher(text)
              .results()
              .forEach(
                  each ->
                      QUOTED
                          .matcher(each.group(1))
                          .results()
                          .forEach(zone -> words.names.add(zone.group().replace("\"", ""))));
          LIMIT.matcher(text).results().forEach(each -> limits.add(each.group(1)));
        }
      }
      for (String limit : limits) {
        int thousands = limit.length() - 3;
        words.limitForms.add(limit);
        words.limitForms.add(limit.substring(0, thousands) + "_" + limit.substring(thousands));
        words.limitForms.add(limit.substring(0, thousands) + "." + limit.substring(thousands));
      }
      return words;
    }
  }

  private static void search(String path, String text, Set<String> words, List<String> matches) {
    for (String word : words) {
      Matcher matcher =
          Pattern.compile("(?i)(?<![\\w.])" + Pattern.quote(word) + "(?![\\w])").matcher(text);
      if (matcher.find()) {
        matches.add(path + ": " + word);
      }
    }
  }

  private static List<String> scan(Path root, ForbiddenWords words) throws IOException {
    List<String> matches = new ArrayList<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : (Iterable<Path>) files.filter(Files::isRegularFile).sorted()::iterator) {
        String path = root.relativize(file).toString();
        String text = Files.readString(file);
        if (path.contains("wharftrestle/testbed/") || path.contains("wharftrestle/simulation/")) {
          continue;
        }
        if (path.endsWith(".java")) {
          String code = COMMENT.matcher(text).replaceAll("");
          QUOTED
              .matcher(code)
              .results()
              .forEach(each -> search(path, each.group(), words.names(), matches));
          search(path, QUOTED.matcher(code).replaceAll("\"\""), words.limitForms(), matches);
        } else {
          search(path, text, words.names(), matches);
          search(path, text, words.limitForms(), matches);
        }
      }
    }
    return matches;
  }

  @Test
  void programAndStartFilesContainNoDeploymentNamesOrLimits() throws IOException {
    ForbiddenWords words = ForbiddenWords.read();
    assertEquals(List.of(), scan(Path.of("src/main"), words));
    List<String> inStartFiles = new ArrayList<>();
    for (String file : List.of("deploy/run.sh", "deploy/balancer.toml", "deploy/appliance.star")) {
      search(file, Files.readString(Path.of(file)), words.names(), inStartFiles);
      search(file, Files.readString(Path.of(file)), words.limitForms(), inStartFiles);
    }
    assertEquals(List.of(), inStartFiles);
  }

  @Test
  void scanFindsNamesAndLimitsInCodeAndResources() throws IOException {
    Path code = Files.createDirectories(scannedDirectory.resolve("java/wharftrestle/net"));
    Files.writeString(
        code.resolve("A.java"),
        """
                /** A comment may say outcome, or 23547. */
                class A {
                    static final String NAME = "the class prefill";   // and so may this one: next-step
                    static final double WINDOW = 23.547;
                    static final long MORE = 11_178 + 123547;
                    static final String PLAIN = "an outcomes";
                }
                """);
    Path testbed = Files.createDirectories(scannedDirectory.resolve("java/wharftrestle/testbed"));
    Files.writeString(testbed.resolve("B.java"), "class B { String name = \"outcome\"; }\n");
    Files.writeString(
        scannedDirectory.resolve("run.json"), "{\"name\": \"mooring-fee\", \"ms\": 3137}\n");
    assertEquals(
        List.of(
            "java/wharftrestle/net/A.java: prefill",
            "java/wharftrestle/net/A.java: 11_178",
            "java/wharftrestle/net/A.java: 23.547",
            "run.json: mooring-fee",
            "run.json: 3137"),
        scan(scannedDirectory, ForbiddenWords.read()));
  }
}
