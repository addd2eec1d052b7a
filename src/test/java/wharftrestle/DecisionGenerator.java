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
 * Makes the recordings that {@link DecisionRecordingTest} replays. A small simulated host plays
 * callers, cores and a dependency from a seed: it reacts to the actions of the control and writes
 * down every batch of events with its reply. The load goes through phases (quiet, overload, runs
 * that fail or hang, a slow dependency, a stalled host and so on), so that each part of the control
 * is reached.
 *
 * <p>The recordings are the reference for what the control decides. A change that only restructures
 * the code must replay them as they are: do not make them anew for it. Where a decision is changed
 * on purpose, make them anew in the same commit and say there why: run {@link #main} with the test
 * class path, from the root of the project. A change of this class alone does not change the files.
 *
 * <p>Form of a file: the lines of each batch as they are sent, up to 'commit', then the lines of
 * its reply with "> " in front of each.
 */
final class DecisionGenerator {
  static final Path FOLDER = Path.of("src/test/resources/fixtures/decisions");
  static final String REPLY = "> ";

  private static final int SEEDS = 22;
  private static final int MORE_SEEDS = 10;
  private static final int INTERFACE_SEEDS = 6;
  private static final int EVENTS = 1600;
  private static final long MILLI = 1000;
  private static final long SECOND = 1_000_000;

  /** What answers a batch. */
  interface Endpoint {
    String answer(String batch) throws IOException;
  }

  /** What the load or the machine is like for some seconds. */
  private enum Phase {
    QUIET,
    STEADY,
    OVERLOAD,
    BURSTS,
    RETRY_STORM,
    LAST_RETRIES,
    RUNS_FAIL,
    RUNS_SLOW,
    RUNS_HANG,
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
    HELD,
    RUNNING,
    AT_CALL,
    CALLING,
    ATTACHED,
    OVER
  }

  private static final class Op {
    long id;
    int type;
    String key; // of a repeatable request, on the wire for reads alone
    State state = State.HELD;
    boolean ran;
    boolean answered;
    boolean failed;
    long began;
    long callBegan;
    long notPast;
    long rest; // work left after the next call
    int callsLeft;
    int serial; // of the last thing scheduled for it; earlier ones are void
    long prior;
    int tries;
    int caller;
    double cost;
    int kb;
  }

  private interface Step {
    void run();
  }

  private record Due(long at, long order, Step step) {}

  private final Random random;
  private final ObjectNode facts;
  private final Endpoint endpoint;
  private final boolean past; // straight at the interface, past the wire
  private final StringBuilder batch = new StringBuilder();
  private final StringBuilder recording = new StringBuilder();
  private final PriorityQueue<Due> agenda =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final Map<Long, Op> ops = new LinkedHashMap<>();
  private final Map<String, Long> entries = new LinkedHashMap<>();
  private final Map<String, Long> earlier = new LinkedHashMap<>(); // the entry before that
  private final Map<String, Long> entryEnds = new LinkedHashMap<>();
  private final int classes;
  private final int cores;
  private final int tenants;
  private long now;
  private long order;
  private long nextId = 1;
  private int events;
  private int lives;
  private int running;
  private Phase phase = Phase.STEADY;
  private final List<Phase> phases = new ArrayList<>(); // still to come
  private boolean severe; // how strong the phase is
  private boolean retrying; // late requests are retries, in part
  private double fast = 1; // speed of the machine's runs

  private DecisionGenerator(long seed, ObjectNode facts, Endpoint endpoint, boolean past) {
    this.random = new Random(seed);
    this.facts = facts;
    this.endpoint = endpoint;
    this.past = past;
    this.classes = facts.get("categories").size();
    this.cores = facts.at("/specifics/nCores").asInt();
    this.tenants = facts.get("tenants").size();
    this.now = SECOND * (10 + random.nextInt(1000));
  }

  /** Makes all recordings anew. */
  public static void main(String[] args) throws IOException {
    for (int seed = 1; seed <= SEEDS; seed++) {
      write("shared-store", seed, false);
      write("no-store", seed, false);
    }
    for (int seed = 1; seed <= MORE_SEEDS; seed++) {
      write("every-feature", seed, false);
    }
    for (int seed = 1; seed <= INTERFACE_SEEDS; seed++) {
      write("every-feature", seed, true);
    }
  }

  private static void write(String site, int seed, boolean past) throws IOException {
    ObjectNode facts =
        (ObjectNode)
            new ObjectMapper().readTree(Files.readString(FOLDER.resolve("site-" + site + ".json")));
    vary(facts, site, seed);
    Endpoint endpoint = past ? new AdmissionLines()::answer : wire();
    String text = new DecisionGenerator(seed, facts, endpoint, past).record(seed);
    String name = String.format("%s%s-%02d.txt.gz", past ? "interface-" : "wire-", site, seed);
    try (OutputStream out = new Packed(Files.newOutputStream(FOLDER.resolve(name)))) {
      out.write(text.getBytes(StandardCharsets.UTF_8));
    }
  }

  private static final class Packed extends GZIPOutputStream {
    Packed(OutputStream out) throws IOException {
      super(out);
      def.setLevel(Deflater.BEST_COMPRESSION);
    }
  }

  /** The adapter of the wire, one batch at a time. */
  static Endpoint wire() {
    SimulatorAdapter adapter = new SimulatorAdapter(AdmissionController::new);
    return batch -> {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      InputStream in = new ByteArrayInputStream(batch.getBytes(StandardCharsets.UTF_8));
      adapter.serve(in, out);
      return out.toString(StandardCharsets.UTF_8);
    };
  }

  /** The sites keep their settings; the one of all features differs by seed. */
  private static void vary(ObjectNode facts, String site, int seed) {
    ObjectNode own = (ObjectNode) facts.get("specifics");
    own.put("justStarted", seed % 5 == 0);
    if (site.equals("every-feature")) {
      own.put("preemption", List.of("drop", "pause", "none").get(seed % 3));
      own.put("shareFor", seed % 4 == 0 ? 0 : 1.5);
      own.put("callShare", List.of(0.6, 4.0, 8.0, 1.5).get(seed % 4));
      own.put("callsOver", seed % 4 == 2 ? 0.4 : 5);
      own.put("downstream", seed % 5 == 4 ? "tier" : "shared");
      own.put("memoryKb", List.of(600, 1100, 2600).get(seed / 2 % 3));
      ((ObjectNode) facts.get("clients")).put("marksRetry", seed % 3 != 1);
      facts.put("worthBy", seed % 2 == 0 ? "work" : "request");
      if (seed == 6) { // no share of calls is told, so calls have no bound
        own.put("callShare", 0);
        ((ObjectNode) facts.get("obligations")).put("cold", 0);
        own.put("justStarted", true);
      }
      if (seed == 9) { // keys that may come again for a moment only
        facts.put("peersTotal", 0);
        ((ObjectNode) facts.at("/categories/2")).put("memorySpan", 0.05);
      }
      if (seed == 7) {
        own.putArray("gauges").add("mem_used");
      } else if (seed == 8) {
        own.putArray("gauges").add("mem_used").add("cpu_busy");
      }
    }
  }

  // ---- The recording ----

  private String record(int seed) throws IOException {
    spawn();
    after(0, this::nextPhase);
    after(1, this::arrivals);
    if (past) {
      after(3 * SECOND, this::share);
    }
    boolean restarts = seed % 6 == 0;
    boolean left = false;
    long stop = Long.MAX_VALUE;
    while (now < stop && !agenda.isEmpty()) {
      if (restarts && events > EVENTS / 2) {
        restarts = false;
        restart();
      }
      if (!left && events >= EVENTS) {
        left = true;
        if (seed % 2 == 0) {
          double notice = seed % 4 == 0 ? 1.5 : 4;
          event("lame_duck", "timeBudget", notice);
          stop = now + (long) (notice * SECOND);
        } else {
          stop = now + SECOND;
        }
      }
      while (!agenda.isEmpty() && agenda.peek().at <= now) {
        agenda.poll().step.run();
      }
      commit();
      long next = agenda.isEmpty() ? now : agenda.peek().at;
      now = (Math.max(next, now + 4 * MILLI) + MILLI - 1) / MILLI * MILLI;
    }
    return recording.toString();
  }

  private void commit() throws IOException {
    String sent = "clock\tnow=" + seconds(now) + "\n" + batch + "commit\n";
    batch.setLength(0);
    String reply = endpoint.answer(sent);
    recording.append(sent);
    for (String line : reply.split("\n")) {
      recording.append(REPLY).append(line).append('\n');
      act(AdmissionLines.fields(line));
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
    agenda.add(new Due(now + Math.max(0, micros), order++, step));
  }

  private void spawn() {
    event("spawn", "prng", random.nextInt(1_000_000), "facts", facts);
  }

  /** The process dies and comes back cold in the same batch; nothing of it is known any more. */
  private void restart() {
    event("down");
    ((ObjectNode) facts.get("specifics")).put("justStarted", true);
    lives++;
    ops.clear();
    entries.clear();
    earlier.clear();
    running = 0;
    spawn();
  }

  private void share() {
    event("shares", "part", List.of("1", "0.5", "0.25", "0.75").get(random.nextInt(4)));
    after(2 * SECOND, this::share);
  }

  // ---- Load ----

  private void nextPhase() {
    if (phases.isEmpty()) {
      phases.addAll(List.of(Phase.values()));
      Collections.shuffle(phases, random);
      phases.remove(Phase.RUNS_HANG); // when runs are slow already
      phases.add(phases.indexOf(Phase.RUNS_SLOW) + 1, Phase.RUNS_HANG);
    }
    phase = phases.remove(0);
    severe = random.nextBoolean();
    retrying = random.nextInt(3) == 0;
    fast = 0.8 + random.nextDouble() * 0.4;
    after((2 + random.nextInt(4)) * SECOND, this::nextPhase);
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
              case RUNS_HANG -> 0.9;
              case RUNS_SLOW -> 1;
              case BURSTS -> 0.3;
              default -> 0.7;
            };
    int many = phase == Phase.BURSTS && random.nextInt(8) == 0 ? 2 + random.nextInt(25) : 1;
    for (int i = 0; i < many; i++) {
      arrive(null);
    }
    after((long) (-Math.log(1 - random.nextDouble()) / rate * SECOND), this::arrivals);
  }

  private void arrive(Op again) {
    Op op = new Op();
    op.id = nextId++;
    op.type = again == null ? random.nextInt(classes) : again.type;
    String repeat = facts.at("/categories/" + op.type + "/repeat").asText();
    boolean keyed = repeat.equals("idempotency_key");
    boolean read = repeat.equals("read_like") && facts.at("/specifics/shareFor").asDouble() > 0;
    boolean sent = keyed || (read && random.nextInt(3) > 0);
    op.key = again != null ? again.key : sent ? op.type + "k" + random.nextInt(40) : null;
    op.tries = again == null ? 0 : again.tries + 1;
    boolean fresh = phase == Phase.NEW_CALLERS || phase == Phase.NEW_CALLERS_LATE;
    op.caller = fresh ? 100 + (int) op.id : random.nextInt(4);
    op.cost = random.nextInt(4) == 0 ? 0 : (20 + random.nextInt(400)) / 1000.0;
    op.kb = phase == Phase.BIG_REQUESTS ? 40 + random.nextInt(60) : 2 + random.nextInt(10);
    ops.put(op.id, op);
    boolean storm = phase == Phase.RETRY_STORM || (phase == Phase.LATE_READING && retrying);
    boolean retry = op.tries > 0 || (storm && random.nextInt(4) == 0);
    boolean marked = facts.at("/clients/marksRetry").asBoolean();
    List<Object> f = new ArrayList<>(List.of("opId", op.id));
    if (marked && retry) {
      f.addAll(List.of("isRetry", 1));
    }
    f.addAll(List.of("lay", lay(), "service", op.type, "kb", op.kb, "src", op.caller));
    if (op.cost > 0 && marked) { // the site that marks retries is the one that hints at work
      f.addAll(List.of("cost", op.cost));
    }
    if (op.key != null && !keyed) {
      f.addAll(List.of("pathKey", op.key));
    }
    Long prior = op.key == null ? null : entries.get(op.key);
    if (prior != null && entryEnds.get(op.key) >= now) {
      op.prior = random.nextInt(8) == 0 ? earlier.getOrDefault(op.key, prior) : prior;
    } else if (keyed && random.nextInt(60) == 0) {
      op.prior = 1_000_000 + op.id; // one that the control has forgotten
    }
    if (op.prior != 0) {
      f.addAll(List.of("forerunner", op.prior));
    }
    long patience = patience(op, retry);
    if (patience > 0) {
      f.addAll(List.of("timeBudget", seconds(patience)));
    }
    f.addAll(List.of("prio", random.nextInt(100) / 100.0, "clientGroup", tenant()));
    event("arrival", f.toArray());
    if (random.nextInt(12) == 0) {
      after(200 * MILLI + random.nextInt(2500) * MILLI, () -> callerLeaves(op));
    }
    if (op.key != null && random.nextInt(6) == 0) {
      after(random.nextInt(3000) * MILLI, () -> arrive(op));
    }
  }

  private int tenant() {
    return random.nextInt(3) > 0 ? 0 : random.nextInt(tenants + 1);
  }

  private double lay() {
    return switch (phase) {
      case LATE_READING -> ((severe ? 6500 : 1500) + random.nextInt(1500)) / 1000.0;
      case NEW_CALLERS_LATE -> (150 + random.nextInt(400)) / 1000.0;
      case RETRY_STORM -> (1 + random.nextInt(400)) / 1000.0;
      default -> (1 + random.nextInt(random.nextInt(10) == 0 ? 200 : 5)) / 1000.0;
    };
  }

  private long patience(Op op, boolean retry) {
    if (op.type % 2 == 1 || phase == Phase.LATE_READING) {
      return 0;
    }
    int most = 1000 * facts.at("/categories/" + op.type + "/deadline").asInt();
    if (phase == Phase.LAST_RETRIES && retry) {
      return most * MILLI;
    }
    int least = retry ? 30 : most / 3;
    return (least + random.nextInt(most / 2)) * MILLI;
  }

  private void callerLeaves(Op op) {
    if (ops.get(op.id) != op || op.answered || op.state == State.OVER) {
      return;
    }
    event("cancelled_by_client", "opId", op.id);
    op.answered = true;
    if (op.state == State.HELD || op.state == State.ATTACHED) {
      op.state = State.OVER;
      endRiders(op);
    } else if (op.state == State.CALLING && random.nextInt(2) == 0) {
      scheduled(op, 5 * MILLI, () -> callEndsAnswered(op));
    } else if (op.state != State.RUNNING) {
      done(op, "withdrawn");
    }
  }

  private void comeAgain(Op op) {
    boolean storm = phase == Phase.RETRY_STORM || phase == Phase.LAST_RETRIES;
    if (phase != Phase.LATE_READING && op.tries < 4 && random.nextInt(storm ? 5 : 3) > 0 == storm) {
      after((5 + random.nextInt(500)) * MILLI, () -> arrive(op));
    }
  }

  // ---- Runs and calls ----

  private void act(Map<String, String> f) {
    if (f.get("").equals("set_timer")) {
      timer(f);
      return;
    }
    Op op = f.containsKey("opId") ? ops.get(Long.parseLong(f.get("opId"))) : null;
    if (op == null) {
      return;
    }
    switch (f.get("")) {
      case "admit" -> admit(op);
      case "deny", "report_failure" -> answered(op);
      case "suspend" -> suspend(op);
      case "call" -> call(op, f.get("notPast"));
      case "fall_back" -> resume(op);
      case "memo" -> {
        Long before = entries.put(op.key, op.id);
        if (before != null) {
          earlier.put(op.key, before);
        }
        entryEnds.put(op.key, now + micros(f.get("ttl")));
      }
      case "release_key" -> {
        // A repeat that was on its way may still name an entry that is gone.
        if (entries.getOrDefault(op.key, 0L) == op.id && random.nextInt(4) == 0) {
          entries.remove(op.key);
        }
      }
      case "attach" -> attach(op);
      default -> {}
    }
  }

  private static long micros(String seconds) {
    return Math.round(Double.parseDouble(seconds) * SECOND);
  }

  private void timer(Map<String, String> f) {
    long late =
        phase == Phase.HOST_STALLS && random.nextInt(3) == 0 ? random.nextInt(900) * MILLI : 0;
    int life = lives;
    after(
        micros(f.get("sleepFor")) + late,
        () -> {
          if (life != lives) {
            return;
          }
          List<Object> gauges = new ArrayList<>(List.of("label", f.get("label")));
          if (random.nextInt(40) > 0) {
            gauges.addAll(List.of("usage", usage()));
          }
          event("timeout_fired", gauges.toArray());
        });
  }

  private String usage() {
    double busy = random.nextInt(5) == 0 ? random.nextDouble() : Math.min(1, running * 1.0 / cores);
    boolean idle = List.of(Phase.CALLS_SLOW, Phase.CALLS_HANG, Phase.BIG_REQUESTS).contains(phase);
    busy = idle ? busy / 2 : busy;
    String first = Double.toString(Math.round(busy * 100) / 100.0);
    if (facts.at("/specifics/gauges").size() < 2) {
      return first;
    }
    int wanting = idle ? running / 3 : running; // the others wait for a disk
    int runnable = wanting + (random.nextInt(4) == 0 ? random.nextInt(9) : 0);
    String row = first + "," + runnable;
    return facts.at("/specifics/gauges").size() < 4 ? row : row + ",0.4," + (20 + running);
  }

  private void admit(Op op) {
    if (op.state == State.OVER) {
      after(4 * MILLI, () -> event("work_done", "opId", op.id, "status", "void"));
      return;
    }
    op.state = State.RUNNING;
    op.ran = true;
    op.began = now;
    running++;
    boolean calls = facts.at("/specifics/classCalls/" + op.type).asBoolean();
    op.callsLeft = calls ? random.nextInt(3) : 0;
    double work =
        op.cost > 0 ? op.cost : 0.2 * (0.3 + random.nextDouble() * random.nextDouble() * 4);
    work *= Math.max(1, 1.0 * running / cores) * fast * (0.7 + 0.6 * random.nextDouble());
    if (phase == Phase.RUNS_SLOW) {
      work *= severe ? 3 + 20 * Math.pow(random.nextDouble(), 4) : 2.2;
    }
    int failing = phase == Phase.RUNS_FAIL ? 2 : 25;
    op.failed = random.nextInt(failing) == 0;
    work *= phase == Phase.RUNS_FAIL && op.failed ? 0.1 : 1;
    if (phase == Phase.RUNS_HANG) { // some end, slowly; the others hang
      work = random.nextBoolean() ? work + 12 : work * 2.2;
    }
    op.rest = (long) (work * SECOND / (op.callsLeft + 1));
    part(op);
  }

  /** The next part of a run: up to its next call or to its end. */
  private void part(Op op) {
    scheduled(
        op,
        op.rest,
        () -> {
          if (op.callsLeft == 0) {
            done(op, op.failed ? "failure" : "success");
          } else if (op.answered) {
            done(op, "withdrawn");
          } else {
            op.callsLeft--;
            op.state = State.AT_CALL;
            running--;
            event("ready_to_call", "opId", op.id);
          }
        });
  }

  /** Replaces whatever was scheduled for the request. */
  private void scheduled(Op op, long in, Step step) {
    int serial = ++op.serial;
    after(
        in,
        () -> {
          if (op.serial == serial && op.state != State.OVER && ops.get(op.id) == op) {
            step.run();
          }
        });
  }

  private void call(Op op, String notPast) {
    if (op.state != State.AT_CALL) {
      return;
    }
    op.state = State.CALLING;
    op.callBegan = now;
    op.notPast = micros(notPast);
    double takes = 0.03 + random.nextDouble() * 0.1;
    takes *= phase == Phase.CALLS_SLOW ? 15 * random.nextDouble() : 1;
    boolean never = random.nextInt(phase == Phase.CALLS_HANG ? 2 : 60) == 0;
    boolean fails = random.nextInt(phase == Phase.CALLS_FAIL ? 2 : 20) == 0;
    String status =
        fails
            ? List.of("failure", "overloaded", "unreachable", "broken").get(random.nextInt(4))
            : "success";
    long end = now + (long) (takes * SECOND);
    boolean late = never || end > op.notPast;
    scheduled(op, (late ? op.notPast : end) - now, () -> called(op, late ? "timed_out" : status));
  }

  private void called(Op op, String status) {
    event("downstream", "opId", op.id, "costTime", seconds(now - op.callBegan), "status", status);
    op.state = State.AT_CALL;
    if (status.equals("success")) {
      resume(op);
    }
  }

  private void resume(Op op) {
    if (op.state != State.AT_CALL) {
      return;
    }
    op.state = State.RUNNING;
    running++;
    part(op);
  }

  private void answered(Op op) {
    boolean first = !op.answered;
    op.answered = true;
    if (op.state == State.HELD || op.state == State.ATTACHED) {
      op.state = State.OVER;
      endRiders(op);
    } else if (op.state == State.CALLING && random.nextInt(3) == 0) {
      // Its call ends first.
      scheduled(op, 5 * MILLI, () -> callEndsAnswered(op));
    } else if (op.state == State.AT_CALL || op.state == State.CALLING) {
      scheduled(op, 1, () -> done(op, "withdrawn"));
    }
    if (first) {
      comeAgain(op);
    }
  }

  private void callEndsAnswered(Op op) {
    List<String> failed = List.of("failure", "overloaded", "unreachable", "broken", "timed_out");
    called(op, failed.get(random.nextInt(failed.size())));
    scheduled(op, 8 * MILLI, () -> done(op, "withdrawn"));
  }

  private void suspend(Op op) {
    if (op.state == State.RUNNING) {
      scheduled(op, random.nextInt(60) * MILLI, () -> done(op, "withdrawn"));
    }
  }

  private void done(Op op, String status) {
    event("work_done", "opId", op.id, "status", status, "costTime", seconds(now - op.began));
    running -= op.state == State.RUNNING ? 1 : 0;
    op.state = State.OVER;
    op.failed = !status.equals("success");
    if (op.failed && !op.answered) {
      comeAgain(op);
    }
    op.answered = true;
    endRiders(op);
    if (random.nextInt(40) == 0) {
      withoutEffect(op);
    }
  }

  /** Events about what is over, and about requests that are in no state for them. */
  private void withoutEffect(Op over) {
    event("downstream", "opId", over.id, "costTime", "0.01", "status", "success");
    event("ready_to_call", "opId", over.id);
    event("work_done", "opId", over.id, "status", "void");
    event("cancelled_by_client", "opId", over.id);
    for (Op op : ops.values()) {
      if (op.state == State.RUNNING) {
        event("downstream", "opId", op.id, "costTime", "0.01", "status", "success");
        return;
      } else if (op.state == State.HELD || op.state == State.CALLING) {
        event("ready_to_call", "opId", op.id);
        return;
      }
    }
  }

  private void attach(Op op) {
    op.state = State.ATTACHED;
    op.began = now;
    Op prior = ops.get(op.prior);
    if (prior == null || prior.state == State.OVER) {
      boolean good = prior != null && prior.ran && !prior.failed;
      scheduled(op, 8 * MILLI, () -> done(op, good ? "success" : "failure"));
    }
  }

  private void endRiders(Op prior) {
    for (Op op : List.copyOf(ops.values())) {
      if (op.state == State.ATTACHED && op.prior == prior.id) {
        boolean good = prior.ran && !prior.failed;
        scheduled(op, 8 * MILLI, () -> done(op, good ? "success" : "failure"));
      }
    }
  }
}
