package wharftrestle.daemon;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.CompatibilityCheck;
import wharftrestle.handover.HandoverStateMachine;
import wharftrestle.handover.HandoverStateMachine.Action;
import wharftrestle.handover.HandoverStateMachine.Event;
import wharftrestle.handover.HandoverStateMachine.State;
import wharftrestle.handover.HandoverStateMachine.Transition;
import wharftrestle.request.PeerCoordinator;
import wharftrestle.request.PlatformThreads;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.PeerLink;
import wharftrestle.transport.PeerLink.Message;

/**
 * Coordinates the handover between the processes of a host. It translates messages of the peer and
 * timers into events of the {@link HandoverStateMachine}, and has the resulting actions carried out
 * by {@link HandoverActions}. The lock of this object guards the state machine, the links and the
 * actions; it is never held while waiting for the peer.
 */
final class HandoverCoordinator implements PeerLink.MessageHandler, HandoverActions.Events {

  /** A handover to a silent successor is cancelled after this time; no ownership has moved yet. */
  private static final long SUCCESSOR_SILENCE_TIMEOUT_MILLIS = 10_000;

  private final String name;
  private final PeerCoordinator peerKeys;
  private final HandoverHost host;
  private final CompatibilityCheck compatibilityCheck;
  private final HandoverLinks links;
  private final HandoverActions actions;
  private final HandoverStateMachine stateMachine;

  /** Why the last handover failed; shown to operators and sent to the peer. */
  private String failureReason = "";

  private int attempt;

  /** True if the successor has ended and this process shuts down: no other knows the keys. */
  private boolean drainsAsLastKeyHolder;

  private volatile boolean isClosed;

  /**
   * Connects to the process that serves this host, if one does.
   *
   * @param socket at which processes of the host connect to the serving one; null if handovers are
   *     off
   */
  HandoverCoordinator(
      String name,
      Path socket,
      PeerCoordinator peerKeys,
      HandoverHost host,
      CompatibilityCheck compatibilityCheck) {
    this.name = name;
    this.peerKeys = peerKeys;
    this.host = host;
    this.compatibilityCheck = compatibilityCheck;
    links = new HandoverLinks(socket, peerKeys, this);
    actions = new HandoverActions(name, links, peerKeys, host, this);
    stateMachine = new HandoverStateMachine(initialState(links));
  }

  /**
   * Determines the initial state. A process that holds the keys but cannot be reached, as it is
   * stopped or has outlived its successor, is waited for.
   */
  private static State initialState(HandoverLinks links) {
    if (links.current() != null) {
      return State.AWAITING_WORKER_POOL;
    }
    return links.isOnlyKeyHolder() ? State.ACTIVE : State.DISCOVERING_PEER;
  }

  // ---- Start, state and end of this process ----

  /** True if another process serves or holds the keys, and this one does not serve yet. */
  synchronized boolean isStandby() {
    return stateMachine.state() != State.ACTIVE;
  }

  @Override
  public synchronized State state() {
    return stateMachine.state();
  }

  /** Why this process cannot take over; empty if it can, or has taken over. */
  synchronized String refusalReason() {
    return stateMachine.state() == State.AWAITING_PREDECESSOR_EXIT ? failureReason : "";
  }

  /** True if this process shuts down and another one could still receive the keys from it. */
  synchronized boolean isLastKeyHolder() {
    return drainsAsLastKeyHolder && stateMachine.state() != State.RELINQUISHED;
  }

  /** Starts to read messages of the process that serves, if it can be reached. */
  void start() {
    PeerLink predecessor;
    synchronized (this) {
      predecessor = links.current();
    }
    if (predecessor != null) {
      predecessor.start();
    } else {
      Logger.warn(
          "{}: another process knows the keys of this host and cannot be reached; waiting until it"
              + " can be reached or has ended",
          name);
    }
  }

  /** Continues the takeover once the worker pool is connected, so that this process can serve. */
  synchronized void onWorkerPoolReady() {
    if (stateMachine.accepts(Event.WORKER_POOL_READY)) {
      apply(Event.WORKER_POOL_READY);
    } else if (stateMachine.state() == State.DISCOVERING_PEER) {
      actions.execute(Action.DISCOVER_PEER, failureReason);
    }
  }

