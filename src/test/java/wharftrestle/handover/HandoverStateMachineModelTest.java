package wharftrestle.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wharftrestle.handover.HandoverStateMachine.Act;
import wharftrestle.handover.HandoverStateMachine.Event;
import wharftrestle.handover.HandoverStateMachine.State;

/**
 * Explores the shipped table of a hand-over over all interleavings: three processes of one box, one
 * key, links that keep their order, kills, stalls (a process that is not scheduled, for as long as
 * the search likes) and withdrawals. Checked in every state: the key runs once while a process
 * lives that knew of its run, one process owns at most, and where nothing can happen any more
 * somebody serves. Each seeded bug has to be found by it.
 */
class HandoverStateMachineModelTest {
  private static final int PROCESSES = 3;

  /** What goes wrong in a seeded bug. */
  enum Bug {
    NONE,
    OWNS_BEFORE_YOURS,
    OPEN_KEYS_NOT_TOLD,
    SETTLED_NOT_FOLLOWED,
    TAKES_BACK_FROM_THE_SILENT,
    RUNS_UNTOLD,
    STARTS_BESIDE_THE_CEDED,
    RUNS_WITHOUT_ASKING,
    SERVES_NOT_AGAIN,
    KEEPS_OWNING,
    OWNS_WHAT_WAS_WITHDRAWN
  }

  private enum Knows {
    NOTHING,
    OPEN,
    OVER
  }

  private record Word(Event event, boolean key, boolean over) {
    static Word of(Event event) {
      return new Word(event, false, false);
    }
  }

  private static final class ModelProcess {
    State state;
    int peer = -1; // at the other end of its link
    boolean alive;
    boolean listens;
    boolean holds; // has known all keys: while it lives nobody starts without them
    boolean tells; // what settles is told to the peer
    boolean linked; // to a process that took over or is taken over from: runs and ends are told
    boolean asks; // a try of the key waits for the other's word
    Knows knows = Knows.NOTHING;

    ModelProcess copy() {
      ModelProcess that = new ModelProcess();
      that.state = state;
      that.peer = peer;
      that.alive = alive;
      that.listens = listens;
      that.holds = holds;
      that.tells = tells;
      that.linked = linked;
      that.asks = asks;
      that.knows = knows;
      return that;
    }

    @Override
    public String toString() {
      return alive
          ? state
              + ">"
              + peer
              + (listens ? "l" : "")
              + (holds ? "h" : "")
              + (tells ? "t" : "")
              + (linked ? "k" : "")
              + (asks ? "a" : "")
              + knows
          : "-";
    }
  }

  /** One state of all: two with the same text are the same. */
  private static final class World {
    final ModelProcess[] all = new ModelProcess[PROCESSES];

    @SuppressWarnings("unchecked")
    final ArrayDeque<Word>[][] words = new ArrayDeque[PROCESSES][PROCESSES];

    int meeting = -1;
    int starts = PROCESSES - 1;
    int kills = 2;
    int tries = 3;
    int overdue = 2;
    int runs;
    String wrong;
    final Bug bug;

    World(Bug bug) {
      this.bug = bug;
      for (int i = 0; i < PROCESSES; i++) {
        all[i] = new ModelProcess();
        for (int j = 0; j < PROCESSES; j++) {
          words[i][j] = new ArrayDeque<>();
        }
      }
      all[0].alive = true;
      all[0].state = State.ALONE;
      all[0].listens = true;
      all[0].holds = true;
      meeting = 0;
    }

    World copy() {
      World that = new World(bug);
      for (int i = 0; i < PROCESSES; i++) {
        that.all[i] = all[i].copy();
        for (int j = 0; j < PROCESSES; j++) {
          that.words[i][j].addAll(words[i][j]);
        }
      }
      that.meeting = meeting;
      that.starts = starts;
      that.kills = kills;
      that.tries = tries;
      that.overdue = overdue;
      that.runs = runs;
      return that;
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(Arrays.toString(all));
      for (int i = 0; i < PROCESSES; i++) {
        for (int j = 0; j < PROCESSES; j++) {
          words[i][j].forEach(
              word -> text.append(word.event()).append(word.key()).append(word.over()).append(' '));
          text.append('|');
        }
      }
      return text.append(meeting)
          .append(' ')
          .append(starts)
          .append(kills)
          .append(tries)
          .append(overdue)
          .append(runs)
          .toString();
    }

