package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wharftrestle.idempotency.KeyState.Step;

/**
 * Every decision on a key of this box: whether a try may be held, may run, joins another or fails,
 * and what is known of the try that ran. It owns the entries with their states ({@link KeyState}
 * has the table), the tries that ride on them, and when each is forgotten. It must never let a key
 * run twice in its window, answer a try itself, or forget a key whose window is not over. Time is
 * passed in: {@code now} in seconds on a clock that never goes back, stamps ({@code door}) in Unix
 * ms. Not thread-safe: its caller's lock guards it.
 *
 * <p>An entry that is over is settled: its try, its text and its body go, the {@link CompactIndex}
 * knows it by its digest, and its result lies in {@link BlockStore} or, where results are kept, on
 * disk. {@link KeyMemoryBudget} says whether a further key fits: who starts a run asks for its
 * {@link #promise} first.
 *
 * @param <T> a try, as the caller knows it
 */
public final class IdempotencyTable<T> {
  /** Seconds by which a key's window is stretched: clocks round, and a try may be stamped early. */
  public static final double SLACK = 0.5;

  /**
   * Seconds an entry stays past its window: a try stamped within it may be read after a standstill.
   */
  public static final double LINGER = 10;

  private static final double TICK = 0.25;
  private static final int SLOTS = 512;

  /** What a key was asked: its body, or where that is not kept any more what stands for it. */
  public record Asked(byte[] body, long check) {
    /** Of a key that may have been known before a disk lost it: no try of it is told apart. */
    private static final Asked ANY = new Asked(null, 0);

    public static Asked of(byte[] body) {
      return new Asked(body, 0);
    }

    /** True where a try with this body asks the same. */
    @SuppressWarnings("ReferenceEquality") // another one with a check of 0 is not that one
    public boolean same(byte[] other) {
      return this == ANY
          || (body != null ? Arrays.equals(body, other) : check == KeyDigest.check(other));
    }

    /** What stands for it in 64 bits. */
    public long brief() {
      return body != null ? KeyDigest.check(body) : check;
    }
  }

  /** One key and what is known of it; a handle that its caller keeps and never changes. */
  public static final class Entry<T> {
    private final String key;
    private Asked asked;
    private final int row;
    private KeyState state = KeyState.ABSENT;
    private T holder;
    private byte[] result;
    private long place = CompactIndex.NO_PLACE;
    private long lastDoor;
    private double until = Double.POSITIVE_INFINITY;
    private List<T> riders = List.of();

    private Entry(String key, Asked asked, int row) {
      this.key = key;
      this.asked = asked;
      this.row = row;
    }

    public String key() {
      return key;
    }

    public Asked asked() {
      return asked;
    }

    public KeyState state() {
      return state;
    }

    /**
     * The try of this process that holds it or ran; null where the other process has it, or it is
     * settled.
     */
    public T holder() {
      return holder;
    }

    /** True where its result lies on disk, and only there. */
    public boolean onDisk() {
      return state == KeyState.SERVED && place >= 0;
    }

    /**
     * Where the result lies: 0 or more on disk, {@link CompactIndex#NO_PLACE} nowhere, else in
     * memory.
     */
    public long place() {
      return place;
    }

    /** No try stamped up to here may run, where one ran. */
    public long lastDoor() {
      return lastDoor;
    }

    /** When it is forgotten, on the caller's clock. */
    public double until() {
      return until;
    }

    public boolean ran() {
      return state.ran();
    }

    public boolean over() {
      return state.over();
    }

    /** True where a try with this stamp is one of this key's window. */
    public boolean covers(long door) {
      return !state.ran() || door <= lastDoor;
    }

    private void step(Step step) {
      state = state.after(step);
    }
  }

  /** Told that a try that rode on an entry ends as the entry did. */
  public interface Ends<T> {
    void rider(T rider, Entry<T> entry);
  }

