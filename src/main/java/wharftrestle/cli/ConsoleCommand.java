package wharftrestle.cli;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.admin.AdminConsole;
import wharftrestle.config.DaemonConfig;
import wharftrestle.settings.Settings;

/** Sends an operator's commands to the admin endpoint of a daemon. */
@Command(
    name = "console",
    description =
        "send commands to a running daemon: ready, vars, lameduck on, lameduck off, status, "
            + "version, results, counters, drain")
public final class ConsoleCommand implements Callable<Integer> {
  @Option(
      names = "--at",
      description =
          "address of the daemon's admin endpoint; default: $EDGE_CONSOLE, else control in"
              + " --appliance")
  private String adminAddress;

  @Option(
      names = "--appliance",
      paramLabel = "FILE",
      description = "the operators' settings, for control.listen")
  private Path appliance;

  @Parameters(
      arity = "0..2",
      paramLabel = "COMMAND",
      description = "command to send; without it the console prompts for commands")
  private String[] command;

  @Override
  public Integer call() throws Exception {
    return new AdminConsole(System.in, System.out, System.err)
        .attach(address(), command == null ? null : String.join(" ", command));
  }

  private InetSocketAddress address() throws Exception {
    String configured =
        adminAddress != null ? adminAddress : System.getenv().getOrDefault("EDGE_CONSOLE", "");
    if (!configured.isBlank()) {
      return DaemonConfig.address("console", configured);
    }
    InetSocketAddress control =
        appliance == null ? null : Settings.read(appliance).appliance().control();
    if (control == null) {
      throw new DaemonConfig.BadConfigException(
          "no admin endpoint address: expected --at HOST:PORT, or --appliance FILE with control");
    }
    return control;
  }
}
