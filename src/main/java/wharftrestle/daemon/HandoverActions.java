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
 * HandoverCoordinator}; what waits for the peer runs on a thread of its own, without that lock.
 */
final class HandoverActions {

  /** The coordinator, as the actions use it. */
  interface Events {
    State state();

    /** Numbers the handovers that this process was asked for. */
    int attempt();

    /** Applies what an action led to. */
    void apply(Event event);

    /** The same for an event whose reason operators and the peer are shown. */
    void apply(Event event, String reason);

    /** Runs a step under the lock after a delay, unless the process is closed by then. */
    void schedule(String threadName, long delayMillis, Runnable step);

    /** Runs a step under the lock if this handover still sends keys to this successor. */
    void whileSendingKeys(PeerLink successor, int attempt, Runnable step);

    /** This process serves from now on. */
    void startServing();
  }

  private static final long FIRST_BACKOFF_MILLIS = 200;
  private static final int MAX_BACKOFFS = 5;

  private static final long FIRST_DISCOVERY_INTERVAL_MILLIS = 50;
  private static final long MAX_DISCOVERY_INTERVAL_MILLIS = 1000;

  /** Attempts to open the stored results that the peer has just closed. */
  private static final int STORAGE_ATTEMPTS_AFTER_TRANSFER = 2;

  /** Attempts to open those of a peer that has just ended. */
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

  /** True after a refusal: keys of the predecessor could not be received. */
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

  /** What this process states of itself now. */
  Capabilities capabilities() {
    return host.capabilities().with(peerKeys.keyCapacity(), SteadyWallClock.offsetMillis());
  }

  /** Ends the threads of this process's actions. */
  void close() {
    pauseWatch.stop();
  }

  /** Carries out one action; the reason is that of the event which led to it. */
  void execute(Action action, String reason) {
    switch (action) {
      case SEND_TAKEOVER_REQUEST -> requestTakeover();
      case SEND_PREDECESSOR_CAPABILITIES ->
          links.current().sendPredecessorCapabilities(capabilities().encode());
      case SEND_SUCCESSOR_CAPABILITIES ->
          links.current().sendSuccessorCapabilities(capabilities().encode());
      case SEND_WITHDRAWAL -> links.current().send(Message.WITHDRAWAL, reason);
      case SEND_ACCEPTANCE -> links.current().send(Message.ACCEPTANCE, "");
      case SEND_REJECTION -> reject(reason);
      case SEND_RETRY_LATER -> giveUpForNow(reason);
      case SEND_COMPLETED_KEYS -> sendCompletedKeys();
      case STOP_SENDING_KEYS -> peerKeys.stopSendingSettledKeys();
      case SEND_KEYS_COMPLETE -> links.current().sendKeysComplete(completedKeysSent);
      case SEND_KEYS_ACKNOWLEDGED -> acknowledgeKeys();
      case TRANSFER_OWNERSHIP -> openKeysSent = transferKeysTo(links.current());
      case SEND_OWNERSHIP -> links.current().sendOwnership(openKeysSent);
      case TRANSFER_OWNERSHIP_LEGACY -> transferOwnershipLegacy(links.current());
      case PARK_LINK ->
          Logger.warn(
              "{}: an older build asks to take over; it can start once this process has ended",
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
      default -> throw new IllegalStateException("no code for action " + action);
    }
  }

  // ---- The successor ----

  private void requestTakeover() {
    peerKeys.joinPeer(links.current(), 0);
    links.current().sendTakeoverRequest(name, BuildInfo.HANDOVER_VERSIONS);
  }

  private void acknowledgeKeys() {
    links.holdKeys(); // Before the open keys: they may arrive after their owner's end.
    links.current().send(Message.KEYS_ACKNOWLEDGED, "");
  }

  private void openStorage() {
    if (host.openStorage(STORAGE_ATTEMPTS_AFTER_TRANSFER)) {
      events.apply(Event.STORAGE_OPENED);
    } else {
      peerKeys.returnKeys();
      events.apply(Event.STORAGE_UNAVAILABLE, "its folder of kept results cannot be had");
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
    boolean retries = backoffs <= MAX_BACKOFFS;
    events.schedule(
        "handover-backoff",
        retries ? FIRST_BACKOFF_MILLIS << backoffs : 1,
        () -> {
          if (events.state() == State.IN_BACKOFF) {
            events.apply(retries ? Event.BACKOFF_ELAPSED : Event.RETRIES_EXHAUSTED);
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

  /** Another process of this host may have waited as well: the first one serves. */
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

  /** How the executions of the predecessor ended is unknown. */
  private void resolvePeerLoss() {
    if (!host.openStorage(STORAGE_ATTEMPTS_AFTER_PEER_EXIT)) {
      Logger.error("{}: kept results cannot be had, keyed requests are refused", name);
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

  private void reject(String reason) {
    Logger.warn("{}: another process asked to take over and cannot: {}", name, reason);
    links.current().send(Message.REJECTION, reason);
  }

  private void giveUpForNow(String reason) {
    Logger.warn("{}: the process that asked to take over is given up on for now: {}", name, reason);
    links.current().send(Message.RETRY_LATER, reason);
  }

  /** On a thread of its own, as the successor may be slow to read. */
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

  /** The count is negative where the successor did not read them in time. */
  private void onCompletedKeysSent(int sent) {
    completedKeysSent = sent;
    if (sent < 0) {
      events.apply(Event.DEADLINE_EXCEEDED, "it does not take what it is told");
    } else {
      events.apply(Event.ALL_KEYS_SENT);
    }
  }

  private int transferKeysTo(PeerLink successor) {
    host.shareResources(true);
    int openKeys = peerKeys.transferKeys(successor);
    host.closeStorage(); // Only the owner of the keys writes, and it reads what is on disk by now.
    pauseWatch.start();
    return openKeys;
  }

  private void transferOwnershipLegacy(PeerLink successor) {
    int openKeys = transferKeysTo(successor);
    // On a thread of its own, as a successor of format 1 that stalls owns all keys and is waited
    // for.
    PlatformThreads.thread(
            "handover-keys",
            () ->
                successor.sendLegacyOwnership(
                    openKeys + Math.max(0, peerKeys.sendCompletedKeysAfterHandover(successor))))
        .start();
  }

  private void reclaimOwnership() {
    if (pauseWatch.hasPausedRecently() && !host.storesResults()) {
      // The successor may have executed keys whose announcement it could not write meanwhile.
      host.failUnknownKeys();
    }
    pauseWatch.stop();
    host.openStorage(STORAGE_ATTEMPTS_AFTER_PEER_EXIT);
    peerKeys.peerLost();
    host.shareResources(false);
    Logger.warn("{}: the process that took over is gone, this one owns its keys again", name);
  }
}