  private final Map<String, Entry<T>> open = new HashMap<>();
  private final List<Entry<T>> rows = new ArrayList<>();
  private final TimingWheel wheel = new TimingWheel(TICK, SLOTS);
  private final Ends<T> ends;
  private final KeyMemoryBudget room;
  private final BlockStore blocks;
  private CompactIndex settled;
  private boolean recorded; // results are kept on disk
  private int elsewhere; // keys that the other process has in hand
  private String
      lastKey; // the digest of the key that was looked for last, as it is looked for again
  private KeyDigest lastDigest;
  private double blindUntil = Double.NEGATIVE_INFINITY;
  private boolean blind;
  private int[] free = new int[16];
  private int frees;

  public IdempotencyTable(Ends<T> ends, KeyMemoryBudget room) {
    this.ends = ends;
    this.room = room;
    blocks = new BlockStore(room.mostBlocks());
    settled = index(room.mostKeys());
  }

  private CompactIndex index(int most) {
    return new CompactIndex(
        most,
        place -> {
          if (inMemory(place)) {
            blocks.free(block(place));
          }
        });
  }

  /** From now on runs are recorded, and at most so many settled keys are known. */
  public void record(int mostSettled) {
    settled = index(mostSettled);
    recorded = true;
  }

  public boolean recorded() {
    return recorded;
  }

  /** Keys known now. */
  public int size() {
    return open.size() + settled.size();
  }

  /** Bytes of what is known of settled keys, without their results. */
  public long settledBytes() {
    return settled.bytes();
  }

  /** Bytes of all that is known of settled keys in memory. */
  public long bytes() {
    return settled.bytes() + blocks.bytes();
  }

  /** Bytes of results in memory, whole blocks. */
  public long resultBytes() {
    return (long) blocks.used() * BlockStore.COST;
  }

  // ---- Room ----

  /**
   * Promises a key of this process that it will be known to its end; false where there is no room.
   * {@link #unpromise} follows once the try that asked is over.
   */
  public boolean promise() {
    return recorded || room.promise(settled.size() + elsewhere, blocks.used(), elsewhere);
  }

  public void unpromise() {
    if (!recorded) {
      room.settle();
    }
  }

  /**
   * Seconds from now until what expires makes room for one more promise; infinite where that is not
   * known.
   */
  public double roomIn(double now) {
    int[] keysWanted = {room.keysWanted(settled.size() + elsewhere)};
    long[] blocksWanted = {room.blocksWanted(blocks.used(), elsewhere)};
    if (keysWanted[0] <= 0 && blocksWanted[0] <= 0) {
      return 0;
    }
    double[] at = {Double.POSITIVE_INFINITY};
    settled.soonest(
        (due, place) -> {
          keysWanted[0]--;
          blocksWanted[0] -= inMemory(place) ? blocks.count(block(place)) : 0;
          at[0] = due;
          return keysWanted[0] > 0 || blocksWanted[0] > 0;
        });
    return keysWanted[0] > 0 || blocksWanted[0] > 0
        ? Double.POSITIVE_INFINITY
        : Math.max(0, at[0] - now);
  }

  private static boolean inMemory(long place) {
    return place < CompactIndex.NO_PLACE;
  }

  /**
   * The first block of a result in memory: those places lie below {@link CompactIndex#NO_PLACE}.
   */
  private static int block(long place) {
    return (int) (CompactIndex.NO_PLACE - 1 - place);
  }

  private static long place(int block) {
    return block == BlockStore.NONE ? CompactIndex.NO_PLACE : CompactIndex.NO_PLACE - 1 - block;
  }

  private KeyDigest digest(String key) {
    if (!key.equals(lastKey)) {
      lastDigest = KeyDigest.of(key);
      lastKey = key;
    }
    return lastDigest;
  }

  /**
   * The result of a served key where it is in memory; null where there is none, or it lies on disk.
   */
  public byte[] result(Entry<T> entry) {
    if (entry.result != null || !inMemory(entry.place)) {
      return entry.result;
    }
    // The entry may be older than what is in its place by now.
    CompactIndex.Found found = settled.find(digest(entry.key));
    return found != null && found.place() == entry.place && found.lastDoor() == entry.lastDoor
        ? blocks.get(block(entry.place))
        : null;
  }

