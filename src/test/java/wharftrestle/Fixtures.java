package wharftrestle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SortedSet;
import java.util.TreeSet;

/** Access to the recorded files under {@code src/test/resources/fixtures}. */
public final class Fixtures {
  private static final ObjectMapper JSON = new ObjectMapper();

  private Fixtures() {}

  /** Path of a recorded file. */
  public static Path path(String name) {
    return Path.of("src/test/resources/fixtures").resolve(name);
  }

  /** A recorded JSON document. */
  public static JsonNode json(String name) throws IOException {
    return JSON.readTree(Files.readString(path(name)));
  }

  /** The JSON documents of a file that holds one per line. */
  public static List<JsonNode> jsonLines(Path file) throws IOException {
    List<JsonNode> all = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      all.add(JSON.readTree(line));
    }
    return all;
  }

  /** Writes a JSON document for review by people: indented, with a final newline. */
  public static void writeJson(Path file, Object document) throws IOException {
    Files.createDirectories(file.getParent());
    Files.write(
        file,
        (JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n")
            .getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Path and type of each value of a document, such as {@code box.classes[].asked number}. Values
   * do not matter.
   */
  public static SortedSet<String> fields(JsonNode document) {
    SortedSet<String> all = new TreeSet<>();
    collect("", document, all);
    return all;
  }

  private static void collect(String at, JsonNode node, SortedSet<String> into) {
    if (node.isObject()) {
      node.fields()
          .forEachRemaining(
              each ->
                  collect(
                      at.isEmpty() ? each.getKey() : at + "." + each.getKey(),
                      each.getValue(),
                      into));
    } else if (node.isArray()) {
      node.forEach(each -> collect(at + "[]", each, into));
    }
    into.add((at + " " + node.getNodeType().name().toLowerCase(Locale.ROOT)).trim());
  }
}
