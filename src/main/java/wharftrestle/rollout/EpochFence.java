package wharftrestle.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A supervisor's side of the {@link ControllerLease}: the highest epoch that it has granted, and
 * what its host was ordered to run in that epoch. Both are persisted before they are acknowledged.
 * An epoch is never granted to two controllers. An order is rejected if its epoch is not the
 * highest granted, if its controller has sent no heartbeat within the lease, or if it has a second
 * target in the same epoch. Not thread-safe. Times are seconds of a monotonic clock.
 *
 * <p>An order carries the token of this supervisor's last answer to that controller. If a
 * controller was paused between its lease check and the order, this supervisor detects that by its
 * own monotonic clock, independently of the wall clock.
 *
 * <pre>
 * request               condition                                          answer
 * claim(e, c)           e is above the known epoch                         GRANTED, once on disk
 *                       e is the known epoch, c its controller             GRANTED again
 *                       else                                               FENCED, with the holder
 * heartbeat(e, c)       the known epoch and controller                     RENEWED, with a token
 *                       else                                               FENCED
 * order(e, c, t, r)     an epoch or controller other than the known        FENCED
 *                       a token that is not the last one, or expired       STALE: get a new token
 *                       a target other than that of this epoch             CONFLICTING_TARGET
 *                       else                                               ACCEPTED, once on disk
 * </pre>
 */
public final class EpochFence {

  /**
   * The persisted state of the fence. The annotations keep the names used on disk.
   *
   * @param epoch highest granted; 0 for none
   * @param controller holder of the epoch; empty for none
   * @param targetRelease ordered in this epoch; empty if none has been ordered
   * @param attempt number of orders accepted in this epoch
   */
  public record Grant(
      long epoch,
      @JsonProperty("driver") String controller,
      @JsonProperty("target") String targetRelease,
      int attempt) {
    /** The state before the first grant. */
    public static final Grant NONE = new Grant(0, "", "", 0);
  }

  /** The answers of a supervisor, described in the table of {@link EpochFence}. */
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

    /** The name in the messages between controller and supervisor. */
    public String publishedName() {
      return publishedName;
    }

    /**
     * The answer with this published name.
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
     * Writes a grant to disk durably before it returns.
     *
     * @return false if the grant could not be written; the request is then rejected
     */
    boolean persist(Grant grant);
  }

  /**
   * The reply to a request.
   *
   * @param leaseToken that the next order must carry; 0 for none
   * @param grant state after the request
   */
  public record Reply(Answer answer, long leaseToken, Grant grant) {}

  /** Seconds for which a token or an acknowledgement is valid; longer than several polls. */
  public static final double LEASE_SECONDS = 2;

  private final GrantStore store;
  private final double leaseSeconds;
  private Grant grant;
  private long leaseToken;
  private double tokenIssuedAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a fence from its persisted state.
   *
   * @param lastToken highest token that an earlier incarnation of this supervisor may have issued;
   *     new tokens are higher
   */
  public EpochFence(Grant grant, long lastToken, GrantStore store) {
    this.grant = grant;
    this.store = store;
    leaseSeconds = LEASE_SECONDS;
    leaseToken = lastToken;
  }

  /** Copies a fence with a different lease duration, for model checking. */
  EpochFence(EpochFence other, GrantStore store, double leaseSeconds) {
    this.grant = other.grant;
    this.store = store;
    this.leaseSeconds = leaseSeconds;
    leaseToken = other.leaseToken;
    tokenIssuedAt = other.tokenIssuedAt;
  }

  /** Seconds since the last heartbeat or claim of the holder; infinite if there was none. */
  public double secondsSinceHeartbeat(double now) {
    return now - tokenIssuedAt;
  }

  /** The last token issued. */
  long leaseToken() {
    return leaseToken;
  }

  /** When the last token was issued; negative infinity if none was. */
  double tokenIssuedAt() {
    return tokenIssuedAt;
  }

  /** The persisted state. */
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

  /** Handles a controller's claim of an epoch. */
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

  /** Handles a controller's heartbeat; only the holder of the epoch receives a token. */
  public Reply heartbeat(long epoch, String controller, double now) {
    return isHolder(epoch, controller) ? replyWithToken(Answer.RENEWED, now) : reply(Answer.FENCED);
  }

  /** Handles a controller's order to run a release on this host. */
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
