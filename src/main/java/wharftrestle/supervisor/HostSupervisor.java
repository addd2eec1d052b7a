package wharftrestle.supervisor;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.Address;

/**
 * Carries out what {@link SupervisorStateMachine} decides: it starts, watches and ends the daemons
 * of one box, keeps the journal, and takes orders at a Unix socket in its folder. It owns that
 * folder while it runs. It must never do a thing before it stands in the journal, or end a daemon
 * with itself: a keeper that goes leaves its daemons, and the next one adopts them.
 */
public final class HostSupervisor implements Closeable {

  /**
   * Where things are.
   *
   * @param state the keeper's own folder: journal, lock, socket, logs of daemons; also where
   *     daemons meet
   * @param releases all releases
   * @param config the daemon's configuration
   * @param java command and options before -jar
   * @param name of the box within its fleet; empty for none
   * @param fleet where a driver of the fleet may call; null for nowhere
   */
  public record Places(
      Path state,
      Path releases,
      Path config,
      List<String> java,
      String name,
      InetSocketAddress fleet) {
    /** A box of no fleet. */
    public Places(Path state, Path releases, Path config, List<String> java) {
      this(state, releases, config, java, "", null);
    }
  }

  /** The folder is another keeper's. */
  public static final class TakenException extends Exception {
    private static final long serialVersionUID = 1L;

    TakenException(String message) {
      super(message);
    }
  }

  private record Running(long pid, long began, int door, String release, ProcessHandle handle) {}

  private record Order(String text, BlockingQueue<String> answer) {}

  /** Milliseconds between two looks at the daemons. */
  private static final long LOOK_MS = 100;

  /** Seconds in which a release's program reads a settings file. */
  private static final long CHECK_S = 20;

  private static final String GONE = "no the keeper goes";
  private static final String SOCKET = "keeper.sock";

  private final Places places;
  private final ReleaseDirectory releases;
  private final SupervisorStateMachine keeper;
  private final DirectoryLock lock;
  private final SupervisorJournal journal;
  private final Map<SupervisorStateMachine.Role, Running> running =
      new EnumMap<>(SupervisorStateMachine.Role.class);
  private final List<Running> ending = new ArrayList<>();
  private final BlockingQueue<Order> orders = new LinkedBlockingQueue<>();
  private final PrintStream out;
  private final Consumer<SupervisorJournal.Entry> before;
  private CommandSocket socket;
  private ControllerEndpoint fleet; // null where no driver may call
  private final Map<String, Integer> deaths = new LinkedHashMap<>(); // by release
  private final Map<SupervisorStateMachine.Role, DaemonStatus> looks =
      new EnumMap<>(SupervisorStateMachine.Role.class);
  private String told = ""; // the release that a driver told last
  private int attempt; // how often, in its epoch
  private String refusal = ""; // why that was not begun
  private volatile Map<String, Object> shown = Map.of();
  private int logs;
  private volatile boolean over;

  /**
   * Takes the folder.
   *
   * @throws TakenException where another keeper has it
   */
  public HostSupervisor(Places places, SupervisorStateMachine.Limits limits, PrintStream out)
      throws IOException, TakenException {
    this(places, limits, out, step -> {});
  }

  /**
   * The same with one who is told of each step before it is written, so that tests can end the
   * keeper there.
   */
  HostSupervisor(
      Places places,
      SupervisorStateMachine.Limits limits,
      PrintStream out,
      Consumer<SupervisorJournal.Entry> before)
      throws IOException, TakenException {
    this.places = places;
    this.out = out;
    this.before = before;
    releases = new ReleaseDirectory(places.releases());
    keeper = new SupervisorStateMachine(limits);
    Files.createDirectories(places.state());
    lock = DirectoryLock.take(places.state().resolve("keeper.lock"));
    if (lock == null) {
      throw new TakenException("another keeper has this box (" + places.state() + ")");
    }
    journal = new SupervisorJournal(places.state().resolve("journal.jsonl"));
  }