    boolean meetable(int i) {
      return i >= 0 && all[i].alive && meeting == i;
    }

    /** Nobody lives that has known all keys, and nobody listens. */
    boolean vacant(int but) {
      for (int i = 0; i < PROCESSES; i++) {
        if (i != but
            && all[i].alive
            && (all[i].listens || (all[i].holds && bug != Bug.STARTS_BESIDE_THE_CEDED))) {
          return false;
        }
      }
      return true;
    }

    void say(int from, Word word) {
      int to = all[from].peer;
      if (to >= 0 && all[to].alive && (all[to].peer == from || word.event() == Event.TAKE)) {
        words[from][to].add(word);
      }
    }

    void take(int i, Event event) {
      ModelProcess process = all[i];
      HandoverStateMachine steps = new HandoverStateMachine(process.state);
      HandoverStateMachine.Step step = steps.take(event);
      process.state = step.to();
      step.acts().forEach(act -> act(i, act));
    }

    void act(int i, Act act) {
      ModelProcess p = all[i];
      switch (act) {
        case SAY_TAKE -> say(i, Word.of(Event.TAKE));
        case SAY_WHO -> say(i, Word.of(Event.WHO_FITS));
        case SAY_TERMS -> say(i, Word.of(Event.TERMS_FIT));
        case SAY_AGREED -> say(i, Word.of(Event.AGREED));
        case SAY_NO_LATER -> say(i, Word.of(Event.NO_LATER));
        case TELL_SETTLED -> {
          p.tells = bug != Bug.SETTLED_NOT_FOLLOWED;
          if (p.knows == Knows.OVER) {
            say(i, new Word(null, true, true));
          }
        }
        case STOP_TELLING -> p.tells = false;
        case SAY_TOLD -> say(i, Word.of(Event.TOLD));
        case SAY_TAKEN -> {
          p.holds = true;
          say(i, Word.of(Event.TAKEN));
        }
        case GIVE -> {
          p.tells = false;
          p.linked = true;
          if (p.knows == Knows.OPEN && bug != Bug.OPEN_KEYS_NOT_TOLD) {
            say(i, new Word(null, true, false));
          }
        }
        case SAY_YOURS -> say(i, Word.of(Event.YOURS));
        case OPEN_RECORDS -> {
          p.linked = true;
          take(i, Event.OPENED);
        }
        case LISTEN -> p.listens = true;
        case SAY_LISTENS -> say(i, Word.of(Event.LISTENS));
        case CEDE -> p.listens = false;
        case SAY_CEDED -> say(i, Word.of(Event.CEDED));
        case TAKE_BACK, OTHER_GONE -> {
          p.linked = false;
          p.holds = true;
        }
        case SERVE -> p.listens = bug != Bug.SERVES_NOT_AGAIN;
        case READY -> meeting = i;
        case LOOK, PAUSE -> p.holds = false;
        case REFUSED, PARK -> {}
        default -> throw new IllegalStateException("not in this model: " + act);
      }
    }

    boolean owns(int i) {
      State state = all[i].state;
      return state.owns()
          || (bug == Bug.KEEPS_OWNING && state == State.GIVEN)
          || (bug == Bug.OWNS_BEFORE_YOURS && state == State.HOLDING);
    }

    /** The key runs at this process. */
    void run(int i) {
      ModelProcess p = all[i];
      runs++;
      if (runs > 1) {
        wrong = "the key ran again at " + i;
      }
      p.knows = Knows.OPEN;
      if (p.linked && owns(i) && bug != Bug.RUNS_UNTOLD) {
        say(i, new Word(null, true, false));
      }
    }

    /** A try of the key comes to this process. */
    void tried(int i) {
      ModelProcess p = all[i];
      if (p.knows != Knows.NOTHING) {
        return; // it repeats what is known
      }
      if (!owns(i) && p.linked && bug != Bug.RUNS_WITHOUT_ASKING) {
        p.asks = true;
        say(i, Word.of(null)); // claim
      } else {
        run(i);
      }
    }

