package wharftrestle.prove;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import wharftrestle.testbed.CpuLimiter;
import wharftrestle.testbed.DaemonProcess;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.transport.Address;

/**
 * Plays hostile clients beside ordinary ones at a daemon that deploy/run.sh starts, with a busy
 * worker pool. Prints for each kind of hostile client the latencies of the ordinary ones, the
 * daemon's peak memory, executions for callers that had left, and keys that were executed twice.
 */
public final class ProveHostileClients {
  private static final List<String> TENANTS = List.of("north", "south");
  private static final int WORKER_CORES = 6;
  private static final int EXECUTION_MS = 40;

  /** Ordinary clients with an open connection, of each client with new ones. */
  private static final int OPEN_PER_NEW_CONNECTION = 3;

  /** Memory for which one ordinary client with new connections is played, in MB. */
  private static final int MEMORY_MB_PER_CLIENT = 10;

  private static final int INTERVAL_MS = 700;
  private static final long GONE_TOLERANCE_MS = 100;
  private static final long SAMPLE_NANOS = 100_000_000;
  private static final long UPGRADE_INTERVAL_NANOS = 3_000_000_000L;

  /**
   * One play.
   *
   * @param hostileClients number of them, each with one connection at a time
   * @param isSameTenant whether they use the tenant of the ordinary clients
   * @param cpuCores cores to which the process is held by stopping it; 0 for no such limit
   * @param isUpgraded whether a new process takes over every {@link #UPGRADE_INTERVAL_NANOS}
   */
  record Play(
      HostileClient.Kind kind,
      int hostileClients,
      boolean isSameTenant,
      int memoryMb,
      int sockets,
      double cores,
      double cpuCores,
      boolean isPoolFailing,
      boolean isUpgraded,
      int seconds) {}

  private ProveHostileClients() {}

  public static void main(String[] args) throws Exception {
    HostileClient.Kind kind = args[0].equals("none") ? null : HostileClient.Kind.valueOf(args[0]);
    Play play =
        new Play(
            kind,
            Integer.parseInt(args[1]),
            args[2].equals("same"),
            Integer.parseInt(args[3]),
            Integer.parseInt(args[4]),
            Double.parseDouble(args[5]),
            Double.parseDouble(args[6]),
            args[7].equals("failing"),
            args[7].equals("upgraded"),
            Integer.parseInt(args[8]));
    System.out.println(String.join(" ", args) + ": " + run(play));
    System.exit(0);
  }

  static Observations run(Play play) throws Exception {
    Path folder = Files.createTempDirectory("prove-hostile");
    int gatewayPort = Address.freePort();
    String script = "uwsgi(listen = \"127.0.0.1:" + gatewayPort + "\")\n";
    try (HostTestbed testbed =
        new HostTestbed(
            folder,
            script,
            29421,
            new HostTestbed.Play("wharftrestle.Main", play.memoryMb(), 24, 300))) {
      if (!Boolean.getBoolean("packaged") || play.isUpgraded()) {
        testbed.useRunScript();
      }
      testbed.configureTenants(TENANTS);
      testbed.limitWorkerPool(WORKER_CORES, EXECUTION_MS);
      testbed.pool().setFailing(play.isPoolFailing());
      testbed.configureLimits(play.cores(), play.sockets());
      Daemons daemons = new Daemons(testbed, script, play.isUpgraded());
      return play(testbed, daemons, play, gatewayPort);
    } finally {
      HostTestbed.delete(folder);
    }
  }

