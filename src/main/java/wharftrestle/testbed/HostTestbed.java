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
import java.util.stream.Stream;
import wharftrestle.transport.Address;

/**
 * The floor of a proof: one box with its daemons as processes of their own, and stand-ins for what
 * they talk to, which outlive them. It owns the addresses, the configurations and the processes.
 * What its worker pool counts is the proof; it must never ask a daemon.
 */
public final class HostTestbed implements Closeable {
  private static final InetAddress HOST = InetAddress.getLoopbackAddress();

  /** Milliseconds of a run at most. */
  private static final int LONGEST_RUN = 25;

  /** Milliseconds in which an answer is due, for each class. */
  static final long DUE_MS = 6000;

  /** Milliseconds in which a daemon that is alone serves. */
  private static final long READY_MS = 30_000;

  /**
   * What is played.
   *
   * @param main the daemon's main class
   * @param memoryMb its limit
   * @param window seconds in which a key may come again
   * @param longestResult bytes that a run adds to its body's name at most
   */
  public record Play(String main, int memoryMb, int window, int longestResult) {
    /** The daemon as it is, with the window of the first site and small results. */
    public static Play of(int memoryMb) {
      return new Play("wharftrestle.Main", memoryMb, 24, 300);
    }
  }

  /**
   * What one process is set to.
   *
   * @param memoryMb its limit
   * @param window seconds in which a key may come again
   * @param moved its classes stand in another order
   * @param more it has a class more
   */
  public record Settings(int memoryMb, int window, boolean moved, boolean more) {
    private List<String> classes() {
      List<String> all =
          new ArrayList<>(
              List.of(
                  """
                    {"deadline": %s, "importance": 1, "lateWorth": 0, "memorySpan": %d, "name": "read",
                     "repeat": "read_like", "slo": 2}"""
                      .formatted(DUE_MS / 1000.0, window),
                  """
                    {"deadline": %s, "importance": 3, "lateWorth": 0.2, "memorySpan": %d, "name": "save",
                     "repeat": "idempotency_key", "slo": 2}"""
                      .formatted(DUE_MS / 1000.0, window)));
      if (moved) {
        Collections.reverse(all);
      }
      if (more) {
        all.add(
            """
                    {"deadline": %s, "importance": 2, "lateWorth": 0, "memorySpan": %d, "name": "extra",
                     "repeat": "idempotency_key", "slo": 2}"""
                .formatted(DUE_MS / 1000.0, window));
      }
      return all;
    }
  }

  /**
   * What one process is.
   *
   * @param jar its build; null for the classes of this process
   * @param main its main class
   * @param settings what it is set to
   * @param script the operators' settings; empty for none
   */
  public record Version(Path jar, String main, Settings settings, String script) {}

  private volatile FakeWorkerPool pool;
  private String shell = "";
  private int sockets = 512;
  private final ServerSocket idle = new ServerSocket(0, 50, HOST); // the script store: nobody calls
  private final DatagramSocket naming = new DatagramSocket(0, HOST);
  private final int names = naming.getLocalPort();
  private final Random random;
  private final Path folder;
  private final int listen;
  private final Version version;
  private final Play play;
  private final List<DaemonProcess> all = new ArrayList<>();
  private final Map<String, FaultProxy> links = new HashMap<>();
  private final SkewedClock clock;
  private int started;
  private int soleDoor;
  private DaemonProcess daemon;

  /**
   * @param script the operators' settings; empty for none
   */
  public HostTestbed(Path folder, String script, long seed, Play play) throws IOException {
    this(folder, script, seed, play, false);
  }

  /**
   * @param linked whether a link that can fail lies on each path
   */
  public HostTestbed(Path folder, String script, long seed, Play play, boolean linked)
      throws IOException {
    this.folder = folder;
    this.play = play;
    random = new Random(seed);
    clock = new SkewedClock(folder.resolve("clock"));
    listen = Address.freePort();
    pool = new FakeWorkerPool(null, random, LONGEST_RUN, play.longestResult());
    if (linked) {
      links.put("front", new FaultProxy(new InetSocketAddress(HOST, listen), seed));
      links.put("pool", new FaultProxy(pool.address(), seed + 100));
      links.put(
          "store", new FaultProxy((InetSocketAddress) idle.getLocalSocketAddress(), seed + 200));
      links.put(
          "names", new FaultProxy((InetSocketAddress) naming.getLocalSocketAddress(), seed + 300));
    }
    version = new Version(null, play.main(), settings(), script);
    soleDoor = Address.freePort();
    Files.writeString(folder.resolve("config.json"), config(version.settings(), soleDoor));
  }

