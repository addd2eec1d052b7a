package wharftrestle.daemon;

import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.CompatibilityCheck;
import wharftrestle.handover.HandoverStateMachine;
import wharftrestle.handover.HandoverStateMachine.Action;
import wharftrestle.handover.HandoverStateMachine.Event;
import wharftrestle.handover.HandoverStateMachine.State;
import wharftrestle.handover.ProcessPauseDetector;
import wharftrestle.request.PeerCoordinator;
import wharftrestle.request.PlatformThreads;
import wharftrestle.time.SteadyWallClock;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.OwnershipLock;
import wharftrestle.transport.PeerLink;
import wharftrestle.transport.PeerLink.Message;
import wharftrestle.version.BuildInfo;

/**
 * Carries out the hand-over between the processes of one box: it gives {@link HandoverStateMachine}
 * what was heard, and does what that asks for. It owns the links to the other processes, the place
 * where they meet, and the waiting. It must never decide a step itself, or wait for the other side
 * while its own lock is held.
 */
final class HandoverCoordinator implements PeerLink.MessageHandler {

  /** What is done to the process itself; none of it waits for the other process. */
  interface Box {
    /** What this process says of itself, but for the room that its keys have. */
    Capabilities terms();

    /**
     * Has the clients' addresses, beside the other process or alone; false where the platform's
     * cannot be had.
     */
    boolean bind(boolean alone);

    /** Takes clients at the addresses that it has. */
    void accept();

    /** Takes no more clients. */
    void cede();

    /** Half of all threads and connections, or the whole; who is too many then is sent away. */
    void halve(boolean half);

    /** Takes the folder of kept results; false where it cannot be had. */
    boolean openRecords(int tries);

    /** True where what ran is known from a disk, whoever ended. */
    boolean keepsRecords();

    /** Gives the folder back, once what waits for it is written or has waited long enough. */
    void closeRecords();

    /** This process serves from now on. */
    void serveOn();

    /** This process waits until the other one has ended. */
    void refused(String reason);

    /**
     * What ran at the process that has ended could not be carried: no key that is not known runs
     * for a window.
     */
    void unknownFail();

    /** The other process has ended: what it had besides its clients can be had. */
    void otherEnded();
  }

  /** Milliseconds after which a silent asker is given up on: nothing was lost or moved by then. */
  private static final long SILENT_MS = 10_000;

  /** Milliseconds of the first pause before it is asked again, and how often it is. */
  private static final long PAUSE_MS = 200;

  private static final int MOST_PAUSES = 5;

  /** Milliseconds between two looks whether a process serves, at first and at most. */
  private static final long LOOK_MS = 50;

  private static final long MOST_LOOK_MS = 1000;

  /**
   * Tries for a folder that a process which has just ended had, and for one that was given back.
   */
  private static final int TRIES_AFTER_DEATH = 20;

  private static final int TRIES_GIVEN = 2;

  private final String name;
  private final Path meeting; // null where there is no hand-over
  private final PeerCoordinator partner;
  private final Box box;
  private final CompatibilityCheck agreement;
  private final HandoverStateMachine steps;
  private final OwnershipLock seat; // null where there is no hand-over
  private PeerLink link; // to the other process of the hand-over under way
  private PeerLink next; // asked meanwhile: its turn comes after
  private String nextRange;
  private String reason = ""; // of the last no
  private boolean refusedBefore; // what is known could not be carried
  private volatile boolean closed;
  private volatile ProcessPauseDetector
      standstill; // since this process handed over; null where it has not
  private boolean lostHeir; // the one that took over has died, and this process leaves
  private int told; // settled keys
  private int given; // open keys
  private int pauses;
  private int rounds; // of hand-overs asked for here, so that a late look knows its own
  private ServerSocketChannel successors;

  HandoverCoordinator(
      String name, Path meeting, PeerCoordinator partner, Box box, CompatibilityCheck agreement) {
    this.name = name;
    this.meeting = meeting;
    this.partner = partner;
    this.box = box;
    this.agreement = agreement;
    seat = meeting == null ? null : new OwnershipLock(meeting);
    link = meeting == null ? null : PeerLink.connect(meeting, partner, this);
    // Guards against serving without the keys of a process that is stopped, or lives on after its
    // successor died.
    boolean waits = link == null && seat != null && !seat.alone();
    steps =
        waits
            ? new HandoverStateMachine(State.DISCOVERING_PEER)
            : new HandoverStateMachine(link != null);
  }

  /** True where this process came second and has yet to serve. */
  synchronized boolean comes() {
    return steps.state() != State.ACTIVE;
  }

