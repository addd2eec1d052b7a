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
 * The operator's end of the door, on a terminal or in a script. It owns the prompt and the names of
 * the commands, and nothing of the daemon; the daemon goes on whatever happens here.
 */
public final class AdminConsole {
  private static final int CONNECT_MS = 3000;
  private static final int ANSWER_MS = 10_000;
  private static final int LONGEST_ANSWER = 256 * 1024;
  private static final String HELP =
      """
            ready         whether this process takes clients
            vars          the figures: requests by class and result, runs, requests outstanding
            status        state, worker pool link, health, requests in hand
            version       build, settings and formats of the running process
            results       the figures of results kept over restarts
            counters      all that was taken in, sent and answered since the start
            lameduck on   health checks and reports turn bad; what arrives is served
            lameduck off  take clients again
            drain         answer what is in hand, take nothing more, exit
            help          this list
            quit          leave the console; the daemon goes on
            """;
  private static final Map<String, String> CALLS = new LinkedHashMap<>();

  static {
    for (String read : new String[] {"ready", "vars", "status", "version", "results", "counters"}) {
      CALLS.put(read, "GET /_" + read);
    }
    CALLS.put("lameduck on", "POST /_lameduck/on");
    CALLS.put("lameduck off", "POST /_lameduck/off");
    CALLS.put("drain", "POST /_drain");
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
   * Sends one command, or asks for commands until the end; the exit code is 1 where the answer was
   * no.
   */
  public int attach(InetSocketAddress address, String command) {
    try {
      if (command != null) {
        return ask(address, command) ? 0 : 1;
      }
      out.println(
          "attached to "
              + address.getHostString()
              + ":"
              + address.getPort()
              + "; 'help' lists the commands");
      for (String word = prompt(); word != null && !word.equals("quit"); word = prompt()) {
        ask(address, word);
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

  private String prompt() throws IOException {
    out.print("wharftrestle> ");
    out.flush();
    String line = in.readLine();
    return line == null ? null : line.trim();
  }

  private boolean ask(InetSocketAddress address, String word) throws IOException {
    String name = word.trim().replaceAll("\\s+", " ");
    String call = CALLS.get(name);
    if (call == null) {
      out.print(
          name.isEmpty() || name.equals("help") ? HELP : "no such command; 'help' lists them\n");
      return name.isEmpty() || name.equals("help");
    }
    try (Socket socket = new Socket()) {
      socket.connect(address, CONNECT_MS);
      socket.setSoTimeout(ANSWER_MS);
      socket
          .getOutputStream()
          .write(
              BoundedReader.ascii(
                  call
                      + " HTTP/1.1\r\nHost: "
                      + address.getHostString()
                      + ":"
                      + address.getPort()
                      + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
      String answer =
          new String(socket.getInputStream().readNBytes(LONGEST_ANSWER), StandardCharsets.UTF_8);
      int body = answer.indexOf("\r\n\r\n");
      if (body < 0 || !answer.matches("(?s)HTTP/1\\.[01] [1-5][0-9][0-9] .*")) {
        throw new IOException("no answer of a daemon");
      }
      out.print(answer.substring(body + 4));
      return answer.charAt(9) == '2';
    }
  }
}
