package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharftrestle.supervisor.JsonLineJournal;

/** {@code fleet roll status}: queries the controller, or reads its journal if none is running. */
@Command(
    name = "status",
    description = {
      "show the state of the rollout; from the journal if no controller is running",
      "exit: 0 completed, 1 rolled back or aborted, 4 waits for an operator, 5 in progress"
    })
final class StatusCommand extends OperatorCommand {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String CLEAR_SCREEN = "\033[H\033[2J";

  @Option(names = "--json", description = "one JSON object")
  private boolean json;

  @Option(names = "--follow", description = "show a live table until the rollout ends")
  private boolean follow;

  @Override
  public Integer call() throws Exception {
    for (; ; ) {
      String answer = send();
      boolean isLive = answer != null;
      JsonNode status = isLive ? JSON.readTree(text(answer)) : fromJournal();
      if (status == null) {
        System.err.println(
            "wharftrestle: no controller answers in " + directory() + ", and it has no journal");
        return RolloutCommand.EXIT_ROLLED_BACK;
      }
      print(status, isLive);
      int code = exitCode(status.path("state").asText());
      boolean isOver =
          code == RolloutCommand.EXIT_COMPLETED || code == RolloutCommand.EXIT_ROLLED_BACK;
      if (!follow || isOver || !isLive) {
        return code;
      }
      TimeUnit.SECONDS.sleep(1);
    }
  }

  private void print(JsonNode status, boolean isLive) {
    if (follow && !json) {
      System.out.print(CLEAR_SCREEN);
    }
    if (json) {
      System.out.println(status);
    } else {
      System.out.println(isLive ? StatusTable.live(status) : StatusTable.ofJournal(status));
    }
    System.out.flush();
  }

  private static int exitCode(String state) {
    return switch (state) {
      case "done" -> RolloutCommand.EXIT_COMPLETED;
      case "undone", "aborted" -> RolloutCommand.EXIT_ROLLED_BACK;
      case "held", "paused" -> RolloutCommand.EXIT_HELD;
      default -> RolloutCommand.EXIT_UNDER_WAY;
    };
  }

  /** The status from the last entry of the journal; null if there is none. */
  private JsonNode fromJournal() throws IOException {
    Path file = directory().resolve(ControllerDirectory.JOURNAL_FILE);
    if (!Files.exists(file)) {
      return null;
    }
    List<JournalEntry> entries = JsonLineJournal.read(file, JournalEntry.class);
    if (entries.isEmpty()) {
      return null;
    }
    JournalEntry last = entries.get(entries.size() - 1);
    Map<String, Object> status = new LinkedHashMap<>();
    status.put("plan", ControllerDirectory.shortDigest(last.planDigest()));
    status.put("state", last.rollout().state().publishedName());
    status.put("why", last.rollout().reason());
    status.put("stage", last.rollout().stage() + 1);
    status.put("epoch", last.epoch());
    status.put("driver", last.controller());
    return JSON.valueToTree(status);
  }
}
