package wharftrestle.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the layout of the decision code, which is read out in reviews after outages: line length,
 * and a doc comment at the head of each file.
 */
class ModuleShapeTest {
  private static final int MAX_COLUMNS = 100;
  private static final int FIRST_LINES = 20;
  private static final Path PACKAGE = Path.of("src/main/java/wharftrestle/admission");

  private static List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(PACKAGE)) {
      return files.filter(file -> file.toString().endsWith(".java")).sorted().toList();
    }
  }

  private static List<String> firstLines(Path file) throws IOException {
    return Files.readAllLines(file).stream().limit(FIRST_LINES).toList();
  }

  @Test
  void noLineExceedsTheMaximumLength() throws IOException {
    assertTrue(files().contains(PACKAGE.resolve("AdmissionController.java")));
    for (Path file : files()) {
      List<String> lines = Files.readAllLines(file);
      assertEquals(
          List.of(),
          lines.stream().filter(line -> line.length() > MAX_COLUMNS).toList(),
          file.toString());
    }
  }

  @Test
  void packageDocNamesInterfaceAndControllerInItsFirstLines() throws IOException {
    String first = String.join(" ", firstLines(PACKAGE.resolve("package-info.java")));
    assertTrue(first.contains("wharftrestle.admission.Admission}"), first);
    assertTrue(first.contains("wharftrestle.admission.AdmissionController}"), first);
  }

  @Test
  void everyFileHasDocCommentInItsFirstLines() throws IOException {
    List<String> undocumented = new ArrayList<>();
    for (Path file : files()) {
      if (firstLines(file).stream().noneMatch(line -> line.startsWith("/**"))) {
        undocumented.add(file.toString());
      }
    }
    assertEquals(List.of(), undocumented);
  }
}
