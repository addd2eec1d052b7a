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
  synchronized void tell(long epoch, int stage, String what, String box, String why) {
    if (!json) {
      out.println(
          LocalTime.now(ZoneId.systemDefault()).truncatedTo(ChronoUnit.SECONDS)
              + "  epoch "
              + epoch
              + " stage "
              + stage
              + "  "
              + what
              + (box.isEmpty() ? "" : " " + box)
              + (why.isEmpty() ? "" : ": " + why));
    } else {
      Map<String, Object> all = new LinkedHashMap<>();
      all.put("at", SteadyWallClock.wallMillis());
      all.put("epoch", epoch);
      all.put("stage", stage);
      all.put("what", what);
      if (!box.isEmpty()) {
        all.put("box", box);
      }
      if (!why.isEmpty()) {
        all.put("why", why);
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
