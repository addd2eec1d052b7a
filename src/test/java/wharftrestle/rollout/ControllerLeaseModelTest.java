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
 * Explores all that can come of two controllers and three supervisors, by the shipped classes: the
 * first controller's answers and its order are late by any time or lost, it pauses between any two
 * steps, a supervisor restarts. No order of an earlier epoch may be accepted anywhere after one of
 * a later epoch. What the second controller receives late only makes it later, so it receives at
 * once. Each seeded bug has to be found, or the search shows nothing.
 */
@Timeout(60)
class ControllerLeaseModelTest {
  /** What is wrong on purpose. */
  enum Bug {
    NONE,
    NO_EXPIRY_WAIT,
    EXPIRY_WAIT_OF_ONE_LEASE,
    NO_TOKENS,
    A_MINORITY_GRANTS,
    ACKNOWLEDGED_WHEN_RECEIVED,
    SUPERVISOR_FORGETS,
    LEASE_NOT_CHECKED,
    ONE_EPOCH_FOR_TWO
  }

  private static final int SUPERVISORS = 3;

  /** Seconds of a tick: a lease. */
  private static final double TICK_SECONDS = EpochFence.LEASE_SECONDS;

  /** Ticks after which a token or an answer has expired, and the wait for expiry is over. */
  private static final int TICKS_UNTIL_EXPIRED = 2;

  private static final int TICKS_OF_EXPIRY_WAIT = 3;

  private record PendingReply(EpochFence.Reply reply, double sentAt) {}

  private record PendingOrder(int supervisor, long token) {}

  /** Everything at one moment; the first controller holds the lease, the second claims it. */
  private static final class World {
    private int tick;
    private final EpochFence[] fences = new EpochFence[SUPERVISORS];
    private ControllerLease first;
    private ControllerLease second;
    private PendingReply[] replies =
        new PendingReply[SUPERVISORS]; // to the first controller, in transit
    private PendingOrder order; // of the first controller, in transit
    private boolean laterOrderAccepted;
    private boolean restarted;
    private boolean isRuleBroken;

    double now() {
      return tick * TICK_SECONDS;
    }

    World copy(Bug bug) {
      World next = new World();
      next.tick = tick;
      double lease = bug == Bug.NO_TOKENS ? 1e9 : EpochFence.LEASE_SECONDS;
      double expiryWait =
          bug == Bug.NO_EXPIRY_WAIT
              ? 0
              : bug == Bug.EXPIRY_WAIT_OF_ONE_LEASE
                  ? EpochFence.LEASE_SECONDS
                  : ControllerLease.EXPIRY_WAIT_SECONDS;
      for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
        next.fences[supervisor] = new EpochFence(fences[supervisor], kept -> true, lease);
      }
      next.first = new ControllerLease(first, SUPERVISORS, expiryWait);
      next.second =
          new ControllerLease(second, bug == Bug.A_MINORITY_GRANTS ? 1 : SUPERVISORS, expiryWait);
      next.replies = replies.clone();
      next.order = order;
      next.laterOrderAccepted = laterOrderAccepted;
      next.restarted = restarted;
      return next;
    }

    /** Ticks since then, as far as they matter. */
    private String age(double at, int most) {
      return Double.isNaN(at)
          ? "-"
          : Integer.toString((int) Math.min(most, Math.round((now() - at) / TICK_SECONDS)));
    }

