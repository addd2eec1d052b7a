import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One host: daemons as the deploy file starts them, and stand-ins for the worker pool, the store
 * and the name service. The settings are those of the first deployment. Everything is on loopback
 * addresses; close ends all processes that were started.
 */
final class Rig implements Closeable {
  static final int CORES = 6;
  static final int STOP_MS = 3200;
  /** Time of slack after the due time: 60 ms of the rules and 50 ms on sockets. */
  static final long SLACK_MS = 110;

  static final Map<String, Long> DEADLINE_MS =
      Map.of(
          "next-step", 6500L, "prefill", 5200L, "outcome", 7800L);

  /** The settings of the deployment windhoek-scripts. */
  private static final String WINDHOEK =
      """
      {
       "categories":[
        {"deadline":6.5,"importance":1.0,"lateWorth":0.2,"memorySpan":5.0,"name":"next-step",
         "repeat":"read_like","slo":2.0},
        {"deadline":5.2,"importance":2.0,"lateWorth":0.2,"memorySpan":5.0,"name":"prefill",
         "repeat":"read_like","slo":2.1},
        {"deadline":7.8,"importance":3.0,"lateWorth":0.2,"memorySpan":23.547,"name":"outcome",
         "repeat":"idempotency_key","slo":2.1}],
       "ceilings":{"cpuUsPerRequest":0.0,"cpuUsPerS":61293,"maxRetryAfter":1.0,"retryAfter":true},
       "clients":{"marksRetry":false},"family":"server",
       "goal":{"whole":0.45,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.25},
       "loadInfo":{"fields":["util","latency_ms"],"via":"answers"},
       "localities":["eros","klein-windhoek","northern-ind"],"me":0,
       "obligations":{"answerSlack":0.06,"cold":18.0,"coldFrom":0.2,"drainGrace":2.0,"fall":3.0,
        "tipMultiple":8.0},
       "overShareWorth":0.05,"peersTotal":11,
       "prices":{"connection":0.0,"handshake":0.0,"lateFail":0.05,"origin":0.02,"waste":0.16},
       "specifics":{"callShare":6.81,"callers":3,"callsOver":5.0,"classCalls":[true,false,true],
        "classSkipWorth":[0.6,0.0,0.0],"downstream":"shared",
        "gauges":["cpu_busy","runnable","mem_used","sockets"],"heeded":1.0,"justStarted":false,
        "keepaliveMax":30.0,"keyKb":126.98,"linger":0.2,"listFollows":true,"memoryKb":72078.0,
        "nCores":6,"passesDeadline":false,"preemption":"pause","realChecks":false,
        "runFactor":16.0,"say":"weight","shareFor":0.0,"tellsGone":true},
       "tenants":[{"allowancePerS":49.0,"name":"omaruru-power","portion":0.28},
        {"allowancePerS":49.0,"name":"kalahari-mobile","portion":0.28},
        {"allowancePerS":42.0,"name":"swakop-insure","portion":0.24},
        {"allowancePerS":35.0,"name":"etosha-retail","portion":0.2}],
       "tick":0.004,"tier":0,"tiers":["script-servers"],"worthBy":"request","zone":1}
      """;

  /** By how much deadlines, aims and windows are divided; work is up to the pool. */
  int scale = 1;

  final Log log;
  final Requests requests = new Requests();
  final Path root;
  final Path folder;
  final Store store;
  final Names names;
  final List<Process> processes = new ArrayList<>();
  final List<Pool> pools = new ArrayList<>();
  private boolean hasEnded;

  Rig(Path root, Log log) throws IOException {
    this.root = root;
    this.log = log;
    folder = Files.createTempDirectory("rig");
    store = new Store(log);
    names = new Names(log);
    // A case ends with System.exit, also where it fails.
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  static void thread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  Pool newPool(Pool.Program program) throws IOException {
    Pool pool = new Pool(log, requests, program);
    pools.add(pool);
    return pool;
  }

  /** Writes a configuration and returns its file. */
  Path config(String file, int listenPort, int consolePort, int poolPort) throws IOException {
    String text =
        """
        {"name":"n3","listen":"127.0.0.1:%d","pool":"127.0.0.1:%d","naming":"127.0.0.1:%d",
         "db":"127.0.0.1:%d","console":"127.0.0.1:%d","seed":"8c1f30d27a5be964","stop_ms":%d,
         "limits":{"cores":1.0,"memory_mb":192,"sockets":512},
         "settings":%s}
        """
            .formatted(
                listenPort,
                poolPort,
                names.port(),
                store.port(),
                consolePort,
                STOP_MS,
                scaled(WINDHOEK));
    return Files.writeString(folder.resolve(file), text);
  }

  /** Milliseconds after which a request of this class is due. */
  long deadlineMillis(String type) {
    return DEADLINE_MS.get(type) / scale;
  }

  private String scaled(String settings) {
    return Pattern.compile("\"(deadline|slo|memorySpan)\":([0-9.]+)")
        .matcher(settings)
        .replaceAll(
            each -> "\"" + each.group(1) + "\":" + Double.parseDouble(each.group(2)) / scale);
  }

  /** Starts a daemon with the 'run' command of the deploy file and these arguments after it. */
  Process start(Path config, Path tmp, String arguments) throws IOException {
    String run =
        Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run = \""))
            .map(line -> line.substring(7, line.length() - 1))
            .findFirst()
            .orElseThrow();
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", arguments.isEmpty() ? run : run + " " + arguments);
    builder.directory(root.toFile());
    builder.environment().put("EDGE_CONFIG", config.toString());
    builder.environment().put("TMPDIR", tmp.toString());
    File daemonLog = folder.resolve("daemon-" + processes.size() + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(daemonLog);
    Process process = builder.start();
    processes.add(process);
    log.add("daemon: process %d started", processes.size());
    return process;
  }

  /** Waits until the daemon's admin endpoint says that it takes clients. */
  void awaitReady(int consolePort, Process process) throws IOException, InterruptedException {
    for (long end = System.nanoTime() + 30_000_000_000L; System.nanoTime() < end; ) {
      if (!process.isAlive()) {
        break;
      }
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                new URL("http://127.0.0.1:" + consolePort + "/_ready").openConnection();
        call.setConnectTimeout(1000);
        call.setReadTimeout(1000);
        if (call.getResponseCode() == 200) {
          log.add("daemon: ready");
          return;
        }
      } catch (IOException notYet) {
        // asked again
      }
      Thread.sleep(50);
    }
    throw new IOException("the daemon was not ready in 30 s: " + daemonLogs());
  }

  String daemonLogs() throws IOException {
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < processes.size(); i++) {
      all.append(Files.readString(folder.resolve("daemon-" + i + ".log")));
    }
    return all.toString();
  }

  /** Sends a signal to one process that this rig started. */
  static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Ends all processes that were started and deletes the folder; once. */
  private synchronized void end() {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    try {
      for (Process process : processes) {
        process.descendants().forEach(ProcessHandle::destroyForcibly);
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
      }
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } catch (IOException e) {
      log.add("the folder could not be deleted: %s", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    end();
    for (Pool pool : pools) {
      pool.close();
    }
    store.close();
    names.close();
  }
}
