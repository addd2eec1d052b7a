package wharftrestle.request;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tinylog.Logger;
import wharftrestle.handover.Capabilities;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.handover.PeerProcess.CompletedKey;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;

/**
 * The core's face for the other process of its box: each word of that process enters here, under
 * the core's lock, and {@link KeyOwnershipTransfer} decides what it means. It owns the tries that
 * wait for that process's word. It must never hold the lock while it waits for the other side.
 */
public final class PeerCoordinator implements KeyOwnershipTransfer.Host<InFlightRequest> {
  private final RequestCoordinator core;
  private final IdempotencyTable<InFlightRequest> keys;
  private final KeyOwnershipTransfer<InFlightRequest> between;
  private final Set<InFlightRequest> asking = new HashSet<>();
  private ResultRecorder recorder;
  private double roomlessUntil = Double.NEGATIVE_INFINITY;

  PeerCoordinator(RequestCoordinator core, IdempotencyTable<InFlightRequest> keys) {
    this.core = core;
    this.keys = keys;
    between = new KeyOwnershipTransfer<>(keys, this);
  }

  /** Before the first request. */
  void records(ResultRecorder records) {
    recorder = records;
  }

  KeyOwnershipTransfer<InFlightRequest> between() {
    return between;
  }

  // ---- The steps of a hand-over ----

  /** What is known of keys now, and what there is room for. */
  public Capabilities.KeyCapacity keyCapacity() {
    core.lock();
    try {
      return new Capabilities.KeyCapacity(
          keys.size(), recorder.mostKeys(), keys.resultBytes(), core.mostResultBytes());
    } finally {
      core.unlock();
    }
  }

  /**
   * Tells a process that asked all keys that are settled, and from now on what settles; this one
   * owns them still. Waits for the other side, so the lock is held for one key at a time.
   *
   * @return how many, or -1 where the other side did not take them, or nobody wants them any more
   */
  public int sendSettledKeys(PeerProcess to) {
    List<KeyDigest> all;
    core.lock();
    try {
      all = between.startSendingKeys(to);
    } finally {
      core.unlock();
    }
    return tell(to, all);
  }

  /** The same for a process of format 1, which has been handed all by now. */
  public int sendSettledKeysAfterHandover(PeerProcess to) {
    List<KeyDigest> all;
    core.lock();
    try {
      all = keys.settled();
    } finally {
      core.unlock();
    }
    return tell(to, all);
  }

  private int tell(PeerProcess to, List<KeyDigest> all) {
    int told = 0;
    for (KeyDigest key : all) {
      CompletedKey over;
      core.lock();
      try {
        over = between.completedKey(key, recorder.on(), core.now());
      } finally {
        core.unlock();
      }
      if (over != null) {
        if (!to.sendCompletedKey(over)) {
          return -1;
        }
        told++;
      }
    }
    return told;
  }

  public void stopSendingSettledKeys() {
    core.lock();
    try {
      between.stopSendingKeys();
    } finally {
      core.unlock();
    }
  }

  /** True where what settled while all was told could not be told. */
  public boolean hasUnsentKeys() {
    core.lock();
    try {
      return between.isLagging();
    } finally {
      core.unlock();
    }
  }

  /**
   * In one step hands all keys over, and with them the say about every further one. What is held or
   * runs here stays here; its end is told.
   */
  public int handOverKeys(PeerProcess to) {
    core.lock();
    try {
      int handed = between.transferTo(to, core.now());
      core.halved(true);
      return handed;
    } finally {
      core.unlock();
    }
  }

  /**
   * From here on the other process of this box is known; its keys follow, and this one is to own
   * them all.
   */
  public void joinPeer(PeerProcess from, double stretch) {
    core.lock();
    try {
      between.attach(from, stretch);
      core.halved(true);
    } finally {
      core.unlock();
    }
  }

  /** This process took over and cannot go on: it has run nothing and gives all back. */
  public void returnKeys() {
    core.lock();
    try {
      between.returnOwnership();
      wakeAll();
    } finally {
      core.unlock();
    }
  }

  /**
   * The other process is gone: what it had in hand has an unknown end, which fails and never runs
   * again.
   */
  public void peerGone() {
    core.lock();
    try {
      between.onPeerLost();
      recorder.saveUnsaved();
      wakeAll();
      core.halved(false);
    } finally {
      core.unlock();
    }
  }

  /**
   * Until a window is over no key that is not known may run: what ran here could not be carried
   * along.
   */
  public void failUnknownKeysFor(double seconds) {
    core.lock();
    try {
      keys.blind(core.now() + seconds);
    } finally {
      core.unlock();
    }
  }

  private void wakeAll() {
    asking.forEach(task -> task.signal.signal());
  }

  // ---- What the other process says ----

  public void keySettled(CompletedKey over) {
    boolean first = false;
    core.lock();
    try {
      double now = core.now();
      if (!between.onKeyReceived(over, now)) {
        first = now > roomlessUntil;
        roomlessUntil = Math.max(roomlessUntil, now + over.remainingSeconds());
      }
    } finally {
      core.unlock();
    }
    if (first) {
      Logger.warn(
          "there is no room for all keys of the other process: unknown ones fail for up to {} s",
          Math.round(over.remainingSeconds()));
    }
  }

