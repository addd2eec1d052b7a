package wharftrestle.idempotency;

import java.util.List;
import java.util.function.Consumer;
import wharftrestle.idempotency.KeyState.Step;

/**
 * Decides on idempotency keys: whether an attempt may wait, may run, attaches to another or fails,
 * and what is known of the attempt that ran. {@link KeyState} has the transitions, {@link
 * ActiveKeys} the entries of keys in hand, {@link SettledKeys} those whose outcome is final, and
 * {@link KeyMemoryBudget} says whether one more key fits.
 *
 * <p>No key runs twice in its window, and none is forgotten before its window is over. The table
 * answers no request itself. Time is passed in: {@code now} in seconds on a clock that never goes
 * back, timestamps in Unix ms. Not thread-safe: the lock of its caller guards it.
 *
 * @param <T> an attempt, as the caller knows it
 */
public final class IdempotencyTable<T> {
  /** Added to a key's window: clocks round, and an attempt may be stamped early. */
  public static final double WINDOW_SLACK_SECONDS = 0.5;

  /** How long a key is known past its window: an attempt may be read after a process pause. */
  public static final double LINGER_SECONDS = 10;

  private static final double MILLIS_PER_SECOND = 1000;

  /** Called once for each attached attempt, as its key's entry is final or absent. */
  public interface CompletionListener<T> {
    /** The waiter ends as the entry did. */
    void completed(T waiter, KeyEntry<T> entry);
  }

  private final CompletionListener<T> completions;
  private final KeyMemoryBudget budget;
  private final ActiveKeys<T> active = new ActiveKeys<>();
  private final SettledKeys settled;
  private boolean persistent;
  private double unknownKeysFailUntil = Double.NEGATIVE_INFINITY;
  private boolean failsUnknownKeys;

  /** A table without keys, whose results stay in memory. */
  public IdempotencyTable(CompletionListener<T> completions, KeyMemoryBudget budget) {
    this.completions = completions;
    this.budget = budget;
    settled = new SettledKeys(budget);
  }

  /** From now on results are kept on disk, and at most so many settled keys are known. */
  public void enablePersistence(int maxSettledKeys) {
    settled.reset(maxSettledKeys);
    persistent = true;
  }

  /** True where results are kept on disk. */
  public boolean isPersistent() {
    return persistent;
  }

  // ---- Size and memory ----

  /** Keys known now. */
  public int size() {
    return active.size() + settled.size();
  }

  /** Bytes of what is known of settled keys, without their results. */
  public long indexBytes() {
    return settled.indexBytes();
  }

  /** Bytes of all that is known of settled keys in memory. */
  public long memoryBytes() {
    return settled.memoryBytes();
  }

  /** Bytes of results in memory, whole blocks. */
  public long resultBytes() {
    return settled.resultBytes();
  }

  /**
   * Reserves the memory that a key of this process may need until it is forgotten; false where
   * there is none. {@link #releaseMemory} follows once the attempt is over.
   */
  public boolean tryReserveMemory() {
    return persistent
        || budget.tryReserve(keysNotReserved(), settled.usedBlocks(), active.peerOwnedCount());
  }

  /** Gives a reservation back. */
  public void releaseMemory() {
    if (!persistent) {
      budget.release();
    }
  }

  /**
   * Seconds from now until expiring keys leave memory for one more reservation; infinite where that
   * is not known.
   */
  public double secondsUntilCapacity(double now) {
    int excessKeys = budget.excessKeys(keysNotReserved());
    long excessBlocks = budget.excessBlocks(settled.usedBlocks(), active.peerOwnedCount());
    if (excessKeys <= 0 && excessBlocks <= 0) {
      return 0;
    }
    return Math.max(0, settled.freedAtSeconds(excessKeys, excessBlocks) - now);
  }

  private int keysNotReserved() {
    return settled.size() + active.peerOwnedCount();
  }

  // ---- Lookup ----

  /**
   * What is known of this key; null for nothing. A settled key comes as a view of its own each
   * time.
   */
  public KeyEntry<T> find(String key) {
    KeyEntry<T> known = lookup(key);
    return known == null && failsUnknownKeys ? possiblyLost(key) : known;
  }

  private KeyEntry<T> lookup(String key) {
    KeyEntry<T> entry = active.get(key);
    return entry != null ? entry : settled.view(key);
  }

  /** An entry by which attempts of a key fail that may have run before the log was damaged. */
  private static <T> KeyEntry<T> possiblyLost(String key) {
    KeyEntry<T> entry = new KeyEntry<>(key, RequestBody.ANY, KeyEntry.NO_ROW);
    entry.transition(Step.RECOVER_INTENT);
    entry.setCoveredUntilMillis(Long.MAX_VALUE);
    return entry;
  }

