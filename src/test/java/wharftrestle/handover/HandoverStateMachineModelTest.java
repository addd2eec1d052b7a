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
 * Model-checks the transition table of the handover over all interleavings of three processes of
 * one host with one key, ordered links, kills, process pauses of any length and cancelled
 * handovers. In every state, at most one process owns the keys, and the key is not executed again
 * while a process is alive that knew of its execution. In every final state a process serves. The
 * search must find each seeded bug.
 */
class HandoverStateMachineModelTest {
  private static final int PROCESSES = 3;

  /** A deviation from the protocol that the search must detect. */
  enum Bug {
    NONE,
    OWNS_KEYS_BEFORE_OWNERSHIP_MESSAGE,
    OPEN_KEYS_NOT_SENT,
    COMPLETED_KEYS_NOT_SENT,
    RECLAIMS_FROM_SILENT_SUCCESSOR,
    EXECUTES_WITHOUT_ANNOUNCEMENT,
    STARTS_BESIDE_RELINQUISHED_PROCESS,
    EXECUTES_WITHOUT_CLAIM,
    DOES_NOT_LISTEN_ALONE,
    OWNS_KEYS_AFTER_TRANSFER,
    OWNS_KEYS_AFTER_CANCELLATION
  }

  private enum KeyKnowledge {
    UNKNOWN,
    OPEN,
    COMPLETED
  }

  private record Message(Event event, boolean isKey, boolean isCompleted) {
    static Message of(Event event) {
      return new Message(event, false, false);
    }
  }

  private static final class ModelProcess {
    State state;
    int peer = -1; // the process at the other end of the link; -1 for none
    boolean isAlive;
    boolean isListening;
    boolean holdsKeys; // knows all keys: while it is alive, no process serves without them
    boolean sendsCompletedKeys; // sends each key that completes to the peer
    boolean isLinked; // transferred ownership to the peer or received it: both exchange keys
    boolean awaitsClaim; // an attempt of the key waits for the answer to a claim
    KeyKnowledge knowledge = KeyKnowledge.UNKNOWN;

    ModelProcess copy() {
      ModelProcess that = new ModelProcess();
      that.state = state;
      that.peer = peer;
      that.isAlive = isAlive;
      that.isListening = isListening;
      that.holdsKeys = holdsKeys;
      that.sendsCompletedKeys = sendsCompletedKeys;
      that.isLinked = isLinked;
      that.awaitsClaim = awaitsClaim;
      that.knowledge = knowledge;
      return that;
    }

    @Override
    public String toString() {
      return isAlive
          ? state
              + ">"
              + peer
              + (isListening ? "l" : "")
              + (holdsKeys ? "h" : "")
              + (sendsCompletedKeys ? "t" : "")
              + (isLinked ? "k" : "")
              + (awaitsClaim ? "a" : "")
              + knowledge
          : "-";
    }
  }

  /** The state of all processes and links; two states with the same text are equal. */
  private static final class SystemState {
    final ModelProcess[] processes = new ModelProcess[PROCESSES];

    @SuppressWarnings("unchecked")
    final ArrayDeque<Message>[][] links = new ArrayDeque[PROCESSES][PROCESSES];

    int socketOwner = -1;
    int remainingStarts = PROCESSES - 1;
    int remainingKills = 2;
    int remainingAttempts = 3;
    int remainingTimeouts = 2;
    int executions;
    String violation;
    final Bug bug;

    SystemState(Bug bug) {
      this.bug = bug;
      for (int i = 0; i < PROCESSES; i++) {
        processes[i] = new ModelProcess();
        for (int j = 0; j < PROCESSES; j++) {
          links[i][j] = new ArrayDeque<>();
        }
      }
      processes[0].isAlive = true;
      processes[0].state = State.ACTIVE;
      processes[0].isListening = true;
      processes[0].holdsKeys = true;
      socketOwner = 0;
    }

    SystemState copy() {
      SystemState that = new SystemState(bug);
      for (int i = 0; i < PROCESSES; i++) {
        that.processes[i] = processes[i].copy();
        for (int j = 0; j < PROCESSES; j++) {
          that.links[i][j].addAll(links[i][j]);
        }
      }
      that.socketOwner = socketOwner;
      that.remainingStarts = remainingStarts;
      that.remainingKills = remainingKills;
      that.remainingAttempts = remainingAttempts;
      that.remainingTimeouts = remainingTimeouts;
      that.executions = executions;
      return that;
    }

