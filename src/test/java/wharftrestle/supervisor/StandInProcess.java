package wharftrestle.supervisor;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import wharftrestle.version.BuildInfo;

/**
 * A process that a supervisor starts in place of the real one: it answers at its admin endpoint
 * with fixed figures, and writes each request line into the file {@code requests}. Started from the
 * release {@code two} it ends at once.
 */
final class StandInProcess {
  private StandInProcess() {}

  /** Serves until it is killed; the arguments are those of the real process: -jar JAR serve. */
  public static void main(String[] arguments) throws IOException {
    Path jar = Path.of(arguments[1]);
    if (jar.getParent().endsWith("two")) {
      System.exit(1);
    }
    String figures =
        "HTTP/1.1 200 OK\r\n\r\nready yes\nhandover none\nbuild "
            + BuildInfo.digest(jar)
            + "\nsettings \nup 90.5\ncalls 12 3\nclass 100 80 7 15 5 61.5 4.25 batch work\n";
    String console = System.getenv("EDGE_CONSOLE");
    int port = Integer.parseInt(console.substring(console.indexOf(':') + 1));
    Path requests = Path.of(System.getenv("TMPDIR")).resolve("requests");
    try (ServerSocket server = new ServerSocket(port, 8, InetAddress.getLoopbackAddress())) {
      for (; ; ) {
        try (Socket call = server.accept()) {
          BufferedReader in =
              new BufferedReader(
                  new InputStreamReader(call.getInputStream(), StandardCharsets.US_ASCII));
          String line = in.readLine();
          while (!in.readLine().isEmpty()) {
            continue;
          }
          Files.writeString(
              requests, line + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
          call.getOutputStream().write(figures.getBytes(StandardCharsets.UTF_8));
        }
      }
    }
  }
}
