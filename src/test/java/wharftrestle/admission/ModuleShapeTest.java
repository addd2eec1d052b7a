package wharftrestle.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The decision code is read aloud after outages: its width is bounded and its types are named. */
class ModuleShapeTest {
  private static final int MAX_COLUMNS = 100;

  @Test
  void theModuleStaysNarrowAndNamesItsTypes() throws IOException {
    List<String> lines =
        Files.readAllLines(
            Path.of("src/main/java/wharftrestle/admission/AdmissionController.java"));
    assertEquals(List.of(), lines.stream().filter(line -> line.length() > MAX_COLUMNS).toList());
    assertTrue(lines.stream().limit(20).anyMatch(line -> line.contains("Admission.java")));
  }
}