    @Override
    public String toString() {
      StringBuilder text = new StringBuilder(Arrays.toString(processes));
      for (int i = 0; i < PROCESSES; i++) {
        for (int j = 0; j < PROCESSES; j++) {
          links[i][j].forEach(
              message ->
                  text.append(message.event())
                      .append(message.isKey())
                      .append(message.isCompleted())
                      .append(' '));
          text.append('|');
        }
      }
      return text.append(socketOwner)
          .append(' ')
          .append(remainingStarts)
          .append(remainingKills)
          .append(remainingAttempts)
          .append(remainingTimeouts)
          .append(executions)
          .toString();
    }

    boolean isReachable(int i) {
      return i >= 0 && processes[i].isAlive && socketOwner == i;
    }

    /** True if no other live process knows all keys, and none listens. */
    boolean isVacant(int except) {
      for (int i = 0; i < PROCESSES; i++) {
        if (i != except
            && processes[i].isAlive
            && (processes[i].isListening
                || (processes[i].holdsKeys && bug != Bug.STARTS_BESIDE_RELINQUISHED_PROCESS))) {
          return false;
        }
      }
      return true;
    }

    void send(int from, Message message) {
      int to = processes[from].peer;
      if (to >= 0
          && processes[to].isAlive
          && (processes[to].peer == from || message.event() == Event.TAKEOVER_REQUEST)) {
        links[from][to].add(message);
      }
    }

    void apply(int i, Event event) {
      ModelProcess process = processes[i];
      HandoverStateMachine stateMachine = new HandoverStateMachine(process.state);
      HandoverStateMachine.Transition transition = stateMachine.apply(event);
      process.state = transition.to();
      transition.actions().forEach(action -> execute(i, action));
    }

    void execute(int i, Action action) {
      ModelProcess process = processes[i];
      switch (action) {
        case SEND_TAKEOVER_REQUEST -> send(i, Message.of(Event.TAKEOVER_REQUEST));
        case SEND_PREDECESSOR_CAPABILITIES -> send(i, Message.of(Event.PREDECESSOR_COMPATIBLE));
        case SEND_SUCCESSOR_CAPABILITIES -> send(i, Message.of(Event.SUCCESSOR_COMPATIBLE));
        case SEND_ACCEPTANCE -> send(i, Message.of(Event.TAKEOVER_ACCEPTED));
        case SEND_RETRY_LATER -> send(i, Message.of(Event.RETRY_LATER));
        case SEND_COMPLETED_KEYS -> {
          process.sendsCompletedKeys = bug != Bug.COMPLETED_KEYS_NOT_SENT;
          if (process.knowledge == KeyKnowledge.COMPLETED) {
            send(i, new Message(null, true, true));
          }
        }
        case STOP_SENDING_KEYS -> process.sendsCompletedKeys = false;
        case SEND_KEYS_COMPLETE -> send(i, Message.of(Event.KEYS_COMPLETE));
        case SEND_KEYS_ACKNOWLEDGED -> {
          process.holdsKeys = true;
          send(i, Message.of(Event.KEYS_ACKNOWLEDGED));
        }
        case TRANSFER_OWNERSHIP -> {
          process.sendsCompletedKeys = false;
          process.isLinked = true;
          if (process.knowledge == KeyKnowledge.OPEN && bug != Bug.OPEN_KEYS_NOT_SENT) {
            send(i, new Message(null, true, false));
          }
        }
        case SEND_OWNERSHIP -> send(i, Message.of(Event.OWNERSHIP_RECEIVED));
        case OPEN_STORAGE -> {
          process.isLinked = true;
          apply(i, Event.STORAGE_OPENED);
        }
        case LISTEN_ALONGSIDE -> process.isListening = true;
        case SEND_LISTENING -> send(i, Message.of(Event.SUCCESSOR_LISTENING));
        case RELINQUISH -> process.isListening = false;
        case SEND_RELINQUISHED -> send(i, Message.of(Event.PREDECESSOR_RELINQUISHED));
        case RECLAIM_OWNERSHIP, RESOLVE_PEER_LOSS -> {
          process.isLinked = false;
          process.holdsKeys = true;
        }
        case LISTEN_ALONE -> process.isListening = bug != Bug.DOES_NOT_LISTEN_ALONE;
        case START_SERVING -> socketOwner = i;
        case DISCOVER_PEER, START_BACKOFF -> process.holdsKeys = false;
        case REPORT_REFUSAL, PARK_LINK -> {}
        default -> throw new IllegalStateException("action is not part of this model: " + action);
      }
    }