  /**
   * Starts to serve. The socket for successors is opened before the new state is published, so that
   * a successor which is started on that state does not connect to the predecessor of this process.
   */
  @Override
  public synchronized void startServing() {
    if (host.isShuttingDown()) {
      drainsAsLastKeyHolder = true;
      acceptSuccessors();
    } else {
      acceptSuccessors();
      host.enterServing();
    }
  }

  private void acceptSuccessors() {
    if (links.isEnabled() && !isClosed) {
      links.listen();
    }
  }

  /** Runs an operation while no event is applied, and returns its result. */
  synchronized boolean runLocked(BooleanSupplier operation) {
    return operation.getAsBoolean();
  }

  /** Closes all links when the process ends. */
  synchronized void close() {
    isClosed = true;
    actions.close();
    links.close();
  }

  // ---- Messages from the peer ----

  @Override
  public synchronized void onMessage(PeerLink link, Message message, String detail) {
    if (isClosed) {
      return;
    }
    if (message == Message.TAKEOVER_REQUEST) {
      onTakeoverRequest(link, detail);
    } else if (link == links.current()) {
      onPeerMessage(message, detail);
    } else if (message == Message.LINK_LOST) {
      links.removeWaiting(link);
    }
  }

  private void onPeerMessage(Message message, String detail) {
    Event event =
        switch (message) {
          case PREDECESSOR_CAPABILITIES -> onPredecessorCapabilities(detail);
          case SUCCESSOR_CAPABILITIES -> onSuccessorCapabilities(detail);
          case KEYS_ACKNOWLEDGED -> onKeysAcknowledged();
          default -> eventOf(message);
        };
    if (!detail.isEmpty() && carriesReason(message)) {
      failureReason = detail;
    }
    if (message == Message.LINK_LOST) {
      links.setCurrent(null);
    }
    apply(event);
    serveWaitingRequest();
  }

  private static boolean carriesReason(Message message) {
    return message != Message.PREDECESSOR_CAPABILITIES && message != Message.SUCCESSOR_CAPABILITIES;
  }

  private void onTakeoverRequest(PeerLink link, String versions) {
    if (stateMachine.state().acceptsTakeover()) {
      serveTakeoverRequest(link, versions);
    } else if (link != links.current()) {
      links.enqueue(new HandoverLinks.WaitingRequest(link, versions));
    }
  }

  private void serveTakeoverRequest(PeerLink link, String versions) {
    PeerLink previous = links.current();
    links.setCurrent(link);
    Event event =
        switch (versions) {
          case "0" -> Event.UNSUPPORTED_TAKEOVER_REQUEST;
          case "1" -> Event.LEGACY_TAKEOVER_REQUEST;
          default -> Event.TAKEOVER_REQUEST;
        };
    apply(event);
    if (event == Event.UNSUPPORTED_TAKEOVER_REQUEST) {
      links.setCurrent(previous);
    }
  }

  private void serveWaitingRequest() {
    if (!stateMachine.state().acceptsTakeover()) {
      return;
    }
    HandoverLinks.WaitingRequest request = links.pollWaiting();
    if (request != null) {
      serveTakeoverRequest(request.link(), request.versions());
    }
  }

  private Event onPredecessorCapabilities(String text) {
    try {
      Capabilities predecessor = Capabilities.decode(text);
      Capabilities own = actions.capabilities();
      Optional<String> reason = compatibilityCheck.incompatibility(predecessor, own);
      failureReason = reason.orElse("");
      if (reason.isPresent()) {
        return Event.PREDECESSOR_INCOMPATIBLE;
      }
      if (predecessor.clockBaseUnixMillis() != 0) {
        // Timestamps of its keys are compared with those of requests that this process reads.
        SteadyWallClock.adoptOffset(predecessor.clockBaseUnixMillis());
      }
      peerKeys.joinPeer(
          links.current(), CompatibilityCheck.windowExtensionSeconds(predecessor, own));
      return Event.PREDECESSOR_COMPATIBLE;
    } catch (Capabilities.MalformedCapabilitiesException e) {
      failureReason = e.getMessage();
      return Event.PREDECESSOR_INCOMPATIBLE;
    }
  }