  public void keyUpdated(KeyUpdate kept) {
    core.lock();
    try {
      between.onKeyReceived(kept, core.now());
      core.settleIfUp();
    } finally {
      core.unlock();
    }
  }

  public void executionCompleted(String key, byte[] result) {
    core.lock();
    try {
      between.onPeerCompletion(key, result);
      core.settleIfUp();
    } finally {
      core.unlock();
    }
  }

  public void keyReleased(String key) {
    core.lock();
    try {
      between.onPeerRelease(key);
      core.settleIfUp();
    } finally {
      core.unlock();
    }
  }

  public void keyClaimed(String key, long door, byte[] body) {
    KeyOwnershipTransfer.StoredReply<InFlightRequest> reread;
    core.lock();
    try {
      reread = between.onClaim(key, door, body, core.now());
    } finally {
      core.unlock();
    }
    if (reread != null) {
      // A settled key: where its result lies on disk it is read there, so not under the lock.
      reread.send(
          reread.entry().onDisk()
              ? recorder.read(key, reread.entry().place())
              : reread.resultInMemory());
    }
  }

  public void intentRequested(String key) {
    core.lock();
    try {
      recorder.intendElsewhere(key);
    } finally {
      core.unlock();
    }
  }

  public void intentWritten(String key, boolean written) {
    core.lock();
    try {
      IdempotencyTable.Entry<InFlightRequest> entry = keys.find(key);
      if (entry != null && entry.holder() != null) {
        recorder.intended(entry.holder(), written);
        core.settleIfUp();
      }
    } finally {
      core.unlock();
    }
  }

  public void resultSaved(String key) {
    core.lock();
    try {
      IdempotencyTable.Entry<InFlightRequest> entry = keys.find(key);
      if (entry != null) {
        recorder.saved(entry, -1);
      }
    } finally {
      core.unlock();
    }
  }

  public void keyGranted(String key) {
    core.lock();
    try {
      wakeWaiters(key, true);
    } finally {
      core.unlock();
    }
  }

  // ---- What the requests of this process ask and tell ----

  /**
   * A keyed request that this process reads after it handed all keys over waits for the owner's
   * word.
   */
  void ask(InFlightRequest task) {
    core.lock();
    try {
      if (!mustAsk(task)) {
        return;
      }
      IncomingRequest a = task.arrival;
      asking.add(task);
      between.peer().sendClaim(task.key, a.receivedAtMillis(), a.body());
      double due = core.due(a, core.now());
      while (between.peer() != null
          && !task.granted
          && !task.answered
          && !between.isKnown(task.key, a.receivedAtMillis())
          && core.now() < due) {
        task.signal.awaitNanos((long) ((due - core.now()) * 1e9) + 1);
      }
      asking.remove(task);
    } catch (InterruptedException e) {
      throw new IllegalStateException("nobody interrupts a request", e);
    } finally {
      core.unlock();
    }
  }

  /**
   * True where this try may not be taken before the other process was asked; also without the lock.
   */
  boolean mustAsk(InFlightRequest task) {
    core.lock();
    try {
      return between.mustClaim(task.key, task.arrival.receivedAtMillis());
    } finally {
      core.unlock();
    }
  }

  /**
   * True where this try may not be taken, as the process that owns its key is silent; under the
   * lock.
   */
  boolean unasked(InFlightRequest task) {
    return between.peer() != null && !between.isOwner() && !task.granted;
  }

  /**
   * Guards against a second run should this process die early: the other one knows of this one
   * before it begins.
   */
  void tellBeforeRun(InFlightRequest task) {
    PeerProcess told;
    KeyUpdate kept;
    core.lock();
    try {
      told = between.peer();
      kept = between.announcementBeforeExecution(task.entry, core.now());
    } finally {
      core.unlock();
    }
    if (kept != null) {
      told.sendKeyAndAwaitWrite(kept);
    }
  }

  /** This try is forgotten; the others in hand say whether its key is; under the lock. */
  void forgotten(InFlightRequest task, Iterable<InFlightRequest> inHand) {
    if (between.peer() == null || task.key == null) {
      return;
    }
    boolean held = asking.stream().anyMatch(task::sameKey);
    for (InFlightRequest each : inHand) {
      held |= each.key != null && task.sameKey(each);
    }
    between.sendRelease(task.key, held);
  }

  // ---- What Between needs of the tries ----

  @Override
  public long arrivalUnixMillis(InFlightRequest holder) {
    return holder.arrival.receivedAtMillis();
  }

  @Override
  public double windowSeconds(String key) {
    return core.window(InFlightRequest.classOf(key)) + IdempotencyTable.SLACK;
  }

  @Override
  public void onPeerCompletion(IdempotencyTable.Entry<InFlightRequest> entry, byte[] result) {
    core.finish(entry, result);
  }

  @Override
  public void onPeerRelease(IdempotencyTable.Entry<InFlightRequest> entry) {
    recorder.voided(entry);
  }

  @Override
  public void wakeWaiters(String key, boolean granted) {
    for (InFlightRequest task : asking) {
      if (key.equals(task.key)) {
        task.granted |= granted;
        task.signal.signal();
      }
    }
  }
}
