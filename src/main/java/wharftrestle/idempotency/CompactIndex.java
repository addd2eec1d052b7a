package wharftrestle.idempotency;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Settled keys in flat arrays: where each one's result lies, up to which stamp it covers tries,
 * what it was asked, and when it may be forgotten. Open addressing with linear probing over row
 * numbers, deletion by shifting back; a row keeps its number for life, which is what its timing
 * wheel knows it by. It owns no key's text and must never grow past its bound: then {@link #put}
 * says no. All costs O(1) on the mean.
 */
public final class CompactIndex {
  /** The place of a key with no result: its end is unknown. */
  public static final long NO_PLACE = -1;

  /** Seconds of a wheel's tick, and its slots: together longer than windows in use. */
  private static final double TICK = 0.25;

  private static final int SLOTS = 512;
  private static final int FIRST_ROWS = 64;
  private static final int EMPTY = -1;

  private final int most;
  private final TimingWheel wheel = new TimingWheel(TICK, SLOTS);
  private long[] highs = new long[0];
  private long[] lows = new long[0];
  private long[] places = new long[0];
  private long[] doors = new long[0];
  private long[] checks = new long[0];
  private int[] table = new int[0]; // of rows, a power of two, at most half full
  private int[] free = new int[0];
  private int frees;
  private int rows;
  private final Gone gone;

  /** Told the place of each key that is forgotten or put anew. */
  interface Gone {
    void place(long place);
  }

  /** Told of a key that is due; false where no further one is wanted. */
  interface Due {
    boolean more(double at, long place);
  }

  /** What is known of one settled key. */
  public record Found(int row, long place, long lastDoor, long check) {}

  /**
   * @param most keys at once
   */
  public CompactIndex(int most) {
    this(most, place -> {});
  }

  CompactIndex(int most, Gone gone) {
    this.most = most;
    this.gone = gone;
  }

  public int size() {
    return rows - frees;
  }

  /** What is known of this key; null for nothing. */
  public Found find(KeyDigest key) {
    int slot = slot(key);
    int row = slot < 0 ? EMPTY : table[slot];
    return row == EMPTY ? null : new Found(row, places[row], doors[row], checks[row]);
  }

  /**
   * Keeps a key until that time; one that is known is replaced.
   *
   * @param place of its result, 0 or more, or {@link #NO_PLACE}
   * @param lastDoor no try stamped up to here may run, Unix ms
   * @param check {@link KeyDigest#check} of its body
   * @param until seconds on the caller's clock
   * @return false where it is full
   */
  public boolean put(KeyDigest key, long place, long lastDoor, long check, double until) {
    int slot = slot(key);
    int row = slot < 0 ? EMPTY : table[slot];
    if (row == EMPTY) {
      if (size() >= most) {
        return false;
      }
      row = frees > 0 ? free[--frees] : newRow();
      highs[row] = key.high();
      lows[row] = key.low();
      table[slot(key)] = row;
    } else {
      gone.place(places[row]);
    }
    places[row] = place;
    doors[row] = lastDoor;
    checks[row] = check;
    wheel.schedule(row, until);
    return true;
  }

  /** Forgets a key; false where it is not known. */
  public boolean remove(KeyDigest key) {
    int slot = slot(key);
    if (slot < 0 || table[slot] == EMPTY) {
      return false;
    }
    wheel.cancel(table[slot]);
    drop(slot);
    return true;
  }

  /** Forgets all whose time is over; how many. */
  public int expire(double now) {
    return wheel.advance(now, row -> drop(slot(new KeyDigest(highs[row], lows[row]))));
  }

  /** Tells keys in the order in which they are forgotten, up to one turn of the wheel ahead. */
  void soonest(Due told) {
    wheel.ahead((row, at) -> told.more(at, places[row]));
  }

  /** When the key of this row is forgotten, to a tick, on the caller's clock. */
  double until(int row) {
    return wheel.due(row);
  }

  /** The digests of all keys. */
  List<KeyDigest> all() {
    List<KeyDigest> all = new ArrayList<>(size());
    for (int row : table) {
      if (row != EMPTY) {
        all.add(new KeyDigest(highs[row], lows[row]));
      }
    }
    return all;
  }

  /** Bytes of its arrays. */
  public long bytes() {
    return 40L * highs.length + 4L * (table.length + free.length) + wheel.bytes();
  }

  /** Where this key stands, or would; -1 where there is no table yet. */
  private int slot(KeyDigest key) {
    if (table.length == 0) {
      return -1;
    }
    int slot = home(key.low());
    while (table[slot] != EMPTY
        && !(highs[table[slot]] == key.high() && lows[table[slot]] == key.low())) {
      slot = slot + 1 & table.length - 1;
    }
    return slot;
  }

  private int home(long low) {
    return (int) (low ^ low >>> 32) & table.length - 1;
  }

  /**
   * Empties a slot and moves back what stands behind it out of place, so that no search ends early.
   */
  private void drop(int slot) {
    if (frees == free.length) {
      free = Arrays.copyOf(free, Math.max(16, frees + (frees >> 1)));
    }
    free[frees++] = table[slot];
    gone.place(places[table[slot]]);
    int hole = slot;
    for (int at = slot + 1 & table.length - 1; table[at] != EMPTY; at = at + 1 & table.length - 1) {
      int home = home(lows[table[at]]);
      boolean between = hole <= at ? hole < home && home <= at : hole < home || home <= at;
      if (!between) {
        table[hole] = table[at];
        hole = at;
      }
    }
    table[hole] = EMPTY;
  }

  private int newRow() {
    if (rows == highs.length) {
      int to = (int) Math.min(most, Math.max(FIRST_ROWS, rows + (long) (rows >> 1)));
      highs = Arrays.copyOf(highs, to);
      lows = Arrays.copyOf(lows, to);
      places = Arrays.copyOf(places, to);
      doors = Arrays.copyOf(doors, to);
      checks = Arrays.copyOf(checks, to);
    }
    if (2L * (rows + 1) > table.length) {
      table = new int[Math.max(2 * FIRST_ROWS, 2 * table.length)];
      Arrays.fill(table, EMPTY);
      boolean[] idle = new boolean[rows];
      for (int i = 0; i < frees; i++) {
        idle[free[i]] = true;
      }
      for (int row = 0; row < rows; row++) {
        if (!idle[row]) {
          table[slot(new KeyDigest(highs[row], lows[row]))] = row;
        }
      }
    }
    return rows++;
  }
}
