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
 * Nothing in the program, or in how it is started, goes by the name or a limit of one deployment;
 * the rig's plays may.
 */
class NoDeploymentTest {
  /**
   * Classes, tenants, zones and sites of the deployments served, besides those under deploy/sites.
   */
  private static final Set<String> KNOWN =
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

  /** Windows and the like that are no round figures: milliseconds. */
  private static final Set<String> LIMITS = Set.of("23547", "11178", "21744");

  private static final Pattern NAME =
      Pattern.compile("\\[\\[(class|tenant)]]\\s+name = \"([^\"]+)\"");
  private static final Pattern ZONES = Pattern.compile("^zones = \\[(.*)]", Pattern.MULTILINE);
  private static final Pattern LIMIT = Pattern.compile("(?:window|deadline)_ms = (\\d+)");
  private static final Pattern COMMENT = Pattern.compile("(?s)/\\*.*?\\*/|(?<=\\s)//[^\\n]*");
  private static final Pattern QUOTED =
      Pattern.compile("(?s)\"\"\".*?\"\"\"|\"(?:[^\"\\\\\\n]|\\\\.)*\"");

  @TempDir private Path planted;

  /** Names, and figures as they may stand in code: whole, in seconds, with underscores. */
  private record Words(Set<String> names, Set<String> figures) {
    static Words read() throws IOException {
      Words words = new Words(new TreeSet<>(KNOWN), new TreeSet<>());
      Set<String> limits = new TreeSet<>(LIMITS);
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
        int thousand = limit.length() - 3;
        words.figures.add(limit);
        words.figures.add(limit.substring(0, thousand) + "_" + limit.substring(thousand));
        words.figures.add(limit.substring(0, thousand) + "." + limit.substring(thousand));
      }
      return words;
    }
  }

  private static void look(String where, String text, Set<String> words, List<String> found) {
    for (String word : words) {
      Matcher at =
          Pattern.compile("(?i)(?<![\\w.])" + Pattern.quote(word) + "(?![\\w])").matcher(text);
      if (at.find()) {
        found.add(where + ": " + word);
      }
    }
  }

  private static List<String> scan(Path root, Words words) throws IOException {
    List<String> found = new ArrayList<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : (Iterable<Path>) files.filter(Files::isRegularFile).sorted()::iterator) {
        String where = root.relativize(file).toString();
        String text = Files.readString(file);
        if (where.contains("wharftrestle/testbed/") || where.contains("wharftrestle/simulation/")) {
          continue;
        }
        if (where.endsWith(".java")) {
          String code = COMMENT.matcher(text).replaceAll("");
          QUOTED
              .matcher(code)
              .results()
              .forEach(each -> look(where, each.group(), words.names(), found));
          look(where, QUOTED.matcher(code).replaceAll("\"\""), words.figures(), found);
        } else {
          look(where, text, words.names(), found);
          look(where, text, words.figures(), found);
        }
      }
    }
    return found;
  }

  @Test
  void nothingIsFittedToADeployment() throws IOException {
    Words words = Words.read();
    assertEquals(List.of(), scan(Path.of("src/main"), words));
    List<String> started = new ArrayList<>();
    for (String file : List.of("deploy/run.sh", "deploy/balancer.toml", "deploy/appliance.star")) {
      look(file, Files.readString(Path.of(file)), words.names(), started);
      look(file, Files.readString(Path.of(file)), words.figures(), started);
    }
    assertEquals(List.of(), started);
  }

  @Test
  void whatIsPlantedIsFound() throws IOException {
    Path code = Files.createDirectories(planted.resolve("java/wharftrestle/net"));
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
    Path rig = Files.createDirectories(planted.resolve("java/wharftrestle/testbed"));
    Files.writeString(rig.resolve("B.java"), "class B { String name = \"outcome\"; }\n");
    Files.writeString(planted.resolve("run.json"), "{\"name\": \"mooring-fee\", \"ms\": 3137}\n");
    assertEquals(
        List.of(
            "java/wharftrestle/net/A.java: prefill",
            "java/wharftrestle/net/A.java: 11_178",
            "java/wharftrestle/net/A.java: 23.547",
            "run.json: mooring-fee",
            "run.json: 3137"),
        scan(planted, Words.read()));
  }
}