    boolean ownsKeys(int i) {
      State state = processes[i].state;
      return state.ownsKeys()
          || (bug == Bug.OWNS_KEYS_AFTER_TRANSFER && state == State.OWNERSHIP_TRANSFERRED)
          || (bug == Bug.OWNS_KEYS_BEFORE_OWNERSHIP_MESSAGE && state == State.KEYS_RECEIVED);
    }

    /** This process executes the key. */
    void executeKey(int i) {
      ModelProcess process = processes[i];
      executions++;
      if (executions > 1) {
        violation = "the key was executed again at process " + i;
      }
      process.knowledge = KeyKnowledge.OPEN;
      if (process.isLinked && ownsKeys(i) && bug != Bug.EXECUTES_WITHOUT_ANNOUNCEMENT) {
        send(i, new Message(null, true, false));
      }
    }

    /** This process receives an attempt of the key. */
    void receiveAttempt(int i) {
      ModelProcess process = processes[i];
      if (process.knowledge != KeyKnowledge.UNKNOWN) {
        return; // a duplicate
      }
      if (!ownsKeys(i) && process.isLinked && bug != Bug.EXECUTES_WITHOUT_CLAIM) {
        process.awaitsClaim = true;
        send(i, Message.of(null)); // claim
      } else {
        executeKey(i);
      }
    }

    /** Delivers the next message of this link. */
    void receive(int from, int to) {
      Message message = links[from][to].poll();
      ModelProcess process = processes[to];
      if (process.peer != from && message.event() != Event.TAKEOVER_REQUEST) {
        return; // a message of an abandoned link
      }
      if (message.isKey()) {
        process.knowledge =
            message.isCompleted() || process.knowledge == KeyKnowledge.COMPLETED
                ? KeyKnowledge.COMPLETED
                : KeyKnowledge.OPEN;
        process.awaitsClaim = false;
      } else if (message.event() == null) {
        // A claim, which is granted if the key is unknown; the peer executes it then.
        if (process.knowledge == KeyKnowledge.UNKNOWN) {
          process.knowledge = KeyKnowledge.OPEN;
          send(
              to,
              Message.of(Event.PEER_DISCOVERED)); // represents a grant, for which there is no event
        } else {
          send(to, new Message(null, true, process.knowledge == KeyKnowledge.COMPLETED));
        }
      } else if (message.event() == Event.PEER_DISCOVERED) {
        if (process.awaitsClaim) {
          process.awaitsClaim = false;
          if (process.knowledge == KeyKnowledge.UNKNOWN) {
            executeKey(to);
          }
        }
      } else if (message.event() == Event.TAKEOVER_REQUEST && process.peer != from) {
        if (process.state == State.ACTIVE) {
          process.peer = from;
          apply(to, message.event());
        } else {
          links[from][to].addFirst(message); // handled once no other handover is under way
        }
      } else if (bug == Bug.OWNS_KEYS_AFTER_CANCELLATION
          && message.event() == Event.RETRY_LATER
          && process.state == State.KEYS_RECEIVED) {
        apply(to, Event.OWNERSHIP_RECEIVED);
      } else {
        apply(to, message.event());
      }
    }

    /** True if this process owns all keys, or knows all that their owner knows. */
    boolean knowsAllKeys(int i) {
      ModelProcess process = processes[i];
      return process.isAlive
          && (process.state.ownsKeys()
              || process.state == State.OWNERSHIP_TRANSFERRED
              || process.state == State.RELINQUISHED);
    }

