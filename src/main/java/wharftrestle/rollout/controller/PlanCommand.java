package wharftrestle.rollout.controller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.rollout.RolloutSchedule;

/** {@code fleet plan}: prints the schedule of a plan without starting a rollout. */
@Command(
    name = "plan",
    description = "show when and why each host is changed, and what cannot be met; starts nothing")
final class PlanCommand implements Callable<Integer> {
  private static final String ROW = "%-6s %-6s %-16s %-12s %s%n";

  @Parameters(paramLabel = "FILE", description = "such as docs/examples/roll.star")
  private Path file;

  @Option(
      names = "--window",
      paramLabel = "SECONDS",
      description = "longest idempotency window of the settings, for a warning",
      defaultValue = "24")
  private double idempotencyWindowSeconds;

  @Option(names = "--json", description = "one JSON object")
  private boolean json;

  @Override
  public Integer call() throws Exception {
    PlanScript script = PlanScript.read(file);
    RolloutSchedule schedule = RolloutSchedule.of(script.plan());
    List<String> warnings = script.warnings(idempotencyWindowSeconds);
    if (json) {
      System.out.println(toJson(script.plan().targetRelease(), schedule, warnings));
    } else {
      print(schedule, warnings);
    }
    return schedule.unmet().isEmpty()
        ? RolloutCommand.EXIT_COMPLETED
        : RolloutCommand.EXIT_ROLLED_BACK;
  }

  private static String toJson(
      String targetRelease, RolloutSchedule schedule, List<String> warnings)
      throws JsonProcessingException {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("to", targetRelease);
    all.put("turns", schedule.changes().stream().map(PlanCommand::published).toList());
    all.put("unmet", schedule.unmet());
    all.put("warnings", warnings);
    return new ObjectMapper().writeValueAsString(all);
  }

  private static Map<String, Object> published(RolloutSchedule.Change change) {
    return Map.of(
        "stage", change.stage() + 1,
        "round", change.round() + 1,
        "box", change.host().name(),
        "zone", change.host().zone(),
        "why", change.reason());
  }

  private static void print(RolloutSchedule schedule, List<String> warnings) {
    System.out.printf(Locale.ROOT, ROW, "stage", "round", "host", "zone", "why");
    for (RolloutSchedule.Change change : schedule.changes()) {
      System.out.printf(
          Locale.ROOT,
          ROW,
          change.stage() + 1,
          change.round() + 1,
          change.host().name(),
          change.host().zone(),
          change.reason());
    }
    schedule.unmet().forEach(each -> System.out.println("not met: " + each));
    warnings.forEach(each -> System.out.println("warning: " + each));
  }
}
