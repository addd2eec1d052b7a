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

/** The command line of the test environment. */
@Command(
    name = "lab",
    description = "run real processes on loopback and inject faults",
    subcommands = {TestbedCommand.Faults.class, TestbedCommand.Proxy.class})
public final class TestbedCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    throw new CommandLine.ParameterException(
        spec.commandLine(), "name a command: lab faults or lab link");
  }

  /** Runs a fault script. */
  @Command(name = "faults", description = "run a fault script; exit 1 if a rule is broken")
  static final class Faults implements Callable<Integer> {
    @Parameters(paramLabel = "SCRIPT", description = "such as docs/examples/faults.star")
    private Path script;

    @Option(
        names = "--jar",
        paramLabel = "JAR",
        description = "the build to run; default: this one")
    private Path jar;

    @Option(
        names = "--out",
        paramLabel = "FILE",
        description = "results, one JSON object a line; default: standard output")
    private Path results;

    @Override
    public Integer call() throws Exception {
      FaultScript faultScript = FaultScript.read(script);
      PrintStream out =
          results == null ? System.out : new PrintStream(results.toFile(), StandardCharsets.UTF_8);
      try {
        return new Scenario(faultScript, jar, System.err, out).execute() ? 0 : 1;
      } finally {
        out.flush();
      }
    }
  }

  /** Runs a single proxy. */
  @Command(
      name = "link",
      description = "run a fault-injecting proxy for TCP and UDP on loopback; until Ctrl-C")
  static final class Proxy implements Callable<Integer> {
    @Parameters(paramLabel = "HOST:PORT", description = "target of the proxy, on loopback")
    private String to;

    @Option(names = "--delay", paramLabel = "MS", description = "delay in both directions")
    private double delay;

    @Option(
        names = "--jitter",
        paramLabel = "MS",
        description = "largest random addition to the delay")
    private double jitter;

    @Option(
        names = "--rate",
        paramLabel = "KB",
        description = "limit in kB a second, each direction")
    private Double rate;

    @Option(
        names = "--drop",
        paramLabel = "PART",
        description = "part of datagrams that is lost, 0 to 1")
    private double drop;

    @Option(
        names = "--hole",
        paramLabel = "WAY",
        description = "deliver nothing in this direction: both, there or back")
    private String hole;

    @Option(names = "--seed", paramLabel = "N", description = "seed of all random choices")
    private long seed = 1;

    @Override
    public Integer call() throws Exception {
      InetSocketAddress address = DaemonConfig.address("HOST:PORT", to);
      if (!address.getAddress().isLoopbackAddress()) {
        throw new DaemonConfig.BadConfigException(
            "HOST:PORT: the target of a proxy has to be on loopback, got " + to);
      }
      if (hole != null && !hole.matches("both|there|back")) {
        throw new DaemonConfig.BadConfigException(
            "--hole: expected both, there or back, got '" + hole + "'");
      }
      FaultProxy proxy = new FaultProxy(address, seed);
      if (delay > 0 || jitter > 0) {
        proxy.apply(FaultRule.Effect.DELAY, delay, jitter, true, true);
      }
      if (rate != null) {
        proxy.apply(FaultRule.Effect.RATE, rate, 0, true, true);
      }
      if (drop > 0) {
        proxy.apply(FaultRule.Effect.DROP, drop, 0, true, true);
      }
      if (hole != null) {
        proxy.apply(FaultRule.Effect.HOLE, 0, 0, !hole.equals("back"), !hole.equals("there"));
      }
      System.out.println(
          "127.0.0.1:" + proxy.address().getPort() + " leads to " + to + ", seed " + seed);
      System.out.flush();
      new CountDownLatch(1).await();
      return 0;
    }
  }
}
