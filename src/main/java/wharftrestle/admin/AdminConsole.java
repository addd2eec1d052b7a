package wharftrestle.admin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import wharftrestle.transport.BoundedReader;

/**
 * The admin console: a client of the admin endpoint for a terminal or a script. It maps command
 * names to HTTP requests. Leaving or killing the console does not affect the daemon.
 */
public final class AdminConsole {
  private static final int CONNECT_TIMEOUT_MS = 3000;
  private static final int READ_TIMEOUT_MS = 10_000;
  private static final int MAX_RESPONSE_BYTES = 256 * 1024;
  private static final String HELP_TEXT =
      """
            ready         whether this process accepts clients
            vars          metrics: requests by class and result, executions, requests in flight
            status        state, worker pool connection, health, requests in flight
            version       build, settings and format versions of the running process
            results       metrics of the results stored across restarts
            counters      all counters since the process started
            lameduck on   report unhealthy to health checks and in load reports; still serve
            lameduck off  report the actual health again
            drain         finish the requests in flight, accept no more, exit
            help          show this list
            quit          leave the console; the daemon keeps running
            """;
  private static final Map<String, String> REQUEST_LINES = new LinkedHashMap<>();

  static {
    for (String command :
        new String[] {"ready", "vars", "status", "version", "results", "counters"}) {
      REQUEST_LINES.put(command, "GET /_" + command);
    }
    REQUEST_LINES.put("lameduck on", "POST /_lameduck/on");
    REQUEST_LINES.put("lameduck off", "POST /_lameduck/off");
    REQUEST_LINES.put("drain", "POST /_drain");
  }

  private final BufferedReader in;
  private final PrintStream out;
  private final PrintStream err;

  public AdminConsole(InputStream in, PrintStream out, PrintStream err) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    this.out = out;
    this.err = err;
  }

  /**
   * Sends one command, or reads commands until the end of the input if it is null. Returns the exit
   * code: 1 if the command or the connection failed.
   */
  public int attach(InetSocketAddress address, String command) {
    try {
      if (command != null) {
        return execute(address, command) ? 0 : 1;
      }
      out.println(
          "admin endpoint "
              + address.getHostString()
              + ":"
              + address.getPort()
              + "; 'help' lists the commands");
      for (String input = readCommand();
          input != null && !input.equals("quit");
          input = readCommand()) {
        execute(address, input);
      }
      return 0;
    } catch (IOException e) {
      err.println(
          "wharftrestle: console at "
              + address.getHostString()
              + ":"
              + address.getPort()
              + ": "
              + e.getMessage());
      return 1;
    }
  }

  private String readCommand() throws IOException {
    out.print("wharftrestle> ");
    out.flush();
    String line = in.readLine();
    return line == null ? null : line.trim();
  }

  private boolean execute(InetSocketAddress address, String input) throws IOException {
    String name = input.trim().replaceAll("\\s+", " ");
    String requestLine = REQUEST_LINES.get(name);
    if (requestLine == null) {
      out.print(
          name.isEmpty() || name.equals("help")
              ? HELP_TEXT
              : "no such command; 'help' lists them\n");
      return name.isEmpty() || name.equals("help");
    }
    try (Socket socket = new Socket()) {
      socket.connect(address, CONNECT_TIMEOUT_MS);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket
          .getOutputStream()
          .write(
              BoundedReader.ascii(
                  requestLine
                      + " HTTP/1.1\r\nHost: "
                      + address.getHostString()
                      + ":"
                      + address.getPort()
                      + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
      String response =
          new String(
              socket.getInputStream().readNBytes(MAX_RESPONSE_BYTES), StandardCharsets.UTF_8);
      int headerEnd = response.indexOf("\r\n\r\n");
      if (headerEnd < 0 || !response.matches("(?s)HTTP/1\\.[01] [1-5][0-9][0-9] .*")) {
        throw new IOException("invalid HTTP response from the admin endpoint");
      }
      out.print(response.substring(headerEnd + 4));
      return response.charAt(9) == '2';
    }
  }
}
