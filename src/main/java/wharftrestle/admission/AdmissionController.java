package wharftrestle.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Decides, inside one service instance, which requests are started, held, refused or failed. The
 * types, events and actions it speaks in stand in Admission.java. One object an instance; it is not
 * thread-safe and needs not be.
 */
public final class AdmissionController implements Admission.Events {

  // ---- Constants: unit and reason each ----

  /** Times the run time that make a request's deadline for ordering (DESIGN, D_multiplier). */
  private static final double DEADLINE_MULTIPLE = 10;

  /** Part of the earliest time left that joins its group (DESIGN, Gr). */
  private static final double GROUP_RANGE = 0.4;

  /**
   * Part of a class's aim taken as its run time before any run was seen: aims are several runs
   * long.
   */
  private static final double SEED_SHARE_OF_AIM = 1.0 / 8;

  /** Weight of one run in the decayed means: about the last twenty runs count. */
  private static final double LEARN = 1.0 / 20;

  /**
   * Part of the gap by which the least-seen latency follows the present one a run, so that it ages.
   */
  private static final double BASE_AGING = 0.002;

  /** Runs of a class before its mean may set the least-seen latency. */
  private static final int BASE_AFTER = 5;

  /**
   * Part of its time so far that an overdue run is expected to take still: long runs have long
   * tails.
   */
  private static final double OVERRUN_SHARE = 0.25;

  /**
   * Times the least-seen latency above which the running limit shrinks: below it is noise of few
   * runs.
   */
  private static final double LATENCY_TOLERANCE = 1.25;

  /** Part of the cores by which the running limit climbs a step while cores idle and work waits. */
  private static final double CLIMB = 0.5;

  /** Part of the excess over the cores that the running limit loses a step while latency is up. */
  private static final double SHRINK = 0.1;

  /** Share of busy cores below which they count as idle: reading and checks come and go. */
  private static final double BUSY = 0.9;

  /**
   * Seconds between two looks at the gauges while work waits: half of the span of the cores' gauge.
   */
  private static final double LOOK = 0.25;

  /** Part of the crowd survived that the running limit may reach: reading and calls come on top. */
  private static final double CROWD_MARGIN = 0.7;

  /**
   * Part of memory for running requests and keys; the rest is for what is read before it is
   * refused.
   */
  private static final double RUN_MEMORY = 0.85;

  /** Part of memory for all together. */
  private static final double ALL_MEMORY = 0.95;

  /**
   * Part of the call share, over its span, that one burst may spend; with the rate it stays under
   * 1.
   */
  private static final double CALL_BURST = 0.35;

  /** Part of the call share in hand, at once and in steady use, while calls are quick. */
  private static final double CALLS_QUICK = 0.5;

  /** The same while calls are slow: a fifth of the share may fill the slots. */
  private static final double CALLS_SLOW = 0.2;

  /** Times the least-seen mean call from which calls count as slow. */
  private static final double CALL_TOLERANCE = 2;

  /** Weight of one call in the mean call: a slow dependency must show within few calls. */
  private static final double CALL_LEARN = 1.0 / 10;

  /** Seconds taken for the mean call before one was seen. */
  private static final double CALL_SEED = 0.1;

  /**
   * Times the mean call for which one is waited: some never end, and each holds a part of the
   * share. What may not be repeated is lost with its call, so that one is waited for longer.
   */
  private static final double CALL_PATIENCE = 10;

  private static final double CALL_PATIENCE_ONCE = 20;

  /** Part of the aim for which one is waited at least, the host's own stalls apart. */
  private static final double CALL_LEAST = 0.1;

  /**
   * Times the mean call that one given up counts in it: more would tell of patience, not of calls.
   */
  private static final double GIVEN_UP_MOST = 3;

  /** Part of the aim before the first repeat of a call; doubles each time. */
  private static final double CALL_BACKOFF = 0.025;

  /** Seconds over which tenants' rates are averaged: some dozens of requests. */
  private static final double TENANT_SPAN = 10;

  /** Ticks left for an answer to be given before it is due. */
  private static final double ANSWER_TICKS = 2;

  /**
   * Share of further tries in arrivals above which others are taken to refuse too: asking on costs
   * all.
   */
  private static final double RETRY_STORM = 0.12;

  /**
   * Share of arrivals refused here above which the same holds where further tries carry no mark.
   */
  private static final double REFUSED_STORM = 0.4;

  /** Part of the work in hand, in seconds, for which a refused caller is advised to stay away. */
  private static final double ADVICE = 0.3;

  /** Part of the time left until its run must start for which a caller is sent away at most. */
  private static final double ADVICE_ROOM = 0.1;

  /**
   * Times their estimates that what runs has taken, in all, from which this machine counts as ill.
   * Guards against uneven runs: the long ones are in hand the longest, and 3 to 4 times is common
   * in small crowds.
   */
  private static final double ILL_STRAIN = 5;

  /**
   * Times its estimate that one run counts at most in that: the few long runs of any hour do no
   * harm.
   */
  private static final double STRAIN_MOST = 16;

  /**
   * Seconds, and mean runs, without a run's end that confirm it; else slow ends must, by this drag
   * beyond what the crowd explains: a few long runs among short ones bring 1.5 to 2.
   */
  private static final double NO_END = 0.5;

  private static final double NO_END_RUNS = 5;
  private static final double SOME_DRAG = 2;

  /** Mean runs that ran as expected added to that sum: few runs in hand are little evidence. */
  private static final double STRAIN_PRIOR = 3;

  /** Seconds a timer may come late, for its gauges, before the host counts as stalled. */
  private static final double TIMER_LATE = 0.02;

  /** Seconds over which a stall of the host is forgotten: the runs it touched are over by then. */
  private static final double STALL_SPAN = 2;

