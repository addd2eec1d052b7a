package wharftrestle;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharftrestle.admin.AdminConsole;
import wharftrestle.admission.AdmissionController;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.ClassDataTrainingRun;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.daemon.SignalHandlers;
import wharftrestle.rollout.controller.RolloutCommand;
import wharftrestle.settings.BadSettingsException;
import wharftrestle.settings.Settings;
import wharftrestle.simulator.SimulatorAdapter;
import wharftrestle.storage.ResultLogTool;
import wharftrestle.storage.UnusableStorageException;
import wharftrestle.supervisor.SupervisorCommand;
import wharftrestle.testbed.TestbedCommand;
import wharftrestle.version.BuildInfo;

/**
 * The command line. It owns arguments, exit codes and signals, and hands over to the part named;
 * bad arguments or configuration are one plain line on standard error and exit code 2.
 */
@Command(
    name = "wharftrestle",
    mixinStandardHelpOptions = true,
    description = "Admission and overload control for one script server",
    subcommands = {
      Main.Serve.class,
      Main.Adapter.class,
      Main.Attach.class,
      Main.Rehearse.class,
      Main.Version.class
    })
public final class Main implements Runnable {
  private static final int BAD_USE = 2;

  /** Commands of a daemon and of the bench. */
  private static final List<String> AT_WORK = List.of("serve", "adapter", "rehearse");

  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  private Main() {}

  public static void main(String[] args) {
    CommandLine line = new CommandLine(new Main());
    if (args.length == 0 || !AT_WORK.contains(args[0])) {
      // The daemon's start pays for every command that picocli is told of: operators' tools are
      // left out there.
      line.addSubcommand(new SettingsOf())
          .addSubcommand(new Results())
          .addSubcommand(new SupervisorCommand())
          .addSubcommand(new RolloutCommand())
          .addSubcommand(new TestbedCommand());
    }
    line.setParameterExceptionHandler((e, given) -> complain(e.getMessage()));
    line.setExecutionExceptionHandler(
        (e, command, parsed) -> {
          if (e instanceof DaemonConfig.BadConfigException || e instanceof BadSettingsException) {
            return complain(e.getMessage());
          }
          throw e;
        });
    System.exit(line.execute(args));
  }

