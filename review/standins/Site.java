package review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One host: a temporary folder, the configuration of its daemon with the settings of a small
 * deployment, and the processes that were started by the deploy file's 'run'. Ends them all.
 */
final class Site implements AutoCloseable {
  private final Path root;
  private final Path folder;
  private final Path logs;
  private final DatagramSocket names;
  private final List<Process> processes = new ArrayList<>();

  /** @param root the repository; @param logs where the daemons' logs go */
  Site(Path root, Path logs) throws IOException {
    this.root = root;
    this.logs = logs;
    folder = Files.createTempDirectory("wr");
    names = new DatagramSocket(0, InetAddress.getLoopbackAddress()); // reports get no answer
    Runtime.getRuntime().addShutdownHook(new Thread(this::close)); // also where this process is told to end
  }

  /** A whole number from the environment. */
  static int setting(String name, int standard) {
    String value = System.getenv(name);
    return value == null || value.isEmpty() ? standard : Integer.parseInt(value);
  }

  Path folder() {
    return folder;
  }

  static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return probe.getLocalPort();
    }
  }

  /** The command 'run' of the deploy file. */
  private String runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("deploy/balancer.toml has no 'run'");
  }

  /** Starts a daemon; the arguments are appended to the run command. */
  Process start(String name, InetSocketAddress listen, String pool, String db, String console, String... arguments)
      throws IOException {
    Path config = folder.resolve("config-" + processes.size() + ".json");
    Files.writeString(config, config(name, listen, pool, db, console));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", runCommand() + String.join("", Stream.of(arguments).map(a -> " " + a).toList()));
    builder.directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(logs.resolve("daemon-" + processes.size() + ".log").toFile());
    Map<String, String> environment = builder.environment();
    environment.put("EDGE_NAME", name);
    environment.put("EDGE_LISTEN", listen.getHostString() + ":" + listen.getPort());
    environment.put("EDGE_CONFIG", config.toString());
    environment.put("TMPDIR", folder.toString());
    Process process = builder.start();
    synchronized (processes) {
      processes.add(process);
    }
    return process;
  }

  /** Waits until a health check is answered as good; false if it never is. */
  static boolean awaitHealthy(InetSocketAddress listen, Process process) throws InterruptedException {
    for (int i = 0; i < 300 && process.isAlive(); i++) {
      if (Desk.isHealthy(listen)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private String config(String name, InetSocketAddress listen, String pool, String db, String console) {
    return """
        {"name":"%s","listen":"%s:%d","pool":"%s","naming":"127.0.0.1:%d","db":"%s",%s
         "seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "settings":%s}
        """
        .formatted(
            name, listen.getHostString(), listen.getPort(), pool, names.getLocalPort(), db,
            console == null ? "" : "\"console\":\"" + console + "\",", SETTINGS);
  }

  /** The example of the wire's page, for a warm host. */
  private static final String SETTINGS =
      """
      {"categories": [
        {"deadline": 6.5, "importance": 1.0, "lateWorth": 0.2, "memorySpan": 5.0, "name": "next-step", "repeat": "read_like", "slo": 2.0},
        {"deadline": 5.2, "importance": 2.0, "lateWorth": 0.2, "memorySpan": 5.0, "name": "prefill", "repeat": "read_like", "slo": 2.1},
        {"deadline": 7.8, "importance": 3.0, "lateWorth": 0.2, "memorySpan": 23.547, "name": "outcome", "repeat": "idempotency_key", "slo": 2.1}],
       "ceilings": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 61293, "maxRetryAfter": 1.0, "retryAfter": true},
       "clients": {"marksRetry": false},
       "family": "server",
       "goal": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25},
       "loadInfo": {"fields": ["util", "latency_ms"], "via": "answers"},
       "localities": ["eros", "klein-windhoek", "northern-ind"],
       "me": 9,
       "obligations": {"answerSlack": 0.06, "cold": 18.0, "coldFrom": 0.2, "drainGrace": 2.0, "fall": 3.0, "tipMultiple": 8.0},
       "overShareWorth": 0.05,
       "peersTotal": 11,
       "prices": {"connection": 0.0, "handshake": 0.0, "lateFail": 0.05, "origin": 0.02, "waste": 0.16},
       "specifics": {"callShare": 6.81, "callers": 3, "callsOver": 5.0, "classCalls": [true, false, true],
         "classSkipWorth": [0.6, 0.0, 0.0], "downstream": "shared", "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
         "heeded": 1.0, "justStarted": false, "keepaliveMax": 30.0, "keyKb": 26.98, "linger": 0.2, "listFollows": true,
         "memoryKb": 172078.0, "nCores": 6, "passesDeadline": false, "preemption": "pause", "realChecks": false,
         "runFactor": 16.0, "say": "weight", "shareFor": 0.0, "tellsGone": true},
       "tenants": [{"allowancePerS": 49.0, "name": "omaruru-power", "portion": 0.5}, {"allowancePerS": 49.0, "name": "kalahari-mobile", "portion": 0.5}],
       "tick": 0.004, "tier": 0, "tiers": ["script-servers"], "worthBy": "request", "zone": 1}""";

  private void killAll() {
    synchronized (processes) {
      for (Process process : processes) {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
      }
    }
  }

  @Override
  public synchronized void close() {
    killAll();
    synchronized (processes) {
      for (Process process : processes) {
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    names.close();
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(Site::delete);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void delete(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
