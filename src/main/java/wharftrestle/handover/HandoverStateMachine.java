package wharftrestle.handover;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The handover protocol of one process of a host, as a state machine without I/O. It maps an event
 * to the actions that the caller carries out, in order. A process runs through it twice: first as
 * the successor of the process that serves, later as the predecessor of the next one.
 *
 * <p>At most one of the processes of a host {@linkplain State#ownsKeys owns its keys}; between the
 * sending and the receipt of {@code OWNERSHIP} none does. A link ends only with the process at its
 * other end, so {@link Event#PEER_LOST} means that the peer process has ended.
 *
 * <p>An event that the transition table does not list for the current state is {@linkplain
 * Transition#isIgnored ignored}. Not thread-safe: the caller's lock guards it.
 */
public final class HandoverStateMachine {

  /** The progress of the handover, as seen by this process. */
  public enum State {
    // The successor.
    /** Another process serves; this one is not connected to its worker pool yet. */
    AWAITING_WORKER_POOL("seeking"),
    /** Sent a takeover request; waits for the predecessor's capabilities. */
    TAKEOVER_REQUESTED("asking"),
    /** Sent its own capabilities; waits for the predecessor's decision. */
    CAPABILITIES_SENT("asked"),
    /** Receives completed keys; owns no key. */
    RECEIVING_KEYS("taking"),
    /** Has received all completed keys; owns no key. */
    KEYS_RECEIVED("holding"),
    /** Waits before it repeats the takeover request. */
    IN_BACKOFF("pausing"),
    /** Owns all keys; opens the stored results. */
    OPENING_STORAGE("opening"),
    /** Owns all keys and listens; the predecessor may listen as well. */
    LISTENING_ALONGSIDE("taken"),
    /** Serves; the predecessor completes its requests in flight. */
    PREDECESSOR_DRAINING("sharing"),
    /** Cannot take over; waits until the predecessor has ended. */
    AWAITING_PREDECESSOR_EXIT("refused"),
    /** The peer has ended; checks whether another process serves. */
    DISCOVERING_PEER("looking"),

    // The process that serves, later the predecessor.
    /** Owns all keys and listens; no handover is under way. */
    ACTIVE("alone"),
    /** Sent its own capabilities; waits for those of the successor. */
    CHECKING_COMPATIBILITY("weighing"),
    /** Sends completed keys and continues to serve. */
    SENDING_KEYS("dealing"),
    /** Sent all completed keys; waits for the acknowledgement. */
    KEYS_SENT("offered"),
    /** Transferred the ownership of all keys; listens until the successor does. */
    OWNERSHIP_TRANSFERRED("given"),
    /** Accepts no more clients; completes its requests in flight. */
    RELINQUISHED("ceded");

    private final String publishedName;

    State(String publishedName) {
      this.publishedName = publishedName;
    }

    /** The name under which the admin endpoint and the SNMP agent show this state. */
    public String publishedName() {
      return publishedName;
    }

    /** True if this process owns all keys of the host and decides on each of them. */
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

    /** True if a takeover request of another process is handled in this state. */
    public boolean acceptsTakeover() {
      return this == ACTIVE;
    }

    /**
     * True if the handover is cancelled when the peer is silent for too long. No ownership has been
     * transferred in these states, so cancelling loses no key.
     */
    public boolean hasDeadline() {
      return this == CHECKING_COMPATIBILITY || this == SENDING_KEYS || this == KEYS_SENT;
    }
  }

  /** A message from the peer, or a local event. */
  public enum Event {
    /** The worker pool of this process is connected. */
    WORKER_POOL_READY,
    /** The predecessor sent its capabilities, and this process can take over from it. */
    PREDECESSOR_COMPATIBLE,
    /** The predecessor sent its capabilities, and this process cannot take over from it. */
    PREDECESSOR_INCOMPATIBLE,
    TAKEOVER_ACCEPTED,
    /** The predecessor has sent all completed keys. */
    KEYS_COMPLETE,
    OWNERSHIP_RECEIVED,
    /** The ownership was received from a predecessor of handover format 1. */
    LEGACY_OWNERSHIP_RECEIVED,
    /** The predecessor cancelled this handover; a later request may succeed. */
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
    /** A takeover request of a process of handover format 1. */
    LEGACY_TAKEOVER_REQUEST,
    /** A takeover request of handover format 0, which cannot receive completed keys. */
    UNSUPPORTED_TAKEOVER_REQUEST,
    SUCCESSOR_COMPATIBLE,
    SUCCESSOR_INCOMPATIBLE,
    /** The successor found that it cannot take over. */
    SUCCESSOR_WITHDREW,
    /** This process has sent all completed keys to the successor. */
    ALL_KEYS_SENT,
    /** The successor was silent for too long, or does not read its messages. */
    DEADLINE_EXCEEDED,
    KEYS_ACKNOWLEDGED,
    /** The successor acknowledged, but too many keys completed meanwhile to send them all. */
    SUCCESSOR_LAGGING,
    SUCCESSOR_LISTENING,
    /** The successor cannot continue and has executed no request. */
    OWNERSHIP_RETURNED,
    PEER_LOST
  }

  /** An operation that the caller carries out. */
  public enum Action {
    SEND_TAKEOVER_REQUEST,
    SEND_PREDECESSOR_CAPABILITIES,
    SEND_SUCCESSOR_CAPABILITIES,
    /** Notifies the predecessor that this process cannot take over, with the reason. */
    SEND_WITHDRAWAL,
    SEND_ACCEPTANCE,
    SEND_REJECTION,
    SEND_RETRY_LATER,
    /**
     * Sends all completed keys, and then each key that completes; {@link Event#ALL_KEYS_SENT} or
     * {@link Event#DEADLINE_EXCEEDED} follows.
     */
    SEND_COMPLETED_KEYS,
    STOP_SENDING_KEYS,
    SEND_KEYS_COMPLETE,
    SEND_KEYS_ACKNOWLEDGED,
    /**
     * Sends all active keys, which are those that are not in the index of completed keys, and gives
     * up the ownership of all keys, in one step; {@link #SEND_OWNERSHIP} then notifies the
     * successor.
     */
    TRANSFER_OWNERSHIP,
    SEND_OWNERSHIP,
    /** Transfers the ownership in messages of format 1; the completed keys are sent after it. */
    TRANSFER_OWNERSHIP_LEGACY,
    /**
     * Leaves a takeover request unanswered: its sender can start once this process has ended. Its
     * link stays open until the sender ends.
     */
    PARK_LINK,
    /**
     * Opens the stored results; {@link Event#STORAGE_OPENED} or {@link Event#STORAGE_UNAVAILABLE}
     * follows.
     */
    OPEN_STORAGE,
    RETURN_OWNERSHIP,
    /** Accepts clients while the predecessor still does. */
    LISTEN_ALONGSIDE,
    SEND_LISTENING,
    /** Stops accepting clients, and completes the requests in flight. */
    RELINQUISH,
    SEND_RELINQUISHED,
    /** Takes all keys back, as the successor has ended or has returned the ownership. */
    RECLAIM_OWNERSHIP,
    /**
     * Fails the keys of the predecessor's executions: it has ended, so their outcome is unknown.
     */
    RESOLVE_PEER_LOSS,
    /** Accepts clients as the only process of the host. */
    LISTEN_ALONE,
    /** Reports that this process serves. */
    START_SERVING,
    /**
     * Checks whether another process serves; {@link Event#PEER_DISCOVERED} or {@link
     * Event#NO_PEER_DISCOVERED} follows.
     */
    DISCOVER_PEER,
    /** Waits; {@link Event#BACKOFF_ELAPSED} or {@link Event#RETRIES_EXHAUSTED} follows. */
    START_BACKOFF,
    /** Reports why this process cannot take over and waits until the predecessor has ended. */
    REPORT_REFUSAL
  }

  /**
   * The effect of one event.
   *
   * @param actions to carry out, in this order
   * @param isIgnored true if the table does not list the event for this state; nothing has changed
   *     then
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
    addRow(
        State.AWAITING_WORKER_POOL,
        Event.WORKER_POOL_READY,
        State.TAKEOVER_REQUESTED,
        Action.SEND_TAKEOVER_REQUEST);
    addRow(
        State.TAKEOVER_REQUESTED,
        Event.PREDECESSOR_COMPATIBLE,
        State.CAPABILITIES_SENT,
        Action.SEND_SUCCESSOR_CAPABILITIES);
    addRow(
        State.TAKEOVER_REQUESTED,
        Event.PREDECESSOR_INCOMPATIBLE,
        State.AWAITING_PREDECESSOR_EXIT,
        Action.SEND_WITHDRAWAL,
        Action.REPORT_REFUSAL);
    for (State waiting : List.of(State.TAKEOVER_REQUESTED, State.CAPABILITIES_SENT)) {
      addRow(
          waiting, Event.TAKEOVER_REJECTED, State.AWAITING_PREDECESSOR_EXIT, Action.REPORT_REFUSAL);
    }
  }

  private static void addRetryRows() {
    for (State waiting :
        List.of(
            State.TAKEOVER_REQUESTED,
            State.CAPABILITIES_SENT,
            State.RECEIVING_KEYS,
            State.KEYS_RECEIVED)) {
      addRow(waiting, Event.RETRY_LATER, State.IN_BACKOFF, Action.START_BACKOFF);
    }
    addRow(
        State.IN_BACKOFF,
        Event.BACKOFF_ELAPSED,
        State.TAKEOVER_REQUESTED,
        Action.SEND_TAKEOVER_REQUEST);
    addRow(
        State.IN_BACKOFF,
        Event.RETRIES_EXHAUSTED,
        State.AWAITING_PREDECESSOR_EXIT,
        Action.REPORT_REFUSAL);
  }

  private static void addKeyReceiptRows() {
    addRow(State.CAPABILITIES_SENT, Event.TAKEOVER_ACCEPTED, State.RECEIVING_KEYS);
    addRow(
        State.RECEIVING_KEYS,
        Event.KEYS_COMPLETE,
        State.KEYS_RECEIVED,
        Action.SEND_KEYS_ACKNOWLEDGED);
    addRow(
        State.KEYS_RECEIVED, Event.OWNERSHIP_RECEIVED, State.OPENING_STORAGE, Action.OPEN_STORAGE);
    addRow(
        State.TAKEOVER_REQUESTED,
        Event.LEGACY_OWNERSHIP_RECEIVED,
        State.OPENING_STORAGE,
        Action.OPEN_STORAGE);
  }

  private static void addOwnershipReceiptRows() {
    addRow(
        State.OPENING_STORAGE,
        Event.STORAGE_OPENED,
        State.LISTENING_ALONGSIDE,
        Action.LISTEN_ALONGSIDE,
        Action.SEND_LISTENING);
    addRow(
        State.OPENING_STORAGE,
        Event.STORAGE_UNAVAILABLE,
        State.AWAITING_PREDECESSOR_EXIT,
        Action.RETURN_OWNERSHIP,
        Action.REPORT_REFUSAL);
    addRow(
        State.LISTENING_ALONGSIDE,
        Event.PREDECESSOR_RELINQUISHED,
        State.PREDECESSOR_DRAINING,
        Action.START_SERVING);
  }

  private static void addPredecessorLossRows() {
    for (State nonOwner :
        List.of(
            State.AWAITING_WORKER_POOL,
            State.TAKEOVER_REQUESTED,
            State.CAPABILITIES_SENT,
            State.RECEIVING_KEYS,
            State.KEYS_RECEIVED,
            State.IN_BACKOFF,
            State.AWAITING_PREDECESSOR_EXIT)) {
      addRow(nonOwner, Event.PEER_LOST, State.DISCOVERING_PEER, Action.DISCOVER_PEER);
    }
    addRow(
        State.OPENING_STORAGE,
        Event.PEER_LOST,
        State.ACTIVE,
        Action.RESOLVE_PEER_LOSS,
        Action.LISTEN_ALONE,
        Action.START_SERVING);
    addRow(
        State.LISTENING_ALONGSIDE,
        Event.PEER_LOST,
        State.ACTIVE,
        Action.RESOLVE_PEER_LOSS,
        Action.START_SERVING);
    addRow(State.PREDECESSOR_DRAINING, Event.PEER_LOST, State.ACTIVE, Action.RESOLVE_PEER_LOSS);
    addRow(
        State.DISCOVERING_PEER,
        Event.PEER_DISCOVERED,
        State.TAKEOVER_REQUESTED,
        Action.SEND_TAKEOVER_REQUEST);
    addRow(
        State.DISCOVERING_PEER,
        Event.NO_PEER_DISCOVERED,
        State.ACTIVE,
        Action.RESOLVE_PEER_LOSS,
        Action.LISTEN_ALONE,
        Action.START_SERVING);
  }

  private static void addCompatibilityCheckRows() {
    addRow(
        State.ACTIVE,
        Event.TAKEOVER_REQUEST,
        State.CHECKING_COMPATIBILITY,
        Action.SEND_PREDECESSOR_CAPABILITIES);
    addRow(
        State.ACTIVE,
        Event.LEGACY_TAKEOVER_REQUEST,
        State.OWNERSHIP_TRANSFERRED,
        Action.TRANSFER_OWNERSHIP_LEGACY);
    addRow(State.ACTIVE, Event.UNSUPPORTED_TAKEOVER_REQUEST, State.ACTIVE, Action.PARK_LINK);
    addRow(
        State.CHECKING_COMPATIBILITY,
        Event.SUCCESSOR_COMPATIBLE,
        State.SENDING_KEYS,
        Action.SEND_ACCEPTANCE,
        Action.SEND_COMPLETED_KEYS);
    addRow(
        State.CHECKING_COMPATIBILITY,
        Event.SUCCESSOR_INCOMPATIBLE,
        State.ACTIVE,
        Action.SEND_REJECTION);
    addRow(State.CHECKING_COMPATIBILITY, Event.SUCCESSOR_WITHDREW, State.ACTIVE);
    addRow(
        State.CHECKING_COMPATIBILITY,
        Event.DEADLINE_EXCEEDED,
        State.ACTIVE,
        Action.SEND_RETRY_LATER);
    addRow(State.CHECKING_COMPATIBILITY, Event.PEER_LOST, State.ACTIVE);
  }

  private static void addKeySendingRows() {
    addRow(State.SENDING_KEYS, Event.ALL_KEYS_SENT, State.KEYS_SENT, Action.SEND_KEYS_COMPLETE);
    addRow(
        State.KEYS_SENT,
        Event.KEYS_ACKNOWLEDGED,
        State.OWNERSHIP_TRANSFERRED,
        Action.TRANSFER_OWNERSHIP,
        Action.SEND_OWNERSHIP);
    addRow(
        State.KEYS_SENT,
        Event.SUCCESSOR_LAGGING,
        State.ACTIVE,
        Action.STOP_SENDING_KEYS,
        Action.SEND_RETRY_LATER);
    for (State sending : List.of(State.SENDING_KEYS, State.KEYS_SENT)) {
      addRow(
          sending,
          Event.DEADLINE_EXCEEDED,
          State.ACTIVE,
          Action.STOP_SENDING_KEYS,
          Action.SEND_RETRY_LATER);
      addRow(sending, Event.PEER_LOST, State.ACTIVE, Action.STOP_SENDING_KEYS);
    }
  }

  private static void addRelinquishRows() {
    addRow(
        State.OWNERSHIP_TRANSFERRED,
        Event.SUCCESSOR_LISTENING,
        State.RELINQUISHED,
        Action.RELINQUISH,
        Action.SEND_RELINQUISHED);
    for (Event peerEnd : List.of(Event.OWNERSHIP_RETURNED, Event.PEER_LOST)) {
      addRow(State.OWNERSHIP_TRANSFERRED, peerEnd, State.ACTIVE, Action.RECLAIM_OWNERSHIP);
    }
    addRow(
        State.RELINQUISHED,
        Event.PEER_LOST,
        State.ACTIVE,
        Action.RECLAIM_OWNERSHIP,
        Action.LISTEN_ALONE,
        Action.START_SERVING);
  }

  private static void addRow(State state, Event event, State next, Action... actions) {
    Row previous =
        TABLE
            .computeIfAbsent(state, key -> new EnumMap<>(Event.class))
            .put(event, new Row(next, List.of(actions)));
    if (previous != null) {
      throw new IllegalStateException("duplicate transition: event=" + event + " state=" + state);
    }
  }

  private State state;

  /**
   * @param peerServes true if another process of this host serves already
   */
  public HandoverStateMachine(boolean peerServes) {
    this(peerServes ? State.AWAITING_WORKER_POOL : State.ACTIVE);
  }

  /** Starts in the given state, as a model checker needs. */
  public HandoverStateMachine(State state) {
    this.state = state;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** True if the transition table lists this event for the current state. */
  public boolean accepts(Event event) {
    return TABLE.get(state).containsKey(event);
  }

  /** Applies one event and returns the transition that it caused. */
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
