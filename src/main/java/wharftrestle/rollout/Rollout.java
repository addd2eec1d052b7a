package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One rolling change: which box is told what next, and what becomes of the change. It owns the
 * stage, the tries and the releases to go back to. What boxes are is read from what they show, not
 * from what they were told: a box that came back cold with the old release is behind again, one
 * that says it is changed and is not never counts. Time is passed in, in seconds on a clock that
 * never goes back. It must never have more boxes away than planned, tell a box two releases in one
 * epoch, take a box of a rule of {@link RolloutPlan#against}, or go on without a verdict.
 *
 * <pre>
 * state      means                                              goes to
 * CHANGING   boxes of this stage are told to go                 HOLDING (all of them have gone), RETURNING or HELD (worse),
 *                                                               HELD (boxes failed, or cut off), PAUSED
 * HOLDING    the stage is watched                               CHANGING (next stage), DONE, RETURNING or HELD (worse),
 *                                                               HELD (nobody can tell in time), PAUSED
 * HELD       waits for an operator, who is told why             CHANGING or DONE (go), RETURNING (back), ABORTED
 * PAUSED     an operator wants nothing begun                    CHANGING or HOLDING (go), RETURNING (back), ABORTED
 * RETURNING  changed boxes are taken back, newest first         UNDONE (all are back), ABORTED
 * DONE       all boxes that a roll may change have the release
 * UNDONE     all boxes have what they had before
 * ABORTED    left as it is
 * </pre>
 */
public final class Rollout {

  /** How far it is; the table says what each means. */
  public enum State {
    CHANGING,
    HOLDING,
    HELD,
    PAUSED,
    RETURNING,
    DONE,
    UNDONE,
    ABORTED;

    /** True where nothing more will come of it. */
    public boolean over() {
      return this == DONE || this == UNDONE || this == ABORTED;
    }
  }

  private static final Map<State, Set<State>> NEXT = new EnumMap<>(State.class);

  static {
    NEXT.put(
        State.CHANGING,
        EnumSet.of(State.HOLDING, State.RETURNING, State.HELD, State.PAUSED, State.ABORTED));
    NEXT.put(
        State.HOLDING,
        EnumSet.of(
            State.CHANGING, State.DONE, State.RETURNING, State.HELD, State.PAUSED, State.ABORTED));
    NEXT.put(State.HELD, EnumSet.of(State.CHANGING, State.DONE, State.RETURNING, State.ABORTED));
    NEXT.put(
        State.PAUSED, EnumSet.of(State.CHANGING, State.HOLDING, State.RETURNING, State.ABORTED));
    NEXT.put(State.RETURNING, EnumSet.of(State.UNDONE, State.ABORTED));
    NEXT.put(State.DONE, EnumSet.noneOf(State.class));
    NEXT.put(State.UNDONE, EnumSet.noneOf(State.class));
    NEXT.put(State.ABORTED, EnumSet.noneOf(State.class));
  }

  /**
   * What a box shows now.
   *
   * @param contact answers this driver
   * @param acts the release that its daemon is, by its own digest; empty where that is none known
   * @param settled one daemon serves, no change is going on
   * @param target the release it was last told in the epoch that steers; empty for none
   * @param attempt how often it was told
   * @param failed why its last change was undone by itself; empty for nothing
   */
  public record Shows(
      boolean contact, String acts, boolean settled, String target, int attempt, String failed) {}

  /** What is to be done; each is written to the journal before it is done. */
  public sealed interface Act {
    /** Tell a box to go to a release. */
    record Order(String box, String to, String why) implements Act {}

    /**
     * Claim a new epoch: a box that was told one release may be told another only in another epoch.
     */
    record Claim(String why) implements Act {}

    /** A stage begins: the judge begins anew. */
    record Stage(int stage) implements Act {}

    /**
     * A box's keeper undid its change by itself: it died, was not ready, or did worse than before
     * there.
     */
    record Undone(String box, String why) implements Act {}

    /** Its state changed; for the journal and people. */
    record Enter(State state, int stage, String why) implements Act {}
  }

  /** What a journal keeps of it. */
  public record Kept(
      State state,
      State resumed,
      int stage,
      Map<String, String> from,
      Map<String, Integer> tries,
      String why) {}

  private final RolloutPlan plan;
  private State state = State.CHANGING;
  private State resumed = State.CHANGING; // where a pause goes on
  private int stage;
  private double since;
  private String why = "";
  private boolean begun;
  private final Map<String, String> from =
      new LinkedHashMap<>(); // by box, in the order in which they were told
  private final Map<String, Integer> tries = new LinkedHashMap<>();
  private final Map<String, Integer> told = new HashMap<>(); // orders in this epoch
  private final Map<String, Integer> undone =
      new HashMap<>(); // attempts of it whose failure was seen
  private final Map<String, Double> orderedAt = new LinkedHashMap<>();
  private final Map<String, String> given =
      new HashMap<>(); // release last told by this driver in this epoch
  private final List<Act> acts = new ArrayList<>();

  /** Boxes whose tries are spent, after which no further one is tried. */
  private static final int MOST_FAILED = 2;

  /** Seconds after an order in which a box that shows nothing of it is away all the same. */
  static final double ORDER_AWAY = 10;

  /** The same for one that is out of contact since, where the plan goes on without those. */
  static final double CUT_AWAY = 120;

  public Rollout(RolloutPlan plan, double now) {
    this.plan = plan;
    since = now;
  }

  /** Goes on with what a journal kept; a stage that was watched is watched anew. */
  public Rollout(RolloutPlan plan, Kept kept, double now) {
    this(plan, now);
    stage = kept.stage();
    from.putAll(kept.from());
    tries.putAll(kept.tries());
    why = kept.why();
    state = kept.state();
    resumed = kept.resumed();
    // Whom the driver before told is away until it shows otherwise: an order may just have gone
    // out.
    from.forEach(
        (box, before) -> {
          given.put(box, state == State.RETURNING ? before : plan.to());
          orderedAt.put(box, now);
        });
  }

  public State state() {
    return state;
  }

  /** The stage, from 0. */
  public int stage() {
    return stage;
  }

  /** Why it is where it is; empty for nothing special. */
  public String why() {
    return why;
  }

  /** What a journal keeps. */
  public Kept kept() {
    return new Kept(
        state, resumed, stage, new LinkedHashMap<>(from), new LinkedHashMap<>(tries), why);
  }

  /** Seconds in this state. */
  public double inState(double now) {
    return now - since;
  }

  private void enter(State next, String reason, double now) {
    if (!NEXT.get(state).contains(next)) {
      throw new IllegalStateException("no way from " + state + " to " + next);
    }
    state = next;
    since = now;
    why = reason;
    acts.add(new Act.Enter(next, stage, reason));
  }

  private List<Act> done() {
    List<Act> all = List.copyOf(acts);
    acts.clear();
    return all;
  }

  // ---- Operators ----

  /** Nothing more is begun. Empty where it cannot be paused now. */
  public List<Act> pause(double now) {
    if (state == State.CHANGING || state == State.HOLDING) {
      resumed = state;
      enter(State.PAUSED, "an operator paused it", now);
    }
    return done();
  }

  /**
   * Goes on from a pause; from HELD with the same stage, or the next one where this one's boxes
   * have gone; while boxes are taken back, those that failed are tried anew.
   */
  public List<Act> go(Map<String, Shows> boxes, double now) {
    if (state == State.RETURNING) {
      tries.clear(); // boxes that could not be taken back are tried anew
    } else if (state == State.PAUSED) {
      enter(resumed, "an operator said go", now);
    } else if (state == State.HELD) {
      tries.clear();
      boolean last = stage + 1 == plan.stages().size();
      boolean gone = behind(boxes).isEmpty();
      enter(gone && last ? State.DONE : State.CHANGING, "an operator said go", now);
      if (gone && !last) {
        nextStage();
      } else if (!gone) {
        acts.add(new Act.Stage(stage));
      }
    }
    return done();
  }

  /** Takes all changed boxes back. Empty where that cannot be now. */
  public List<Act> back(String reason, double now) {
    if (!state.over() && state != State.RETURNING) {
      acts.add(new Act.Claim(reason));
      enter(State.RETURNING, reason, now);
      tries.clear();
      claimed();
    }
    return done();
  }

  /** Leaves all as it is. */
  public List<Act> abort(double now) {
    if (!state.over()) {
      enter(State.ABORTED, "an operator ended it", now);
    }
    return done();
  }

  // ---- What is seen ----

  /** A new epoch was granted: what was told in the one before counts for nothing. */
  public void claimed() {
    undone.clear();
    told.clear(); // what was told before may still be going on, so when it was told stands
  }

  /**
   * A box said that it did not obey the order it was just given: it may be told anew, at no cost.
   */
  public void notObeyed(String box) {
    orderedAt.remove(box);
    given.remove(box);
    told.merge(box, -1, Integer::sum);
    tries.computeIfPresent(box, (name, many) -> many - 1);
  }

  /** True where a box has the release, by what its daemon is. */
  private boolean has(String release, Shows shows) {
    return shows != null && shows.contact() && shows.settled() && release.equals(shows.acts());
  }

  /**
   * Boxes that are away: in a change, or told and nothing seen of it yet. One that went out of
   * contact after it was told may be in its change still: it is away until it is heard, or for a
   * while where the plan goes on without those that are cut.
   */
  Set<String> away(Map<String, Shows> boxes, double now) {
    Set<String> all = new LinkedHashSet<>();
    for (RolloutPlan.Box box : plan.boxes()) {
      Shows shows = boxes.get(box.name());
      double ago = now - orderedAt.getOrDefault(box.name(), Double.NEGATIVE_INFINITY);
      boolean contact = shows != null && shows.contact();
      boolean open =
          ago < Double.POSITIVE_INFINITY
              && !(contact && has(given.get(box.name()), shows))
              && !(contact
                  && shows.attempt() >= told.getOrDefault(box.name(), 0)
                  && !shows.failed().isEmpty());
      boolean cutAway = !contact && (plan.whenCut() == RolloutPlan.WhenCut.HOLD || ago < CUT_AWAY);
      if ((open && (ago < ORDER_AWAY || cutAway)) || (contact && !shows.settled())) {
        all.add(box.name());
      }
    }
    return all;
  }

  private int tried(RolloutPlan.Box box) {
    return tries.getOrDefault(box.name(), 0);
  }

  private Set<String> cut(Map<String, Shows> boxes) {
    Set<String> all = new LinkedHashSet<>();
    for (RolloutPlan.Box box : plan.boxes()) {
      Shows shows = boxes.get(box.name());
      if (shows == null || !shows.contact()) {
        all.add(box.name());
      }
    }
    return all;
  }

  private Set<String> gone(Map<String, Shows> boxes) {
    Set<String> all = new LinkedHashSet<>();
    for (RolloutPlan.Box box : plan.boxes()) {
      // One that is cut off and was seen with the release counts: it was told, and nobody takes it
      // back unasked.
      Shows shows = boxes.get(box.name());
      if (has(plan.to(), shows)
          || (shows != null && !shows.contact() && plan.to().equals(shows.acts()))) {
        all.add(box.name());
      }
    }
    return all;
  }

  /** Boxes that this stage still has to change. */
  private List<RolloutPlan.Box> behind(Map<String, Shows> boxes) {
    Set<String> gone = gone(boxes);
    int target = Math.min(plan.stages().get(stage).target(plan.boxes().size()), plan.movable());
    List<RolloutPlan.Box> wanted = plan.wanted(stage, gone);
    return wanted.subList(0, Math.max(0, Math.min(wanted.size(), target - gone.size())));
  }

  // ---- What comes next ----

  /**
   * A while has passed.
   *
   * @param boxes what they show
   * @param verdict of the judge on this stage
   * @param maySteer an order may go out now
   */
  public List<Act> look(
      Map<String, Shows> boxes, CanaryAnalysis.Verdict verdict, boolean maySteer, double now) {
    if (!begun) {
      begun = true;
      acts.add(new Act.Stage(stage));
    }
    boxes.forEach(
        (box, shows) -> {
          boolean ours =
              shows.contact()
                  && shows.settled()
                  && plan.to().equals(shows.target())
                  && !shows.failed().isEmpty();
          if (ours && undone.getOrDefault(box, 0) < shows.attempt()) {
            undone.put(box, shows.attempt());
            acts.add(new Act.Undone(box, shows.failed()));
          }
        });
    if ((state == State.CHANGING || state == State.HOLDING)
        && verdict.word() == CanaryAnalysis.Word.WORSE) {
      if (plan.whenWorse() == RolloutPlan.WhenWorse.BACK) {
        acts.addAll(back("stage " + (stage + 1) + " does worse: " + verdict.why(), now));
      } else {
        enter(State.HELD, "stage " + (stage + 1) + " does worse: " + verdict.why(), now);
      }
    }
    switch (state) {
      case CHANGING -> change(boxes, maySteer, now);
      case HOLDING -> hold(boxes, verdict, now);
      case RETURNING -> takeBack(boxes, maySteer, now);
      default -> {}
    }
    return done();
  }

  private void tell(RolloutPlan.Box box, String to, String reason, double now) {
    tries.merge(box.name(), 1, Integer::sum);
    told.merge(box.name(), 1, Integer::sum);
    given.put(box.name(), to);
    orderedAt.put(box.name(), now);
    acts.add(new Act.Order(box.name(), to, reason));
  }

  private void change(Map<String, Shows> boxes, boolean maySteer, double now) {
    List<RolloutPlan.Box> behind = behind(boxes);
    Set<String> away = away(boxes, now);
    if (behind.isEmpty()) {
      if (away.isEmpty()) {
        enter(State.HOLDING, "", now);
      }
      return;
    }
    Set<String> cut = cut(boxes);
    boolean waits = false;
    String stuck = "";
    int failed = 0;
    for (RolloutPlan.Box box : plan.wanted(stage, gone(boxes))) {
      if (away.size() >= Math.min(plan.mostAway(), behind.size())) {
        waits = true;
        break;
      }
      if (away.contains(box.name())) {
        waits = true;
      } else if (cut.contains(box.name())) {
        stuck = stuck.isEmpty() ? box.name() + " cannot be reached" : stuck;
      } else if (tried(box) >= plan.tries()) {
        stuck = box.name() + " failed " + tried(box) + " times: " + boxes.get(box.name()).failed();
        if (++failed >= MOST_FAILED) {
          // Guards against trying a release that cannot go anywhere at every box of the fleet.
          break;
        }
      } else if (!maySteer) {
        waits = true;
      } else {
        String against = against(box, away, cut);
        if (!against.isEmpty()) {
          waits |= !away.isEmpty();
          stuck = stuck.isEmpty() && away.isEmpty() ? box.name() + ": " + against : stuck;
          continue;
        }
        from.putIfAbsent(box.name(), boxes.get(box.name()).acts());
        tell(box, plan.to(), "stage " + (stage + 1), now);
        away.add(box.name());
        waits = true;
      }
    }
    Set<String> silent = new LinkedHashSet<>(away);
    silent.retainAll(cut);
    if (!silent.isEmpty() && silent.size() == away.size()) {
      waits = false;
      stuck =
          stuck.isEmpty()
              ? String.join(", ", silent) + " was told and cannot be reached since"
              : stuck;
    }
    if (failed >= MOST_FAILED && away.isEmpty()) {
      enter(State.HELD, failed + " boxes could not go, at last " + stuck, now);
    } else if (!waits && !stuck.isEmpty()) {
      boolean onlyCut = behind.stream().allMatch(box -> cut.contains(box.name()));
      if (onlyCut && plan.whenCut() == RolloutPlan.WhenCut.GO) {
        enter(State.HOLDING, stuck + "; it goes on without", now);
      } else if (now - since > plan.patience()) {
        enter(State.HELD, stuck, now);
      }
    }
  }

  /**
   * A box of a tenant or small zone is not taken while others of it are away, or cannot be reached.
   */
  private String against(RolloutPlan.Box box, Set<String> away, Set<String> cut) {
    String against = plan.against(box, away);
    if (!against.isEmpty()) {
      return against;
    }
    for (String tenant : box.tenants()) {
      @SuppressWarnings("ReferenceEquality") // box is one of these very objects
      boolean served =
          plan.boxes().stream()
              .anyMatch(
                  each ->
                      each != box
                          && each.tenants().contains(tenant)
                          && !away.contains(each.name())
                          && !cut.contains(each.name()));
      if (!served) {
        return "no other box that is in contact owns " + tenant;
      }
    }
    return "";
  }

  private void nextStage() {
    stage++;
    acts.add(new Act.Stage(stage));
  }

  private void hold(Map<String, Shows> boxes, CanaryAnalysis.Verdict verdict, double now) {
    double held = now - since;
    double hold = plan.stages().get(stage).hold();
    boolean cutOff =
        plan.whenCut() == RolloutPlan.WhenCut.HOLD && cut(boxes).size() * 2 >= plan.boxes().size();
    if (!behind(boxes).isEmpty() && plan.whenCut() == RolloutPlan.WhenCut.HOLD) {
      enter(State.CHANGING, "a box of this stage is behind again", now);
      return;
    }
    boolean last = stage + 1 == plan.stages().size();
    // Once no old box is left there is nothing to hold the new ones against: deaths and broken
    // rules still count.
    boolean alone = last && gone(boxes).size() + cut(boxes).size() >= plan.boxes().size();
    if (held >= hold && !cutOff && (verdict.word() == CanaryAnalysis.Word.SAME || alone)) {
      if (last) {
        enter(State.DONE, "", now);
      } else {
        enter(State.CHANGING, verdict.why(), now);
        nextStage();
      }
    } else if (held >= hold + plan.patience()) {
      enter(
          State.HELD,
          "nobody can tell whether stage " + (stage + 1) + " does worse: " + verdict.why(),
          now);
    }
  }

  /**
   * Newest first, with the same care; a box that cannot be reached is waited for, and the roll is
   * not over without it.
   */
  private void takeBack(Map<String, Shows> boxes, boolean maySteer, double now) {
    Set<String> away = away(boxes, now);
    Set<String> cut = cut(boxes);
    List<String> order = new ArrayList<>(from.keySet());
    boolean all = true;
    String stuck = "";
    for (int i = order.size() - 1; i >= 0; i--) {
      RolloutPlan.Box box = plan.box(order.get(i));
      String to = from.get(box.name());
      Shows shows = boxes.get(box.name());
      if (has(to, shows)) {
        continue;
      }
      all = false;
      if (cut.contains(box.name())) {
        stuck = box.name() + " cannot be reached, and is taken back when it is heard";
      } else if (!away.contains(box.name())
          && maySteer
          && tried(box) < plan.tries()
          && against(box, away, cut).isEmpty()) {
        tell(box, to, why, now);
        away.add(box.name());
      } else if (tried(box) >= plan.tries() && !away.contains(box.name())) {
        stuck = box.name() + " could not be taken back in " + tried(box) + " tries";
      }
    }
    if (all && away.isEmpty()) {
      enter(State.UNDONE, why, now);
    } else if (!stuck.isEmpty() && !why.contains(stuck)) {
      why = why.split("; still: ")[0] + "; still: " + stuck;
      acts.add(new Act.Enter(state, stage, why));
    }
  }
}
