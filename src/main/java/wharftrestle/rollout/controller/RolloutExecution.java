package wharftrestle.rollout.controller;

import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import wharftrestle.rollout.CanaryAnalysis;
import wharftrestle.rollout.ControllerLease;
import wharftrestle.rollout.EpochFence;
import wharftrestle.rollout.MembershipView;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.time.SteadyWallClock;

/**
 * One rollout as its controller carries it out: what is known of the hosts, the decisions of {@link
 * Rollout}, {@link ControllerLease} and {@link MembershipView}, and the orders that wait to go out.
 * It calls no supervisor; the threads of {@link SupervisorPoller}, {@link IndirectProber}, {@link
 * OperatorCommands} and {@link RolloutController} bring what they hear and take what is to be sent.
 * Every method holds this object's lock, the only lock of a rollout. Every order is in the journal
 * before it can be taken. Times are seconds of the monotonic clock.
 */
final class RolloutExecution {
  private static final double ORDER_TIMEOUT_SECONDS = 2;
  private static final int MAX_REASON_CHARACTERS = 400;

  /** How a supervisor's reason begins if a release could not be tried at all. */
  private static final String UNTRIED_PREFIX = "it cannot take over";

  /** The first claim's reason, as journals hold it. */
  private static final String FIRST_CLAIM_REASON = "the driver began";

  /**
   * What the next poll of a supervisor carries.
   *
   * @param claims true where the epoch is to be claimed, false for a heartbeat
   * @param stage from 1
   * @param verdict the published name of its outcome
   */
  record Poll(long epoch, boolean claims, int stage, String verdict) {}

  /** The epoch and the token under which an order may go out now. */
  record Permit(long epoch, long leaseToken) {}

  private final RolloutPlan plan;
  private final double observationSeconds;
  private final ControllerDirectory directory;
  private final RolloutEventLog events;
  private final ControllerLease lease;
  private final MembershipView membership;
  private final CanaryTracker canary;
  private final Rollout rollout;
  private final Map<String, HostView> views = new LinkedHashMap<>();
  private final Map<String, PendingOrder> orders = new HashMap<>();
  private double observedFrom;

  /** Resumes the rollout that the directory's journal leaves unfinished, or begins a new one. */
  RolloutExecution(
      PlanScript script,
      String controller,
      ControllerDirectory directory,
      RolloutEventLog events,
      double now) {
    plan = script.plan();
    observationSeconds = script.observationSeconds();
    this.directory = directory;
    this.events = events;
    lease = new ControllerLease(controller, plan.hosts().size(), directory.highestEpoch());
    membership =
        new MembershipView(plan.hosts().stream().map(RolloutPlan.Host::name).toList(), now);
    canary = new CanaryTracker(plan, script.windowSeconds());
    plan.hosts().forEach(host -> views.put(host.name(), new HostView(host)));
    rollout =
        directory
            .unfinished()
            .map(snapshot -> new Rollout(plan, snapshot, now))
            .orElseGet(() -> new Rollout(plan, now));
  }

  String controller() {
    return lease.controller();
  }

  synchronized void observeEpoch(long epoch) {
    lease.observeEpoch(epoch);
  }

  /** Claims the first epoch, and observes the hosts from now on. */
  synchronized void begin(double now) throws IOException {
    claim(FIRST_CLAIM_REASON);
    observedFrom = now;
    canary.start(now);
  }

  private void claim(String reason) throws IOException {
    long epoch = lease.claim();
    append("claim", "", "", reason);
    log("claims epoch " + epoch, "", reason);
  }

  private void append(String event, String host, String release, String reason) throws IOException {
    directory.append(
        new JournalEntry(
            SteadyWallClock.wallMillis(),
            event,
            lease.epoch(),
            lease.controller(),
            directory.planDigest(),
            rollout.snapshot(),
            host,
            release,
            reason));
  }

  private void log(String event, String host, String reason) {
    log(lease.epoch(), rollout.stage(), event, host, reason);
  }

  private void log(long epoch, int stage, String event, String host, String reason) {
    events.log(epoch, stage + 1, event, host, reason);
  }