  private Event onSuccessorCapabilities(String text) {
    try {
      Capabilities successor = Capabilities.decode(text);
      Optional<String> reason =
          compatibilityCheck.incompatibility(actions.capabilities(), successor);
      failureReason = reason.orElse("");
      return reason.isPresent() ? Event.SUCCESSOR_INCOMPATIBLE : Event.SUCCESSOR_COMPATIBLE;
    } catch (Capabilities.MalformedCapabilitiesException e) {
      failureReason = e.getMessage();
      return Event.SUCCESSOR_INCOMPATIBLE;
    }
  }

  private Event onKeysAcknowledged() {
    if (peerKeys.hasUnsentKeys()) {
      failureReason = "more keys completed during the handover than could be sent";
      return Event.SUCCESSOR_LAGGING;
    }
    return Event.KEYS_ACKNOWLEDGED;
  }

  /** The event of a message that always leads to the same event. */
  private static Event eventOf(Message message) {
    return switch (message) {
      case WITHDRAWAL -> Event.SUCCESSOR_WITHDREW;
      case ACCEPTANCE -> Event.TAKEOVER_ACCEPTED;
      case REJECTION -> Event.TAKEOVER_REJECTED;
      case RETRY_LATER -> Event.RETRY_LATER;
      case KEYS_COMPLETE -> Event.KEYS_COMPLETE;
      case KEYS_ACKNOWLEDGED -> Event.KEYS_ACKNOWLEDGED;
      case OWNERSHIP -> Event.OWNERSHIP_RECEIVED;
      case LEGACY_OWNERSHIP -> Event.LEGACY_OWNERSHIP_RECEIVED;
      case LISTENING -> Event.SUCCESSOR_LISTENING;
      case OWNERSHIP_RETURNED -> Event.OWNERSHIP_RETURNED;
      case RELINQUISHED -> Event.PREDECESSOR_RELINQUISHED;
      case LINK_LOST -> Event.PEER_LOST;
      case TAKEOVER_REQUEST, PREDECESSOR_CAPABILITIES, SUCCESSOR_CAPABILITIES ->
          throw new IllegalArgumentException("message without a fixed event: " + message);
    };
  }

  // ---- Events and timers ----

  @Override
  public synchronized void apply(Event event, String reason) {
    failureReason = reason;
    apply(event);
  }

  @Override
  public synchronized void apply(Event event) {
    Transition transition = stateMachine.apply(event);
    if (transition.isIgnored()) {
      Logger.debug("{}: handover event ignored event={} state={}", name, event, transition.from());
      return;
    }
    if (transition.from() != transition.to()) {
      Logger.info(
          "{}: handover state changed from={} to={} event={}",
          name,
          transition.from(),
          transition.to(),
          event);
    }
    if (transition.to().hasDeadline() && !transition.from().hasDeadline()) {
      attempt++;
      scheduleSilenceDeadline(attempt);
    }
    transition.actions().forEach(action -> actions.execute(action, failureReason));
  }

  private void scheduleSilenceDeadline(int scheduledAttempt) {
    schedule(
        "handover-silence",
        SUCCESSOR_SILENCE_TIMEOUT_MILLIS,
        () -> {
          if (scheduledAttempt == attempt && stateMachine.state().hasDeadline()) {
            apply(
                Event.DEADLINE_EXCEEDED,
                "the successor sent no message for "
                    + SUCCESSOR_SILENCE_TIMEOUT_MILLIS / 1000
                    + " s");
            serveWaitingRequest();
          }
        });
  }

  @Override
  public int attempt() {
    return attempt;
  }

  @Override
  public void schedule(String threadName, long delayMillis, Runnable step) {
    PlatformThreads.thread(
            threadName,
            () -> {
              LockSupport.parkNanos(delayMillis * 1_000_000);
              synchronized (this) {
                if (!isClosed) {
                  step.run();
                }
              }
            })
        .start();
  }

  @Override
  public synchronized void whileSendingKeys(
      PeerLink successor, int expectedAttempt, Runnable step) {
    if (successor == links.current()
        && expectedAttempt == attempt
        && stateMachine.state() == State.SENDING_KEYS) {
      step.run();
      serveWaitingRequest();
    }
  }
}