  /**
   * Keeps the box until {@link #stop}: adopts what runs, else starts this release, or the last one
   * where it is null.
   */
  public void run(String first) throws IOException, InterruptedException {
    socket = new CommandSocket(places.state().resolve(SOCKET), this::askLoop);
    if (places.fleet() != null) {
      fleet =
          new ControllerEndpoint(
              places.fleet(),
              places.name(),
              places.state(),
              releases,
              this::askLoop,
              () -> shown,
              this::reads);
    }
    findStarted();
    SupervisorRecovery found =
        SupervisorRecovery.of(journal.entries(), step -> handle(step).isPresent());
    for (SupervisorJournal.Entry each : found.end()) {
      say(
          "ended",
          SupervisorStateMachine.Role.CANDIDATE,
          each.release(),
          each.pid(),
          each.startedAtMillis(),
          each.adminPort(),
          "its change had no keeper any more");
      handle(each).ifPresent(ProcessHandle::destroyForcibly);
    }
    found.leave().forEach(each -> handle(each).ifPresent(ProcessHandle::destroy));
    if (found.serves() != null) {
      SupervisorJournal.Entry serves = found.serves();
      running.put(
          SupervisorStateMachine.Role.ACTIVE,
          new Running(
              serves.pid(),
              serves.startedAtMillis(),
              serves.adminPort(),
              serves.release(),
              handle(serves).orElseThrow()));
      carryOut(keeper.adopt(found.release(), found.good(), found.probation(), now()));
    } else {
      String start = first != null ? first : found.release();
      String against =
          start.isEmpty() ? "no release is named, and none ran before" : releases.against(start);
      if (!against.isEmpty() && !found.good().isEmpty()) {
        start = found.good();
        against = releases.against(start);
      }
      if (!against.isEmpty()) {
        throw new IOException(against);
      }
      carryOut(keeper.run(start, found.good(), now()));
    }
    Order order = null;
    try {
      while (!over) {
        order = orders.poll(LOOK_MS, TimeUnit.MILLISECONDS);
        if (order != null) {
          order.answer().add(obey(order.text()));
        }
        look();
      }
    } finally {
      // Guards against somebody who waits for ever for a keeper that has gone.
      over = true;
      if (order != null) {
        order.answer().add(GONE);
      }
      orders.forEach(each -> each.answer().add(GONE));
    }
  }

  /** The keeper goes, and its daemons stay. */
  public void stop() {
    over = true;
  }

  /**
   * A keeper that died just after it started a daemon left a step without its process: it is known
   * by its door.
   */
  private void findStarted() throws IOException {
    List<SupervisorJournal.Entry> steps = journal.entries();
    SupervisorJournal.Entry last = steps.isEmpty() ? null : steps.get(steps.size() - 1);
    if (last == null || !last.event().equals("starting")) {
      return;
    }
    String door = "EDGE_CONSOLE=127.0.0.1:" + last.adminPort();
    for (ProcessHandle each : ProcessHandle.allProcesses().toList()) {
      if (environment(each).contains(door)) {
        journal.add(
            new SupervisorJournal.Entry(
                SteadyWallClock.wallMillis(),
                "started",
                last.role(),
                last.release(),
                last.fallbackRelease(),
                each.pid(),
                began(each),
                last.adminPort(),
                "found by its door"));
      }
    }
  }