    void kill(int i) {
      processes[i].isAlive = false;
      processes[i].isListening = false;
      socketOwner = socketOwner == i ? -1 : socketOwner;
      for (int j = 0; j < PROCESSES; j++) {
        links[j][i].clear();
      }
      boolean isKeyKnown = false;
      for (int j = 0; j < PROCESSES; j++) {
        // Keys that a successor has received in part do not count, as it owns none of them yet.
        boolean isOwnershipInTransit =
            processes[j].isAlive
                && links[i][j].stream()
                    .anyMatch(message -> message.event() == Event.OWNERSHIP_RECEIVED);
        isKeyKnown |= knowsAllKeys(j) || isOwnershipInTransit;
      }
      if (!isKeyKnown) {
        // The only process that knew the key has ended, and no result is stored on disk.
        executions = 0;
        for (ModelProcess each : processes) {
          each.knowledge = KeyKnowledge.UNKNOWN;
        }
      }
    }

    void checkSingleOwner() {
      int owners = 0;
      for (int i = 0; i < PROCESSES; i++) {
        owners += processes[i].isAlive && ownsKeys(i) ? 1 : 0;
      }
      if (owners > 1) {
        violation = "more than one process owns the keys";
      }
    }

    /** All states that can follow this one. */
    List<SystemState> successors() {
      List<SystemState> nextStates = new ArrayList<>();
      for (int i = 0; i < PROCESSES; i++) {
        int self = i;
        ModelProcess process = this.processes[i];
        if (!process.isAlive) {
          if (remainingStarts > 0 && process.state == null && isReachable(socketOwner)) {
            nextStates.add(
                afterChange(
                    next -> {
                      next.remainingStarts--;
                      next.processes[self].isAlive = true;
                      next.processes[self].state = State.AWAITING_WORKER_POOL;
                      next.processes[self].peer = next.socketOwner;
                    }));
          }
          continue;
        }
        if (remainingKills > 0) {
          nextStates.add(
              afterChange(
                  next -> {
                    next.remainingKills--;
                    next.kill(self);
                  }));
        }
        if (process.isListening && remainingAttempts > 0) {
          nextStates.add(
              afterChange(
                  next -> {
                    next.remainingAttempts--;
                    next.receiveAttempt(self);
                  }));
        }
        if (process.knowledge == KeyKnowledge.OPEN && ownsKeys(i) && !process.awaitsClaim) {
          nextStates.add(
              afterChange(
                  next -> {
                    next.processes[self].knowledge = KeyKnowledge.COMPLETED;
                    if (next.processes[self].sendsCompletedKeys) {
                      next.send(self, new Message(null, true, true));
                    }
                  }));
        }
        addLocalSteps(self, process, nextStates);
        for (int j = 0; j < PROCESSES; j++) {
          int from = j;
          Message first = links[j][i].peek();
          boolean isDeferred =
              first != null
                  && first.event() == Event.TAKEOVER_REQUEST
                  && process.peer != j
                  && process.state != State.ACTIVE;
          if (first != null && !isDeferred) {
            nextStates.add(afterChange(next -> next.receive(from, self)));
          }
        }
        if (process.peer >= 0
            && !this.processes[process.peer].isAlive
            && links[process.peer][i].isEmpty()) {
          nextStates.add(
              afterChange(
                  next -> {
                    next.processes[self].peer = -1;
                    next.apply(self, Event.PEER_LOST);
                    next.processes[self].awaitsClaim = false;
                  }));
        }
      }
      return nextStates;
    }

