package wharftrestle.supervisor;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The status of a daemon as its admin endpoint reports it at one time. Older builds, which have no
 * {@code /_figures}, are read from {@code /_ready}, {@code /_status} and {@code /_vars}.
 *
 * @param ready whether it serves clients
 * @param handover progress of a handover, and why it waits
 * @param buildDigest SHA-256 of its jar; empty if not reported
 * @param settingsDigest digest of its settings; empty if not reported
 * @param uptimeSeconds seconds since its start; 0 if not reported
 * @param dependencyCalls completed dependency calls
 * @param failedDependencyCalls the dependency calls among them that did not succeed
 * @param requestClasses answers by request class
 */
public record DaemonStatus(
    boolean ready,
    String handover,
    String buildDigest,
    String settingsDigest,
    double uptimeSeconds,
    long dependencyCalls,
    long failedDependencyCalls,
    List<ClassAnswers> requestClasses) {

  /**
   * Answers of a request class since the daemon's start. The annotations hold the names in messages
   * to controllers.
   *
   * @param total answers of all kinds
   * @param servedAfterObjective answers among the served ones that missed the latency objective
   * @param weight priority weight of an answer within the latency objective
   * @param weightAfterObjective priority weight of an answer after it
   */
  public record ClassAnswers(
      String name,
      @JsonProperty("asked") long total,
      long served,
      @JsonProperty("late") long servedAfterObjective,
      @JsonProperty("refused") long rejected,
      long failed,
      @JsonProperty("worth") double weight,
      @JsonProperty("lateWorth") double weightAfterObjective) {}

  /** The status of a daemon that doesn't answer. */
  static final DaemonStatus UNREACHABLE = new DaemonStatus(false, "", "", "", 0, 0, 0, List.of());

  private static final int REQUEST_TIMEOUT_MS = 1000;
  private static final String RESULT_VARIABLES = "daemon.results.";

  /**
   * Reads the status from the admin endpoint at this port of the loopback interface; {@link
   * #UNREACHABLE} if there is no valid answer.
   */
  static DaemonStatus fetch(int adminPort) {
    try {
      String response = request(adminPort, "GET", "/_figures");
      return response.startsWith("HTTP/1.1 404 ") ? fetchLegacy(adminPort) : parse(response);
    } catch (IOException | RuntimeException unreachable) {
      return UNREACHABLE;
    }
  }

  /** Sends a request to the admin endpoint; the response with its status line and headers. */
  static String request(int adminPort, String method, String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort), REQUEST_TIMEOUT_MS);
      socket.setSoTimeout(REQUEST_TIMEOUT_MS);
      socket
          .getOutputStream()
          .write(
              (method + " " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static DaemonStatus parse(String response) {
    Map<String, String> values = new LinkedHashMap<>();
    List<ClassAnswers> requestClasses = new ArrayList<>();
    for (String line : response.split("\r?\n")) {
      int blank = line.indexOf(' ');
      if (blank < 1 || line.startsWith("HTTP/")) {
        continue;
      }
      String value = line.substring(blank + 1);
      if (line.startsWith("class ")) {
        String[] fields = value.split(" ", 8);
        requestClasses.add(
            new ClassAnswers(
                fields[7],
                Long.parseLong(fields[0]),
                Long.parseLong(fields[1]),
                Long.parseLong(fields[2]),
                Long.parseLong(fields[3]),
                Long.parseLong(fields[4]),
                Double.parseDouble(fields[5]),
                Double.parseDouble(fields[6])));
      } else {
        values.put(line.substring(0, blank), value);
      }
    }
    String[] dependencyCalls = values.getOrDefault("calls", "0 0").split(" ");
    return new DaemonStatus(
        "yes".equals(values.get("ready")),
        values.getOrDefault("handover", ""),
        values.getOrDefault("build", ""),
        values.getOrDefault("settings", ""),
        Double.parseDouble(values.getOrDefault("up", "0")),
        Long.parseLong(dependencyCalls[0]),
        Long.parseLong(dependencyCalls[1]),
        requestClasses);
  }

  /** The status of an older build, which takes three requests. */
  private static DaemonStatus fetchLegacy(int adminPort) throws IOException {
    boolean ready = request(adminPort, "GET", "/_ready").startsWith("HTTP/1.1 200 ");
    String handover = "";
    for (String line : request(adminPort, "GET", "/_status").split("\n")) {
      if (line.startsWith("hand-over")) {
        handover = line.substring("hand-over".length()).trim();
      }
    }
    Map<String, long[]> results = new LinkedHashMap<>();
    for (String line : request(adminPort, "GET", "/_vars").split("\n")) {
      String[] parts = line.trim().split("[:|]");
      int dot = parts[0].lastIndexOf('.');
      if (parts.length > 1
          && parts[0].startsWith(RESULT_VARIABLES)
          && dot > RESULT_VARIABLES.length()) {
        long[] counts =
            results.computeIfAbsent(
                parts[0].substring(RESULT_VARIABLES.length(), dot), key -> new long[3]);
        int index =
            List.of("succeeded", "declined", "aborted").indexOf(parts[0].substring(dot + 1));
        if (index >= 0) {
          counts[index] = Long.parseLong(parts[1]);
        }
      }
    }
    List<ClassAnswers> requestClasses = new ArrayList<>();
    results.forEach(
        (name, counts) ->
            requestClasses.add(
                new ClassAnswers(
                    name,
                    counts[0] + counts[1] + counts[2],
                    counts[0],
                    0,
                    counts[1],
                    counts[2],
                    1,
                    0)));
    return new DaemonStatus(ready, handover, "", "", 0, 0, 0, requestClasses);
  }

  /** Why the daemon cannot take over; empty if it can or has not reported it. */
  String takeoverRejection() {
    int index = handover.indexOf("refused");
    return index < 0 ? "" : handover.substring(index).trim();
  }

  /** Answers of all classes; null if none are reported. */
  SupervisorStateMachine.AnswerCounts answerCounts() {
    return requestClasses.isEmpty()
        ? null
        : new SupervisorStateMachine.AnswerCounts(
            requestClasses.stream().mapToLong(ClassAnswers::served).sum(),
            requestClasses.stream().mapToLong(ClassAnswers::rejected).sum(),
            requestClasses.stream().mapToLong(ClassAnswers::failed).sum());
  }
}
