package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against a pattern of KNOWN-RED.txt that names no test, and so hides nothing it says. */
class KnownRedListTest {
  private static final Path LIST = Path.of("KNOWN-RED.txt");
  private static final Path TEST_SOURCES = Path.of("src", "test", "java");

  private static List<String> patterns() throws IOException {
    return Files.readAllLines(LIST).stream()
        .filter(line -> !line.isBlank() && !line.startsWith("#"))
        .toList();
  }

  @Test
  void eachPattern_namesOneMethodOfOneTestClass() throws Exception {
    for (String pattern : patterns()) {
      String[] parts = pattern.split("#", -1);
      assertTrue(
          pattern.matches("\\w+#\\w+"), pattern + ": expected Class#method, without wildcards");
      List<Class<?>> classes = classesNamed(parts[0]);
      assertTrue(classes.size() == 1, pattern + ": found " + classes);
      assertTrue(
          Arrays.stream(classes.get(0).getDeclaredMethods())
              .anyMatch(method -> method.getName().equals(parts[1])),
          pattern + ": the class has no such method");
    }
  }

  private static List<Class<?>> classesNamed(String simpleName) throws Exception {
    try (Stream<Path> sources = Files.walk(TEST_SOURCES)) {
      List<Path> found = sources.filter(path -> path.endsWith(simpleName + ".java")).toList();
      Class<?>[] classes = new Class<?>[found.size()];
      for (int i = 0; i < classes.length; i++) {
        String name = TEST_SOURCES.relativize(found.get(i)).toString().replace('/', '.');
        classes[i] = Class.forName(name.substring(0, name.length() - ".java".length()));
      }
      return List.of(classes);
    }
  }
}