  /**
   * Times the least-seen latency, in the mean of a dozen runs, from which this machine counts as
   * ill. Guards against a crowd's stretch, 2.5 times in a dozen uneven runs, taking it off the
   * list.
   */
  private static final double ILL_DRAG = 3.0;

  /** Times the least-seen latency that one run counts at most: one long run is no slow machine. */
  private static final double RUN_MOST = 4;

  /**
   * Seconds unread from which this machine counts as ill: what it takes in is late before it is
   * read.
   */
  private static final double ILL_UNREAD = 1;

  /**
   * Share of arrivals refused from which that holds: a fleet that is overloaded still serves some.
   */
  private static final double ILL_REFUSED = 0.8;

  /** Share of runs that fail by themselves from which this machine counts as ill. */
  private static final double ILL_FAILURES = 0.35;

  /** Weight of one run in failures and drag: trouble must show within a dozen runs. */
  private static final double RUN_LEARN = 1.0 / 12;

  /**
   * Seconds ill before the next trial, and least seconds of a trial: lists follow some seconds
   * late.
   */
  private static final double ILL_SPAN = 4;

  /**
   * Part of the estimate that must fit before an answer's time where a core is idle: estimates
   * spread.
   */
  private static final double ON_IDLE = 0.75;

  /** Seconds within which a caller must be back for its idle connection to be worth its room. */
  private static final double BACK_WITHIN = 5;

  /** Seconds an idle connection stays where callers seldom come back: further tries follow fast. */
  private static final double IDLE_SHORT = 0.1;

  /** Seconds an idle connection stays at most where callers seldom come back. */
  private static final double IDLE_LONG = 13;

  /** Seconds between two steps of that time, each a doubling or a halving. */
  private static final double IDLE_STEP = 1;

  /** Seconds unread from which new connections jam the entrance: reading itself takes far less. */
  private static final double JAM = 0.15;

  /**
   * Share of callers back in time below which idle connections close early; a fifth above, they
   * stay.
   */
  private static final double BACK_SHARE = 0.4;

  /** Seconds a key is kept beyond its window, for rounding. */
  private static final double KEY_SPARE = 0.02;

  /**
   * Seconds of the drain's grace that are not used: on crowded cores the notice itself is heard
   * late.
   */
  public static final double DRAIN_MARGIN_SECONDS = 0.4;

  // ---- State ----

  private enum State {
    HELD,
    RUNNING,
    AT_CALL,
    CALLING,
    ATTACHED,
    OVER
  }

  /** One request in hand, or one over whose key is still kept. */
  private static final class Op {
    Admission.Request request;
    Admission.RequestClass type;
    ClassStats stats;
    State state = State.HELD;
    double arrived; // at the machine
    double due; // the answer must be out
    double aimBy; // full worth until then
    double keyUntil; // its entry lasts until then
    double started;
    double offCores; // time spent standing at calls
    double callSince; // when it came to stand at the present call
    double callAgain; // no repeat of the call before this
    int callTries;
    int calls; // calls stood at so far
    boolean ran;
    boolean answered;
    boolean stopping;
    boolean kept;
    int riders; // attached requests that wait for this one
    Op successor; // the try that took over, where this one is over unrun
    Op rides; // attached: the try it waits for
  }

  /** What is learnt of one class. */
  private static final class ClassStats {
    double own; // decayed mean of run time without calls
    double calls; // decayed mean number of calls in a run
    double cost; // decayed mean of the cost hint
    double base; // least-seen own time, by unit of cost where hinted
    double longest; // that callers wait for first tries, aged
    double shortest; // the same
    int runs;
  }

  private final AdmissionSettings settings;
  private final Admission.Actions act;
  private final Random random;
  private final double bornAt;
  private final ClassStats[] stats;
  private final double[] tenantRate;
  private final double[] tenantSeen;
  private final Map<Long, Op> ops = new LinkedHashMap<>();
  private final List<Op> held = new ArrayList<>();
  private final Map<Long, Op> keys = new LinkedHashMap<>();
  private final PriorityQueue<Op> keyEnds;
  private final ArrayDeque<Op> atCall = new ArrayDeque<>();
  private final int busyGauge;
  private final int runnableGauge;
  private double heldMemory;
  private double runMemory;
  private int entries;
  private int onCores;
  private double limit;
  private double latency = 1; // class means over their least seen: steady, leads the running limit
  private double drag = 1; // single runs over the same: quick and noisy, tells illness
  private double callBudget;
  private double callBudgetAt;
  private int callsInHand;
  private double callMean = CALL_SEED;
  private double callBase = CALL_SEED; // least-seen mean call
  private double leftAt = Double.POSITIVE_INFINITY;
  private double stopAt = Double.POSITIVE_INFINITY;
  private double timerAt = Double.POSITIVE_INFINITY;
  private double lookAt;
  private double failures; // decayed share of runs that failed by themselves
  private double meanOwn; // decayed mean of own time over all classes
  private double stall; // longest late timer of late, which what runs did not cause
  private double stallAt;
  private double lastEnd; // when a run was last told to have ended by itself
  private double strain; // time on cores over estimate, of what runs
  private boolean healthy = true;
  private double illUntil = Double.NEGATIVE_INFINITY;
  private double furtherShare; // of arrivals marked as further tries
  private double refusedShare; // of arrivals
  private double unread; // decayed mean of seconds between reaching the machine and being read
  private final Map<Integer, Double> lastFrom =
      new LinkedHashMap<>(); // callers, longest unseen first
  private double backShare = 0.5; // of arrivals whose caller was here a moment before
  private double idle; // seconds an idle connection stays; 0 for the longest
  private double idleAt; // next look at that
  private double crowded = 1; // runs a core when runs end: slow for that alone is no illness
  private double mine = 1; // part of memory and of the store's share, while two processes serve
  private double backlog; // seconds of work in hand, as of the last look at the hold

