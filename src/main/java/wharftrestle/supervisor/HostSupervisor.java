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
 * Runs the daemons of one host: starts, polls and ends them as {@link SupervisorStateMachine}
 * decides, writes the journal, and executes commands that arrive at a Unix socket or from a rollout
 * controller. It holds the lock of its state directory while it runs.
 *
 * <p>The journal has each step before the step is taken, so that a supervisor that is killed can
 * resume. Daemons outlive their supervisor: the next supervisor adopts them.
 *
 * <p>All decisions are made in the thread of {@link #run}; {@link #stop} may be called from any
 * thread.
 */
public final class HostSupervisor implements Closeable {

  /**
   * Paths, addresses and the command that starts a daemon.
   *
   * @param stateDirectory directory of the supervisor: journal, lock, socket and logs of daemons;
   *     also the temporary directory in which the daemons of the host find each other
   * @param releasesDirectory directory of all releases
   * @param daemonConfig the daemon's configuration file
   * @param javaCommand the JVM and its options before -jar
   * @param hostName of the host within its fleet; empty for none
   * @param controllerAddress address for rollout controllers; null for none
   */
  public record Configuration(
      Path stateDirectory,
      Path releasesDirectory,
      Path daemonConfig,
      List<String> javaCommand,
      String hostName,
      InetSocketAddress controllerAddress) {
    /** The configuration of a host without a fleet. */
    public Configuration(
        Path stateDirectory, Path releasesDirectory, Path daemonConfig, List<String> javaCommand) {
      this(stateDirectory, releasesDirectory, daemonConfig, javaCommand, "", null);
    }
  }

  /** Another supervisor has locked the state directory. */
  public static final class DirectoryLockedException extends Exception {
    private static final long serialVersionUID = 1L;

    DirectoryLockedException(String message) {
      super(message);
    }
  }

  private record Daemon(
      long pid, long startedAtMillis, int adminPort, String release, ProcessHandle handle) {}

  private record Command(String text, BlockingQueue<String> answer) {}

  /** Milliseconds between two polls of the daemons. */
  private static final long POLL_INTERVAL_MS = 100;

  /** Seconds for which a release's program may take to check a settings file. */
  private static final long SETTINGS_CHECK_TIMEOUT_S = 20;

  private static final String STOPPING = "no the supervisor is stopping";
  private static final String SOCKET_FILE = "keeper.sock";

  private final Configuration configuration;
  private final ReleaseDirectory releases;
  private final SupervisorStateMachine stateMachine;
  private final DirectoryLock lock;
  private final SupervisorJournal journal;
  private final Map<SupervisorStateMachine.Role, Daemon> daemons =
      new EnumMap<>(SupervisorStateMachine.Role.class);
  private final List<Daemon> terminatingDaemons = new ArrayList<>();
  private final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
  private final PrintStream out;
  private final Consumer<SupervisorJournal.Entry> entryListener;
  private CommandSocket socket;
  private ControllerEndpoint controllerEndpoint; // null for a host without a fleet
  private final Map<String, Integer> exitsByRelease = new LinkedHashMap<>();
  private final Map<SupervisorStateMachine.Role, DaemonStatus> statuses =
      new EnumMap<>(SupervisorStateMachine.Role.class);
  private String orderedRelease = ""; // the release of a controller's last order
  private int orderAttempt; // number of that order in its epoch
  private String orderRejection = ""; // why that order was not begun
  private volatile Map<String, Object> hostStatus = Map.of();
  private int daemonLogs;
  private volatile boolean stopped;

  /**
   * Locks the state directory, which is created if absent, and opens the journal.
   *
   * @throws DirectoryLockedException if another supervisor has locked it
   */
  public HostSupervisor(
      Configuration configuration, SupervisorStateMachine.Limits limits, PrintStream out)
      throws IOException, DirectoryLockedException {
    this(configuration, limits, out, entry -> {});
  }

  /**
   * For tests.
   *
   * @param entryListener receives each entry before it is written; an exception that it throws ends
   *     {@link #run} there
   */
  HostSupervisor(
      Configuration configuration,
      SupervisorStateMachine.Limits limits,
      PrintStream out,
      Consumer<SupervisorJournal.Entry> entryListener)
      throws IOException, DirectoryLockedException {
    this.configuration = configuration;
    this.out = out;
    this.entryListener = entryListener;
    releases = new ReleaseDirectory(configuration.releasesDirectory());
    stateMachine = new SupervisorStateMachine(limits);
    Files.createDirectories(configuration.stateDirectory());
    lock = DirectoryLock.take(configuration.stateDirectory().resolve("keeper.lock"));
    if (lock == null) {
      throw new DirectoryLockedException(
          "another supervisor has locked the state directory ("
              + configuration.stateDirectory()
              + ")");
    }
    journal = new SupervisorJournal(configuration.stateDirectory().resolve("journal.jsonl"));
  }

  /**
   * Supervises the host until {@link #stop}: adopts the daemon that runs, else starts one.
   *
   * @param firstRelease release to start if none runs; null for the one that served last
   */
  public void run(String firstRelease) throws IOException, InterruptedException {
    socket = new CommandSocket(configuration.stateDirectory().resolve(SOCKET_FILE), this::submit);
    if (configuration.controllerAddress() != null) {
      controllerEndpoint =
          new ControllerEndpoint(
              configuration.controllerAddress(),
              configuration.hostName(),
              configuration.stateDirectory(),
              releases,
              this::submit,
              () -> hostStatus,
              this::acceptsSettings);
    }
    recoverStartedDaemon();
    SupervisorRecovery recovery =
        SupervisorRecovery.of(journal.entries(), entry -> process(entry).isPresent());
    recovery.terminating().forEach(entry -> process(entry).ifPresent(ProcessHandle::destroy));
    boolean candidateServes =
        recovery.candidate() != null
            && DaemonStatus.fetch(recovery.candidate().adminPort()).ready();
    if (recovery.candidate() != null && !candidateServes) {
      endCandidate(recovery.candidate());
    }
    if (recovery.active() != null) {
      adopt(SupervisorStateMachine.Role.ACTIVE, recovery.active());
      if (candidateServes) {
        adopt(SupervisorStateMachine.Role.CANDIDATE, recovery.candidate());
        carryOut(
            stateMachine.resumeChange(
                recovery.activeRelease(),
                recovery.fallbackRelease(),
                recovery.candidate().release(),
                now()));
      } else {
        carryOut(
            stateMachine.adopt(
                recovery.activeRelease(),
                recovery.fallbackRelease(),
                recovery.inProbation(),
                now()));
      }
    } else {
      String startRelease = firstRelease != null ? firstRelease : recovery.activeRelease();
      String obstacle =
          startRelease.isEmpty()
              ? "no release was named, and the journal names none: run 'box run ... RELEASE'"
              : releases.obstacle(startRelease);
      if (!obstacle.isEmpty() && !recovery.fallbackRelease().isEmpty()) {
        startRelease = recovery.fallbackRelease();
        obstacle = releases.obstacle(startRelease);
      }
      if (!obstacle.isEmpty()) {
        throw new IOException(obstacle);
      }
      carryOut(stateMachine.start(startRelease, recovery.fallbackRelease(), now()));
    }
    Command command = null;
    try {
      while (!stopped) {
        command = commands.poll(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
        if (command != null) {
          command.answer().add(execute(command.text()));
        }
        poll();
      }
    } finally {
      // Whoever waits for an answer receives one: without it the caller would wait forever.
      stopped = true;
      if (command != null) {
        command.answer().add(STOPPING);
      }
      commands.forEach(waiting -> waiting.answer().add(STOPPING));
    }
  }

  /** Takes over a daemon that a former supervisor started. */
  private void adopt(SupervisorStateMachine.Role role, SupervisorJournal.Entry entry) {
    daemons.put(
        role,
        new Daemon(
            entry.pid(),
            entry.startedAtMillis(),
            entry.adminPort(),
            entry.release(),
            process(entry).orElseThrow()));
  }

  /**
   * Ends the candidate of a change that a former supervisor did not complete. It is not killed: it
   * may have begun to serve just now, and then answers what it has read.
   */
  private void endCandidate(SupervisorJournal.Entry candidate) throws IOException {
    recordStep(
        "ended",
        SupervisorStateMachine.Role.CANDIDATE,
        candidate.release(),
        candidate.pid(),
        candidate.startedAtMillis(),
        candidate.adminPort(),
        "the supervisor of this change has ended");
    process(candidate).ifPresent(ProcessHandle::destroy);
  }

  /** Makes {@link #run} return; the daemons continue to run. */
  public void stop() {
    stopped = true;
  }

  /**
   * A supervisor that was killed right after it started a daemon left a "starting" entry without a
   * process ID. This finds the process by its admin port and journals it as started.
   */
  private void recoverStartedDaemon() throws IOException {
    List<SupervisorJournal.Entry> entries = journal.entries();
    SupervisorJournal.Entry last = entries.isEmpty() ? null : entries.get(entries.size() - 1);
    if (last == null || !last.event().equals("starting")) {
      return;
    }
    String environmentVariable = "EDGE_CONSOLE=127.0.0.1:" + last.adminPort();
    for (ProcessHandle process : ProcessHandle.allProcesses().toList()) {
      if (environment(process).contains(environmentVariable)) {
        journal.add(
            new SupervisorJournal.Entry(
                SteadyWallClock.wallMillis(),
                "started",
                last.role(),
                last.release(),
                last.fallbackRelease(),
                process.pid(),
                startMillis(process),
                last.adminPort(),
                "found by its admin port"));
      }
    }
  }

  private static List<String> environment(ProcessHandle process) {
    try {
      return List.of(
          Files.readString(
                  Path.of("/proc/" + process.pid() + "/environ"), StandardCharsets.ISO_8859_1)
              .split("\0"));
    } catch (IOException exited) {
      return List.of();
    }
  }

  private static double now() {
    return System.nanoTime() / 1e9;
  }

  private static Optional<ProcessHandle> process(SupervisorJournal.Entry entry) {
    return ProcessHandle.of(entry.pid())
        .filter(ProcessHandle::isAlive)
        .filter(handle -> startMillis(handle) == entry.startedAtMillis());
  }

  private static long startMillis(ProcessHandle handle) {
    return handle.info().startInstant().map(at -> at.toEpochMilli()).orElse(0L);
  }

  // ---- Commands ----

  /** Has the thread of {@link #run} execute a command, and waits for the answer. */
  private String submit(String text) {
    Command command = new Command(text, new LinkedBlockingQueue<>());
    commands.add(command);
    if (stopped) {
      command.answer().add(STOPPING);
    }
    try {
      return command.answer().take();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return STOPPING;
    }
  }

  /** Sends a command to the supervisor of this directory; null if none answers. */
  public static String sendCommand(Path stateDirectory, String text) {
    return CommandSocket.order(stateDirectory.resolve(SOCKET_FILE), text);
  }

  /** Executes a command; the answer is "ok", or begins with "ok " or "no ". */
  private String execute(String text) throws IOException {
    String[] parts = text.split(" ", 2);
    switch (parts[0]) {
      case "status" -> {
        return status();
      }
      case "change" -> {
        String target = parts.length > 1 ? parts[1] : "";
        String obstacle = stateMachine.obstacle(target);
        obstacle = obstacle.isEmpty() ? releases.obstacle(target) : obstacle;
        if (!obstacle.isEmpty()) {
          return "no " + obstacle;
        }
        carryOut(stateMachine.change(target, now()));
        return "ok changing to " + target;
      }
      case "back" -> {
        String target = stateMachine.fallbackRelease();
        String obstacle = target.isEmpty() ? "" : releases.obstacle(target);
        if (!obstacle.isEmpty()) {
          return "no " + obstacle;
        }
        List<SupervisorStateMachine.Action> actions = stateMachine.rollBack(now());
        carryOut(actions);
        return actions.isEmpty() ? "no there is nothing to go back to" : "ok going back";
      }
      case "stand" -> {
        sendRolloutStatus(parts[1]);
        return "ok";
      }
      case "go" -> {
        String[] parameters = parts[1].split(" ");
        orderAttempt = Integer.parseInt(parameters[0]);
        orderedRelease = parameters[1];
        String answer = executeOrder(orderedRelease, parameters.length > 2);
        orderRejection = answer.startsWith("no ") ? answer.substring(3) : "";
        updateHostStatus();
        return answer;
      }
      default -> {
        return "no such order: " + parts[0];
      }
    }
  }

  /**
   * Executes a controller's order: this release is to serve. Does nothing if it serves or is the
   * candidate already, undoes a change away from it, or begins a change to it, which is possible
   * only in state SERVING.
   *
   * @param isRollback the active release was found bad: it doesn't become the fallback release
   */
  private String executeOrder(String target, boolean isRollback) throws IOException {
    boolean hasCandidate = !stateMachine.candidateRelease().isEmpty();
    if (hasCandidate
        ? stateMachine.candidateRelease().equals(target)
        : stateMachine.activeRelease().equals(target)) {
      return "ok " + target + (hasCandidate ? " comes already" : " serves already");
    }
    String obstacle = releases.obstacle(target);
    if (!obstacle.isEmpty()) {
      return "no " + obstacle;
    }
    boolean isUndo =
        (stateMachine.state() == SupervisorStateMachine.State.CHANGING
                && stateMachine.activeRelease().equals(target))
            || (stateMachine.state() == SupervisorStateMachine.State.PROBATION
                && stateMachine.fallbackRelease().equals(target));
    if (isUndo) {
      carryOut(stateMachine.rollBack(now()));
      return "ok going back to " + target;
    }
    obstacle = stateMachine.obstacle(target);
    if (!obstacle.isEmpty()) {
      return "no " + obstacle;
    }
    carryOut(stateMachine.change(target, isRollback, now()));
    return "ok changing to " + target;
  }

  private String status() throws IOException {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("state", stateMachine.state().publishedName().toLowerCase(Locale.ROOT));
    fields.put("release", stateMachine.activeRelease());
    fields.put("candidate", stateMachine.candidateRelease());
    fields.put("back_to", stateMachine.fallbackRelease());
    fields.put("reason", stateMachine.lastProblem());
    daemons.forEach(
        (role, daemon) ->
            fields.put(
                role.publishedName().toLowerCase(Locale.ROOT),
                Map.of(
                    "pid",
                    daemon.pid(),
                    "release",
                    daemon.release(),
                    "door",
                    daemon.adminPort(),
                    "ready",
                    DaemonStatus.fetch(daemon.adminPort()).ready())));
    return "ok " + new ObjectMapper().writeValueAsString(fields);
  }

  // ---- The daemons ----

  private void poll() throws IOException {
    statuses.clear();
    for (SupervisorStateMachine.Role role : List.copyOf(daemons.keySet())) {
      Daemon daemon = daemons.get(role);
      if (daemon == null) {
        continue; // an earlier pass of this loop promoted or ended it
      }
      if (!daemon.handle().isAlive()) {
        daemons.remove(role);
        exitsByRelease.merge(daemon.release(), 1, Integer::sum);
        recordStep(
            "ended",
            role,
            daemon.release(),
            daemon.pid(),
            daemon.startedAtMillis(),
            daemon.adminPort(),
            "by itself");
        carryOut(stateMachine.onExit(role, now()));
        continue;
      }
      DaemonStatus status = DaemonStatus.fetch(daemon.adminPort());
      statuses.put(role, status);
      if (stateMachine.state() != SupervisorStateMachine.State.SERVING
          && stateMachine.state() != SupervisorStateMachine.State.PROBATION
          && status.ready()) {
        carryOut(stateMachine.onReady(role, now()));
      } else if (role == SupervisorStateMachine.Role.CANDIDATE
          && !status.takeoverRejection().isEmpty()) {
        carryOut(stateMachine.onTakeoverRejected(role, status.takeoverRejection(), now()));
      }
    }
    terminatingDaemons.removeIf(daemon -> !daemon.handle().isAlive());
    DaemonStatus active =
        daemons.containsKey(SupervisorStateMachine.Role.ACTIVE)
            ? statuses.get(SupervisorStateMachine.Role.ACTIVE)
            : null;
    carryOut(stateMachine.tick(active == null ? null : active.answerCounts(), now()));
    if (controllerEndpoint != null) {
      updateHostStatus();
    }
  }

  /**
   * Updates what controllers see of this host. It is prepared here, so that no request of a
   * controller waits for a daemon that doesn't answer.
   */
  private void updateHostStatus() {
    Daemon active = daemons.get(SupervisorStateMachine.Role.ACTIVE);
    DaemonStatus status = active == null ? null : statuses.get(SupervisorStateMachine.Role.ACTIVE);
    boolean settled =
        stateMachine.state() == SupervisorStateMachine.State.SERVING
            || stateMachine.state() == SupervisorStateMachine.State.PROBATION;
    boolean targetMissed =
        stateMachine.state() == SupervisorStateMachine.State.SERVING
            && !orderedRelease.isEmpty()
            && !orderedRelease.equals(stateMachine.activeRelease());
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("state", stateMachine.state().publishedName().toLowerCase(Locale.ROOT));
    fields.put("release", stateMachine.activeRelease());
    fields.put("settled", settled && status != null && status.ready());
    fields.put("acts", active == null || status == null ? "" : releaseOf(active, status));
    fields.put("told", orderedRelease);
    fields.put("attempt", orderAttempt);
    fields.put(
        "failed",
        !orderRejection.isEmpty()
            ? orderRejection
            : !targetMissed
                ? ""
                : stateMachine.lastProblem().isEmpty()
                    ? "the change failed for an unknown reason"
                    : stateMachine.lastProblem());
    fields.put("deaths", new LinkedHashMap<>(exitsByRelease));
    fields.put("good", stateMachine.fallbackRelease());
    if (active != null && status != null) {
      fields.put("pid", active.pid());
      fields.put("up", status.uptimeSeconds());
      fields.put("calls", status.dependencyCalls());
      fields.put("badCalls", status.failedDependencyCalls());
      fields.put("classes", status.requestClasses());
      try {
        fields.put("cpu", ProcessInfo.cpuSeconds(active.pid()));
        fields.put("ownMb", ProcessInfo.memoryKb(active.pid(), "RssAnon") / 1024.0);
      } catch (IOException exited) {
        Logger.debug("daemon exited before its usage was read pid={}", active.pid());
      }
    }
    hostStatus = fields;
  }

  /**
   * The release that a daemon runs, by the build digest that it reports: the one it was started
   * from, or else any release with that digest; empty if there is none or no digest is reported.
   */
  private String releaseOf(Daemon daemon, DaemonStatus status) {
    if (status.buildDigest().isEmpty()
        || status.buildDigest().equals(releases.programDigest(daemon.release()))) {
      return status.buildDigest().isEmpty() ? "" : daemon.release();
    }
    try {
      return releases.names().stream()
          .filter(name -> releases.programDigest(name).equals(status.buildDigest()))
          .findFirst()
          .orElse("");
    } catch (IOException unreadable) {
      return "";
    }
  }

  /** Whether the program of one release accepts the settings of another. */
  private boolean acceptsSettings(String programRelease, String settingsRelease) {
    List<String> command = new ArrayList<>(configuration.javaCommand());
    command.addAll(
        List.of(
            "-jar",
            releases.path(programRelease).resolve(ReleaseDirectory.JAR).toString(),
            "settings",
            "check",
            releases.path(settingsRelease).resolve(ReleaseDirectory.SETTINGS).toString()));
    try {
      Process check =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .start();
      return check.waitFor(SETTINGS_CHECK_TIMEOUT_S, TimeUnit.SECONDS) && check.exitValue() == 0;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Sends the state of the rollout to the active daemon, for its admin endpoint and its MIB. */
  void sendRolloutStatus(String query) {
    Daemon active = daemons.get(SupervisorStateMachine.Role.ACTIVE);
    if (active != null) {
      try {
        DaemonStatus.request(active.adminPort(), "POST", "/_fleet?" + query);
      } catch (IOException unreachable) {
        Logger.debug("daemon did not accept the rollout status port={}", active.adminPort());
      }
    }
  }

  private void carryOut(List<SupervisorStateMachine.Action> actions) throws IOException {
    for (SupervisorStateMachine.Action action : actions) {
      Daemon daemon = daemons.get(action.role());
      switch (action.kind()) {
        case START -> startDaemon(action);
        case TERM, KILL -> {
          if (daemon != null) {
            recordStep(
                "ended",
                action.role(),
                daemon.release(),
                daemon.pid(),
                daemon.startedAtMillis(),
                daemon.adminPort(),
                action.reason());
            daemons.remove(action.role());
            terminatingDaemons.add(daemon);
            if (action.kind() == SupervisorStateMachine.Action.Kind.TERM) {
              daemon.handle().destroy();
            } else {
              daemon.handle().destroyForcibly();
            }
          }
        }
        case PROMOTE -> {
          Daemon candidate = daemons.remove(SupervisorStateMachine.Role.CANDIDATE);
          if (candidate != null) {
            daemons.put(SupervisorStateMachine.Role.ACTIVE, candidate);
            recordStep(
                "promoted",
                SupervisorStateMachine.Role.ACTIVE,
                candidate.release(),
                candidate.pid(),
                candidate.startedAtMillis(),
                candidate.adminPort(),
                action.reason());
          }
        }
        case RECORD ->
            recordStep(
                action.reason().startsWith("held") ? "held" : "said",
                action.role(),
                action.release(),
                0,
                0,
                0,
                action.reason());
        default -> throw new IllegalStateException("unknown kind of action: " + action);
      }
    }
  }

  private void startDaemon(SupervisorStateMachine.Action action) throws IOException {
    String obstacle = releases.obstacle(action.release());
    if (!obstacle.isEmpty()) {
      recordStep("said", action.role(), action.release(), 0, 0, 0, obstacle);
      carryOut(stateMachine.onExit(action.role(), now()));
      return;
    }
    Path release = releases.path(action.release());
    List<String> command = new ArrayList<>(configuration.javaCommand());
    command.addAll(List.of("-jar", release.resolve(ReleaseDirectory.JAR).toString(), "serve"));
    Path settings = release.resolve(ReleaseDirectory.SETTINGS);
    if (Files.exists(settings)) {
      command.addAll(List.of("--appliance", settings.toString()));
    }
    int adminPort = Address.freePort();
    Path log =
        configuration
            .stateDirectory()
            .resolve("daemon-" + SteadyWallClock.wallMillis() + "-" + ++daemonLogs + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()))
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().put("EDGE_CONFIG", configuration.daemonConfig().toString());
    builder.environment().put("EDGE_CONSOLE", "127.0.0.1:" + adminPort);
    builder.environment().put("TMPDIR", configuration.stateDirectory().toString());
    // Journaled before the start: a supervisor killed in between would leave a daemon that no entry
    // names.
    recordStep("starting", action.role(), action.release(), 0, 0, adminPort, action.reason());
    ProcessHandle handle = builder.start().toHandle();
    daemons.put(
        action.role(),
        new Daemon(handle.pid(), startMillis(handle), adminPort, action.release(), handle));
    recordStep(
        "started",
        action.role(),
        action.release(),
        handle.pid(),
        startMillis(handle),
        adminPort,
        action.reason());
  }

  private void recordStep(
      String event,
      SupervisorStateMachine.Role role,
      String release,
      long pid,
      long startedAtMillis,
      int adminPort,
      String reason)
      throws IOException {
    SupervisorJournal.Entry entry =
        new SupervisorJournal.Entry(
            SteadyWallClock.wallMillis(),
            event,
            role.publishedName(),
            release,
            stateMachine.fallbackRelease(),
            pid,
            startedAtMillis,
            adminPort,
            reason);
    entryListener.accept(entry);
    try {
      journal.add(entry);
    } catch (IOException e) {
      // A full disk must not end the supervisor during a change: the daemon continues to serve, and
      // the log has the entry.
      Logger.error("journal entry could not be written error={} entry={}", e.getMessage(), entry);
    }
    out.println(
        event
            + " "
            + release
            + (pid == 0 ? "" : " (" + pid + ")")
            + (reason.isEmpty() ? "" : ": " + reason));
  }

  @Override
  public void close() throws IOException {
    if (controllerEndpoint != null) {
      controllerEndpoint.close();
    }
    if (socket != null) {
      socket.close();
    }
    journal.close();
    lock.close();
  }
}
