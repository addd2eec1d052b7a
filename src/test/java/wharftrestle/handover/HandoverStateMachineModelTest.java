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
import wharftrestle.handover.HandoverStateMachine.Action;
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
      all[0].state = State.ACTIVE;
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
      if (to >= 0
          && all[to].alive
          && (all[to].peer == from || word.event() == Event.TAKEOVER_REQUEST)) {
        words[from][to].add(word);
      }
    }

    void take(int i, Event event) {
      ModelProcess process = all[i];
      HandoverStateMachine steps = new HandoverStateMachine(process.state);
      HandoverStateMachine.Transition step = steps.apply(event);
      process.state = step.to();
      step.actions().forEach(act -> act(i, act));
    }

    void act(int i, Action act) {
      ModelProcess p = all[i];
      switch (act) {
        case SEND_TAKEOVER_REQUEST -> say(i, Word.of(Event.TAKEOVER_REQUEST));
        case SEND_PREDECESSOR_CAPABILITIES -> say(i, Word.of(Event.PREDECESSOR_COMPATIBLE));
        case SEND_SUCCESSOR_CAPABILITIES -> say(i, Word.of(Event.SUCCESSOR_COMPATIBLE));
        case SEND_ACCEPTANCE -> say(i, Word.of(Event.TAKEOVER_ACCEPTED));
        case SEND_RETRY_LATER -> say(i, Word.of(Event.RETRY_LATER));
        case SEND_COMPLETED_KEYS -> {
          p.tells = bug != Bug.SETTLED_NOT_FOLLOWED;
          if (p.knows == Knows.OVER) {
            say(i, new Word(null, true, true));
          }
        }
        case STOP_SENDING_KEYS -> p.tells = false;
        case SEND_KEYS_COMPLETE -> say(i, Word.of(Event.KEYS_COMPLETE));
        case SEND_KEYS_ACKNOWLEDGED -> {
          p.holds = true;
          say(i, Word.of(Event.KEYS_ACKNOWLEDGED));
        }
        case TRANSFER_OWNERSHIP -> {
          p.tells = false;
          p.linked = true;
          if (p.knows == Knows.OPEN && bug != Bug.OPEN_KEYS_NOT_TOLD) {
            say(i, new Word(null, true, false));
          }
        }
        case SEND_OWNERSHIP -> say(i, Word.of(Event.OWNERSHIP_RECEIVED));
        case OPEN_STORAGE -> {
          p.linked = true;
          take(i, Event.STORAGE_OPENED);
        }
        case LISTEN_ALONGSIDE -> p.listens = true;
        case SEND_LISTENING -> say(i, Word.of(Event.SUCCESSOR_LISTENING));
        case RELINQUISH -> p.listens = false;
        case SEND_RELINQUISHED -> say(i, Word.of(Event.PREDECESSOR_RELINQUISHED));
        case RECLAIM_OWNERSHIP, RESOLVE_PEER_LOSS -> {
          p.linked = false;
          p.holds = true;
        }
        case LISTEN_ALONE -> p.listens = bug != Bug.SERVES_NOT_AGAIN;
        case START_SERVING -> meeting = i;
        case DISCOVER_PEER, START_BACKOFF -> p.holds = false;
        case REPORT_REFUSAL, PARK_LINK -> {}
        default -> throw new IllegalStateException("not in this model: " + act);
      }
    }

    boolean owns(int i) {
      State state = all[i].state;
      return state.ownsKeys()
          || (bug == Bug.KEEPS_OWNING && state == State.OWNERSHIP_TRANSFERRED)
          || (bug == Bug.OWNS_BEFORE_YOURS && state == State.KEYS_RECEIVED);
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
      if (p.peer != from && word.event() != Event.TAKEOVER_REQUEST) {
        return; // of a link that was given up on
      }
      if (word.key()) {
        p.knows = word.over() || p.knows == Knows.OVER ? Knows.OVER : Knows.OPEN;
        p.asks = false;
      } else if (word.event() == null) {
        // A claim: granted where nothing is known, and then it is the other's.
        if (p.knows == Knows.NOTHING) {
          p.knows = Knows.OPEN;
          say(
              to,
              Word.of(
                  Event.PEER_DISCOVERED)); // stands for granted, which no step of the hand-over is
        } else {
          say(to, new Word(null, true, p.knows == Knows.OVER));
        }
      } else if (word.event() == Event.PEER_DISCOVERED) {
        if (p.asks) {
          p.asks = false;
          if (p.knows == Knows.NOTHING) {
            run(to);
          }
        }
      } else if (word.event() == Event.TAKEOVER_REQUEST && p.peer != from) {
        if (p.state == State.ACTIVE) {
          p.peer = from;
          take(to, word.event());
        } else {
          words[from][to].addFirst(word); // its turn comes
        }
      } else if (bug == Bug.OWNS_WHAT_WAS_WITHDRAWN
          && word.event() == Event.RETRY_LATER
          && p.state == State.KEYS_RECEIVED) {
        take(to, Event.OWNERSHIP_RECEIVED);
      } else {
        take(to, word.event());
      }
    }

    /** It owns all keys, or knows what their owner knows. */
    boolean full(int i) {
      ModelProcess p = all[i];
      return p.alive
          && (p.state.ownsKeys()
              || p.state == State.OWNERSHIP_TRANSFERRED
              || p.state == State.RELINQUISHED);
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
            all[j].alive
                && words[i][j].stream().anyMatch(word -> word.event() == Event.OWNERSHIP_RECEIVED);
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
                      w.all[me].state = State.AWAITING_WORKER_POOL;
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
              first != null
                  && first.event() == Event.TAKEOVER_REQUEST
                  && p.peer != j
                  && p.state != State.ACTIVE;
          if (first != null && !waits) {
            all.add(after(w -> w.hear(from, me)));
          }
        }
        if (p.peer >= 0 && !this.all[p.peer].alive && words[p.peer][i].isEmpty()) {
          all.add(
              after(
                  w -> {
                    w.all[me].peer = -1;
                    w.take(me, Event.PEER_LOST);
                    w.all[me].asks = false;
                  }));
        }
      }
      return all;
    }

    private void local(int me, ModelProcess p, List<World> all) {
      switch (p.state) {
        case AWAITING_WORKER_POOL -> all.add(after(w -> w.joins(me)));
        case SENDING_KEYS -> all.add(after(w -> w.take(me, Event.ALL_KEYS_SENT)));
        case IN_BACKOFF -> all.add(after(w -> w.take(me, Event.BACKOFF_ELAPSED)));
        case DISCOVERING_PEER -> {
          if (meetable(meeting) && meeting != me) {
            all.add(
                after(
                    w -> {
                      w.all[me].peer = w.meeting;
                      w.take(me, Event.PEER_DISCOVERED);
                    }));
          } else if (vacant(me)) {
            all.add(after(w -> w.take(me, Event.NO_PEER_DISCOVERED)));
          }
        }
        default -> {}
      }
      boolean bounded =
          p.state.hasDeadline()
              || (bug == Bug.TAKES_BACK_FROM_THE_SILENT && p.state == State.OWNERSHIP_TRANSFERRED);
      if (bounded && overdue > 0) {
        all.add(
            after(
                w -> {
                  w.overdue--;
                  w.take(
                      me,
                      p.state == State.OWNERSHIP_TRANSFERRED
                          ? Event.OWNERSHIP_RETURNED
                          : Event.DEADLINE_EXCEEDED);
                }));
      }
    }

    private void joins(int me) {
      take(me, Event.WORKER_POOL_READY);
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
        boolean takes = steps.accepts(event);
        HandoverStateMachine.Transition step = steps.apply(event);
        assertEquals(!takes, step.isIgnored());
        assertTrue(takes || (steps.state() == state && step.actions().isEmpty()));
      }
    }
  }
}