  public AdmissionController(
      double now, long seed, AdmissionSettings settings, Admission.Actions actions) {
    this.settings = settings;
    this.act = actions;
    random = new Random(seed);
    bornAt = now;
    lastEnd = now;
    stats = new ClassStats[settings.classes().size()];
    for (int i = 0; i < stats.length; i++) {
      stats[i] = new ClassStats();
      stats[i].calls = settings.classes().get(i).callsDependency() ? 1 : 0;
      stats[i].own = settings.classes().get(i).latencyObjectiveSeconds() * SEED_SHARE_OF_AIM;
      meanOwn += stats[i].own / stats.length;
    }
    tenantRate = new double[Math.max(1, settings.tenants().size())];
    tenantSeen = new double[tenantRate.length];
    keyEnds =
        new PriorityQueue<>(
            (a, b) ->
                a.keyUntil != b.keyUntil
                    ? Double.compare(a.keyUntil, b.keyUntil)
                    : Long.compare(a.request.id(), b.request.id()));
    busyGauge = settings.gauges().indexOf("cpu_busy");
    runnableGauge = settings.gauges().indexOf("runnable");
    limit = settings.capacity().cores();
    callBudget = callBurst();
    callBudgetAt = now;
    lookAt = now;
    act.reportHealth(true, true);
  }

  private static boolean started(Op op) {
    return op.state == State.RUNNING || op.state == State.AT_CALL || op.state == State.CALLING;
  }

  // ---- Events ----

  @Override
  public void arrived(double now, Admission.Request request) {
    Op op = new Op();
    op.request = request;
    op.type = settings.classes().get(request.classIndex());
    op.stats = stats[request.classIndex()];
    op.arrived = now - request.queueingDelaySeconds();
    double due =
        request.remainingDeadlineSeconds() > 0
            ? now + request.remainingDeadlineSeconds()
            : op.arrived + op.type.deadlineSeconds();
    op.due = Math.max(now, Math.min(due, stopAt) - ANSWER_TICKS * settings.timing().tickSeconds());
    double aim =
        Math.min(
            op.type.deadlineSeconds(),
            op.type.latencyObjectiveSeconds() + op.type.latencyObjectiveStretch() * run(op));
    op.aimBy =
        Math.min(
            op.due, op.arrived + aim - age(op) - ANSWER_TICKS * settings.timing().tickSeconds());
    ops.put(request.id(), op);
    held.add(op);
    heldMemory += request.memoryKb();
    countTenant(now, request);
    furtherShare += LEARN * ((request.retry() ? 1 : 0) - furtherShare);
    refusedShare -= LEARN * refusedShare;
    judgeConnections(now, request);
    meetRepeat(now, op);
    if (tooLate(op) && op.state == State.HELD) {
      refuse(now, op);
    }
  }

  @Override
  public void completed(double now, long id, Admission.Outcome outcome, double elapsed) {
    Op op = ops.get(id);
    if (op == null) {
      return;
    }
    if (outcome == Admission.Outcome.SUCCESS && op.state == State.RUNNING) {
      learn(op, elapsed);
    }
    if (op.state == State.RUNNING
        && !op.stopping
        && (outcome == Admission.Outcome.SUCCESS || outcome == Admission.Outcome.FAILURE)) {
      lastEnd = now;
      failures += RUN_LEARN * ((outcome == Admission.Outcome.FAILURE ? 1 : 0) - failures);
    }
    leaveCall(now, op, true);
    over(op);
  }

  @Override
  public void blockedOnCall(double now, long id) {
    Op op = ops.get(id);
    if (op != null && op.state == State.RUNNING) {
      onCores--;
      op.state = State.AT_CALL;
      op.callSince = now;
      op.callAgain = now;
      op.callTries = 0;
      op.calls++;
      atCall.add(op);
    }
  }

  @Override
  public void callCompleted(double now, long id, Admission.Outcome outcome, double elapsed) {
    Op op = ops.get(id);
    if (op != null && op.state == State.CALLING) {
      callOver(now, op, outcome, elapsed);
    }
  }

  @Override
  public void callerGone(double now, long id) {
    Op op = ops.get(id);
    if (op == null) {
      return;
    }
    op.answered = true;
    if (!started(op)) {
      over(op);
    }
  }

  @Override
  public void draining(double now, double timeLeft) {
    leftAt = now;
    stopAt = now + timeLeft;
    act.reportHealth(false, true);
    act.log("leaving in " + timeLeft + " s with " + held.size() + " held, " + onCores + " running");
    for (Op op : ops.values()) {
      op.due = Math.min(op.due, stopAt - ANSWER_TICKS * settings.timing().tickSeconds());
      op.aimBy = Math.min(op.aimBy, op.due);
    }
  }

  @Override
  public void quotaChanged(double now, double part) {
    countCalls(now);
    mine = part;
    callBudget = Math.min(callBudget, callBurst());
  }

  @Override
  public void timerFired(double now, long label, double[] gauges) {
    if (now >= timerAt) {
      stall = Math.max(now - timerAt - TIMER_LATE, stall * Math.exp((stallAt - now) / STALL_SPAN));
      stallAt = now;
      timerAt = Double.POSITIVE_INFINITY;
    }
    look(now, gauges);
  }

  @Override
  public void batchCompleted(double now) {
    forgetKeys(now);
    answerDue(now);
    fitMemory(now);
    List<Op> order = order(now);
    turnAway(now, order);
    judgeHealth(now);
    startNext(now, order);
    makeCalls(now);
    setTimer(now);
  }

  // ---- Estimate: decayed means of successful runs, scaled by the cost hint ----

