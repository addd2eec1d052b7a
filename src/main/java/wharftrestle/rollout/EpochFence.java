package wharftrestle.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;

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
  public record Grant(
      long epoch,
      @JsonProperty("driver") String controller,
      @JsonProperty("target") String targetRelease,
      int attempt) {
    /** Nothing was ever granted. */
    public static final Grant NONE = new Grant(0, "", "", 0);
  }

  /** How a keeper answers. */
  public enum Answer {
    GRANTED("GRANTED"),
    RENEWED("STAMPED"),
    ACCEPTED("OBEYED"),
    FENCED("FENCED"),
    STALE("STALE"),
    CONFLICTING_TARGET("TWO_TARGETS");

    private final String publishedName;

    Answer(String publishedName) {
      this.publishedName = publishedName;
    }

    /** Its name in the messages between controller and supervisor. */
    public String publishedName() {
      return publishedName;
    }

    /**
     * The answer that is published under this name.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static Answer ofPublishedName(String publishedName) {
      for (Answer answer : values()) {
        if (answer.publishedName.equals(publishedName)) {
          return answer;
        }
      }
      throw new IllegalArgumentException("expected the name of an answer, got " + publishedName);
    }
  }

  /** Writes what is kept, and returns once it lasts. */
  public interface GrantStore {
    /** False where it could not be written: then nothing is granted or obeyed. */
    boolean persist(Grant grant);
  }

  /** An answer with a stamp; 0 where there is none. */
  public record Reply(Answer answer, long leaseToken, Grant grant) {}

  /**
   * Seconds for which a stamp holds, and an answer of a majority: a driver looks at all boxes
   * several times meanwhile.
   */
  public static final double LEASE_SECONDS = 2;

  private final GrantStore store;
  private final double leaseSeconds;
  private Grant grant;
  private long leaseToken;
  private double tokenIssuedAt = Double.NEGATIVE_INFINITY;

  /**
   * @param from the last stamp that an earlier keeper of this box may have given; stamps go on
   *     beyond it
   */
  public EpochFence(Grant grant, long lastToken, GrantStore store) {
    this.grant = grant;
    this.store = store;
    leaseSeconds = LEASE_SECONDS;
    leaseToken = lastToken;
  }

  /** As that one is now, with another lease: for those who explore what can come of it. */
  EpochFence(EpochFence other, GrantStore store, double leaseSeconds) {
    this.grant = other.grant;
    this.store = store;
    this.leaseSeconds = leaseSeconds;
    leaseToken = other.leaseToken;
    tokenIssuedAt = other.tokenIssuedAt;
  }

  /**
   * Seconds since the driver that has the epoch asked last; infinite where it has not since this
   * keeper began.
   */
  public double secondsSinceHeartbeat(double now) {
    return now - tokenIssuedAt;
  }

  /** The last stamp given. */
  long leaseToken() {
    return leaseToken;
  }

  /** When it was. */
  double tokenIssuedAt() {
    return tokenIssuedAt;
  }

  /** What is kept. */
  public Grant grant() {
    return grant;
  }

  private boolean persist(Grant next) {
    if (!store.persist(next)) {
      return false;
    }
    grant = next;
    return true;
  }

  private Reply reply(Answer answer) {
    return new Reply(answer, 0, grant);
  }

  private Reply replyWithToken(Answer answer, double now) {
    tokenIssuedAt = now;
    return new Reply(answer, ++leaseToken, grant);
  }

  private boolean isHolder(long epoch, String controller) {
    return epoch == grant.epoch() && epoch > 0 && controller.equals(grant.controller());
  }

  /** A driver wants to steer in this epoch. */
  public Reply claim(long epoch, String controller, double now) {
    if (isHolder(epoch, controller)) {
      return replyWithToken(Answer.GRANTED, now);
    }
    if (epoch <= grant.epoch()
        || controller.isEmpty()
        || !persist(new Grant(epoch, controller, "", 0))) {
      return reply(Answer.FENCED);
    }
    return replyWithToken(Answer.GRANTED, now);
  }

  /** A driver asks how this box is; only the one that steers has a stamp. */
  public Reply heartbeat(long epoch, String controller, double now) {
    return isHolder(epoch, controller) ? replyWithToken(Answer.RENEWED, now) : reply(Answer.FENCED);
  }

  /** A driver has this box go to a release. */
  public Reply order(long epoch, String controller, long token, String targetRelease, double now) {
    if (!isHolder(epoch, controller)) {
      return reply(Answer.FENCED);
    }
    if (token != leaseToken || now - tokenIssuedAt > leaseSeconds) {
      return reply(Answer.STALE);
    }
    if (!grant.targetRelease().isEmpty() && !grant.targetRelease().equals(targetRelease)) {
      return reply(Answer.CONFLICTING_TARGET);
    }
    if (!persist(new Grant(epoch, controller, targetRelease, grant.attempt() + 1))) {
      return reply(Answer.STALE);
    }
    return reply(Answer.ACCEPTED);
  }
}
