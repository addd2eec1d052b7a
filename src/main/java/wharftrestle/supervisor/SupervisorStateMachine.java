package wharftrestle.supervisor;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Decides what the supervisor of a host does next, without I/O: it tracks which release is active,
 * which one to fall back to, and how often in a row a daemon has exited. Each event returns the
 * {@link Action}s to carry out; the caller writes each of them to its journal before carrying it
 * out. Times are in seconds of a monotonic clock. Not thread-safe: used by the supervisor's main
 * thread.
 *
 * <p>At most two daemons run at a time, the only serving daemon is not ended during a change, and a
 * daemon that keeps exiting is restarted with an exponential backoff.
 *
 * <pre>
 * state         means                              next states
 * DOWN          no daemon runs                     STARTING (start), SERVING, PROBATION (adopt),
 *                                                  CHANGING (resume a change)
 * STARTING      the only daemon has been started   SERVING (ready), BACKOFF (exited, not in time)
 * SERVING       one daemon serves                  CHANGING (change, rollback by an operator),
 *                                                  BACKOFF (exited)
 * CHANGING      a candidate is starting beside     PROBATION (ready, or the active daemon exited),
 *               the active daemon                  SERVING (aborted: exited, rejected, late)
 * PROBATION     the candidate has become active,   SERVING (no regression), BACKOFF (exited),
 *               the former daemon is ending        ROLLING_BACK (regression, or an operator)
 * ROLLING_BACK  the former release is starting     SERVING (ready, failed, or the active daemon
 *               beside the active daemon           exited)
 * BACKOFF       no daemon runs                     STARTING (after a delay)
 * </pre>
 */
public final class SupervisorStateMachine {

  /** The table of {@link SupervisorStateMachine} describes the states. */
  public enum State {
    DOWN("DOWN"),
    STARTING("STARTING"),
    SERVING("SERVING"),
    CHANGING("CHANGING"),
    PROBATION("PROBATION"),
    ROLLING_BACK("RETURNING"),
    BACKOFF("PAUSED");

    private final String publishedName;

    State(String publishedName) {
      this.publishedName = publishedName;
    }

    /** Its name in answers of the supervisor. */
    public String publishedName() {
      return publishedName;
    }
  }

  private static final Map<State, Set<State>> TRANSITIONS = new EnumMap<>(State.class);

  static {
    TRANSITIONS.put(
        State.DOWN, EnumSet.of(State.STARTING, State.SERVING, State.PROBATION, State.CHANGING));
    TRANSITIONS.put(State.STARTING, EnumSet.of(State.SERVING, State.BACKOFF));
    TRANSITIONS.put(State.SERVING, EnumSet.of(State.CHANGING, State.BACKOFF));
    TRANSITIONS.put(State.CHANGING, EnumSet.of(State.PROBATION, State.SERVING, State.BACKOFF));
    TRANSITIONS.put(State.PROBATION, EnumSet.of(State.SERVING, State.ROLLING_BACK, State.BACKOFF));
    TRANSITIONS.put(State.ROLLING_BACK, EnumSet.of(State.SERVING, State.BACKOFF));
    TRANSITIONS.put(State.BACKOFF, EnumSet.of(State.STARTING));
  }

  /**
   * The operators' limits.
   *
   * @param readyTimeoutSeconds seconds after its start within which a daemon has to serve
   * @param probationSeconds seconds for which a new release is compared with the former one
   * @param maxFailedIncrease largest tolerated increase of the failed share of answers, 0 to 1
   * @param maxRejectedIncrease largest tolerated increase of the rejected share of answers, 0 to 1
   * @param minAnswers answers during probation below which no regression is detected
   * @param initialBackoffSeconds backoff after the first exit
   * @param maxBackoffSeconds longest backoff
   * @param exitsBeforeRollback exits in a row after which the fallback release is started
   */
  public record Limits(
      double readyTimeoutSeconds,
      double probationSeconds,
      double maxFailedIncrease,
      double maxRejectedIncrease,
      long minAnswers,
      double initialBackoffSeconds,
      double maxBackoffSeconds,
      int exitsBeforeRollback) {}

  /** Numbers of answers of a daemon since its start. */
  public record AnswerCounts(long served, long rejected, long failed) {
    long total() {
      return served + rejected + failed;
    }

    AnswerCounts since(AnswerCounts earlier) {
      return new AnswerCounts(
          served - earlier.served, rejected - earlier.rejected, failed - earlier.failed);
    }
  }

  /** One of the two daemons that a host may have. */
  public enum Role {
    /** The daemon that serves, or that is to serve as the only one. */
    ACTIVE("SERVES"),
    /** The daemon that is to take over from the active one. */
    CANDIDATE("COMES");

    private final String publishedName;

