package wharftrestle.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import wharftrestle.transport.Address;

/**
 * Test environment of one host: real daemon processes, and fakes of the worker pool, the store and
 * the name service, which outlive the daemons. It allocates the addresses, writes the
 * configurations and ends the processes on close. Tests check what the fake worker pool counted and
 * never what a daemon reports about itself. Not thread-safe, except for {@link #pool}.
 */
public final class HostTestbed implements Closeable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private static final int MAX_EXECUTION_MS = 25;

  private static final int DEFAULT_WORKER_CORES = 32;

  /** Quota of each tenant in requests a second. */
  private static final int TENANT_QUOTA = 100;

  /** Deadline of every request class. */
  static final long DEADLINE_MS = 6000;

  /** Time in which a daemon without a predecessor becomes ready. */
  private static final long READY_TIMEOUT_MS = 30_000;

  /**
   * The daemon and the load of one test.
   *
   * @param main the daemon's main class
   * @param memoryMb memory limit of the daemon
   * @param keyWindowSeconds idempotency window
   * @param maxResultBytes most bytes that an execution appends to the name of its body
   */
  public record Play(String main, int memoryMb, int keyWindowSeconds, int maxResultBytes) {
    /** The unmodified daemon, with the idempotency window of the first site and small results. */
    public static Play of(int memoryMb) {
      return new Play("wharftrestle.Main", memoryMb, 24, 300);
    }
  }

  /**
   * Settings of one daemon process.
   *
   * @param memoryMb memory limit of the process
   * @param keyWindowSeconds idempotency window
   * @param classesReversed whether the request classes are listed in reverse order
   * @param extraClass whether an additional request class is configured
   */
  public record Settings(
      int memoryMb, int keyWindowSeconds, boolean classesReversed, boolean extraClass) {
    private List<String> classes() {
      List<String> classes =
          new ArrayList<>(
              List.of(
                  """
                    {"deadline": %s, "importance": 1, "lateWorth": 0, "memorySpan": %d, "name": "read",
                     "repeat": "read_like", "slo": 2}"""
                      .formatted(DEADLINE_MS / 1000.0, keyWindowSeconds),
                  """
                    {"deadline": %s, "importance": 3, "lateWorth": 0.2, "memorySpan": %d, "name": "save",
                     "repeat": "idempotency_key", "slo": 2}"""
                      .formatted(DEADLINE_MS / 1000.0, keyWindowSeconds)));
      if (classesReversed) {
        Collections.reverse(classes);
      }
      if (extraClass) {
        classes.add(
            """
                    {"deadline": %s, "importance": 2, "lateWorth": 0, "memorySpan": %d, "name": "extra",
                     "repeat": "idempotency_key", "slo": 2}"""
                .formatted(DEADLINE_MS / 1000.0, keyWindowSeconds));
      }
      return classes;
    }
  }

  /**
   * Build and settings of one daemon process.
   *
   * @param jar jar of the build; null for the classes of this process
   * @param main main class
   * @param settings settings of the process
   * @param script text of the operators' settings script; empty for none
   */
  public record Version(Path jar, String main, Settings settings, String script) {}

  private volatile FakeWorkerPool pool;
  private final Map<String, String> environmentOverrides = new HashMap<>();
  private RunScript runScript; // null unless daemons are started by it
  private String shellPrefix = "";
  private double coreLimit = 1;
  private int workerCores = DEFAULT_WORKER_CORES;
  private List<String> tenants = List.of();
  private int descriptorLimit = 512;
  private final ServerSocket storeSocket =
      new ServerSocket(0, 50, LOOPBACK); // fake store; it accepts no connection
  private final DatagramSocket nameServiceSocket = new DatagramSocket(0, LOOPBACK);
  private final int nameServicePort = nameServiceSocket.getLocalPort();
  private final Random random;
  private final Path folder;
  private final int listenPort;
  private final Version version;
  private final Play play;
  private final List<DaemonProcess> processes = new ArrayList<>();
  private final Map<String, FaultProxy> proxies = new HashMap<>();
  private final SkewedClock clock;
  private int processCount;
  private int daemonAdminPort;
  private DaemonProcess daemon;

  /**
   * @param script text of the operators' settings script; empty for none
   */
  public HostTestbed(Path folder, String script, long seed, Play play) throws IOException {
    this(folder, script, seed, play, false);
  }

  /**
   * @param proxied whether a fault-injecting proxy is placed on each path
   */
  public HostTestbed(Path folder, String script, long seed, Play play, boolean proxied)
      throws IOException {
    this.folder = folder;
    this.play = play;
    random = new Random(seed);
    clock = new SkewedClock(folder.resolve("clock"));
    listenPort = Address.freePort();
    pool = new FakeWorkerPool(null, random, MAX_EXECUTION_MS, play.maxResultBytes());
    if (proxied) {
      proxies.put("front", new FaultProxy(new InetSocketAddress(LOOPBACK, listenPort), seed));
      proxies.put("pool", new FaultProxy(pool.address(), seed + 100));
      proxies.put(
          "store",
          new FaultProxy((InetSocketAddress) storeSocket.getLocalSocketAddress(), seed + 200));
      proxies.put(
          "names",
          new FaultProxy(
              (InetSocketAddress) nameServiceSocket.getLocalSocketAddress(), seed + 300));
    }
    version = new Version(null, play.main(), settings(), script);
    daemonAdminPort = Address.freePort();
    Files.writeString(folder.resolve("config.json"), config(version.settings(), daemonAdminPort));
  }

  /** The default settings of a process in this test environment. */
  public Settings settings() {
    return new Settings(play.memoryMb(), play.keyWindowSeconds(), false, false);
  }

  /** Starts the daemon with SIGHUP ignored, as nohup does. */
  public void ignoreHangups() {
    shellPrefix += "trap '' HUP; ";
  }

  /** Sets the configured cores and descriptors of the daemon, without limiting the process. */
  public void configureLimits(double cores, int descriptors) throws IOException {
    coreLimit = cores;
    descriptorLimit = descriptors;
    Files.writeString(folder.resolve("config.json"), config(version.settings(), daemonAdminPort));
  }

  /** Sets the tenants, none of which has a quota that a test exceeds by itself. */
  public void configureTenants(List<String> names) throws IOException {
    tenants = List.copyOf(names);
    Files.writeString(folder.resolve("config.json"), config(version.settings(), daemonAdminPort));
  }

  /** Limits the fake worker pool to this many cores and executions of this length. */
  public void limitWorkerPool(int cores, int executionMs) throws IOException {
    workerCores = cores;
    pool.limitCores(cores, executionMs);
    Files.writeString(folder.resolve("config.json"), config(version.settings(), daemonAdminPort));
  }

  /** Sets the configured and the actual limit of open descriptors of the daemon. */
  public void limitDescriptors(int configured, int actual) throws IOException {
    shellPrefix += "ulimit -n " + actual + "; ";
    descriptorLimit = configured;
    Files.writeString(folder.resolve("config.json"), config(version.settings(), daemonAdminPort));
  }

  /**
   * Starts daemons of this class path by the deployed start script from now on. Their wall clock is
   * that of the machine.
   */
  public void useRunScript() throws IOException {
    runScript = new RunScript(Files.createDirectories(folder.resolve("deployed")));
  }

  /** Sets an environment variable of the daemons that are started from now on. */
  public void setEnvironment(String name, String value) {
    environmentOverrides.put(name, value);
  }

  /** Closes the fake name service permanently. */
  public void closeNameService() {
    nameServiceSocket.close();
  }

  /**
   * Moves the fake worker pool to another address and writes that to the daemon's configuration.
   */
  public void moveWorkerPool() throws IOException {
    FakeWorkerPool previous = pool;
    pool = new FakeWorkerPool(previous, random, MAX_EXECUTION_MS, play.maxResultBytes());
    Files.writeString(folder.resolve("config.json"), config(version.settings(), daemonAdminPort));
    previous.close();
  }

  /** The fake worker pool. */
  public FakeWorkerPool pool() {
    return pool;
  }

  public void setExecutionListener(FakeWorkerPool.ExecutionListener listener) {
    pool.setExecutionListener(listener);
  }

  public InetSocketAddress address() {
    return new InetSocketAddress(LOOPBACK, portFor("front", listenPort));
  }

  /** The proxy on a path ("front", "pool", "store" or "names"); null without proxies. */
  public FaultProxy link(String path) {
    return proxies.get(path);
  }

  /** The wall clock of this host. */
  SkewedClock clock() {
    return clock;
  }

  /**
   * Sets the offset of this host's wall clock; it applies to the processes that {@link #begin}
   * started.
   */
  public void setClockOffset(long ms) {
    clock.setOffset(ms);
  }

  /** Folder of the configurations and logs. */
  public Path folder() {
    return folder;
  }

  private int portFor(String path, int port) {
    FaultProxy proxy = proxies.get(path);
    return proxy == null ? port : proxy.address().getPort();
  }

  private static String perClass(String value, Settings processSettings) {
    return String.join(", ", Collections.nCopies(processSettings.classes().size(), value));
  }

  private String config(Settings processSettings, int adminPort) {
    return """
                {"name": "n1", "listen": "127.0.0.1:%d", "pool": "127.0.0.1:%d", "db": "127.0.0.1:%d",
                 "naming": "127.0.0.1:%d", "console": "127.0.0.1:%d", "seed": "7", "stop_ms": 3200,
                 "limits": {"cores": %s, "memory_mb": %d, "sockets": %d},
                 "settings": {
                  "categories": [
                   %s],
                  "ceilings": {"maxRetryAfter": 1, "retryAfter": true}, "clients": {"marksRetry": false},
                  "overShareWorth": 0.05,
                  "obligations": {"answerSlack": 0.06, "cold": 18, "coldFrom": 0.2, "drainGrace": 2, "fall": 3,
                   "tipMultiple": 8},
                  "peersTotal": 1, "tenants": [%s], "tick": 0.004, "worthBy": "request",
                  "specifics": {"callShare": 6, "callers": 3, "callsOver": 5, "classCalls": [%s],
                   "classSkipWorth": [%s], "downstream": "none", "gauges": ["cpu_busy", "runnable"], "heeded": 1,
                   "keepaliveMax": 30, "keyKb": 1, "linger": 0.2, "listFollows": true, "memoryKb": 720000, "nCores": %d,
                   "preemption": "pause", "runFactor": 2, "say": "weight", "shareFor": 0, "tellsGone": true}}}
                """
        .formatted(
            listenPort,
            portFor("pool", pool.address().getPort()),
            portFor("store", storeSocket.getLocalPort()),
            portFor("names", nameServicePort),
            adminPort,
            coreLimit,
            processSettings.memoryMb(),
            descriptorLimit,
            String.join(",\n", processSettings.classes()),
            tenantSettings(),
            perClass("false", processSettings),
            perClass("0", processSettings),
            workerCores);
  }

  private String tenantSettings() {
    return tenants.stream()
        .map(
            name ->
                "{\"name\": \"%s\", \"portion\": %s, \"allowancePerS\": %d}"
                    .formatted(name, 1.0 / tenants.size(), TENANT_QUOTA))
        .collect(Collectors.joining(", "));
  }

  // ---- The daemons ----

  /** Starts the single daemon and waits until it is ready. */
  public void start() throws IOException {
    if (!launch().awaitReady(READY_TIMEOUT_MS)) {
      throw new IOException("the daemon was not ready in time; its log:\n" + daemon.log());
    }
  }

  /** Starts the single daemon without waiting until it is ready. */
  public DaemonProcess launch() throws IOException {
    // Memory is measured with the deployed start script (property "packaged").
    List<String> command = new ArrayList<>(launchCommand());
    if (!shellPrefix.isEmpty()) {
      command.addAll(0, List.of("/bin/sh", "-c", shellPrefix + "exec \"$@\"", "sh"));
    }
    command.addAll(settingsArguments(version.script(), "appliance.star"));
    daemon =
        new DaemonProcess(
            command,
            environment("config.json"),
            workingDirectory(),
            folder.resolve("daemon.log"),
            daemonAdminPort);
    processes.add(daemon);
    return daemon;
  }

  private List<String> launchCommand() {
    if (runScript != null) {
      return runScript.command();
    }
    return Boolean.getBoolean("packaged") && version.main().equals("wharftrestle.Main")
        ? List.of("sh", "deploy/run.sh")
        : DaemonProcess.command(null, version.main(), play.memoryMb());
  }

  private Path workingDirectory() {
    return runScript == null ? Path.of("").toAbsolutePath() : runScript.directory();
  }

  /**
   * Waits up to {@code ms} for a load report that this host accepts work; false if none arrives.
   */
  public boolean awaitReportedReady(int ms) throws IOException {
    DatagramPacket report = new DatagramPacket(new byte[100], 100);
    nameServiceSocket.setSoTimeout(ms);
    try {
      for (String text = ""; !text.endsWith(" yes"); ) {
        nameServiceSocket.receive(report);
        text = new String(report.getData(), 0, report.getLength(), StandardCharsets.ISO_8859_1);
        report.setLength(100);
      }
      return true;
    } catch (SocketTimeoutException timeout) {
      return false;
    }
  }

  /**
   * Starts another process of this host, which takes over from the one that serves; does not wait
   * until it is ready.
   */
  public DaemonProcess begin(Version next) throws IOException {
    int number = ++processCount;
    int processAdminPort = Address.freePort();
    String config = "config-" + number + ".json";
    Files.writeString(folder.resolve(config), config(next.settings(), processAdminPort));
    List<String> command = new ArrayList<>();
    if (runScript == null) {
      command.addAll(DaemonProcess.command(next.jar(), next.main(), next.settings().memoryMb()));
      command.add(1, clock.option());
    } else {
      command.addAll(runScript.command());
    }
    command.addAll(settingsArguments(next.script(), "appliance-" + number + ".star"));
    Map<String, String> environment = environment(config);
    environment.put("TMPDIR", folder.toString());
    DaemonProcess process =
        new DaemonProcess(
            command,
            environment,
            workingDirectory(),
            folder.resolve("daemon-" + number + ".log"),
            processAdminPort);
    processes.add(process);
    return process;
  }

  private List<String> settingsArguments(String script, String name) throws IOException {
    if (script.isEmpty()) {
      return List.of();
    }
    Path file = folder.resolve(name);
    Files.writeString(file, script);
    return List.of("--appliance", file.toAbsolutePath().toString());
  }

  private Map<String, String> environment(String config) {
    Map<String, String> environment =
        new HashMap<>(
            Map.of(
                "EDGE_CONFIG",
                folder.resolve(config).toAbsolutePath().toString(),
                "MALLOC_ARENA_MAX",
                "1"));
    if (runScript != null) {
      environment.put("PATH", runScript.searchPath());
    }
    environment.putAll(environmentOverrides);
    return environment;
  }

  /** The daemon that {@link #start} or {@link #launch} started last. */
  public DaemonProcess daemon() {
    return daemon;
  }

  /** Deletes a folder with its contents. */
  public static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : (Iterable<Path>) files.sorted(Comparator.reverseOrder())::iterator) {
        Files.deleteIfExists(file);
      }
    }
  }

  /** Executions beyond the first of each body. */
  public int doubleRuns() {
    int duplicates = 0;
    for (String name : pool.executedNames()) {
      duplicates += executions(name) - 1;
    }
    return duplicates;
  }

  /** Number of distinct bodies that were executed. */
  public int executedBodies() {
    return pool.executedBodies();
  }

  /** Number of executions of the body with this first line. */
  public int executions(String name) {
    return pool.executionStarts(name).size();
  }

  @Override
  public void close() throws IOException {
    for (DaemonProcess process : processes) {
      try {
        if (process.alive()) {
          process.setPaused(false);
          process.kill();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (FaultProxy proxy : proxies.values()) {
      proxy.close();
    }
    pool.close();
    storeSocket.close();
    nameServiceSocket.close();
    clock.close();
  }
}
