package wharftrestle.idempotency;

import java.util.List;
import java.util.function.Consumer;
import wharftrestle.idempotency.KeyState.Step;

/**
 * Decides whether an attempt of a keyed request is queued, executes, attaches to another attempt or
 * fails, and stores the outcome of the attempt that executed. {@link KeyState} defines the
 * transitions, {@link ActiveKeys} has the entries of keys in flight, {@link SettledKeys} the keys
 * whose outcome is final, and {@link KeyMemoryBudget} decides whether another key fits.
 *
 * <p>No key executes twice within its window, and none is removed before its window ends. Requests
 * are answered by the caller. Time is passed in: {@code now} in seconds on a clock that never
 * decreases, timestamps in Unix ms. Not thread-safe: guarded by the caller's lock.
 *
 * @param <T> the caller's type of an attempt
 */
public final class IdempotencyTable<T> {
  /** Added to a key's window, as clocks are rounded and an attempt's timestamp may be early. */
  public static final double WINDOW_SLACK_SECONDS = 0.5;

  /** How long a key is kept past its window, as an attempt may be read after a process pause. */
  public static final double LINGER_SECONDS = 10;

  private static final double MILLIS_PER_SECOND = 1000;

  /** Called once for each attached attempt, when its key's entry becomes final or absent. */
  public interface CompletionListener<T> {
    /** Completes the waiting attempt with the outcome of the entry. */
    void onCompleted(T waiter, KeyEntry<T> entry);
  }

  private final CompletionListener<T> completionListener;
  private final KeyMemoryBudget budget;
  private final ActiveKeys<T> activeKeys = new ActiveKeys<>();
  private final SettledKeys settledKeys;
  private boolean persistent;
  private double unknownKeysFailUntilSeconds = Double.NEGATIVE_INFINITY;
  private boolean failsUnknownKeys;

  /** Creates an empty table that keeps results in memory. */
  public IdempotencyTable(CompletionListener<T> completionListener, KeyMemoryBudget budget) {
    this.completionListener = completionListener;
    this.budget = budget;
    settledKeys = new SettledKeys(budget);
  }

  /** From now on results are kept on disk, and the number of settled keys has this limit. */
  public void enablePersistence(int maxSettledKeys) {
    settledKeys.reset(maxSettledKeys);
    persistent = true;
  }

  /** True if results are kept on disk. */
  public boolean isPersistent() {
    return persistent;
  }

  // ---- Size and memory ----

  /** Number of keys. */
  public int size() {
    return activeKeys.size() + settledKeys.size();
  }

  /** Memory of the index of settled keys, without their results, in bytes. */
  public long indexBytes() {
    return settledKeys.indexBytes();
  }

  /** Memory of settled keys and their results, in bytes. */
  public long memoryBytes() {
    return settledKeys.memoryBytes();
  }

  /** Memory of results in bytes, counted in full blocks. */
  public long resultBytes() {
    return settledKeys.resultBytes();
  }

  /**
   * Reserves the memory that a key of this process may need until it expires; false if there is not
   * enough. The caller calls {@link #releaseMemory} once the attempt has ended.
   */
  public boolean tryReserveMemory() {
    return persistent
        || budget.tryReserve(
            unreservedKeyCount(), settledKeys.usedBlocks(), activeKeys.peerOwnedCount());
  }

  /** Releases a reservation. */
  public void releaseMemory() {
    if (!persistent) {
      budget.release();
    }
  }

  /**
   * Seconds from now until enough keys have expired for one more reservation; infinite if that is
   * not known.
   */
  public double secondsUntilCapacity(double now) {
    int excessKeys = budget.excessKeys(unreservedKeyCount());
    long excessBlocks = budget.excessBlocks(settledKeys.usedBlocks(), activeKeys.peerOwnedCount());
    if (excessKeys <= 0 && excessBlocks <= 0) {
      return 0;
    }
    return Math.max(0, settledKeys.freedAtSeconds(excessKeys, excessBlocks) - now);
  }

  private int unreservedKeyCount() {
    return settledKeys.size() + activeKeys.peerOwnedCount();
  }

  // ---- Lookup ----

  /**
   * The entry of this key; null if there is none. For a settled key, each call creates a new
   * read-only entry.
   */
  public KeyEntry<T> find(String key) {
    KeyEntry<T> existing = lookup(key);
    return existing == null && failsUnknownKeys ? newPossiblyLostEntry(key) : existing;
  }

  private KeyEntry<T> lookup(String key) {
    KeyEntry<T> entry = activeKeys.get(key);
    return entry != null ? entry : settledKeys.view(key);
  }

  /** An entry that fails all attempts of a key, whose record may be lost with a damaged log. */
  private static <T> KeyEntry<T> newPossiblyLostEntry(String key) {
    KeyEntry<T> entry = new KeyEntry<>(key, RequestBody.ANY, KeyEntry.NO_ROW);
    entry.transition(Step.RECOVER_INTENT);
    entry.setCoveredUntilMillis(Long.MAX_VALUE);
    return entry;
  }

