package wharftrestle;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.zip.Deflater;
import java.util.zip.GZIPOutputStream;
import wharftrestle.admission.AdmissionController;
import wharftrestle.simulator.SimulatorAdapter;

/**
 * Generates the recordings that {@link DecisionRecordingTest} replays. A small simulation with a
 * fixed seed models callers, cores and a dependency: it reacts to the actions of the admission
 * control and records every batch of events with its reply. The load passes through phases (quiet,
 * overload, executions that fail or hang, a slow dependency, a stalled host and others), so that
 * all parts of the admission control are exercised.
 *
 * <p>The recordings are the reference for the decisions of the admission control. A change that
 * only restructures code must reproduce them unchanged; do not regenerate them for it. If a
 * decision is changed intentionally, regenerate them in the same commit and state the reason there:
 * run {@link #main} with the test class path, from the root of the project. A change of this class
 * alone does not change the files.
 *
 * <p>File format: the lines of each batch as they are sent, up to 'commit', then the lines of its
 * reply, each prefixed with "> ".
 */
final class DecisionGenerator {
  static final Path DIRECTORY = Path.of("src/test/resources/fixtures/decisions");
  static final String REPLY_PREFIX = "> ";

  private static final int SITE_SEEDS = 22;
  private static final int FEATURE_SEEDS = 10;
  private static final int INTERFACE_SEEDS = 6;
  private static final int EVENTS = 1600;
  private static final long MICROS_PER_MILLI = 1000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Processes a batch of lines and returns the lines of the reply. */
  interface Endpoint {
    String process(String batch) throws IOException;
  }

  /** The condition of the load, the host or the dependency for some seconds. */
  private enum Phase {
    QUIET,
    STEADY,
    OVERLOAD,
    BURSTS,
    RETRY_STORM,
    LAST_RETRIES,
    EXECUTIONS_FAIL,
    EXECUTIONS_SLOW,
    EXECUTIONS_HANG,
    CALLS_SLOW,
    CALLS_FAIL,
    CALLS_HANG,
    HOST_STALLS,
    LATE_READING,
    BIG_REQUESTS,
    NEW_CALLERS,
    NEW_CALLERS_LATE
  }

  private enum State {
    QUEUED,
    EXECUTING,
    BLOCKED,
    CALLING,
    ATTACHED,
    DONE
  }

  private static final class SimulatedRequest {
    long id;
    int classIndex;
    String key; // of a request that may be duplicated; sent for reads only
    State state = State.QUEUED;
    boolean executed;
    boolean answered;
    boolean failed;
    long startedAt;
    long callStartedAt;
    long callTimeoutAt;
    long partMicros; // run time of each part between calls, in microseconds
    int callsLeft;
    int serial; // number of its latest scheduled step; earlier steps are cancelled
    long prior;
    int retries;
    int caller;
    double cost;
    int kb;
  }

  private interface Step {
    void run();
  }

  private record ScheduledStep(long at, long order, Step step) {}

  private final Random random;
  private final ObjectNode settings;
  private final Endpoint endpoint;
  private final boolean viaInterface; // uses the Java interface instead of the simulator protocol
  private final StringBuilder batch = new StringBuilder();
  private final StringBuilder recording = new StringBuilder();
  private final PriorityQueue<ScheduledStep> eventQueue =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final Map<Long, SimulatedRequest> requests = new LinkedHashMap<>();
  private final Map<String, Long> retainedKeys = new LinkedHashMap<>(); // request ids by key
  private final Map<String, Long> previousRetainedKeys =
      new LinkedHashMap<>(); // ids before the present ones
  private final Map<String, Long> keyExpiries = new LinkedHashMap<>();
  private final int classes;
  private final int cores;
  private final int tenants;
  private long now;
  private long order;
  private long nextId = 1;
  private int events;
  private int restarts;
  private int executing;
  private Phase phase = Phase.STEADY;
  private final List<Phase> phases = new ArrayList<>(); // remaining phases
  private boolean severe; // the stronger form of the phase
  private boolean retrying; // some of the requests that are read late are retries
  private double runTimeFactor = 1; // factor of run times