  /**
   * The entry that an attempt with this timestamp duplicates; null where it duplicates nothing. A
   * key whose window this timestamp lies past is forgotten.
   */
  public KeyEntry<T> findDuplicate(String key, long timestampMillis) {
    KeyEntry<T> known = find(key);
    if (known == null || known.covers(timestampMillis)) {
      return known;
    }
    forget(known);
    return null;
  }

  /** The result of a key where it is in memory; null where there is none, or it lies on disk. */
  public byte[] result(KeyEntry<T> entry) {
    return entry.unsettledResult() != null ? entry.unsettledResult() : settled.result(entry);
  }

  /** True where this very entry is what is known of its key, and the key is not settled. */
  public boolean isCurrent(KeyEntry<T> entry) {
    return entry != null && active.contains(entry);
  }

  /** Visits all entries that are not settled. */
  public void forEachActive(Consumer<KeyEntry<T>> action) {
    active.all().forEach(action);
  }

  /** Entries whose result is being written to disk. */
  public List<KeyEntry<T>> entriesBeingSaved() {
    return active.all().stream().filter(entry -> entry.state() == KeyState.SAVING).toList();
  }

  // ---- The life of a key in this process ----

  /**
   * An attempt waits and takes its key, so that duplicates attach to it. Null where an attempt of
   * that window ran: that one stays what duplicates attach to.
   */
  public KeyEntry<T> enqueue(String key, byte[] body, long timestampMillis, T attempt) {
    KeyEntry<T> known = find(key);
    if (known != null && known.mayHaveRun() && known.covers(timestampMillis)) {
      return null;
    }
    KeyEntry<T> entry = replace(key, RequestBody.of(body));
    active.transition(entry, Step.ENQUEUE);
    entry.setAttempt(attempt);
    return entry;
  }

  /**
   * An execution was decided. Where results are persistent its intent must be on disk before the
   * dispatch: {@link #intentRecorded} or {@link #abandon} follow. Where an attempt of this window
   * ran already, its entry comes back: this attempt may not run, and attaches to that one.
   */
  public KeyEntry<T> start(
      String key, byte[] body, long timestampMillis, double windowSeconds, double now, T attempt) {
    KeyEntry<T> entry = find(key);
    if (entry != null && entry.mayHaveRun()) {
      if (entry.covers(timestampMillis)) {
        return entry;
      }
      forget(entry);
      entry = null;
    }
    entry = entry != null ? entry : replace(key, RequestBody.of(body));
    active.transition(entry, persistent ? Step.RECORD_INTENT : Step.START);
    entry.setAttempt(attempt);
    double window = windowSeconds + WINDOW_SLACK_SECONDS;
    active.setWindow(
        entry,
        timestampMillis + Math.round(window * MILLIS_PER_SECOND),
        now + windowSeconds + WINDOW_SLACK_SECONDS + LINGER_SECONDS);
    return entry;
  }

  /** The intent of an execution is on disk. */
  public void intentRecorded(KeyEntry<T> entry) {
    active.transition(entry, Step.INTENT_RECORDED);
  }

  /**
   * No execution was begun: a further attempt of the key may have one. Waiters end, as nothing ran
   * for them. Nothing where the key is known to have ended meanwhile.
   */
  public void abandon(KeyEntry<T> entry) {
    if (entry.state().allows(Step.VOID)) {
      freeKey(entry, Step.VOID);
    }
  }

  /**
   * An execution is over.
   *
   * @param result null unless it succeeded
   * @return true where that is not final before the result is on disk
   */
  public boolean complete(KeyEntry<T> entry, byte[] result) {
    KeyState state = entry.state();
    if (state.isFinal() || state == KeyState.SAVING || state == KeyState.ABSENT) {
      return state == KeyState.SAVING;
    }
    if (result == null) {
      finish(entry, Step.FAIL, CompactIndex.NO_RESULT);
      return false;
    }
    entry.setUnsettledResult(result);
    if (persistent && state.allows(Step.SAVE_RESULT)) {
      active.transition(entry, Step.SAVE_RESULT);
      return true;
    }
    finish(entry, Step.SUCCEED, CompactIndex.NO_RESULT);
    return false;
  }

  /**
   * The result is on disk, or with {@link CompactIndex#NO_RESULT} could not be written: then it
   * stays in memory, where duplicates still get it.
   */
  public void resultSaved(KeyEntry<T> entry, long location) {
    if (entry.state() == KeyState.SAVING) {
      finish(entry, Step.RESULT_SAVED, location);
    }
  }

  /** An attempt that waited and never ran is over. */
  public void release(KeyEntry<T> entry, T attempt) {
    if (entry.attempt() == attempt && entry.state() == KeyState.QUEUED) {
      freeKey(entry, Step.RELEASE);
    }
  }

