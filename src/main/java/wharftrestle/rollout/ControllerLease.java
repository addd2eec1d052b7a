package wharftrestle.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A driver's side of who may steer. It owns the epoch it claims and what each keeper last answered;
 * it must never let an order out unless more than half of all keepers answered, in its epoch, what
 * was asked of them within the lease, and never before every order of an earlier driver has lapsed.
 *
 * <p>Why no two steer at once: this driver's grants and an earlier one's answers share a keeper,
 * which answers the earlier one no more; so its last look at its lease is over one lease after
 * these grants, and a stamp it had until then one lease later. {@link #EXPIRY_WAIT_SECONDS} is
 * twice the lease and something for clocks that run at different rates.
 *
 * <pre>
 * state     means                                          goes to
 * CLAIMING  asks all keepers for the epoch                 PAUSING (more than half granted it), LOST (a higher one is known)
 * PAUSING   waits until earlier orders have lapsed         STEERING (time), LOST
 * STEERING  may give orders while the lease holds          LOST
 * LOST      another driver has a higher epoch              CLAIMING (claim, by an operator's word alone)
 * </pre>
 */
public final class ControllerLease {

  /** How far it is. */
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

  /** Seconds between the grants and the first order. */
  public static final double EXPIRY_WAIT_SECONDS = 2 * EpochFence.LEASE_SECONDS * 1.05;

  private final String controller;
  private final int supervisors;
  private final double expiryWaitSeconds;
  private State state = State.CLAIMING;
  private long epoch;
  private long
      highestEpoch; // that any keeper is known to have granted, or this driver to have claimed
  private String supersededBy = "";
  private double quorumGrantedAt;
  private final Set<String> grantedBy = new HashSet<>();
  private final Map<String, Double> acknowledgedAt =
      new HashMap<>(); // when what was answered was asked
  private final Map<String, Long> tokens = new HashMap<>();

  /**
   * @param driver a name that no other driver has
   * @param keepers of the whole fleet, reached or not
   * @param last the highest epoch that this driver's journal names
   */
  public ControllerLease(String controller, int supervisors, long lastEpoch) {
    this.controller = controller;
    this.supervisors = supervisors;
    expiryWaitSeconds = EXPIRY_WAIT_SECONDS;
    highestEpoch = lastEpoch;
  }

  /**
   * As that one is now, with another pause and number of keepers: for those who explore what can
   * come of it.
   */
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

  /** When what this keeper last answered in this epoch was asked; NaN for never. */
  double acknowledgedAt(String host) {
    return acknowledgedAt.getOrDefault(host, Double.NaN);
  }

  /** When more than half had granted; of no meaning before. */
  double quorumGrantedAt() {
    return quorumGrantedAt;
  }

  public State state() {
    return state;
  }

  public long epoch() {
    return epoch;
  }

  public String controller() {
    return controller;
  }

  /** Who steers instead; empty for nobody known. */
  public String supersededBy() {
    return supersededBy;
  }

  /** A keeper is known to have granted this epoch: the next one claimed lies above it. */
  public void observeEpoch(long grantedEpoch) {
    highestEpoch = Math.max(highestEpoch, grantedEpoch);
  }

  /** Claims a new epoch: the caller writes it to its journal before it asks anybody for it. */
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
   * A keeper answered what was asked of it at {@code askedAt} in that epoch; {@code now} is when it
   * came.
   */
  public void onReply(
      String host, long inEpoch, EpochFence.Reply reply, double sentAt, double now) {
    highestEpoch = Math.max(highestEpoch, reply.grant().epoch());
    if (inEpoch != epoch || epoch == 0) {
      return; // an answer to an epoch given up
    }
    if (reply.answer() == EpochFence.Answer.FENCED) {
      if (reply.grant().epoch() > epoch
          || (reply.grant().epoch() == epoch && !reply.grant().controller().equals(controller))) {
        state = State.LOST;
        supersededBy = reply.grant().controller();
      }
      return;
    }
    if (reply.leaseToken() != 0) {
      tokens.put(host, reply.leaseToken());
    }
    acknowledgedAt.merge(host, sentAt, Math::max);
    grantedBy.add(host);
    if (state == State.CLAIMING && grantedBy.size() * 2 > supervisors) {
      state = State.AWAITING_EXPIRY;
      quorumGrantedAt = now;
    }
    tick(now);
  }

  /** A while has passed. */
  public void tick(double now) {
    if (state == State.AWAITING_EXPIRY && now >= quorumGrantedAt + expiryWaitSeconds) {
      state = State.HELD;
    }
  }

  /** True where this keeper has yet to be asked for the epoch. */
  public boolean needsClaim(String host) {
    return state != State.LOST && !grantedBy.contains(host);
  }

  /** True where an order may go out now. */
  public boolean mayOrder(double now) {
    tick(now);
    long acknowledged =
        acknowledgedAt.values().stream().filter(at -> now - at <= EpochFence.LEASE_SECONDS).count();
    return state == State.HELD && acknowledged * 2 > supervisors;
  }

  /** The stamp that an order to this box carries; 0 where it has given none in this epoch. */
  public long token(String host) {
    return tokens.getOrDefault(host, 0L);
  }
}