    Role(String publishedName) {
      this.publishedName = publishedName;
    }

    /** Its name in the journal and in answers of the supervisor. */
    public String publishedName() {
      return publishedName;
    }
  }

  /**
   * A step that the caller has to carry out; the steps of one event in the order of the list.
   *
   * @param role of the daemon that the step concerns
   * @param release that the step concerns
   * @param reason for the journal and operators
   */
  public record Action(Kind kind, Role role, String release, String reason) {
    /** The kinds of actions. */
    public enum Kind {
      /** Start a daemon of this release in this role. */
      START,
      /** Send the daemon a TERM signal: it shuts down gracefully. */
      TERM,
      /**
       * Kill the daemon at once: a candidate, whose end returns any keys that it has received, or
       * the active daemon that was not ready in time.
       */
      KILL,
      /** The candidate is the active daemon from now on. */
      PROMOTE,
      /** Only write the reason to the journal and to the standard output. */
      RECORD
    }
  }

  private final Limits limits;
  private State state = State.DOWN;
  private String activeRelease = "";
  private String fallbackRelease = ""; // the release to return to; empty if there is none
  private String candidateRelease = "";
  private boolean changeIsRollback; // the release that is left must not become the fallback
  private String lastProblem = "";
  private double stateEnteredAt;
  private int exitsInARow; // of the active release
  private AnswerCounts baseline; // of the former release, up to the change
  private AnswerCounts probationStart; // of the new release when its probation began
  private AnswerCounts latestCounts;
  private final List<Action> actions = new ArrayList<>();

  public SupervisorStateMachine(Limits limits) {
    this.limits = limits;
  }

  public State state() {
    return state;
  }

  /** The release that serves, or that is to be started. */
  public String activeRelease() {
    return activeRelease;
  }

  /** The release to return to; empty if there is none. */
  public String fallbackRelease() {
    return fallbackRelease;
  }

  /** The release that is to take over; empty if there is none. */
  public String candidateRelease() {
    return candidateRelease;
  }

  /** Why the last change was undone or the daemon was restarted; empty if neither happened. */
  public String lastProblem() {
    return lastProblem;
  }

  private List<Action> drainActions() {
    List<Action> all = List.copyOf(actions);
    actions.clear();
    return all;
  }

  private void enter(State next, double now) {
    if (!TRANSITIONS.get(state).contains(next)) {
      throw new IllegalStateException("illegal transition from " + state + " to " + next);
    }
    state = next;
    stateEnteredAt = now;
  }

  private void addAction(Action.Kind kind, Role role, String releaseName, String reason) {
    actions.add(new Action(kind, role, releaseName, reason));
  }

  // ---- Start of the supervisor, commands of operators ----

  /** The supervisor starts and no daemon runs. */
  public List<Action> start(String startRelease, String fallback, double now) {
    activeRelease = startRelease;
    fallbackRelease = fallback;
    enter(State.STARTING, now);
    addAction(Action.Kind.START, Role.ACTIVE, startRelease, "the keeper began");
    return drainActions();
  }

  /**
   * The supervisor starts and finds a change under way whose candidate serves already. If the
   * candidate is the fallback release, the change is a rollback.
   */
  public List<Action> resumeChange(String running, String fallback, String candidate, double now) {
    activeRelease = running;
    fallbackRelease = fallback;
    candidateRelease = candidate;
    changeIsRollback = candidate.equals(fallback);
    enter(State.CHANGING, now);
    addAction(Action.Kind.RECORD, Role.CANDIDATE, candidate, "found serving, change resumed");
    return drainActions();
  }

  /**
   * The supervisor starts and finds a daemon that serves. If a change was under way, its candidate
   * has been ended, or has become the active daemon and is still in its probation.
   */
  public List<Action> adopt(String running, String fallback, boolean inProbation, double now) {
    activeRelease = running;
    fallbackRelease = fallback;
    enter(inProbation && !fallback.isEmpty() ? State.PROBATION : State.SERVING, now);
    addAction(Action.Kind.RECORD, Role.ACTIVE, running, "found running and adopted");
    return drainActions();
  }

  /** Why a change to this release cannot begin now; empty if it can. */
  public String obstacle(String target) {
    return state != State.SERVING
        ? "a change can begin while one daemon serves; now it is " + state.publishedName()
        : target.equals(activeRelease) ? target + " serves already" : "";
  }

  /** Changes to another release; only if there is no {@link #obstacle obstacle}. */
  public List<Action> change(String target, double now) {
    return change(target, false, now);
  }

  /**
   * Changes to another release.
   *
   * @param isRollback the active release was found bad: it doesn't become the fallback release
   */
  public List<Action> change(String target, boolean isRollback, double now) {
    changeIsRollback = isRollback;
    candidateRelease = target;
    lastProblem = "";
    enter(State.CHANGING, now);
    addAction(Action.Kind.START, Role.CANDIDATE, target, "change from " + activeRelease);
    return drainActions();
  }