  /**
   * Until then no key that is not known may run, as what was known of it may be lost: its tries
   * fail.
   */
  public void blind(double until) {
    blindUntil = Math.max(blindUntil, until);
    blind = true;
  }

  /**
   * What is known of this key; null for nothing. A settled one comes as an entry of its own each
   * time.
   */
  public Entry<T> find(String key) {
    Entry<T> entry = known(key);
    if (entry == null && blind) {
      entry = new Entry<>(key, Asked.ANY, -1);
      entry.step(Step.RECOVER_INTENT);
      entry.lastDoor = Long.MAX_VALUE;
    }
    return entry;
  }

  private Entry<T> known(String key) {
    Entry<T> entry = open.get(key);
    if (entry != null || settled.size() == 0) {
      return entry;
    }
    CompactIndex.Found found = settled.find(digest(key));
    if (found == null) {
      return null;
    }
    Entry<T> view = new Entry<>(key, new Asked(null, found.check()), -1);
    boolean known = found.place() != CompactIndex.NO_PLACE;
    view.step(known ? Step.RECOVER_RESULT : Step.RECOVER_INTENT);
    view.place = found.place();
    view.lastDoor = found.lastDoor();
    return view;
  }

  /**
   * What a try with this stamp repeats; null where it repeats nothing. What its window has left
   * behind is forgotten.
   */
  public Entry<T> meet(String key, long door) {
    Entry<T> prior = find(key);
    if (prior == null || prior.covers(door)) {
      return prior;
    }
    forget(prior);
    return null;
  }

  /** True where this very entry is what is known of its key. */
  public boolean current(Entry<T> entry) {
    return entry != null && open.get(entry.key) == entry;
  }

  public void each(Consumer<Entry<T>> told) {
    open.values().forEach(told);
  }

  /**
   * A try is held and its key taken, so that repeats join it. Null where a try of that window ran:
   * that one stays what repeats are told of.
   */
  public Entry<T> hold(String key, byte[] body, long door, T holder) {
    Entry<T> known = find(key);
    if (known != null && known.ran() && known.covers(door)) {
      return null;
    }
    Entry<T> entry = put(key, Asked.of(body));
    step(entry, Step.HOLD);
    entry.holder = holder;
    return entry;
  }

  /**
   * A run was decided. Where results are kept its intent must be on disk before it is spawned
   * ({@link #recorded} or {@link #neverRan} follow). The entry of another holder, or a settled one,
   * comes back where a try of this window ran already: then this one may not, and joins it.
   *
   * @param window seconds from the try's stamp
   */
  public Entry<T> start(String key, byte[] body, long door, double window, double now, T holder) {
    Entry<T> entry = find(key);
    if (entry != null && entry.ran()) {
      if (entry.covers(door)) {
        return entry;
      }
      forget(entry);
      entry = null;
    }
    entry = entry != null ? entry : put(key, Asked.of(body));
    step(entry, recorded ? Step.INTEND : Step.START);
    entry.holder = holder;
    bound(entry, door + Math.round((window + SLACK) * 1000), now + window + SLACK + LINGER);
    return entry;
  }

  /** The intent of a run is on disk. */
  public void recorded(Entry<T> entry) {
    step(entry, Step.RECORDED);
  }

  /**
   * No run was begun, or may be: a further try of the key may have one. Riders fail, as nothing ran
   * for them.
   */
  public void neverRan(Entry<T> entry) {
    if (!entry.state.allows(Step.VOID)) {
      return; // known to have ended meanwhile
    }
    step(entry, Step.VOID);
    remove(entry);
    end(entry);
  }