  /** Own time of a run: without calls. */
  private double own(Op op) {
    double cost = op.request.costHintSeconds();
    if (cost <= 0) {
      return op.stats.own;
    }
    return op.stats.cost > 0 ? cost * op.stats.own / op.stats.cost : cost;
  }

  /** Whole time of a run, calls included. */
  private double run(Op op) {
    return own(op) + op.stats.calls * callMean;
  }

  /**
   * Own time still expected; a run past its estimate is likely to stay long (a hang, a slow
   * machine).
   */
  private double rest(double now, Op op) {
    double done = now - op.started - off(now, op);
    return Math.max(own(op) - done, OVERRUN_SHARE * done);
  }

  private static double off(double now, Op op) {
    return op.offCores + (op.state == State.RUNNING ? 0 : now - op.callSince);
  }

  /** Only successful runs teach: quick failures must not make work look short. */
  private void learn(Op op, double elapsed) {
    ClassStats s = op.stats;
    double own = Math.max(0, elapsed - op.offCores);
    s.runs++;
    double weight = Math.max(LEARN, 1.0 / (s.runs + 1));
    if (op.request.costHintSeconds() > 0) {
      s.cost =
          s.cost == 0
              ? op.request.costHintSeconds()
              : s.cost + weight * (op.request.costHintSeconds() - s.cost);
      weight = s.runs == 1 ? 1 : weight;
    }
    s.own += weight * (own - s.own);
    meanOwn += LEARN * (own - meanOwn);
    s.calls += weight * (op.calls - s.calls);
    double level = s.cost > 0 ? s.own / s.cost : s.own;
    if (s.runs >= BASE_AFTER) {
      s.base = s.base == 0 ? level : Math.min(level, s.base + BASE_AGING * (level - s.base));
      double sure = op.calls == 0 ? own : Math.max(0, own - stall); // calls are timed by the host
      double unit = op.request.costHintSeconds() > 0 ? sure / op.request.costHintSeconds() : sure;
      latency += LEARN * (level / s.base - latency);
      drag += RUN_LEARN * (Math.min(RUN_MOST, unit / s.base) - drag);
      crowded +=
          RUN_LEARN * (Math.max(1, (double) onCores / settings.capacity().cores()) - crowded);
    }
  }

  // ---- Order: group-earliest deadline first, shortest first within the group ----

  private double timeLeft(double now, Op op) {
    return op.arrived + DEADLINE_MULTIPLE * run(op) - now;
  }

  /** The held requests in the order they would start. */
  private List<Op> order(double now) {
    List<Op> waiting = new ArrayList<>(held);
    waiting.sort((a, b) -> Double.compare(timeLeft(now, a), timeLeft(now, b)));
    List<Op> order = new ArrayList<>(waiting.size());
    while (!waiting.isEmpty()) {
      double first = timeLeft(now, waiting.get(0));
      // With no time left the range would turn inside out: all that is overdue is then one group.
      double last = first > 0 ? first * (1 + GROUP_RANGE) : 0;
      int best = 0;
      for (int i = 1; i < waiting.size() && timeLeft(now, waiting.get(i)) <= last; i++) {
        if (run(waiting.get(i)) < run(waiting.get(best))) {
          best = i;
        }
      }
      order.add(waiting.remove(best));
    }
    return order;
  }

  private void startNext(double now, List<Op> order) {
    for (Op op : order) {
      if (onCores >= (failures > ILL_FAILURES ? 1 : (int) limit)) {
        return;
      }
      if (op.state != State.HELD) {
        continue;
      }
      double more = op.request.memoryKb() * (settings.capacity().executionMemoryFactor() - 1);
      if (heldMemory + runMemory + keyMemory() + more
          > RUN_MEMORY * mine * settings.capacity().memoryKb()) {
        continue;
      }
      // Those that stand at calls are outside the limit, so they have a bound of their own: what
      // waits
      // there is begun and lost if its call comes too late, and it bars what is worth more.
      // What may leave its call out is begun all the same, and leaves it out.
      if (op.type.callsDependency() && op.type.weightWithoutCall() <= 0 && jammed(op)) {
        continue;
      }
      act.dispatch(op.request.id());
      held.remove(op);
      heldMemory -= op.request.memoryKb();
      runMemory += op.request.memoryKb() * settings.capacity().executionMemoryFactor();
      op.state = State.RUNNING;
      op.started = now;
      op.ran = true;
      onCores++;
    }
  }

  // ---- Refusal: what cannot finish in time is refused unstarted, the least worth for its work
  // first ----

  /**
   * How long its client has waited before this try, as far as can be told. Guards against running
   * what comes again after its aim, most of what comes in a storm: a try waited for longer than
   * first tries are is its client's last, waited for to the deadline; one waited for less was
   * passed on, or is a second copy, and has used up the difference. Where first tries differ, the
   * longest and the shortest count.
   */
  private double age(Op op) {
    double waits = op.request.remainingDeadlineSeconds() + op.request.queueingDelaySeconds();
    ClassStats s = op.stats;
    if (!settings.retries().marked() || op.request.remainingDeadlineSeconds() <= 0) {
      return 0;
    }
    if (!op.request.retry()) {
      s.longest = Math.max(waits, s.longest + BASE_AGING * (waits - s.longest));
      double risen = s.shortest + BASE_AGING * (waits - s.shortest);
      s.shortest = s.shortest == 0 ? waits : Math.min(waits, risen);
      return 0;
    }
    boolean last =
        s.longest > 0 && waits > s.longest + ANSWER_TICKS * settings.timing().tickSeconds();
    return Math.max(0, (last ? op.type.deadlineSeconds() : s.shortest) - waits);
  }

  /**
   * Until when an answer still pays: the aim, or the due time where late pays and the aim is lost.
   */
  private double usefulBy(double now, Op op) {
    return op.type.weightAfterObjective() > 0 && now + run(op) > op.aimBy ? op.due : op.aimBy;
  }