  /**
   * The entry that an attempt with this timestamp duplicates; null if it is no duplicate. Removes a
   * key whose window ends before this timestamp.
   */
  public KeyEntry<T> findDuplicate(String key, long timestampMillis) {
    KeyEntry<T> existing = find(key);
    if (existing == null || existing.covers(timestampMillis)) {
      return existing;
    }
    removeEntry(existing);
    return null;
  }

  /** The result of a key if it is in memory; null if there is none or it is on disk. */
  public byte[] result(KeyEntry<T> entry) {
    return entry.unsettledResult() != null ? entry.unsettledResult() : settledKeys.result(entry);
  }

  /** True if this object is the current entry of its key and the key is not settled. */
  public boolean isCurrent(KeyEntry<T> entry) {
    return entry != null && activeKeys.contains(entry);
  }

  /** Visits all entries that are not settled. */
  public void forEachActive(Consumer<KeyEntry<T>> action) {
    activeKeys.all().forEach(action);
  }

  /** Entries whose result is being written to disk. */
  public List<KeyEntry<T>> entriesBeingSaved() {
    return activeKeys.all().stream().filter(entry -> entry.state() == KeyState.SAVING).toList();
  }

  // ---- Transitions of a key in this process ----

  /**
   * Registers a queued attempt for its key, so that duplicates attach to it. Null if an attempt has
   * executed within that window: duplicates still attach to that one.
   */
  public KeyEntry<T> enqueue(String key, byte[] body, long timestampMillis, T attempt) {
    KeyEntry<T> existing = find(key);
    if (existing != null && existing.mayHaveRun() && existing.covers(timestampMillis)) {
      return null;
    }
    KeyEntry<T> entry = replace(key, RequestBody.of(body));
    activeKeys.transition(entry, Step.ENQUEUE);
    entry.setAttempt(attempt);
    return entry;
  }

  /**
   * Starts the execution of a key. If results are persistent, its intent must be on disk before the
   * dispatch, and the caller then calls {@link #intentRecorded} or {@link #abandon}. If an attempt
   * has executed within this window, returns its entry: the given attempt may not execute, and is
   * to be attached to that entry.
   */
  public KeyEntry<T> start(
      String key, byte[] body, long timestampMillis, double windowSeconds, double now, T attempt) {
    KeyEntry<T> entry = find(key);
    if (entry != null && entry.mayHaveRun()) {
      if (entry.covers(timestampMillis)) {
        return entry;
      }
      removeEntry(entry);
      entry = null;
    }
    entry = entry != null ? entry : replace(key, RequestBody.of(body));
    activeKeys.transition(entry, persistent ? Step.RECORD_INTENT : Step.START);
    entry.setAttempt(attempt);
    double window = windowSeconds + WINDOW_SLACK_SECONDS;
    activeKeys.setWindow(
        entry,
        timestampMillis + Math.round(window * MILLIS_PER_SECOND),
        now + windowSeconds + WINDOW_SLACK_SECONDS + LINGER_SECONDS);
    return entry;
  }

  /** The intent of an execution is on disk. */
  public void intentRecorded(KeyEntry<T> entry) {
    activeKeys.transition(entry, Step.INTENT_RECORDED);
  }

  /**
   * The execution did not begin: removes the key, so that a further attempt may execute, and
   * completes its waiters as absent. No effect if the key's outcome became known meanwhile.
   */
  public void abandon(KeyEntry<T> entry) {
    if (entry.state().allows(Step.VOID)) {
      releaseKey(entry, Step.VOID);
    }
  }

  /**
   * An execution has ended.
   *
   * @param result null unless it succeeded
   * @return true if the outcome is not final until the result is on disk
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
      activeKeys.transition(entry, Step.SAVE_RESULT);
      return true;
    }
    finish(entry, Step.SUCCEED, CompactIndex.NO_RESULT);
    return false;
  }

  /**
   * The result is on disk, or with {@link CompactIndex#NO_RESULT} its write has failed. The result
   * then stays in memory, from which duplicates still receive it.
   */
  public void resultSaved(KeyEntry<T> entry, long location) {
    if (entry.state() == KeyState.SAVING) {
      finish(entry, Step.RESULT_SAVED, location);
    }
  }

  /** A queued attempt has ended without execution. */
  public void release(KeyEntry<T> entry, T attempt) {
    if (entry.attempt() == attempt && entry.state() == KeyState.QUEUED) {
      releaseKey(entry, Step.RELEASE);
    }
  }

  /** Attaches an attempt, which completes with the entry; false if the entry is final already. */
  public boolean attach(KeyEntry<T> entry, T waiter) {
    if (entry.isFinal() || entry.state() == KeyState.ABSENT) {
      return false;
    }
    entry.addWaiter(waiter);
    return true;
  }

  /** An attached attempt has ended before the entry became final. */
  public void detach(KeyEntry<T> entry, T waiter) {
    entry.removeWaiter(waiter);
  }

