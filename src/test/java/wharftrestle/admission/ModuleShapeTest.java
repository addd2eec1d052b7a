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

/** The decision code is read aloud after outages: its width is bounded and its types are named. */
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
  void everyFileStaysNarrow() throws IOException {
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
  void thePackagePageNamesTheInterfaceAndTheEntryInItsFirstLines() throws IOException {
    String first = String.join(" ", firstLines(PACKAGE.resolve("package-info.java")));
    assertTrue(first.contains("wharftrestle.admission.Admission}"), first);
    assertTrue(first.contains("wharftrestle.admission.AdmissionController}"), first);
  }

  @Test
  void everyFileSaysInItsFirstLinesWhatItsTypeIsFor() throws IOException {
    List<String> silent = new ArrayList<>();
    for (Path file : files()) {
      if (firstLines(file).stream().noneMatch(line -> line.startsWith("/**"))) {
        silent.add(file.toString());
      }
    }
    assertEquals(List.of(), silent);
  }
}