  private static Observations play(HostTestbed testbed, Daemons daemons, Play play, int gatewayPort)
      throws Exception {
    AtomicBoolean isStopped = new AtomicBoolean();
    LeftCallers leftCallers = new LeftCallers();
    AtomicLong messages = new AtomicLong();
    OrdinaryClients ordinary = new OrdinaryClients(testbed.address(), TENANTS.get(0));
    List<Thread> threads = new ArrayList<>();
    CpuLimiter limiter = play.cpuCores() > 0 ? new CpuLimiter(daemons::all, play.cpuCores()) : null;
    double cpuBefore = daemons.current().cpuSeconds();
    int newConnections = play.memoryMb() / MEMORY_MB_PER_CLIENT;
    threads.addAll(
        List.of(
            ordinary.start(OPEN_PER_NEW_CONNECTION * newConnections, newConnections, INTERVAL_MS)));
    LockSupport.parkNanos(1_000_000_000);
    for (int i = 0; play.kind() != null && i < play.hostileClients(); i++) {
      boolean isGateway = play.kind().name().startsWith("UWSGI");
      Thread thread =
          new Thread(
              new HostileClient(
                  play.kind(),
                  isGateway
                      ? new InetSocketAddress(InetAddress.getLoopbackAddress(), gatewayPort)
                      : testbed.address(),
                  TENANTS.get(play.isSameTenant() ? 0 : 1),
                  isStopped::get,
                  leftCallers,
                  messages),
              "hostile-client " + i);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    Memory peak = new Memory(0, 0);
    long until = System.nanoTime() + play.seconds() * 1_000_000_000L;
    while (System.nanoTime() < until && daemons.current().alive()) {
      peak = peak.max(daemons.current());
      daemons.upgradeIfDue();
      LockSupport.parkNanos(SAMPLE_NANOS);
    }
    ordinary.stop();
    DaemonProcess daemon = daemons.current();
    double cpu = daemon.alive() ? daemon.cpuSeconds() - cpuBefore : Double.NaN;
    LockSupport.parkNanos(1_000_000_000);
    isStopped.set(true);
    for (Thread thread : threads) {
      thread.join(9000);
    }
    if (limiter != null) {
      limiter.close();
    }
    String log = daemon.log();
    if (System.getenv("SHOW_LOG") != null) {
      System.out.println(log.substring(Math.max(0, log.length() - 4000)));
      System.out.println(daemon.get("/_status"));
    }
    return new Observations(
        ordinary,
        daemon.alive(),
        peak,
        cpu,
        messages.get(),
        leftCallers.size(),
        leftCallers.executionsAfter(testbed.pool(), GONE_TOLERANCE_MS),
        testbed.doubleRuns(),
        log.contains("OutOfMemory"),
        daemons.upgrades());
  }

  /**
   * What was observed in a play.
   *
   * @param cpuSeconds of the daemon that served at the end
   * @param leftRequests requests whose callers left
   * @param executionsForCallersGone those of them that began to execute long after that
   */
  record Observations(
      OrdinaryClients ordinary,
      boolean isAlive,
      Memory peak,
      double cpuSeconds,
      long hostileMessages,
      int leftRequests,
      int executionsForCallersGone,
      int executedTwice,
      boolean ranOutOfMemory,
      int upgrades) {

    /**
     * Whether no rule was broken: answers in time, also on connections that are open, no key
     * executed twice, and memory that suffices.
     */
    boolean holds() {
      return isAlive
          && !ranOutOfMemory
          && executedTwice == 0
          && ordinary.late() == 0
          && ordinary.lost() == 0;
    }

    @Override
    public String toString() {
      return String.format(
          Locale.ROOT,
          "%s | %s, peak resident %.0f anonymous %.0f MB, cpu %.1f s, hostile messages %d,"
              + " left %d, executed for callers gone %d, executed twice %d, out of memory %b,"
              + " upgrades %d",
          ordinary.summary(),
          isAlive ? "alive" : "ENDED",
          peak.residentMb(),
          peak.anonymousMb(),
          cpuSeconds,
          hostileMessages,
          leftRequests,
          executionsForCallersGone,
          executedTwice,
          ranOutOfMemory,
          upgrades);
    }
  }

  /** The daemon that serves, and in an upgrade the one before it. */
  private static final class Daemons {
    private static final long READY_TIMEOUT_MS = 30_000;

    private final HostTestbed testbed;
    private final HostTestbed.Version version;
    private final boolean isUpgraded;
    private final List<DaemonProcess> processes = new CopyOnWriteArrayList<>();
    private long nextUpgradeAt = System.nanoTime() + UPGRADE_INTERVAL_NANOS;

    Daemons(HostTestbed testbed, String script, boolean isUpgraded) throws IOException {
      this.testbed = testbed;
      this.isUpgraded = isUpgraded;
      version = new HostTestbed.Version(null, "wharftrestle.Main", testbed.settings(), script);
      if (isUpgraded) {
        begin();
      } else {
        testbed.start();
        processes.add(testbed.daemon());
      }
    }

    private void begin() throws IOException {
      DaemonProcess process = testbed.begin(version);
      if (!process.awaitReady(READY_TIMEOUT_MS)) {
        throw new IOException("the daemon was not ready in time; its log:\n" + process.log());
      }
      processes.add(process);
    }

    List<DaemonProcess> all() {
      return processes;
    }

    DaemonProcess current() {
      return processes.get(processes.size() - 1);
    }

    int upgrades() {
      return processes.size() - 1;
    }

    void upgradeIfDue() throws IOException {
      if (isUpgraded && System.nanoTime() > nextUpgradeAt) {
        DaemonProcess predecessor = current();
        begin();
        predecessor.terminate();
        nextUpgradeAt = System.nanoTime() + UPGRADE_INTERVAL_NANOS;
      }
    }
  }

  /** Peak memory of a daemon. */
  record Memory(double residentMb, double anonymousMb) {
    Memory max(DaemonProcess daemon) {
      try {
        return new Memory(
            Math.max(residentMb, daemon.memoryKb("VmRSS") / 1024.0),
            Math.max(anonymousMb, daemon.memoryKb("RssAnon") / 1024.0));
      } catch (IOException ended) {
        return this;
      }
    }
  }
}
