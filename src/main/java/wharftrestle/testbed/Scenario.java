package wharftrestle.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import wharftrestle.testbed.FaultScript.Fault;
import wharftrestle.testbed.FaultScript.Step;

/**
 * Runs a fault script with real processes: each host has a daemon with its fakes, a {@link
 * FaultProxy} on each path, and clients that send requests and check the replies. One instance runs
 * once, in the thread of the caller.
 */
public final class Scenario {
  private static final long READY_TIMEOUT_MS = 20_000;

  /** Time after a kill, cut or stop in which a connection may end without its reply. */
  private static final long EXCUSE_MS = 2000;

  private static final long KEY_REUSE_MS = 9000;

  /** Time in which a process exits after SIGTERM or a kill. */
  private static final long EXIT_TIMEOUT_MS = 8000;

  private static final class Host {
    private final String name;
    private final HostTestbed testbed;
    private volatile DaemonProcess active;
    private volatile DaemonProcess successor;
    private volatile DaemonProcess predecessor;
    private CpuLimiter cpuLimiter;
    private TestClients clients;
    private volatile long lastFaultAt = Long.MIN_VALUE / 2;
    private volatile boolean faulty;

    Host(String name, HostTestbed testbed) {
      this.name = name;
      this.testbed = testbed;
    }

    synchronized List<DaemonProcess> processes() {
      return Stream.of(active, successor, predecessor).filter(Objects::nonNull).toList();
    }

    void releaseCpu() throws IOException {
      if (cpuLimiter != null) {
        cpuLimiter.close();
        cpuLimiter = null;
      }
    }

    boolean excused() {
      return faulty || System.nanoTime() - lastFaultAt < TimeUnit.MILLISECONDS.toNanos(EXCUSE_MS);
    }
  }

  private final FaultScript script;
  private final PrintStream progress;
  private final PrintStream results;
  private final Path jar;

  /**
   * @param jar jar of the build to run; null for the classes of this process
   * @param progress receives human-readable lines
   * @param results receives one JSON object a line
   */
  public Scenario(FaultScript script, Path jar, PrintStream progress, PrintStream results) {
    this.script = script;
    this.jar = jar;
    this.progress = progress;
    this.results = results;
  }

