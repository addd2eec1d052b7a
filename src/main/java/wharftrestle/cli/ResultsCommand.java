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

/** Reads or compacts a directory of stored results while no daemon has it open. */
@Command(
    name = "results",
    description = "read or compact a directory of stored results that no daemon has open",
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

  /** A command on the directory of an option or of the operators' settings. */
  abstract static class DirectoryCommand implements Callable<Integer> {
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;

    @Option(names = "--dir", paramLabel = "DIR", description = "directory of stored results")
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
      try (ResultLogTool results = new ResultLogTool(resolveDirectory())) {
        return run(results) ? SUCCESS : FAILURE;
      } catch (UnusableStorageException e) {
        throw new DaemonConfig.BadConfigException(e.getMessage());
      }
    }

    private Path resolveDirectory() throws Exception {
      if (directory != null) {
        return directory;
      }
      DaemonConfig.Durable durable =
          appliance == null ? null : Settings.read(appliance).appliance().durable();
      if (durable == null) {
        throw new DaemonConfig.BadConfigException(
            "no directory of stored results: expected --dir DIR, or --appliance FILE with durable");
      }
      return durable.folder();
    }
  }

  /** Lists keys. */
  @Command(name = "ls", description = "list keys, one per line")
  static final class Ls extends DirectoryCommand {
    @Option(names = "--all", description = "include expired keys")
    private boolean includesExpired;

    @Override
    boolean run(ResultLogTool results) throws IOException {
      results.list(System.out, includesExpired);
      return true;
    }
  }

  /** Shows one key. */
  @Command(name = "show", description = "show what is stored about one key")
  static final class Show extends DirectoryCommand {
    @Parameters(paramLabel = "KEY")
    private String key;

    @Override
    boolean run(ResultLogTool results) throws IOException {
      boolean isKnown = results.show(System.out, key);
      if (!isKnown) {
        System.err.println("wharftrestle: no record of key " + key);
      }
      return isKnown;
    }
  }

  /** Reads and verifies all files. */
  @Command(name = "verify", description = "read all files; exit code 1 if records are lost")
  static final class Verify extends DirectoryCommand {
    @Override
    boolean run(ResultLogTool results) throws IOException {
      return results.verify(System.out);
    }
  }

  /** Rewrites the live records into as few files as possible. */
  @Command(name = "compact", description = "rewrite the live records into as few files as possible")
  static final class Compact extends DirectoryCommand {
    @Override
    boolean run(ResultLogTool results) throws IOException {
      results.compact(System.out);
      return true;
    }
  }

  /** Writes all keys as JSON lines. */
  @Command(name = "export", description = "print all keys that have not expired")
  static final class Export extends DirectoryCommand {
    // Set by picocli. The only export format has to be selected explicitly.
    @SuppressWarnings("UnusedVariable")
    @Option(names = "--json", required = true, description = "one JSON object per line")
    private boolean json;

    @Override
    boolean run(ResultLogTool results) throws IOException {
      results.export(System.out);
      return true;
    }
  }
}
