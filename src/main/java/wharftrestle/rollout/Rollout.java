package wharftrestle.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The state machine of one rollout: decides which host is ordered next and how the rollout ends.
 * The inputs are the states that hosts report and the commands of operators; the outputs are {@link
 * Action}s, in the order in which the caller must carry them out. The release that a host runs is
 * taken from its report, not from its orders: a host that returned to the old release is changed
 * again. Not thread-safe. Times are seconds of a monotonic clock.
 *
 * <p>Invariants: no more hosts are unavailable than planned, a host is not ordered two releases in
 * one epoch, a host is not changed while {@link RolloutPlan#blockingReason} blocks it, and a stage
 * does not end without a verdict.
 *
 * <pre>
 * state         meaning                                 next states
 * PROGRESSING   hosts of this stage are ordered         OBSERVING (all of them have changed),
 *               to change                               ROLLING_BACK or HELD (worse), HELD (hosts
 *                                                       failed or are unreachable), PAUSED
 * OBSERVING     the stage is observed                   PROGRESSING (next stage, or a host no
 *                                                       longer runs the release), COMPLETED,
 *                                                       ROLLING_BACK or HELD (worse), HELD (no
 *                                                       verdict in time), PAUSED
 * HELD          waits for an operator, with a reason    PROGRESSING or COMPLETED (resume),
 *                                                       ROLLING_BACK
 * PAUSED        an operator stopped further orders      PROGRESSING or OBSERVING (resume),
 *                                                       ROLLING_BACK
 * ROLLING_BACK  changed hosts are rolled back,          ROLLED_BACK (all are)
 *               newest first
 * COMPLETED     all hosts that a rollout may change run the release
 * ROLLED_BACK   all changed hosts run their previous releases
 * ABORTED       ended by an operator, hosts unchanged; from any state that is not final
 * </pre>
 */
public final class Rollout {

  /** The states of a rollout, described in the table of {@link Rollout}. */
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

    /** The name in the controller's journal. */
    @JsonValue
    public String storedName() {
      return storedName;
    }

    /** The name in the controller's status and events. */
    public String publishedName() {
      return storedName.toLowerCase(Locale.ROOT);
    }

    /** True if there is no next state. */
    public boolean isFinal() {
      return TRANSITIONS.get(this).isEmpty();
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
   * The state that a host reports.
   *
   * @param reachable true if the host answers this controller
   * @param runningRelease release of its daemon, by the daemon's own digest; empty if unknown
   * @param settled true if one daemon serves and no change is in progress
   * @param orderedRelease release last ordered in the current epoch; empty for none
   * @param attempt number of orders in the current epoch
   * @param failure why the host rolled its last change back on its own; empty if it did not
   */
  public record ReportedState(
      boolean reachable,
      String runningRelease,
      boolean settled,
      String orderedRelease,
      int attempt,
      String failure) {}

  /** A step for the caller to carry out, after writing it to the journal. */
  public sealed interface Action {
    /** Order a host to run a release. */
    record Order(String host, String release, String reason) implements Action {}

    /** Claim a new epoch, which is required before a host is ordered a different release. */
    record ClaimEpoch(String reason) implements Action {}

    /** Restart the canary analysis for a stage; stages are numbered from 0. */
    record BeginStage(int stage) implements Action {}

    /** Record that a host rolled its change back on its own. */
    record HostRolledBack(String host, String reason) implements Action {}

    /** Record a change of the state or of its reason. */
    record EnterState(State state, int stage, String reason) implements Action {}
  }

  /**
   * The state of a rollout as the journal stores it.
   *
   * @param resumeState state that follows a pause
   * @param previousReleases by host, in the order in which the hosts were changed
   * @param attempts number of orders by host
   */
  public record Snapshot(
      State state,
      @JsonProperty("resumed") State resumeState,
      int stage,
      @JsonProperty("from") Map<String, String> previousReleases,
      @JsonProperty("tries") Map<String, Integer> attempts,
      @JsonProperty("why") String reason) {}

  /** Separates the reason for a rollback from the obstacle that keeps it from ending. */
  private static final String OBSTACLE_SEPARATOR = "; still: ";

  private final RolloutPlan plan;
  private final OrderLedger ledger;
  private final Map<String, String> previousReleases = new LinkedHashMap<>();
  private final List<Action> actions = new ArrayList<>();
  private State state = State.PROGRESSING;
  private State resumeState = State.PROGRESSING;
  private int stage;
  private double enteredAt;
  private String reason = "";
  private boolean isStarted;

  /** Creates a rollout that has not changed any host yet. */
  public Rollout(RolloutPlan plan, double now) {
    this.plan = plan;
    ledger = new OrderLedger(plan);
    enteredAt = now;
  }

  /** Resumes from a journal; the observation of a stage starts again from its beginning. */
  public Rollout(RolloutPlan plan, Snapshot snapshot, double now) {
    this(plan, now);
    stage = snapshot.stage();
    previousReleases.putAll(snapshot.previousReleases());
    reason = snapshot.reason();
    state = snapshot.state();
    resumeState = snapshot.resumeState();
    ledger.restoreAttempts(snapshot.attempts());
    previousReleases.forEach(
        (host, previous) ->
            ledger.restore(
                host, state == State.ROLLING_BACK ? previous : plan.targetRelease(), now));
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** The current stage, from 0. */
  public int stage() {
    return stage;
  }

  /** Why the rollout is in this state; empty if there is no particular reason. */
  public String reason() {
    return reason;
  }

  /** The current state as the journal stores it. */
  public Snapshot snapshot() {
    return new Snapshot(
        state,
        resumeState,
        stage,
        new LinkedHashMap<>(previousReleases),
        ledger.attempts(),
        reason);
  }

  /** Seconds since the current state was entered. */
  public double secondsInState(double now) {
    return now - enteredAt;
  }

  private void enter(State next, String nextReason, double now) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("no transition from " + state + " to " + next);
    }
    state = next;
    enteredAt = now;
    reason = nextReason;
    actions.add(new Action.EnterState(next, stage, nextReason));
  }

  private List<Action> drainActions() {
    List<Action> drained = List.copyOf(actions);
    actions.clear();
    return drained;
  }

  // ---- Commands of operators ----

  /** Stops further orders. No action in a state that cannot be paused. */
  public List<Action> pause(double now) {
    if (state == State.PROGRESSING || state == State.OBSERVING) {
      resumeState = state;
      enter(State.PAUSED, "an operator paused it", now);
    }
    return drainActions();
  }

  /**
   * Resumes after a pause. A held rollout continues with the same stage, or with the next one if
   * all hosts of this stage have changed. During a rollback, hosts that failed are tried again.
   */
  public List<Action> resume(Map<String, ReportedState> reported, double now) {
    if (state == State.ROLLING_BACK) {
      ledger.clearAttempts();
    } else if (state == State.PAUSED) {
      enter(resumeState, "an operator said go", now);
    } else if (state == State.HELD) {
      ledger.clearAttempts();
      resumeHeld(new FleetObservation(plan, reported).remaining(stage).isEmpty(), now);
    }
    return drainActions();
  }

  private void resumeHeld(boolean isStageComplete, double now) {
    boolean isRolloutComplete = isStageComplete && isLastStage();
    enter(isRolloutComplete ? State.COMPLETED : State.PROGRESSING, "an operator said go", now);
    if (!isStageComplete) {
      actions.add(new Action.BeginStage(stage));
    } else if (!isRolloutComplete) {
      beginNextStage();
    }
  }

  /** Rolls all changed hosts back. No action in a final state or during a rollback. */
  public List<Action> rollBack(String rollbackReason, double now) {
    if (!state.isFinal() && state != State.ROLLING_BACK) {
      actions.add(new Action.ClaimEpoch(rollbackReason));
      enter(State.ROLLING_BACK, rollbackReason, now);
      ledger.clearAttempts();
      ledger.onEpochClaimed();
    }
    return drainActions();
  }

  /** Ends the rollout and leaves every host as it is. */
  public List<Action> abort(double now) {
    if (!state.isFinal()) {
      enter(State.ABORTED, "an operator ended it", now);
    }
    return drainActions();
  }

  // ---- Events ----

  /** Resets the orders of the previous epoch after a new one has been claimed. */
  public void onEpochClaimed() {
    ledger.onEpochClaimed();
  }

  /** Records that a host did not execute its last order and may be ordered again. */
  public void onOrderRefused(String host) {
    ledger.onOrderRefused(host);
  }

  /**
   * Decides the next actions.
   *
   * @param reported states by host, without hosts that have never answered
   * @param verdict of the canary analysis on this stage
   * @param mayOrder true if an order may be sent now
   */
  public List<Action> tick(
      Map<String, ReportedState> reported,
      CanaryAnalysis.Verdict verdict,
      boolean mayOrder,
      double now) {
    if (!isStarted) {
      isStarted = true;
      actions.add(new Action.BeginStage(stage));
    }
    reported.forEach(this::noteFailure);
    if (verdict.outcome() == CanaryAnalysis.Outcome.FAIL) {
      stopStage(verdict, now);
    }
    FleetObservation observed = new FleetObservation(plan, reported);
    switch (state) {
      case PROGRESSING -> changeHosts(observed, mayOrder, now);
      case OBSERVING -> observeStage(observed, verdict, now);
      case ROLLING_BACK -> rollBackHosts(observed, mayOrder, now);
      default -> {}
    }
    return drainActions();
  }

  private void noteFailure(String host, ReportedState reported) {
    boolean hasFailed =
        reported.reachable()
            && reported.settled()
            && plan.targetRelease().equals(reported.orderedRelease())
            && !reported.failure().isEmpty();
    if (hasFailed && ledger.isNewFailure(host, reported.attempt())) {
      actions.add(new Action.HostRolledBack(host, reported.failure()));
    }
  }

  private void stopStage(CanaryAnalysis.Verdict verdict, double now) {
    if (state != State.PROGRESSING && state != State.OBSERVING) {
      return;
    }
    String regressionReason = "stage " + (stage + 1) + " does worse: " + verdict.reason();
    if (plan.regressionPolicy() == RolloutPlan.RegressionPolicy.ROLL_BACK) {
      actions.addAll(rollBack(regressionReason, now));
    } else {
      enter(State.HELD, regressionReason, now);
    }
  }

  // ---- Stages ----

  private boolean isLastStage() {
    return stage + 1 == plan.stages().size();
  }

  private void beginNextStage() {
    stage++;
    actions.add(new Action.BeginStage(stage));
  }

  private void order(RolloutPlan.Host host, String release, String orderReason, double now) {
    ledger.add(host.name(), release, now);
    actions.add(new Action.Order(host.name(), release, orderReason));
  }

  private void changeHosts(FleetObservation observed, boolean mayOrder, double now) {
    StageDecision decision = new StageDecision(plan, stage, observed, ledger, mayOrder, now);
    for (RolloutPlan.Host host : decision.orders()) {
      previousReleases.putIfAbsent(host.name(), observed.state(host.name()).runningRelease());
      order(host, plan.targetRelease(), "stage " + (stage + 1), now);
    }
    if (decision.isComplete()) {
      enter(State.OBSERVING, "", now);
    } else if (decision.isFailed()) {
      String failureCount = decision.failedHosts() + " hosts could not be changed, most recently ";
      enter(State.HELD, failureCount + decision.obstacle(), now);
    } else if (decision.isBlocked()) {
      onBlocked(decision, now);
    }
  }

  private void onBlocked(StageDecision decision, double now) {
    if (decision.onlyUnreachableRemain()
        && plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.CONTINUE) {
      enter(State.OBSERVING, decision.obstacle() + "; continuing without unreachable hosts", now);
    } else if (secondsInState(now) > plan.verdictTimeoutSeconds()) {
      // The same timeout limits the wait for hosts that are blocked and the wait for a verdict.
      enter(State.HELD, decision.obstacle(), now);
    }
  }

  private void observeStage(FleetObservation observed, CanaryAnalysis.Verdict verdict, double now) {
    boolean holdsIfUnreachable = plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.HOLD;
    if (holdsIfUnreachable && !observed.remaining(stage).isEmpty()) {
      enter(State.PROGRESSING, "a host of this stage no longer runs the new release", now);
      return;
    }
    int unreachable = observed.unreachable().size();
    // Under HOLD, a stage is not accepted while at least half of the fleet is unreachable.
    boolean tooManyUnreachable = holdsIfUnreachable && unreachable * 2 >= plan.hosts().size();
    // Without a reachable host on the old release there is no baseline to compare with. Deaths of
    // daemons and rule violations still fail the stage.
    boolean isBaselineGone =
        isLastStage() && observed.changed().size() + unreachable >= plan.hosts().size();
    boolean isAccepted = verdict.outcome() == CanaryAnalysis.Outcome.PASS || isBaselineGone;
    double holdSeconds = plan.stages().get(stage).holdSeconds();
    if (secondsInState(now) >= holdSeconds && !tooManyUnreachable && isAccepted) {
      endStage(verdict, now);
    } else if (secondsInState(now) >= holdSeconds + plan.verdictTimeoutSeconds()) {
      String timeoutReason = "stage " + (stage + 1) + " could not be accepted in time: ";
      enter(State.HELD, timeoutReason + verdict.reason(), now);
    }
  }

  private void endStage(CanaryAnalysis.Verdict verdict, double now) {
    if (isLastStage()) {
      enter(State.COMPLETED, "", now);
    } else {
      enter(State.PROGRESSING, verdict.reason(), now);
      beginNextStage();
    }
  }

  // ---- Rollback ----

  /** The rollback does not end before unreachable hosts are reachable again and rolled back. */
  private void rollBackHosts(FleetObservation observed, boolean mayOrder, double now) {
    RollbackDecision decision =
        new RollbackDecision(plan, previousReleases, observed, ledger, mayOrder, now);
    for (RolloutPlan.Host host : decision.orders()) {
      order(host, previousReleases.get(host.name()), reason, now);
    }
    if (decision.isComplete()) {
      enter(State.ROLLED_BACK, reason, now);
    } else if (!decision.obstacle().isEmpty() && !reason.contains(decision.obstacle())) {
      reason = reason.split(OBSTACLE_SEPARATOR, 2)[0] + OBSTACLE_SEPARATOR + decision.obstacle();
      actions.add(new Action.EnterState(state, stage, reason));
    }
  }
}
