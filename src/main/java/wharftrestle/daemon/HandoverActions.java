package wharftrestle.daemon;

import org.tinylog.Logger;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.HandoverStateMachine.Action;
import wharftrestle.handover.HandoverStateMachine.Event;
import wharftrestle.handover.HandoverStateMachine.State;
import wharftrestle.request.PeerCoordinator;
import wharftrestle.request.PlatformThreads;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.PeerLink;
import wharftrestle.transport.PeerLink.Message;
import wharftrestle.version.BuildInfo;

/**
 * Carries out the actions of the handover's state machine. Called under the lock of {@link
 * HandoverCoordinator}; work that waits for the peer runs on a separate thread without that lock.
 */
final class HandoverActions {

  /** The operations of the coordinator that actions use. */
  interface Events {
    State state();

    /** Sequence number of the latest handover to a successor. */
    int attempt();

    /** Applies an event that an action caused. */
    void apply(Event event);

    /** Applies an event with a reason, which is shown to operators and sent to the peer. */
    void apply(Event event, String reason);

    /** Runs a step under the lock after a delay, unless the process is closed by then. */
    void schedule(String threadName, long delayMillis, Runnable step);

    /** Runs a step under the lock if the given attempt still sends keys to this successor. */
    void whileSendingKeys(PeerLink successor, int attempt, Runnable step);

    /** Starts to serve. */
    void startServing();
  }

  private static final long FIRST_BACKOFF_MILLIS = 200;
  private static final int MAX_BACKOFFS = 5;

  private static final long FIRST_DISCOVERY_INTERVAL_MILLIS = 50;
  private static final long MAX_DISCOVERY_INTERVAL_MILLIS = 1000;

  /** Attempts to open the stored results after the peer has closed them in a handover. */
  private static final int STORAGE_ATTEMPTS_AFTER_TRANSFER = 2;

  /** Attempts to open the stored results after the peer process has ended. */
  private static final int STORAGE_ATTEMPTS_AFTER_PEER_EXIT = 20;

  private final String name;
  private final HandoverLinks links;
  private final PeerCoordinator peerKeys;
  private final HandoverHost host;
  private final Events events;
  private final PauseWatch pauseWatch = new PauseWatch();
  private int backoffs;
  private int completedKeysSent;
  private int openKeysSent;

  /** True after a refused takeover: the keys of the predecessor were not received. */
  private boolean lacksPredecessorKeys;

  HandoverActions(
      String name,
      HandoverLinks links,
      PeerCoordinator peerKeys,
      HandoverHost host,
      Events events) {
    this.name = name;
    this.links = links;
    this.peerKeys = peerKeys;
    this.host = host;
    this.events = events;
  }

  /** The capabilities of this process, with its current keys and clock. */
  Capabilities capabilities() {
    return host.capabilities()
        .withRuntimeState(peerKeys.keyCapacity(), SteadyWallClock.offsetMillis());
  }

  /** Stops the threads that actions have started. */
  void close() {
    pauseWatch.stop();
  }

  /** Carries out one action; the reason belongs to the event that caused it. */
  void execute(Action action, String reason) {
    switch (action) {
      case SEND_TAKEOVER_REQUEST -> requestTakeover();
      case SEND_PREDECESSOR_CAPABILITIES ->
          links.current().sendPredecessorCapabilities(capabilities().encode());
      case SEND_SUCCESSOR_CAPABILITIES ->
          links.current().sendSuccessorCapabilities(capabilities().encode());
      case SEND_WITHDRAWAL -> links.current().send(Message.WITHDRAWAL, reason);
      case SEND_ACCEPTANCE -> links.current().send(Message.ACCEPTANCE, "");
      case SEND_REJECTION -> sendRejection(reason);
      case SEND_RETRY_LATER -> sendRetryLater(reason);
      case SEND_COMPLETED_KEYS -> sendCompletedKeys();
      case STOP_SENDING_KEYS -> peerKeys.stopSendingSettledKeys();
      case SEND_KEYS_COMPLETE -> links.current().sendKeysComplete(completedKeysSent);
      case SEND_KEYS_ACKNOWLEDGED -> acknowledgeKeys();
      case TRANSFER_OWNERSHIP -> openKeysSent = transferKeysTo(links.current());
      case SEND_OWNERSHIP -> links.current().sendOwnership(openKeysSent);
      case TRANSFER_OWNERSHIP_LEGACY -> transferOwnershipLegacy(links.current());
      case PARK_LINK ->
          Logger.warn(
              "{}: takeover request of handover format 0 cannot be served; its sender can start"
                  + " once this process has ended",
              name);
      case OPEN_STORAGE -> openStorage();
      case RETURN_OWNERSHIP -> returnOwnership(reason);
      case LISTEN_ALONGSIDE -> listen(false);
      case SEND_LISTENING -> links.current().send(Message.LISTENING, "");
      case RELINQUISH -> host.relinquishClients();
      case SEND_RELINQUISHED -> links.current().send(Message.RELINQUISHED, "");
      case RECLAIM_OWNERSHIP -> reclaimOwnership();
      case RESOLVE_PEER_LOSS -> resolvePeerLoss();
      case LISTEN_ALONE -> listen(true);
      case START_SERVING -> events.startServing();
      case DISCOVER_PEER -> scheduleDiscovery(FIRST_DISCOVERY_INTERVAL_MILLIS);
      case START_BACKOFF -> startBackoff();
      case REPORT_REFUSAL -> reportRefusal(reason);
      default -> throw new IllegalStateException("action is not implemented: " + action);
    }
  }

