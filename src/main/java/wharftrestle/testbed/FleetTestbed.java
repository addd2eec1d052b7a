package wharftrestle.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import wharftrestle.supervisor.ReleaseDirectory;
import wharftrestle.transport.Address;
import wharftrestle.version.BuildInfo;

/**
 * A fleet on loopback. Each host has a real supervisor with its real daemon, fakes, clients, and a
 * fault-injecting proxy between its supervisor and the controllers. The state of a host is read
 * from its supervisor. {@link #close} ends all processes. Not thread-safe.
 */
public final class FleetTestbed implements Closeable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int HTTP_TIMEOUT_MS = 900;
  private static final int LOG_TAIL_CHARS = 600;
  private static final String BUILD_INFO_ENTRY =
      BuildInfo.class.getName().replace('.', '/') + ".class";

  /** Time after a fault on a host in which a connection to it may end without its reply. */
  private static final long EXCUSE_MS = 4000;

  private static final List<String> JVM_OPTIONS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xms24m",
          "-Xmx40m",
          "-Xss192k",
          "-XX:MaxMetaspaceSize=48m",
          "-XX:ReservedCodeCacheSize=16m",
          "-Xshare:auto");

  /** One host of the fleet. */
  public static final class Host {
    private final String name;
    private final String zone;
    private final HostTestbed testbed;
    private final Path stateDirectory;
    private final int port;
    private final FaultProxy controllerProxy;
    private TestClients clients;
    private Process supervisor;
    private volatile long lastFaultAt = Long.MIN_VALUE / 2;

    Host(
        String name,
        String zone,
        HostTestbed testbed,
        Path stateDirectory,
        int port,
        FaultProxy controllerProxy) {
      this.name = name;
      this.zone = zone;
      this.testbed = testbed;
      this.stateDirectory = stateDirectory;
      this.port = port;
      this.controllerProxy = controllerProxy;
    }

    public String name() {
      return name;
    }

    public String zone() {
      return zone;
    }

    /** The proxy between the supervisor and the controllers. */
    public FaultProxy controllerProxy() {
      return controllerProxy;
    }

    /** Records a fault on this host: requests in flight may be lost. */
    public void recordFault() {
      lastFaultAt = System.nanoTime();
    }

    private boolean excused() {
      return System.nanoTime() - lastFaultAt < TimeUnit.MILLISECONDS.toNanos(EXCUSE_MS);
    }

    public TestClients clients() {
      return clients;
    }

    /** Status of the supervisor, read without the proxy; a missing node if it does not reply. */
    public JsonNode status() {
      try {
        HttpURLConnection connection =
            (HttpURLConnection)
                URI.create("http://127.0.0.1:" + port + "/box").toURL().openConnection();
        connection.setConnectTimeout(HTTP_TIMEOUT_MS);
        connection.setReadTimeout(HTTP_TIMEOUT_MS);
        try {
          return JSON.readTree(connection.getInputStream());
        } finally {
          connection.disconnect();
        }
      } catch (IOException noReply) {
        return MissingNode.getInstance();
      }
    }

    /** The release of the active daemon, from its own digest. */
    public String activeRelease() {
      return status().path("box").path("acts").asText();
    }

    public boolean settled() {
      return status().path("box").path("settled").asBoolean();
    }

    /** Process id of the serving daemon; 0 if unknown. */
    public long daemonPid() {
      return status().path("box").path("pid").asLong();
    }

    public Process supervisor() {
      return supervisor;
    }
  }

  private final Path folder;
  private final Path releases;
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final List<Process> controllers = new ArrayList<>();
  private final long seed;
  private final SkewedClock skewedClock;

  /**
   * @param zones number of zones, to which hosts are assigned in turn
   */
  public FleetTestbed(Path folder, int hosts, int zones, long seed) throws IOException {
    this.folder = folder;
    this.seed = seed;
    releases = folder.resolve("releases");
    skewedClock = new SkewedClock(folder.resolve("hour-off"));
    skewedClock.setOffset(3_600_000);
    for (int i = 1; i <= hosts; i++) {
      Path hostDirectory = Files.createDirectory(folder.resolve("b" + i));
      int port = Address.freePort();
      this.hosts.put(
          "b" + i,
          new Host(
              "b" + i,
              "z" + (i - 1) % zones,
              new HostTestbed(hostDirectory, "", seed + i, HostTestbed.Play.of(192)),
              Files.createDirectory(hostDirectory.resolve("k")),
              port,
              new FaultProxy(new InetSocketAddress(LOOPBACK, port), seed + i)));
    }
  }

  public Map<String, Host> hosts() {
    return hosts;
  }

  /**
   * Packs a release from the class path of this process: a jar whose manifest refers to it, with a
   * marker for the main class.
   *
   * @param marker text after the name in {@code /release.txt} of the jar
   */
  public void pack(String name, String main, String marker) throws IOException {
    Path jar = folder.resolve(name + ".jar");
    try (InputStream buildInfo = BuildInfo.class.getResourceAsStream("/" + BUILD_INFO_ENTRY)) {
      // A build is identified by the jar that contains this class.
      ThinJar.write(
          jar,
          main,
          Map.of(
              "release.txt",
              (name + " " + marker).getBytes(StandardCharsets.UTF_8),
              BUILD_INFO_ENTRY,
              buildInfo.readAllBytes()));
    }
    // Results are kept on disk, in a folder of each host, so a daemon that dies loses no key.
    Path settings =
        Files.writeString(folder.resolve("kept.star"), "durable(dir = \"results\", max_mb = 16)\n");
    new ReleaseDirectory(releases).pack(jar, settings, name);
  }

  private static List<String> javaCommand() {
    List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
    command.addAll(JVM_OPTIONS);
    return command;
  }

  /** Starts the supervisor of a host; the release applies if no daemon runs there yet. */
  public void startSupervisor(Host host, String release) throws IOException {
    startSupervisor(host, release, "wharftrestle.Main");
  }

  /** Starts a supervisor with another main class, such as a deliberately faulty one. */
  public void startSupervisor(Host host, String release, String main) throws IOException {
    List<String> command = javaCommand();
    if (host == hosts.values().iterator().next()) {
      // The wall clock of one supervisor is an hour off: nothing may depend on it.
      command.add(skewedClock.option());
    }
    // Settings of the host: a short probation, since the canary analysis of the fleet watches
    // longer.
    Path settings = host.stateDirectory.resolveSibling("box.star");
    Files.writeString(
        settings,
        "box(ready_s = 20, probation_s = 3, pause_s = 0.3, most_pause_s = 2, deaths = 4)\n");
    command.addAll(
        List.of(
            "-cp",
            ThinJar.classPath(),
            main,
            "box",
            "run",
            "--releases",
            releases.toString(),
            "--dir",
            host.stateDirectory.toString(),
            "--settings",
            settings.toString(),
            "--fleet",
            "127.0.0.1:" + host.port,
            "--name",
            host.name,
            "--java",
            String.join(" ", javaCommand()),
            release));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .directory(host.stateDirectory.toFile())
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(
                    host.stateDirectory.resolveSibling("keeper.log").toFile()));
    builder
        .environment()
        .put("EDGE_CONFIG", host.testbed.folder().resolve("config.json").toString());
    builder.environment().put("MALLOC_ARENA_MAX", "1");
    host.supervisor = builder.start();
  }

  /** Waits until every host serves this release; false if one does not in time. */
  public boolean awaitAll(String release, long ms) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    for (Host host : hosts.values()) {
      while (!(host.settled() && host.activeRelease().equals(release))) {
        if (System.nanoTime() > deadline) {
          return false;
        }
        LockSupport.parkNanos(50_000_000);
      }
    }
    return true;
  }

  /** Starts clients on all hosts. */
  public void startClients(int clientsPerHost, long keyMs) {
    for (Host host : hosts.values()) {
      host.clients =
          new TestClients(
              host.testbed,
              TestClients.Workload.of(clientsPerHost, keyMs),
              seed * 31 + host.name.hashCode(),
              host::excused);
      host.clients.start();
    }
  }

  /** Writes a plan of all hosts with the addresses of their proxies, followed by {@code change}. */
  public Path plan(String name, String change) throws IOException {
    StringBuilder text = new StringBuilder();
    for (Host host : hosts.values()) {
      text.append(
          String.format(
              "box(\"%s\", zone = \"%s\", keeper = \"127.0.0.1:%d\", front = \"127.0.0.1:%d\")%n",
              host.name,
              host.zone,
              host.controllerProxy.address().getPort(),
              host.testbed.address().getPort()));
    }
    return Files.writeString(folder.resolve(name), text + change + "\n");
  }

  /** Starts a controller of a plan in its own folder; its events go to the log in that folder. */
  public Process startController(Path plan, String name, String... arguments) throws IOException {
    Path controllerDirectory = Files.createDirectories(folder.resolve("d-" + name));
    List<String> command = javaCommand();
    command.addAll(
        List.of(
            "-cp",
            ThinJar.classPath(),
            "wharftrestle.Main",
            "fleet",
            "roll",
            "start",
            plan.toString(),
            "--dir",
            controllerDirectory.toString(),
            "--json"));
    command.addAll(List.of(arguments));
    Process controller =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(controllerDirectory.resolve("log").toFile()))
            .start();
    controllers.add(controller);
    return controller;
  }

  /** Folder of a controller. */
  public Path controllerFolder(String name) {
    return folder.resolve("d-" + name);
  }

  /** Events in the log of a controller, a JSON object a line; other lines are skipped. */
  public List<JsonNode> events(String name) throws IOException {
    List<JsonNode> all = new ArrayList<>();
    for (String line : Files.readAllLines(controllerFolder(name).resolve("log"))) {
      if (line.startsWith("{") && line.endsWith("}")) {
        all.add(JSON.readTree(line));
      }
    }
    return all;
  }

  /** Status of the hosts, and the end of the logs of their supervisors and daemons. */
  public String logs() throws IOException {
    StringBuilder text = new StringBuilder();
    for (Host host : hosts.values()) {
      text.append(host.name).append(' ').append(host.status()).append('\n');
      try (Stream<Path> files = Files.walk(host.stateDirectory.getParent())) {
        for (Path log :
            (Iterable<Path>)
                files.filter(each -> each.toString().endsWith(".log")).sorted()::iterator) {
          String content = Files.readString(log);
          text.append("  ")
              .append(log.getFileName())
              .append(": ")
              .append(
                  content
                      .substring(Math.max(0, content.length() - LOG_TAIL_CHARS))
                      .replace("\n", "\n    "))
              .append('\n');
        }
      }
    }
    return text.toString();
  }

  /** Sends a signal, such as STOP or CONT, to a process of this fleet. */
  public static void signal(long pid, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  /** Counts of broken rules of all clients, by name. */
  public Map<String, Integer> brokenRules() {
    Map<String, Integer> totals = new HashMap<>();
    for (Host host : hosts.values()) {
      TestClients.Tally tally = host.clients.tally();
      totals.merge("executed twice", tally.runTwice(), Integer::sum);
      totals.merge("refused after an execution", tally.refusedAfterRun(), Integer::sum);
      totals.merge("other bytes", tally.otherBytes(), Integer::sum);
      totals.merge("lost", tally.lost(), Integer::sum);
      totals.merge("unknown", tally.unknown(), Integer::sum);
      totals.merge("answered twice", tally.doubled(), Integer::sum);
    }
    totals.values().removeIf(count -> count == 0);
    return totals;
  }

  /** Replies to all clients: results, refusals, errors. */
  public int[] replyCounts() {
    int[] counts = new int[3];
    for (Host host : hosts.values()) {
      counts[0] += host.clients.served();
      counts[1] += host.clients.refused();
      counts[2] += host.clients.failed();
    }
    return counts;
  }

  /** Replies with a result to all clients. */
  public int served() {
    return hosts.values().stream().mapToInt(host -> host.clients.served()).sum();
  }

  @Override
  public void close() throws IOException {
    List<Process> processes = new ArrayList<>(controllers);
    hosts.values().stream()
        .map(Host::supervisor)
        .filter(process -> process != null)
        .forEach(processes::add);
    for (Process process : processes) {
      process.destroyForcibly();
    }
    for (Host host : hosts.values()) {
      // Daemons outlive their supervisors; their TMPDIR identifies them.
      for (ProcessHandle process : ProcessHandle.allProcesses().toList()) {
        try {
          if (Files.readString(
                  Path.of("/proc/" + process.pid() + "/environ"), StandardCharsets.ISO_8859_1)
              .contains("TMPDIR=" + host.stateDirectory)) {
            process.destroyForcibly();
          }
        } catch (IOException processEnded) {
          continue;
        }
      }
      host.controllerProxy.close();
      host.testbed.close();
    }
    skewedClock.close();
  }
}
