package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A hash index of settled keys in flat arrays: the location of each result, until when attempts are
 * duplicates, the body's checksum, and the expiry. Keys are identified by their digests. Uses open
 * addressing with linear probing over row numbers and backward-shift deletion; the row number of a
 * key does not change, as it identifies the key on the {@link TimingWheel}. The index does not grow
 * past its capacity: {@link #put} then returns false. All operations take O(1) time on average. Not
 * thread-safe.
 */
public final class CompactIndex {
  /** The location of a key without a result, as its outcome is unknown. */
  public static final long NO_RESULT = -1;

  /** Tick of the wheel; one turn of {@link #WHEEL_SLOTS} ticks is longer than usual windows. */
  private static final double TICK_SECONDS = 0.25;

  private static final int WHEEL_SLOTS = 512;
  private static final int INITIAL_ROWS = 64;
  private static final int EMPTY = -1;

  private final int capacity;
  private final TimingWheel wheel = new TimingWheel(TICK_SECONDS, WHEEL_SLOTS);
  private long[] digestHighs = new long[0];
  private long[] digestLows = new long[0];
  private long[] locations = new long[0];
  private long[] coveredUntilMillis = new long[0];
  private long[] checksums = new long[0];
  // Rows by hash; the length is a power of two, at most half of the slots are used.
  private int[] rowBySlot = new int[0];
  private int[] freeRows = new int[0];
  private int freeRowCount;
  private int rowCount;
  private final LocationReleaseListener releaseListener;

  /** Receives the location of each key that is removed or replaced. */
  interface LocationReleaseListener {
    void onReleased(long location);
  }

  /** Visits keys in order of expiry; returns false to stop. */
  interface ExpiryVisitor {
    boolean visit(double expiresAtSeconds, long location);
  }

  /** The data of one settled key. */
  public record IndexedKey(int row, long location, long coveredUntilMillis, long checksum) {}

  /**
   * Creates an empty index.
   *
   * @param capacity maximum number of keys
   */
  public CompactIndex(int capacity) {
    this(capacity, location -> {});
  }

  CompactIndex(int capacity, LocationReleaseListener releaseListener) {
    this.capacity = capacity;
    this.releaseListener = releaseListener;
  }

  /** Number of keys. */
  public int size() {
    return rowCount - freeRowCount;
  }

  /** The data of this key; null if it is not in the index. */
  public IndexedKey find(KeyDigest key) {
    int slot = findSlot(key);
    int row = slot < 0 ? EMPTY : rowBySlot[slot];
    return row == EMPTY
        ? null
        : new IndexedKey(row, locations[row], coveredUntilMillis[row], checksums[row]);
  }

  /**
   * Adds a key, or replaces its data.
   *
   * @param location location of its result, or {@link #NO_RESULT}
   * @param lastCoveredMillis attempts with a timestamp up to here may not execute, Unix ms
   * @param checksum checksum of the body
   * @param expiresAtSeconds when the key expires, on the caller's clock
   * @return false if the index is full
   */
  public boolean put(
      KeyDigest key,
      long location,
      long lastCoveredMillis,
      long checksum,
      double expiresAtSeconds) {
    int slot = findSlot(key);
    int row = slot < 0 ? EMPTY : rowBySlot[slot];
    if (row == EMPTY) {
      if (size() >= capacity) {
        return false;
      }
      row = freeRowCount > 0 ? freeRows[--freeRowCount] : newRow();
      digestHighs[row] = key.high();
      digestLows[row] = key.low();
      rowBySlot[findSlot(key)] = row;
    } else {
      releaseListener.onReleased(locations[row]);
    }
    locations[row] = location;
    coveredUntilMillis[row] = lastCoveredMillis;
    checksums[row] = checksum;
    wheel.schedule(row, expiresAtSeconds);
    return true;
  }

  /** Removes a key; false if it is not in the index. */
  public boolean remove(KeyDigest key) {
    int slot = findSlot(key);
    if (slot < 0 || rowBySlot[slot] == EMPTY) {
      return false;
    }
    wheel.cancel(rowBySlot[slot]);
    removeSlot(slot);
    return true;
  }

  /** Removes the expired keys and returns their number. */
  public int expire(double now) {
    return wheel.advance(
        now, row -> removeSlot(findSlot(new KeyDigest(digestHighs[row], digestLows[row]))));
  }

  /** Visits the keys that expire within one turn of the wheel, in order of expiry. */
  void forEachByExpiry(ExpiryVisitor visitor) {
    wheel.forEachUpcoming((row, probedSlot) -> visitor.visit(probedSlot, locations[row]));
  }

  /** When the key of this row expires, rounded up to a tick, in seconds on the caller's clock. */
  double expiresAtSeconds(int row) {
    return wheel.dueSeconds(row);
  }

  /** The digests of all keys. */
  List<KeyDigest> digests() {
    List<KeyDigest> all = new ArrayList<>(size());
    for (int row : rowBySlot) {
      if (row != EMPTY) {
        all.add(new KeyDigest(digestHighs[row], digestLows[row]));
      }
    }
    return all;
  }

  /** Memory of the arrays in bytes. */
  public long bytes() {
    return 40L * digestHighs.length + 4L * (rowBySlot.length + freeRows.length) + wheel.bytes();
  }

  /** The slot of this key, or the free one for it; -1 if the hash table is not allocated yet. */
  private int findSlot(KeyDigest key) {
    if (rowBySlot.length == 0) {
      return -1;
    }
    int slot = homeSlot(key.low());
    while (rowBySlot[slot] != EMPTY
        && !(digestHighs[rowBySlot[slot]] == key.high()
            && digestLows[rowBySlot[slot]] == key.low())) {
      slot = slot + 1 & rowBySlot.length - 1;
    }
    return slot;
  }

  private int homeSlot(long low) {
    return (int) (low ^ low >>> 32) & rowBySlot.length - 1;
  }

  /**
   * Empties a slot and shifts displaced rows behind it back, so that probing does not stop early.
   */
  private void removeSlot(int slot) {
    if (freeRowCount == freeRows.length) {
      freeRows = Arrays.copyOf(freeRows, Math.max(16, freeRowCount + (freeRowCount >> 1)));
    }
    freeRows[freeRowCount++] = rowBySlot[slot];
    releaseListener.onReleased(locations[rowBySlot[slot]]);
    int hole = slot;
    for (int probedSlot = slot + 1 & rowBySlot.length - 1;
        rowBySlot[probedSlot] != EMPTY;
        probedSlot = probedSlot + 1 & rowBySlot.length - 1) {
      int home = homeSlot(digestLows[rowBySlot[probedSlot]]);
      boolean isHomeAfterHole =
          hole <= probedSlot
              ? hole < home && home <= probedSlot
              : hole < home || home <= probedSlot;
      if (!isHomeAfterHole) {
        rowBySlot[hole] = rowBySlot[probedSlot];
        hole = probedSlot;
      }
    }
    rowBySlot[hole] = EMPTY;
  }

  private int newRow() {
    if (rowCount == digestHighs.length) {
      int newLength =
          (int) Math.min(capacity, Math.max(INITIAL_ROWS, rowCount + (long) (rowCount >> 1)));
      digestHighs = Arrays.copyOf(digestHighs, newLength);
      digestLows = Arrays.copyOf(digestLows, newLength);
      locations = Arrays.copyOf(locations, newLength);
      coveredUntilMillis = Arrays.copyOf(coveredUntilMillis, newLength);
      checksums = Arrays.copyOf(checksums, newLength);
    }
    if (2L * (rowCount + 1) > rowBySlot.length) {
      rowBySlot = new int[Math.max(2 * INITIAL_ROWS, 2 * rowBySlot.length)];
      Arrays.fill(rowBySlot, EMPTY);
      boolean[] isFree = new boolean[rowCount];
      for (int i = 0; i < freeRowCount; i++) {
        isFree[freeRows[i]] = true;
      }
      for (int row = 0; row < rowCount; row++) {
        if (!isFree[row]) {
          rowBySlot[findSlot(new KeyDigest(digestHighs[row], digestLows[row]))] = row;
        }
      }
    }
    return rowCount++;
  }
}
