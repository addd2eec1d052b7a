package wharftrestle.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A controller's right to send orders: the epoch that it claims, and what each supervisor last
 * acknowledged. A controller sends an order only if more than half of all supervisors have
 * acknowledged, in this epoch, a request that was sent within the last lease, and only after every
 * order of an earlier controller has expired. Not thread-safe. Times are seconds of a monotonic
 * clock.
 *
 * <p>Two controllers never send orders at the same time: the quorum that granted this epoch and any
 * quorum of an earlier epoch share a supervisor, which no longer acknowledges the earlier
 * controller. The last successful lease check of that controller is therefore at most one lease
 * after these grants, and a token that it had by then is valid for one lease more. {@link
 * #EXPIRY_WAIT_SECONDS} is twice the lease, with a margin for clocks that run at different rates.
 *
 * <pre>
 * state            meaning                                     next states
 * CLAIMING         claims the epoch at all supervisors         AWAITING_EXPIRY (a quorum granted
 *                                                              it), LOST (a higher one is known)
 * AWAITING_EXPIRY  waits until earlier orders have expired     HELD (time), LOST
 * HELD             may send orders while a quorum              LOST
 *                  acknowledges
 * LOST             another controller has a higher epoch       CLAIMING (claim)
 * </pre>
 */
public final class ControllerLease {

  /** The states of the lease, described in the table of {@link ControllerLease}. */
  public enum State {
    CLAIMING("claiming"),
    AWAITING_EXPIRY("pausing"),
    HELD("steering"),
    LOST("lost");

    private final String publishedName;

    State(String publishedName) {
      this.publishedName = publishedName;
    }

    /** The name in the controller's status. */
    public String publishedName() {
      return publishedName;
    }
  }

  /** Highest ratio of the rates of two monotonic clocks. */
  private static final double MAX_CLOCK_RATE_RATIO = 1.05;

  /** Seconds between the grants and the first order. */
  public static final double EXPIRY_WAIT_SECONDS =
      2 * EpochFence.LEASE_SECONDS * MAX_CLOCK_RATE_RATIO;

  private final String controller;
  private final int supervisors;
  private final double expiryWaitSeconds;
  private final Set<String> grantedBy = new HashSet<>();
  private final Map<String, Double> acknowledgedAt = new HashMap<>(); // send time of the request
  private final Map<String, Long> tokens = new HashMap<>();
  private State state = State.CLAIMING;
  private long epoch;
  private long highestEpoch; // highest epoch granted by any supervisor or claimed here
  private String supersededBy = "";
  private double quorumGrantedAt;

  /**
   * Creates a lease that has not claimed an epoch yet.
   *
   * @param controller unique name of the controller
   * @param supervisors number of supervisors in the whole fleet, reachable or not
   * @param lastEpoch highest epoch in this controller's journal
   */
  public ControllerLease(String controller, int supervisors, long lastEpoch) {
    this.controller = controller;
    this.supervisors = supervisors;
    expiryWaitSeconds = EXPIRY_WAIT_SECONDS;
    highestEpoch = lastEpoch;
  }

  /** Copies a lease with a different wait and number of supervisors, for model checking. */
  ControllerLease(ControllerLease other, int supervisors, double expiryWaitSeconds) {
    controller = other.controller;
    this.supervisors = supervisors;
    this.expiryWaitSeconds = expiryWaitSeconds;
    state = other.state;
    epoch = other.epoch;
    highestEpoch = other.highestEpoch;
    supersededBy = other.supersededBy;
    quorumGrantedAt = other.quorumGrantedAt;
    grantedBy.addAll(other.grantedBy);
    acknowledgedAt.putAll(other.acknowledgedAt);
    tokens.putAll(other.tokens);
  }

  /** Send time of the last request that a supervisor acknowledged; NaN if there is none. */
  double acknowledgedAt(String host) {
    return acknowledgedAt.getOrDefault(host, Double.NaN);
  }

  /** When a quorum had granted the epoch; undefined before that. */
  double quorumGrantedAt() {
    return quorumGrantedAt;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** The epoch claimed or held; 0 before the first claim. */
  public long epoch() {
    return epoch;
  }

  /** The name of the controller that this lease is for. */
  public String controller() {
    return controller;
  }

  /** The controller that holds a higher epoch; empty if none is known. */
  public String supersededBy() {
    return supersededBy;
  }

  /** Records an epoch that a supervisor has granted; the next claim uses a higher one. */
  public void observeEpoch(long grantedEpoch) {
    highestEpoch = Math.max(highestEpoch, grantedEpoch);
  }

  /** Claims a new epoch, which the caller must journal before it sends the claim. */
  public long claim() {
    epoch = Math.max(highestEpoch, epoch) + 1;
    highestEpoch = epoch;
    state = State.CLAIMING;
    grantedBy.clear();
    acknowledgedAt.clear();
    tokens.clear();
    supersededBy = "";
    return epoch;
  }

  /**
   * Records the reply of a supervisor, received at {@code now}, to a request sent at {@code sentAt}
   * in the epoch {@code inEpoch}. Replies to requests of earlier epochs are ignored, except that
   * their granted epoch is recorded.
   */
  public void onReply(
      String host, long inEpoch, EpochFence.Reply reply, double sentAt, double now) {
    observeEpoch(reply.grant().epoch());
    if (inEpoch != epoch || epoch == 0) {
      return;
    }
    if (reply.answer() == EpochFence.Answer.FENCED) {
      onFenced(reply.grant());
      return;
    }
    if (reply.leaseToken() != 0) {
      tokens.put(host, reply.leaseToken());
    }
    acknowledgedAt.merge(host, sentAt, Math::max);
    grantedBy.add(host);
    if (state == State.CLAIMING && isQuorum(grantedBy.size())) {
      state = State.AWAITING_EXPIRY;
      quorumGrantedAt = now;
    }
    tick(now);
  }

  private void onFenced(EpochFence.Grant grant) {
    boolean isHeldByOther = grant.epoch() == epoch && !grant.controller().equals(controller);
    if (grant.epoch() > epoch || isHeldByOther) {
      state = State.LOST;
      supersededBy = grant.controller();
    }
  }

  private boolean isQuorum(long count) {
    return count * 2 > supervisors;
  }

  /** Updates the state for the passage of time. */
  public void tick(double now) {
    if (state == State.AWAITING_EXPIRY && now >= quorumGrantedAt + expiryWaitSeconds) {
      state = State.HELD;
    }
  }

  /** True if a supervisor has not granted the epoch yet. */
  public boolean needsClaim(String host) {
    return state != State.LOST && !grantedBy.contains(host);
  }

  /** True if an order may be sent now. */
  public boolean mayOrder(double now) {
    tick(now);
    long acknowledged =
        acknowledgedAt.values().stream()
            .filter(sentAt -> now - sentAt <= EpochFence.LEASE_SECONDS)
            .count();
    return state == State.HELD && isQuorum(acknowledged);
  }

  /** The token for an order to this host; 0 if its supervisor has issued none in this epoch. */
  public long token(String host) {
    return tokens.getOrDefault(host, 0L);
  }
}