  // ---- Decisions ----

  /** Some time has passed: decides what comes next. How the rollout ended; empty if it goes on. */
  synchronized Optional<RolloutController.Outcome> tick(double now) throws IOException {
    if (lease.state() == ControllerLease.State.LOST) {
      log("is fenced", "", lease.supersededBy() + " steers now");
      return Optional.of(RolloutController.Outcome.FENCED);
    }
    logTransitions(now);
    if (canary.tick(views, membership::isReachable, now)) {
      CanaryAnalysis.Verdict verdict = canary.verdict();
      log("verdict " + verdict.outcome().publishedName(), "", verdict.reason());
    }
    dropTimedOutOrders(now);
    boolean observed = now - observedFrom >= observationSeconds;
    carryOut(
        rollout.tick(reportedStates(), canary.verdict(), observed && lease.mayOrder(now), now),
        now);
    return outcome();
  }

  private Optional<RolloutController.Outcome> outcome() {
    return switch (rollout.state()) {
      case COMPLETED -> Optional.of(RolloutController.Outcome.COMPLETED);
      case ROLLED_BACK -> Optional.of(RolloutController.Outcome.ROLLED_BACK);
      case ABORTED -> Optional.of(RolloutController.Outcome.ABORTED);
      default -> Optional.empty();
    };
  }

  private void logTransitions(double now) {
    for (MembershipView.Transition transition : membership.tick(now)) {
      log(
          "contact",
          transition.host(),
          transition.from().publishedName()
              + " to "
              + transition.to().publishedName()
              + ", "
              + transition.reason());
    }
  }

  /** An order whose host was not reached in time never went out. */
  private void dropTimedOutOrders(double now) {
    for (Map.Entry<String, PendingOrder> order : List.copyOf(orders.entrySet())) {
      if (now - order.getValue().queuedAt() > ORDER_TIMEOUT_SECONDS) {
        orders.remove(order.getKey());
        rollout.onOrderRefused(order.getKey());
      }
    }
  }

  private Map<String, Rollout.ReportedState> reportedStates() {
    Map<String, Rollout.ReportedState> states = new LinkedHashMap<>();
    views.forEach(
        (name, view) -> {
          if (!view.incarnation().isEmpty()) {
            states.put(name, view.reportedState(membership.isReachable(name), lease.epoch()));
          }
        });
    return states;
  }

  private void carryOut(List<Rollout.Action> actions, double now) throws IOException {
    for (Rollout.Action action : actions) {
      if (action instanceof Rollout.Action.Order order) {
        queueOrder(order, now);
      } else if (action instanceof Rollout.Action.ClaimEpoch claim) {
        orders.clear();
        rollout.onEpochClaimed();
        claim(abbreviated(claim.reason()));
      } else if (action instanceof Rollout.Action.BeginStage begin) {
        canary.beginStage();
        append("stage", "", "", "");
        log(lease.epoch(), begin.stage(), "begins stage " + (begin.stage() + 1), "", "");
      } else if (action instanceof Rollout.Action.HostRolledBack rolledBack) {
        onHostRolledBack(rolledBack);
      } else if (action instanceof Rollout.Action.EnterState enter) {
        String reason = abbreviated(enter.reason());
        append("enter", "", "", reason);
        log(lease.epoch(), enter.stage(), enter.state().publishedName(), "", reason);
      }
    }
  }

  private void queueOrder(Rollout.Action.Order order, double now) throws IOException {
    append("order", order.host(), order.release(), order.reason());
    boolean rollback = rollout.state() == Rollout.State.ROLLING_BACK;
    orders.put(order.host(), new PendingOrder(order.release(), rollback, now));
    log("tells", order.host(), "go to " + order.release() + ", " + abbreviated(order.reason()));
  }

  private void onHostRolledBack(Rollout.Action.HostRolledBack rolledBack) {
    String reason = abbreviated(rolledBack.reason());
    log("is undone", rolledBack.host(), reason);
    if (!rolledBack.reason().startsWith(UNTRIED_PREFIX)) {
      canary.onHostRollback(rolledBack.host(), reason);
    }
  }

