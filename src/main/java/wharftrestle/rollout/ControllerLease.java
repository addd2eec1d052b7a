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
 * these grants, and a stamp it had until then one lease later. {@link #PAUSE} is twice the lease
 * and something for clocks that run at different rates.
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
    CLAIMING,
    PAUSING,
    STEERING,
    LOST
  }

  /** Seconds between the grants and the first order. */
  public static final double PAUSE = 2 * EpochFence.LEASE * 1.05;

  private final String driver;
  private final int keepers;
  private final double pause;
  private State state = State.CLAIMING;
  private long epoch;
  private long highest; // that any keeper is known to have granted, or this driver to have claimed
  private String lostTo = "";
  private double grantedAt;
  private final Set<String> granted = new HashSet<>();
  private final Map<String, Double> confirmed = new HashMap<>(); // when what was answered was asked
  private final Map<String, Long> stamps = new HashMap<>();

  /**
   * @param driver a name that no other driver has
   * @param keepers of the whole fleet, reached or not
   * @param last the highest epoch that this driver's journal names
   */
  public ControllerLease(String driver, int keepers, long last) {
    this.driver = driver;
    this.keepers = keepers;
    pause = PAUSE;
    highest = last;
  }

  /**
   * As that one is now, with another pause and number of keepers: for those who explore what can
   * come of it.
   */
  ControllerLease(ControllerLease other, int keepers, double pause) {
    driver = other.driver;
    this.keepers = keepers;
    this.pause = pause;
    state = other.state;
    epoch = other.epoch;
    highest = other.highest;
    lostTo = other.lostTo;
    grantedAt = other.grantedAt;
    granted.addAll(other.granted);
    confirmed.putAll(other.confirmed);
    stamps.putAll(other.stamps);
  }

  /** When what this keeper last answered in this epoch was asked; NaN for never. */
  double confirmedAt(String box) {
    return confirmed.getOrDefault(box, Double.NaN);
  }

  /** When more than half had granted; of no meaning before. */
  double pausedSince() {
    return grantedAt;
  }

  public State state() {
    return state;
  }

  public long epoch() {
    return epoch;
  }

  public String driver() {
    return driver;
  }

  /** Who steers instead; empty for nobody known. */
  public String lostTo() {
    return lostTo;
  }

  /** A keeper is known to have granted this epoch: the next one claimed lies above it. */
  public void knows(long granted) {
    highest = Math.max(highest, granted);
  }

  /** Claims a new epoch: the caller writes it to its journal before it asks anybody for it. */
  public long claim() {
    epoch = Math.max(highest, epoch) + 1;
    highest = epoch;
    state = State.CLAIMING;
    granted.clear();
    confirmed.clear();
    stamps.clear();
    lostTo = "";
    return epoch;
  }

  /**
   * A keeper answered what was asked of it at {@code askedAt} in that epoch; {@code now} is when it
   * came.
   */
  public void heard(String box, long inEpoch, EpochFence.Said said, double askedAt, double now) {
    highest = Math.max(highest, said.kept().epoch());
    if (inEpoch != epoch || epoch == 0) {
      return; // an answer to an epoch given up
    }
    if (said.answer() == EpochFence.Answer.FENCED) {
      if (said.kept().epoch() > epoch
          || (said.kept().epoch() == epoch && !said.kept().driver().equals(driver))) {
        state = State.LOST;
        lostTo = said.kept().driver();
      }
      return;
    }
    if (said.stamp() != 0) {
      stamps.put(box, said.stamp());
    }
    confirmed.merge(box, askedAt, Math::max);
    granted.add(box);
    if (state == State.CLAIMING && granted.size() * 2 > keepers) {
      state = State.PAUSING;
      grantedAt = now;
    }
    look(now);
  }

  /** A while has passed. */
  public void look(double now) {
    if (state == State.PAUSING && now >= grantedAt + pause) {
      state = State.STEERING;
    }
  }

  /** True where this keeper has yet to be asked for the epoch. */
  public boolean asks(String box) {
    return state != State.LOST && !granted.contains(box);
  }

  /** True where an order may go out now. */
  public boolean maySteer(double now) {
    look(now);
    long fresh = confirmed.values().stream().filter(at -> now - at <= EpochFence.LEASE).count();
    return state == State.STEERING && fresh * 2 > keepers;
  }

  /** The stamp that an order to this box carries; 0 where it has given none in this epoch. */
  public long stamp(String box) {
    return stamps.getOrDefault(box, 0L);
  }
}