  private static List<String> environment(ProcessHandle of) {
    try {
      return List.of(
          Files.readString(Path.of("/proc/" + of.pid() + "/environ"), StandardCharsets.ISO_8859_1)
              .split("\0"));
    } catch (IOException gone) {
      return List.of();
    }
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private static Optional<ProcessHandle> handle(SupervisorJournal.Entry step) {
    return ProcessHandle.of(step.pid())
        .filter(ProcessHandle::isAlive)
        .filter(handle -> began(handle) == step.startedAtMillis());
  }

  private static long began(ProcessHandle handle) {
    return handle.info().startInstant().map(at -> at.toEpochMilli()).orElse(0L);
  }

  // ---- Orders ----

  /** Has the keeper's own thread obey an order, and waits for its answer. */
  private String askLoop(String text) {
    Order order = new Order(text, new LinkedBlockingQueue<>());
    orders.add(order);
    if (over) {
      order.answer().add(GONE);
    }
    try {
      return order.answer().take();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return GONE;
    }
  }

  /** Sends one order to the keeper of this folder; its answer, or null where none keeps it. */
  public static String order(Path state, String text) {
    return CommandSocket.order(state.resolve(SOCKET), text);
  }

  /** Answers begin with "ok" or "no". */
  private String obey(String text) throws IOException {
    String[] words = text.split(" ", 2);
    switch (words[0]) {
      case "status" -> {
        return status();
      }
      case "change" -> {
        String to = words.length > 1 ? words[1] : "";
        String against = keeper.against(to);
        against = against.isEmpty() ? releases.against(to) : against;
        if (!against.isEmpty()) {
          return "no " + against;
        }
        carryOut(keeper.change(to, now()));
        return "ok changing to " + to;
      }
      case "back" -> {
        String to = keeper.good();
        String against = to.isEmpty() ? "" : releases.against(to);
        if (!against.isEmpty()) {
          return "no " + against;
        }
        List<SupervisorStateMachine.Act> acts = keeper.back(now());
        carryOut(acts);
        return acts.isEmpty() ? "no there is nothing to go back to" : "ok going back";
      }
      case "stand" -> {
        tellStand(words[1]);
        return "ok";
      }
      case "go" -> {
        String[] order = words[1].split(" ");
        attempt = Integer.parseInt(order[0]);
        told = order[1];
        String answer = go(told, order.length > 2);
        refusal = answer.startsWith("no ") ? answer.substring(3) : "";
        show();
        return answer;
      }
      default -> {
        return "no such order: " + words[0];
      }
    }
  }

  /**
   * A driver's word: this release is to serve, from wherever this box is; back from what was found
   * bad, or not.
   */
  private String go(String to, boolean back) throws IOException {
    boolean coming = !keeper.candidate().isEmpty();
    if (coming ? keeper.candidate().equals(to) : keeper.release().equals(to)) {
      return "ok " + to + (coming ? " comes already" : " serves already");
    }
    String against = releases.against(to);
    if (!against.isEmpty()) {
      return "no " + against;
    }
    boolean undoes =
        (keeper.state() == SupervisorStateMachine.State.CHANGING && keeper.release().equals(to))
            || (keeper.state() == SupervisorStateMachine.State.PROBATION
                && keeper.good().equals(to));
    if (undoes) {
      carryOut(keeper.back(now()));
      return "ok going back to " + to;
    }
    against = keeper.against(to);
    if (!against.isEmpty()) {
      return "no " + against;
    }
    carryOut(keeper.change(to, back, now()));
    return "ok changing to " + to;
  }

  private String status() throws IOException {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("state", keeper.state().publishedName().toLowerCase(Locale.ROOT));
    all.put("release", keeper.release());
    all.put("candidate", keeper.candidate());
    all.put("back_to", keeper.good());
    all.put("reason", keeper.reason());
    running.forEach(
        (role, each) ->
            all.put(
                role.publishedName().toLowerCase(Locale.ROOT),
                Map.of(
                    "pid",
                    each.pid(),
                    "release",
                    each.release(),
                    "door",
                    each.door(),
                    "ready",
                    DaemonStatus.at(each.door()).ready())));
    return "ok " + new ObjectMapper().writeValueAsString(all);
  }

  // ---- The daemons ----

  private void look() throws IOException {
    looks.clear();
    for (SupervisorStateMachine.Role role : List.copyOf(running.keySet())) {
      Running each = running.get(role);
      if (each == null) {
        continue; // it changed its role meanwhile
      }
      if (!each.handle().isAlive()) {
        running.remove(role);
        deaths.merge(each.release(), 1, Integer::sum);
        say("ended", role, each.release(), each.pid(), each.began(), each.door(), "by itself");
        carryOut(keeper.died(role, now()));
        continue;
      }
      DaemonStatus look = DaemonStatus.at(each.door());
      looks.put(role, look);
      if (keeper.state() != SupervisorStateMachine.State.SERVING
          && keeper.state() != SupervisorStateMachine.State.PROBATION
          && look.ready()) {
        carryOut(keeper.ready(role, now()));
      } else if (role == SupervisorStateMachine.Role.CANDIDATE && !look.refusal().isEmpty()) {
        carryOut(keeper.refused(role, look.refusal(), now()));
      }
    }
    ending.removeIf(each -> !each.handle().isAlive());
    DaemonStatus serves =
        running.containsKey(SupervisorStateMachine.Role.ACTIVE)
            ? looks.get(SupervisorStateMachine.Role.ACTIVE)
            : null;
    carryOut(keeper.tick(serves == null ? null : serves.figures(), now()));
    if (fleet != null) {
      show();
    }
  }

  /**
   * What a driver of the fleet is shown: made here, so that no call of a driver waits for a daemon
   * that is silent.
   */
  private void show() {
    Running serves = running.get(SupervisorStateMachine.Role.ACTIVE);
    DaemonStatus look = serves == null ? null : looks.get(SupervisorStateMachine.Role.ACTIVE);
    boolean settled =
        keeper.state() == SupervisorStateMachine.State.SERVING
            || keeper.state() == SupervisorStateMachine.State.PROBATION;
    boolean missed =
        keeper.state() == SupervisorStateMachine.State.SERVING
            && !told.isEmpty()
            && !told.equals(keeper.release());
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("state", keeper.state().publishedName().toLowerCase(Locale.ROOT));
    all.put("release", keeper.release());
    all.put("settled", settled && look != null && look.ready());
    all.put("acts", serves == null || look == null ? "" : acts(serves, look));
    all.put("told", told);
    all.put("attempt", attempt);
    all.put(
        "failed",
        !refusal.isEmpty()
            ? refusal
            : !missed ? "" : keeper.reason().isEmpty() ? "it did not go" : keeper.reason());
    all.put("deaths", new LinkedHashMap<>(deaths));
    all.put("good", keeper.good());
    if (serves != null && look != null) {
      all.put("pid", serves.pid());
      all.put("up", look.up());
      all.put("calls", look.calls());
      all.put("badCalls", look.badCalls());
      all.put("classes", look.classes());
      try {
        all.put("cpu", ProcessInfo.cpuSeconds(serves.pid()));
        all.put("ownMb", ProcessInfo.memoryKb(serves.pid(), "RssAnon") / 1024.0);
      } catch (IOException gone) {
        Logger.debug("{} has just ended", serves.pid());
      }
    }
    shown = all;
  }

  /**
   * The release that a daemon is, by the digest that it says of itself: where that is not the one
   * it was started from, the one that has it; empty where none has.
   */
  private String acts(Running serves, DaemonStatus look) {
    if (look.build().isEmpty() || look.build().equals(releases.build(serves.release()))) {
      return look.build().isEmpty() ? "" : serves.release();
    }
    try {
      return releases.names().stream()
          .filter(name -> releases.build(name).equals(look.build()))
          .findFirst()
          .orElse("");
    } catch (IOException unread) {
      return "";
    }
  }

  /** Asks the program of one release whether it can read the settings of another. */
  private boolean reads(String program, String settings) {
    List<String> command = new ArrayList<>(places.java());
    command.addAll(
        List.of(
            "-jar",
            releases.of(program).resolve(ReleaseDirectory.JAR).toString(),
            "settings",
            "check",
            releases.of(settings).resolve(ReleaseDirectory.SETTINGS).toString()));
    try {
      Process check =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .start();
      return check.waitFor(CHECK_S, TimeUnit.SECONDS) && check.exitValue() == 0;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** The daemon that serves is told where the fleet stands, for its door and its MIB. */
  void tellStand(String query) {
    Running serves = running.get(SupervisorStateMachine.Role.ACTIVE);
    if (serves != null) {
      try {
        DaemonStatus.get(serves.door(), "POST", "/_fleet?" + query);
      } catch (IOException silent) {
        Logger.debug("the daemon at {} does not answer", serves.door());
      }
    }
  }

  private void carryOut(List<SupervisorStateMachine.Act> acts) throws IOException {
    for (SupervisorStateMachine.Act act : acts) {
      Running of = running.get(act.role());
      switch (act.kind()) {
        case START -> start(act);
        case TERM, KILL -> {
          if (of != null) {
            say("ended", act.role(), of.release(), of.pid(), of.began(), of.door(), act.why());
            running.remove(act.role());
            ending.add(of);
            if (act.kind() == SupervisorStateMachine.Act.Kind.TERM) {
              of.handle().destroy();
            } else {
              of.handle().destroyForcibly();
            }
          }
        }
        case PROMOTE -> {
          Running came = running.remove(SupervisorStateMachine.Role.CANDIDATE);
          if (came != null) {
            running.put(SupervisorStateMachine.Role.ACTIVE, came);
            say(
                "promoted",
                SupervisorStateMachine.Role.ACTIVE,
                came.release(),
                came.pid(),
                came.began(),
                came.door(),
                act.why());
          }
        }
        case SAY ->
            say(
                act.why().startsWith("held") ? "held" : "said",
                act.role(),
                act.release(),
                0,
                0,
                0,
                act.why());
        default -> throw new IllegalStateException("nothing does " + act);
      }
    }
  }

  private void start(SupervisorStateMachine.Act act) throws IOException {
    String against = releases.against(act.release());
    if (!against.isEmpty()) {
      say("said", act.role(), act.release(), 0, 0, 0, against);
      carryOut(keeper.died(act.role(), now()));
      return;
    }
    Path release = releases.of(act.release());
    List<String> command = new ArrayList<>(places.java());
    command.addAll(List.of("-jar", release.resolve(ReleaseDirectory.JAR).toString(), "serve"));
    Path settings = release.resolve(ReleaseDirectory.SETTINGS);
    if (Files.exists(settings)) {
      command.addAll(List.of("--appliance", settings.toString()));
    }
    int door = Address.freePort();
    Path log =
        places.state().resolve("daemon-" + SteadyWallClock.wallMillis() + "-" + ++logs + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().put("EDGE_CONFIG", places.config().toString());
    builder.environment().put("EDGE_CONSOLE", "127.0.0.1:" + door);
    builder.environment().put("TMPDIR", places.state().toString());
    // A keeper that dies between the two would leave a daemon that no journal names: the step
    // stands there before.
    say("starting", act.role(), act.release(), 0, 0, door, act.why());
    ProcessHandle handle = builder.start().toHandle();
    running.put(act.role(), new Running(handle.pid(), began(handle), door, act.release(), handle));
    say("started", act.role(), act.release(), handle.pid(), began(handle), door, act.why());
  }

  private void say(
      String what,
      SupervisorStateMachine.Role role,
      String release,
      long pid,
      long began,
      int door,
      String why)
      throws IOException {
    SupervisorJournal.Entry entry =
        new SupervisorJournal.Entry(
            SteadyWallClock.wallMillis(),
            what,
            role.publishedName(),
            release,
            keeper.good(),
            pid,
            began,
            door,
            why);
    before.accept(entry);
    try {
      journal.add(entry);
    } catch (IOException full) {
      // Guards against a full disk ending the keeper within a change: what serves goes on, and
      // people are told.
      Logger.error("the keeper's journal cannot be written ({}): {}", full.getMessage(), entry);
    }
    out.println(
        what
            + " "
            + release
            + (pid == 0 ? "" : " (" + pid + ")")
            + (why.isEmpty() ? "" : ": " + why));
  }

  @Override
  public void close() throws IOException {
    if (fleet != null) {
      fleet.close();
    }
    if (socket != null) {
      socket.close();
    }
    journal.close();
    lock.close();
  }
}
