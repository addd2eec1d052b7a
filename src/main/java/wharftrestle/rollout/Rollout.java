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
 * One rolling change as a state machine: which host is ordered next, and what becomes of the
 * change. Input are the states that hosts report and the commands of operators; output are {@link
 * Action}s, in the order in which they are to be carried out. What hosts run is read from what they
 * report, not from what they were ordered: a host that came back with the old release is changed
 * again. Never are more hosts unavailable than planned, is a host ordered two releases in one
 * epoch, does a host go against {@link RolloutPlan#blockingReason}, or does a stage end without a
 * verdict. Not thread-safe. Times are in seconds of a clock that never goes back.
 *
 * <pre>
 * state         means                                   goes to
 * PROGRESSING   hosts of this stage are ordered         OBSERVING (all of them have changed),
 *               to change                               ROLLING_BACK or HELD (worse), HELD (hosts
 *                                                       failed or are unreachable), PAUSED
 * OBSERVING     the stage is watched                    PROGRESSING (next stage), COMPLETED,
 *                                                       ROLLING_BACK or HELD (worse), HELD (no
 *                                                       verdict in time), PAUSED
 * HELD          waits for an operator, with a reason    PROGRESSING or COMPLETED (resume),
 *                                                       ROLLING_BACK
 * PAUSED        an operator wants no further orders     PROGRESSING or OBSERVING (resume),
 *                                                       ROLLING_BACK
 * ROLLING_BACK  changed hosts are rolled back,          ROLLED_BACK (all are)
 *               newest first
 * COMPLETED     all hosts that a rollout may change run the release
 * ROLLED_BACK   all hosts run what they ran before
 * ABORTED       left as it is, by an operator, from any state that is not final
 * </pre>
 */
public final class Rollout {

  /** Its states; the table of {@link Rollout} says what each means. */
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

    /** True if no state follows. */
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
   * What a host reports.
   *
   * @param reachable answers this controller
   * @param runningRelease of its daemon, by the daemon's own digest; empty if none is known
   * @param settled one daemon serves, no change is going on
   * @param orderedRelease the last one ordered in the current epoch; empty for none
   * @param attempt orders in the current epoch
   * @param failure why the host itself rolled its last change back; empty if it did not
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
    /** A host is ordered to run a release. */
    record Order(String host, String release, String reason) implements Action {}

    /** A new epoch: only then may a host be ordered another release than before. */
    record ClaimEpoch(String reason) implements Action {}

    /** A stage begins, from 0: the canary analysis begins anew. */
    record BeginStage(int stage) implements Action {}

    /** A host rolled its change back by itself. */
    record HostRolledBack(String host, String reason) implements Action {}

    /** The state changed, or its reason. */
    record EnterState(State state, int stage, String reason) implements Action {}
  }

  /**
   * What a journal holds of it.
   *
   * @param resumeState the state to which a pause returns
   * @param previousReleases by host, in the order in which hosts were changed
   * @param attempts orders by host
   */
  public record Snapshot(
      State state,
      @JsonProperty("resumed") State resumeState,
      int stage,
      @JsonProperty("from") Map<String, String> previousReleases,
      @JsonProperty("tries") Map<String, Integer> attempts,
      @JsonProperty("why") String reason) {}

  private static final String STILL = "; still: ";

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

  /** A rollout that has changed nothing yet. */
  public Rollout(RolloutPlan plan, double now) {
    this.plan = plan;
    ledger = new OrderLedger(plan);
    enteredAt = now;
  }

  /** Resumes from a journal; a stage that was observed is observed anew. */
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

  /** Where it is. */
  public State state() {
    return state;
  }

  /** The stage, from 0. */
  public int stage() {
    return stage;
  }

  /** Why it is in this state; empty for nothing special. */
  public String reason() {
    return reason;
  }

  /** What a journal holds of it. */
  public Snapshot snapshot() {
    return new Snapshot(
        state,
        resumeState,
        stage,
        new LinkedHashMap<>(previousReleases),
        ledger.attempts(),
        reason);
  }

  /** Seconds in this state. */
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

  /** Sends no further orders. No action where it cannot be paused. */
  public List<Action> pause(double now) {
    if (state == State.PROGRESSING || state == State.OBSERVING) {
      resumeState = state;
      enter(State.PAUSED, "an operator paused it", now);
    }
    return drainActions();
  }

  /**
   * Goes on from a pause; if held with the same stage, or with the next one if this one's hosts
   * have changed; while rolling back, hosts that failed are tried again.
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

  private void resumeHeld(boolean isStageChanged, double now) {
    boolean isOver = isStageChanged && isLastStage();
    enter(isOver ? State.COMPLETED : State.PROGRESSING, "an operator said go", now);
    if (!isStageChanged) {
      actions.add(new Action.BeginStage(stage));
    } else if (!isOver) {
      beginNextStage();
    }
  }

  /** Rolls all changed hosts back. No action if it is final or does so already. */
  public List<Action> rollBack(String rollbackReason, double now) {
    if (!state.isFinal() && state != State.ROLLING_BACK) {
      actions.add(new Action.ClaimEpoch(rollbackReason));
      enter(State.ROLLING_BACK, rollbackReason, now);
      ledger.clearAttempts();
      ledger.onEpochClaimed();
    }
    return drainActions();
  }

  /** Leaves every host as it is. */
  public List<Action> abort(double now) {
    if (!state.isFinal()) {
      enter(State.ABORTED, "an operator ended it", now);
    }
    return drainActions();
  }

  // ---- Events ----

  /** A new epoch was granted: orders of the one before count for nothing. */
  public void onEpochClaimed() {
    ledger.onEpochClaimed();
  }

  /** A host did not execute the order that it was just sent: it may be ordered again. */
  public void onOrderRefused(String host) {
    ledger.onOrderRefused(host);
  }

  /**
   * Some time has passed.
   *
   * @param reported states by host; hosts that have never answered are absent
   * @param verdict of the canary analysis on this stage
   * @param mayOrder an order may go out now
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
    String worse = "stage " + (stage + 1) + " does worse: " + verdict.reason();
    if (plan.regressionPolicy() == RolloutPlan.RegressionPolicy.ROLL_BACK) {
      actions.addAll(rollBack(worse, now));
    } else {
      enter(State.HELD, worse, now);
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
      String failed = decision.failedHosts() + " hosts could not go, at last ";
      enter(State.HELD, failed + decision.obstacle(), now);
    } else if (decision.isBlocked()) {
      onBlocked(decision, now);
    }
  }

  private void onBlocked(StageDecision decision, double now) {
    if (decision.onlyUnreachableRemain()
        && plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.CONTINUE) {
      enter(State.OBSERVING, decision.obstacle() + "; it goes on without", now);
    } else if (secondsInState(now) > plan.verdictTimeoutSeconds()) {
      enter(State.HELD, decision.obstacle(), now);
    }
  }

  private void observeStage(FleetObservation observed, CanaryAnalysis.Verdict verdict, double now) {
    boolean holdsIfUnreachable = plan.unreachablePolicy() == RolloutPlan.UnreachablePolicy.HOLD;
    if (holdsIfUnreachable && !observed.remaining(stage).isEmpty()) {
      enter(State.PROGRESSING, "a host of this stage is behind again", now);
      return;
    }
    int unreachable = observed.unreachable().size();
    boolean isCutOff = holdsIfUnreachable && unreachable * 2 >= plan.hosts().size();
    // Without a host of the old release there is nothing to compare with: deaths and broken rules
    // still count.
    boolean isBaselineGone =
        isLastStage() && observed.changed().size() + unreachable >= plan.hosts().size();
    boolean isAccepted = verdict.outcome() == CanaryAnalysis.Outcome.PASS || isBaselineGone;
    double holdSeconds = plan.stages().get(stage).holdSeconds();
    if (secondsInState(now) >= holdSeconds && !isCutOff && isAccepted) {
      endStage(verdict, now);
    } else if (secondsInState(now) >= holdSeconds + plan.verdictTimeoutSeconds()) {
      String undecided = "nobody can tell whether stage " + (stage + 1) + " does worse: ";
      enter(State.HELD, undecided + verdict.reason(), now);
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

  /** Hosts that cannot be reached keep it from ending; they are rolled back once they can. */
  private void rollBackHosts(FleetObservation observed, boolean mayOrder, double now) {
    RollbackDecision decision =
        new RollbackDecision(plan, previousReleases, observed, ledger, mayOrder, now);
    for (RolloutPlan.Host host : decision.orders()) {
      order(host, previousReleases.get(host.name()), reason, now);
    }
    if (decision.isComplete()) {
      enter(State.ROLLED_BACK, reason, now);
    } else if (!decision.obstacle().isEmpty() && !reason.contains(decision.obstacle())) {
      reason = reason.split(STILL, 2)[0] + STILL + decision.obstacle();
      actions.add(new Action.EnterState(state, stage, reason));
    }
  }
}
