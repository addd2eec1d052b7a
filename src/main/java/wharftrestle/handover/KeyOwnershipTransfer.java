package wharftrestle.handover;

import java.util.Arrays;
import java.util.List;
import wharftrestle.handover.PeerProcess.Kept;
import wharftrestle.handover.PeerProcess.Over;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.RequestBody;
import wharftrestle.idempotency.SettledKey;

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
    long door(T holder);

    /** Seconds in which this key may come again, with the slack of the table. */
    double window(String key);

    /** The run of a key at the other process is over; the result is null unless it ended well. */
    void finished(KeyEntry<T> entry, byte[] result);

    /** A key that the other process had in hand never ran. */
    void voided(KeyEntry<T> entry);

    /** Tries that wait for word of this key look again. */
    void wake(String key, boolean granted);
  }

  /** A claim whose answer lies on disk: it is read without the lock, then told. */
  public record Reread<T>(
      PeerProcess asks,
      String key,
      KeyEntry<T> entry,
      byte[] inMemory,
      double window,
      byte[] body) {

    /** Tells what is known of the key; the result is null where it has none to give. */
    public void tell(byte[] result) {
      // A try with another body must be told apart there too: it is told a body that differs.
      byte[] asked = entry.body().matches(body) ? body : Arrays.copyOf(body, body.length + 1);
      asks.tell(
          new Kept(
              key,
              true,
              entry.coveredUntilMillis(),
              window + IdempotencyTable.LINGER_SECONDS,
              asked,
              result));
    }
  }

  private final IdempotencyTable<T> keys;
  private final Host<T> host;
  private PeerProcess other;
  private PeerProcess told; // asked to take over, and is told what settles
  private boolean lagged; // what settled could not all be told
  private boolean owner = true;
  private double stretch;

  public KeyOwnershipTransfer(IdempotencyTable<T> keys, Host<T> host) {
    this.keys = keys;
    this.host = host;
  }

  /** The other process; null for none. */
  public PeerProcess other() {
    return other;
  }

  /** True where this process says what becomes of every key. */
  public boolean owner() {
    return owner;
  }

  // ---- Handing over ----

  /**
   * A process asked: from now on it is told what settles. All that are settled now come back, to be
   * told one by one.
   */
  public List<KeyDigest> tellsSettled(PeerProcess to) {
    told = to;
    lagged = false;
    return keys.settledDigests();
  }

  /** What was asked will not be: nothing more is told. */
  public void stopsTelling() {
    told = null;
  }

  /** True where what settled meanwhile could not all be told. */
  public boolean lagged() {
    return lagged;
  }

  /**
   * One settled key as it is told; null where it is known no more, or its result lies on a disk
   * that both read.
   */
  public Over settled(KeyDigest key, boolean onDisk, double now) {
    SettledKey known = keys.findSettled(key);
    return known == null || (onDisk && known.result() == null)
        ? null
        : new Over(
            key,
            known.coveredUntilMillis(),
            known.expiresAtSeconds() - now,
            known.checksum(),
            known.result());
  }

  /** This key may have come to be over just now. */
  public void follow(String key, boolean onDisk, double now) {
    if (told == null || lagged) {
      return;
    }
    Over over = settled(KeyDigest.of(key), onDisk, now);
    if (over != null) {
      lagged = !told.follows(over);
    }
  }

  /**
   * In one step hands all keys over, with what is open; their number. What is held or runs here
   * stays here.
   */
  public int handOver(PeerProcess to, double now) {
    told = null;
    other = to;
    owner = false;
    int[] open = {0};
    keys.forEachActive(
        entry -> {
          open[0]++;
          if (entry.isFinal() && entry.body().bytes() == null) {
            // Over, and still open as the index is full: its body is not kept any more.
            to.follows(
                new Over(
                    KeyDigest.of(entry.key()),
                    entry.coveredUntilMillis(),
                    entry.expiresAtSeconds() - now,
                    entry.body().checksum(),
                    keys.result(entry)));
          } else {
            to.tell(kept(entry, now));
          }
        });
    return open[0];
  }

  /**
   * This process takes over from that one, whose keys follow; what it hears of is stretched by so
   * many seconds.
   */
  public void join(PeerProcess from, double longer) {
    other = from;
    stretch = longer;
  }

  /**
   * The other process is gone, or never took what it was given: what it had in hand has an unknown
   * end, which fails and never runs again in its window.
   */
  public void gone() {
    other = null;
    told = null;
    owner = true;
    stretch = 0;
    keys.peerLost();
  }

  /** This process gives back what it was given, and asks that one no more: it has run nothing. */
  public void givesBack() {
    other = null;
  }

  // ---- What the other process says ----

  /**
   * False where there is no room to know it: then no key that is not known runs until its window is
   * over.
   */
  public boolean heard(Over over, double now) {
    // Guards against keys whose window is over taking the room: no request comes here yet that
    // would have them go.
    keys.expire(now);
    double until = now + over.secondsLeft() + stretch;
    if (!keys.learnSettledFromPeer(
        new SettledKey(
            over.key().high(),
            over.key().low(),
            stretched(over.lastDoor()),
            over.check(),
            until,
            over.result()))) {
      // Guards against a second run of a key that there is no room to know: less memory than the
      // other had.
      keys.failUnknownKeysUntil(until);
      return false;
    }
    return true;
  }

  /** The other process has this key in hand, or had. */
  public void heard(Kept kept, double now) {
    keys.learnFromPeer(
        kept.key(),
        RequestBody.of(kept.body()),
        stretched(kept.lastDoor()),
        now + kept.secondsLeft() + stretch);
    KeyEntry<T> known = keys.find(kept.key());
    if (kept.finished() && keys.isOwnedByPeer(known)) {
      host.finished(known, kept.result());
    }
    host.wake(kept.key(), false);
  }

  private long stretched(long lastDoor) {
    return lastDoor + Math.round(stretch * 1000);
  }

  public void ended(String key, byte[] result) {
    KeyEntry<T> entry = keys.find(key);
    if (keys.isOwnedByPeer(entry)) {
      host.finished(entry, result);
    }
  }

  public void freed(String key) {
    KeyEntry<T> entry = keys.find(key);
    if (keys.isOwnedByPeer(entry)) {
      host.voided(entry);
      keys.releasedByPeer(entry);
    }
  }

  /**
   * The other process asks for a key: it is told, or has it in hand from now on. Not null where a
   * disk has the answer.
   */
  public Reread<T> claimed(String key, long door, byte[] body, double now) {
    KeyEntry<T> entry = keys.findDuplicate(key, door);
    if (other == null) {
      return null;
    }
    double window = host.window(key);
    if (entry == null || keys.isOwnedByPeer(entry)) {
      if (entry == null) {
        keys.learnFromPeer(
            key,
            RequestBody.of(body),
            door + Math.round(window * 1000),
            now + window + IdempotencyTable.LINGER_SECONDS);
      }
      other.granted(key);
      return null;
    }
    if (entry.body().bytes() != null) {
      other.tell(kept(entry, now));
      return null;
    }
    return new Reread<>(other, key, entry, keys.result(entry), window, body);
  }

  // ---- What this process says ----

  /** True where this process may not take a keyed try before the other one was asked. */
  public boolean mustAsk(String key, long door) {
    return other != null && !owner && key != null && !known(key, door);
  }

  public boolean known(String key, long door) {
    KeyEntry<T> entry = keys.find(key);
    return entry != null && entry.covers(door);
  }

  /** What the other process has to know before a run of this key begins; null for nothing. */
  public Kept beforeRun(KeyEntry<T> entry, double now) {
    return other == null || !owner || entry == null ? null : kept(entry, now);
  }

  /** A run of this process is over. */
  public void tellEnd(KeyEntry<T> entry, byte[] result) {
    if (other != null && entry.attempt() != null && keys.isCurrent(entry)) {
      other.ended(entry.key(), result);
    }
  }

  /** No try of this key is in hand any more; {@code held} where another one is. */
  public void tellFree(String key, boolean held) {
    if (other != null && key != null && !held && keys.find(key) == null) {
      other.freed(key);
    }
  }

  private Kept kept(KeyEntry<T> entry, double now) {
    if (entry.mayHaveRun()) {
      return new Kept(
          entry.key(),
          entry.isFinal(),
          entry.coveredUntilMillis(),
          entry.expiresAtSeconds() - now,
          entry.body().bytes(),
          keys.result(entry));
    }
    double window = host.window(entry.key());
    return new Kept(
        entry.key(),
        false,
        host.door(entry.attempt()) + Math.round(window * 1000),
        window + IdempotencyTable.LINGER_SECONDS,
        entry.body().bytes(),
        null);
  }
}
