package wharftrestle.supervisor;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * What the keeper of a box does next. It owns which release is to run, which one was good last, and
 * how often a daemon has died. Time is passed in, in seconds on a clock that never goes back. What
 * is to be done comes back as {@link Act}s; each is written to the journal before it is done. It
 * must never have more than two daemons, end the only one that serves while a change is going on,
 * or start one that dies again and again without a pause that grows.
 *
 * <pre>
 * state      means                                             goes to
 * DOWN       nothing runs                                      STARTING (run), BACKOFF (it died)
 * STARTING   the only daemon was started                       SERVING (ready), BACKOFF (died, not ready in time)
 * SERVING    one daemon serves                                 CHANGING (change, back), BACKOFF (it died)
 * CHANGING   a second one is to take over                      PROBATION (ready), SERVING (undone: died, refused, late),
 *                                                              PROBATION or BACKOFF where the first one died meanwhile
 * PROBATION  the second one serves, the first one is gone or   SERVING (it held), ROLLING_BACK (worse), BACKOFF (it died)
 *            ends
 * ROLLING_BACK  the release before it is to take over again       SERVING (ready, or cannot), BACKOFF (it died)
 * BACKOFF     nothing runs, for a while                         STARTING
 * </pre>
 */
public final class SupervisorStateMachine {

  /** How far it is; the table says what each means. */
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

  private static final Map<State, Set<State>> NEXT = new EnumMap<>(State.class);

  static {
    NEXT.put(State.DOWN, EnumSet.of(State.STARTING, State.SERVING, State.PROBATION));
    NEXT.put(State.STARTING, EnumSet.of(State.SERVING, State.BACKOFF));
    NEXT.put(State.SERVING, EnumSet.of(State.CHANGING, State.BACKOFF));
    NEXT.put(State.CHANGING, EnumSet.of(State.PROBATION, State.SERVING, State.BACKOFF));
    NEXT.put(State.PROBATION, EnumSet.of(State.SERVING, State.ROLLING_BACK, State.BACKOFF));
    NEXT.put(State.ROLLING_BACK, EnumSet.of(State.SERVING, State.BACKOFF));
    NEXT.put(State.BACKOFF, EnumSet.of(State.STARTING));
  }

  /**
   * The operators' limits.
   *
   * @param ready seconds in which a daemon has to serve
   * @param probation seconds for which a new release is watched
   * @param failed part of answers by which failures may grow, 0 to 1
   * @param refused part of answers by which refusals may grow, 0 to 1
   * @param least answers in the probation below which its figures say nothing
   * @param pause seconds of the first pause after a death
   * @param mostPause seconds of the longest
   * @param deaths deaths in a row after which the release before it is started
   */
  public record Limits(
      double ready,
      double probation,
      double failed,
      double refused,
      long least,
      double pause,
      double mostPause,
      int deaths) {}

  /** Answers of a daemon since its start. */
  public record Figures(long served, long refused, long failed) {
    long all() {
      return served + refused + failed;
    }

    Figures since(Figures before) {
      return new Figures(served - before.served, refused - before.refused, failed - before.failed);
    }
  }

  /** One of the two daemons a box may have. */
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

  /** What is to be done, with which release and daemon, and why; in this order. */
  public record Act(Kind kind, Role role, String release, String why) {
    /** The kinds of acts. */
    public enum Kind {
      /** Start a daemon of this release in this role. */
      START,
      /** Give it the notice to leave. */
      TERM,
      /** End it at once: it owns nothing. */
      KILL,
      /** The one that came serves from now on. */
      PROMOTE,
      /** Only for the journal and people. */
      SAY
    }
  }

  private final Limits limits;
  private State state = State.DOWN;
  private String release = ""; // that is to serve
  private String good = ""; // that served last and held
  private String candidate = ""; // that comes
  private boolean forGood; // what comes is not taken back to what serves now
  private String reason = ""; // of the last thing that went wrong
  private double since; // of this state
  private int deaths; // in a row, of the release that is to serve
  private Figures usual; // of the release before, over its last stretch
  private Figures atStart; // of the new one when its probation began
  private Figures last;
  private final List<Act> acts = new ArrayList<>();

  public SupervisorStateMachine(Limits limits) {
    this.limits = limits;
  }

  public State state() {
    return state;
  }

  /** The release that is to serve. */
  public String release() {
    return release;
  }

  /** The release to go back to; empty for none. */
  public String good() {
    return good;
  }

  /** The release that is to take over; empty for none. */
  public String candidate() {
    return candidate;
  }

  /** Why the last change was undone, or the last daemon started again; empty for nothing. */
  public String reason() {
    return reason;
  }

