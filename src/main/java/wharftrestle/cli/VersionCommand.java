package wharftrestle.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharftrestle.settings.Settings;
import wharftrestle.version.BuildInfo;
import wharftrestle.version.Version;

/** Prints the version, on one line or as JSON. */
@Command(name = "version", description = "print the version")
public final class VersionCommand implements Callable<Integer> {
  @Option(
      names = "--json",
      description = "print all fields as JSON, with the computed digest of the jar")
  private boolean json;

  @Option(
      names = "--appliance",
      paramLabel = "FILE",
      description = "the operators' settings, to include their digest")
  private Path appliance;

  @Override
  public Integer call() throws Exception {
    String settings = appliance == null ? null : Settings.read(appliance).table();
    Version version = BuildInfo.describe(settings);
    System.out.println(json ? toJson(version) : "wharftrestle " + version.summaryLine());
    return 0;
  }

  /** Includes the digest of the jar itself, which may differ from the recorded one. */
  private static String toJson(Version version) throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>(version.publishedFields());
    Path jar = BuildInfo.jar();
    if (jar != null) {
      String digest = BuildInfo.digest(jar);
      fields.put("jar", digest);
      if (!digest.equals(version.jarDigest())) {
        System.err.println(
            "wharftrestle: jar digest differs from the recorded one: expected "
                + version.jarDigest()
                + ", found "
                + digest);
      }
    }
    return new ObjectMapper().writeValueAsString(fields);
  }
}