    private void addLocalSteps(int self, ModelProcess process, List<SystemState> nextStates) {
      switch (process.state) {
        case AWAITING_WORKER_POOL ->
            nextStates.add(afterChange(next -> next.connectWorkerPool(self)));
        case SENDING_KEYS ->
            nextStates.add(afterChange(next -> next.apply(self, Event.ALL_KEYS_SENT)));
        case IN_BACKOFF ->
            nextStates.add(afterChange(next -> next.apply(self, Event.BACKOFF_ELAPSED)));
        case DISCOVERING_PEER -> {
          if (isReachable(socketOwner) && socketOwner != self) {
            nextStates.add(
                afterChange(
                    next -> {
                      next.processes[self].peer = next.socketOwner;
                      next.apply(self, Event.PEER_DISCOVERED);
                    }));
          } else if (isVacant(self)) {
            nextStates.add(afterChange(next -> next.apply(self, Event.NO_PEER_DISCOVERED)));
          }
        }
        default -> {}
      }
      boolean canTimeOut =
          process.state.hasDeadline()
              || (bug == Bug.RECLAIMS_FROM_SILENT_SUCCESSOR
                  && process.state == State.OWNERSHIP_TRANSFERRED);
      if (canTimeOut && remainingTimeouts > 0) {
        nextStates.add(
            afterChange(
                next -> {
                  next.remainingTimeouts--;
                  next.apply(
                      self,
                      process.state == State.OWNERSHIP_TRANSFERRED
                          ? Event.OWNERSHIP_RETURNED
                          : Event.DEADLINE_EXCEEDED);
                }));
      }
    }

    private void connectWorkerPool(int self) {
      apply(self, Event.WORKER_POOL_READY);
    }

    private SystemState afterChange(Consumer<SystemState> change) {
      SystemState that = copy();
      change.accept(that);
      that.checkSingleOwner();
      return that;
    }

    /** True if a process listens, or none is alive. */
    boolean isServed() {
      boolean isAnyAlive = false;
      for (ModelProcess process : processes) {
        isAnyAlive |= process.isAlive;
        if (process.isAlive && process.isListening) {
          return true;
        }
      }
      return !isAnyAlive;
    }
  }

  private record SearchResult(String violation, int states) {}

  /**
   * Searches all reachable states for the first violation, and reports it with the states that lead
   * to it; the violation is null if there is none.
   */
  private static SearchResult search(Bug bug, int maxStates) {
    Map<String, String> seen = new HashMap<>(); // each state with its predecessor
    ArrayDeque<SystemState> open = new ArrayDeque<>();
    SystemState first = new SystemState(bug);
    seen.put(first.toString(), "");
    open.add(first);
    while (!open.isEmpty()) {
      SystemState current = open.poll();
      boolean isFinal = true;
      for (SystemState next : current.successors()) {
        if (next.violation != null) {
          return new SearchResult(next.violation + " after " + pathTo(seen, current), seen.size());
        }
        if (seen.putIfAbsent(next.toString(), current.toString()) == null) {
          open.add(next);
        }
        isFinal = false;
      }
      if (isFinal && !current.isServed()) {
        return new SearchResult("no process serves after " + pathTo(seen, current), seen.size());
      }
      if (seen.size() > maxStates) {
        return new SearchResult("too many states: the search was stopped", seen.size());
      }
    }
    return new SearchResult(null, seen.size());
  }

  private static String pathTo(Map<String, String> seen, SystemState last) {
    StringBuilder path = new StringBuilder();
    for (String at = last.toString(); !at.isEmpty(); at = seen.get(at)) {
      path.insert(0, "\n  " + at);
    }
    return path.toString();
  }

  @Test
  void noInterleavingExecutesAKeyTwiceOrLeavesTheHostUnserved() {
    SearchResult result = search(Bug.NONE, 4_000_000);
    assertNull(result.violation());
    assertTrue(result.states() > 10_000, "the search explored too few states: " + result.states());
    System.out.println("handover model: " + result.states() + " states explored, no violation");
  }

  @ParameterizedTest
  @EnumSource(value = Bug.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void eachSeededBugIsDetected(Bug bug) {
    SearchResult result = search(bug, 4_000_000);
    assertNotNull(result.violation(), bug + " was not detected in " + result.states() + " states");
    assertTrue(!result.violation().startsWith("too many"), result.violation());
  }

  @Test
  void eventWithoutATransitionChangesNothing() {
    for (State state : State.values()) {
      for (Event event : Event.values()) {
        HandoverStateMachine stateMachine = new HandoverStateMachine(state);
        boolean isAccepted = stateMachine.accepts(event);
        HandoverStateMachine.Transition transition = stateMachine.apply(event);
        assertEquals(!isAccepted, transition.isIgnored());
        assertTrue(isAccepted || (stateMachine.state() == state && transition.actions().isEmpty()));
      }
    }
  }
}