    /** The next word of this link is heard. */
    void hear(int from, int to) {
      Word word = words[from][to].poll();
      ModelProcess p = all[to];
      if (p.peer != from && word.event() != Event.TAKE) {
        return; // of a link that was given up on
      }
      if (word.key()) {
        p.knows = word.over() || p.knows == Knows.OVER ? Knows.OVER : Knows.OPEN;
        p.asks = false;
      } else if (word.event() == null) {
        // A claim: granted where nothing is known, and then it is the other's.
        if (p.knows == Knows.NOTHING) {
          p.knows = Knows.OPEN;
          say(to, Word.of(Event.MET)); // stands for granted, which no step of the hand-over is
        } else {
          say(to, new Word(null, true, p.knows == Knows.OVER));
        }
      } else if (word.event() == Event.MET) {
        if (p.asks) {
          p.asks = false;
          if (p.knows == Knows.NOTHING) {
            run(to);
          }
        }
      } else if (word.event() == Event.TAKE && p.peer != from) {
        if (p.state == State.ALONE) {
          p.peer = from;
          take(to, word.event());
        } else {
          words[from][to].addFirst(word); // its turn comes
        }
      } else if (bug == Bug.OWNS_WHAT_WAS_WITHDRAWN
          && word.event() == Event.NO_LATER
          && p.state == State.HOLDING) {
        take(to, Event.YOURS);
      } else {
        take(to, word.event());
      }
    }

    /** It owns all keys, or knows what their owner knows. */
    boolean full(int i) {
      ModelProcess p = all[i];
      return p.alive && (p.state.owns() || p.state == State.GIVEN || p.state == State.CEDED);
    }

    void kill(int i) {
      all[i].alive = false;
      all[i].listens = false;
      meeting = meeting == i ? -1 : meeting;
      for (int j = 0; j < PROCESSES; j++) {
        words[j][i].clear();
      }
      boolean known = false;
      for (int j = 0; j < PROCESSES; j++) {
        // What an asker was told in part counts for nothing: it owns nothing yet.
        boolean given =
            all[j].alive && words[i][j].stream().anyMatch(word -> word.event() == Event.YOURS);
        known |= full(j) || given;
      }
      if (!known) {
        runs = 0; // the only holder is gone: no design without a disk keeps the key
        for (ModelProcess each : all) {
          each.knows = Knows.NOTHING;
        }
      }
    }

    void check() {
      int owners = 0;
      for (int i = 0; i < PROCESSES; i++) {
        owners += all[i].alive && owns(i) ? 1 : 0;
      }
      if (owners > 1) {
        wrong = "two own the keys";
      }
    }

    /** All that can happen next. */
    List<World> next() {
      List<World> all = new ArrayList<>();
      for (int i = 0; i < PROCESSES; i++) {
        int me = i;
        ModelProcess p = this.all[i];
        if (!p.alive) {
          if (starts > 0 && p.state == null && meetable(meeting)) {
            all.add(
                after(
                    w -> {
                      w.starts--;
                      w.all[me].alive = true;
                      w.all[me].state = State.SEEKING;
                      w.all[me].peer = w.meeting;
                    }));
          }
          continue;
        }
        if (kills > 0) {
          all.add(
              after(
                  w -> {
                    w.kills--;
                    w.kill(me);
                  }));
        }
        if (p.listens && tries > 0) {
          all.add(
              after(
                  w -> {
                    w.tries--;
                    w.tried(me);
                  }));
        }
        if (p.knows == Knows.OPEN && owns(i) && !p.asks) {
          all.add(
              after(
                  w -> {
                    w.all[me].knows = Knows.OVER;
                    if (w.all[me].tells) {
                      w.say(me, new Word(null, true, true));
                    }
                  }));
        }
        local(me, p, all);
        for (int j = 0; j < PROCESSES; j++) {
          int from = j;
          Word first = words[j][i].peek();
          boolean waits =
              first != null && first.event() == Event.TAKE && p.peer != j && p.state != State.ALONE;
          if (first != null && !waits) {
            all.add(after(w -> w.hear(from, me)));
          }
        }
        if (p.peer >= 0 && !this.all[p.peer].alive && words[p.peer][i].isEmpty()) {
          all.add(
              after(
                  w -> {
                    w.all[me].peer = -1;
                    w.take(me, Event.LOST);
                    w.all[me].asks = false;
                  }));
        }
      }
      return all;
    }

