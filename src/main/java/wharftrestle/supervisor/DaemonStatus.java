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
 * What a daemon shows at its door: one look. Builds that know no figures are asked in the words
 * they know.
 *
 * @param ready it takes clients
 * @param handover how far a hand-over is, and why it waits
 * @param build SHA-256 of its jar, as it says; empty where it does not
 * @param settings digest of its settings; empty where it does not say
 * @param up seconds since its start; 0 where it does not say
 * @param calls store calls that ended
 * @param badCalls of them badly
 * @param classes answers by class
 */
public record DaemonStatus(
    boolean ready,
    String handover,
    String build,
    String settings,
    double up,
    long calls,
    long badCalls,
    List<Answers> classes) {

  /**
   * Answers of a request class since the daemon's start. The annotations hold the names in messages
   * to controllers.
   *
   * @param total answers of all kinds
   * @param servedAfterObjective answers among the served ones that missed the latency objective
   * @param weight priority weight of an answer within the latency objective
   * @param weightAfterObjective priority weight of an answer after it
   */
  public record Answers(
      String name,
      @JsonProperty("asked") long total,
      long served,
      @JsonProperty("late") long servedAfterObjective,
      @JsonProperty("refused") long rejected,
      long failed,
      @JsonProperty("worth") double weight,
      @JsonProperty("lateWorth") double weightAfterObjective) {}

  /** It says nothing. */
  static final DaemonStatus SILENT = new DaemonStatus(false, "", "", "", 0, 0, 0, List.of());

  private static final int DOOR_MS = 1000;
  private static final String RESULTS = "daemon.results.";

  /** Looks at the door of this port on loopback; {@link #SILENT} where nobody answers. */
  static DaemonStatus at(int door) {
    try {
      String said = get(door, "GET", "/_figures");
      return said.startsWith("HTTP/1.1 404 ") ? former(door) : read(said);
    } catch (IOException | RuntimeException silent) {
      return SILENT;
    }
  }

  /** One call at the door; the whole answer. */
  static String get(int door, String method, String path) throws IOException {
    try (Socket call = new Socket()) {
      call.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), door), DOOR_MS);
      call.setSoTimeout(DOOR_MS);
      call.getOutputStream()
          .write(
              (method + " " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static DaemonStatus read(String said) {
    Map<String, String> once = new LinkedHashMap<>();
    List<Answers> classes = new ArrayList<>();
    for (String line : said.split("\r?\n")) {
      int blank = line.indexOf(' ');
      if (blank < 1 || line.startsWith("HTTP/")) {
        continue;
      }
      String value = line.substring(blank + 1);
      if (line.startsWith("class ")) {
        String[] w = value.split(" ", 8);
        classes.add(
            new Answers(
                w[7],
                Long.parseLong(w[0]),
                Long.parseLong(w[1]),
                Long.parseLong(w[2]),
                Long.parseLong(w[3]),
                Long.parseLong(w[4]),
                Double.parseDouble(w[5]),
                Double.parseDouble(w[6])));
      } else {
        once.put(line.substring(0, blank), value);
      }
    }
    String[] calls = once.getOrDefault("calls", "0 0").split(" ");
    return new DaemonStatus(
        "yes".equals(once.get("ready")),
        once.getOrDefault("handover", ""),
        once.getOrDefault("build", ""),
        once.getOrDefault("settings", ""),
        Double.parseDouble(once.getOrDefault("up", "0")),
        Long.parseLong(calls[0]),
        Long.parseLong(calls[1]),
        classes);
  }

  /** A build from before the figures: three calls. */
  private static DaemonStatus former(int door) throws IOException {
    boolean ready = get(door, "GET", "/_ready").startsWith("HTTP/1.1 200 ");
    String handover = "";
    for (String line : get(door, "GET", "/_status").split("\n")) {
      if (line.startsWith("hand-over")) {
        handover = line.substring("hand-over".length()).trim();
      }
    }
    Map<String, long[]> results = new LinkedHashMap<>();
    for (String line : get(door, "GET", "/_vars").split("\n")) {
      String[] parts = line.trim().split("[:|]");
      int dot = parts[0].lastIndexOf('.');
      if (parts.length > 1 && parts[0].startsWith(RESULTS) && dot > RESULTS.length()) {
        long[] counts =
            results.computeIfAbsent(parts[0].substring(RESULTS.length(), dot), key -> new long[3]);
        int at = List.of("succeeded", "declined", "aborted").indexOf(parts[0].substring(dot + 1));
        if (at >= 0) {
          counts[at] = Long.parseLong(parts[1]);
        }
      }
    }
    List<Answers> classes = new ArrayList<>();
    results.forEach(
        (name, c) -> classes.add(new Answers(name, c[0] + c[1] + c[2], c[0], 0, c[1], c[2], 1, 0)));
    return new DaemonStatus(ready, handover, "", "", 0, 0, 0, classes);
  }

  /** Why it cannot take over; empty where it can, or does not say. */
  String refusal() {
    int at = handover.indexOf("refused");
    return at < 0 ? "" : handover.substring(at).trim();
  }

  /** What a keeper weighs; null where it did not say. */
  SupervisorStateMachine.Figures figures() {
    return classes.isEmpty()
        ? null
        : new SupervisorStateMachine.Figures(
            classes.stream().mapToLong(Answers::served).sum(),
            classes.stream().mapToLong(Answers::rejected).sum(),
            classes.stream().mapToLong(Answers::failed).sum());
  }
}
