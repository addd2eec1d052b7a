package wharftrestle.rollout.controller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.time.LocalTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;
import java.util.LinkedHashMap;
import java.util.Map;
import wharftrestle.time.SteadyWallClock;

/**
 * Writes a controller's events, one per line, as text for operators or as JSON objects with
 * published names. Each event has the epoch and the stage. Thread-safe.
 */
final class RolloutEventLog {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final PrintStream out;
  private final boolean json;

  /** Writes JSON objects if {@code json}, text otherwise. */
  RolloutEventLog(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  /**
   * Writes one event.
   *
   * @param stage from 1
   * @param host empty if the event concerns no host
   * @param reason empty for none
   */
  synchronized void log(long epoch, int stage, String event, String host, String reason) {
    out.println(
        json
            ? jsonLine(epoch, stage, event, host, reason)
            : textLine(epoch, stage, event, host, reason));
    out.flush();
  }

  private static String textLine(long epoch, int stage, String event, String host, String reason) {
    return LocalTime.now(ZoneId.systemDefault()).truncatedTo(ChronoUnit.SECONDS)
        + "  epoch "
        + epoch
        + " stage "
        + stage
        + "  "
        + event
        + (host.isEmpty() ? "" : " " + host)
        + (reason.isEmpty() ? "" : ": " + reason);
  }

  private static String jsonLine(long epoch, int stage, String event, String host, String reason) {
    Map<String, Object> line = new LinkedHashMap<>();
    line.put("at", SteadyWallClock.wallMillis());
    line.put("epoch", epoch);
    line.put("stage", stage);
    line.put("what", event);
    if (!host.isEmpty()) {
      line.put("box", host);
    }
    if (!reason.isEmpty()) {
      line.put("why", reason);
    }
    try {
      return JSON.writeValueAsString(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("event cannot be written as JSON: " + line, e);
    }
  }
}