  /**
   * A run is over; the result is null unless it ended well. True where that is not final before it
   * is on disk.
   */
  public boolean ran(Entry<T> entry, byte[] result) {
    if (entry.state.over() || entry.state == KeyState.SAVING || entry.state == KeyState.ABSENT) {
      return entry.state == KeyState.SAVING;
    }
    if (result == null) {
      step(entry, Step.FAIL);
      end(entry);
      settle(entry, CompactIndex.NO_PLACE);
      return false;
    }
    entry.result = result;
    if (recorded && entry.state.allows(Step.SAVE)) {
      step(entry, Step.SAVE);
      return true;
    }
    step(entry, Step.SUCCEED);
    end(entry);
    settle(entry, CompactIndex.NO_PLACE);
    return false;
  }

  /**
   * The result is on disk, or with {@link CompactIndex#NO_PLACE} could not be written: then it
   * stays in memory, where its repeats still find it.
   */
  public void saved(Entry<T> entry, long place) {
    if (entry.state != KeyState.SAVING) {
      return;
    }
    step(entry, Step.SAVED);
    end(entry);
    settle(entry, place);
  }

  /** Entries whose result is on its way to the disk. */
  public List<Entry<T>> unsaved() {
    return open.values().stream().filter(entry -> entry.state == KeyState.SAVING).toList();
  }

  /**
   * What is known of an ended entry is put as small as it goes. Where the index is full, which only
   * keys of another process can bring about, the entry stays as it is, without its try: no key is
   * forgotten. A result that finds no room, which none that was promised is, is let go, and its key
   * stays.
   */
  private void settle(Entry<T> entry, long onDisk) {
    if (!current(entry)) {
      return; // its window is over, or another took its place
    }
    long at =
        onDisk != CompactIndex.NO_PLACE || entry.state != KeyState.SERVED
            ? onDisk
            : place(blocks.put(entry.result));
    entry.asked = new Asked(null, entry.asked.brief());
    if (settled.put(digest(entry.key), at, entry.lastDoor, entry.asked.check(), entry.until)) {
      remove(entry);
      entry.place = at;
      return;
    }
    if (inMemory(at)) {
      blocks.free(block(at));
    }
    entry.holder = null;
  }

  /** A try that holds its key and never ran is over. */
  public void release(Entry<T> entry, T holder) {
    if (entry.holder == holder && entry.state == KeyState.HELD) {
      step(entry, Step.RELEASE);
      remove(entry);
      end(entry);
    }
  }

  /** This try ends as the entry does; false where the entry is over already. */
  public boolean ride(Entry<T> entry, T rider) {
    if (entry.state.over() || entry.state == KeyState.ABSENT) {
      return false;
    }
    if (entry.riders.isEmpty()) {
      entry.riders = new ArrayList<>(2);
    }
    entry.riders.add(rider);
    return true;
  }

  public void leave(Entry<T> entry, T rider) {
    if (!entry.riders.isEmpty()) {
      entry.riders.remove(rider);
    }
  }

  /** Forgets whose time is over. */
  public void expire(double now) {
    blind &= now < blindUntil;
    wheel.advance(
        now,
        row -> {
          Entry<T> entry = rows.get(row);
          if (open.remove(entry.key, entry)) {
            elsewhere -= elsewhere(entry) ? 1 : 0;
          }
          release(row);
        });
    settled.expire(now);
  }

  // ---- The other process of this box, and what a dead one left ----

  /**
   * The other process has this key in hand, or had. Null where this process knows better.
   *
   * @param lastDoor Unix ms
   * @param until on the caller's clock
   */
  public Entry<T> hear(String key, Asked asked, long lastDoor, double until) {
    Entry<T> known = known(key);
    if (known != null && !(known.over() && known.lastDoor < lastDoor)) {
      return null;
    }
    if (known != null) {
      forget(known);
    }
    Entry<T> entry = put(key, asked);
    step(entry, Step.HEAR);
    bound(entry, lastDoor, until);
    return entry;
  }

  /**
   * One settled key as it goes to the other process; the result is null where it has none to give.
   */
  public record Settled(
      long high, long low, long lastDoor, long check, double until, byte[] result) {}

  /** The digests of all keys that are settled now. */
  public List<KeyDigest> settled() {
    return settled.all();
  }

