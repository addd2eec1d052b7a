package wharftrestle.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.admission.AdmissionSettings;

/**
 * One box in virtual time: the shipped policy on cores that all runs share, cold after a start,
 * crowded past a point that the policy is not told. It owns what runs, and counts what became of
 * each request. A release may do worse by {@link Flaw}.
 */
final class SimulatedHost implements Admission.Actions {

  /**
   * What a release does worse; all 0 for nothing.
   *
   * @param slower part of its work that each request takes more
   * @param fails part of requests that fail, by class
   * @param refuses part of requests that are turned away unread
   * @param dies seconds after its start at which its daemon dies; 0 for never
   * @param leaks MB a minute
   * @param after seconds after its start before any of it shows
   */
  record Flaw(
      double slower, double[] fails, double refuses, double dies, double leaks, double after) {
    static Flaw none(int classes) {
      return new Flaw(0, new double[classes], 0, 0, 0, 0);
    }
  }

  /** What became of a request. */
  interface Caller {
    void answered(double now, Outcome outcome, double retryAfter);
  }

  /** How a request ended. */
  enum Outcome {
    SERVED,
    LATE,
    REFUSED,
    FAILED
  }

  /** Counts since the box's daemon began, by class. */
  static final class Tally {
    final long[] asked;
    final long[] served;
    final long[] late;
    final long[] refused;
    final long[] failed;
    long calls;
    long badCalls;
    double cpu;

    Tally(int classes) {
      asked = new long[classes];
      served = new long[classes];
      late = new long[classes];
      refused = new long[classes];
      failed = new long[classes];
    }
  }

  private enum Phase {
    HELD,
    RUNNING,
    CALLING,
    OVER
  }

  private static final class Live {
    private final Admission.Request request;
    private final Caller caller;
    private final double arrived;
    private final boolean fails;
    private double work; // left, seconds of a standard core
    private double callAt; // work left at which it calls; negative for never
    private double since;
    private Phase phase = Phase.HELD;
    private boolean answered;

    Live(
        Admission.Request request,
        Caller caller,
        double arrived,
        boolean fails,
        double work,
        double callAt) {
      this.request = request;
      this.caller = caller;
      this.arrived = arrived;
      this.fails = fails;
      this.work = work;
      this.callAt = callAt;
    }
  }

  /** Requests on a core past which a machine gets less done in all. */
  private static final double CROWD = 3;

  private static final double SPAN = 0.5; // of the gauge of the cores
  private static final double BASE_MB = 50;
  private static final double MOST_LOOKS = 1e-9;

  final String name;
  final String zone;
  private final EventQueue agenda;
  private final AdmissionSettings settings;
  private final SimulatedStore store;
  private final double machine; // its speed, 1 for a standard core
  private final SplittableRandom random;
  private final Map<Long, Live> live = new HashMap<>();
  private final List<Live> onCores = new ArrayList<>();
  private Tally tally;
  private AdmissionController policy;
  private Flaw flaw;
  private double startedAt;
  private double trouble = 1; // factor on its speed
  private boolean up;
  private boolean open;
  private boolean healthy = true;
  private boolean shown;
  private long ids;
  private long epoch; // of plans made for the next end of work
  private double lastAt;
  private double busy;
  private int process;

  SimulatedHost(
      String name,
      String zone,
      EventQueue agenda,
      AdmissionSettings settings,
      SimulatedStore store,
      double machine,
      long seed) {
    this.name = name;
    this.zone = zone;
    this.agenda = agenda;
    this.settings = settings;
    this.store = store;
    this.machine = machine;
    random = new SplittableRandom(seed);
    tally = new Tally(settings.classes().size());
  }

  /** A daemon starts; what the one before had in hand is ended by it first, as in a hand-over. */
  void start(Flaw of, boolean warm) {
    double now = agenda.now();
    process++;
    flaw = of;
    shown = false;
    startedAt = warm ? agenda.now() - 10 * settings.warmUp().seconds() : agenda.now();
    up = true;
    healthy = true;
    policy = new AdmissionController(agenda.now(), random.nextLong(), settings, this);
    // In a hand-over the daemon before ends what it runs; what it held is held on here.
    live.values().stream()
        .filter(each -> each.phase == Phase.HELD && !each.answered)
        .map(each -> each.request)
        .sorted((a, b) -> Long.compare(a.id(), b.id()))
        .toList()
        .forEach(
            each ->
                policy.arrived(
                    now,
                    new Admission.Request(
                        each.id(),
                        false,
                        now - live.get(each.id()).arrived,
                        each.classIndex(),
                        0,
                        each.memoryKb(),
                        1,
                        each.costHintSeconds(),
                        null,
                        0,
                        0,
                        each.priority())));
    policy.batchCompleted(now);
    if (of.dies() > 0) {
      int mine = process;
      agenda.at(
          now + of.dies(),
          then -> {
            if (process == mine) {
              die();
            }
          });
    }
  }

