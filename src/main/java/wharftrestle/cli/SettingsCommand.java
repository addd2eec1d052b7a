package wharftrestle.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import wharftrestle.settings.Settings;

/** Checks and shows the operators' settings. */
@Command(
    name = "settings",
    description = "check the operators' settings, or show them",
    subcommands = {SettingsCommand.Check.class, SettingsCommand.Show.class})
public final class SettingsCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: settings check, settings show");
  }

  /** Reports whether a settings script is valid. */
  @Command(name = "check", description = "check whether a settings script is valid")
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() throws Exception {
      Settings.read(file);
      System.out.println(file + ": can be used");
      return 0;
    }
  }

  /** Shows the effective values. */
  @Command(name = "show", description = "show the effective values with their origin")
  static final class Show implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", arity = "0..1")
    private Path file;

    @Override
    public Integer call() throws Exception {
      Settings settings = file == null ? Settings.none() : Settings.read(file);
      System.out.print(settings.table());
      return 0;
    }
  }
}