  // ---- The successor ----

  private void requestTakeover() {
    peerKeys.joinPeer(links.current(), 0);
    links.current().sendTakeoverRequest(name, BuildInfo.HANDOVER_VERSIONS);
  }

  private void acknowledgeKeys() {
    links.holdKeys(); // Before the open keys arrive, as their owner may have ended by then.
    links.current().send(Message.KEYS_ACKNOWLEDGED, "");
  }

  private void openStorage() {
    if (host.openStorage(STORAGE_ATTEMPTS_AFTER_TRANSFER)) {
      events.apply(Event.STORAGE_OPENED);
    } else {
      peerKeys.returnKeys();
      events.apply(
          Event.STORAGE_UNAVAILABLE, "the successor cannot open the directory of stored results");
    }
  }

  private void returnOwnership(String reason) {
    links.releaseKeys();
    links.current().send(Message.OWNERSHIP_RETURNED, reason);
  }

  private void listen(boolean isAlone) {
    host.listen(isAlone);
    host.acceptClients();
  }

  private void startBackoff() {
    links.releaseKeys();
    backoffs++;
    boolean hasRetriesLeft = backoffs <= MAX_BACKOFFS;
    events.schedule(
        "handover-backoff",
        hasRetriesLeft ? FIRST_BACKOFF_MILLIS << backoffs : 1,
        () -> {
          if (events.state() == State.IN_BACKOFF) {
            events.apply(hasRetriesLeft ? Event.BACKOFF_ELAPSED : Event.RETRIES_EXHAUSTED);
          }
        });
  }

  private void reportRefusal(String reason) {
    lacksPredecessorKeys = true;
    host.reportRefusal(reason);
  }

  private void scheduleDiscovery(long intervalMillis) {
    events.schedule("handover-discovery", intervalMillis, () -> discoverPeer(intervalMillis));
  }

  /** Other processes of this host may be waiting as well; the first to acquire the lock serves. */
  private void discoverPeer(long lastIntervalMillis) {
    if (events.state() != State.DISCOVERING_PEER) {
      return;
    }
    if (links.reconnect()) {
      backoffs = 0;
      events.apply(Event.PEER_DISCOVERED);
    } else if (links.isOnlyKeyHolder() && host.listen(true)) {
      events.apply(Event.NO_PEER_DISCOVERED);
    } else {
      scheduleDiscovery(Math.min(MAX_DISCOVERY_INTERVAL_MILLIS, lastIntervalMillis * 2));
    }
  }

  /** Handles the end of the predecessor; the outcome of its executions in flight is unknown. */
  private void resolvePeerLoss() {
    if (!host.openStorage(STORAGE_ATTEMPTS_AFTER_PEER_EXIT)) {
      Logger.error(
          "{}: cannot open the stored results; rejecting requests with an idempotency key", name);
    }
    peerKeys.peerLost();
    host.shareResources(false);
    if (lacksPredecessorKeys) {
      lacksPredecessorKeys = false;
      host.failUnknownKeys();
    }
    host.onPeerExit();
  }

  // ---- The predecessor ----

  private void sendRejection(String reason) {
    Logger.warn(
        "{}: takeover request of a new process rejected; this process continues to serve and the new"
            + " one waits until it ends reason={}",
        name,
        reason);
    links.current().send(Message.REJECTION, reason);
  }

  private void sendRetryLater(String reason) {
    Logger.warn("{}: handover cancelled, successor may retry reason={}", name, reason);
    links.current().send(Message.RETRY_LATER, reason);
  }

  /** Runs on a separate thread, as the successor may be slow to read. */
  private void sendCompletedKeys() {
    PeerLink successor = links.current();
    int attempt = events.attempt();
    PlatformThreads.thread(
            "handover-keys",
            () -> {
              int sent = peerKeys.sendCompletedKeys(successor);
              events.whileSendingKeys(successor, attempt, () -> onCompletedKeysSent(sent));
            })
        .start();
  }

  /** The count is negative if the successor did not read the keys in time. */
  private void onCompletedKeysSent(int sent) {
    completedKeysSent = sent;
    if (sent < 0) {
      events.apply(
          Event.DEADLINE_EXCEEDED, "the successor does not read the completed keys in time");
    } else {
      events.apply(Event.ALL_KEYS_SENT);
    }
  }

  private int transferKeysTo(PeerLink successor) {
    host.shareResources(true);
    int openKeys = peerKeys.transferKeys(successor);
    host.closeStorage(); // Only the owner writes, and the successor reads what is on disk by now.
    pauseWatch.start();
    return openKeys;
  }

  private void transferOwnershipLegacy(PeerLink successor) {
    int openKeys = transferKeysTo(successor);
    // On a separate thread: a successor of format 1 owns all keys by now, so this process has to
    // wait for it even if it stalls.
    PlatformThreads.thread(
            "handover-keys",
            () ->
                successor.sendLegacyOwnership(
                    openKeys + Math.max(0, peerKeys.sendCompletedKeysAfterHandover(successor))))
        .start();
  }

  private void reclaimOwnership() {
    if (pauseWatch.hasPausedRecently() && !host.storesResults()) {
      // The successor may have executed keys that it could not announce during the pause.
      host.failUnknownKeys();
    }
    pauseWatch.stop();
    host.openStorage(STORAGE_ATTEMPTS_AFTER_PEER_EXIT);
    peerKeys.peerLost();
    host.shareResources(false);
    Logger.warn(
        "{}: handover undone, as the successor exited or returned ownership; this process owns all"
            + " keys again, see the successor's log for the cause",
        name);
  }
}
