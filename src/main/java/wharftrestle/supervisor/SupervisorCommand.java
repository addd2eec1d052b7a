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
 * The command line of a box's keeper; an order that is not obeyed is one plain line and exit code
 * 1.
 */
@Command(
    name = "box",
    description = "keep one box: start its daemon, change it, take it back",
    subcommands = {
      SupervisorCommand.Run.class,
      SupervisorCommand.Change.class,
      SupervisorCommand.Back.class,
      SupervisorCommand.Status.class,
      SupervisorCommand.Pack.class,
      SupervisorCommand.Releasing.class
    })
public final class SupervisorCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: box run, change, back, status, pack or releases");
  }

  /** Keeps a box until it is told to go; its daemons stay. */
  @Command(
      name = "run",
      description =
          "keep this box, in the foreground; on TERM the keeper goes and its daemon stays")
  static final class Run implements Callable<Integer> {
    @Option(
        names = "--releases",
        paramLabel = "DIR",
        required = true,
        description = "the folder of releases")
    private Path releases;

    @Option(
        names = "--dir",
        paramLabel = "DIR",
        required = true,
        description = "the keeper's own folder")
    private Path state;

    @Option(
        names = "--settings",
        paramLabel = "FILE",
        description = "a script with box(...), for the limits")
    private Path settings;

    @Option(
        names = "--java",
        paramLabel = "OPTIONS",
        description = "the JVM and its options, before -jar",
        defaultValue = "java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx40m -Xss192k")
    private String java;

    @Option(
        names = "--fleet",
        paramLabel = "HOST:PORT",
        description = "where a driver of the fleet may call; default: nowhere")
    private String fleet;

    @Option(
        names = "--name",
        paramLabel = "BOX",
        description = "the box's name within the fleet",
        defaultValue = "")
    private String name;

    @Parameters(
        paramLabel = "RELEASE",
        arity = "0..1",
        description = "to start where nothing runs; default: the last")
    private String first;

    @Override
    @SuppressWarnings("ClosingStandardOutputStreams") // a keeper closes what is its own
    public Integer call() throws Exception {
      String config = System.getenv("EDGE_CONFIG");
      if (config == null || config.isBlank()) {
        throw new DaemonConfig.BadConfigException("EDGE_CONFIG names no configuration file");
      }
      Settings set = settings == null ? Settings.none() : Settings.read(settings);
      List<String> command = new ArrayList<>(Arrays.asList(java.trim().split(" +")));
      HostSupervisor.Places places =
          new HostSupervisor.Places(
              state.toAbsolutePath(),
              releases.toAbsolutePath(),
              Path.of(config).toAbsolutePath(),
              command,
              name,
              fleet == null ? null : DaemonConfig.address("--fleet", fleet));
      try (HostSupervisor keeper = new HostSupervisor(places, limits(set), System.out)) {
        Runtime.getRuntime().addShutdownHook(new Thread(keeper::stop));
        keeper.run(first);
        return 0;
      } catch (HostSupervisor.TakenException e) {
        throw new DaemonConfig.BadConfigException(e.getMessage());
      } catch (IOException e) {
        System.err.println("wharftrestle: " + e.getMessage());
        return 1;
      }
    }
  }

  /** The limits that a script sets, or the schema does. */
  public static SupervisorStateMachine.Limits limits(Settings set) {
    return new SupervisorStateMachine.Limits(
        number(set, "ready_s"),
        number(set, "probation_s"),
        number(set, "worse_failed"),
        number(set, "worse_refused"),
        (long) set.value("box", "least_answers"),
        number(set, "pause_s"),
        number(set, "most_pause_s"),
        (int) (long) set.value("box", "deaths"));
  }

  private static double number(Settings set, String field) {
    return (double) set.value("box", field);
  }

  /** What sends one order to the keeper. */
  abstract static class Ordered implements Callable<Integer> {
    @Option(
        names = "--dir",
        paramLabel = "DIR",
        required = true,
        description = "the keeper's own folder")
    private Path state;

    abstract String order();

    @Override
    public Integer call() {
      String answer = HostSupervisor.order(state, order());
      if (answer == null) {
        System.err.println("wharftrestle: no keeper answers in " + state);
        return 1;
      }
      boolean obeyed = answer.startsWith("ok ");
      (obeyed ? System.out : System.err)
          .println((obeyed ? "" : "wharftrestle: ") + answer.substring(3));
      return obeyed ? 0 : 1;
    }
  }

  /** Changes the box. */
  @Command(
      name = "change",
      description = "change to another release; it is taken back by itself where it does worse")
  static final class Change extends Ordered {
    @Parameters(paramLabel = "RELEASE")
    private String to;

    @Override
    String order() {
      return "change " + to;
    }
  }

  /** Changes it back. */
  @Command(name = "back", description = "take back the change that is going on, or the last one")
  static final class Back extends Ordered {
    @Override
    String order() {
      return "back";
    }
  }

  /** Shows it. */
  @Command(name = "status", description = "what runs, as one JSON object")
  static final class Status extends Ordered {
    @Override
    String order() {
      return "status";
    }
  }

  /** Makes a release. */
  @Command(
      name = "pack",
      description = "make a release of a jar: whole, with its digests, or not at all")
  static final class Pack implements Callable<Integer> {
    @Option(
        names = "--releases",
        paramLabel = "DIR",
        required = true,
        description = "the folder of releases")
    private Path releases;

    @Option(
        names = "--appliance",
        paramLabel = "FILE",
        description = "the operators' settings of this release")
    private Path settings;

    @Parameters(paramLabel = "JAR", index = "0")
    private Path jar;

    @Parameters(paramLabel = "NAME", index = "1")
    private String name;

    @Override
    public Integer call() throws Exception {
      if (settings != null) {
        Settings.read(settings);
      }
      try {
        new ReleaseDirectory(releases).pack(jar, settings, name);
        return 0;
      } catch (IOException e) {
        System.err.println("wharftrestle: " + e.getMessage());
        return 1;
      }
    }
  }

  /** Lists releases. */
  @Command(name = "releases", description = "a line a release: whole, or why it cannot be started")
  static final class Releasing implements Callable<Integer> {
    @Option(
        names = "--releases",
        paramLabel = "DIR",
        required = true,
        description = "the folder of releases")
    private Path releases;

    @Override
    public Integer call() throws IOException {
      ReleaseDirectory all = new ReleaseDirectory(releases);
      for (String name : all.names()) {
        String against = all.against(name);
        System.out.println(name + "  " + (against.isEmpty() ? "whole" : against));
      }
      return 0;
    }
  }
}
