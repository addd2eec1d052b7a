package wharftrestle.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One rolling change: which box is told what next, and what becomes of the change. It owns the
 * stage, the tries and the releases to go back to. What boxes are is read from what they show, not
 * from what they were told: a box that came back cold with the old release is behind again, one
 * that says it is changed and is not never counts. Time is passed in, in seconds on a clock that
 * never goes back. It must never have more boxes away than planned, tell a box two releases in one
 * epoch, take a box of a rule of {@link RolloutPlan#blockingReason}, or go on without a verdict.
 *
 * <pre>
 * state      means                                              goes to
 * CHANGING   boxes of this stage are told to go                 HOLDING (all of them have gone), RETURNING or HELD (worse),
 *                                                               HELD (boxes failed, or cut off), PAUSED
 * HOLDING    the stage is watched                               CHANGING (next stage), DONE, RETURNING or HELD (worse),
 *                                                               HELD (nobody can tell in time), PAUSED
 * HELD       waits for an operator, who is told why             CHANGING or DONE (go), RETURNING (back), ABORTED
 * PAUSED     an operator wants nothing begun                    CHANGING or HOLDING (go), RETURNING (back), ABORTED
 * RETURNING  changed boxes are taken back, newest first         UNDONE (all are back), ABORTED
 * DONE       all boxes that a roll may change have the release
 * UNDONE     all boxes have what they had before
 * ABORTED    left as it is
 * </pre>
 */
public final class Rollout {

  /** How far it is; the table says what each means. */
  public enum State {
    PROGRESSING("CHANGING"),
    OBSERVING("HOLDING"),
    HELD("HELD"),
    PAUSED("PAUSED"),
    ROLLING_BACK("RETURNING"),
    COMPLETED("DONE"),
    ROLLED_BACK("UNDONE"),
    ABORTED("ABORTED");

    private final String storedName;

    State(String storedName) {
      this.storedName = storedName;
    }

    /** Its name in the controller's journal. */
    @JsonValue
    public String storedName() {
      return storedName;
    }

    /** Its name in the controller's status and events. */
    public String publishedName() {
      return storedName.toLowerCase(Locale.ROOT);
    }

    /** True where nothing more will come of it. */
    public boolean isFinal() {
      return this == COMPLETED || this == ROLLED_BACK || this == ABORTED;
    }
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(
        State.PROGRESSING,
        EnumSet.of(State.OBSERVING, State.ROLLING_BACK, State.HELD, State.PAUSED, State.ABORTED));
    TRANSITIONS.put(
        State.OBSERVING,
        EnumSet.of(
            State.PROGRESSING,
            State.COMPLETED,
            State.ROLLING_BACK,
            State.HELD,
            State.PAUSED,
            State.ABORTED));
    TRANSITIONS.put(
        State.HELD,
        EnumSet.of(State.PROGRESSING, State.COMPLETED, State.ROLLING_BACK, State.ABORTED));
    TRANSITIONS.put(
        State.PAUSED,
        EnumSet.of(State.PROGRESSING, State.OBSERVING, State.ROLLING_BACK, State.ABORTED));
    TRANSITIONS.put(State.ROLLING_BACK, EnumSet.of(State.ROLLED_BACK, State.ABORTED));
    TRANSITIONS.put(State.COMPLETED, EnumSet.noneOf(State.class));
    TRANSITIONS.put(State.ROLLED_BACK, EnumSet.noneOf(State.class));
    TRANSITIONS.put(State.ABORTED, EnumSet.noneOf(State.class));
  }

  /**
   * What a box shows now.
   *
   * @param contact answers this driver
   * @param acts the release that its daemon is, by its own digest; empty where that is none known
   * @param settled one daemon serves, no change is going on
   * @param target the release it was last told in the epoch that steers; empty for none
   * @param attempt how often it was told
   * @param failed why its last change was undone by itself; empty for nothing
   */
  public record ReportedState(
      boolean reachable,
      String runningRelease,
      boolean settled,
      String orderedRelease,
      int attempt,
      String failure) {}

  /** What is to be done; each is written to the journal before it is done. */
  public sealed interface Action {
    /** Tell a box to go to a release. */
    record Order(String host, String release, String reason) implements Action {}

    /**
     * Claim a new epoch: a box that was told one release may be told another only in another epoch.
     */
    record ClaimEpoch(String reason) implements Action {}

    /** A stage begins: the judge begins anew. */
    record BeginStage(int stage) implements Action {}

    /**
     * A box's keeper undid its change by itself: it died, was not ready, or did worse than before
     * there.
     */
    record HostRolledBack(String host, String reason) implements Action {}

    /** Its state changed; for the journal and people. */
    record EnterState(State state, int stage, String reason) implements Action {}
  }

  /** What a journal keeps of it. */
  public record Snapshot(
      State state,
      @JsonProperty("resumed") State resumeState,
      int stage,
      @JsonProperty("from") Map<String, String> previousReleases,
      @JsonProperty("tries") Map<String, Integer> attempts,
      @JsonProperty("why") String reason) {}

  private final RolloutPlan plan;
  private State state = State.PROGRESSING;
  private State resumeState = State.PROGRESSING; // where a pause goes on
  private int stage;
  private double enteredAt;
  private String reason = "";
  private boolean started;
  private final Map<String, String> previousReleases =
      new LinkedHashMap<>(); // by box, in the order in which they were told
  private final Map<String, Integer> attempts = new LinkedHashMap<>();
  private final Map<String, Integer> ordersInEpoch = new HashMap<>(); // orders in this epoch
  private final Map<String, Integer> reportedFailures =
      new HashMap<>(); // attempts of it whose failure was seen
  private final Map<String, Double> orderedAt = new LinkedHashMap<>();
  private final Map<String, String> orderedReleases =
      new HashMap<>(); // release last told by this driver in this epoch
  private final List<Action> actions = new ArrayList<>();

  /** Boxes whose tries are spent, after which no further one is tried. */
  private static final int MAX_FAILED_HOSTS = 2;

  /** Seconds after an order in which a box that shows nothing of it is away all the same. */
  static final double ORDER_UNAVAILABLE_SECONDS = 10;

  /** The same for one that is out of contact since, where the plan goes on without those. */
  static final double UNREACHABLE_UNAVAILABLE_SECONDS = 120;

  public Rollout(RolloutPlan plan, double now) {
    this.plan = plan;
    enteredAt = now;
  }

  /** Goes on with what a journal kept; a stage that was watched is watched anew. */
  public Rollout(RolloutPlan plan, Snapshot snapshot, double now) {
    this(plan, now);
    stage = snapshot.stage();
    previousReleases.putAll(snapshot.previousReleases());
    attempts.putAll(snapshot.attempts());
    reason = snapshot.reason();
    state = snapshot.state();
    resumeState = snapshot.resumeState();
    // Whom the driver before told is away until it shows otherwise: an order may just have gone
    // out.
    previousReleases.forEach(
        (host, previousRelease) -> {
          orderedReleases.put(
              host, state == State.ROLLING_BACK ? previousRelease : plan.targetRelease());
          orderedAt.put(host, now);
        });
  }

  public State state() {
    return state;
  }

  /** The stage, from 0. */
  public int stage() {
    return stage;
  }

  /** Why it is where it is; empty for nothing special. */
  public String reason() {
    return reason;
  }

  /** What a journal keeps. */
  public Snapshot snapshot() {
    return new Snapshot(
        state,
        resumeState,
        stage,
        new LinkedHashMap<>(previousReleases),
        new LinkedHashMap<>(attempts),
        reason);
  }

  /** Seconds in this state. */
  public double secondsInState(double now) {
    return now - enteredAt;
  }

  private void enter(State next, String enterReason, double now) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("no way from " + state + " to " + next);
    }
    state = next;
    enteredAt = now;
    reason = enterReason;
    actions.add(new Action.EnterState(next, stage, enterReason));
  }

  private List<Action> drainActions() {
    List<Action> all = List.copyOf(actions);
    actions.clear();
    return all;
  }

  // ---- Operators ----

  /** Nothing more is begun. Empty where it cannot be paused now. */
  public List<Action> pause(double now) {
    if (state == State.PROGRESSING || state == State.OBSERVING) {
      resumeState = state;
      enter(State.PAUSED, "an operator paused it", now);
    }
    return drainActions();
  }

  /**
   * Goes on from a pause; from HELD with the same stage, or the next one where this one's boxes
   * have gone; while boxes are taken back, those that failed are tried anew.
   */
  public List<Action> resume(Map<String, ReportedState> reported, double now) {
    if (state == State.ROLLING_BACK) {
      attempts.clear(); // boxes that could not be taken back are tried anew
    } else if (state == State.PAUSED) {
      enter(resumeState, "an operator said go", now);
    } else if (state == State.HELD) {
      attempts.clear();
      boolean last = stage + 1 == plan.stages().size();
      boolean changed = remaining(reported).isEmpty();
      enter(changed && last ? State.COMPLETED : State.PROGRESSING, "an operator said go", now);
      if (changed && !last) {
        nextStage();
      } else if (!changed) {
        actions.add(new Action.BeginStage(stage));
      }
    }
    return drainActions();
  }

  /** Takes all changed boxes back. Empty where that cannot be now. */
  public List<Action> rollBack(String rollBackReason, double now) {
    if (!state.isFinal() && state != State.ROLLING_BACK) {
      actions.add(new Action.ClaimEpoch(rollBackReason));
      enter(State.ROLLING_BACK, rollBackReason, now);
      attempts.clear();
      onEpochClaimed();
    }
    return drainActions();
  }

  /** Leaves all as it is. */
  public List<Action> abort(double now) {
    if (!state.isFinal()) {
      enter(State.ABORTED, "an operator ended it", now);
    }
    return drainActions();
  }

  // ---- What is seen ----

  /** A new epoch was granted: what was told in the one before counts for nothing. */
  public void onEpochClaimed() {
    reportedFailures.clear();
    ordersInEpoch.clear(); // what was told before may still be going on, so when it was told stands
  }

  /**
   * A box said that it did not obey the order it was just given: it may be told anew, at no cost.
   */
  public void onOrderRefused(String host) {
    orderedAt.remove(host);
    orderedReleases.remove(host);
    ordersInEpoch.merge(host, -1, Integer::sum);
    attempts.computeIfPresent(host, (name, many) -> many - 1);
  }

  /** True where a box has the release, by what its daemon is. */
  private boolean runs(String release, ReportedState reportedState) {
    return reportedState != null
        && reportedState.reachable()
        && reportedState.settled()
        && release.equals(reportedState.runningRelease());
  }

  /**
   * Boxes that are away: in a change, or told and nothing seen of it yet. One that went out of
   * contact after it was told may be in its change still: it is away until it is heard, or for a
   * while where the plan goes on without those that are cut.
   */
  Set<String> unavailable(Map<String, ReportedState> reported, double now) {
    Set<String> all = new LinkedHashSet<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      ReportedState reportedState = reported.get(host.name());
      double ago = now - orderedAt.getOrDefault(host.name(), Double.NEGATIVE_INFINITY);
      boolean contact = reportedState != null && reportedState.reachable();
      boolean open =
          ago < Double.POSITIVE_INFINITY
              && !(contact && runs(orderedReleases.get(host.name()), reportedState))
              && !(contact
                  && reportedState.attempt() >= ordersInEpoch.getOrDefault(host.name(), 0)
                  && !reportedState.failure().isEmpty());
      boolean cutAway =
          !contact
              && (plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.HOLD
                  || ago < UNREACHABLE_UNAVAILABLE_SECONDS);
      if ((open && (ago < ORDER_UNAVAILABLE_SECONDS || cutAway))
          || (contact && !reportedState.settled())) {
        all.add(host.name());
      }
    }
    return all;
  }

  private int attempts(RolloutPlan.Host host) {
    return attempts.getOrDefault(host.name(), 0);
  }

  private Set<String> unreachable(Map<String, ReportedState> reported) {
    Set<String> all = new LinkedHashSet<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      ReportedState reportedState = reported.get(host.name());
      if (reportedState == null || !reportedState.reachable()) {
        all.add(host.name());
      }
    }
    return all;
  }

  private Set<String> changed(Map<String, ReportedState> reported) {
    Set<String> all = new LinkedHashSet<>();
    for (RolloutPlan.Host host : plan.hosts()) {
      // One that is cut off and was seen with the release counts: it was told, and nobody takes it
      // back unasked.
      ReportedState reportedState = reported.get(host.name());
      if (runs(plan.targetRelease(), reportedState)
          || (reportedState != null
              && !reportedState.reachable()
              && plan.targetRelease().equals(reportedState.runningRelease()))) {
        all.add(host.name());
      }
    }
    return all;
  }

  /** Boxes that this stage still has to change. */
  private List<RolloutPlan.Host> remaining(Map<String, ReportedState> reported) {
    Set<String> changed = changed(reported);
    int target =
        Math.min(plan.stages().get(stage).targetHosts(plan.hosts().size()), plan.changeableHosts());
    List<RolloutPlan.Host> wanted = plan.candidates(stage, changed);
    return wanted.subList(0, Math.max(0, Math.min(wanted.size(), target - changed.size())));
  }

  // ---- What comes next ----

  /**
   * A while has passed.
   *
   * @param boxes what they show
   * @param verdict of the judge on this stage
   * @param maySteer an order may go out now
   */
  public List<Action> tick(
      Map<String, ReportedState> reported,
      CanaryAnalysis.Verdict verdict,
      boolean mayOrder,
      double now) {
    if (!started) {
      started = true;
      actions.add(new Action.BeginStage(stage));
    }
    reported.forEach(
        (host, reportedState) -> {
          boolean ours =
              reportedState.reachable()
                  && reportedState.settled()
                  && plan.targetRelease().equals(reportedState.orderedRelease())
                  && !reportedState.failure().isEmpty();
          if (ours && reportedFailures.getOrDefault(host, 0) < reportedState.attempt()) {
            reportedFailures.put(host, reportedState.attempt());
            actions.add(new Action.HostRolledBack(host, reportedState.failure()));
          }
        });
    if ((state == State.PROGRESSING || state == State.OBSERVING)
        && verdict.outcome() == CanaryAnalysis.Outcome.FAIL) {
      if (plan.regressionPolicy() == RolloutPlan.RegressionPolicy.ROLL_BACK) {
        actions.addAll(rollBack("stage " + (stage + 1) + " does worse: " + verdict.reason(), now));
      } else {
        enter(State.HELD, "stage " + (stage + 1) + " does worse: " + verdict.reason(), now);
      }
    }
    switch (state) {
      case PROGRESSING -> progress(reported, mayOrder, now);
      case OBSERVING -> observe(reported, verdict, now);
      case ROLLING_BACK -> continueRollBack(reported, mayOrder, now);
      default -> {}
    }
    return drainActions();
  }

  private void order(RolloutPlan.Host host, String release, String orderReason, double now) {
    attempts.merge(host.name(), 1, Integer::sum);
    ordersInEpoch.merge(host.name(), 1, Integer::sum);
    orderedReleases.put(host.name(), release);
    orderedAt.put(host.name(), now);
    actions.add(new Action.Order(host.name(), release, orderReason));
  }

  private void progress(Map<String, ReportedState> reported, boolean mayOrder, double now) {
    List<RolloutPlan.Host> remaining = remaining(reported);
    Set<String> unavailable = unavailable(reported, now);
    if (remaining.isEmpty()) {
      if (unavailable.isEmpty()) {
        enter(State.OBSERVING, "", now);
      }
      return;
    }
    Set<String> unreachable = unreachable(reported);
    boolean waiting = false;
    String obstacle = "";
    int failedHosts = 0;
    for (RolloutPlan.Host host : plan.candidates(stage, changed(reported))) {
      if (unavailable.size() >= Math.min(plan.maxUnavailable(), remaining.size())) {
        waiting = true;
        break;
      }
      if (unavailable.contains(host.name())) {
        waiting = true;
      } else if (unreachable.contains(host.name())) {
        obstacle = obstacle.isEmpty() ? host.name() + " cannot be reached" : obstacle;
      } else if (attempts(host) >= plan.maxAttempts()) {
        obstacle =
            host.name()
                + " failed "
                + attempts(host)
                + " times: "
                + reported.get(host.name()).failure();
        if (++failedHosts >= MAX_FAILED_HOSTS) {
          // Guards against trying a release that cannot go anywhere at every box of the fleet.
          break;
        }
      } else if (!mayOrder) {
        waiting = true;
      } else {
        String blocked = blockingReason(host, unavailable, unreachable);
        if (!blocked.isEmpty()) {
          waiting |= !unavailable.isEmpty();
          obstacle =
              obstacle.isEmpty() && unavailable.isEmpty() ? host.name() + ": " + blocked : obstacle;
          continue;
        }
        previousReleases.putIfAbsent(host.name(), reported.get(host.name()).runningRelease());
        order(host, plan.targetRelease(), "stage " + (stage + 1), now);
        unavailable.add(host.name());
        waiting = true;
      }
    }
    Set<String> unreachableOrdered = new LinkedHashSet<>(unavailable);
    unreachableOrdered.retainAll(unreachable);
    if (!unreachableOrdered.isEmpty() && unreachableOrdered.size() == unavailable.size()) {
      waiting = false;
      obstacle =
          obstacle.isEmpty()
              ? String.join(", ", unreachableOrdered) + " was told and cannot be reached since"
              : obstacle;
    }
    if (failedHosts >= MAX_FAILED_HOSTS && unavailable.isEmpty()) {
      enter(State.HELD, failedHosts + " boxes could not go, at last " + obstacle, now);
    } else if (!waiting && !obstacle.isEmpty()) {
      boolean onlyCut = remaining.stream().allMatch(host -> unreachable.contains(host.name()));
      if (onlyCut && plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.CONTINUE) {
        enter(State.OBSERVING, obstacle + "; it goes on without", now);
      } else if (now - enteredAt > plan.verdictTimeoutSeconds()) {
        enter(State.HELD, obstacle, now);
      }
    }
  }

  /**
   * A box of a tenant or small zone is not taken while others of it are away, or cannot be reached.
   */
  private String blockingReason(
      RolloutPlan.Host host, Set<String> unavailable, Set<String> unreachable) {
    String blocked = plan.blockingReason(host, unavailable);
    if (!blocked.isEmpty()) {
      return blocked;
    }
    for (String tenant : host.tenants()) {
      @SuppressWarnings("ReferenceEquality") // box is one of these very objects
      boolean served =
          plan.hosts().stream()
              .anyMatch(
                  each ->
                      each != host
                          && each.tenants().contains(tenant)
                          && !unavailable.contains(each.name())
                          && !unreachable.contains(each.name()));
      if (!served) {
        return "no other box that is in contact owns " + tenant;
      }
    }
    return "";
  }

  private void nextStage() {
    stage++;
    actions.add(new Action.BeginStage(stage));
  }

  private void observe(
      Map<String, ReportedState> reported, CanaryAnalysis.Verdict verdict, double now) {
    double held = now - enteredAt;
    double hold = plan.stages().get(stage).holdSeconds();
    boolean cutOff =
        plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.HOLD
            && unreachable(reported).size() * 2 >= plan.hosts().size();
    if (!remaining(reported).isEmpty()
        && plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.HOLD) {
      enter(State.PROGRESSING, "a box of this stage is behind again", now);
      return;
    }
    boolean last = stage + 1 == plan.stages().size();
    // Once no old box is left there is nothing to hold the new ones against: deaths and broken
    // rules still count.
    boolean alone =
        last && changed(reported).size() + unreachable(reported).size() >= plan.hosts().size();
    if (held >= hold && !cutOff && (verdict.outcome() == CanaryAnalysis.Outcome.PASS || alone)) {
      if (last) {
        enter(State.COMPLETED, "", now);
      } else {
        enter(State.PROGRESSING, verdict.reason(), now);
        nextStage();
      }
    } else if (held >= hold + plan.verdictTimeoutSeconds()) {
      enter(
          State.HELD,
          "nobody can tell whether stage " + (stage + 1) + " does worse: " + verdict.reason(),
          now);
    }
  }

  /**
   * Newest first, with the same care; a box that cannot be reached is waited for, and the roll is
   * not over without it.
   */
  private void continueRollBack(Map<String, ReportedState> reported, boolean mayOrder, double now) {
    Set<String> unavailable = unavailable(reported, now);
    Set<String> unreachable = unreachable(reported);
    List<String> order = new ArrayList<>(previousReleases.keySet());
    boolean all = true;
    String obstacle = "";
    for (int i = order.size() - 1; i >= 0; i--) {
      RolloutPlan.Host host = plan.host(order.get(i));
      String release = previousReleases.get(host.name());
      ReportedState reportedState = reported.get(host.name());
      if (runs(release, reportedState)) {
        continue;
      }
      all = false;
      if (unreachable.contains(host.name())) {
        obstacle = host.name() + " cannot be reached, and is taken back when it is heard";
      } else if (!unavailable.contains(host.name())
          && mayOrder
          && attempts(host) < plan.maxAttempts()
          && blockingReason(host, unavailable, unreachable).isEmpty()) {
        order(host, release, reason, now);
        unavailable.add(host.name());
      } else if (attempts(host) >= plan.maxAttempts() && !unavailable.contains(host.name())) {
        obstacle = host.name() + " could not be taken back in " + attempts(host) + " tries";
      }
    }
    if (all && unavailable.isEmpty()) {
      enter(State.ROLLED_BACK, reason, now);
    } else if (!obstacle.isEmpty() && !reason.contains(obstacle)) {
      reason = reason.split("; still: ")[0] + "; still: " + obstacle;
      actions.add(new Action.EnterState(state, stage, reason));
    }
  }
}
