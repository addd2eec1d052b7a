package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wharftrestle.idempotency.KeyState.Step;

/**
 * The entries of keys that wait, run or wait for the disk, each with its row on a timing wheel.
 * Owns which entry stands for a key and when it is forgotten; {@link IdempotencyTable} decides.
 * Guarded by the lock of the table's caller.
 *
 * @param <T> an attempt, as the table's caller knows it
 */
final class ActiveKeys<T> {
  private static final double TICK_SECONDS = 0.25;
  private static final int WHEEL_SLOTS = 512;
  private static final int FIRST_FREE_ROWS = 16;

  private final Map<String, KeyEntry<T>> entriesByKey = new HashMap<>();
  private final List<KeyEntry<T>> entriesByRow = new ArrayList<>();
  private final TimingWheel wheel = new TimingWheel(TICK_SECONDS, WHEEL_SLOTS);
  private int[] freeRows = new int[FIRST_FREE_ROWS];
  private int freeRowCount;
  private int peerOwnedCount;

  int size() {
    return entriesByKey.size();
  }

  /** Entries that the peer process has in hand. */
  int peerOwnedCount() {
    return peerOwnedCount;
  }

  /** The entry of this key; null for none. */
  KeyEntry<T> get(String key) {
    return entriesByKey.get(key);
  }

  /** All entries; a view that changes with this. */
  Collection<KeyEntry<T>> all() {
    return entriesByKey.values();
  }

  /** True where this very entry stands for its key. */
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

  /** Sets until when attempts of the key are covered, and when it is forgotten. */
  void setWindow(KeyEntry<T> entry, long coveredUntilMillis, double expiresAtSeconds) {
    entry.setCoveredUntilMillis(coveredUntilMillis);
    entry.setExpiresAtSeconds(expiresAtSeconds);
    wheel.schedule(entry.wheelRow(), expiresAtSeconds);
  }

  /** Takes the entry through a step of {@link KeyState}. */
  void transition(KeyEntry<T> entry, Step step) {
    int before = countedAsPeerOwned(entry);
    entry.transition(step);
    peerOwnedCount += countedAsPeerOwned(entry) - before;
  }

  /** Forgets an entry; nothing where it stands for its key no more. */
  void remove(KeyEntry<T> entry) {
    int peerOwned = countedAsPeerOwned(entry);
    if (entriesByKey.remove(entry.key(), entry)) {
      peerOwnedCount -= peerOwned;
      wheel.cancel(entry.wheelRow());
      releaseRow(entry.wheelRow());
    }
  }

  /** Forgets the entries whose time is over. */
  void expire(double nowSeconds) {
    wheel.advance(
        nowSeconds,
        row -> {
          KeyEntry<T> entry = entriesByRow.get(row);
          int peerOwned = countedAsPeerOwned(entry);
          if (entriesByKey.remove(entry.key(), entry)) {
            peerOwnedCount -= peerOwned;
          }
          releaseRow(row);
        });
  }

  private int countedAsPeerOwned(KeyEntry<T> entry) {
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
