package wharftrestle.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tinylog.Logger;
import org.tinylog.provider.ProviderRegistry;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.daemon.SignalHandlers;
import wharftrestle.settings.Settings;
import wharftrestle.storage.UnusableStorageException;

/** Runs the daemon in the foreground until a shutdown is requested and it has drained. */
@Command(name = "serve", description = "serve the platform's front ends, in the foreground")
public final class ServeCommand implements Callable<Integer> {
  @Option(
      names = "--appliance",
      paramLabel = "FILE",
      description =
          "the operators' settings, such as deploy/appliance.star; without them, all that they"
              + " enable is off")
  private Path appliance;

  @Override
  public Integer call() throws Exception {
    DaemonConfig config = readConfig();
    DaemonConfig.Appliance extras = readAppliance();
    SignalHandlers signals = new SignalHandlers(ServeCommand::readConfig);
    Lifecycle daemon = assemble(config, extras);
    signals.attach(daemon).watch(System.getenv("EDGE_CONFIG"));
    daemon.start();
    daemon.serveUntilStopped();
    Logger.info("counters at exit:\n{}", daemon.counters().table());
    ProviderRegistry.getLoggingProvider().shutdown();
    if (daemon.hasFailed()) {
      System.err.println(
          "wharftrestle: out of memory: no link to the worker pool could be made; the process ended");
      return CommandLine.ExitCode.SOFTWARE;
    }
    return CommandLine.ExitCode.OK;
  }

  private static DaemonConfig readConfig() throws DaemonConfig.BadConfigException {
    return DaemonConfig.read(System.getenv());
  }

  /** Loads the interpreter of the settings' language only if there is a script. */
  private DaemonConfig.Appliance readAppliance() throws Exception {
    return appliance == null ? DaemonConfig.Appliance.none() : Settings.read(appliance).appliance();
  }

  private static Lifecycle assemble(DaemonConfig config, DaemonConfig.Appliance appliance)
      throws DaemonConfig.BadConfigException {
    try {
      return new Lifecycle(config, appliance);
    } catch (UnusableStorageException e) {
      throw new DaemonConfig.BadConfigException("durable: " + e.getMessage());
    } catch (IOException e) {
      throw new DaemonConfig.BadConfigException("cannot listen: " + e.getMessage());
    }
  }
}