    /**
     * Worlds that differ by names of supervisors, by the date, or by expired tokens only, are one.
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

  private static World first(Bug bug) {
    World world = new World();
    ControllerLease holder = new ControllerLease("A", SUPERVISORS, 0);
    holder.claim();
    for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
      world.fences[supervisor] = new EpochFence(EpochFence.Grant.NONE, 0, kept -> true);
      holder.onReply("k" + supervisor, 1, world.fences[supervisor].claim(1, "A", -20), -20, -20);
    }
    holder.tick(-1);
    for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
      holder.onReply("k" + supervisor, 1, world.fences[supervisor].heartbeat(1, "A", 0), 0, 0);
    }
    assertTrue(holder.mayOrder(0));
    world.first = holder;
    world.second = new ControllerLease("B", SUPERVISORS, bug == Bug.ONE_EPOCH_FOR_TWO ? 0 : 1);
    world.second.claim();
    return world.copy(bug);
  }

  private static List<World> next(World at, Bug bug) {
    List<World> all = new ArrayList<>();
    World later = at.copy(bug);
    later.tick++;
    later.first.tick(later.now());
    later.second.tick(later.now());
    all.add(later);
    for (int supervisor = 0; supervisor < SUPERVISORS; supervisor++) {
      String name = "k" + supervisor;
      if (!at.restarted && at.fences[supervisor].grant().epoch() > 1) {
        World restarted = at.copy(bug);
        restarted.restarted = true;
        restarted.fences[supervisor] =
            new EpochFence(
                bug == Bug.SUPERVISOR_FORGETS
                    ? new EpochFence.Grant(1, "A", "", 0)
                    : at.fences[supervisor].grant(),
                1000,
                kept -> true);
        all.add(restarted);
      }
      if (at.first.state() != ControllerLease.State.LOST) {
        // A new question overtakes an answer that is late: so answers are lost as well.
        World sent = at.copy(bug);
        sent.replies[supervisor] =
            new PendingReply(
                sent.fences[supervisor].heartbeat(
                    1, controllerName(at, bug, supervisor), sent.now()),
                sent.now());
        all.add(sent);
      }
      if (at.replies[supervisor] != null) {
        World received = at.copy(bug);
        PendingReply reply = received.replies[supervisor];
        received.replies[supervisor] = null;
        received.first.onReply(
            name,
            1,
            reply.reply(),
            bug == Bug.ACKNOWLEDGED_WHEN_RECEIVED ? received.now() : reply.sentAt(),
            received.now());
        all.add(received);
      }
      boolean may =
          bug == Bug.LEASE_NOT_CHECKED
              ? at.first.state() == ControllerLease.State.HELD
              : at.first.mayOrder(at.now());
      if (at.order == null && may && at.first.token(name) != 0) {
        World sent = at.copy(bug);
        sent.order = new PendingOrder(supervisor, sent.first.token(name));
        all.add(sent);
      }
      if (at.second.state() != ControllerLease.State.LOST && !at.laterOrderAccepted) {
        all.add(second(at, bug, supervisor));
      }
    }
    if (at.order != null) {
      World accepted = at.copy(bug);
      accepted.order = null;
      int supervisor = at.order.supervisor();
      EpochFence.Answer answer =
          accepted
              .fences[supervisor]
              .order(1, controllerName(at, bug, supervisor), at.order.token(), "x", accepted.now())
              .answer();
      accepted.isRuleBroken = answer == EpochFence.Answer.ACCEPTED && accepted.laterOrderAccepted;
      all.add(accepted);
    }
    return all;
  }

  /** The first controller, or whoever has its epoch where only the epoch is checked. */
  private static String controllerName(World at, Bug bug, int supervisor) {
    return bug == Bug.ONE_EPOCH_FOR_TWO ? at.fences[supervisor].grant().controller() : "A";
  }

  /** The second controller polls a supervisor and sends its order as soon as it may. */
  private static World second(World at, Bug bug, int supervisor) {
    World next = at.copy(bug);
    String name = "k" + supervisor;
    long epoch = next.second.epoch();
    if (bug == Bug.ONE_EPOCH_FOR_TWO && next.second.needsClaim(name)) {
      next.fences[supervisor] =
          new EpochFence(new EpochFence.Grant(epoch, "B", "", 0), 500, kept -> true);
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

  /** Worlds that were seen; negative where one broke the rule. */
  private static int explore(Bug bug) {
    Set<String> seen = new HashSet<>();
    ArrayDeque<World> open = new ArrayDeque<>();
    open.add(first(bug));
    seen.add(open.peek().key());
    while (!open.isEmpty()) {
      for (World next : next(bug == Bug.NONE ? open.poll() : open.pollLast(), bug)) {
        if (next.isRuleBroken) {
          return -seen.size();
        }
        if (seen.add(next.key())) {
          open.add(next);
        }
      }
    }
    return seen.size();
  }

  @Test
  void noOrderOfAnEarlierControllerIsAcceptedAfterOneOfALater() {
    int seen = explore(Bug.NONE);
    System.out.println("controller lease: " + seen + " worlds, none wrong");
    assertTrue(seen > 10_000, "too few worlds, or a wrong one: " + seen);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void aSeededBugIsFound(Bug bug) {
    int seen = explore(bug);
    System.out.println("controller lease, " + bug + ": found after " + -seen + " worlds");
    assertTrue(seen < 0, "not found in " + seen + " worlds");
  }
}