  /** All that is in hand is lost; nobody answers until the next start. */
  void die() {
    process++;
    up = false;
    live.values().forEach(each -> each.phase = Phase.OVER);
    List<Live> lost = new ArrayList<>(live.values());
    live.clear();
    onCores.clear();
    epoch++;
    lost.stream()
        .filter(each -> !each.answered)
        .forEach(each -> each.caller.answered(agenda.now(), Outcome.FAILED, 0));
  }

  boolean up() {
    return up;
  }

  boolean healthy() {
    return up && healthy;
  }

  int process() {
    return process;
  }

  /** Its machine is so much slower from now on; 1 for as it is. */
  void slow(double factor) {
    progress(agenda.now());
    trouble = factor;
    plan(agenda.now());
  }

  /** Requests on the cores. */
  int running() {
    return onCores.size();
  }

  /** From now on all that comes is run at once, with no policy. */
  void open(boolean now) {
    open = now;
  }

  /** Requests in hand. */
  int inHand() {
    return live.size();
  }

  Tally tally() {
    return tally;
  }

  double ownMb(double now) {
    double old = now - startedAt;
    double shows = Math.max(0, old - flaw.after());
    return BASE_MB * (1 - Math.exp(-old / 20)) + flaw.leaks() * shows / 60 + random.nextDouble();
  }

  private boolean shows(double now) {
    return shown || now - startedAt >= flaw.after();
  }

  /** What its release does worse shows from now on. */
  void show() {
    shown = true;
  }

  // ---- Requests ----

  /** A request reaches the box. */
  void ask(int type, double work, double callPart, Caller caller) {
    double now = agenda.now();
    if (!up) {
      caller.answered(now, Outcome.REFUSED, 0);
      return;
    }
    tally.asked[type]++;
    if (shows(now) && random.nextDouble() < flaw.refuses()) {
      tally.refused[type]++;
      caller.answered(now, Outcome.REFUSED, 0);
      return;
    }
    boolean fails = shows(now) && random.nextDouble() < flaw.fails()[type];
    double needs = work * (1 + (shows(now) ? flaw.slower() : 0));
    long id = ++ids;
    Admission.Request request =
        new Admission.Request(id, false, 0, type, 0, 20, 1, work, null, 0, 0, random.nextDouble());
    live.put(
        id,
        new Live(request, caller, now, fails, needs, callPart > 0 ? needs * (1 - callPart) : -1));
    if (open) {
      dispatch(id);
      return;
    }
    policy.arrived(now, request);
    policy.batchCompleted(now);
  }

  private void answer(Live of, Outcome outcome, double retryAfter) {
    if (of.answered) {
      return;
    }
    of.answered = true;
    int type = of.request.classIndex();
    switch (outcome) {
      case SERVED -> tally.served[type]++;
      case LATE -> {
        tally.served[type]++;
        tally.late[type]++;
      }
      case REFUSED -> tally.refused[type]++;
      default -> tally.failed[type]++;
    }
    of.caller.answered(agenda.now(), outcome, retryAfter);
  }

  private void over(Live of) {
    of.phase = Phase.OVER;
    live.remove(of.request.id());
  }

  // ---- Cores ----

  private double rate(double now) {
    int many = onCores.size();
    if (many == 0) {
      return 0;
    }
    double age = (now - startedAt) / settings.warmUp().seconds();
    double warm =
        age >= 1
            ? 1
            : settings.warmUp().coldSpeedFraction()
                + (1 - settings.warmUp().coldSpeedFraction()) * Math.max(0, age);
    double crowd = Math.min(1, CROWD * settings.capacity().cores() / many);
    return machine
        * trouble
        * warm
        * crowd
        * Math.min(1, (double) settings.capacity().cores() / many);
  }

