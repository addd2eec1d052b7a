package wharftrestle.transport;

/**
 * How many descriptors each part of the process may hold, of those that it is allowed: what the
 * worker pool's link, the store's calls and the operators need is kept free of callers, however
 * many rest. Owns the sums, and must never open anything.
 *
 * @param callers connections of front ends and gateways
 * @param leaving further ones of theirs that are on their way out, at most; half as many newcomers
 *     are turned away and have yet to hear so
 * @param calls connections to the store, under way or idle
 * @param operators calls at the operators' door
 */
public record DescriptorBudget(int callers, int leaving, int calls, int operators) {
  /**
   * Files, listeners, the worker pool's link and the one that replaces it, the reports, the log: 12
   * after a start on the platform, as counted under /proc on 2026-12-02.
   */
  static final int OWN = 16;

  /**
   * Part that all callers may hold: front ends open at most half, and whoever else connects must
   * not fill that.
   */
  private static final double CALLERS_SHARE = 0.6;

  private static final int MOST_LEAVING = 16;

  /** The same for operators: few call at once. */
  static final int OPERATORS_LEAVING = 4;

  private static final int MOST_CALLS = 48;
  private static final int MOST_OPERATORS = 16;

  /** The parts of a process that may hold so many. */
  public static DescriptorBudget of(int allowed) {
    int leaving = part(allowed, 16, 4, MOST_LEAVING);
    int calls = part(allowed, 8, 8, MOST_CALLS);
    int operators = part(allowed, 16, 4, MOST_OPERATORS);
    int rest = allowed - OWN - leaving * 3 / 2 - calls - operators - OPERATORS_LEAVING * 3 / 2;
    return new DescriptorBudget(
        (int) Math.max(1, Math.min(CALLERS_SHARE * allowed, rest)), leaving, calls, operators);
  }

  /** What gateways have of those that leave, where they are let in. */
  public int gatewaysLeaving() {
    return leaving / 4;
  }

  /** What operators' calls have. */
  public int operatorsLeaving() {
    return OPERATORS_LEAVING;
  }

  private static int part(int allowed, int of, int least, int most) {
    return Math.max(least, Math.min(most, allowed / of));
  }
}
