package wharftrestle.handover;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The handover protocol of one process of a host, as a state machine without I/O: an event goes in,
 * the actions to carry out come back in their order. A process passes through it twice, first as
 * the successor of the process that serves, later as the predecessor of the next one.
 *
 * <p>At most one of the processes of a host {@linkplain State#ownsKeys owns its keys}; between the
 * sending and the receipt of {@code OWNERSHIP} neither does. A link ends only with the process at
 * its other end, so {@link Event#PEER_LOST} means that this process is gone.
 *
 * <p>An event without a row in the current state is {@linkplain Transition#isIgnored ignored}. Not
 * thread-safe: the caller's lock guards it.
 */
public final class HandoverStateMachine {

  /** How far the handover has come, as seen by this process. */
  public enum State {
    // The successor.
    /** A process serves; the worker pool of this one is not connected yet. */
    AWAITING_WORKER_POOL("seeking"),
    /** Asked to take over; waits for what the predecessor can do. */
    TAKEOVER_REQUESTED("asking"),
    /** Sent what this process can do; waits for the predecessor's decision. */
    CAPABILITIES_SENT("asked"),
    /** Receives completed keys, owns nothing. */
    RECEIVING_KEYS("taking"),
    /** Has all completed keys, owns nothing. */
    KEYS_RECEIVED("holding"),
    /** Asks again after a while. */
    IN_BACKOFF("pausing"),
    /** Owns all keys; opens the stored results. */
    OPENING_STORAGE("opening"),
    /** Owns all keys and listens; the predecessor may listen as well. */
    LISTENING_ALONGSIDE("taken"),
    /** Serves; the predecessor answers what it has in flight. */
    PREDECESSOR_DRAINING("sharing"),
    /** Cannot take over; waits until the predecessor has ended. */
    AWAITING_PREDECESSOR_EXIT("refused"),
    /** The peer is gone: looks whether a further one serves. */
    DISCOVERING_PEER("looking"),

    // The process that serves, later the predecessor.
    /** Owns all keys and listens; no handover is under way. */
    ACTIVE("alone"),
    /** Asked for what the successor can do. */
    CHECKING_COMPATIBILITY("weighing"),
    /** Sends completed keys, and serves on. */
    SENDING_KEYS("dealing"),
    /** Sent all completed keys; waits for the acknowledgement. */
    KEYS_SENT("offered"),
    /** Gave all keys away; listens until the successor does. */
    OWNERSHIP_TRANSFERRED("given"),
    /** Takes no more clients; answers what is in flight. */
    RELINQUISHED("ceded");

    private final String publishedName;

    State(String publishedName) {
      this.publishedName = publishedName;
    }

    /** The name under which the admin endpoint and the SNMP agent show this state. */
    public String publishedName() {
      return publishedName;
    }

    /** True where this process decides on every key of the host. */
    public boolean ownsKeys() {
      return switch (this) {
        case OPENING_STORAGE,
                LISTENING_ALONGSIDE,
                PREDECESSOR_DRAINING,
                ACTIVE,
                CHECKING_COMPATIBILITY,
                SENDING_KEYS,
                KEYS_SENT ->
            true;
        default -> false;
      };
    }

    /** True where a takeover request of a further process is served now. */
    public boolean acceptsTakeover() {
      return this == ACTIVE;
    }

    /** True where the peer's silence ends the handover after a while, at no loss. */
    public boolean hasDeadline() {
      return this == CHECKING_COMPATIBILITY || this == SENDING_KEYS || this == KEYS_SENT;
    }
  }

  /** A message of the peer, or a local event. */
  public enum Event {
    /** The worker pool of this process is connected. */
    WORKER_POOL_READY,
    /** The predecessor sent its capabilities, and this process can take over from it. */
    PREDECESSOR_COMPATIBLE,
    /** The predecessor sent its capabilities, and this process cannot take over from it. */
    PREDECESSOR_INCOMPATIBLE,
    TAKEOVER_ACCEPTED,
    /** All completed keys have been sent. */
    KEYS_COMPLETE,
    OWNERSHIP_RECEIVED,
    /** The ownership, from a predecessor of handover format 1. */
    LEGACY_OWNERSHIP_RECEIVED,
    /** The predecessor gave up on this handover; another request may succeed. */
    RETRY_LATER,
    /** The predecessor can never hand over to this process. */
    TAKEOVER_REJECTED,
    BACKOFF_ELAPSED,
    RETRIES_EXHAUSTED,
    STORAGE_OPENED,
    STORAGE_UNAVAILABLE,
    PREDECESSOR_RELINQUISHED,
    PEER_DISCOVERED,
    NO_PEER_DISCOVERED,
    TAKEOVER_REQUEST,
    /** A request of a process of handover format 1. */
    LEGACY_TAKEOVER_REQUEST,
    /** A request of a process of handover format 0, which cannot receive completed keys. */
    UNSUPPORTED_TAKEOVER_REQUEST,
    SUCCESSOR_COMPATIBLE,
    SUCCESSOR_INCOMPATIBLE,
    /** The successor found that it cannot take over. */
    SUCCESSOR_WITHDREW,
    ALL_KEYS_SENT,
    /** The successor was silent for too long, or does not read. */
    DEADLINE_EXCEEDED,
    KEYS_ACKNOWLEDGED,
    /** The successor acknowledged, but too many keys completed meanwhile to send them all. */
    SUCCESSOR_LAGGING,
    SUCCESSOR_LISTENING,
    /** The successor cannot go on; it has run nothing. */
    OWNERSHIP_RETURNED,
    PEER_LOST
  }

  /** What the caller carries out. */
  public enum Action {
    SEND_TAKEOVER_REQUEST,
    SEND_PREDECESSOR_CAPABILITIES,
    SEND_SUCCESSOR_CAPABILITIES,
    /** Tells the predecessor that this process cannot take over, with the reason. */
    SEND_WITHDRAWAL,
    SEND_ACCEPTANCE,
    SEND_REJECTION,
    SEND_RETRY_LATER,
    /**
     * Sends all completed keys, and each key that completes from now on; {@link
     * Event#ALL_KEYS_SENT} or {@link Event#DEADLINE_EXCEEDED} follows.
     */
    SEND_COMPLETED_KEYS,
    STOP_SENDING_KEYS,
    SEND_KEYS_COMPLETE,
    SEND_KEYS_ACKNOWLEDGED,
    /** Sends all open keys, and gives up all keys, in one step. */
    TRANSFER_OWNERSHIP,
    SEND_OWNERSHIP,
    /** The same in the messages of format 1, with the completed keys after it. */
    TRANSFER_OWNERSHIP_LEGACY,
    /** Keeps a link unanswered until it ends. */
    PARK_LINK,
    /**
     * Opens the stored results; {@link Event#STORAGE_OPENED} or {@link Event#STORAGE_UNAVAILABLE}
     * follows.
     */
    OPEN_STORAGE,
    RETURN_OWNERSHIP,
    /** Takes clients beside the predecessor. */
    LISTEN_ALONGSIDE,
    SEND_LISTENING,
    /** Takes no more clients, and answers what is in flight. */
    RELINQUISH,
    SEND_RELINQUISHED,
    /** The successor is gone or returned the ownership: owns all keys again. */
    RECLAIM_OWNERSHIP,
    /** The predecessor is gone: how its executions ended is unknown. */
    RESOLVE_PEER_LOSS,
    /** Takes clients alone. */
    LISTEN_ALONE,
    /** Reports that this process serves. */
    START_SERVING,
    /**
     * Looks whether another process serves; {@link Event#PEER_DISCOVERED} or {@link
     * Event#NO_PEER_DISCOVERED} follows.
     */
    DISCOVER_PEER,
    /** Waits; {@link Event#BACKOFF_ELAPSED} or {@link Event#RETRIES_EXHAUSTED} follows. */
    START_BACKOFF,
    /** Reports that this process waits for the end of the other, with the reason. */
    REPORT_REFUSAL
  }

  /**
   * The effect of one event.
   *
   * @param actions to carry out, in this order
   * @param isIgnored true where the event has no row in this state; nothing has changed then
   */
  public record Transition(State from, State to, List<Action> actions, boolean isIgnored) {}

  private record Row(State next, List<Action> actions) {}

  private static final Map<State, Map<Event, Row>> TABLE = new EnumMap<>(State.class);

  static {
    // The successor.
    addTakeoverRequestRows();
    addRetryRows();
    addKeyReceiptRows();
    addOwnershipReceiptRows();
    addPredecessorLossRows();
    // The process that serves, later the predecessor.
    addCompatibilityCheckRows();
    addKeySendingRows();
    addRelinquishRows();
  }

  private static void addTakeoverRequestRows() {
    on(
        State.AWAITING_WORKER_POOL,
        Event.WORKER_POOL_READY,
        State.TAKEOVER_REQUESTED,
        Action.SEND_TAKEOVER_REQUEST);
    on(
        State.TAKEOVER_REQUESTED,
        Event.PREDECESSOR_COMPATIBLE,
        State.CAPABILITIES_SENT,
        Action.SEND_SUCCESSOR_CAPABILITIES);
    on(
        State.TAKEOVER_REQUESTED,
        Event.PREDECESSOR_INCOMPATIBLE,
        State.AWAITING_PREDECESSOR_EXIT,
        Action.SEND_WITHDRAWAL,
        Action.REPORT_REFUSAL);
    for (State waiting : List.of(State.TAKEOVER_REQUESTED, State.CAPABILITIES_SENT)) {
      on(waiting, Event.TAKEOVER_REJECTED, State.AWAITING_PREDECESSOR_EXIT, Action.REPORT_REFUSAL);
    }
  }

  private static void addRetryRows() {
    for (State waiting :
        List.of(
            State.TAKEOVER_REQUESTED,
            State.CAPABILITIES_SENT,
            State.RECEIVING_KEYS,
            State.KEYS_RECEIVED)) {
      on(waiting, Event.RETRY_LATER, State.IN_BACKOFF, Action.START_BACKOFF);
    }
    on(
        State.IN_BACKOFF,
        Event.BACKOFF_ELAPSED,
        State.TAKEOVER_REQUESTED,
        Action.SEND_TAKEOVER_REQUEST);
    on(
        State.IN_BACKOFF,
        Event.RETRIES_EXHAUSTED,
        State.AWAITING_PREDECESSOR_EXIT,
        Action.REPORT_REFUSAL);
  }

  private static void addKeyReceiptRows() {
    on(State.CAPABILITIES_SENT, Event.TAKEOVER_ACCEPTED, State.RECEIVING_KEYS);
    on(
        State.RECEIVING_KEYS,
        Event.KEYS_COMPLETE,
        State.KEYS_RECEIVED,
        Action.SEND_KEYS_ACKNOWLEDGED);
    on(State.KEYS_RECEIVED, Event.OWNERSHIP_RECEIVED, State.OPENING_STORAGE, Action.OPEN_STORAGE);
    on(
        State.TAKEOVER_REQUESTED,
        Event.LEGACY_OWNERSHIP_RECEIVED,
        State.OPENING_STORAGE,
        Action.OPEN_STORAGE);
  }

  private static void addOwnershipReceiptRows() {
    on(
        State.OPENING_STORAGE,
        Event.STORAGE_OPENED,
        State.LISTENING_ALONGSIDE,
        Action.LISTEN_ALONGSIDE,
        Action.SEND_LISTENING);
    on(
        State.OPENING_STORAGE,
        Event.STORAGE_UNAVAILABLE,
        State.AWAITING_PREDECESSOR_EXIT,
        Action.RETURN_OWNERSHIP,
        Action.REPORT_REFUSAL);
    on(
        State.LISTENING_ALONGSIDE,
        Event.PREDECESSOR_RELINQUISHED,
        State.PREDECESSOR_DRAINING,
        Action.START_SERVING);
  }

  private static void addPredecessorLossRows() {
    for (State ownsNothing :
        List.of(
            State.AWAITING_WORKER_POOL,
            State.TAKEOVER_REQUESTED,
            State.CAPABILITIES_SENT,
            State.RECEIVING_KEYS,
            State.KEYS_RECEIVED,
            State.IN_BACKOFF,
            State.AWAITING_PREDECESSOR_EXIT)) {
      on(ownsNothing, Event.PEER_LOST, State.DISCOVERING_PEER, Action.DISCOVER_PEER);
    }
    on(
        State.OPENING_STORAGE,
        Event.PEER_LOST,
        State.ACTIVE,
        Action.RESOLVE_PEER_LOSS,
        Action.LISTEN_ALONE,
        Action.START_SERVING);
    on(
        State.LISTENING_ALONGSIDE,
        Event.PEER_LOST,
        State.ACTIVE,
        Action.RESOLVE_PEER_LOSS,
        Action.START_SERVING);
    on(State.PREDECESSOR_DRAINING, Event.PEER_LOST, State.ACTIVE, Action.RESOLVE_PEER_LOSS);
    on(
        State.DISCOVERING_PEER,
        Event.PEER_DISCOVERED,
        State.TAKEOVER_REQUESTED,
        Action.SEND_TAKEOVER_REQUEST);
    on(
        State.DISCOVERING_PEER,
        Event.NO_PEER_DISCOVERED,
        State.ACTIVE,
        Action.RESOLVE_PEER_LOSS,
        Action.LISTEN_ALONE,
        Action.START_SERVING);
  }

  private static void addCompatibilityCheckRows() {
    on(
        State.ACTIVE,
        Event.TAKEOVER_REQUEST,
        State.CHECKING_COMPATIBILITY,
        Action.SEND_PREDECESSOR_CAPABILITIES);
    on(
        State.ACTIVE,
        Event.LEGACY_TAKEOVER_REQUEST,
        State.OWNERSHIP_TRANSFERRED,
        Action.TRANSFER_OWNERSHIP_LEGACY);
    on(State.ACTIVE, Event.UNSUPPORTED_TAKEOVER_REQUEST, State.ACTIVE, Action.PARK_LINK);
    on(
        State.CHECKING_COMPATIBILITY,
        Event.SUCCESSOR_COMPATIBLE,
        State.SENDING_KEYS,
        Action.SEND_ACCEPTANCE,
        Action.SEND_COMPLETED_KEYS);
    on(
        State.CHECKING_COMPATIBILITY,
        Event.SUCCESSOR_INCOMPATIBLE,
        State.ACTIVE,
        Action.SEND_REJECTION);
    on(State.CHECKING_COMPATIBILITY, Event.SUCCESSOR_WITHDREW, State.ACTIVE);
    on(
        State.CHECKING_COMPATIBILITY,
        Event.DEADLINE_EXCEEDED,
        State.ACTIVE,
        Action.SEND_RETRY_LATER);
    on(State.CHECKING_COMPATIBILITY, Event.PEER_LOST, State.ACTIVE);
  }

  private static void addKeySendingRows() {
    on(State.SENDING_KEYS, Event.ALL_KEYS_SENT, State.KEYS_SENT, Action.SEND_KEYS_COMPLETE);
    on(
        State.KEYS_SENT,
        Event.KEYS_ACKNOWLEDGED,
        State.OWNERSHIP_TRANSFERRED,
        Action.TRANSFER_OWNERSHIP,
        Action.SEND_OWNERSHIP);
    on(
        State.KEYS_SENT,
        Event.SUCCESSOR_LAGGING,
        State.ACTIVE,
        Action.STOP_SENDING_KEYS,
        Action.SEND_RETRY_LATER);
    for (State sending : List.of(State.SENDING_KEYS, State.KEYS_SENT)) {
      on(
          sending,
          Event.DEADLINE_EXCEEDED,
          State.ACTIVE,
          Action.STOP_SENDING_KEYS,
          Action.SEND_RETRY_LATER);
      on(sending, Event.PEER_LOST, State.ACTIVE, Action.STOP_SENDING_KEYS);
    }
  }

  private static void addRelinquishRows() {
    on(
        State.OWNERSHIP_TRANSFERRED,
        Event.SUCCESSOR_LISTENING,
        State.RELINQUISHED,
        Action.RELINQUISH,
        Action.SEND_RELINQUISHED);
    for (Event end : List.of(Event.OWNERSHIP_RETURNED, Event.PEER_LOST)) {
      on(State.OWNERSHIP_TRANSFERRED, end, State.ACTIVE, Action.RECLAIM_OWNERSHIP);
    }
    on(
        State.RELINQUISHED,
        Event.PEER_LOST,
        State.ACTIVE,
        Action.RECLAIM_OWNERSHIP,
        Action.LISTEN_ALONE,
        Action.START_SERVING);
  }

  private static void on(State state, Event event, State next, Action... actions) {
    Row previous =
        TABLE
            .computeIfAbsent(state, key -> new EnumMap<>(Event.class))
            .put(event, new Row(next, List.of(actions)));
    if (previous != null) {
      throw new IllegalStateException("two rows for " + event + " in " + state);
    }
  }

  private State state;

  /**
   * @param peerServes true where another process of this host serves already
   */
  public HandoverStateMachine(boolean peerServes) {
    this(peerServes ? State.AWAITING_WORKER_POOL : State.ACTIVE);
  }

  /** Starts in any state, for a model checker. */
  public HandoverStateMachine(State state) {
    this.state = state;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** True where this event has a row in the current state. */
  public boolean accepts(Event event) {
    return TABLE.get(state).containsKey(event);
  }

  /** Applies one event and returns what it changed. */
  public Transition apply(Event event) {
    State from = state;
    Row row = TABLE.get(from).get(event);
    if (row == null) {
      return new Transition(from, from, List.of(), true);
    }
    state = row.next();
    return new Transition(from, state, row.actions(), false);
  }
}
