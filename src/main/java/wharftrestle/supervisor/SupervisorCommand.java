package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.config.DaemonConfig;
import wharftrestle.settings.Settings;

/**
 * The command line of the supervisor of a host. A command that is rejected prints one line to
 * standard error and exits with code 1.
 */
@Command(
    name = "box",
    description = "supervise one host: start its daemon, change its release, roll it back",
    subcommands = {
      SupervisorCommand.Run.class,
      SupervisorCommand.Change.class,
      SupervisorCommand.Back.class,
      SupervisorCommand.Status.class,
      SupervisorCommand.Pack.class,
      SupervisorCommand.Releases.class
    })
public final class SupervisorCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: box run, change, back, status, pack or releases");
  }

  /** Supervises a host until the process is stopped; the daemons continue to run. */
  @Command(
      name = "run",
      description =
          "supervise this host in the foreground; TERM ends the supervisor and not its daemon")
  static final class Run implements Callable<Integer> {
    @Option(
        names = "--releases",
        paramLabel = "DIR",
        required = true,
        description = "the directory of releases")
    private Path releasesDirectory;

    @Option(
        names = "--dir",
        paramLabel = "DIR",
        required = true,
        description = "the supervisor's state directory")
    private Path stateDirectory;

    @Option(
        names = "--settings",
        paramLabel = "FILE",
        description =
            "a settings script whose box(...) sets the supervisor's limits; default: built-in limits")
    private Path settingsFile;

    @Option(
        names = "--java",
        paramLabel = "OPTIONS",
        description = "the JVM and its options, before -jar",
        defaultValue = "java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx40m -Xss192k")
    private String javaOptions;

    @Option(
        names = "--fleet",
        paramLabel = "HOST:PORT",
        description = "address to listen on for rollout controllers; default: none")
    private String controllerAddress;

    @Option(
        names = "--name",
        paramLabel = "BOX",
        description = "the host's name within the fleet",
        defaultValue = "")
    private String name;

    @Parameters(
        paramLabel = "RELEASE",
        arity = "0..1",
        description = "release to start if no daemon runs; default: the one that served last")
    private String startRelease;

    @Override
    @SuppressWarnings("ClosingStandardOutputStreams") // the supervisor doesn't close System.out
    public Integer call() throws Exception {
      String config = System.getenv("EDGE_CONFIG");
      if (config == null || config.isBlank()) {
        throw new DaemonConfig.BadConfigException(
            "environment variable EDGE_CONFIG is not set or blank; it must name the configuration file");
      }
      Settings settings = settingsFile == null ? Settings.none() : Settings.read(settingsFile);
      List<String> javaCommand = new ArrayList<>(Arrays.asList(javaOptions.trim().split(" +")));
      HostSupervisor.Configuration configuration =
          new HostSupervisor.Configuration(
              stateDirectory.toAbsolutePath(),
              releasesDirectory.toAbsolutePath(),
              Path.of(config).toAbsolutePath(),
              javaCommand,
              name,
              controllerAddress == null
                  ? null
                  : DaemonConfig.address("--fleet", controllerAddress));
      try (HostSupervisor supervisor =
          new HostSupervisor(configuration, limits(settings), System.out)) {
        Runtime.getRuntime().addShutdownHook(new Thread(supervisor::stop));
        supervisor.run(startRelease);
        return 0;
      } catch (HostSupervisor.DirectoryLockedException e) {
        throw new DaemonConfig.BadConfigException(e.getMessage());
      } catch (IOException e) {
        System.err.println("wharftrestle: " + e.getMessage());
        return 1;
      }
    }
  }

  /** The limits from a settings script, or their defaults in the schema. */
  public static SupervisorStateMachine.Limits limits(Settings settings) {
    return new SupervisorStateMachine.Limits(
        number(settings, "ready_s"),
        number(settings, "probation_s"),
        number(settings, "worse_failed"),
        number(settings, "worse_refused"),
        (long) settings.value("box", "least_answers"),
        number(settings, "pause_s"),
        number(settings, "most_pause_s"),
        (int) (long) settings.value("box", "deaths"));
  }

  private static double number(Settings settings, String field) {
    return (double) settings.value("box", field);
  }

  /** A command that is sent to the running supervisor. */
  abstract static class SupervisorRequest implements Callable<Integer> {
    @Option(
        names = "--dir",
        paramLabel = "DIR",
        required = true,
        description = "the supervisor's state directory")
    private Path stateDirectory;

    abstract String commandText();

    @Override
    public Integer call() {
      String answer = HostSupervisor.sendCommand(stateDirectory, commandText());
      if (answer == null) {
        System.err.println("wharftrestle: no supervisor is running in " + stateDirectory);
        return 1;
      }
      boolean isAccepted = answer.startsWith("ok ");
      (isAccepted ? System.out : System.err)
          .println((isAccepted ? "" : "wharftrestle: ") + answer.substring(3));
      return isAccepted ? 0 : 1;
    }
  }

  /** Changes the host to another release. */
  @Command(
      name = "change",
      description = "change to another release; a regression is rolled back automatically")
  static final class Change extends SupervisorRequest {
    @Parameters(paramLabel = "RELEASE")
    private String release;

    @Override
    String commandText() {
      return "change " + release;
    }
  }

  /** Rolls a change back. */
  @Command(name = "back", description = "roll back the change that is under way, or the last one")
  static final class Back extends SupervisorRequest {
    @Override
    String commandText() {
      return "back";
    }
  }

  /** Shows the status of the host. */
  @Command(name = "status", description = "the status of this host as one JSON object")
  static final class Status extends SupervisorRequest {
    @Override
    String commandText() {
      return "status";
    }
  }

  /** Creates a release. */
  @Command(
      name = "pack",
      description = "create a release from a jar, with the digests of its files")
  static final class Pack implements Callable<Integer> {
    @Option(
        names = "--releases",
        paramLabel = "DIR",
        required = true,
        description = "the directory of releases")
    private Path releasesDirectory;

    @Option(
        names = "--appliance",
        paramLabel = "FILE",
        description = "the operators' settings of this release")
    private Path settingsFile;

    @Parameters(paramLabel = "JAR", index = "0")
    private Path jar;

    @Parameters(paramLabel = "NAME", index = "1")
    private String name;

    @Override
    public Integer call() throws Exception {
      if (settingsFile != null) {
        Settings.read(settingsFile);
      }
      try {
        new ReleaseDirectory(releasesDirectory).pack(jar, settingsFile, name);
        return 0;
      } catch (IOException e) {
        System.err.println("wharftrestle: " + e.getMessage());
        return 1;
      }
    }
  }

  /** Lists releases. */
  @Command(
      name = "releases",
      description =
          "list the releases, each as \"whole\" or with the reason why it cannot be started")
  static final class Releases implements Callable<Integer> {
    @Option(
        names = "--releases",
        paramLabel = "DIR",
        required = true,
        description = "the directory of releases")
    private Path releasesDirectory;

    @Override
    public Integer call() throws IOException {
      ReleaseDirectory directory = new ReleaseDirectory(releasesDirectory);
      for (String name : directory.names()) {
        String obstacle = directory.obstacle(name);
        System.out.println(name + "  " + (obstacle.isEmpty() ? "whole" : obstacle));
      }
      return 0;
    }
  }
}
