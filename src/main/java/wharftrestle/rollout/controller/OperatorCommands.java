package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import wharftrestle.rollout.RolloutPlan;

/**
 * Executes the commands that operators send to the controller's socket, one per line, and formats
 * the answers: "ok ..." or "no ...". Called in a thread for each command. A command is executed and
 * its answer formatted while the lock of {@link RolloutExecution} is held.
 */
final class OperatorCommands {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final RolloutPlan plan;
  private final RolloutExecution execution;

  OperatorCommands(RolloutPlan plan, RolloutExecution execution) {
    this.plan = plan;
    this.execution = execution;
  }

  /** Executes a command and returns the answer as one line. */
  String execute(String command) {
    synchronized (execution) {
      try {
        return executeLocked(command);
      } catch (IOException e) {
        return "no the journal cannot be written: " + e.getMessage();
      }
    }
  }

  private String executeLocked(String command) throws IOException {
    double now = MonotonicClock.seconds();
    String[] words = command.split(" ", 3);
    switch (words[0]) {
      case "status" -> {
        return "ok " + JSON.writeValueAsString(execution.status(now));
      }
      case "broken" -> {
        if (!execution.isComparing()) {
          return "no nothing is watched yet";
        }
        if (words.length < 3 || !plan.hasHost(words[1])) {
          return "no name a box of the plan, and what it broke";
        }
        execution.reportViolation(words[1], words[2]);
      }
      case "pause" -> execution.pause(now);
      case "go" -> execution.resume(now);
      case "back" -> execution.rollBack("an operator asked for it", now);
      case "abort" -> execution.abort(now);
      default -> {
        return "no such order: " + command;
      }
    }
    String reason = execution.reason();
    return "ok the change is "
        + execution.state().publishedName()
        + (reason.isEmpty() ? "" : ": " + reason);
  }
}
