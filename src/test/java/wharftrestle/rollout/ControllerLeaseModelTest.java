package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Model checking of {@link ControllerLease} and {@link EpochFence} with two controllers and three
 * supervisors. The search covers arbitrary delay or loss of the first controller's replies and
 * order, pauses of that controller between any two steps, and the restart of a supervisor. No
 * supervisor may accept an order of the earlier epoch after an order of the later epoch was
 * accepted anywhere. Replies to the second controller arrive at once, because a delay would only
 * postpone its order. The search must also find each seeded bug; otherwise its result has no
 * meaning.
 */
@Timeout(60)
class ControllerLeaseModelTest {
  /** The seeded bugs. */
  enum Bug {
    NONE,
    NO_EXPIRY_WAIT,
    EXPIRY_WAIT_OF_ONE_LEASE,
    NO_TOKEN_EXPIRY,
    MINORITY_QUORUM,
    ACKNOWLEDGED_AT_RECEIPT_TIME,
    GRANT_LOST_ON_RESTART,
    LEASE_NOT_CHECKED,
    SHARED_EPOCH
  }

  private static final int SUPERVISORS = 3;

  /** Seconds of a tick, which is one lease. */
  private static final double TICK_SECONDS = EpochFence.LEASE_SECONDS;

  /** Ticks after which a token or a reply has expired. */
  private static final int TICKS_UNTIL_EXPIRED = 2;

  /** Ticks after which the wait for expiry has ended. */
  private static final int TICKS_OF_EXPIRY_WAIT = 3;

  private record PendingReply(EpochFence.Reply reply, double sentAt) {}

  private record PendingOrder(int supervisor, long token) {}

  /**
   * One state of the model. Initially the first controller holds the lease and the second one
   * claims it.
   */
  private static final class ModelState {
    private int tick;
    private final EpochFence[] fences = new EpochFence[SUPERVISORS];
    private ControllerLease first;
    private ControllerLease second;
    private PendingReply[] replies =
        new PendingReply[SUPERVISORS]; // to the first controller, in transit
    private PendingOrder order; // of the first controller, in transit
    private boolean laterOrderAccepted;
    private boolean restarted;
    private boolean isViolated;

    double now() {
      return tick * TICK_SECONDS;
    }

    ModelState copy(Bug bug) {
      ModelState next = new ModelState();
      next.tick = tick;
      double lease = bug == Bug.NO_TOKEN_EXPIRY ? 1e9 : EpochFence.LEASE_SECONDS;
      double expiryWait =
          bug == Bug.NO_EXPIRY_WAIT
              ? 0
              : bug == Bug.EXPIRY_WAIT_OF_ONE_LEASE
                  ? EpochFence.LEASE_SECONDS
                  : ControllerLease.EXPIRY_WAIT_SECONDS;
      for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
        next.fences[supervisor] = new EpochFence(fences[supervisor], persisted -> true, lease);
      }
      next.first = new ControllerLease(first, SUPERVISORS, expiryWait);
      next.second =
          new ControllerLease(second, bug == Bug.MINORITY_QUORUM ? 1 : SUPERVISORS, expiryWait);
      next.replies = replies.clone();
      next.order = order;
      next.laterOrderAccepted = laterOrderAccepted;
      next.restarted = restarted;
      return next;
    }

    /** Ticks since {@code at}, capped at {@code maxTicks}, beyond which they make no difference. */
    private String age(double at, int maxTicks) {
      return Double.isNaN(at)
          ? "-"
          : Integer.toString((int) Math.min(maxTicks, Math.round((now() - at) / TICK_SECONDS)));
    }