  private List<Act> done() {
    List<Act> all = List.copyOf(acts);
    acts.clear();
    return all;
  }

  private void enter(State next, double now) {
    if (!NEXT.get(state).contains(next)) {
      throw new IllegalStateException("no way from " + state + " to " + next);
    }
    state = next;
    since = now;
  }

  private void act(Act.Kind kind, Role role, String which, String why) {
    acts.add(new Act(kind, role, which, why));
  }

  // ---- What operators ask for ----

  /** The keeper begins with nothing running. */
  public List<Act> run(String first, String before, double now) {
    release = first;
    good = before;
    enter(State.STARTING, now);
    act(Act.Kind.START, Role.ACTIVE, first, "the keeper began");
    return done();
  }

  /**
   * The keeper begins and finds a daemon that serves; one that came beside it was ended, or is in
   * its probation.
   */
  public List<Act> adopt(String serves, String before, boolean inProbation, double now) {
    release = serves;
    good = before;
    enter(inProbation && !before.isEmpty() ? State.PROBATION : State.SERVING, now);
    act(Act.Kind.SAY, Role.ACTIVE, serves, "found running and adopted");
    return done();
  }

  /** Why a change cannot begin now; empty where it can. */
  public String against(String to) {
    return state != State.SERVING
        ? "a change can begin while one daemon serves; now it is " + state.publishedName()
        : to.equals(release) ? to + " serves already" : "";
  }

  /** Changes to another release; only where nothing is {@link #against} it. */
  public List<Act> change(String to, double now) {
    return change(to, false, now);
  }

  /**
   * The same; {@code back} where what serves now is what was found bad: there is no way back to it.
   */
  public List<Act> change(String to, boolean back, double now) {
    forGood = back;
    candidate = to;
    reason = "";
    enter(State.CHANGING, now);
    act(Act.Kind.START, Role.CANDIDATE, to, "change from " + release);
    return done();
  }

  /**
   * Takes back what is going on, or the last change. Empty where there is nothing to go back to.
   */
  public List<Act> back(double now) {
    if (state == State.CHANGING) {
      undo("asked for", now);
    } else if (state == State.PROBATION) {
      takeBack("asked for", now);
    } else if (state == State.SERVING && !good.isEmpty() && !good.equals(release)) {
      return change(good, now);
    }
    return done();
  }

  // ---- What becomes of the daemons ----

  /** This daemon says that it serves. */
  public List<Act> ready(Role role, double now) {
    if (state == State.STARTING && role == Role.ACTIVE) {
      enter(State.SERVING, now);
      act(Act.Kind.SAY, role, release, "serves");
    } else if (state == State.CHANGING && role == Role.CANDIDATE) {
      String before = release;
      act(Act.Kind.TERM, Role.ACTIVE, before, candidate + " serves");
      act(Act.Kind.PROMOTE, Role.CANDIDATE, candidate, "");
      good = forGood ? "" : before;
      release = candidate;
      candidate = "";
      deaths = 0;
      usual = last;
      atStart = null;
      enter(State.PROBATION, now);
    } else if (state == State.ROLLING_BACK && role == Role.CANDIDATE) {
      act(Act.Kind.TERM, Role.ACTIVE, release, "taken back: " + reason);
      act(Act.Kind.PROMOTE, Role.CANDIDATE, candidate, "");
      release = candidate;
      candidate = "";
      good = "";
      enter(State.SERVING, now);
    }
    return done();
  }

  /** This daemon cannot take over, and says why. */
  public List<Act> refused(Role role, String why, double now) {
    if (role == Role.CANDIDATE && state == State.CHANGING) {
      undo("it cannot take over: " + why, now);
    } else if (role == Role.CANDIDATE && state == State.ROLLING_BACK) {
      stay("cannot go back: " + why, now);
    }
    return done();
  }

  /** This daemon has ended by itself. */
  public List<Act> died(Role role, double now) {
    if (role == Role.CANDIDATE) {
      if (state == State.CHANGING) {
        reason = "it died before it served";
        candidate = "";
        enter(State.SERVING, now);
        act(Act.Kind.SAY, role, release, "change undone: " + reason);
      } else if (state == State.ROLLING_BACK) {
        candidate = "";
        reason = "the release before died as it came back";
        enter(State.SERVING, now);
        act(Act.Kind.SAY, role, release, reason);
      }
      return done();
    }
    if (state == State.CHANGING || state == State.ROLLING_BACK) {
      // The one that comes finds out by itself, and serves: it is the box's only daemon now.
      act(Act.Kind.PROMOTE, Role.CANDIDATE, candidate, "the one that served has died");
      good = state == State.CHANGING && !forGood ? release : "";
      release = candidate;
      candidate = "";
      usual = null;
      atStart = null;
      boolean change = state == State.CHANGING;
      enter(change ? State.PROBATION : State.SERVING, now);
    } else if (state != State.BACKOFF && state != State.DOWN) {
      boolean watched = state == State.PROBATION;
      pause(watched ? "it died in its probation" : "it died", watched, now);
    }
    return done();
  }

