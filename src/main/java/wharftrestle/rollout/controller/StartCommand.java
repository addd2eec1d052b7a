package wharftrestle.rollout.controller;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.config.DaemonConfig;

/** {@code fleet roll start}: carries out or resumes a plan's rollout in the foreground. */
@Command(
    name = "start",
    description = {
      "carry out a plan in the foreground, or resume it if it is in progress",
      "exit: 0 completed, 1 rolled back, aborted, stopped or refused, 2 invalid usage,"
          + " 3 another controller holds the lease"
    })
final class StartCommand implements Callable<Integer> {
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

  @Parameters(paramLabel = "FILE")
  private Path file;

  @Option(
      names = "--dir",
      paramLabel = "DIR",
      required = true,
      description = "directory of the controller, with its journal")
  private Path directory;

  @Option(
      names = "--driver",
      paramLabel = "NAME",
      description = "unique name of the controller; default: generated")
  private String name;

  @Option(names = "--take-over", description = "replace a controller that is alive")
  private boolean takesOver;

  @Option(names = "--json", description = "print one JSON object per event")
  private boolean json;

  @Override
  @SuppressWarnings("ClosingStandardOutputStreams") // the controller closes only what it opened
  public Integer call() throws Exception {
    PlanScript script = PlanScript.read(file);
    if (name != null && !name.matches(NAME_PATTERN)) {
      throw new DaemonConfig.BadConfigException(
          "--driver: expected 1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or"
              + " digit, got '"
              + name
              + "'");
    }
    RolloutEventLog events = new RolloutEventLog(System.out, json);
    try (RolloutController controller =
        new RolloutController(
            directory.toAbsolutePath(), script, name == null ? generatedName() : name, events)) {
      Runtime.getRuntime().addShutdownHook(new Thread(controller::stop));
      controller.check(takesOver);
      return exitCode(controller.run());
    } catch (RolloutRefusedException e) {
      System.err.println("wharftrestle: " + e.getMessage());
      return RolloutCommand.EXIT_ROLLED_BACK;
    }
  }

  private static String generatedName() {
    return "driver-"
        + ProcessHandle.current().pid()
        + "-"
        + Long.toHexString(System.nanoTime() & 0xffffff);
  }

  private static int exitCode(RolloutController.Outcome outcome) {
    return switch (outcome) {
      case COMPLETED -> RolloutCommand.EXIT_COMPLETED;
      case FENCED -> RolloutCommand.EXIT_FENCED;
      default -> RolloutCommand.EXIT_ROLLED_BACK;
    };
  }
}
