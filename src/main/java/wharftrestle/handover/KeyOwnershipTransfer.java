package wharftrestle.handover;

import java.util.Arrays;
import java.util.List;
import wharftrestle.handover.PeerProcess.KeyUpdate;
import wharftrestle.handover.PeerProcess.SettledKey;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;

/**
 * What becomes of each key while two processes serve one box: the one owns all keys, the other ends
 * what it has in hand and asks before it takes more. It owns which of both this process is, whom it
 * tells, and what is told. It must never let a key run here that the other may run, or say of a key
 * what is not known. Not thread-safe: its caller's lock guards it, and {@code now} is passed in, in
 * seconds on the caller's clock.
 *
 * <pre>
 * owner  other   this process
 * yes    none    serves alone; with {@link #tellsSettled} it tells a process that asked what settles
 * yes    there   took over: grants and answers claims, tells each run before it begins
 * no     there   handed over: a keyed request is claimed first, an end is told
 * no     none    never: {@link #gone} makes it the owner
 * </pre>
 *
 * @param <T> a try, as the caller knows it
 */
public final class KeyOwnershipTransfer<T> {

  /** What the caller does with the tries concerned. */
  public interface Host<T> {
    /** The stamp of a try, Unix ms. */
    long arrivalUnixMillis(T holder);

    /** Seconds in which this key may come again, with the slack of the table. */
    double windowSeconds(String key);

    /** The run of a key at the other process is over; the result is null unless it ended well. */
    void onPeerFinished(IdempotencyTable.Entry<T> entry, byte[] result);

    /** A key that the other process had in hand never ran. */
    void onPeerReleased(IdempotencyTable.Entry<T> entry);

    /** Tries that wait for word of this key look again. */
    void wakeWaiters(String key, boolean granted);
  }

  /** A claim whose answer lies on disk: it is read without the lock, then told. */
  public record StoredReply<T>(
      PeerProcess claimant,
      String key,
      IdempotencyTable.Entry<T> entry,
      byte[] resultInMemory,
      double windowSeconds,
      byte[] body) {

    /** Tells what is known of the key; the result is null where it has none to give. */
    public void send(byte[] result) {
      // A try with another body must be told apart there too: it is told a body that differs.
      byte[] asked = entry.asked().same(body) ? body : Arrays.copyOf(body, body.length + 1);
      claimant.sendKey(
          new KeyUpdate(
              key, true, entry.lastDoor(), windowSeconds + IdempotencyTable.LINGER, asked, result));
    }
  }

  private final IdempotencyTable<T> keys;
  private final Host<T> host;
  private PeerProcess peer;
  private PeerProcess told; // asked to take over, and is told what settles
  private boolean isLagging; // what settled could not all be told
  private boolean isOwner = true;
  private double stretch;

  public KeyOwnershipTransfer(IdempotencyTable<T> keys, Host<T> host) {
    this.keys = keys;
    this.host = host;
  }

  /** The other process; null for none. */
  public PeerProcess peer() {
    return peer;
  }

  /** True where this process says what becomes of every key. */
  public boolean isOwner() {
    return isOwner;
  }

  // ---- Handing over ----

  /**
   * A process asked: from now on it is told what settles. All that are settled now come back, to be
   * told one by one.
   */
  public List<KeyDigest> startSendingKeys(PeerProcess to) {
    told = to;
    isLagging = false;
    return keys.settled();
  }

  /** What was asked will not be: nothing more is told. */
  public void stopSendingKeys() {
    told = null;
  }

  /** True where what settled meanwhile could not all be told. */
  public boolean isLagging() {
    return isLagging;
  }

  /**
   * One settled key as it is told; null where it is known no more, or its result lies on a disk
   * that both read.
   */
  public SettledKey settledKey(KeyDigest key, boolean onDisk, double now) {
    IdempotencyTable.Settled known = keys.settled(key);
    return known == null || (onDisk && known.result() == null)
        ? null
        : new SettledKey(key, known.lastDoor(), known.until() - now, known.check(), known.result());
  }

  /** This key may have come to be over just now. */
  public void forwardSettled(String key, boolean onDisk, double now) {
    if (told == null || isLagging) {
      return;
    }
    SettledKey over = settledKey(KeyDigest.of(key), onDisk, now);
    if (over != null) {
      isLagging = !told.forwardSettledKey(over);
    }
  }

  /**
   * In one step hands all keys over, with what is open; their number. What is held or runs here
   * stays here.
   */
  public int transferTo(PeerProcess to, double now) {
    told = null;
    peer = to;
    isOwner = false;
    int[] open = {0};
    keys.each(
        entry -> {
          open[0]++;
          if (entry.over() && entry.asked().body() == null) {
            // Over, and still open as the index is full: its body is not kept any more.
            to.forwardSettledKey(
                new SettledKey(
                    KeyDigest.of(entry.key()),
                    entry.lastDoor(),
                    entry.until() - now,
                    entry.asked().brief(),
                    keys.result(entry)));
          } else {
            to.sendKey(kept(entry, now));
          }
        });
    return open[0];
  }

