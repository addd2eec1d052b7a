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
 * What a driver tells: a line an event, for people or as a JSON object; each names the epoch and
 * the stage.
 */
final class RolloutEventLog {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final PrintStream out;
  private final boolean json;

  RolloutEventLog(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  /**
   * @param stage from 1
   */
  synchronized void log(long epoch, int stage, String event, String host, String reason) {
    if (!json) {
      out.println(
          LocalTime.now(ZoneId.systemDefault()).truncatedTo(ChronoUnit.SECONDS)
              + "  epoch "
              + epoch
              + " stage "
              + stage
              + "  "
              + event
              + (host.isEmpty() ? "" : " " + host)
              + (reason.isEmpty() ? "" : ": " + reason));
    } else {
      Map<String, Object> all = new LinkedHashMap<>();
      all.put("at", SteadyWallClock.now());
      all.put("epoch", epoch);
      all.put("stage", stage);
      all.put("what", event);
      if (!host.isEmpty()) {
        all.put("box", host);
      }
      if (!reason.isEmpty()) {
        all.put("why", reason);
      }
      try {
        out.println(JSON.writeValueAsString(all));
      } catch (JsonProcessingException e) {
        throw new IllegalStateException(e);
      }
    }
    out.flush();
  }
}
