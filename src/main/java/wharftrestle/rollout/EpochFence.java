package wharftrestle.rollout;

/**
 * A keeper's side of who may steer its box. It owns the highest epoch that it has granted, and what
 * it was told in that epoch; both are on disk before anybody hears of them. It must never grant an
 * epoch twice to two drivers, obey one that is not the highest it knows, obey an order whose driver
 * has not asked it within the lease, or be told two targets in one epoch.
 *
 * <p>An order carries a stamp that this keeper gave in its last answer to that driver: so a driver
 * that slept between its look at the lease and the order is found out here, by this keeper's own
 * steady clock, whatever the time of day says.
 *
 * <pre>
 * asked              with                                            answer
 * claim(e, d)        e over the known one                            GRANTED, once it is on disk
 *                    e the known one, d its driver                   GRANTED again
 *                    else                                            FENCED, and by whom
 * ask(e, d)          the known epoch and driver                      a stamp
 *                    else                                            FENCED
 * order(e, d, s, t)  another epoch or driver than the known ones     FENCED
 *                    a stamp that is not its last one, or too old    STALE: ask again
 *                    another target than the one of this epoch       TWO_TARGETS
 *                    else                                            OBEYED, once it is on disk
 * </pre>
 */
public final class EpochFence {

  /**
   * What is on disk.
   *
   * @param epoch the highest granted; 0 for none
   * @param driver who has it; empty for none
   * @param target the release told in it; empty for none yet
   * @param attempt how often it was told
   */
  public record Kept(long epoch, String driver, String target, int attempt) {
    /** Nothing was ever granted. */
    public static final Kept NONE = new Kept(0, "", "", 0);
  }

  /** How a keeper answers. */
  public enum Answer {
    GRANTED,
    STAMPED,
    OBEYED,
    FENCED,
    STALE,
    TWO_TARGETS
  }

  /** Writes what is kept, and returns once it lasts. */
  public interface Store {
    /** False where it could not be written: then nothing is granted or obeyed. */
    boolean write(Kept kept);
  }

  /** An answer with a stamp; 0 where there is none. */
  public record Said(Answer answer, long stamp, Kept kept) {}

  /**
   * Seconds for which a stamp holds, and an answer of a majority: a driver looks at all boxes
   * several times meanwhile.
   */
  public static final double LEASE = 2;

  private final Store store;
  private final double lease;
  private Kept kept;
  private long stamp;
  private double stampedAt = Double.NEGATIVE_INFINITY;

  /**
   * @param from the last stamp that an earlier keeper of this box may have given; stamps go on
   *     beyond it
   */
  public EpochFence(Kept kept, long from, Store store) {
    this.kept = kept;
    this.store = store;
    lease = LEASE;
    stamp = from;
  }

  /** As that one is now, with another lease: for those who explore what can come of it. */
  EpochFence(EpochFence other, Store store, double lease) {
    this.kept = other.kept;
    this.store = store;
    this.lease = lease;
    stamp = other.stamp;
    stampedAt = other.stampedAt;
  }

  /**
   * Seconds since the driver that has the epoch asked last; infinite where it has not since this
   * keeper began.
   */
  public double askedAgo(double now) {
    return now - stampedAt;
  }

  /** The last stamp given. */
  long stamp() {
    return stamp;
  }

  /** When it was. */
  double stampedAt() {
    return stampedAt;
  }

  /** What is kept. */
  public Kept kept() {
    return kept;
  }

  private boolean write(Kept next) {
    if (!store.write(next)) {
      return false;
    }
    kept = next;
    return true;
  }

  private Said said(Answer answer) {
    return new Said(answer, 0, kept);
  }

  private Said stamped(Answer answer, double now) {
    stampedAt = now;
    return new Said(answer, ++stamp, kept);
  }

  private boolean known(long epoch, String driver) {
    return epoch == kept.epoch() && epoch > 0 && driver.equals(kept.driver());
  }

  /** A driver wants to steer in this epoch. */
  public Said claim(long epoch, String driver, double now) {
    if (known(epoch, driver)) {
      return stamped(Answer.GRANTED, now);
    }
    if (epoch <= kept.epoch() || driver.isEmpty() || !write(new Kept(epoch, driver, "", 0))) {
      return said(Answer.FENCED);
    }
    return stamped(Answer.GRANTED, now);
  }

  /** A driver asks how this box is; only the one that steers has a stamp. */
  public Said ask(long epoch, String driver, double now) {
    return known(epoch, driver) ? stamped(Answer.STAMPED, now) : said(Answer.FENCED);
  }

  /** A driver has this box go to a release. */
  public Said order(long epoch, String driver, long withStamp, String target, double now) {
    if (!known(epoch, driver)) {
      return said(Answer.FENCED);
    }
    if (withStamp != stamp || now - stampedAt > lease) {
      return said(Answer.STALE);
    }
    if (!kept.target().isEmpty() && !kept.target().equals(target)) {
      return said(Answer.TWO_TARGETS);
    }
    if (!write(new Kept(epoch, driver, target, kept.attempt() + 1))) {
      return said(Answer.STALE);
    }
    return said(Answer.OBEYED);
  }
}