  /**
   * This process takes over from that one, whose keys follow; what it hears of is stretched by so
   * many seconds.
   */
  public void attach(PeerProcess from, double longer) {
    peer = from;
    stretch = longer;
  }

  /**
   * The other process is gone, or never took what it was given: what it had in hand has an unknown
   * end, which fails and never runs again in its window.
   */
  public void onPeerLost() {
    peer = null;
    told = null;
    isOwner = true;
    stretch = 0;
    keys.otherGone();
  }

  /** This process gives back what it was given, and asks that one no more: it has run nothing. */
  public void returnOwnership() {
    peer = null;
  }

  // ---- What the other process says ----

  /**
   * False where there is no room to know it: then no key that is not known runs until its window is
   * over.
   */
  public boolean onKeyReceived(SettledKey over, double now) {
    // Guards against keys whose window is over taking the room: no request comes here yet that
    // would have them go.
    keys.expire(now);
    double until = now + over.secondsLeft() + stretch;
    if (!keys.hear(
        new IdempotencyTable.Settled(
            over.digest().high(),
            over.digest().low(),
            stretched(over.coveredUntilUnixMillis()),
            over.bodyChecksum(),
            until,
            over.result()))) {
      // Guards against a second run of a key that there is no room to know: less memory than the
      // other had.
      keys.blind(until);
      return false;
    }
    return true;
  }

  /** The other process has this key in hand, or had. */
  public void onKeyReceived(KeyUpdate kept, double now) {
    keys.hear(
        kept.key(),
        IdempotencyTable.Asked.of(kept.body()),
        stretched(kept.coveredUntilUnixMillis()),
        now + kept.secondsLeft() + stretch);
    IdempotencyTable.Entry<T> known = keys.find(kept.key());
    if (kept.isFinished() && keys.elsewhere(known)) {
      host.onPeerFinished(known, kept.result());
    }
    host.wakeWaiters(kept.key(), false);
  }

  private long stretched(long lastDoor) {
    return lastDoor + Math.round(stretch * 1000);
  }

  public void onPeerFinished(String key, byte[] result) {
    IdempotencyTable.Entry<T> entry = keys.find(key);
    if (keys.elsewhere(entry)) {
      host.onPeerFinished(entry, result);
    }
  }

  public void onPeerReleased(String key) {
    IdempotencyTable.Entry<T> entry = keys.find(key);
    if (keys.elsewhere(entry)) {
      host.onPeerReleased(entry);
      keys.freed(entry);
    }
  }

  /**
   * The other process asks for a key: it is told, or has it in hand from now on. Not null where a
   * disk has the answer.
   */
  public StoredReply<T> onClaim(String key, long door, byte[] body, double now) {
    IdempotencyTable.Entry<T> entry = keys.meet(key, door);
    if (peer == null) {
      return null;
    }
    double window = host.windowSeconds(key);
    if (entry == null || keys.elsewhere(entry)) {
      if (entry == null) {
        keys.hear(
            key,
            IdempotencyTable.Asked.of(body),
            door + Math.round(window * 1000),
            now + window + IdempotencyTable.LINGER);
      }
      peer.sendGrant(key);
      return null;
    }
    if (entry.asked().body() != null) {
      peer.sendKey(kept(entry, now));
      return null;
    }
    return new StoredReply<>(peer, key, entry, keys.result(entry), window, body);
  }

  // ---- What this process says ----

  /** True where this process may not take a keyed try before the other one was asked. */
  public boolean mustClaim(String key, long door) {
    return peer != null && !isOwner && key != null && !isKnown(key, door);
  }

  public boolean isKnown(String key, long door) {
    IdempotencyTable.Entry<T> entry = keys.find(key);
    return entry != null && entry.covers(door);
  }

  /** What the other process has to know before a run of this key begins; null for nothing. */
  public KeyUpdate announcementBeforeExecution(IdempotencyTable.Entry<T> entry, double now) {
    return peer == null || !isOwner || entry == null ? null : kept(entry, now);
  }

  /** A run of this process is over. */
  public void sendFinished(IdempotencyTable.Entry<T> entry, byte[] result) {
    if (peer != null && entry.holder() != null && keys.current(entry)) {
      peer.sendFinished(entry.key(), result);
    }
  }

  /** No try of this key is in hand any more; {@code held} where another one is. */
  public void sendReleased(String key, boolean held) {
    if (peer != null && key != null && !held && keys.find(key) == null) {
      peer.sendReleased(key);
    }
  }

  private KeyUpdate kept(IdempotencyTable.Entry<T> entry, double now) {
    if (entry.ran()) {
      return new KeyUpdate(
          entry.key(),
          entry.over(),
          entry.lastDoor(),
          entry.until() - now,
          entry.asked().body(),
          keys.result(entry));
    }
    double window = host.windowSeconds(entry.key());
    return new KeyUpdate(
        entry.key(),
        false,
        host.arrivalUnixMillis(entry.holder()) + Math.round(window * 1000),
        window + IdempotencyTable.LINGER,
        entry.asked().body(),
        null);
  }
}