  /** How far it has come. */
  synchronized State state() {
    return steps.state();
  }

  /** Why this process waits; empty where it does not. */
  synchronized String refusal() {
    return steps.state() == State.AWAITING_PREDECESSOR_EXIT ? reason : "";
  }

  /**
   * True where this process leaves, and what it knows is known nowhere else: a further one can
   * still be told.
   */
  synchronized boolean lastHolder() {
    return lostHeir && steps.state() != State.RELINQUISHED;
  }

  /** Hears the process that serves, from now on. */
  void start() {
    PeerLink elder;
    synchronized (this) {
      elder = link;
    }
    if (elder != null) {
      elder.start();
    } else {
      Logger.warn(
          "{}: a process that knows the keys of this box lives and cannot be met now: it is waited for",
          name);
    }
  }

  /** The worker pool is up, and with it all that this process needs to serve. */
  synchronized void poolUp() {
    if (steps.accepts(Event.WORKER_POOL_READY)) {
      take(Event.WORKER_POOL_READY);
    } else if (steps.state() == State.DISCOVERING_PEER) {
      act(Action.DISCOVER_PEER);
    }
  }

  /** A further process can meet this one from now on. */
  synchronized void awaitNext() {
    if (meeting != null && !closed) {
      BoundedReader.closeQuietly(successors);
      successors = PeerLink.listen(meeting, partner, this);
      if (successors != null) {
        seat.share();
      } else {
        seat.leave(); // whoever comes cannot meet this process, and must not wait for it
      }
    }
  }

  /**
   * This process has to end while what it handed over has died with the other one; it can be met
   * until then.
   */
  synchronized void leavesAsLast() {
    lostHeir = true;
    awaitNext();
  }

  synchronized void close() {
    closed = true;
    BoundedReader.closeQuietly(successors);
    if (seat != null) {
      seat.close();
    }
    if (link != null) {
      link.close();
    }
    if (next != null) {
      next.close();
    }
  }

  // ---- What is heard ----

  @Override
  public synchronized void onMessage(PeerLink from, Message word, String detail) {
    if (closed) {
      return;
    }
    if (word == Message.TAKEOVER_REQUEST) {
      asked(from, detail);
      return;
    }
    if (from != link) {
      next = word == Message.LINK_LOST && from == next ? null : next;
      return;
    }
    reason =
        detail.isEmpty()
                || word == Message.PREDECESSOR_CAPABILITIES
                || word == Message.SUCCESSOR_CAPABILITIES
            ? reason
            : detail;
    Event event =
        switch (word) {
          case PREDECESSOR_CAPABILITIES ->
              weigh(detail, true) ? Event.PREDECESSOR_COMPATIBLE : Event.PREDECESSOR_INCOMPATIBLE;
          case SUCCESSOR_CAPABILITIES ->
              weigh(detail, false) ? Event.SUCCESSOR_COMPATIBLE : Event.SUCCESSOR_INCOMPATIBLE;
          default -> eventOf(word);
        };
    if (word == Message.KEYS_ACKNOWLEDGED && partner.hasUnsentKeys()) {
      event = Event.SUCCESSOR_LAGGING;
      reason = "too much settled meanwhile";
    }
    if (word == Message.LINK_LOST) {
      link = null;
    }
    take(event);
    turn();
  }