  private DecisionGenerator(
      long seed, ObjectNode settings, Endpoint endpoint, boolean viaInterface) {
    this.random = new Random(seed);
    this.settings = settings;
    this.endpoint = endpoint;
    this.viaInterface = viaInterface;
    this.classes = settings.get("categories").size();
    this.cores = settings.at("/specifics/nCores").asInt();
    this.tenants = settings.get("tenants").size();
    this.now = MICROS_PER_SECOND * (10 + random.nextInt(1000));
  }

  /** Regenerates all recordings. */
  public static void main(String[] args) throws IOException {
    for (int seed = 1; seed <= SITE_SEEDS; seed++) {
      write("shared-store", seed, false);
      write("no-store", seed, false);
    }
    for (int seed = 1; seed <= FEATURE_SEEDS; seed++) {
      write("every-feature", seed, false);
    }
    for (int seed = 1; seed <= INTERFACE_SEEDS; seed++) {
      write("every-feature", seed, true);
    }
  }

  private static void write(String site, int seed, boolean viaInterface) throws IOException {
    ObjectNode settings =
        (ObjectNode)
            new ObjectMapper()
                .readTree(Files.readString(DIRECTORY.resolve("site-" + site + ".json")));
    vary(settings, site, seed);
    Endpoint endpoint = viaInterface ? new AdmissionLines()::process : simulatorAdapter();
    String text = new DecisionGenerator(seed, settings, endpoint, viaInterface).record(seed);
    String name =
        String.format("%s%s-%02d.txt.gz", viaInterface ? "interface-" : "wire-", site, seed);
    try (OutputStream out =
        new BestCompressionGzip(Files.newOutputStream(DIRECTORY.resolve(name)))) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  private static final class BestCompressionGzip extends GZIPOutputStream {
    BestCompressionGzip(OutputStream out) throws IOException {
      super(out);
      def.setLevel(Deflater.BEST_COMPRESSION);
    }
  }

  /** Returns an endpoint that passes one batch at a time to a simulator adapter. */
  static Endpoint simulatorAdapter() {
    SimulatorAdapter adapter = new SimulatorAdapter(AdmissionController::new);
    return batch -> {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      InputStream in = new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8));
      adapter.serve(in, out);
      return out.toString(StandardCharsets.UTF_8);
    };
  }

  /** Varies the settings by seed; sites other than every-feature vary in the cold start only. */
  private static void vary(ObjectNode settings, String site, int seed) {
    ObjectNode specifics = (ObjectNode) settings.get("specifics");
    specifics.put("justStarted", seed % 5 == 0);
    if (site.equals("every-feature")) {
      specifics.put("preemption", List.of("drop", "pause", "none").get(seed % 3));
      specifics.put("shareFor", seed % 4 == 0 ? 0 : 1.5);
      specifics.put("callShare", List.of(0.6, 4.0, 8.0, 1.5).get(seed % 4));
      specifics.put("callsOver", seed % 4 == 2 ? 0.4 : 5);
      specifics.put("downstream", seed % 5 == 4 ? "tier" : "shared");
      specifics.put("memoryKb", List.of(600, 1100, 2600).get(seed / 2 % 3));
      ((ObjectNode) settings.get("clients")).put("marksRetry", seed % 3 != 1);
      settings.put("worthBy", seed % 2 == 0 ? "work" : "request");
      if (seed == 6) { // no call quota, so calls are not bounded
        specifics.put("callShare", 0);
        ((ObjectNode) settings.get("obligations")).put("cold", 0);
        specifics.put("justStarted", true);
      }
      if (seed == 9) { // a very short idempotency window
        settings.put("peersTotal", 0);
        ((ObjectNode) settings.at("/categories/2")).put("memorySpan", 0.05);
      }
      if (seed == 7) {
        specifics.putArray("gauges").add("mem_used");
      } else if (seed == 8) {
        specifics.putArray("gauges").add("mem_used").add("cpu_busy");
      }
    }
  }

  // ---- Recording ----

  private String record(int seed) throws IOException {
    spawn();
    after(0, this::nextPhase);
    after(1, this::arrivals);
    if (viaInterface) {
      after(3 * MICROS_PER_SECOND, this::changeQuota);
    }
    boolean restartDue = seed % 6 == 0;
    boolean stopping = false;
    long stopAt = Long.MAX_VALUE;
    while (now < stopAt && !eventQueue.isEmpty()) {
      if (restartDue && events > EVENTS / 2) {
        restartDue = false;
        restart();
      }
      if (!stopping && events >= EVENTS) {
        stopping = true;
        if (seed % 2 == 0) {
          double drainSeconds = seed % 4 == 0 ? 1.5 : 4;
          event("lame_duck", "timeBudget", drainSeconds);
          stopAt = now + (long) (drainSeconds * MICROS_PER_SECOND);
        } else {
          stopAt = now + MICROS_PER_SECOND;
        }
      }
      while (!eventQueue.isEmpty() && eventQueue.peek().at <= now) {
        eventQueue.poll().step.run();
      }
      commit();
      long next = eventQueue.isEmpty() ? now : eventQueue.peek().at;
      now =
          (Math.max(next, now + 4 * MICROS_PER_MILLI) + MICROS_PER_MILLI - 1)
              / MICROS_PER_MILLI
              * MICROS_PER_MILLI;
    }
    return recording.toString();
  }

  private void commit() throws IOException {
    String sent = "clock\tnow=" + seconds(now) + "\n" + batch + "commit\n";
    batch.setLength(0);
    String reply = endpoint.process(sent);
    recording.append(sent);
    for (String line : reply.split("\n")) {
      recording.append(REPLY_PREFIX).append(line).append('\n');
      perform(AdmissionLines.fields(line));
    }
  }

  private static String seconds(long micros) {
    return BigDecimal.valueOf(micros, 6).stripTrailingZeros().toPlainString();
  }

  private void event(String name, Object... fields) {
    if (batch.length() == 0) {
      batch.append("at\tinstance=3\n");
    }
    batch.append(name);
    for (int i = 0; i < fields.length; i += 2) {
      batch.append('\t').append(fields[i]).append('=').append(fields[i + 1]);
    }
    batch.append('\n');
    events++;
  }

  private void after(long micros, Step step) {
    eventQueue.add(new ScheduledStep(now + Math.max(0, micros), order++, step));
  }

  private void spawn() {
    event("spawn", "prng", random.nextInt(1_000_000), "facts", settings);
  }

  /** Restarts the process cold in the same batch, without its previous state. */
  private void restart() {
    event("down");
    ((ObjectNode) settings.get("specifics")).put("justStarted", true);
    restarts++;
    requests.clear();
    retainedKeys.clear();
    previousRetainedKeys.clear();
    executing = 0;
    spawn();
  }

  private void changeQuota() {
    event("shares", "part", List.of("1", "0.5", "0.25", "0.75").get(random.nextInt(4)));
    after(2 * MICROS_PER_SECOND, this::changeQuota);
  }

  // ---- Load ----

  private void nextPhase() {
    if (phases.isEmpty()) {
      phases.addAll(List.of(Phase.values()));
      Collections.shuffle(phases, random);
      phases.remove(Phase.EXECUTIONS_HANG); // follows the phase in which executions are slow
      phases.add(phases.indexOf(Phase.EXECUTIONS_SLOW) + 1, Phase.EXECUTIONS_HANG);
    }
    phase = phases.remove(0);
    severe = random.nextBoolean();
    retrying = random.nextInt(3) == 0;
    runTimeFactor = 0.8 + random.nextDouble() * 0.4;
    after((2 + random.nextInt(4)) * MICROS_PER_SECOND, this::nextPhase);
  }

  private void arrivals() {
    double capacity = cores / 0.35;
    double rate =
        capacity
            * switch (phase) {
              case QUIET -> 0.1;
              case OVERLOAD, LATE_READING -> 2.5;
              case BIG_REQUESTS -> 1.2;
              case RETRY_STORM, LAST_RETRIES -> 1.8;
              case EXECUTIONS_HANG -> 0.9;
              case EXECUTIONS_SLOW -> 1;
              case BURSTS -> 0.3;
              default -> 0.7;
            };
    int count = phase == Phase.BURSTS && random.nextInt(8) == 0 ? 2 + random.nextInt(25) : 1;
    for (int i = 0; i < count; i++) {
      arrive(null);
    }
    after((long) (-Math.log(1 - random.nextDouble()) / rate * MICROS_PER_SECOND), this::arrivals);
  }

  /** Sends a request; a duplicate or a retry of an earlier one unless that is null. */
  private void arrive(SimulatedRequest original) {
    SimulatedRequest request = new SimulatedRequest();
    request.id = nextId++;
    request.classIndex = original == null ? random.nextInt(classes) : original.classIndex;
    String repeat = settings.at("/categories/" + request.classIndex + "/repeat").asText();
    boolean keyed = repeat.equals("idempotency_key");
    boolean read = repeat.equals("read_like") && settings.at("/specifics/shareFor").asDouble() > 0;
    boolean hasKey = keyed || (read && random.nextInt(3) > 0);
    request.key =
        original != null
            ? original.key
            : hasKey ? request.classIndex + "k" + random.nextInt(40) : null;
    request.retries = original == null ? 0 : original.retries + 1;
    boolean newCaller = phase == Phase.NEW_CALLERS || phase == Phase.NEW_CALLERS_LATE;
    request.caller = newCaller ? 100 + (int) request.id : random.nextInt(4);
    request.cost = random.nextInt(4) == 0 ? 0 : (20 + random.nextInt(400)) / 1000.0;
    request.kb = phase == Phase.BIG_REQUESTS ? 40 + random.nextInt(60) : 2 + random.nextInt(10);
    requests.put(request.id, request);
    boolean storm = phase == Phase.RETRY_STORM || (phase == Phase.LATE_READING && retrying);
    boolean retry = request.retries > 0 || (storm && random.nextInt(4) == 0);
    boolean marked = settings.at("/clients/marksRetry").asBoolean();
    List<Object> fields = new ArrayList<>(List.of("opId", request.id));
    if (marked && retry) {
      fields.addAll(List.of("isRetry", 1));
    }
    fields.addAll(
        List.of(
            "lay",
            queueingDelay(),
            "service",
            request.classIndex,
            "kb",
            request.kb,
            "src",
            request.caller));
    if (request.cost > 0 && marked) { // only the site that marks retries sends cost hints
      fields.addAll(List.of("cost", request.cost));
    }
    if (request.key != null && !keyed) {
      fields.addAll(List.of("pathKey", request.key));
    }
    Long prior = request.key == null ? null : retainedKeys.get(request.key);
    if (prior != null && keyExpiries.get(request.key) >= now) {
      request.prior =
          random.nextInt(8) == 0 ? previousRetainedKeys.getOrDefault(request.key, prior) : prior;
    } else if (keyed && random.nextInt(60) == 0) {
      request.prior = 1_000_000 + request.id; // a request that is unknown to the admission control
    }
    if (request.prior != 0) {
      fields.addAll(List.of("forerunner", request.prior));
    }
    long remainingDeadline = remainingDeadline(request, retry);
    if (remainingDeadline > 0) {
      fields.addAll(List.of("timeBudget", seconds(remainingDeadline)));
    }
    fields.addAll(List.of("prio", random.nextInt(100) / 100.0, "clientGroup", tenant()));
    event("arrival", fields.toArray());
    if (random.nextInt(12) == 0) {
      after(
          200 * MICROS_PER_MILLI + random.nextInt(2500) * MICROS_PER_MILLI,
          () -> disconnectCaller(request));
    }
    if (request.key != null && random.nextInt(6) == 0) {
      after(random.nextInt(3000) * MICROS_PER_MILLI, () -> arrive(request));
    }
  }

  private int tenant() {
    return random.nextInt(3) > 0 ? 0 : random.nextInt(tenants + 1);
  }

  private double queueingDelay() {
    return switch (phase) {
      case LATE_READING -> ((severe ? 6500 : 1500) + random.nextInt(1500)) / 1000.0;
      case NEW_CALLERS_LATE -> (150 + random.nextInt(400)) / 1000.0;
      case RETRY_STORM -> (1 + random.nextInt(400)) / 1000.0;
      default -> (1 + random.nextInt(random.nextInt(10) == 0 ? 200 : 5)) / 1000.0;
    };
  }

  private long remainingDeadline(SimulatedRequest request, boolean retry) {
    if (request.classIndex % 2 == 1 || phase == Phase.LATE_READING) {
      return 0;
    }
    int maxMillis = 1000 * settings.at("/categories/" + request.classIndex + "/deadline").asInt();
    if (phase == Phase.LAST_RETRIES && retry) {
      return maxMillis * MICROS_PER_MILLI;
    }
    int minMillis = retry ? 30 : maxMillis / 3;
    return (minMillis + random.nextInt(maxMillis / 2)) * MICROS_PER_MILLI;
  }

  private void disconnectCaller(SimulatedRequest request) {
    if (requests.get(request.id) != request || request.answered || request.state == State.DONE) {
      return;
    }
    event("cancelled_by_client", "opId", request.id);
    request.answered = true;
    if (request.state == State.QUEUED || request.state == State.ATTACHED) {
      request.state = State.DONE;
      completeAttached(request);
    } else if (request.state == State.CALLING && random.nextInt(2) == 0) {
      schedule(request, 5 * MICROS_PER_MILLI, () -> endCallOfAnswered(request));
    } else if (request.state != State.EXECUTING) {
      complete(request, "withdrawn");
    }
  }

  private void retryLater(SimulatedRequest request) {
    boolean storm = phase == Phase.RETRY_STORM || phase == Phase.LAST_RETRIES;
    if (phase != Phase.LATE_READING
        && request.retries < 4
        && random.nextInt(storm ? 5 : 3) > 0 == storm) {
      after((5 + random.nextInt(500)) * MICROS_PER_MILLI, () -> arrive(request));
    }
  }

  // ---- Executions and calls ----

  /** Performs one action of the admission control. */
  private void perform(Map<String, String> fields) {
    if (fields.get("").equals("set_timer")) {
      scheduleTimer(fields);
      return;
    }
    SimulatedRequest request =
        fields.containsKey("opId") ? requests.get(Long.parseLong(fields.get("opId"))) : null;
    if (request == null) {
      return;
    }
    switch (fields.get("")) {
      case "admit" -> dispatch(request);
      case "deny", "report_failure" -> handleAnswer(request);
      case "suspend" -> preempt(request);
      case "call" -> call(request, fields.get("notPast"));
      case "fall_back" -> resume(request);
      case "memo" -> {
        Long before = retainedKeys.put(request.key, request.id);
        if (before != null) {
          previousRetainedKeys.put(request.key, before);
        }
        keyExpiries.put(request.key, now + micros(fields.get("ttl")));
      }
      case "release_key" -> {
        // A duplicate may refer to a key that was released while the duplicate was sent.
        if (retainedKeys.getOrDefault(request.key, 0L) == request.id && random.nextInt(4) == 0) {
          retainedKeys.remove(request.key);
        }
      }
      case "attach" -> attach(request);
      default -> {}
    }
  }

  private static long micros(String seconds) {
    return Math.round(Double.parseDouble(seconds) * MICROS_PER_SECOND);
  }

  private void scheduleTimer(Map<String, String> fields) {
    long lateness =
        phase == Phase.HOST_STALLS && random.nextInt(3) == 0
            ? random.nextInt(900) * MICROS_PER_MILLI
            : 0;
    int setInProcess = restarts;
    after(
        micros(fields.get("sleepFor")) + lateness,
        () -> {
          if (setInProcess != restarts) {
            return;
          }
          List<Object> gauges = new ArrayList<>(List.of("label", fields.get("label")));
          if (random.nextInt(40) > 0) {
            gauges.addAll(List.of("usage", usage()));
          }
          event("timeout_fired", gauges.toArray());
        });
  }

  private String usage() {
    double busy =
        random.nextInt(5) == 0 ? random.nextDouble() : Math.min(1, executing * 1.0 / cores);
    boolean idle = List.of(Phase.CALLS_SLOW, Phase.CALLS_HANG, Phase.BIG_REQUESTS).contains(phase);
    busy = idle ? busy / 2 : busy;
    String utilization = Double.toString(Math.round(busy * 100) / 100.0);
    if (settings.at("/specifics/gauges").size() < 2) {
      return utilization;
    }
    int onCores = idle ? executing / 3 : executing; // the others wait for a disk
    int runnable = onCores + (random.nextInt(4) == 0 ? random.nextInt(9) : 0);
    String gauges = utilization + "," + runnable;
    return settings.at("/specifics/gauges").size() < 4
        ? gauges
        : gauges + ",0.4," + (20 + executing);
  }

  private void dispatch(SimulatedRequest request) {
    if (request.state == State.DONE) {
      after(4 * MICROS_PER_MILLI, () -> event("work_done", "opId", request.id, "status", "void"));
      return;
    }
    request.state = State.EXECUTING;
    request.executed = true;
    request.startedAt = now;
    executing++;
    boolean calls = settings.at("/specifics/classCalls/" + request.classIndex).asBoolean();
    request.callsLeft = calls ? random.nextInt(3) : 0;
    double runSeconds =
        request.cost > 0
            ? request.cost
            : 0.2 * (0.3 + random.nextDouble() * random.nextDouble() * 4);
    runSeconds *=
        Math.max(1, 1.0 * executing / cores) * runTimeFactor * (0.7 + 0.6 * random.nextDouble());
    if (phase == Phase.EXECUTIONS_SLOW) {
      runSeconds *= severe ? 3 + 20 * Math.pow(random.nextDouble(), 4) : 2.2;
    }
    int executionsPerFailure = phase == Phase.EXECUTIONS_FAIL ? 2 : 25;
    request.failed = random.nextInt(executionsPerFailure) == 0;
    runSeconds *= phase == Phase.EXECUTIONS_FAIL && request.failed ? 0.1 : 1;
    if (phase == Phase.EXECUTIONS_HANG) { // some complete slowly; the others hang
      runSeconds = random.nextBoolean() ? runSeconds + 12 : runSeconds * 2.2;
    }
    request.partMicros = (long) (runSeconds * MICROS_PER_SECOND / (request.callsLeft + 1));
    scheduleNextPart(request);
  }

  /** Schedules the next part of an execution, up to its next call or to its end. */
  private void scheduleNextPart(SimulatedRequest request) {
    schedule(
        request,
        request.partMicros,
        () -> {
          if (request.callsLeft == 0) {
            complete(request, request.failed ? "failure" : "success");
          } else if (request.answered) {
            complete(request, "withdrawn");
          } else {
            request.callsLeft--;
            request.state = State.BLOCKED;
            executing--;
            event("ready_to_call", "opId", request.id);
          }
        });
  }

  /** Schedules the next step of a request, in place of one that is already scheduled. */
  private void schedule(SimulatedRequest request, long delayMicros, Step step) {
    int serial = ++request.serial;
    after(
        delayMicros,
        () -> {
          if (request.serial == serial
              && request.state != State.DONE
              && requests.get(request.id) == request) {
            step.run();
          }
        });
  }

  private void call(SimulatedRequest request, String callTimeoutAt) {
    if (request.state != State.BLOCKED) {
      return;
    }
    request.state = State.CALLING;
    request.callStartedAt = now;
    request.callTimeoutAt = micros(callTimeoutAt);
    double durationSeconds = 0.03 + random.nextDouble() * 0.1;
    durationSeconds *= phase == Phase.CALLS_SLOW ? 15 * random.nextDouble() : 1;
    boolean hangs = random.nextInt(phase == Phase.CALLS_HANG ? 2 : 60) == 0;
    boolean fails = random.nextInt(phase == Phase.CALLS_FAIL ? 2 : 20) == 0;
    String status =
        fails
            ? List.of("failure", "overloaded", "unreachable", "broken").get(random.nextInt(4))
            : "success";
    long endsAt = now + (long) (durationSeconds * MICROS_PER_SECOND);
    boolean timesOut = hangs || endsAt > request.callTimeoutAt;
    schedule(
        request,
        (timesOut ? request.callTimeoutAt : endsAt) - now,
        () -> completeCall(request, timesOut ? "timed_out" : status));
  }

  private void completeCall(SimulatedRequest request, String status) {
    event(
        "downstream",
        "opId",
        request.id,
        "costTime",
        seconds(now - request.callStartedAt),
        "status",
        status);
    request.state = State.BLOCKED;
    if (status.equals("success")) {
      resume(request);
    }
  }

  private void resume(SimulatedRequest request) {
    if (request.state != State.BLOCKED) {
      return;
    }
    request.state = State.EXECUTING;
    executing++;
    scheduleNextPart(request);
  }

  private void handleAnswer(SimulatedRequest request) {
    boolean firstAnswer = !request.answered;
    request.answered = true;
    if (request.state == State.QUEUED || request.state == State.ATTACHED) {
      request.state = State.DONE;
      completeAttached(request);
    } else if (request.state == State.CALLING && random.nextInt(3) == 0) {
      // Its call ends before its execution is reported as ended.
      schedule(request, 5 * MICROS_PER_MILLI, () -> endCallOfAnswered(request));
    } else if (request.state == State.BLOCKED || request.state == State.CALLING) {
      schedule(request, 1, () -> complete(request, "withdrawn"));
    }
    if (firstAnswer) {
      retryLater(request);
    }
  }

  private void endCallOfAnswered(SimulatedRequest request) {
    List<String> failed = List.of("failure", "overloaded", "unreachable", "broken", "timed_out");
    completeCall(request, failed.get(random.nextInt(failed.size())));
    schedule(request, 8 * MICROS_PER_MILLI, () -> complete(request, "withdrawn"));
  }

  private void preempt(SimulatedRequest request) {
    if (request.state == State.EXECUTING) {
      schedule(
          request, random.nextInt(60) * MICROS_PER_MILLI, () -> complete(request, "withdrawn"));
    }
  }

  private void complete(SimulatedRequest request, String status) {
    event(
        "work_done",
        "opId",
        request.id,
        "status",
        status,
        "costTime",
        seconds(now - request.startedAt));
    executing -= request.state == State.EXECUTING ? 1 : 0;
    request.state = State.DONE;
    request.failed = !status.equals("success");
    if (request.failed && !request.answered) {
      retryLater(request);
    }
    request.answered = true;
    completeAttached(request);
    if (random.nextInt(40) == 0) {
      sendIgnoredEvents(request);
    }
  }

  /** Sends events about an ended request, and one about a request in an unsuitable state. */
  private void sendIgnoredEvents(SimulatedRequest ended) {
    event("downstream", "opId", ended.id, "costTime", "0.01", "status", "success");
    event("ready_to_call", "opId", ended.id);
    event("work_done", "opId", ended.id, "status", "void");
    event("cancelled_by_client", "opId", ended.id);
    for (SimulatedRequest request : requests.values()) {
      if (request.state == State.EXECUTING) {
        event("downstream", "opId", request.id, "costTime", "0.01", "status", "success");
        return;
      } else if (request.state == State.QUEUED || request.state == State.CALLING) {
        event("ready_to_call", "opId", request.id);
        return;
      }
    }
  }

  private void attach(SimulatedRequest request) {
    request.state = State.ATTACHED;
    request.startedAt = now;
    SimulatedRequest prior = requests.get(request.prior);
    if (prior == null || prior.state == State.DONE) {
      boolean succeeded = prior != null && prior.executed && !prior.failed;
      schedule(
          request,
          8 * MICROS_PER_MILLI,
          () -> complete(request, succeeded ? "success" : "failure"));
    }
  }

  private void completeAttached(SimulatedRequest prior) {
    for (SimulatedRequest request : List.copyOf(requests.values())) {
      if (request.state == State.ATTACHED && request.prior == prior.id) {
        boolean succeeded = prior.executed && !prior.failed;
        schedule(
            request,
            8 * MICROS_PER_MILLI,
            () -> complete(request, succeeded ? "success" : "failure"));
      }
    }
  }
}
