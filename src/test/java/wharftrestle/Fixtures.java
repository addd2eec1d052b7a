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

  /** Returns the path of a recorded file. */
  public static Path path(String name) {
    return Path.of("src/test/resources/fixtures").resolve(name);
  }

  /** Reads a recorded JSON document. */
  public static JsonNode json(String name) throws IOException {
    return JSON.readTree(Files.readString(path(name)));
  }

  /** Reads the JSON documents of a file that holds one per line. */
  public static List<JsonNode> jsonLines(Path file) throws IOException {
    List<JsonNode> documents = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      documents.add(JSON.readTree(line));
    }
    return documents;
  }

  /** Writes a JSON document in a reviewable form: indented, with a final newline. */
  public static void writeJson(Path file, Object document) throws IOException {
    Files.createDirectories(file.getParent());
    Files.write(
        file,
        (JSON.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n")
            .getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the path and type of each value of a document, such as {@code box.classes[].asked
   * number}, without the values.
   */
  public static SortedSet<String> fields(JsonNode document) {
    SortedSet<String> collected = new TreeSet<>();
    collect("", document, collected);
    return collected;
  }

  private static void collect(String parent, JsonNode node, SortedSet<String> collected) {
    if (node.isObject()) {
      node.fields()
          .forEachRemaining(
              each ->
                  collect(
                      parent.isEmpty() ? each.getKey() : parent + "." + each.getKey(),
                      each.getValue(),
                      collected));
    } else if (node.isArray()) {
      node.forEach(each -> collect(parent + "[]", each, collected));
    }
    collected.add((parent + " " + node.getNodeType().name().toLowerCase(Locale.ROOT)).trim());
  }
}
