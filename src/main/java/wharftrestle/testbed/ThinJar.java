package wharftrestle.testbed;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Collectors;

/** Jars that refer to the class path of this process, so that tests need no packed build. */
final class ThinJar {
  private ThinJar() {}

  /** The class path of this process, with absolute paths. */
  static String classPath() {
    String all =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    return Arrays.stream(all.split(File.pathSeparator))
        .map(each -> Path.of(each).toAbsolutePath().toString())
        .collect(Collectors.joining(File.pathSeparator));
  }

  /**
   * Writes a jar that starts a main class of this class path.
   *
   * @param entries content of the jar by name
   */
  static void write(Path jar, String main, Map<String, byte[]> entries) throws IOException {
    Manifest manifest = new Manifest();
    Attributes attributes = manifest.getMainAttributes();
    attributes.put(Attributes.Name.MANIFEST_VERSION, "1.0");
    attributes.put(Attributes.Name.MAIN_CLASS, main);
    attributes.put(
        Attributes.Name.CLASS_PATH,
        Arrays.stream(classPath().split(File.pathSeparator))
            .map(each -> Path.of(each).toUri().toString())
            .collect(Collectors.joining(" ")));
    try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar), manifest)) {
      for (Map.Entry<String, byte[]> entry : entries.entrySet()) {
        out.putNextEntry(new JarEntry(entry.getKey()));
        out.write(entry.getValue());
        out.closeEntry();
      }
    }
  }
}
