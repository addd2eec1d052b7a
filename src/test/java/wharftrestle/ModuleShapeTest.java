package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module is read aloud after outages: its length and width are bounded. */
class ModuleShapeTest {
  @Test
  void theModuleStaysShortAndNarrow() throws IOException {
    List<String> lines =
        Files.readAllLines(Path.of("src/main/java/wharftrestle/policy/GroupEdfScheduler.java"));
    long full = lines.stream().filter(line -> !line.isBlank()).count();
    assertTrue(full <= 990, full + " lines");
    assertEquals(List.of(), lines.stream().filter(line -> line.length() > 110).toList());
    assertTrue(lines.stream().limit(20).anyMatch(line -> line.contains("Admission.java")));
  }
}
