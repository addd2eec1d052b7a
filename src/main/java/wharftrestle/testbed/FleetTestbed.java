package wharftrestle.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.Closeable;
import java.io.File;
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
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.jar.Attributes;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import wharftrestle.supervisor.ReleaseDirectory;
import wharftrestle.transport.Address;
import wharftrestle.version.BuildInfo;

/**
 * A fleet on loopback: each box a real keeper with its real daemon, stand-ins and callers, and a
 * link that can fail between its keeper and whoever drives. It owns all of their processes and ends
 * them; what the boxes are is asked of their keepers.
 */
public final class FleetTestbed implements Closeable {
  private static final InetAddress HOST = InetAddress.getLoopbackAddress();
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int PATIENCE_MS = 900;
  private static final int LOG_END = 600;
  private static final String BUILD = BuildInfo.class.getName().replace('.', '/') + ".class";

  /** Milliseconds after a fault at a box in which a connection to it may end without its answer. */
  private static final long EXCUSE_MS = 4000;

  private static final List<String> JVM =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xms24m",
          "-Xmx40m",
          "-Xss192k",
          "-XX:MaxMetaspaceSize=48m",
          "-XX:ReservedCodeCacheSize=16m",
          "-Xshare:auto");

  /** One box. */
  public static final class Box {
    private final String name;
    private final String zone;
    private final HostTestbed floor;
    private final Path state;
    private final int port;
    private final FaultProxy link;
    private TestClients callers;
    private Process keeper;
    private volatile long troubleAt = Long.MIN_VALUE / 2;

    Box(String name, String zone, HostTestbed floor, Path state, int port, FaultProxy link) {
      this.name = name;
      this.zone = zone;
      this.floor = floor;
      this.state = state;
      this.port = port;
      this.link = link;
    }

    public String name() {
      return name;
    }

    public String zone() {
      return zone;
    }

    /** Between the keeper and whoever drives. */
    public FaultProxy link() {
      return link;
    }

    /** A fault is put at this box now: what is on its way may be lost. */
    public void trouble() {
      troubleAt = System.nanoTime();
    }

    private boolean excused() {
      return System.nanoTime() - troubleAt < TimeUnit.MILLISECONDS.toNanos(EXCUSE_MS);
    }

    public TestClients callers() {
      return callers;
    }

    /** What the keeper shows to anybody, not through the link; missing where it does not answer. */
    public JsonNode shows() {
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                URI.create("http://127.0.0.1:" + port + "/box").toURL().openConnection();
        call.setConnectTimeout(PATIENCE_MS);
        call.setReadTimeout(PATIENCE_MS);
        try {
          return JSON.readTree(call.getInputStream());
        } finally {
          call.disconnect();
        }
      } catch (IOException silent) {
        return MissingNode.getInstance();
      }
    }

    /** The release that its daemon is, by its own digest. */
    public String acts() {
      return shows().path("box").path("acts").asText();
    }

    public boolean settled() {
      return shows().path("box").path("settled").asBoolean();
    }

    /** The daemon that serves; 0 for none known. */
    public long daemonPid() {
      return shows().path("box").path("pid").asLong();
    }

    public Process keeper() {
      return keeper;
    }
  }

  private final Path folder;
  private final Path releases;
  private final Map<String, Box> boxes = new LinkedHashMap<>();
  private final List<Process> drivers = new ArrayList<>();
  private final long seed;
  private final SkewedClock hourOff;

  /**
   * @param zones boxes lie in so many, in turn
   */
  public FleetTestbed(Path folder, int boxes, int zones, long seed) throws IOException {
    this.folder = folder;
    this.seed = seed;
    releases = folder.resolve("releases");
    hourOff = new SkewedClock(folder.resolve("hour-off"));
    hourOff.set(3_600_000);
    for (int i = 1; i <= boxes; i++) {
      Path own = Files.createDirectory(folder.resolve("b" + i));
      int port = Address.freePort();
      this.boxes.put(
          "b" + i,
          new Box(
              "b" + i,
              "z" + (i - 1) % zones,
              new HostTestbed(own, "", seed + i, HostTestbed.Play.of(192)),
              Files.createDirectory(own.resolve("k")),
              port,
              new FaultProxy(new InetSocketAddress(HOST, port), seed + i)));
    }
  }

  public Map<String, Box> boxes() {
    return boxes;
  }

  /**
   * Makes a release of the classes that this process runs with: a jar that names their places, and
   * a word for its main class.
   *
   * @param word what {@code /release.txt} in the jar says
   */
  public void pack(String name, String main, String word) throws IOException {
    Path jar = folder.resolve(name + ".jar");
    Manifest manifest = new Manifest();
    manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
    manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, main);
    manifest
        .getMainAttributes()
        .put(
            Attributes.Name.CLASS_PATH,
            Arrays.stream(classes().split(File.pathSeparator))
                .map(each -> Path.of(each).toUri().toString())
                .collect(Collectors.joining(" ")));
    try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar), manifest)) {
      out.putNextEntry(new JarEntry("release.txt"));
      out.write((name + " " + word).getBytes(StandardCharsets.UTF_8));
      out.closeEntry();
      // A build is known by the jar that this class is from.
      out.putNextEntry(new JarEntry(BUILD));
      try (InputStream in = BuildInfo.class.getResourceAsStream("/" + BUILD)) {
        in.transferTo(out);
      }
      out.closeEntry();
    }
    // Results are kept on disk, each box in its own folder: so a daemon that dies costs no key.
    Path settings =
        Files.writeString(folder.resolve("kept.star"), "durable(dir = \"results\", max_mb = 16)\n");
    new ReleaseDirectory(releases).pack(jar, settings, name);
  }

  private static String classes() {
    String all =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    return Arrays.stream(all.split(File.pathSeparator))
        .map(each -> Path.of(each).toAbsolutePath().toString())
        .collect(Collectors.joining(File.pathSeparator));
  }

  private static List<String> java() {
    List<String> command = new ArrayList<>(List.of(System.getProperty("java.home") + "/bin/java"));
    command.addAll(JVM);
    return command;
  }

  /** Starts the keeper of a box; the release counts where nothing runs there. */
  public void keep(Box box, String release) throws IOException {
    keep(box, release, "wharftrestle.Main");
  }

  /** The same with another main class, such as a keeper that is wrong on purpose. */
  public void keep(Box box, String release, String main) throws IOException {
    List<String> command = java();
    if (box == boxes.values().iterator().next()) {
      command.add(
          hourOff
              .option()); // one keeper's time of day is an hour off throughout: nothing may hang on
      // it
    }
    // The daemons' settings for the box: a short probation, as the fleet's judge watches longer.
    Path settings = box.state.resolveSibling("box.star");
    Files.writeString(
        settings,
        "box(ready_s = 20, probation_s = 3, pause_s = 0.3, most_pause_s = 2, deaths = 4)\n");
    command.addAll(
        List.of(
            "-cp",
            classes(),
            main,
            "box",
            "run",
            "--releases",
            releases.toString(),
            "--dir",
            box.state.toString(),
            "--settings",
            settings.toString(),
            "--fleet",
            "127.0.0.1:" + box.port,
            "--name",
            box.name,
            "--java",
            String.join(" ", java()),
            release));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .directory(box.state.toFile())
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(box.state.resolveSibling("keeper.log").toFile()));
    builder.environment().put("EDGE_CONFIG", box.floor.folder().resolve("config.json").toString());
    builder.environment().put("MALLOC_ARENA_MAX", "1");
    box.keeper = builder.start();
  }

  /** Waits until every box serves this release; false where one does not in so many ms. */
  public boolean awaitAll(String release, long ms) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    for (Box box : boxes.values()) {
      while (!(box.settled() && box.acts().equals(release))) {
        if (System.nanoTime() > until) {
          return false;
        }
        LockSupport.parkNanos(50_000_000);
      }
    }
    return true;
  }

  /** Callers begin at all boxes. */
  public void call(int each, long keyMs) {
    for (Box box : boxes.values()) {
      box.callers =
          new TestClients(
              box.floor,
              TestClients.Habit.of(each, keyMs),
              seed * 31 + box.name.hashCode(),
              box::excused);
      box.callers.start();
    }
  }

  /**
   * A plan of all boxes, with the addresses of their links; {@code change} follows as it stands.
   */
  public Path plan(String name, String change) throws IOException {
    StringBuilder text = new StringBuilder();
    for (Box box : boxes.values()) {
      text.append(
          String.format(
              "box(\"%s\", zone = \"%s\", keeper = \"127.0.0.1:%d\", front = \"127.0.0.1:%d\")%n",
              box.name, box.zone, box.link.address().getPort(), box.floor.address().getPort()));
    }
    return Files.writeString(folder.resolve(name), text + change + "\n");
  }

  /** Starts a driver of a plan in a folder of its own; its events go to the folder's log. */
  public Process drive(Path plan, String name, String... more) throws IOException {
    Path own = Files.createDirectories(folder.resolve("d-" + name));
    List<String> command = java();
    command.addAll(
        List.of(
            "-cp",
            classes(),
            "wharftrestle.Main",
            "fleet",
            "roll",
            "start",
            plan.toString(),
            "--dir",
            own.toString(),
            "--json"));
    command.addAll(List.of(more));
    Process driver =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(own.resolve("log").toFile()))
            .start();
    drivers.add(driver);
    return driver;
  }

  /** Where a driver's folder is. */
  public Path driverFolder(String name) {
    return folder.resolve("d-" + name);
  }

  /** What a driver told, a JSON object a line; lines that are none are left out. */
  public List<JsonNode> told(String name) throws IOException {
    List<JsonNode> all = new ArrayList<>();
    for (String line : Files.readAllLines(driverFolder(name).resolve("log"))) {
      if (line.startsWith("{") && line.endsWith("}")) {
        all.add(JSON.readTree(line));
      }
    }
    return all;
  }

  /** What the boxes show, and the end of what their keepers and daemons logged. */
  public String logs() throws IOException {
    StringBuilder all = new StringBuilder();
    for (Box box : boxes.values()) {
      all.append(box.name).append(' ').append(box.shows()).append('\n');
      try (Stream<Path> files = Files.walk(box.state.getParent())) {
        for (Path log :
            (Iterable<Path>)
                files.filter(each -> each.toString().endsWith(".log")).sorted()::iterator) {
          String text = Files.readString(log);
          all.append("  ")
              .append(log.getFileName())
              .append(": ")
              .append(text.substring(Math.max(0, text.length() - LOG_END)).replace("\n", "\n    "))
              .append('\n');
        }
      }
    }
    return all.toString();
  }

  /** SIGSTOP, SIGCONT or another, to any process of this floor. */
  public static void signal(long pid, String which) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + which, Long.toString(pid)).start().waitFor();
  }

  /** What all callers saw, summed: broken rules by name. */
  public Map<String, Integer> broken() {
    Map<String, Integer> all = new HashMap<>();
    for (Box box : boxes.values()) {
      TestClients.Tally tally = box.callers.tally();
      all.merge("run twice", tally.runTwice(), Integer::sum);
      all.merge("refused after a run", tally.refusedAfterRun(), Integer::sum);
      all.merge("other bytes", tally.otherBytes(), Integer::sum);
      all.merge("lost", tally.lost(), Integer::sum);
      all.merge("unknown", tally.unknown(), Integer::sum);
      all.merge("answered twice", tally.doubled(), Integer::sum);
    }
    all.values().removeIf(many -> many == 0);
    return all;
  }

  /** Answers of all callers: results, refusals, failures. */
  public int[] answers() {
    int[] all = new int[3];
    for (Box box : boxes.values()) {
      all[0] += box.callers.served();
      all[1] += box.callers.refused();
      all[2] += box.callers.failed();
    }
    return all;
  }

  /** Answers that were results, of all callers. */
  public int served() {
    return boxes.values().stream().mapToInt(box -> box.callers.served()).sum();
  }

  @Override
  public void close() throws IOException {
    List<Process> all = new ArrayList<>(drivers);
    boxes.values().stream().map(Box::keeper).filter(each -> each != null).forEach(all::add);
    for (Process each : all) {
      each.destroyForcibly();
    }
    for (Box box : boxes.values()) {
      // Daemons outlive their keepers: they are known by the folder in which they meet.
      for (ProcessHandle each : ProcessHandle.allProcesses().toList()) {
        try {
          if (Files.readString(
                  Path.of("/proc/" + each.pid() + "/environ"), StandardCharsets.ISO_8859_1)
              .contains("TMPDIR=" + box.state)) {
            each.destroyForcibly();
          }
        } catch (IOException gone) {
          continue;
        }
      }
      box.link.close();
      box.floor.close();
    }
    hourOff.close();
  }
}