  private void progress(double now) {
    double span = now - lastAt;
    if (span > 0) {
      double done = span * rate(lastAt);
      for (Live each : onCores) {
        each.work -= done;
      }
      double cores = Math.min(onCores.size(), settings.capacity().cores());
      tally.cpu += span * cores;
      double fade = Math.exp(-span / SPAN);
      busy = busy * fade + cores / settings.capacity().cores() * (1 - fade);
    }
    lastAt = now;
  }

  /** The next moment at which some run comes to its call or its end. */
  private void plan(double now) {
    long mine = ++epoch;
    double rate = rate(now);
    if (rate <= 0) {
      return;
    }
    double least = Double.POSITIVE_INFINITY;
    for (Live each : onCores) {
      least = Math.min(least, each.work - Math.max(0, each.callAt));
    }
    // While it warms the rate rises: looked at again often enough.
    double in =
        Math.max(
            MOST_LOOKS,
            Math.min(least / rate, now - startedAt < settings.warmUp().seconds() ? 0.05 : 1));
    agenda.at(
        now + in,
        then -> {
          if (mine == epoch) {
            work(then);
          }
        });
  }

  private void work(double now) {
    progress(now);
    List<Live> there = new ArrayList<>();
    for (Live each : onCores) {
      if (each.work - Math.max(0, each.callAt) <= 1e-9) {
        there.add(each);
      }
    }
    onCores.removeAll(there);
    for (Live each : there) {
      if (each.callAt >= 0) {
        each.callAt = -1;
        each.phase = Phase.CALLING;
        policy.blockedOnCall(now, each.request.id());
      } else {
        boolean late =
            now - each.arrived
                > settings.classes().get(each.request.classIndex()).latencyObjectiveSeconds();
        answer(each, each.fails ? Outcome.FAILED : late ? Outcome.LATE : Outcome.SERVED, 0);
        over(each);
        if (open) {
          continue;
        }
        policy.completed(
            now,
            each.request.id(),
            each.fails ? Admission.Outcome.FAILURE : Admission.Outcome.SUCCESS,
            now - each.since);
      }
    }
    if (!there.isEmpty()) {
      policy.batchCompleted(now);
    }
    plan(now);
  }

  private void onto(Live of) {
    double now = agenda.now();
    progress(now);
    of.phase = Phase.RUNNING;
    onCores.add(of);
    plan(now);
  }

  // ---- What the policy asks for ----

  @Override
  public void dispatch(long id) {
    Live of = live.get(id);
    of.since = agenda.now();
    onto(of);
  }

  @Override
  public void reject(long id, boolean nowhereElse, double retryAfter) {
    ended(id, Outcome.REFUSED, retryAfter);
  }

  @Override
  public void fail(long id) {
    ended(id, Outcome.FAILED, 0);
  }

  private void ended(long id, Outcome outcome, double retryAfter) {
    Live of = live.get(id);
    if (of != null) {
      answer(of, outcome, retryAfter);
      if (of.phase == Phase.HELD) {
        over(of);
      }
    }
  }

  @Override
  public void preempt(long id) {
    throw new IllegalStateException("these machines cannot stop work");
  }

  @Override
  public void callDependency(long id, double notPast) {
    Live of = live.get(id);
    double began = agenda.now();
    tally.calls++;
    int mine = process;
    store.call(
        began,
        random,
        (now, good) -> {
          if (process != mine || !live.containsKey(id)) {
            return;
          }
          if (good) {
            onto(of);
          } else {
            tally.badCalls++;
          }
          policy.callCompleted(
              now, id, good ? Admission.Outcome.SUCCESS : Admission.Outcome.FAILURE, now - began);
          policy.batchCompleted(now);
        },
        notPast);
  }

  @Override
  public void skipCall(long id) {
    onto(live.get(id));
  }

  @Override
  public void retainKey(long id, double time) {}

  @Override
  public void releaseKey(long id) {}

  @Override
  public void attach(long id) {
    throw new IllegalStateException("nobody repeats here");
  }

  @Override
  public void reportHealth(boolean good, boolean fromStore) {
    healthy = good;
  }

  @Override
  public void setIdleTimeout(double time) {}

  @Override
  public void setTimer(long label, double in) {
    int mine = process;
    agenda.at(
        agenda.now() + in,
        now -> {
          if (process == mine) {
            progress(now);
            policy.timerFired(now, label, new double[] {busy, onCores.size()});
            policy.batchCompleted(now);
          }
        });
  }

  @Override
  public void log(String line) {}
}
