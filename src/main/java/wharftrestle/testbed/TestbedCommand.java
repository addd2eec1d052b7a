package wharftrestle.testbed;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import wharftrestle.config.DaemonConfig;

/** The command line of the rig. */
@Command(
    name = "lab",
    description = "real processes on loopback, with faults put between them",
    subcommands = {TestbedCommand.Faults.class, TestbedCommand.Proxy.class})
public final class TestbedCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: lab faults or lab link");
  }

  /** Plays a script. */
  @Command(
      name = "faults",
      description = "play a script of failures; exit 1 where a rule is broken")
  static final class Faults implements Callable<Integer> {
    @Parameters(paramLabel = "SCRIPT", description = "such as docs/examples/faults.star")
    private Path script;

    @Option(
        names = "--jar",
        paramLabel = "JAR",
        description = "the build to play; default: this one")
    private Path jar;

    @Option(
        names = "--out",
        paramLabel = "FILE",
        description = "a JSON object a line; default: standard output")
    private Path results;

    @Override
    public Integer call() throws Exception {
      FaultScript read = FaultScript.read(script);
      PrintStream out =
          results == null ? System.out : new PrintStream(results.toFile(), StandardCharsets.UTF_8);
      try {
        return new Scenario(read, jar, System.err, out).play() ? 0 : 1;
      } finally {
        out.flush();
      }
    }
  }

  /** The proxy alone. */
  @Command(
      name = "link",
      description = "a proxy on loopback, for TCP and UDP, that goes wrong as told; until Ctrl-C")
  static final class Proxy implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", description = "where it leads, on loopback")
    private String to;

    @Option(
        names = "--delay",
        paramLabel = "MS",
        description = "what crosses comes later, both ways")
    private double delay;

    @Option(names = "--jitter", paramLabel = "MS", description = "on top of the delay, at most")
    private double jitter;

    @Option(names = "--rate", paramLabel = "KB", description = "kB a second at most, each way")
    private Double rate;

    @Option(
        names = "--drop",
        paramLabel = "PART",
        description = "part of datagrams that is lost, 0 to 1")
    private double drop;

    @Option(
        names = "--hole",
        paramLabel = "WAY",
        description = "nothing comes through: both, there or back")
    private String hole;

    @Option(names = "--seed", paramLabel = "N", description = "of all that is drawn")
    private long seed = 1;

    @Override
    public Integer call() throws Exception {
      InetSocketAddress address = DaemonConfig.address("HOST:PORT", to);
      if (!address.getAddress().isLoopbackAddress()) {
        throw new DaemonConfig.BadConfigException("a link leads to loopback alone, not to " + to);
      }
      if (hole != null && !hole.matches("both|there|back")) {
        throw new DaemonConfig.BadConfigException(
            "--hole is both, there or back, not '" + hole + "'");
      }
      FaultProxy link = new FaultProxy(address, seed);
      if (delay > 0 || jitter > 0) {
        link.trouble(FaultRule.Trouble.DELAY, delay, jitter, true, true);
      }
      if (rate != null) {
        link.trouble(FaultRule.Trouble.RATE, rate, 0, true, true);
      }
      if (drop > 0) {
        link.trouble(FaultRule.Trouble.DROP, drop, 0, true, true);
      }
      if (hole != null) {
        link.trouble(FaultRule.Trouble.HOLE, 0, 0, !hole.equals("back"), !hole.equals("there"));
      }
      System.out.println(
          "127.0.0.1:" + link.address().getPort() + " leads to " + to + ", seed " + seed);
      System.out.flush();
      new CountDownLatch(1).await();
      return 0;
    }
  }
}
