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
 * A configuration, or arguments, with which no daemon can be: one line, exit 2, and no address was
 * asked for.
 */
class UnusableStartTest {
  private static final long WAIT_S = 20;

  @TempDir private Path folder;

  /** What such a start says: its one line. */
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
      String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(process.waitFor(WAIT_S, TimeUnit.SECONDS));
      assertEquals(2, process.exitValue(), said);
      assertEquals(1, said.lines().count(), said);
      return said;
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void isOneLineAndExitTwoBeforeAnyAddressIsAskedFor() throws Exception {
    // The address to listen at is taken: whoever asked for it would say so, and not what else is
    // wrong.
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String whole = config(taken.getLocalPort());
      String[][] wrongs = {
        {null, "cannot be read"},
        {"{", "is no JSON"},
        {"[]", "settings"},
        {"{}", "settings"},
        {
          whole.replaceFirst("\"pool\": \"[^\"]*\"", "\"pool\": \"nowhere\""),
          "'pool' is no address: 'nowhere'"
        },
        {
          whole.replaceFirst("\"naming\": \"[^\"]*\"", "\"naming\": 7"),
          "'naming' is no address: '7'"
        },
        {
          whole.replaceFirst("\"seed\": \"[^\"]*\"", "\"seed\": \"much\""),
          "'seed' is no hexadecimal number"
        },
        {whole.replace("idempotency_key", "sometimes"), "unknown repeat 'sometimes'"},
        {whole.substring(0, whole.length() / 2), "is no JSON"},
      };
      for (String[] wrong : wrongs) {
        String said = start(wrong[0], "serve");
        assertTrue(said.startsWith("wharftrestle: ") && said.contains(wrong[1]), said);
        assertTrue(!said.contains("cannot listen"), said);
      }
      assertTrue(
          start(whole, "serve").contains("cannot listen"),
          "with nothing else wrong it asks for it");
      assertTrue(start(whole, "serve", "--what").contains("--what"));
      assertTrue(start(whole, "surve").contains("surve"));
    }
  }

  /** A configuration with which a daemon could be, but for its address. */
  private String config(int port) throws IOException {
    Path other = Files.createDirectories(folder.resolve("floor"));
    try (HostTestbed floor = new HostTestbed(other, "", 7, HostTestbed.Play.of(192))) {
      return Files.readString(other.resolve("config.json"))
          .replaceFirst("\"listen\": \"[^\"]*\"", "\"listen\": \"127.0.0.1:" + port + "\"");
    }
  }
}