  /**
   * Expected worth for what it takes of what is short, calls or cores; riders come with the same
   * run.
   */
  private double value(double now, Op op, boolean callsBind) {
    double worth = op.type.weight() * (1 + op.riders) * shareWorth(op.request);
    if (now + run(op) > op.aimBy) {
      worth *= op.type.weightAfterObjective();
    }
    if (callsBind) {
      return worth * (settings.weighting().perWork() ? own(op) : 1) / op.stats.calls;
    }
    return settings.weighting().perWork() ? worth : worth / run(op);
  }

  /**
   * Walks the hold in starting order; while one would end late, the least value up to it is
   * refused.
   */
  private void turnAway(double now, List<Op> order) {
    double ahead = 0;
    double callsAhead = 0;
    double done = 0;
    double expected = 0;
    for (Op op : ops.values()) {
      if (started(op) && !op.stopping) {
        ahead += op.state == State.RUNNING ? rest(now, op) : 0;
        done +=
            Math.min(STRAIN_MOST * own(op), Math.max(0, now - op.started - off(now, op) - stall));
        expected += own(op);
        callsAhead += op.state == State.RUNNING ? Math.max(0, op.stats.calls - op.calls) : 1;
      }
    }
    double prior = STRAIN_PRIOR * meanOwn;
    strain = (done + prior) / (expected + prior);
    double all = ahead;
    for (Op op : order) {
      all += own(op);
    }
    backlog = all / limit;
    if (bounded()) {
      countCalls(now);
    }
    for (int i = 0; i < order.size(); i++) {
      Op op = order.get(i);
      double wait = ahead / limit;
      boolean needsCalls = bounded() && op.stats.calls > 0 && op.type.weightWithoutCall() <= 0;
      double callWait = needsCalls ? callWait(callsAhead) : 0;
      boolean callsBind = callWait > wait;
      wait = Math.max(callWait, wait);
      // Guards against refusing large requests on idle cores: their estimate is scaled by a mean of
      // busier times. Without a hint the mean is all there is: a slow machine would try in vain.
      boolean idle = onCores + i < settings.capacity().cores() && op.request.costHintSeconds() > 0;
      double need = run(op) * (idle ? ON_IDLE : 1);
      if (now + need > usefulBy(now, op) || (failures > ILL_FAILURES && onCores + i > 0)) {
        order.remove(i--);
        refuse(now, op);
      } else if (now + wait + need > usefulBy(now, op)) {
        int worst = i;
        for (int j = 0; j < i; j++) {
          // Where calls are what is short, turning away what makes none would free nothing.
          if ((!callsBind || order.get(j).stats.calls > 0)
              && value(now, order.get(j), callsBind) < value(now, order.get(worst), callsBind)) {
            worst = j;
          }
        }
        Op victim = order.remove(worst);
        if (worst < i) {
          ahead += own(op) - own(victim);
          callsAhead += op.stats.calls - victim.stats.calls;
        }
        i--;
        refuse(now, victim);
      } else {
        ahead += own(op);
        callsAhead += op.stats.calls;
      }
    }
  }

  /** Turns a held request away; it never ran, so its key goes too and a further try may run. */
  private void refuse(double now, Op op) {
    if (mayNotRefuse(op)) {
      act.fail(op.request.id());
    } else {
      decline(now, op);
    }
    over(op);
  }

  /** Refuses with advice when to come back. */
  private void decline(double now, Op op) {
    boolean marked = settings.retries().marked();
    boolean storm = marked ? furtherShare > RETRY_STORM : refusedShare > REFUSED_STORM;
    double away =
        failures > ILL_FAILURES
            ? settings.retries().maxRetryAfterSeconds()
            : Math.min(1, ADVICE * drag) * backlog + unread;
    // Guards against advice that costs the aim: clients' tries are counted, and a late one is lost.
    // What
    // lost its aim nobody can serve. Where tries carry no mark, who comes back and how late is not
    // known:
    // callers then spread the load.
    double room = op.aimBy - now - run(op);
    if (marked && failures <= ILL_FAILURES) {
      double lost = started(op) ? settings.retries().maxRetryAfterSeconds() : away;
      away = room > 0 ? Math.min(away, ADVICE_ROOM * room) : lost;
    }
    refusedShare += started(op) ? 0 : LEARN;
    act.reject(
        op.request.id(),
        storm || (marked && room <= 0),
        Math.min(settings.retries().maxRetryAfterSeconds(), away));
  }

  private static boolean mayNotRefuse(Op op) {
    return op.type.idempotency() != Admission.Idempotency.IDEMPOTENT
        && (op.ran || op.rides != null);
  }

  /**
   * Whatever hangs, each request has its answer when it is due, and work without a purpose is
   * stopped.
   */
  private void answerDue(double now) {
    for (Op op : List.copyOf(ops.values())) {
      if (!op.answered && now >= op.due) {
        if (!started(op)) {
          refuseOrFail(now, op);
          continue;
        }
        fail(op);
      }
      if (started(op) && settings.capacity().preemption() != Admission.Preemption.NONE) {
        if (!op.answered && now >= op.aimBy && op.type.weightAfterObjective() == 0) {
          giveUp(now, op);
        }
        if (op.answered && op.state == State.RUNNING && !op.stopping && now >= purposeUntil(op)) {
          op.stopping = true;
          act.preempt(op.request.id());
        }
      }
    }
  }

  /**
   * Guards against stopping a keyed run whose caller waits briefly and tries again: its next try
   * may not run here, but takes this run's answer. Harm: a core is busy to the aim for a caller
   * that is gone.
   */
  private double purposeUntil(Op op) {
    return op.type.idempotency() != Admission.Idempotency.IDEMPOTENCY_KEY
        ? Double.NEGATIVE_INFINITY
        : op.arrived
            + (op.type.weightAfterObjective() > 0
                ? op.type.deadlineSeconds()
                : op.type.latencyObjectiveSeconds());
  }