  /** Runs the script; true if no rule was broken on any host. */
  public boolean execute() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("lab");
    List<Host> hosts = new ArrayList<>();
    try {
      progress.println("seed " + script.run().seed());
      for (int i = 1; i <= script.run().hosts(); i++) {
        Path hostFolder = Files.createDirectory(folder.resolve("b" + i));
        hosts.add(
            new Host(
                "b" + i,
                new HostTestbed(
                    hostFolder, "", script.run().seed() + i, HostTestbed.Play.of(192), true)));
      }
      for (Host host : hosts) {
        host.active = startProcess(host);
      }
      for (Host host : hosts) {
        if (!host.active.awaitReady(READY_TIMEOUT_MS)) {
          throw new IOException(
              host.name + ": the daemon was not ready in time; its log:\n" + host.active.log());
        }
        host.clients =
            new TestClients(
                host.testbed,
                TestClients.Workload.of(script.run().clients(), KEY_REUSE_MS),
                script.run().seed() + host.name.hashCode(),
                host::excused);
        host.clients.start();
      }
      return run(hosts);
    } finally {
      for (Host host : hosts) {
        host.releaseCpu();
        host.testbed.close();
      }
      HostTestbed.delete(folder);
    }
  }

  private DaemonProcess startProcess(Host host) throws IOException {
    String durability =
        script.run().durableResults()
            ? "durable(dir = \"" + host.testbed.folder().resolve("results") + "\", max_mb = 16)\n"
            : "";
    return host.testbed.begin(
        new HostTestbed.Version(jar, "wharftrestle.Main", host.testbed.settings(), durability));
  }

  private boolean run(List<Host> hosts) throws IOException, InterruptedException {
    long startedAt = System.nanoTime();
    long endsAt = startedAt + (long) (script.run().seconds() * 1e9);
    int nextStep = 0;
    while (System.nanoTime() < endsAt) {
      double now = (System.nanoTime() - startedAt) / 1e9;
      while (nextStep < script.steps().size() && script.steps().get(nextStep).at() <= now) {
        Step step = script.steps().get(nextStep++);
        progress.println(String.format(Locale.ROOT, "%6.2f s  %s", now, step.fault()));
        writeResult(Map.of("t", now, "fault", step.fault()));
        inject(hosts.get(Integer.parseInt(step.fault().box().substring(1)) - 1), step.fault());
      }
      for (Host host : hosts) {
        completeHandover(host);
      }
      LockSupport.parkNanos(10_000_000);
    }
    boolean holds = true;
    for (Host host : hosts) {
      host.clients.stop();
      TestClients.Tally tally = host.clients.tally();
      holds &= tally.holds();
      Map<String, Object> line = new LinkedHashMap<>();
      line.put("box", host.name);
      line.put("holds", tally.holds());
      line.put("tally", tally);
      writeResult(line);
      progress.println(host.name + ": " + tally);
    }
    writeResult(Map.of("holds", holds, "seed", script.run().seed()));
    return holds;
  }

  private void writeResult(Map<String, Object> line) throws IOException {
    results.println(new ObjectMapper().writeValueAsString(line));
  }

  /** Once the successor is ready, makes it the active process and terminates the predecessor. */
  private static void completeHandover(Host host) {
    if (host.successor != null && host.successor.ready()) {
      host.active.terminate();
      synchronized (host) {
        host.predecessor = host.active;
        host.active = host.successor;
        host.successor = null;
      }
    }
  }

  private void inject(Host host, Fault fault) throws IOException, InterruptedException {
    FaultProxy proxy = fault.path().isEmpty() ? null : host.testbed.link(fault.path());
    boolean toTarget = !fault.way().equals("back");
    boolean toClient = !fault.way().equals("there");
    if (fault.kind() != FaultScript.Kind.HOLD && fault.kind() != FaultScript.Kind.CLOCK) {
      host.lastFaultAt = System.nanoTime();
    }
    switch (fault.kind()) {
      case CUT -> {
        host.faulty = fault.path().equals("front");
        proxy.cut();
      }
      case REFUSE -> {
        host.faulty |= fault.path().equals("front");
        proxy.refuse();
      }
      case HALF_CLOSE -> proxy.halfClose();
      case HEAL -> {
        host.faulty = false;
        proxy.heal();
      }
      case HOLE, DELAY, RATE, DROP, DOUBLE, REORDER -> {
        host.faulty |= fault.path().equals("front");
        proxy.apply(
            FaultRule.Effect.valueOf(fault.kind().name()),
            fault.value(),
            fault.more(),
            toTarget,
            toClient);
      }
      case STOP, GO -> {
        host.faulty = fault.kind() == FaultScript.Kind.STOP;
        host.active.setPaused(host.faulty);
      }
      case KILL -> {
        boolean onlyProcess = host.successor == null || !host.successor.alive();
        host.faulty = onlyProcess;
        host.active.kill();
        if (onlyProcess && !script.run().durableResults()) {
          host.clients.recordKeysLost(System.nanoTime());
        }
      }
      case LEAVE -> {
        // No successor: its connections end with it, and its keys are lost.
        host.faulty = true;
        host.clients.recordLeaveNotice(System.nanoTime());
        host.active.terminate();
      }
      case START -> {
        if (host.active.awaitExit(EXIT_TIMEOUT_MS) < 0) {
          throw new IOException(
              host.name + ": the daemon did not exit in time; its log:\n" + host.active.log());
        }
        host.clients.recordRestart(System.nanoTime());
        if (!script.run().durableResults()) {
          host.clients.recordKeysLost(System.nanoTime());
        }
        host.active = startProcess(host);
        if (!host.active.awaitReady(READY_TIMEOUT_MS)) {
          throw new IOException(
              host.name
                  + ": the restarted daemon was not ready in time; its log:\n"
                  + host.active.log());
        }
        host.faulty = false;
        host.lastFaultAt = System.nanoTime();
      }
      case CHANGE -> host.successor = startProcess(host);
      case HOLD -> {
        host.releaseCpu();
        host.cpuLimiter = new CpuLimiter(host::processes, fault.value());
      }
      case FREE -> host.releaseCpu();
      case CLOCK -> host.testbed.setClockOffset(Math.round(fault.value()));
      default -> throw new IllegalStateException("unsupported fault: " + fault);
    }
  }
}