    private void local(int me, ModelProcess p, List<World> all) {
      switch (p.state) {
        case SEEKING -> all.add(after(w -> w.joins(me)));
        case DEALING -> all.add(after(w -> w.take(me, Event.ALL_TOLD)));
        case PAUSING -> all.add(after(w -> w.take(me, Event.AGAIN)));
        case LOOKING -> {
          if (meetable(meeting) && meeting != me) {
            all.add(
                after(
                    w -> {
                      w.all[me].peer = w.meeting;
                      w.take(me, Event.MET);
                    }));
          } else if (vacant(me)) {
            all.add(after(w -> w.take(me, Event.NOBODY)));
          }
        }
        default -> {}
      }
      boolean bounded =
          p.state.bounded() || (bug == Bug.TAKES_BACK_FROM_THE_SILENT && p.state == State.GIVEN);
      if (bounded && overdue > 0) {
        all.add(
            after(
                w -> {
                  w.overdue--;
                  w.take(me, p.state == State.GIVEN ? Event.BACK : Event.OVERDUE);
                }));
      }
    }

    private void joins(int me) {
      take(me, Event.POOL_UP);
    }

    private World after(Consumer<World> change) {
      World that = copy();
      change.accept(that);
      that.check();
      return that;
    }

    /** True where a process serves, or none lives. */
    boolean served() {
      boolean lives = false;
      for (ModelProcess p : all) {
        lives |= p.alive;
        if (p.alive && p.listens) {
          return true;
        }
      }
      return !lives;
    }
  }

  private record Found(String wrong, int states) {}

  /**
   * The first state in which something is wrong, with the way that led there; null where there is
   * none.
   */
  private static Found search(Bug bug, int most) {
    Map<String, String> seen = new HashMap<>(); // each state with the one before it
    ArrayDeque<World> open = new ArrayDeque<>();
    World first = new World(bug);
    seen.put(first.toString(), "");
    open.add(first);
    while (!open.isEmpty()) {
      World world = open.poll();
      boolean ends = true;
      for (World next : world.next()) {
        if (next.wrong != null) {
          return new Found(next.wrong + " after " + way(seen, world), seen.size());
        }
        if (seen.putIfAbsent(next.toString(), world.toString()) == null) {
          open.add(next);
        }
        ends = false;
      }
      if (ends && !world.served()) {
        return new Found("nobody serves after " + way(seen, world), seen.size());
      }
      if (seen.size() > most) {
        return new Found("too many states: the search has no end", seen.size());
      }
    }
    return new Found(null, seen.size());
  }

  private static String way(Map<String, String> seen, World last) {
    StringBuilder way = new StringBuilder();
    for (String at = last.toString(); !at.isEmpty(); at = seen.get(at)) {
      way.insert(0, "\n  " + at);
    }
    return way.toString();
  }

  @Test
  void noInterleavingRunsAKeyTwiceOrLeavesTheBoxWithoutAServer() {
    Found found = search(Bug.NONE, 4_000_000);
    assertNull(found.wrong());
    assertTrue(found.states() > 10_000, "it explored little: " + found.states());
    System.out.println("hand-over: " + found.states() + " states explored, none wrong");
  }

  @ParameterizedTest
  @EnumSource(value = Bug.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void eachSeededBugIsFound(Bug bug) {
    Found found = search(bug, 4_000_000);
    assertNotNull(found.wrong(), bug + " was not found in " + found.states() + " states");
    assertTrue(!found.wrong().startsWith("too many"), found.wrong());
  }

  @Test
  void anEventWithoutARowChangesNothing() {
    for (State state : State.values()) {
      for (Event event : Event.values()) {
        HandoverStateMachine steps = new HandoverStateMachine(state);
        boolean takes = steps.takes(event);
        HandoverStateMachine.Step step = steps.take(event);
        assertEquals(!takes, step.outOfTurn());
        assertTrue(takes || (steps.state() == state && step.acts().isEmpty()));
      }
    }
  }
}