  /**
   * Undoes the change that is under way, or else the last one. The result is empty if there is
   * nothing to undo.
   */
  public List<Action> rollBack(double now) {
    if (state == State.CHANGING) {
      abortChange("requested by an operator or controller", now);
    } else if (state == State.PROBATION) {
      startRollback("requested by an operator or controller", now);
    } else if (state == State.SERVING
        && !fallbackRelease.isEmpty()
        && !fallbackRelease.equals(activeRelease)) {
      return change(fallbackRelease, now);
    }
    return drainActions();
  }

  // ---- Events of the daemons ----

  /** This daemon reports that it serves. */
  public List<Action> onReady(Role role, double now) {
    if (state == State.STARTING && role == Role.ACTIVE) {
      enter(State.SERVING, now);
      addAction(Action.Kind.RECORD, role, activeRelease, "serves");
    } else if (state == State.CHANGING && role == Role.CANDIDATE) {
      String formerRelease = activeRelease;
      addAction(Action.Kind.TERM, Role.ACTIVE, formerRelease, candidateRelease + " serves");
      addAction(Action.Kind.PROMOTE, Role.CANDIDATE, candidateRelease, "");
      fallbackRelease = changeIsRollback ? "" : formerRelease;
      activeRelease = candidateRelease;
      candidateRelease = "";
      exitsInARow = 0;
      baseline = latestCounts;
      probationStart = null;
      enter(State.PROBATION, now);
    } else if (state == State.ROLLING_BACK && role == Role.CANDIDATE) {
      addAction(Action.Kind.TERM, Role.ACTIVE, activeRelease, "rolled back: " + lastProblem);
      addAction(Action.Kind.PROMOTE, Role.CANDIDATE, candidateRelease, "");
      activeRelease = candidateRelease;
      candidateRelease = "";
      fallbackRelease = "";
      enter(State.SERVING, now);
    }
    return drainActions();
  }

  /** This daemon reports why it cannot take over. */
  public List<Action> onTakeoverRejected(Role role, String reason, double now) {
    if (role == Role.CANDIDATE && state == State.CHANGING) {
      abortChange("it cannot take over: " + reason, now);
    } else if (role == Role.CANDIDATE && state == State.ROLLING_BACK) {
      abortRollback("the daemon of the former release cannot take over: " + reason, now);
    }
    return drainActions();
  }

  /** This daemon has exited without being asked to. */
  public List<Action> onExit(Role role, double now) {
    if (role == Role.CANDIDATE) {
      if (state == State.CHANGING) {
        lastProblem = "it died before it served";
        candidateRelease = "";
        enter(State.SERVING, now);
        addAction(Action.Kind.RECORD, role, activeRelease, "change undone: " + lastProblem);
      } else if (state == State.ROLLING_BACK) {
        candidateRelease = "";
        lastProblem = "the daemon of the former release exited during the rollback";
        enter(State.SERVING, now);
        addAction(Action.Kind.RECORD, role, activeRelease, lastProblem);
      }
      return drainActions();
    }
    if (state == State.CHANGING || state == State.ROLLING_BACK) {
      // The candidate detects the exit by itself and serves: it is the host's only daemon now.
      addAction(Action.Kind.PROMOTE, Role.CANDIDATE, candidateRelease, "the active daemon exited");
      fallbackRelease = state == State.CHANGING && !changeIsRollback ? activeRelease : "";
      activeRelease = candidateRelease;
      candidateRelease = "";
      baseline = null;
      probationStart = null;
      boolean changing = state == State.CHANGING;
      enter(changing ? State.PROBATION : State.SERVING, now);
    } else if (state != State.BACKOFF && state != State.DOWN) {
      boolean inProbation = state == State.PROBATION;
      scheduleRestart(
          inProbation ? "the daemon exited during its probation" : "the daemon exited",
          inProbation,
          now);
    }
    return drainActions();
  }

  /**
   * Some time has passed.
   *
   * @param counts answers of the active daemon; null if it has not reported any
   */
  public List<Action> tick(AnswerCounts counts, double now) {
    if (state == State.BACKOFF && now >= stateEnteredAt + backoffSeconds()) {
      enter(State.STARTING, now);
      addAction(Action.Kind.START, Role.ACTIVE, activeRelease, "after the backoff");
    } else if (state == State.STARTING && now > stateEnteredAt + limits.readyTimeoutSeconds()) {
      addAction(Action.Kind.KILL, Role.ACTIVE, activeRelease, "not ready in time");
      scheduleRestart("it was not ready in time", false, now);
    } else if (state == State.CHANGING && now > stateEnteredAt + limits.readyTimeoutSeconds()) {
      abortChange("it was not ready in time", now);
    } else if (state == State.ROLLING_BACK && now > stateEnteredAt + limits.readyTimeoutSeconds()) {
      abortRollback("the daemon of the former release was not ready in time", now);
    } else if (state == State.PROBATION) {
      checkProbation(counts, now);
    } else if (state == State.SERVING && counts != null) {
      if (exitsInARow > 0 && now > stateEnteredAt + limits.probationSeconds()) {
        exitsInARow = 0;
      }
      latestCounts = counts;
    }
    return drainActions();
  }

