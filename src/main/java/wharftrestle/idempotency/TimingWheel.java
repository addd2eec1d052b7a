package wharftrestle.idempotency;

import java.util.Arrays;
import java.util.function.IntConsumer;

/**
 * A hashed timing wheel (Varghese and Lauck, 1987, scheme 6) over small numbers: it owns when each
 * is due, in three int arrays and no objects. It must never be late by more than one tick and never
 * early; what is due beyond one turn stays in its slot until its turn comes. To schedule and to
 * cancel cost O(1), to advance O(slots passed + due).
 */
public final class TimingWheel {
  private static final int NONE = -1;

  private final double tick;
  private final int[] heads;
  private int[] next = new int[0];
  private int[] previous =
      new int[0]; // or NONE - 1 - slot at the head of a slot, FREE where not scheduled
  private long[] due = new long[0]; // in ticks
  private long now = Long.MIN_VALUE; // ticks up to which all is told
  private int size;

  private static final int FREE = Integer.MIN_VALUE;

  /**
   * @param tick seconds of one slot
   * @param slots a power of two; tick x slots is best longer than the usual time to the end
   */
  public TimingWheel(double tick, int slots) {
    if (!(tick > 0) || Integer.bitCount(slots) != 1) {
      throw new IllegalArgumentException("a tick above 0 and a power of two of slots are wanted");
    }
    this.tick = tick;
    heads = new int[slots];
    Arrays.fill(heads, NONE);
  }

  /** So many are scheduled. */
  public int size() {
    return size;
  }

  /**
   * Has this number told once time has passed {@code at}; a second call moves it.
   *
   * @param number 0 or more; the arrays grow to it
   * @param at seconds, on the clock of {@link #advance}
   */
  public void schedule(int number, double at) {
    grow(number);
    cancel(number);
    long ticks = (long) Math.ceil(at / tick);
    due[number] = now == Long.MIN_VALUE ? ticks : Math.max(ticks, now + 1);
    int slot = (int) (due[number] & heads.length - 1);
    int head = heads[slot];
    next[number] = head;
    previous[number] = NONE - 1 - slot;
    if (head != NONE) {
      previous[head] = number;
    }
    heads[slot] = number;
    size++;
  }

  /** Forgets this number; nothing where it is not scheduled. */
  public void cancel(int number) {
    if (number >= previous.length || previous[number] == FREE) {
      return;
    }
    int after = next[number];
    int before = previous[number];
    if (before >= 0) {
      next[before] = after;
    } else {
      heads[NONE - 1 - before] = after;
    }
    if (after != NONE) {
      previous[after] = before;
    }
    previous[number] = FREE;
    size--;
  }

  /**
   * Tells all that is due by now, each once, in no order; whoever is told may schedule and cancel.
   */
  public int advance(double seconds, IntConsumer told) {
    long to = (long) Math.floor(seconds / tick);
    if (now == Long.MIN_VALUE) {
      now = Math.min(to, earliest()) - 1;
    }
    int count = 0;
    long from = Math.max(now + 1, to - heads.length + 1); // a whole turn passes each slot once
    now = Math.max(now, to);
    for (long at = from; at <= to; at++) {
      int slot = (int) (at & heads.length - 1);
      for (int number = heads[slot]; number != NONE; ) {
        if (due[number] <= to) {
          cancel(number);
          told.accept(number);
          count++;
          number = heads[slot]; // whoever was told may have changed the list
        } else {
          number = next[number];
        }
      }
    }
    return count;
  }

  /** Told a number and when it is due, in seconds; false where no further one is wanted. */
  interface Ahead {
    boolean more(int number, double at);
  }

  /**
   * Tells what is due within one turn, tick by tick; nothing may be scheduled or cancelled
   * meanwhile.
   */
  void ahead(Ahead told) {
    long from = now == Long.MIN_VALUE ? earliest() : now + 1;
    for (long at = from; size > 0 && at < from + heads.length; at++) {
      for (int number = heads[(int) (at & heads.length - 1)];
          number != NONE;
          number = next[number]) {
        if (due[number] == at && !told.more(number, at * tick)) {
          return;
        }
      }
    }
  }

  /** When a number that is scheduled is told, in seconds. */
  double due(int number) {
    return due[number] * tick;
  }

  private long earliest() {
    long first = Long.MAX_VALUE;
    for (int number = 0; number < previous.length; number++) {
      first = previous[number] == FREE ? first : Math.min(first, due[number]);
    }
    return first;
  }

  private void grow(int number) {
    if (number < next.length) {
      return;
    }
    int old = next.length;
    int to = Math.max(16, Math.max(number + 1, old + (old >> 1)));
    next = Arrays.copyOf(next, to);
    previous = Arrays.copyOf(previous, to);
    due = Arrays.copyOf(due, to);
    Arrays.fill(previous, old, to, FREE);
  }

  /** Bytes of its arrays. */
  public long bytes() {
    return 4L * heads.length + 16L * next.length;
  }
}