  /** What is played, as one process is set to it. */
  public Settings settings() {
    return new Settings(play.memoryMb(), play.window(), false, false);
  }

  /** The daemon is started as by nohup. */
  public void ignoreHangups() {
    shell += "trap '' HUP; ";
  }

  /** The daemon is told that it may hold so many descriptors; the system lets it have so many. */
  public void limitDescriptors(int told, int most) throws IOException {
    shell += "ulimit -n " + most + "; ";
    sockets = told;
    Files.writeString(folder.resolve("config.json"), config(version.settings(), soleDoor));
  }

  /** The name service is gone for good. */
  public void loseNames() {
    naming.close();
  }

  /** The worker pool goes to another address, which the daemon's configuration says from now on. */
  public void movePool() throws IOException {
    FakeWorkerPool old = pool;
    pool = new FakeWorkerPool(old, random, LONGEST_RUN, play.longestResult());
    Files.writeString(folder.resolve("config.json"), config(version.settings(), soleDoor));
    old.close();
  }

  /** The stand-in worker pool. */
  public FakeWorkerPool pool() {
    return pool;
  }

  public void watch(FakeWorkerPool.Moments told) {
    pool.watch(told);
  }

  public InetSocketAddress address() {
    return new InetSocketAddress(HOST, through("front", listen));
  }

  /** The link on a path: "front", "pool", "store" or "names"; null where there is none. */
  public FaultProxy link(String path) {
    return links.get(path);
  }

  /** The time of day of this floor's machine. */
  SkewedClock clock() {
    return clock;
  }

  /**
   * The time of day of this floor's machine is off by so many ms from now on; processes of {@link
   * #begin} have it.
   */
  public void clockOff(long ms) {
    clock.set(ms);
  }

  /** Where this floor's files lie. */
  public Path folder() {
    return folder;
  }

  private int through(String path, int port) {
    FaultProxy link = links.get(path);
    return link == null ? port : link.address().getPort();
  }

  private static String none(String value, Settings set) {
    return String.join(", ", Collections.nCopies(set.classes().size(), value));
  }

  private String config(Settings set, int door) {
    return """
                {"name": "n1", "listen": "127.0.0.1:%d", "pool": "127.0.0.1:%d", "db": "127.0.0.1:%d",
                 "naming": "127.0.0.1:%d", "console": "127.0.0.1:%d", "seed": "7", "stop_ms": 3200,
                 "limits": {"cores": 1.0, "memory_mb": %d, "sockets": %d},
                 "settings": {
                  "categories": [
                   %s],
                  "ceilings": {"maxRetryAfter": 1, "retryAfter": true}, "clients": {"marksRetry": false},
                  "overShareWorth": 0.05,
                  "obligations": {"answerSlack": 0.06, "cold": 18, "coldFrom": 0.2, "drainGrace": 2, "fall": 3,
                   "tipMultiple": 8},
                  "peersTotal": 1, "tenants": [], "tick": 0.004, "worthBy": "request",
                  "specifics": {"callShare": 6, "callers": 3, "callsOver": 5, "classCalls": [%s],
                   "classSkipWorth": [%s], "downstream": "none", "gauges": ["cpu_busy", "runnable"], "heeded": 1,
                   "keepaliveMax": 30, "keyKb": 1, "linger": 0.2, "listFollows": true, "memoryKb": 720000, "nCores": 32,
                   "preemption": "pause", "runFactor": 2, "say": "weight", "shareFor": 0, "tellsGone": true}}}
                """
        .formatted(
            listen,
            through("pool", pool.address().getPort()),
            through("store", idle.getLocalPort()),
            through("names", names),
            door,
            set.memoryMb(),
            sockets,
            String.join(",\n", set.classes()),
            none("false", set),
            none("0", set));
  }