  private void checkProbation(AnswerCounts counts, double now) {
    if (counts != null) {
      probationStart =
          probationStart == null || counts.total() < probationStart.total()
              ? counts
              : probationStart;
      String regression = findRegression(counts.since(probationStart));
      latestCounts = counts;
      if (regression != null && !fallbackRelease.isEmpty()) {
        startRollback(regression, now);
        return;
      }
    }
    if (now > stateEnteredAt + limits.probationSeconds()) {
      lastProblem = "";
      enter(State.SERVING, now);
      addAction(Action.Kind.RECORD, Role.ACTIVE, activeRelease, "held its probation");
    }
  }

  /**
   * Which share of answers has become worse than with the former release; null if none has, or if
   * there are too few answers to compare.
   */
  private String findRegression(AnswerCounts current) {
    if (current.total() < limits.minAnswers() || baseline == null) {
      return null; // there is no baseline if the former daemon exited during the change
    }
    double failedShare = (double) current.failed() / current.total();
    double rejectedShare = (double) current.rejected() / current.total();
    double failedShareBefore =
        baseline.total() == 0 ? 0 : (double) baseline.failed() / baseline.total();
    double rejectedShareBefore =
        baseline.total() == 0 ? 0 : (double) baseline.rejected() / baseline.total();
    if (failedShare > failedShareBefore + limits.maxFailedIncrease()) {
      return String.format(
          Locale.ROOT, "%.1f%% failed, %.1f%% before", 100 * failedShare, 100 * failedShareBefore);
    }
    if (rejectedShare > rejectedShareBefore + limits.maxRejectedIncrease()) {
      return String.format(
          Locale.ROOT,
          "%.1f%% rejected, %.1f%% before",
          100 * rejectedShare,
          100 * rejectedShareBefore);
    }
    return null;
  }

  /**
   * Aborts a change by killing the candidate: it owns no keys yet, or its end returns those that it
   * has received.
   */
  private void abortChange(String reason, double now) {
    lastProblem = reason;
    addAction(Action.Kind.KILL, Role.CANDIDATE, candidateRelease, reason);
    candidateRelease = "";
    enter(State.SERVING, now);
    addAction(Action.Kind.RECORD, Role.ACTIVE, activeRelease, "change undone: " + reason);
  }

  private void startRollback(String reason, double now) {
    lastProblem = reason;
    candidateRelease = fallbackRelease;
    enter(State.ROLLING_BACK, now);
    addAction(
        Action.Kind.START,
        Role.CANDIDATE,
        fallbackRelease,
        "rollback from " + activeRelease + ": " + reason);
  }

  /** Aborts a rollback that failed: the active daemon continues to serve. */
  private void abortRollback(String reason, double now) {
    lastProblem = reason;
    addAction(Action.Kind.KILL, Role.CANDIDATE, candidateRelease, reason);
    candidateRelease = "";
    enter(State.SERVING, now);
    addAction(Action.Kind.RECORD, Role.ACTIVE, activeRelease, reason);
  }

  private void scheduleRestart(String reason, boolean rollBackAtOnce, double now) {
    lastProblem = activeRelease + ": " + reason;
    exitsInARow++;
    if (!fallbackRelease.isEmpty()
        && !fallbackRelease.equals(activeRelease)
        && (rollBackAtOnce || exitsInARow >= limits.exitsBeforeRollback())) {
      addAction(
          Action.Kind.RECORD,
          Role.ACTIVE,
          fallbackRelease,
          "rolled back from " + activeRelease + ": " + reason);
      activeRelease = fallbackRelease;
      fallbackRelease = "";
      exitsInARow = 1;
    }
    enter(State.BACKOFF, now);
    addAction(
        Action.Kind.RECORD,
        Role.ACTIVE,
        activeRelease,
        String.format(
            Locale.ROOT, "restart after a backoff of %.1f s: %s", backoffSeconds(), reason));
  }

  /** Seconds of the current backoff: doubled by each further exit in a row, up to the maximum. */
  double backoffSeconds() {
    return Math.min(
        limits.maxBackoffSeconds(),
        limits.initialBackoffSeconds() * Math.pow(2, Math.max(0, exitsInARow - 1)));
  }
}