  private static int complain(String message) {
    System.err.println("wharftrestle: " + message.lines().findFirst().orElse("bad use"));
    return BAD_USE;
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(),
        "name a command: serve, console, settings, results, box, fleet, lab, adapter or version");
  }

  /** The daemon. */
  @Command(name = "serve", description = "serve the platform's front ends, in the foreground")
  static final class Serve implements Callable<Integer> {
    @Option(
        names = "--appliance",
        paramLabel = "FILE",
        description =
            "the operators' settings, such as deploy/appliance.star; without it all they set is off")
    private Path appliance;

    @Override
    public Integer call() throws Exception {
      DaemonConfig config = DaemonConfig.read(System.getenv());
      // The platform names no script: nothing of the settings' language is loaded there.
      DaemonConfig.Appliance extras =
          appliance == null ? DaemonConfig.Appliance.none() : Settings.read(appliance).appliance();
      SignalHandlers signals = new SignalHandlers(() -> DaemonConfig.read(System.getenv()));
      Lifecycle life;
      try {
        life = new Lifecycle(config, extras);
      } catch (UnusableStorageException e) {
        throw new DaemonConfig.BadConfigException("durable: " + e.getMessage());
      } catch (IOException e) {
        throw new DaemonConfig.BadConfigException("cannot listen: " + e.getMessage());
      }
      signals.attach(life).watch(System.getenv("EDGE_CONFIG"));
      life.start();
      life.serveUntilStopped();
      Logger.info("counters at exit:\n{}", life.counters().table());
      ProviderRegistry.getLoggingProvider().shutdown();
      return 0;
    }
  }

  /** The same decisions on the simulator's wire. */
  @Command(
      name = "adapter",
      description = "decide on the simulator's wire, on standard input and output")
  static final class Adapter implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      new SimulatorAdapter(AdmissionController::new).serve(System.in, System.out);
      return 0;
    }
  }

  /** The operator's terminal. */
  @Command(
      name = "console",
      description =
          "call a running daemon: ready, vars, lameduck on, lameduck off, status, version, results, "
              + "counters, drain")
  static final class Attach implements Callable<Integer> {
    @Option(
        names = "--at",
        description =
            "the daemon's console address; default: $EDGE_CONSOLE, else control in --appliance")
    private String at;

    @Option(
        names = "--appliance",
        paramLabel = "FILE",
        description = "the operators' settings, for control.listen")
    private Path appliance;

    @CommandLine.Parameters(
        arity = "0..2",
        paramLabel = "COMMAND",
        description = "one command to send; without it the console asks for commands")
    private String[] command;

    @Override
    public Integer call() throws Exception {
      String told = at != null ? at : System.getenv().getOrDefault("EDGE_CONSOLE", "");
      InetSocketAddress address =
          !told.isBlank()
              ? DaemonConfig.address("console", told)
              : appliance == null ? null : Settings.read(appliance).appliance().control();
      if (address == null) {
        throw new DaemonConfig.BadConfigException(
            "say where to attach: --at HOST:PORT, or --appliance FILE with control");
      }
      return new AdminConsole(System.in, System.out, System.err)
          .attach(address, command == null ? null : String.join(" ", command));
    }
  }

  /** One request without a worker pool; the build has the JVM archive what it loads for that. */
  @Command(
      name = "rehearse",
      description = "load what a daemon needs and end; the build makes its archive so")
  static final class Rehearse implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
      ClassDataTrainingRun.run();
      return 0;
    }
  }

  /** The operators' settings. */
  @Command(
      name = "settings",
      description = "check the operators' settings, or show them",
      subcommands = {SettingsOf.Check.class, SettingsOf.Show.class})
  static final class SettingsOf implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "name a command: settings check, settings show");
    }

    /** Says whether a file can be used. */
    @Command(name = "check", description = "read a settings script and say whether it can be used")
    static final class Check implements Callable<Integer> {
      @CommandLine.Parameters(paramLabel = "FILE")
      private Path file;

      @Override
      public Integer call() throws Exception {
        Settings.read(file);
        System.out.println(file + ": can be used");
        return 0;
      }
    }

    /** Shows what holds. */
    @Command(name = "show", description = "the effective values with their origin")
    static final class Show implements Callable<Integer> {
      @CommandLine.Parameters(paramLabel = "FILE", arity = "0..1")
      private Path file;

      @Override
      public Integer call() throws Exception {
        System.out.print((file == null ? Settings.none() : Settings.read(file)).table());
        return 0;
      }
    }
  }

  /** Results kept over restarts, while no daemon has them. */
  @Command(
      name = "results",
      description = "a folder of kept results, while no daemon has it",
      subcommands = {
        Results.Ls.class,
        Results.Show.class,
        Results.Verify.class,
        Results.Compact.class,
        Results.Export.class
      })
  static final class Results implements Runnable {
    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
      throw new CommandLine.ParameterException(
          spec.commandLine(), "name a command: results ls, show, verify, compact or export");
    }

    /** Opens the folder that is named, or that the settings name. */
    abstract static class Folder implements Callable<Integer> {
      @Option(names = "--dir", paramLabel = "DIR", description = "the folder")
      private Path folder;

      @Option(
          names = "--appliance",
          paramLabel = "FILE",
          description = "the operators' settings, for durable.dir")
      private Path appliance;

      abstract boolean act(ResultLogTool results) throws IOException;

      @Override
      public Integer call() throws Exception {
        Path named = folder;
        if (named == null && appliance != null) {
          DaemonConfig.Durable durable = Settings.read(appliance).appliance().durable();
          named = durable == null ? null : durable.folder();
        }
        if (named == null) {
          throw new DaemonConfig.BadConfigException(
              "say which folder: --dir DIR, or --appliance FILE with durable");
        }
        try (ResultLogTool results = new ResultLogTool(named)) {
          return act(results) ? 0 : 1;
        } catch (UnusableStorageException e) {
          throw new DaemonConfig.BadConfigException(e.getMessage());
        }
      }
    }

    /** Lists keys. */
    @Command(name = "ls", description = "a line a key")
    static final class Ls extends Folder {
      @Option(names = "--all", description = "also keys whose time is over")
      private boolean all;

      @Override
      boolean act(ResultLogTool results) throws IOException {
        results.list(System.out, all);
        return true;
      }
    }

    /** Shows one key. */
    @Command(name = "show", description = "all that is known of one key")
    static final class Show extends Folder {
      @CommandLine.Parameters(paramLabel = "KEY")
      private String key;

      @Override
      boolean act(ResultLogTool results) throws IOException {
        boolean found = results.show(System.out, key);
        if (!found) {
          System.err.println("wharftrestle: nothing is known of " + key);
        }
        return found;
      }
    }

    /** Reads every byte. */
    @Command(name = "verify", description = "read every byte; exit 1 where something is lost")
    static final class Verify extends Folder {
      @Override
      boolean act(ResultLogTool results) throws IOException {
        return results.verify(System.out);
      }
    }

    /** Takes less room. */
    @Command(name = "compact", description = "keep what still matters in as few files as hold it")
    static final class Compact extends Folder {
      @Override
      boolean act(ResultLogTool results) throws IOException {
        results.compact(System.out);
        return true;
      }
    }

    /** Writes all. */
    @Command(name = "export", description = "all keys whose time is not over")
    static final class Export extends Folder {
      // picocli sets it: the one form there is must be asked for by name.
      @SuppressWarnings("UnusedVariable")
      @Option(names = "--json", required = true, description = "a JSON object a line")
      private boolean json;

      @Override
      boolean act(ResultLogTool results) throws IOException {
        results.export(System.out);
        return true;
      }
    }
  }

  /** What this is. */
  @Command(name = "version", description = "print the version")
  static final class Version implements Callable<Integer> {
    @Option(
        names = "--json",
        description = "all that a version is, as JSON; the jar is read for its digest")
    private boolean json;

    @Option(
        names = "--appliance",
        paramLabel = "FILE",
        description = "the operators' settings, for their digest")
    private Path appliance;

    @Override
    public Integer call() throws Exception {
      String settings = appliance == null ? null : Settings.read(appliance).table();
      wharftrestle.version.Version version = BuildInfo.describe(settings);
      if (!json) {
        System.out.println("wharftrestle " + version.summaryLine());
        return 0;
      }
      Map<String, Object> all = new LinkedHashMap<>(version.publishedFields());
      Path jar = BuildInfo.jar();
      if (jar != null) {
        String digest = BuildInfo.digest(jar);
        all.put("jar", digest);
        if (!digest.equals(version.jarDigest())) {
          System.err.println("wharftrestle: the jar's digest is not the one beside it");
        }
      }
      System.out.println(new ObjectMapper().writeValueAsString(all));
      return 0;
    }
  }
}
