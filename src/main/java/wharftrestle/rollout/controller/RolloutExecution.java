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
 * The state of one rollout in its controller: the reported states of the hosts, the decisions of
 * {@link Rollout}, {@link ControllerLease} and {@link MembershipView}, and the pending orders. It
 * makes no calls to supervisors: {@link SupervisorPoller} passes in answers and sends the pending
 * orders, {@link IndirectProber} passes in the results of probes, {@link OperatorCommands} passes
 * in commands, and {@link RolloutController} calls {@link #tick}. Thread-safe: methods hold this
 * object's lock, the only lock of a rollout. Every order is written to the journal before it can be
 * sent. Times are seconds of the monotonic clock.
 */
final class RolloutExecution {
  private static final double ORDER_TIMEOUT_SECONDS = 2;
  private static final int MAX_REASON_CHARACTERS = 400;

  /**
   * Prefix of a supervisor's reason if the new release never took over. Such a rollback does not
   * count against the release.
   */
  private static final String NOT_STARTED_PREFIX = "it cannot take over";

  /** The reason of the first claim in the journal. */
  private static final String FIRST_CLAIM_REASON = "the driver began";

  /**
   * The contents of the next poll of a supervisor.
   *
   * @param claims true to claim the epoch, false for a heartbeat
   * @param stage from 1
   * @param verdict published name of the verdict's outcome
   */
  record Poll(long epoch, boolean claims, int stage, String verdict) {}

  /** The epoch and the token with which an order may be sent now. */
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

  /** Resumes the unfinished rollout of the directory's journal, or creates a new one. */
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
            .unfinishedRollout()
            .map(snapshot -> new Rollout(plan, snapshot, now))
            .orElseGet(() -> new Rollout(plan, now));
  }

  String controller() {
    return lease.controller();
  }

  synchronized void observeEpoch(long epoch) {
    lease.observeEpoch(epoch);
  }

  /** Claims the first epoch and starts observing the hosts. */
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

  /** Decides and carries out the next actions. Returns the outcome if the rollout has ended. */
  synchronized Optional<RolloutController.Outcome> tick(double now) throws IOException {
    if (lease.state() == ControllerLease.State.LOST) {
      log("is fenced", "", lease.supersededBy() + " holds the lease");
      return Optional.of(RolloutController.Outcome.FENCED);
    }
    logTransitions(now);
    if (canary.tick(views, membership::isReachable, now)) {
      CanaryAnalysis.Verdict verdict = canary.verdict();
      log("verdict " + verdict.outcome().publishedName(), "", verdict.reason());
    }
    dropTimedOutOrders(now);
    boolean isObserved = now - observedFrom >= observationSeconds;
    carryOut(
        rollout.tick(reportedStates(), canary.verdict(), isObserved && lease.mayOrder(now), now),
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

  /** Drops orders that were not sent in time because the supervisor did not answer. */
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
    if (!rolledBack.reason().startsWith(NOT_STARTED_PREFIX)) {
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
   * Handles a supervisor's answer to a poll of this epoch that was sent at {@code sentAt}.
   *
   * @return the order that may be sent to the host now; empty if there is none
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
    boolean maySend = answer.reply().leaseToken() != 0 && lease.mayOrder(now);
    return maySend ? Optional.ofNullable(orders.remove(host)) : Optional.empty();
  }

  /** Checks the lease again directly before an order is sent; empty if it may not be sent. */
  synchronized Optional<Permit> permit(String host, double now) {
    long leaseToken = lease.token(host);
    if (!lease.mayOrder(now) || leaseToken == 0) {
      rollout.onOrderRefused(host);
      return Optional.empty();
    }
    return Optional.of(new Permit(lease.epoch(), leaseToken));
  }

  /** Handles a supervisor's answer to an order of this epoch. */
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

  /** Fails the stage for a rule broken at a host. Requires {@link #isComparing}. */
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

  /** The published status. */
  synchronized Map<String, Object> status(double now) {
    return new StatusReport(directory.planDigest(), plan, rollout, lease, canary, membership, views)
        .toMap(now);
  }
}