  private void refuseOrFail(double now, Op op) {
    if (op.state == State.ATTACHED) {
      act.fail(op.request.id());
      over(op);
    } else {
      refuse(now, op);
    }
  }

  /** A run whose aim is lost is refused with advice where it may run again. */
  private void giveUp(double now, Op op) {
    if (op.type.idempotency() == Admission.Idempotency.IDEMPOTENT) {
      decline(now, op);
      op.answered = true;
    } else {
      fail(op);
    }
  }

  /** Answers a started request; its work goes on until the host tells its end. */
  private void fail(Op op) {
    act.fail(op.request.id());
    op.answered = true;
  }

  // ---- Tenants: what exceeds a share is worth little; an instance sees its part of the traffic
  // ----

  private void countTenant(double now, Admission.Request request) {
    int t = request.tenantIndex();
    if (t < tenantRate.length && !request.retry()) {
      tenantRate[t] =
          tenantRate[t] * Math.exp((tenantSeen[t] - now) / TENANT_SPAN) + 1 / TENANT_SPAN;
      tenantSeen[t] = now;
    }
  }

  private double shareWorth(Admission.Request request) {
    int t = request.tenantIndex();
    if (t >= settings.tenants().size() || settings.fleet().hosts() <= 0) {
      return 1;
    }
    double allowed = settings.tenants().get(t).quotaPerSecond() / settings.fleet().hosts();
    double within = Math.min(1, allowed / Math.max(tenantRate[t], 1e-9));
    return within + (1 - within) * settings.weighting().overQuota();
  }

  // ---- Running limit: led by latency, never below the cores ----

  private void look(double now, double[] gauges) {
    if (busyGauge < 0 || busyGauge >= gauges.length) {
      return;
    }
    boolean idle =
        gauges[busyGauge] < BUSY
            && (runnableGauge < 0 || gauges[runnableGauge] < settings.capacity().cores());
    if (now < lookAt) {
      return;
    }
    lookAt = now + LOOK;
    if (idle && !held.isEmpty() && onCores >= (int) limit) {
      limit += CLIMB * settings.capacity().cores();
    } else if (!idle && latency > LATENCY_TOLERANCE) {
      limit -= SHRINK * (limit - settings.capacity().cores());
    }
    limit = Math.max(settings.capacity().cores(), Math.min(limit, crowd(now)));
  }

  /**
   * The crowd the machine survives at its present, possibly cold, share of speed, less a margin.
   */
  private double crowd(double now) {
    double share = 1;
    if (settings.warmUp().coldStart() && settings.warmUp().seconds() > 0) {
      share =
          settings.warmUp().coldSpeedFraction()
              + (1 - settings.warmUp().coldSpeedFraction())
                  * (now - bornAt)
                  / settings.warmUp().seconds();
    }
    return CROWD_MARGIN
        * settings.capacity().cores()
        * (1 + (settings.capacity().survivableConcurrencyPerCore() - 1) * Math.min(1, share));
  }

  // ---- Calls: in hand and lingering under this instance's share of what the dependency bears ----

  private double callBurst() {
    return CALL_BURST * mine * settings.calls().quota() * settings.calls().quotaWindowSeconds();
  }

  /**
   * Call-seconds: filled at the calls allowed, spent by those in hand; so a span's mean stays
   * bounded.
   */
  private void countCalls(double now) {
    double gained = (callsAllowed() - callsInHand) * (now - callBudgetAt);
    callBudget = Math.min(callBurst(), callBudget + gained);
    callBudgetAt = now;
  }

  private boolean bounded() {
    return settings.calls().dependency() == Admission.Dependency.SHARED
        && settings.calls().quota() > 0;
  }

  /**
   * A call is given up when its answer no longer pays, or when it is so late that it will hardly
   * end: sooner, it fails or repeats for nothing.
   */
  private double callUntil(double now, Op op) {
    double patience =
        op.type.idempotency() == Admission.Idempotency.IDEMPOTENT
            ? CALL_PATIENCE
            : CALL_PATIENCE_ONCE;
    double until = op.answered ? now : usefulBy(now, op);
    until =
        Math.min(
            until,
            now
                + stall
                + Math.max(CALL_LEAST * op.type.latencyObjectiveSeconds(), patience * callMean));
    if (op.type.weightWithoutCall() > 0) {
      until = Math.min(until, Math.max(now + settings.timing().tickSeconds(), skipAt(op)));
    }
    return bounded() ? Math.min(until, now + callBurst()) : until;
  }

  /**
   * From when a run that still stands at a call could not end within its aim with it, only without.
   */
  private double skipAt(Op op) {
    return op.aimBy - own(op);
  }

  /**
   * Goes on without the call where part of the worth is kept: the whole of it is lost otherwise.
   */
  private boolean skipped(double now, double again, Op op) {
    if (op.answered
        || op.type.weightWithoutCall() <= 0
        || (again < skipAt(op) && !jammed(op))
        || now > op.aimBy) {
      return false;
    }
    atCall.remove(op);
    op.offCores += now - op.callSince;
    op.state = State.RUNNING;
    onCores++;
    act.skipCall(op.request.id());
    return true;
  }

  /**
   * Led by latency as the running limit is: more calls than slots only slow a dependency that is
   * slow.
   */
  private double callsAllowed() {
    double part = CALLS_QUICK * Math.min(1, CALL_TOLERANCE * callBase / callMean);
    return Math.max(CALLS_SLOW, part) * mine * settings.calls().quota();
  }