  private static String abbreviated(String reason) {
    return reason.length() > MAX_REASON_CHARACTERS
        ? reason.substring(0, MAX_REASON_CHARACTERS)
        : reason;
  }

  // ---- Supervisors ----

  synchronized Poll nextPoll(String host) {
    return new Poll(
        lease.epoch(),
        lease.needsClaim(host),
        rollout.stage() + 1,
        canary.verdict().outcome().publishedName());
  }

  /**
   * A supervisor answered a poll of this epoch that was sent at {@code sentAt}. The order that may
   * go out to its host now; empty for none.
   */
  synchronized Optional<PendingOrder> onAnswer(
      String host, long epoch, SupervisorClient.Answer answer, double sentAt, double now) {
    lease.onReply(host, epoch, answer.reply(), sentAt, now);
    if (!answer.host().equals(host)) {
      return Optional.empty(); // the supervisor of another host has this address
    }
    membership.onHeartbeat(host, answer.incarnation(), now);
    for (String release : views.get(host).update(answer)) {
      log("death", host, "a daemon of " + release + " died");
      canary.onDaemonDeath(host, release.equals(plan.targetRelease()));
    }
    boolean mayGoOut = answer.reply().leaseToken() != 0 && lease.mayOrder(now);
    return mayGoOut ? Optional.ofNullable(orders.remove(host)) : Optional.empty();
  }

  /** The lease is checked once more right before an order goes out; empty if it may not. */
  synchronized Optional<Permit> permit(String host, double now) {
    long leaseToken = lease.token(host);
    if (!lease.mayOrder(now) || leaseToken == 0) {
      rollout.onOrderRefused(host);
      return Optional.empty();
    }
    return Optional.of(new Permit(lease.epoch(), leaseToken));
  }

  /** A supervisor answered an order of this epoch. */
  synchronized void onOrderAnswer(String host, long epoch, SupervisorClient.Answer answer) {
    EpochFence.Answer fenceAnswer = answer.reply().answer();
    if (fenceAnswer != EpochFence.Answer.ACCEPTED) {
      rollout.onOrderRefused(host);
      String reason = fenceAnswer.publishedName().toLowerCase(Locale.ROOT);
      log(epoch, rollout.stage(), "is not obeyed", host, reason);
    } else if (answer.orderResult().startsWith("no ")) {
      log(epoch, rollout.stage(), "cannot go", host, answer.orderResult().substring(3));
    }
  }

  synchronized List<String> silentHosts(double now) {
    return membership.silentHosts(now);
  }

  synchronized List<String> witnesses(double now) {
    return membership.witnesses(now);
  }

  synchronized void onIndirectProbe(
      String host, String witness, boolean reachable, boolean servesClients, double now) {
    membership.onIndirectProbe(host, witness, reachable, servesClients, now);
  }

  // ---- Operators ----

  synchronized void pause(double now) throws IOException {
    carryOut(rollout.pause(now), now);
  }

  synchronized void resume(double now) throws IOException {
    carryOut(rollout.resume(reportedStates(), now), now);
  }

  synchronized void rollBack(String reason, double now) throws IOException {
    carryOut(rollout.rollBack(reason, now), now);
  }

  synchronized void abort(double now) throws IOException {
    carryOut(rollout.abort(now), now);
  }

  synchronized boolean isComparing() {
    return canary.isComparing();
  }

  /** The new release broke a rule at a host; only while {@link #isComparing}. */
  synchronized void reportViolation(String host, String violated) {
    canary.onViolation(host, abbreviated(violated));
    log("is told of a broken rule", host, violated);
  }

  synchronized Rollout.State state() {
    return rollout.state();
  }

  synchronized String reason() {
    return rollout.reason();
  }

  /** The status as it is published to operators. */
  synchronized Map<String, Object> status(double now) {
    return new StatusReport(directory.planDigest(), plan, rollout, lease, canary, membership, views)
        .toMap(now);
  }
}