  /** This attempt ends as the entry does; false where the entry is final already. */
  public boolean attach(KeyEntry<T> entry, T waiter) {
    if (entry.isFinal() || entry.state() == KeyState.ABSENT) {
      return false;
    }
    entry.addWaiter(waiter);
    return true;
  }

  /** An attached attempt is over before the entry is. */
  public void detach(KeyEntry<T> entry, T waiter) {
    entry.removeWaiter(waiter);
  }

  /** Forgets the keys whose time is over. */
  public void expire(double now) {
    failsUnknownKeys &= now < unknownKeysFailUntil;
    active.expire(now);
    settled.expire(now);
  }

  // ---- The peer process ----

  /**
   * The peer process has this key in hand, or had it.
   *
   * @param coveredUntilMillis Unix ms
   * @param expiresAtSeconds on the caller's clock
   * @return null where this process knows better
   */
  public KeyEntry<T> learnFromPeer(
      String key, RequestBody body, long coveredUntilMillis, double expiresAtSeconds) {
    KeyEntry<T> known = lookup(key);
    if (known != null && !(known.isFinal() && known.coveredUntilMillis() < coveredUntilMillis)) {
      return null;
    }
    if (known != null) {
      forget(known);
    }
    KeyEntry<T> entry = replace(key, body);
    active.transition(entry, Step.LEARN_FROM_PEER);
    active.setWindow(entry, coveredUntilMillis, expiresAtSeconds);
    return entry;
  }

  /**
   * The peer process knows this settled key. A result that does not fit is dropped, and its key
   * stays; false where even the key does not fit.
   */
  public boolean learnSettledFromPeer(SettledEntry key) {
    return settled.add(key);
  }

  /** The digests of all settled keys. */
  public List<KeyDigest> settledDigests() {
    return settled.digests();
  }

  /** What is known of a settled key; null where it is known no more. */
  public SettledEntry findSettled(KeyDigest digest) {
    return settled.export(digest);
  }

  /** True where the peer process has the key in hand. */
  public boolean isOwnedByPeer(KeyEntry<T> entry) {
    return entry != null && entry.state() == KeyState.OWNED_BY_PEER;
  }

  /** The peer process had the key in hand and never ran it, or may not. */
  public void releasedByPeer(KeyEntry<T> entry) {
    if (isOwnedByPeer(entry)) {
      freeKey(entry, Step.RELEASE);
    }
  }

  /** The peer process is lost: the outcome of what it had in hand is unknown. */
  public void peerLost() {
    for (KeyEntry<T> entry : List.copyOf(active.all())) {
      if (isOwnedByPeer(entry)) {
        complete(entry, null);
      }
    }
  }

  // ---- Recovery ----

  /**
   * What an earlier process left on disk, or the peer process handed over. What this process knows
   * already stays.
   *
   * @param location of the result, or {@link CompactIndex#NO_RESULT} where the outcome is unknown
   * @return false where it does not fit
   */
  public boolean recover(
      String key, long location, long coveredUntilMillis, long checksum, double expiresAtSeconds) {
    return active.get(key) != null
        || settled.recover(key, location, coveredUntilMillis, checksum, expiresAtSeconds);
  }

  /** Until then attempts of unknown keys fail and do not run, as their keys may have been lost. */
  public void failUnknownKeysUntil(double seconds) {
    unknownKeysFailUntil = Math.max(unknownKeysFailUntil, seconds);
    failsUnknownKeys = true;
  }

  // ---- Steps that several of these share ----

  /** A fresh entry in place of whatever is known of its key. */
  private KeyEntry<T> replace(String key, RequestBody body) {
    KeyEntry<T> old = active.get(key);
    if (old != null) {
      active.remove(old);
    } else {
      settled.remove(key);
    }
    return active.add(key, body);
  }

  private void forget(KeyEntry<T> entry) {
    if (entry.wheelRow() == KeyEntry.NO_ROW) {
      settled.remove(entry.key());
    } else {
      active.remove(entry);
    }
  }

  private void freeKey(KeyEntry<T> entry, Step step) {
    active.transition(entry, step);
    active.remove(entry);
    completeWaiters(entry);
  }

  private void finish(KeyEntry<T> entry, Step step, long locationOnDisk) {
    active.transition(entry, step);
    completeWaiters(entry);
    settle(entry, locationOnDisk);
  }

  private void completeWaiters(KeyEntry<T> entry) {
    entry.drainWaiters().forEach(waiter -> completions.completed(waiter, entry));
  }

  /**
   * Moves a final entry to the settled keys. Where their index is full, which only keys of the peer
   * process can bring about, the entry stays without its attempt: no key is forgotten.
   */
  private void settle(KeyEntry<T> entry, long locationOnDisk) {
    if (!active.contains(entry)) {
      return; // Its window is over, or another entry took its place.
    }
    if (settled.add(entry, locationOnDisk)) {
      active.remove(entry);
    } else {
      entry.setAttempt(null);
    }
  }
}