  /** What is known of a settled key; null where it is known no more. */
  public Settled settled(KeyDigest key) {
    CompactIndex.Found found = settled.find(key);
    return found == null
        ? null
        : new Settled(
            key.high(),
            key.low(),
            found.lastDoor(),
            found.check(),
            settled.until(found.row()),
            inMemory(found.place()) ? blocks.get(block(found.place())) : null);
  }

  /**
   * The other process knows this key, which is over. Where its result finds no room it goes, and
   * the key stays; false where even that has none.
   */
  public boolean hear(Settled key) {
    KeyDigest digest = new KeyDigest(key.high(), key.low());
    long at = key.result() == null ? CompactIndex.NO_PLACE : place(blocks.put(key.result()));
    boolean known = settled.put(digest, at, key.lastDoor(), key.check(), key.until());
    if (!known && inMemory(at)) {
      blocks.free(block(at));
    }
    return known;
  }

  /** True where the other process has it in hand. */
  public boolean elsewhere(Entry<T> entry) {
    return entry != null && entry.state == KeyState.ELSEWHERE;
  }

  /** The other process had it in hand and never ran it, or may not. */
  public void freed(Entry<T> entry) {
    if (entry.state == KeyState.ELSEWHERE) {
      step(entry, Step.RELEASE);
      remove(entry);
      end(entry);
    }
  }

  /** The other process is gone: the end of what it had in hand is unknown. */
  public void otherGone() {
    for (Entry<T> entry : List.copyOf(open.values())) {
      if (entry.state == KeyState.ELSEWHERE) {
        ran(entry, null);
      }
    }
  }

  /**
   * What a dead process of this box left on disk, or the one that handed over. Where this process
   * knows the key already, what it knows stays.
   *
   * @param place of the result, or {@link CompactIndex#NO_PLACE} where its end is unknown
   * @return false where there is no room to know it
   */
  public boolean recover(String key, long place, long lastDoor, long check, double until) {
    if (open.containsKey(key)) {
      return true;
    }
    CompactIndex.Found found = settled.size() == 0 ? null : settled.find(digest(key));
    return (found != null && inMemory(found.place()))
        || settled.put(digest(key), place, lastDoor, check, until);
  }

  // ---- Entries and their rows on the wheel ----

  private Entry<T> put(String key, Asked asked) {
    Entry<T> old = open.get(key);
    if (old != null) {
      remove(old);
    } else if (settled.size() > 0) {
      settled.remove(digest(key));
    }
    int row = frees > 0 ? free[--frees] : rows.size();
    Entry<T> entry = new Entry<>(key, asked, row);
    if (row == rows.size()) {
      rows.add(entry);
    } else {
      rows.set(row, entry);
    }
    open.put(key, entry);
    return entry;
  }

  private void bound(Entry<T> entry, long lastDoor, double until) {
    entry.lastDoor = lastDoor;
    entry.until = until;
    wheel.schedule(entry.row, until);
  }

  private void forget(Entry<T> entry) {
    if (entry.row >= 0) {
      remove(entry);
    } else {
      settled.remove(digest(entry.key));
    }
  }

  private void step(Entry<T> entry, Step step) {
    int was = elsewhere(entry) && current(entry) ? 1 : 0;
    entry.step(step);
    elsewhere += (elsewhere(entry) && current(entry) ? 1 : 0) - was;
  }

  private void remove(Entry<T> entry) {
    if (open.remove(entry.key, entry)) {
      elsewhere -= elsewhere(entry) ? 1 : 0;
      wheel.cancel(entry.row);
      release(entry.row);
    }
  }

  private void release(int row) {
    rows.set(row, null);
    if (frees == free.length) {
      free = Arrays.copyOf(free, frees * 2);
    }
    free[frees++] = row;
  }

  private void end(Entry<T> entry) {
    List<T> riders = entry.riders;
    entry.riders = List.of();
    riders.forEach(rider -> ends.rider(rider, entry));
  }
}