  // ---- The daemons ----

  /** Starts the floor's one daemon and waits until it serves. */
  public void start() throws IOException {
    if (!launch().awaitReady(READY_MS)) {
      throw new IOException("the daemon did not start:\n" + daemon.log());
    }
  }

  /** Starts the floor's one daemon; whether it serves is another question. */
  public DaemonProcess launch() throws IOException {
    // Packaged is as it is deployed: so memory is measured.
    List<String> command =
        new ArrayList<>(
            Boolean.getBoolean("packaged") && version.main().equals("wharftrestle.Main")
                ? List.of("sh", "deploy/run.sh")
                : DaemonProcess.command(null, version.main(), play.memoryMb()));
    if (!shell.isEmpty()) {
      command.addAll(0, List.of("/bin/sh", "-c", shell + "exec \"$@\"", "sh"));
    }
    command.addAll(appliance(version.script(), "appliance.star"));
    daemon =
        new DaemonProcess(
            command, environment("config.json"), folder.resolve("daemon.log"), soleDoor);
    all.add(daemon);
    return daemon;
  }

  /** Waits, at most so many ms, for a report that this box takes work; false where none comes. */
  public boolean awaitListed(int ms) throws IOException {
    DatagramPacket report = new DatagramPacket(new byte[100], 100);
    naming.setSoTimeout(ms);
    try {
      for (String said = ""; !said.endsWith(" yes"); ) {
        naming.receive(report);
        said = new String(report.getData(), 0, report.getLength(), StandardCharsets.ISO_8859_1);
        report.setLength(100);
      }
      return true;
    } catch (SocketTimeoutException none) {
      return false;
    }
  }

  /**
   * Starts one more process of the same box; it takes over from the one that serves, and is not
   * waited for.
   */
  public DaemonProcess begin(Version next) throws IOException {
    int number = ++started;
    int door = Address.freePort();
    String config = "config-" + number + ".json";
    Files.writeString(folder.resolve(config), config(next.settings(), door));
    List<String> command =
        new ArrayList<>(DaemonProcess.command(next.jar(), next.main(), next.settings().memoryMb()));
    command.add(1, clock.option());
    command.addAll(appliance(next.script(), "appliance-" + number + ".star"));
    Map<String, String> environment = environment(config);
    environment.put("TMPDIR", folder.toString());
    DaemonProcess begun =
        new DaemonProcess(command, environment, folder.resolve("daemon-" + number + ".log"), door);
    all.add(begun);
    return begun;
  }

  private List<String> appliance(String script, String name) throws IOException {
    if (script.isEmpty()) {
      return List.of();
    }
    Path file = folder.resolve(name);
    Files.writeString(file, script);
    return List.of("--appliance", file.toString());
  }

  private Map<String, String> environment(String config) {
    return new HashMap<>(
        Map.of("EDGE_CONFIG", folder.resolve(config).toString(), "MALLOC_ARENA_MAX", "1"));
  }

  /** The one that {@link #start} started last. */
  public DaemonProcess daemon() {
    return daemon;
  }

  /** A folder that was made for one play goes with all in it. */
  public static void delete(Path folder) throws IOException {
    try (Stream<Path> all = Files.walk(folder)) {
      for (Path each : (Iterable<Path>) all.sorted(Comparator.reverseOrder())::iterator) {
        Files.deleteIfExists(each);
      }
    }
  }

  /** Runs beyond the first of a body. */
  public int doubleRuns() {
    int more = 0;
    for (String name : pool.names()) {
      more += runs(name) - 1;
    }
    return more;
  }

  /** Bodies that ran. */
  public int bodies() {
    return pool.bodies();
  }

  /** Runs of a body whose first line is this. */
  public int runs(String name) {
    return pool.begun(name).size();
  }

  @Override
  public void close() throws IOException {
    for (DaemonProcess each : all) {
      try {
        if (each.alive()) {
          each.stopped(false);
          each.kill();
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (FaultProxy link : links.values()) {
      link.close();
    }
    pool.close();
    idle.close();
    naming.close();
    clock.close();
  }
}