  /**
   * Seconds until so many calls are over: by those in hand and, for a share below one, by the
   * budget.
   */
  private double callWait(double calls) {
    double atOnce = Math.max(1, callsAllowed());
    return Math.max(
        Math.max(0, calls + 1 - atOnce) * callMean / atOnce,
        (calls * callMean - callBudget) / callsAllowed());
  }

  /** So many stand at calls, or for so long, that no further run which needs its call is begun. */
  private boolean jammed(Op op) {
    return atCall.size() >= settings.capacity().cores()
        || (bounded() && callWait(atCall.size() + callsInHand) > own(op));
  }

  private void makeCalls(double now) {
    if (atCall.isEmpty()) {
      return;
    }
    countCalls(now);
    for (Op op : List.copyOf(atCall)) {
      if (op.answered || skipped(now, now, op) || now < op.callAgain) {
        continue;
      }
      if (bounded()
          && callsInHand > 0
          && (callsInHand >= callsAllowed() || callBudget < (callsInHand + 1) * callMean)) {
        return;
      }
      if (bounded() && callBudget < Math.min(callMean, callBurst())) {
        return;
      }
      atCall.remove(op);
      op.state = State.CALLING;
      callsInHand++;
      act.callDependency(op.request.id(), callUntil(now, op));
    }
  }

  private void callOver(double now, Op op, Admission.Outcome outcome, double elapsed) {
    // One that broke is over below: only what was given up lingers there.
    leaveCall(now, op, outcome == Admission.Outcome.TIMED_OUT);
    if (outcome == Admission.Outcome.SUCCESS || outcome == Admission.Outcome.TIMED_OUT) {
      // Guards against calls that never end passing for a slow dependency, which is given fewer.
      double most = outcome == Admission.Outcome.SUCCESS ? elapsed : GIVEN_UP_MOST * callMean;
      callMean += CALL_LEARN * (Math.min(elapsed, most) - callMean);
      callBase = Math.min(callMean, callBase + BASE_AGING * (callMean - callBase));
    }
    if (outcome == Admission.Outcome.SUCCESS) {
      op.offCores += now - op.callSince;
      op.state = State.RUNNING;
      onCores++;
      return;
    }
    op.state = State.AT_CALL;
    op.callTries++;
    atCall.add(op);
    double pause =
        CALL_BACKOFF * op.type.latencyObjectiveSeconds() * (1 << Math.min(op.callTries, 6));
    op.callAgain = now + pause * (0.5 + random.nextDouble());
    // An effectful call may have been carried out: it is repeated only when it provably was not.
    if (skipped(now, op.callAgain, op)) {
      return;
    }
    boolean mayRepeat =
        op.type.idempotency() == Admission.Idempotency.IDEMPOTENT || outcome.neverExecuted();
    if (!op.answered && (!mayRepeat || op.callAgain > op.aimBy)) {
      fail(op);
    }
  }

  /**
   * A call no longer waited for stays in the dependency's hands for a while: it is paid for at
   * once.
   */
  private void leaveCall(double now, Op op, boolean lingers) {
    if (op.state == State.CALLING) {
      countCalls(now);
      callsInHand--;
      callBudget -= lingers ? settings.calls().abandonedSeconds() : 0;
    }
  }

  // ---- Repeats: a keyed request is kept before it can run, and what repeats it never runs again
  // ----

  private void meetRepeat(double now, Op op) {
    boolean keyed = op.type.idempotency() == Admission.Idempotency.IDEMPOTENCY_KEY;
    boolean shared =
        op.type.idempotency() == Admission.Idempotency.IDEMPOTENT
            && settings.timing().resultSharingSeconds() > 0
            && op.request.resourceKey() != null;
    if (!keyed && !shared) {
      return;
    }
    if (op.request.duplicateOf() != 0) {
      Op prior = keys.get(op.request.duplicateOf());
      while (prior != null && prior.successor != null) {
        prior = prior.successor;
      }
      // Unknown here or run: never again. Known to be over unrun: this try takes its place.
      if (prior == null || prior.state != State.OVER || prior.ran) {
        attach(op, prior);
        return;
      }
      prior.successor = op;
    }
    // A read's entry lasts while it may be open and its answer fresh; a key's for its window.
    double until =
        keyed
            ? op.arrived + op.type.idempotencyWindowSeconds() + KEY_SPARE
            : op.aimBy + settings.timing().resultSharingSeconds();
    double room =
        RUN_MEMORY * mine * settings.capacity().memoryKb()
            - runMemory
            - keyMemory()
            - settings.capacity().keyMemoryKb();
    if (until <= now || room < 0) {
      if (keyed && until > now) {
        refuse(now, op);
      }
      return;
    }
    op.kept = true;
    op.keyUntil = until;
    entries++;
    keys.put(op.request.id(), op);
    keyEnds.add(op);
    act.retainKey(op.request.id(), until - now);
  }

  private void attach(Op op, Op prior) {
    act.attach(op.request.id());
    held.remove(op);
    op.state = State.ATTACHED;
    op.rides = prior;
    if (prior != null) {
      prior.riders++;
    }
  }

  private void forgetKeys(double now) {
    for (Op first = keyEnds.peek(); first != null && first.keyUntil < now; first = keyEnds.peek()) {
      keyEnds.poll();
      keys.remove(first.request.id());
      if (first.kept) {
        first.kept = false;
        entries--;
      }
    }
  }

