package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.idempotency.KeyState.Step;

/**
 * The entries of keys that are queued, execute or wait for the disk, by key and by their row on a
 * timing wheel, which removes them when they expire. Used by {@link IdempotencyTable} only. Guarded
 * by the lock of the table's caller.
 *
 * @param <T> the caller's type of an attempt
 */
final class ActiveKeys<T> {
  private static final double TICK_SECONDS = 0.25;
  private static final int WHEEL_SLOTS = 512;
  private static final int INITIAL_FREE_ROWS = 16;

  private final Map<String, KeyEntry<T>> entriesByKey = new HashMap<>();
  private final List<KeyEntry<T>> entriesByRow = new ArrayList<>();
  private final TimingWheel wheel = new TimingWheel(TICK_SECONDS, WHEEL_SLOTS);
  private int[] freeRows = new int[INITIAL_FREE_ROWS];
  private int freeRowCount;
  private int peerOwnedCount;

  int size() {
    return entriesByKey.size();
  }

  /** Number of keys that the peer process has in flight. */
  int peerOwnedCount() {
    return peerOwnedCount;
  }

  /** The entry of this key; null if there is none. */
  KeyEntry<T> get(String key) {
    return entriesByKey.get(key);
  }

  /** All entries, as a live view. */
  Collection<KeyEntry<T>> all() {
    return entriesByKey.values();
  }

  /** True if this object is the current entry of its key. */
  boolean contains(KeyEntry<T> entry) {
    return entriesByKey.get(entry.key()) == entry;
  }

  /** Adds an entry for a key that has none. */
  KeyEntry<T> add(String key, RequestBody body) {
    int row = freeRowCount > 0 ? freeRows[--freeRowCount] : entriesByRow.size();
    KeyEntry<T> entry = new KeyEntry<>(key, body, row);
    if (row == entriesByRow.size()) {
      entriesByRow.add(entry);
    } else {
      entriesByRow.set(row, entry);
    }
    entriesByKey.put(key, entry);
    return entry;
  }

  /** Sets until when attempts of the key are duplicates, and when it expires. */
  void setWindow(KeyEntry<T> entry, long coveredUntilMillis, double expiresAtSeconds) {
    entry.setCoveredUntilMillis(coveredUntilMillis);
    entry.setExpiresAtSeconds(expiresAtSeconds);
    wheel.schedule(entry.wheelRow(), expiresAtSeconds);
  }

  /** Applies a step of {@link KeyState} to the entry. */
  void transition(KeyEntry<T> entry, Step step) {
    int countBefore = peerOwnedCountOf(entry);
    entry.transition(step);
    peerOwnedCount += peerOwnedCountOf(entry) - countBefore;
  }

  /** Removes an entry; no effect if it is not the current entry of its key. */
  void remove(KeyEntry<T> entry) {
    int peerOwned = peerOwnedCountOf(entry);
    if (entriesByKey.remove(entry.key(), entry)) {
      peerOwnedCount -= peerOwned;
      wheel.cancel(entry.wheelRow());
      releaseRow(entry.wheelRow());
    }
  }

  /** Removes the expired entries. */
  void expire(double nowSeconds) {
    wheel.advance(
        nowSeconds,
        row -> {
          KeyEntry<T> entry = entriesByRow.get(row);
          int peerOwned = peerOwnedCountOf(entry);
          if (entriesByKey.remove(entry.key(), entry)) {
            peerOwnedCount -= peerOwned;
          }
          releaseRow(row);
        });
  }

  private int peerOwnedCountOf(KeyEntry<T> entry) {
    return entry.state() == KeyState.OWNED_BY_PEER && contains(entry) ? 1 : 0;
  }

  private void releaseRow(int row) {
    entriesByRow.set(row, null);
    if (freeRowCount == freeRows.length) {
      freeRows = Arrays.copyOf(freeRows, freeRowCount * 2);
    }
    freeRows[freeRowCount++] = row;
  }
}