  /** The event of each message that carries no decision of this process. */
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
          throw new IllegalArgumentException(message + " is weighed before it is an event");
    };
  }

  private void asked(PeerLink from, String range) {
    if (!steps.state().acceptsTakeover()) {
      // Guards against a further process that waits for ever, as the one before this has yet to
      // end.
      if (from != link) {
        next = from;
        nextRange = range;
      }
      return;
    }
    PeerLink before = link;
    link = from;
    Event event =
        switch (range) {
          case "0" -> Event.UNSUPPORTED_TAKEOVER_REQUEST;
          case "1" -> Event.LEGACY_TAKEOVER_REQUEST;
          default -> Event.TAKEOVER_REQUEST;
        };
    take(event);
    if (event == Event.UNSUPPORTED_TAKEOVER_REQUEST) {
      link = before;
    }
  }

  /** Whoever asked meanwhile has its turn once this process can hand over. */
  private void turn() {
    if (next != null && steps.state().acceptsTakeover()) {
      PeerLink waits = next;
      next = null;
      asked(waits, nextRange);
    }
  }

  private boolean weigh(String said, boolean comes) {
    try {
      Capabilities theirs = Capabilities.decode(said);
      Capabilities mine = terms();
      String against =
          comes ? agreement.incompatibility(theirs, mine) : agreement.incompatibility(mine, theirs);
      if (against == null && comes) {
        if (theirs.clockBaseUnixMillis() != 0) {
          SteadyWallClock.adopt(
              theirs.clockBaseUnixMillis()); // stamps of keys are compared with those of requests
          // read here
        }
        partner.joinPeer(link, CompatibilityCheck.windowExtensionSeconds(theirs, mine));
      }
      reason = against == null ? "" : against;
      return against == null;
    } catch (Capabilities.MalformedCapabilitiesException e) {
      reason = e.getMessage();
      return false;
    }
  }

  private Capabilities terms() {
    Capabilities own = box.terms();
    return new Capabilities(
        own.build(),
        own.handoverVersions(),
        own.logVersions(),
        own.storageDirectory(),
        own.requestClasses(),
        own.tenants(),
        partner.keyCapacity(),
        SteadyWallClock.base());
  }

  // ---- What is done ----

  private void take(Event event) {
    HandoverStateMachine.Transition step = steps.apply(event);
    if (step.isIgnored()) {
      Logger.debug("{}: {} while {} changes nothing", name, event, step.from());
      return;
    }
    if (step.from() != step.to()) {
      Logger.info("{}: hand-over {} to {} by {}", name, step.from(), step.to(), event);
    }
    if (step.to().hasDeadline() && !step.from().hasDeadline()) {
      lookForSilence(++rounds);
    }
    step.actions().forEach(this::act);
  }

  private void act(Action act) {
    switch (act) {
      case SEND_TAKEOVER_REQUEST -> {
        partner.joinPeer(link, 0);
        link.sendTakeoverRequest(name, BuildInfo.HANDOVER_VERSIONS);
      }
      case SEND_PREDECESSOR_CAPABILITIES -> link.sendPredecessorCapabilities(terms().encode());
      case SEND_SUCCESSOR_CAPABILITIES -> link.sendSuccessorCapabilities(terms().encode());
      case SEND_WITHDRAWAL -> link.send(Message.WITHDRAWAL, reason);
      case SEND_ACCEPTANCE -> link.send(Message.ACCEPTANCE, "");
      case SEND_REJECTION -> {
        Logger.warn("{}: another process asked to take over and cannot: {}", name, reason);
        link.send(Message.REJECTION, reason);
      }
      case SEND_RETRY_LATER -> {
        Logger.warn(
            "{}: the process that asked to take over is given up on for now: {}", name, reason);
        link.send(Message.RETRY_LATER, reason);
      }
      case SEND_SETTLED_KEYS -> tellSettled(link, rounds);
      case STOP_SENDING_KEYS -> partner.stopSendingSettledKeys();
      case SEND_KEYS_COMPLETE -> link.sendKeysComplete(told);
      case SEND_KEYS_ACKNOWLEDGED -> {
        seat.share(); // before the keys can come: they may arrive after their owner's death
        link.send(Message.KEYS_ACKNOWLEDGED, "");
      }
      case TRANSFER_OWNERSHIP -> given = give(link);
      case SEND_OWNERSHIP -> link.sendOwnership(given);
      case TRANSFER_OWNERSHIP_LEGACY -> handAsFormer(link);
      case PARK_LINK ->
          Logger.warn(
              "{}: an older build asks to take over; it can start once this process has ended",
              name);
      case OPEN_STORAGE -> openRecords();
      case RETURN_OWNERSHIP -> {
        seat.leave();
        link.send(Message.OWNERSHIP_RETURNED, reason);
      }
      case LISTEN_ALONGSIDE -> {
        box.bind(false);
        box.accept();
      }
      case SEND_LISTENING -> link.send(Message.LISTENING, "");
      case RELINQUISH -> box.cede();
      case SEND_RELINQUISHED -> link.send(Message.RELINQUISHED, "");
      case RECLAIM_OWNERSHIP -> takeBack();
      case RESOLVE_PEER_LOSS -> otherGone();
      case LISTEN_ALONE -> {
        box.bind(true);
        box.accept();
      }
      case START_SERVING -> box.serveOn();
      case DISCOVER_PEER -> later("look", LOOK_MS, () -> look(LOOK_MS));
      case BACK_OFF -> {
        seat.leave();
        pause();
      }
      case REPORT_REFUSAL -> {
        refusedBefore = true;
        box.refused(reason);
      }
      default -> throw new IllegalStateException("nothing does " + act);
    }
  }

  /**
   * Tells without the lock, as the other side may be slow; the end of it is an event of its own.
   */
  private void tellSettled(PeerLink to, int round) {
    PlatformThreads.thread(
            "box-tell",
            () -> {
              int all = partner.sendSettledKeys(to);
              synchronized (this) {
                if (to == link && round == rounds && steps.state() == State.SENDING_KEYS) {
                  told = all;
                  reason = "it does not take what it is told";
                  take(all < 0 ? Event.DEADLINE_EXCEEDED : Event.ALL_KEYS_SENT);
                  turn();
                }
              }
            })
        .start();
  }

  /**
   * Guards against a process that asked and stalls: this one waits for it without loss, but not for
   * ever.
   */
  private void lookForSilence(int round) {
    later(
        "box-silence",
        SILENT_MS,
        () -> {
          if (round == rounds && steps.state().hasDeadline()) {
            reason = "it was silent for " + SILENT_MS / 1000 + " s";
            take(Event.DEADLINE_EXCEEDED);
            turn();
          }
        });
  }

  private void later(String what, long ms, Runnable then) {
    PlatformThreads.thread(
            what,
            () -> {
              LockSupport.parkNanos(ms * 1_000_000);
              synchronized (this) {
                if (!closed) {
                  then.run();
                }
              }
            })
        .start();
  }

  private int give(PeerLink to) {
    box.halve(true);
    int open = partner.transferKeys(to);
    box.closeRecords(); // only the owner of the keys writes, and it reads what is on disk by now
    ProcessPauseDetector mine = new ProcessPauseDetector(seconds());
    standstill = mine;
    PlatformThreads.thread("box-awake", () -> lookFor(mine)).start();
    return open;
  }

  private void handAsFormer(PeerLink to) {
    int handed = give(to);
    // Not under this lock, which its end needs: a build of format 1 that stalls is waited for, as
    // it owns all by now.
    PlatformThreads.thread(
            "box-tell",
            () ->
                to.sendLegacyOwnership(
                    handed + Math.max(0, partner.sendSettledKeysAfterHandover(to))))
        .start();
  }

  private void openRecords() {
    boolean opened = box.openRecords(TRIES_GIVEN);
    reason = opened ? reason : "its folder of kept results cannot be had";
    if (!opened) {
      partner.returnKeys();
    }
    take(opened ? Event.STORAGE_OPENED : Event.STORAGE_UNAVAILABLE);
  }

  private static double seconds() {
    return System.nanoTime() / 1e9;
  }

  /** Not under this lock, which may be held for longer than a look. */
  private void lookFor(ProcessPauseDetector mine) {
    while (standstill == mine && !closed) {
      synchronized (mine) {
        mine.poll(seconds());
      }
      LockSupport.parkNanos((long) (ProcessPauseDetector.POLL_INTERVAL_SECONDS * 1e9));
    }
  }

  private boolean stoodStill() {
    ProcessPauseDetector mine = standstill;
    if (mine == null) {
      return false;
    }
    synchronized (mine) {
      return mine.hasPausedRecently(seconds());
    }
  }

  private void takeBack() {
    if (stoodStill() && !box.keepsRecords()) {
      // Guards against a second run of a key whose word the other one could not write while this
      // process stood still.
      box.unknownFail();
    }
    standstill = null;
    box.openRecords(TRIES_AFTER_DEATH);
    partner.peerLost();
    box.halve(false);
    Logger.warn("{}: the process that took over is gone, this one owns its keys again", name);
  }

  private void otherGone() {
    if (!box.openRecords(TRIES_AFTER_DEATH)) {
      Logger.error("{}: kept results cannot be had, keyed requests are refused", name);
    }
    partner.peerLost();
    box.halve(false);
    if (refusedBefore) {
      refusedBefore = false;
      box.unknownFail();
    }
    box.otherEnded();
  }

  /** Whoever comes first serves: another process of this box may have waited as well. */
  private void look(long waited) {
    if (steps.state() != State.DISCOVERING_PEER) {
      return;
    }
    seat.leave(); // what it was told in part counts for nothing
    PeerLink met = PeerLink.connect(meeting, partner, this);
    if (met != null) {
      link = met;
      pauses = 0;
      met.start();
      take(Event.PEER_FOUND);
    } else if (seat.alone() && box.bind(true)) {
      take(Event.NO_PEER_FOUND);
    } else {
      long longer = Math.min(MOST_LOOK_MS, waited * 2);
      later("look", longer, () -> look(longer));
    }
  }

  private void pause() {
    boolean again = ++pauses <= MOST_PAUSES;
    later(
        "box-pause",
        again ? PAUSE_MS << pauses : 1,
        () -> {
          if (steps.state() == State.BACKING_OFF) {
            take(again ? Event.BACKOFF_ELAPSED : Event.RETRIES_EXHAUSTED);
          }
        });
  }
}