  /** Removes the expired keys. */
  public void expire(double now) {
    failsUnknownKeys &= now < unknownKeysFailUntilSeconds;
    activeKeys.expire(now);
    settledKeys.expire(now);
  }

  // ---- The peer process ----

  /**
   * The peer process has this key in flight, or completed it.
   *
   * @param coveredUntilMillis attempts with a timestamp up to here may not execute, Unix ms
   * @param expiresAtSeconds when the key expires, on the caller's clock
   * @return the new entry, or null if the existing one takes precedence
   */
  public KeyEntry<T> learnFromPeer(
      String key, RequestBody body, long coveredUntilMillis, double expiresAtSeconds) {
    KeyEntry<T> existing = lookup(key);
    if (existing != null
        && !(existing.isFinal() && existing.coveredUntilMillis() < coveredUntilMillis)) {
      return null;
    }
    if (existing != null) {
      removeEntry(existing);
    }
    KeyEntry<T> entry = replace(key, body);
    activeKeys.transition(entry, Step.LEARN_FROM_PEER);
    activeKeys.setWindow(entry, coveredUntilMillis, expiresAtSeconds);
    return entry;
  }

  /**
   * Adds a settled key of the peer process. A result that does not fit is dropped and its key is
   * kept; false if the key does not fit either.
   */
  public boolean learnSettledFromPeer(SettledEntry key) {
    return settledKeys.add(key);
  }

  /** The digests of all settled keys. */
  public List<KeyDigest> settledDigests() {
    return settledKeys.digests();
  }

  /** The data of a settled key; null if it has been removed. */
  public SettledEntry findSettled(KeyDigest digest) {
    return settledKeys.export(digest);
  }

  /** True if the peer process has the key in flight. */
  public boolean isOwnedByPeer(KeyEntry<T> entry) {
    return entry != null && entry.state() == KeyState.OWNED_BY_PEER;
  }

  /** The peer process never executed a key that it had in flight, or may not execute it. */
  public void releasedByPeer(KeyEntry<T> entry) {
    if (isOwnedByPeer(entry)) {
      releaseKey(entry, Step.RELEASE);
    }
  }

  /** The peer process is lost: the outcome of its keys in flight is unknown. */
  public void peerLost() {
    for (KeyEntry<T> entry : List.copyOf(activeKeys.all())) {
      if (isOwnedByPeer(entry)) {
        complete(entry, null);
      }
    }
  }

  // ---- Recovery ----

  /**
   * Adds a key that an earlier process recorded on disk, or that the peer process handed over. An
   * active entry, or a settled one with its result in memory, takes precedence.
   *
   * @param location of the result, or {@link CompactIndex#NO_RESULT} if the outcome is unknown
   * @return false if it does not fit
   */
  public boolean recover(
      String key, long location, long coveredUntilMillis, long checksum, double expiresAtSeconds) {
    return activeKeys.get(key) != null
        || settledKeys.recover(key, location, coveredUntilMillis, checksum, expiresAtSeconds);
  }

  /** Fails attempts of unknown keys until then, as their keys may have been lost. */
  public void failUnknownKeysUntil(double seconds) {
    unknownKeysFailUntilSeconds = Math.max(unknownKeysFailUntilSeconds, seconds);
    failsUnknownKeys = true;
  }

  // ---- Shared helpers ----

  /** Replaces any entry of the key by a new one. */
  private KeyEntry<T> replace(String key, RequestBody body) {
    KeyEntry<T> replaced = activeKeys.get(key);
    if (replaced != null) {
      activeKeys.remove(replaced);
    } else {
      settledKeys.remove(key);
    }
    return activeKeys.add(key, body);
  }

  private void removeEntry(KeyEntry<T> entry) {
    if (entry.wheelRow() == KeyEntry.NO_ROW) {
      settledKeys.remove(entry.key());
    } else {
      activeKeys.remove(entry);
    }
  }

  private void releaseKey(KeyEntry<T> entry, Step step) {
    activeKeys.transition(entry, step);
    activeKeys.remove(entry);
    completeWaiters(entry);
  }

  private void finish(KeyEntry<T> entry, Step step, long locationOnDisk) {
    activeKeys.transition(entry, step);
    completeWaiters(entry);
    settle(entry, locationOnDisk);
  }

  private void completeWaiters(KeyEntry<T> entry) {
    entry.drainWaiters().forEach(waiter -> completionListener.onCompleted(waiter, entry));
  }

  /**
   * Moves a final entry to the settled keys. If their index is full, which only keys of the peer
   * process can cause, the entry stays active without its attempt, so that no key is lost.
   */
  private void settle(KeyEntry<T> entry, long locationOnDisk) {
    if (!activeKeys.contains(entry)) {
      return; // The entry has expired or was replaced.
    }
    if (settledKeys.add(entry, locationOnDisk)) {
      activeKeys.remove(entry);
    } else {
      entry.setAttempt(null);
    }
  }
}
