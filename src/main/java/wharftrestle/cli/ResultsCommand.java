package wharftrestle.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.config.DaemonConfig;
import wharftrestle.settings.Settings;
import wharftrestle.storage.ResultLogTool;
import wharftrestle.storage.UnusableStorageException;

/** Reads and compacts a directory of stored results while no daemon has it open. */
@Command(
    name = "results",
    description = "a folder of kept results, while no daemon has it",
    subcommands = {
      ResultsCommand.Ls.class,
      ResultsCommand.Show.class,
      ResultsCommand.Verify.class,
      ResultsCommand.Compact.class,
      ResultsCommand.Export.class
    })
public final class ResultsCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: results ls, show, verify, compact or export");
  }

  /** A command on the directory that is named, or that the settings name. */
  abstract static class DirectoryCommand implements Callable<Integer> {
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;

    @Option(names = "--dir", paramLabel = "DIR", description = "the folder")
    private Path directory;

    @Option(
        names = "--appliance",
        paramLabel = "FILE",
        description = "the operators' settings, for durable.dir")
    private Path appliance;

    /** Runs the command; false for exit code 1. */
    abstract boolean run(ResultLogTool results) throws IOException;

    @Override
    public Integer call() throws Exception {
      try (ResultLogTool results = new ResultLogTool(namedDirectory())) {
        return run(results) ? SUCCESS : FAILURE;
      } catch (UnusableStorageException e) {
        throw new DaemonConfig.BadConfigException(e.getMessage());
      }
    }

    private Path namedDirectory() throws Exception {
      if (directory != null) {
        return directory;
      }
      DaemonConfig.Durable durable =
          appliance == null ? null : Settings.read(appliance).appliance().durable();
      if (durable == null) {
        throw new DaemonConfig.BadConfigException(
            "say which folder: --dir DIR, or --appliance FILE with durable");
      }
      return durable.folder();
    }
  }

  /** Lists keys. */
  @Command(name = "ls", description = "a line a key")
  static final class Ls extends DirectoryCommand {
    @Option(names = "--all", description = "also keys whose time is over")
    private boolean includesExpired;

    @Override
    boolean run(ResultLogTool results) throws IOException {
      results.list(System.out, includesExpired);
      return true;
    }
  }

  /** Shows one key. */
  @Command(name = "show", description = "all that is known of one key")
  static final class Show extends DirectoryCommand {
    @Parameters(paramLabel = "KEY")
    private String key;

    @Override
    boolean run(ResultLogTool results) throws IOException {
      boolean isKnown = results.show(System.out, key);
      if (!isKnown) {
        System.err.println("wharftrestle: nothing is known of " + key);
      }
      return isKnown;
    }
  }

  /** Reads every byte. */
  @Command(name = "verify", description = "read every byte; exit 1 where something is lost")
  static final class Verify extends DirectoryCommand {
    @Override
    boolean run(ResultLogTool results) throws IOException {
      return results.verify(System.out);
    }
  }

  /** Rewrites what still counts in as few files as hold it. */
  @Command(name = "compact", description = "keep what still matters in as few files as hold it")
  static final class Compact extends DirectoryCommand {
    @Override
    boolean run(ResultLogTool results) throws IOException {
      results.compact(System.out);
      return true;
    }
  }

  /** Writes all keys as JSON lines. */
  @Command(name = "export", description = "all keys whose time is not over")
  static final class Export extends DirectoryCommand {
    // Set by picocli: the one form there is must be asked for by name.
    @SuppressWarnings("UnusedVariable")
    @Option(names = "--json", required = true, description = "a JSON object a line")
    private boolean json;

    @Override
    boolean run(ResultLogTool results) throws IOException {
      results.export(System.out);
      return true;
    }
  }
}
