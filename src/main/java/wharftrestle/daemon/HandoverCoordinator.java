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
 * Drives the handover between the processes of a host: turns messages of the peer and timers into
 * events of the {@link HandoverStateMachine}, and has its actions carried out by {@link
 * HandoverActions}. One lock, this object's, guards the state machine, the links and the actions;
 * it is never held while the peer is waited for.
 */
final class HandoverCoordinator implements PeerLink.MessageHandler, HandoverActions.Events {

  /** A silent successor is given up on after that; nothing has moved by then. */
  private static final long SUCCESSOR_SILENCE_MILLIS = 10_000;

  private final String name;
  private final PeerCoordinator peerKeys;
  private final HandoverHost host;
  private final CompatibilityCheck compatibilityCheck;
  private final HandoverLinks links;
  private final HandoverActions actions;
  private final HandoverStateMachine stateMachine;

  /** Why the last handover failed, as operators and the peer are shown it. */
  private String failureReason = "";

  private int attempt;

  /** True where the successor has died and this process leaves: only it knows the keys. */
  private boolean leavesAsLastHolder;

  private volatile boolean isClosed;

  /**
   * Connects to the process that serves this host, if one does.
   *
   * @param socket where the processes of the host meet; null where handovers are off
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

  /** A process that holds the keys may be stopped, or outlive its successor: it is waited for. */
  private static State initialState(HandoverLinks links) {
    if (links.current() != null) {
      return State.AWAITING_WORKER_POOL;
    }
    return links.isOnlyKeyHolder() ? State.ACTIVE : State.DISCOVERING_PEER;
  }

  // ---- The life of this process ----

  /** True where another process serves, or holds the keys, and this one has yet to serve. */
  synchronized boolean isStandby() {
    return stateMachine.state() != State.ACTIVE;
  }

  @Override
  public synchronized State state() {
    return stateMachine.state();
  }

  /** Why this process cannot take over; empty where it can, or has. */
  synchronized String refusalReason() {
    return stateMachine.state() == State.AWAITING_PREDECESSOR_EXIT ? failureReason : "";
  }

  /** True where this process leaves, and a further one could still receive the keys from it. */
  synchronized boolean isLastHolder() {
    return leavesAsLastHolder && stateMachine.state() != State.RELINQUISHED;
  }

  /** Reads messages of the process that serves from now on. */
  void start() {
    PeerLink predecessor;
    synchronized (this) {
      predecessor = links.current();
    }
    if (predecessor != null) {
      predecessor.start();
    } else {
      Logger.warn(
          "{}: a process that knows the keys of this box lives and cannot be met now: it is waited"
              + " for",
          name);
    }
  }

  /** The worker pool is connected, and with it all that this process needs to serve. */
  synchronized void onWorkerPoolReady() {
    if (stateMachine.accepts(Event.WORKER_POOL_READY)) {
      apply(Event.WORKER_POOL_READY);
    } else if (stateMachine.state() == State.DISCOVERING_PEER) {
      actions.execute(Action.DISCOVER_PEER, failureReason);
    }
  }

  /**
   * This process serves from now on. It can be reached by successors before it reports so: one that
   * is started on that report must not meet the process before this one.
   */
  @Override
  public synchronized void startServing() {
    if (host.isLeaving()) {
      leavesAsLastHolder = true;
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

  /** Evaluates this while no event is applied. */
  synchronized boolean locked(BooleanSupplier supplier) {
    return supplier.getAsBoolean();
  }

  /** Ends all links, as at the end of the process. */
  synchronized void close() {
    isClosed = true;
    actions.close();
    links.close();
  }

  // ---- Messages of the peer ----

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
        // Timestamps of its keys are compared with those of requests that are read here.
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
      failureReason = "too much settled meanwhile";
      return Event.SUCCESSOR_LAGGING;
    }
    return Event.KEYS_ACKNOWLEDGED;
  }

  /** The event of each message that needs no decision here. */
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
          throw new IllegalArgumentException("decided before it is an event: " + message);
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
          "{}: handover from={} to={} event={}", name, transition.from(), transition.to(), event);
    }
    if (transition.to().hasDeadline() && !transition.from().hasDeadline()) {
      attempt++;
      scheduleSilenceDeadline(attempt);
    }
    transition.actions().forEach(action -> actions.execute(action, failureReason));
  }

  private void scheduleSilenceDeadline(int ofAttempt) {
    schedule(
        "handover-silence",
        SUCCESSOR_SILENCE_MILLIS,
        () -> {
          if (ofAttempt == attempt && stateMachine.state().hasDeadline()) {
            apply(
                Event.DEADLINE_EXCEEDED,
                "it was silent for " + SUCCESSOR_SILENCE_MILLIS / 1000 + " s");
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
  public synchronized void whileSendingKeys(PeerLink successor, int ofAttempt, Runnable step) {
    if (successor == links.current()
        && ofAttempt == attempt
        && stateMachine.state() == State.SENDING_KEYS) {
      step.run();
      serveWaitingRequest();
    }
  }
}
