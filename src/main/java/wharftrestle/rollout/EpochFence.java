package wharftrestle.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A supervisor's side of the {@link ControllerLease}: the highest epoch that it has granted, and
 * what its host was ordered in that epoch. Both are on disk before anybody hears of them. An epoch
 * is never granted to two controllers; an order is never accepted of an epoch that is not the
 * highest known, of a controller that has sent no heartbeat within the lease, or for a second
 * target in one epoch. Not thread-safe. Times are in seconds of a clock that never goes back.
 *
 * <p>An order carries the token of this supervisor's last answer to that controller: so a
 * controller that paused between its check of the lease and the order is found out here, by this
 * supervisor's own monotonic clock, whatever the time of day says.
 *
 * <pre>
 * request               with                                               answer
 * claim(e, c)           e over the known epoch                             GRANTED, once on disk
 *                       e the known epoch, c its controller                GRANTED again
 *                       else                                               FENCED, and by whom
 * heartbeat(e, c)       the known epoch and controller                     RENEWED, with a token
 *                       else                                               FENCED
 * order(e, c, t, r)     another epoch or controller than the known         FENCED
 *                       a token that is not the last one, or too old       STALE: ask again
 *                       another target than the one of this epoch          CONFLICTING_TARGET
 *                       else                                               ACCEPTED, once on disk
 * </pre>
 */
public final class EpochFence {

  /**
   * What is on disk. The annotations hold the names there.
   *
   * @param epoch the highest granted; 0 for none
   * @param controller that holds it; empty for none
   * @param targetRelease ordered in it; empty for none yet
   * @param attempt orders accepted in it
   */
  public record Grant(
      long epoch,
      @JsonProperty("driver") String controller,
      @JsonProperty("target") String targetRelease,
      int attempt) {
    /** Nothing was ever granted. */
    public static final Grant NONE = new Grant(0, "", "", 0);
  }

  /** How a supervisor answers; the table of {@link EpochFence} says when. */
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
     * The answer of this published name.
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

  /** Persists grants. */
  public interface GrantStore {
    /**
     * Writes a grant, which is on disk when this returns.
     *
     * @return false if it could not be written: then nothing is granted or accepted
     */
    boolean persist(Grant grant);
  }

  /**
   * An answer.
   *
   * @param leaseToken that the next order has to carry; 0 for none
   * @param grant as it is after the request
   */
  public record Reply(Answer answer, long leaseToken, Grant grant) {}

  /** Seconds for which a token holds, and a quorum's acknowledgement; several polls fit in. */
  public static final double LEASE_SECONDS = 2;

  private final GrantStore store;
  private final double leaseSeconds;
  private Grant grant;
  private long leaseToken;
  private double tokenIssuedAt = Double.NEGATIVE_INFINITY;

  /**
   * A fence that goes on from what is on disk.
   *
   * @param lastToken that an earlier incarnation of this supervisor may have issued; tokens go on
   *     beyond it
   */
  public EpochFence(Grant grant, long lastToken, GrantStore store) {
    this.grant = grant;
    this.store = store;
    leaseSeconds = LEASE_SECONDS;
    leaseToken = lastToken;
  }

  /** A copy with another lease, for model checks. */
  EpochFence(EpochFence other, GrantStore store, double leaseSeconds) {
    this.grant = other.grant;
    this.store = store;
    this.leaseSeconds = leaseSeconds;
    leaseToken = other.leaseToken;
    tokenIssuedAt = other.tokenIssuedAt;
  }

  /** Seconds since the last heartbeat or claim of the holder; infinite for none. */
  public double secondsSinceHeartbeat(double now) {
    return now - tokenIssuedAt;
  }

  /** The last token issued. */
  long leaseToken() {
    return leaseToken;
  }

  /** When it was issued. */
  double tokenIssuedAt() {
    return tokenIssuedAt;
  }

  /** What is on disk. */
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

  /** A controller claims an epoch. */
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

  /** A controller's heartbeat; only the holder of the epoch receives a token. */
  public Reply heartbeat(long epoch, String controller, double now) {
    return isHolder(epoch, controller) ? replyWithToken(Answer.RENEWED, now) : reply(Answer.FENCED);
  }

  /** A controller orders this host to run a release. */
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
