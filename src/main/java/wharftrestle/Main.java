package wharftrestle;

import java.util.List;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import wharftrestle.cli.AdapterCommand;
import wharftrestle.cli.ConsoleCommand;
import wharftrestle.cli.ResultsCommand;
import wharftrestle.cli.ServeCommand;
import wharftrestle.cli.SettingsCommand;
import wharftrestle.cli.TrainingRunCommand;
import wharftrestle.cli.VersionCommand;
import wharftrestle.config.DaemonConfig;
import wharftrestle.rollout.controller.RolloutCommand;
import wharftrestle.settings.BadSettingsException;
import wharftrestle.supervisor.SupervisorCommand;
import wharftrestle.testbed.TestbedCommand;

/**
 * The command line: registers the commands and maps their errors to exit codes. A usage error or an
 * invalid configuration is reported as one line on standard error with exit code 2.
 */
@Command(
    name = "wharftrestle",
    mixinStandardHelpOptions = true,
    description = "Admission and overload control for one script server",
    subcommands = {
      ServeCommand.class,
      AdapterCommand.class,
      ConsoleCommand.class,
      TrainingRunCommand.class,
      VersionCommand.class
    })
public final class Main implements Runnable {
  private static final int USAGE_ERROR = 2;

  /** Commands that start without the cost of registering the operators' commands. */
  private static final List<String> DAEMON_COMMANDS = List.of("serve", "adapter", "rehearse");

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private Main() {}

  /** Runs a command and exits with its code. */
  public static void main(String[] args) {
    CommandLine commandLine = new CommandLine(new Main());
    if (args.length == 0 || !DAEMON_COMMANDS.contains(args[0])) {
      addOperatorCommands(commandLine);
    }
    commandLine.setParameterExceptionHandler((e, arguments) -> reportUsageError(e.getMessage()));
    commandLine.setExecutionExceptionHandler((e, command, parsed) -> onException(e));
    System.exit(execute(commandLine, args));
  }

  private static int execute(CommandLine commandLine, String... args) {
    try {
      return commandLine.execute(args);
    } catch (OutOfMemoryError e) {
      System.err.println("wharftrestle: out of memory: " + e.getMessage());
      return CommandLine.ExitCode.SOFTWARE;
    }
  }

  private static void addOperatorCommands(CommandLine commandLine) {
    commandLine
        .addSubcommand(new SettingsCommand())
        .addSubcommand(new ResultsCommand())
        .addSubcommand(new SupervisorCommand())
        .addSubcommand(new RolloutCommand())
        .addSubcommand(new TestbedCommand());
  }

  private static int onException(Exception e) throws Exception {
    if (e instanceof DaemonConfig.BadConfigException || e instanceof BadSettingsException) {
      return reportUsageError(e.getMessage());
    }
    throw e;
  }

  private static int reportUsageError(String message) {
    System.err.println("wharftrestle: " + message.lines().findFirst().orElse("usage error"));
    return USAGE_ERROR;
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(),
        "name a command: serve, console, settings, results, box, fleet, lab, adapter or version");
  }
}
