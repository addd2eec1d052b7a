package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.testbed.HostTestbed;

/**
 * A start with an invalid configuration or invalid arguments prints one line and exits with code 2,
 * before it binds an address.
 */
class UnusableStartTest {
  private static final long WAIT_S = 20;

  @TempDir private Path folder;

  /** Starts the daemon and returns its single line of output. */
  private String start(String config, String... arguments) throws Exception {
    Path file = folder.resolve("config.json");
    Files.deleteIfExists(file);
    if (config != null) {
      Files.writeString(file, config);
    }
    List<String> command =
        new ArrayList<>(
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx40m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty(
                    "surefire.test.class.path", System.getProperty("java.class.path")),
                "wharftrestle.Main"));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
    builder.environment().put("EDGE_CONFIG", file.toString());
    Process process = builder.start();
    try {
      String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(process.waitFor(WAIT_S, TimeUnit.SECONDS));
      assertEquals(2, process.exitValue(), output);
      assertEquals(1, output.lines().count(), output);
      return output;
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void unusableStartPrintsOneLineAndExitsTwoBeforeBindingAnAddress() throws Exception {
    // The listen address is in use: a daemon that binds it first would report that instead of the
    // invalid configuration.
    try (ServerSocket occupiedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String validConfig = config(occupiedPort.getLocalPort());
      String[][] cases = {
        {null, "cannot be read"},
        {"{", "is no JSON"},
        {"[]", "settings"},
        {"{}", "settings"},
        {
          validConfig.replaceFirst("\"pool\": \"[^\"]*\"", "\"pool\": \"nowhere\""),
          "'pool' is no address: 'nowhere'"
        },
        {
          validConfig.replaceFirst("\"naming\": \"[^\"]*\"", "\"naming\": 7"),
          "'naming' is no address: '7'"
        },
        {
          validConfig.replaceFirst("\"seed\": \"[^\"]*\"", "\"seed\": \"much\""),
          "'seed' is no hexadecimal number"
        },
        {validConfig.replace("idempotency_key", "sometimes"), "unknown repeat 'sometimes'"},
        {validConfig.substring(0, validConfig.length() / 2), "is no JSON"},
      };
      for (String[] invalidCase : cases) {
        String output = start(invalidCase[0], "serve");
        assertTrue(output.startsWith("wharftrestle: ") && output.contains(invalidCase[1]), output);
        assertTrue(!output.contains("cannot listen"), output);
      }
      assertTrue(
          start(validConfig, "serve").contains("cannot listen"),
          "a valid configuration reaches the bind");
      assertTrue(start(validConfig, "serve", "--what").contains("--what"));
      assertTrue(start(validConfig, "surve").contains("surve"));
    }
  }

  /** A configuration that is valid except for the address in use. */
  private String config(int port) throws IOException {
    Path testbedFolder = Files.createDirectories(folder.resolve("floor"));
    try (HostTestbed testbed = new HostTestbed(testbedFolder, "", 7, HostTestbed.Play.of(192))) {
      return Files.readString(testbedFolder.resolve("config.json"))
          .replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"127.0.0.1:" + port + "\"");
    }
  }
}
