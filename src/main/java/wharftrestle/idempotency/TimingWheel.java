package wharftrestle.idempotency;

import java.util.Arrays;
import java.util.function.IntConsumer;

/**
 * A hashed timing wheel (Varghese and Lauck, 1987, scheme 6) for small non-negative numbers, in int
 * arrays without an object per number. A number fires at most one tick late and never early; one
 * that is due after more than one turn stays in its slot until then. Schedule and cancel take O(1)
 * time, advance takes O(slots passed + numbers visited). Not thread-safe.
 */
public final class TimingWheel {
  private static final int NONE = -1;

  private final double tickSeconds;
  private final int[] heads;
  private int[] next = new int[0];
  // The previous number, NONE - 1 - slot for the head of a slot, or NOT_SCHEDULED.
  private int[] previous = new int[0];
  private long[] dueTicks = new long[0]; // in ticks
  private long nowTicks = Long.MIN_VALUE; // all numbers due up to this tick have fired
  private int size;

  private static final int NOT_SCHEDULED = Integer.MIN_VALUE;

  /**
   * Creates an empty wheel.
   *
   * @param tickSeconds width of one slot
   * @param slots a power of two; best such that most numbers are due within one turn
   */
  public TimingWheel(double tickSeconds, int slots) {
    if (!(tickSeconds > 0) || Integer.bitCount(slots) != 1) {
      throw new IllegalArgumentException(
          "expected a tick above 0 and a power of two of slots, found "
              + tickSeconds
              + " and "
              + slots);
    }
    this.tickSeconds = tickSeconds;
    heads = new int[slots];
    Arrays.fill(heads, NONE);
  }

  /** Count of the scheduled numbers. */
  public int size() {
    return size;
  }

  /**
   * Schedules a number; reschedules it if it is scheduled already.
   *
   * @param number 0 or more; the arrays grow to include it
   * @param atSeconds when it is due, on the clock of {@link #advance}
   */
  public void schedule(int number, double atSeconds) {
    ensureCapacity(number);
    cancel(number);
    long ticks = (long) Math.ceil(atSeconds / tickSeconds);
    dueTicks[number] = nowTicks == Long.MIN_VALUE ? ticks : Math.max(ticks, nowTicks + 1);
    int slot = (int) (dueTicks[number] & heads.length - 1);
    int head = heads[slot];
    next[number] = head;
    previous[number] = NONE - 1 - slot;
    if (head != NONE) {
      previous[head] = number;
    }
    heads[slot] = number;
    size++;
  }

  /** Cancels a number; no effect if it is not scheduled. */
  public void cancel(int number) {
    if (number >= previous.length || previous[number] == NOT_SCHEDULED) {
      return;
    }
    int following = next[number];
    int preceding = previous[number];
    if (preceding >= 0) {
      next[preceding] = following;
    } else {
      heads[NONE - 1 - preceding] = following;
    }
    if (following != NONE) {
      previous[following] = preceding;
    }
    previous[number] = NOT_SCHEDULED;
    size--;
  }

  /**
   * Calls the action once with each number that is due by this time, in no particular order, and
   * returns how many there were. The action may schedule and cancel numbers.
   */
  public int advance(double seconds, IntConsumer action) {
    long currentTick = (long) Math.floor(seconds / tickSeconds);
    if (nowTicks == Long.MIN_VALUE) {
      nowTicks = Math.min(currentTick, earliestDueTick()) - 1;
    }
    int count = 0;
    // One turn passes each slot once.
    long firstTick = Math.max(nowTicks + 1, currentTick - heads.length + 1);
    nowTicks = Math.max(nowTicks, currentTick);
    for (long tick = firstTick; tick <= currentTick; tick++) {
      int slot = (int) (tick & heads.length - 1);
      for (int number = heads[slot]; number != NONE; ) {
        if (dueTicks[number] <= currentTick) {
          cancel(number);
          action.accept(number);
          count++;
          number = heads[slot]; // the action may have changed the list
        } else {
          number = next[number];
        }
      }
    }
    return count;
  }

  /** Visits a number and when it is due, in seconds; returns false to stop. */
  interface UpcomingVisitor {
    boolean visit(int number, double dueSeconds);
  }

  /**
   * Visits the numbers that are due within one turn, in order of ticks; the visitor must not
   * schedule or cancel numbers.
   */
  void forEachUpcoming(UpcomingVisitor visitor) {
    long firstTick = nowTicks == Long.MIN_VALUE ? earliestDueTick() : nowTicks + 1;
    for (long tick = firstTick; size > 0 && tick < firstTick + heads.length; tick++) {
      for (int number = heads[(int) (tick & heads.length - 1)];
          number != NONE;
          number = next[number]) {
        if (dueTicks[number] == tick && !visitor.visit(number, tick * tickSeconds)) {
          return;
        }
      }
    }
  }

  /** When a scheduled number is due, in seconds. */
  double dueSeconds(int number) {
    return dueTicks[number] * tickSeconds;
  }

  private long earliestDueTick() {
    long first = Long.MAX_VALUE;
    for (int number = 0; number < previous.length; number++) {
      first = previous[number] == NOT_SCHEDULED ? first : Math.min(first, dueTicks[number]);
    }
    return first;
  }

  private void ensureCapacity(int number) {
    if (number < next.length) {
      return;
    }
    int oldLength = next.length;
    int newLength = Math.max(16, Math.max(number + 1, oldLength + (oldLength >> 1)));
    next = Arrays.copyOf(next, newLength);
    previous = Arrays.copyOf(previous, newLength);
    dueTicks = Arrays.copyOf(dueTicks, newLength);
    Arrays.fill(previous, oldLength, newLength, NOT_SCHEDULED);
  }

  /** Memory of the arrays in bytes. */
  public long bytes() {
    return 4L * heads.length + 16L * next.length;
  }
}