  /** A while has passed; the figures of the one that serves, or null where it did not say. */
  public List<Act> tick(Figures figures, double now) {
    if (state == State.BACKOFF && now >= since + pauseFor()) {
      enter(State.STARTING, now);
      act(Act.Kind.START, Role.ACTIVE, release, "after a pause");
    } else if (state == State.STARTING && now > since + limits.ready()) {
      act(Act.Kind.KILL, Role.ACTIVE, release, "not ready in time");
      pause("it was not ready in time", false, now);
    } else if (state == State.CHANGING && now > since + limits.ready()) {
      undo("it was not ready in time", now);
    } else if (state == State.ROLLING_BACK && now > since + limits.ready()) {
      stay("the release before was not ready in time", now);
    } else if (state == State.PROBATION) {
      watch(figures, now);
    } else if (state == State.SERVING && figures != null) {
      if (deaths > 0 && now > since + limits.probation()) {
        deaths = 0;
      }
      last = figures;
    }
    return done();
  }

  private void watch(Figures figures, double now) {
    if (figures != null) {
      atStart = atStart == null || figures.all() < atStart.all() ? figures : atStart;
      String worse = worse(figures.since(atStart));
      last = figures;
      if (worse != null && !good.isEmpty()) {
        takeBack(worse, now);
        return;
      }
    }
    if (now > since + limits.probation()) {
      reason = "";
      enter(State.SERVING, now);
      act(Act.Kind.SAY, Role.ACTIVE, release, "held its probation");
    }
  }

  /**
   * What is worse than with the release before it; null where nothing is, or too little was seen to
   * say.
   */
  private String worse(Figures now) {
    if (now.all() < limits.least() || usual == null) {
      return null; // also where the one before died within the change
    }
    double failed = (double) now.failed() / now.all();
    double refused = (double) now.refused() / now.all();
    double failedBefore = usual.all() == 0 ? 0 : (double) usual.failed() / usual.all();
    double refusedBefore = usual.all() == 0 ? 0 : (double) usual.refused() / usual.all();
    if (failed > failedBefore + limits.failed()) {
      return String.format(
          Locale.ROOT, "%.1f%% failed, %.1f%% before", 100 * failed, 100 * failedBefore);
    }
    if (refused > refusedBefore + limits.refused()) {
      return String.format(
          Locale.ROOT, "%.1f%% were refused, %.1f%% before", 100 * refused, 100 * refusedBefore);
    }
    return null;
  }

  /**
   * The change is not made: the one that comes owns nothing, or gives what it was given back with
   * its end.
   */
  private void undo(String why, double now) {
    reason = why;
    act(Act.Kind.KILL, Role.CANDIDATE, candidate, why);
    candidate = "";
    enter(State.SERVING, now);
    act(Act.Kind.SAY, Role.ACTIVE, release, "change undone: " + why);
  }

  private void takeBack(String why, double now) {
    reason = why;
    candidate = good;
    enter(State.ROLLING_BACK, now);
    act(Act.Kind.START, Role.CANDIDATE, good, "back from " + release + ": " + why);
  }

  /** There is no way back now: what serves goes on serving, and people are told. */
  private void stay(String why, double now) {
    reason = why;
    act(Act.Kind.KILL, Role.CANDIDATE, candidate, why);
    candidate = "";
    enter(State.SERVING, now);
    act(Act.Kind.SAY, Role.ACTIVE, release, why);
  }

  private void pause(String why, boolean backAtOnce, double now) {
    reason = release + ": " + why;
    deaths++;
    if (!good.isEmpty() && !good.equals(release) && (backAtOnce || deaths >= limits.deaths())) {
      act(Act.Kind.SAY, Role.ACTIVE, good, "goes back from " + release + ": " + why);
      release = good;
      good = "";
      deaths = 1;
    }
    enter(State.BACKOFF, now);
    act(
        Act.Kind.SAY,
        Role.ACTIVE,
        release,
        String.format(Locale.ROOT, "starts again after %.1f s: %s", pauseFor(), why));
  }

  /** Seconds of the pause now: they double with each death in a row, up to the longest. */
  double pauseFor() {
    return Math.min(limits.mostPause(), limits.pause() * Math.pow(2, Math.max(0, deaths - 1)));
  }
}
