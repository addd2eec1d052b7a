package wharftrestle.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A controller's right to send orders: the epoch that it claims, and what each supervisor last
 * acknowledged. No order goes out unless more than half of all supervisors have acknowledged, in
 * this epoch, a request that was sent within the lease; and none before every order of an earlier
 * controller has expired. Not thread-safe. Times are in seconds of a clock that never goes back.
 *
 * <p>Why no two controllers send orders at once: the quorum that granted this epoch and any quorum
 * of an earlier one share a supervisor, which answers the earlier controller no more. So that
 * controller's last check of its lease succeeds at most one lease after these grants, and a token
 * that it had until then holds one lease longer. {@link #EXPIRY_WAIT_SECONDS} is twice the lease,
 * with a margin for clocks that run at different rates.
 *
 * <pre>
 * state            means                                       goes to
 * CLAIMING         asks all supervisors for the epoch          AWAITING_EXPIRY (a quorum granted
 *                                                              it), LOST (a higher one is known)
 * AWAITING_EXPIRY  waits until earlier orders have expired     HELD (time), LOST
 * HELD             may send orders while acknowledged          LOST
 * LOST             another controller has a higher epoch       CLAIMING (claim)
 * </pre>
 */
public final class ControllerLease {

  /** Its states; the table of {@link ControllerLease} says what each means. */
  public enum State {
    CLAIMING("claiming"),
    AWAITING_EXPIRY("pausing"),
    HELD("steering"),
    LOST("lost");

    private final String publishedName;

    State(String publishedName) {
      this.publishedName = publishedName;
    }

    /** Its name in the controller's status. */
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
  private final Map<String, Double> acknowledgedAt = new HashMap<>(); // when the request was sent
  private final Map<String, Long> tokens = new HashMap<>();
  private State state = State.CLAIMING;
  private long epoch;
  private long highestEpoch; // that any supervisor or this controller is known to have
  private String supersededBy = "";
  private double quorumGrantedAt;

  /**
   * A lease that has claimed nothing yet.
   *
   * @param controller a name that no other controller has
   * @param supervisors of the whole fleet, reachable or not
   * @param lastEpoch the highest that this controller's journal names
   */
  public ControllerLease(String controller, int supervisors, long lastEpoch) {
    this.controller = controller;
    this.supervisors = supervisors;
    expiryWaitSeconds = EXPIRY_WAIT_SECONDS;
    highestEpoch = lastEpoch;
  }

  /** A copy with another wait and number of supervisors, for model checks. */
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

  /** When the request was sent that a supervisor last acknowledged; NaN for none. */
  double acknowledgedAt(String host) {
    return acknowledgedAt.getOrDefault(host, Double.NaN);
  }

  /** When a quorum had granted the epoch; of no meaning before. */
  double quorumGrantedAt() {
    return quorumGrantedAt;
  }

  /** Where it is. */
  public State state() {
    return state;
  }

  /** The epoch that is claimed or held; 0 before the first claim. */
  public long epoch() {
    return epoch;
  }

  /** The name of its controller. */
  public String controller() {
    return controller;
  }

  /** The controller that holds a higher epoch; empty if none is known. */
  public String supersededBy() {
    return supersededBy;
  }

  /** A supervisor is known to have granted this epoch: the next one claimed is above it. */
  public void observeEpoch(long grantedEpoch) {
    highestEpoch = Math.max(highestEpoch, grantedEpoch);
  }

  /** Claims a new epoch; the caller journals it before any supervisor is asked. */
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
   * A supervisor replied at {@code now} to a request of an epoch that was sent at {@code sentAt}.
   * Replies to earlier epochs count for nothing.
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
    boolean isOthers = grant.epoch() == epoch && !grant.controller().equals(controller);
    if (grant.epoch() > epoch || isOthers) {
      state = State.LOST;
      supersededBy = grant.controller();
    }
  }

  private boolean isQuorum(long count) {
    return count * 2 > supervisors;
  }

  /** Some time has passed. */
  public void tick(double now) {
    if (state == State.AWAITING_EXPIRY && now >= quorumGrantedAt + expiryWaitSeconds) {
      state = State.HELD;
    }
  }

  /** True if a supervisor has yet to be asked for the epoch. */
  public boolean needsClaim(String host) {
    return state != State.LOST && !grantedBy.contains(host);
  }

  /** True if an order may go out now. */
  public boolean mayOrder(double now) {
    tick(now);
    long acknowledged =
        acknowledgedAt.values().stream()
            .filter(sentAt -> now - sentAt <= EpochFence.LEASE_SECONDS)
            .count();
    return state == State.HELD && isQuorum(acknowledged);
  }

  /** The token that an order to this host carries; 0 if it has issued none in this epoch. */
  public long token(String host) {
    return tokens.getOrDefault(host, 0L);
  }
}