  /**
   * The request is over: its memory goes, and where it never ran its entry, so that a further try
   * may.
   */
  private void over(Op op) {
    ops.remove(op.request.id());
    switch (op.state) {
      case HELD -> {
        held.remove(op);
        heldMemory -= op.request.memoryKb();
      }
      case ATTACHED -> {
        heldMemory -= op.request.memoryKb();
        if (op.rides != null) {
          op.rides.riders--;
        }
      }
      case RUNNING, AT_CALL, CALLING -> {
        runMemory -= op.request.memoryKb() * settings.capacity().executionMemoryFactor();
        onCores -= op.state == State.RUNNING ? 1 : 0;
        atCall.remove(op);
      }
      case OVER -> {}
    }
    if (op.kept && !op.ran) {
      op.kept = false;
      entries--;
      act.releaseKey(op.request.id());
    } else if (op.kept) {
      keys.remove(op.request.id()); // a repeat that finds nobody is attached all the same
    }
    op.state = State.OVER;
  }

  // ---- Memory: held, running and kept together stay under the limit after every batch ----

  private double keyMemory() {
    return entries * settings.capacity().keyMemoryKb();
  }

  private void fitMemory(double now) {
    while (!held.isEmpty()
        && heldMemory + runMemory + keyMemory() > ALL_MEMORY * settings.capacity().memoryKb()) {
      Op least = held.get(0);
      for (Op op : held) {
        if (value(now, op, false) < value(now, least, false)) {
          least = op;
        }
      }
      refuse(now, least);
    }
  }

  // ---- Drain: nothing runs that came after the grace; all is answered before the stop ----

  private boolean tooLate(Op op) {
    return op.arrived > leftAt + settings.timing().drainGraceSeconds() - DRAIN_MARGIN_SECONDS;
  }

  // ---- Health: bad while this machine fails or drags what it runs, with trials in between ----

  /**
   * Guards against a machine that fails quickly (and so looks free), runs slowly or hangs: what it
   * takes is lost, while others could serve it. Own runs alone count, never calls, for a bad
   * dependency strikes all at once. A machine that reads late and refuses all has no runs to go by;
   * that counts only without further tries about, as in a storm all machines are so. Were all
   * machines ill together, trials of at least the same length, out of step, keep half of them in
   * the list. A host that was held up itself sees short runs as overdue, and so does one whose
   * commands wait: late timers tell how much of that is its own, and runs in hand make it ill only
   * where those that end are slow too, or none ends.
   */
  private void judgeHealth(double now) {
    if (leftAt <= now) {
      return;
    }
    boolean ill = now < illUntil;
    if (!ill && illUntil > Double.NEGATIVE_INFINITY && !healthy) {
      healthy = true;
      act.reportHealth(true, true);
    }
    if (healthy
        && now >= illUntil + ILL_SPAN
        && (failures > ILL_FAILURES
            || (strain > ILL_STRAIN
                && (drag > SOME_DRAG * crowded
                    || now - lastEnd > Math.max(NO_END, NO_END_RUNS * meanOwn)))
            || drag > ILL_DRAG * crowded
            || (unread > ILL_UNREAD
                && refusedShare > ILL_REFUSED
                && settings.retries().marked()
                && furtherShare < RETRY_STORM / 2))) {
      illUntil = now + ILL_SPAN * (0.75 + random.nextDouble() / 2);
      healthy = false;
      act.reportHealth(false, true);
      act.log(
          String.format(
              Locale.ROOT,
              "ill: failing %.2f, strain %.1f, drag %.1f, unread %.1f s",
              failures,
              strain,
              drag,
              unread));
    }
  }

  // ---- Connections: idle ones stay while their callers come back, or while the entrance is jammed
  // ----

  /**
   * Guards against a table filled by many callers that seldom come back: it eats capacity and, when
   * full, lets nobody in. And against so many new connections that opening them eats the cores:
   * then they stay longer step by step, until the table keeps others out without work, and go as
   * the jam goes. How many it holds is told nowhere, so return and the time unread decide. Harm: a
   * burst may fill it for seconds.
   */
  private void judgeConnections(double now, Admission.Request request) {
    Double last = lastFrom.remove(request.caller());
    lastFrom.put(request.caller(), now);
    while (lastFrom.values().iterator().next() < now - BACK_WITHIN) {
      lastFrom.remove(lastFrom.keySet().iterator().next());
    }
    backShare += LEARN * ((last != null && last >= now - BACK_WITHIN ? 1 : 0) - backShare);
    unread += RUN_LEARN * (request.queueingDelaySeconds() - unread);
    if (now < idleAt) {
      return;
    }
    idleAt = now + IDLE_STEP;
    boolean stay = backShare > (idle == 0 ? BACK_SHARE : BACK_SHARE + 0.2);
    double next =
        stay
            ? 0
            : idle == 0
                ? IDLE_SHORT
                : unread > JAM ? Math.min(IDLE_LONG, idle * 2) : Math.max(IDLE_SHORT, idle / 2);
    if (next != idle) {
      idle = next;
      act.setIdleTimeout(idle);
    }
  }

  // ---- Timer: one, at the next obligation ----

  private void setTimer(double now) {
    double next = Double.POSITIVE_INFINITY;
    boolean stops = settings.capacity().preemption() != Admission.Preemption.NONE;
    for (Op op : ops.values()) {
      if (op.answered && stops && op.state == State.RUNNING && !op.stopping) {
        next = Math.min(next, purposeUntil(op));
      } else if (!op.answered) {
        next =
            Math.min(
                next,
                stops && started(op) && op.type.weightAfterObjective() == 0 ? op.aimBy : op.due);
      }
    }
    if (!held.isEmpty()) {
      next = Math.min(next, Math.max(lookAt, now + settings.timing().tickSeconds()));
    }
    if (!atCall.isEmpty()) {
      next = Math.min(next, now + CALL_BACKOFF * atCall.peek().type.latencyObjectiveSeconds());
    }
    if (!healthy && leftAt > now) {
      next = Math.min(next, illUntil);
    }
    next = Math.max(next, now + settings.timing().tickSeconds());
    if (next < timerAt - settings.timing().tickSeconds() / 2) {
      timerAt = next;
      act.setTimer(0, next - now);
    }
  }
}
