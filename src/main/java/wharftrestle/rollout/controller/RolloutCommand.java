package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.config.DaemonConfig;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.supervisor.CommandSocket;
import wharftrestle.supervisor.JsonLineJournal;

/** The command line of a fleet. */
@Command(
    name = "fleet",
    description = "change a fleet of boxes in stages",
    subcommands = {RolloutCommand.PlanCommand.class, RolloutCommand.RollCommand.class})
public final class RolloutCommand implements Runnable {
  /** The change arrived everywhere. */
  static final int EXIT_COMPLETED = 0;

  /** It was taken back or ended, or an order was not obeyed. */
  static final int EXIT_ROLLED_BACK = 1;

  /** Another driver steers. */
  static final int EXIT_FENCED = 3;

  /** It waits for an operator. */
  static final int EXIT_HELD = 4;

  /** It is under way. */
  static final int EXIT_UNDER_WAY = 5;

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: fleet plan or fleet roll");
  }

  /** Shows a plan. */
  @Command(
      name = "plan",
      description = "which box goes when and why, and what cannot be met; nothing is started")
  static final class PlanCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "such as docs/examples/roll.star")
    private Path file;

    @Option(
        names = "--window",
        paramLabel = "SECONDS",
        description = "the longest window of keys, for a warning",
        defaultValue = "24")
    private double window;

    @Option(names = "--json", description = "one JSON object")
    private boolean json;

    @Override
    public Integer call() throws Exception {
      PlanScript script = PlanScript.read(file);
      RolloutPlan.Schedule order = script.plan().schedule();
      List<String> warnings = script.warnings(window);
      if (json) {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("to", script.plan().targetRelease());
        all.put(
            "turns",
            order.changes().stream()
                .map(
                    turn ->
                        Map.of(
                            "stage",
                            turn.stage() + 1,
                            "round",
                            turn.round() + 1,
                            "box",
                            turn.host().name(),
                            "zone",
                            turn.host().zone(),
                            "why",
                            turn.reason()))
                .toList());
        all.put("unmet", order.unmet());
        all.put("warnings", warnings);
        System.out.println(new ObjectMapper().writeValueAsString(all));
        return order.unmet().isEmpty() ? EXIT_COMPLETED : EXIT_ROLLED_BACK;
      }
      System.out.printf(
          Locale.ROOT, "%-6s %-6s %-16s %-12s %s%n", "stage", "round", "box", "zone", "why");
      for (RolloutPlan.ScheduledChange turn : order.changes()) {
        System.out.printf(
            Locale.ROOT,
            "%-6d %-6d %-16s %-12s %s%n",
            turn.stage() + 1,
            turn.round() + 1,
            turn.host().name(),
            turn.host().zone(),
            turn.reason());
      }
      order.unmet().forEach(each -> System.out.println("not met: " + each));
      warnings.forEach(each -> System.out.println("look at: " + each));
      return order.unmet().isEmpty() ? EXIT_COMPLETED : EXIT_ROLLED_BACK;
    }
  }

  /** The change itself. */
  @Command(
      name = "roll",
      description = "drive a rolling change, and steer the one that is under way",
      subcommands = {
        StartCommand.class,
        StatusCommand.class,
        PauseCommand.class,
        GoCommand.class,
        BackCommand.class,
        AbortCommand.class,
        BrokenCommand.class
      })
  static final class RollCommand implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(
          spec.commandLine(),
          "name a command: fleet roll start, status, pause, go, back, abort or broken");
    }
  }

  /** Drives it. */
  @Command(
      name = "start",
      description = {
        "drive the change of a plan, in the foreground; where it is under way, go on",
        "exit: 0 it arrived, 1 taken back or ended or refused, 2 bad use, 3 another driver steers"
      })
  static final class StartCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Option(
        names = "--dir",
        paramLabel = "DIR",
        required = true,
        description = "the driver's own folder, with its journal")
    private Path folder;

    @Option(
        names = "--driver",
        paramLabel = "NAME",
        description = "that no other driver has; default: drawn anew")
    private String name;

    @Option(names = "--take-over", description = "go on in place of a driver that is alive")
    private boolean takeOver;

    @Option(names = "--json", description = "a JSON object an event")
    private boolean json;

    @Override
    @SuppressWarnings("ClosingStandardOutputStreams") // a driver closes its own
    public Integer call() throws Exception {
      PlanScript script = PlanScript.read(file);
      if (name != null && !name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")) {
        throw new DaemonConfig.BadConfigException(
            "--driver is a name of letters, digits, '.', '_' and '-', not '" + name + "'");
      }
      String mine =
          name != null
              ? name
              : "driver-"
                  + ProcessHandle.current().pid()
                  + "-"
                  + Long.toHexString(System.nanoTime() & 0xffffff);
      try (RolloutController driver =
          new RolloutController(
              folder.toAbsolutePath(), script, mine, new RolloutEventLog(System.out, json))) {
        Runtime.getRuntime().addShutdownHook(new Thread(driver::stop));
        driver.check(takeOver);
        return switch (driver.run()) {
          case COMPLETED -> EXIT_COMPLETED;
          case FENCED -> EXIT_FENCED;
          default -> EXIT_ROLLED_BACK;
        };
      } catch (RolloutController.RefusedException e) {
        System.err.println("wharftrestle: " + e.getMessage());
        return EXIT_ROLLED_BACK;
      }
    }
  }

  /** What sends one order to the driver. */
  abstract static class OrderCommand implements Callable<Integer> {
    @Option(
        names = "--dir",
        paramLabel = "DIR",
        required = true,
        description = "the driver's own folder")
    private Path folder;

    Path folder() {
      return folder.toAbsolutePath();
    }

    abstract String order();

    @Override
    public Integer call() throws Exception {
      String answer = CommandSocket.order(folder().resolve(RolloutController.SOCKET_FILE), order());
      if (answer == null) {
        System.err.println("wharftrestle: no driver answers in " + folder);
        return EXIT_ROLLED_BACK;
      }
      boolean obeyed = answer.startsWith("ok ");
      (obeyed ? System.out : System.err)
          .println((obeyed ? "" : "wharftrestle: ") + answer.substring(3));
      return obeyed ? EXIT_COMPLETED : EXIT_ROLLED_BACK;
    }
  }

  /** Begins nothing more. */
  @Command(name = "pause", description = "begin nothing more; what is going on ends")
  static final class PauseCommand extends OrderCommand {
    @Override
    String order() {
      return "pause";
    }
  }

  /** Goes on. */
  @Command(name = "go", description = "go on from a pause, or with a change that is held")
  static final class GoCommand extends OrderCommand {
    @Override
    String order() {
      return "go";
    }
  }

  /** Takes it back. */
  @Command(name = "back", description = "take all changed boxes back, newest first")
  static final class BackCommand extends OrderCommand {
    @Override
    String order() {
      return "back";
    }
  }

  /** Tells of a broken rule. */
  @Command(
      name = "broken",
      description = "a rule was broken at a box by the new release: the stage is worse at once")
  static final class BrokenCommand extends OrderCommand {
    @Parameters(paramLabel = "BOX", index = "0")
    private String box;

    @Parameters(paramLabel = "WHAT", index = "1", description = "such as \"a key ran twice\"")
    private String what;

    @Override
    String order() {
      return "broken " + box + " " + what.replaceAll("\\s+", " ");
    }
  }

  /** Ends it. */
  @Command(name = "abort", description = "end the change and leave every box as it is")
  static final class AbortCommand extends OrderCommand {
    @Override
    String order() {
      return "abort";
    }
  }

  /** Shows it. */
  @Command(
      name = "status",
      description = {
        "how the change is; from the journal where no driver runs",
        "exit: 0 it arrived, 1 taken back or ended, 4 it waits for an operator, 5 under way"
      })
  static final class StatusCommand extends OrderCommand {
    @Option(names = "--json", description = "one JSON object")
    private boolean json;

    @Option(names = "--follow", description = "a live table, until the change is over")
    private boolean follow;

    @Override
    String order() {
      return "status";
    }

    @Override
    public Integer call() throws Exception {
      for (; ; ) {
        String answer =
            CommandSocket.order(folder().resolve(RolloutController.SOCKET_FILE), "status");
        JsonNode now =
            answer == null ? journal() : new ObjectMapper().readTree(answer.substring(3));
        if (now == null) {
          System.err.println(
              "wharftrestle: no driver answers in " + folder() + ", and it has no journal");
          return EXIT_ROLLED_BACK;
        }
        if (follow && !json) {
          System.out.print("\033[H\033[2J");
        }
        System.out.println(json ? now.toString() : table(now, answer != null));
        System.out.flush();
        int code = code(now.path("state").asText());
        if (!follow || code == EXIT_COMPLETED || code == EXIT_ROLLED_BACK || answer == null) {
          return code;
        }
        TimeUnit.SECONDS.sleep(1);
      }
    }

    private static int code(String state) {
      return switch (state) {
        case "done" -> EXIT_COMPLETED;
        case "undone", "aborted" -> EXIT_ROLLED_BACK;
        case "held", "paused" -> EXIT_HELD;
        default -> EXIT_UNDER_WAY;
      };
    }

    private JsonNode journal() throws IOException {
      Path file = folder().resolve(RolloutController.JOURNAL_FILE);
      if (!Files.exists(file)) {
        return null;
      }
      List<RolloutController.JournalEntry> lines =
          JsonLineJournal.read(file, RolloutController.JournalEntry.class);
      if (lines.isEmpty()) {
        return null;
      }
      RolloutController.JournalEntry last = lines.get(lines.size() - 1);
      Map<String, Object> all = new LinkedHashMap<>();
      all.put("plan", last.planDigest().substring(0, 12));
      all.put("state", last.rollout().state().publishedName());
      all.put("why", last.rollout().reason());
      all.put("stage", last.rollout().stage() + 1);
      all.put("epoch", last.epoch());
      all.put("driver", last.controller());
      return new ObjectMapper().valueToTree(all);
    }

    private static String table(JsonNode now, boolean live) {
      String why = now.path("why").asText().isEmpty() ? "" : ", " + now.path("why").asText();
      if (!live) {
        return String.format(
            Locale.ROOT,
            "change of plan %s: %s%s%nstage %d, epoch %d by %s; no driver runs, this is its "
                + "journal",
            now.path("plan").asText(),
            now.path("state").asText(),
            why,
            now.path("stage").asInt(),
            now.path("epoch").asLong(),
            now.path("driver").asText());
      }
      StringBuilder text = new StringBuilder();
      text.append(
          String.format(
              Locale.ROOT,
              "change to %s: %s%s%nstage %d of %d, epoch %d by %s (%s)%nverdict %s: %s%n",
              now.path("to").asText(),
              now.path("state").asText(),
              why,
              now.path("stage").asInt(),
              now.path("stages").asInt(),
              now.path("epoch").asLong(),
              now.path("driver").asText(),
              now.path("steering").asText(),
              now.path("verdict").asText(),
              now.path("verdictWhy").asText()));
      text.append(
          String.format(
              Locale.ROOT,
              "%n%-16s %-10s %-16s %-10s %-10s %s%n",
              "box",
              "zone",
              "acts as",
              "keeper",
              "contact",
              "note"));
      for (JsonNode box : now.path("boxes")) {
        String note = box.path("failed").asText();
        note =
            note.isEmpty()
                    && !box.path("contact").asText().equals("heard")
                    && !box.path("witness").asText().isEmpty()
                ? box.path("witness").asText() + " heard of it"
                : note;
        text.append(
            String.format(
                Locale.ROOT,
                "%-16s %-10s %-16s %-10s %-10s %s%n",
                box.path("box").asText(),
                box.path("zone").asText(),
                box.path("acts").asText(),
                box.path("state").asText(),
                box.path("contact").asText(),
                note));
      }
      text.append(
          String.format(
              Locale.ROOT,
              "%n%-9s %-14s %9s %9s %9s %9s %8s%n",
              "measure",
              "of",
              "loss",
              "from",
              "to",
              "limit",
              "windows"));
      for (JsonNode each : now.path("measures")) {
        text.append(
            String.format(
                Locale.ROOT,
                "%-9s %-14s %9s %9s %9s %9s %8d%n",
                each.path("measure").asText(),
                each.path("about").asText(),
                shown(each.path("loss")),
                shown(each.path("least")),
                shown(each.path("most")),
                shown(each.path("limit")),
                each.path("windows").asLong()));
      }
      return text.toString();
    }

    private static String shown(JsonNode value) {
      return value.isNumber() ? String.format(Locale.ROOT, "%.4f", value.asDouble()) : "-";
    }
  }
}