    /**
     * Identifies equivalent states: those that differ only in the order of supervisors, in absolute
     * time or in expired tokens have the same key.
     */
    String key() {
      String[] each = new String[SUPERVISORS];
      for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
        EpochFence fence = fences[supervisor];
        PendingReply reply = replies[supervisor];
        each[supervisor] =
            fence.grant().epoch()
                + fence.grant().controller()
                + age(Math.max(-1e6, fence.tokenIssuedAt()), TICKS_UNTIL_EXPIRED)
                + (reply == null
                    ? ""
                    : "r"
                        + reply.reply().answer()
                        + age(reply.sentAt(), TICKS_UNTIL_EXPIRED)
                        + (reply.reply().leaseToken() == fence.leaseToken()))
                + (order == null || order.supervisor() != supervisor
                    ? ""
                    : "o" + (order.token() == fence.leaseToken()))
                + (first.token("k" + supervisor) == fence.leaseToken())
                + age(first.acknowledgedAt("k" + supervisor), TICKS_UNTIL_EXPIRED)
                + second.needsClaim("k" + supervisor);
      }
      Arrays.sort(each);
      return laterOrderAccepted
          + " "
          + restarted
          + first.state()
          + second.state()
          + (second.state() == ControllerLease.State.AWAITING_EXPIRY
              ? age(second.quorumGrantedAt(), TICKS_OF_EXPIRY_WAIT)
              : "")
          + String.join("&", each);
    }
  }

  private static ModelState initialState(Bug bug) {
    ModelState initial = new ModelState();
    ControllerLease holder = new ControllerLease("A", SUPERVISORS, 0);
    holder.claim();
    for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
      initial.fences[supervisor] = new EpochFence(EpochFence.Grant.NONE, 0, persisted -> true);
      holder.onReply("k" + supervisor, 1, initial.fences[supervisor].claim(1, "A", -20), -20, -20);
    }
    holder.tick(-1);
    for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
      holder.onReply("k" + supervisor, 1, initial.fences[supervisor].heartbeat(1, "A", 0), 0, 0);
    }
    assertTrue(holder.mayOrder(0));
    initial.first = holder;
    initial.second = new ControllerLease("B", SUPERVISORS, bug == Bug.SHARED_EPOCH ? 0 : 1);
    initial.second.claim();
    return initial.copy(bug);
  }

  private static List<ModelState> successors(ModelState current, Bug bug) {
    List<ModelState> nextStates = new ArrayList<>();
    ModelState later = current.copy(bug);
    later.tick++;
    later.first.tick(later.now());
    later.second.tick(later.now());
    nextStates.add(later);
    for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
      String name = "k" + supervisor;
      if (!current.restarted && current.fences[supervisor].grant().epoch() > 1) {
        ModelState restarted = current.copy(bug);
        restarted.restarted = true;
        restarted.fences[supervisor] =
            new EpochFence(
                bug == Bug.GRANT_LOST_ON_RESTART
                    ? new EpochFence.Grant(1, "A", "", 0)
                    : current.fences[supervisor].grant(),
                1000,
                persisted -> true);
        nextStates.add(restarted);
      }
      if (current.first.state() != ControllerLease.State.LOST) {
        // A new request replaces a reply that is still in transit, which models a lost reply.
        ModelState sent = current.copy(bug);
        sent.replies[supervisor] =
            new PendingReply(
                sent.fences[supervisor].heartbeat(
                    1, controllerName(current, bug, supervisor), sent.now()),
                sent.now());
        nextStates.add(sent);
      }
      if (current.replies[supervisor] != null) {
        ModelState received = current.copy(bug);
        PendingReply reply = received.replies[supervisor];
        received.replies[supervisor] = null;
        received.first.onReply(
            name,
            1,
            reply.reply(),
            bug == Bug.ACKNOWLEDGED_AT_RECEIPT_TIME ? received.now() : reply.sentAt(),
            received.now());
        nextStates.add(received);
      }
      boolean isOrderAllowed =
          bug == Bug.LEASE_NOT_CHECKED
              ? current.first.state() == ControllerLease.State.HELD
              : current.first.mayOrder(current.now());
      if (current.order == null && isOrderAllowed && current.first.token(name) != 0) {
        ModelState sent = current.copy(bug);
        sent.order = new PendingOrder(supervisor, sent.first.token(name));
        nextStates.add(sent);
      }
      if (current.second.state() != ControllerLease.State.LOST && !current.laterOrderAccepted) {
        nextStates.add(pollBySecond(current, bug, supervisor));
      }
    }
    if (current.order != null) {
      ModelState accepted = current.copy(bug);
      accepted.order = null;
      int supervisor = current.order.supervisor();
      EpochFence.Answer answer =
          accepted
              .fences[supervisor]
              .order(
                  1,
                  controllerName(current, bug, supervisor),
                  current.order.token(),
                  "x",
                  accepted.now())
              .answer();
      accepted.isViolated = answer == EpochFence.Answer.ACCEPTED && accepted.laterOrderAccepted;
      nextStates.add(accepted);
    }
    return nextStates;
  }

  /**
   * The first controller's name; with {@link Bug#SHARED_EPOCH}, the name of the current holder, as
   * if only the epoch were checked.
   */
  private static String controllerName(ModelState current, Bug bug, int supervisor) {
    return bug == Bug.SHARED_EPOCH ? current.fences[supervisor].grant().controller() : "A";
  }

  /** The second controller polls a supervisor and sends its order as soon as it may. */
  private static ModelState pollBySecond(ModelState current, Bug bug, int supervisor) {
    ModelState next = current.copy(bug);
    String name = "k" + supervisor;
    long epoch = next.second.epoch();
    if (bug == Bug.SHARED_EPOCH && next.second.needsClaim(name)) {
      next.fences[supervisor] =
          new EpochFence(new EpochFence.Grant(epoch, "B", "", 0), 500, persisted -> true);
    }
    EpochFence.Reply reply =
        next.second.needsClaim(name)
            ? next.fences[supervisor].claim(epoch, "B", next.now())
            : next.fences[supervisor].heartbeat(epoch, "B", next.now());
    next.second.onReply(name, epoch, reply, next.now(), next.now());
    if (next.second.mayOrder(next.now())) {
      EpochFence.Reply accepted =
          next.fences[supervisor].order(epoch, "B", next.second.token(name), "y", next.now());
      next.laterOrderAccepted |= accepted.answer() == EpochFence.Answer.ACCEPTED;
    }
    return next;
  }

  /** Returns the number of explored states, negated if one violates the rule. */
  private static int explore(Bug bug) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<ModelState> frontier = new ArrayDeque<>();
    frontier.add(initialState(bug));
    seen.add(frontier.peek().key());
    while (!frontier.isEmpty()) {
      for (ModelState next :
          successors(bug == Bug.NONE ? frontier.poll() : frontier.pollLast(), bug)) {
        if (next.isViolated) {
          return -seen.size();
        }
        if (seen.add(next.key())) {
          frontier.add(next);
        }
      }
    }
    return seen.size();
  }

  @Test
  void explore_withoutBug_neverAcceptsAnEarlierOrderAfterALaterOne() {
    int seen = explore(Bug.NONE);
    System.out.println("controller lease: " + seen + " states, no violation");
    assertTrue(seen > 10_000, "too few states, or a violation: " + seen);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void explore_withSeededBug_findsViolation(Bug bug) {
    int seen = explore(bug);
    System.out.println("controller lease, " + bug + ": found after " + -seen + " states");
    assertTrue(seen < 0, "not found in " + seen + " states");
  }
}
