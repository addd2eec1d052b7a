package wharftrestle.transport;

/**
 * Divides the file descriptors that the process may open among its parts. The worker pool's link,
 * the store's connections and the operators keep theirs, however many callers have idle
 * connections. Computes the limits only and opens nothing.
 *
 * @param callers connections of front ends and gateways
 * @param leaving maximum number of further caller connections that are closing; half as many
 *     rejected connections may wait for their close
 * @param calls connections to the store, in use or idle
 * @param operators connections to the admin endpoint
 */
public record DescriptorBudget(int callers, int leaving, int calls, int operators) {
  /**
   * Files, listeners, the worker pool's link and its replacement, load reports, the log: 12 after a
   * start on the platform, as counted under /proc on 2026-12-02.
   */
  static final int RESERVED = 16;

  /**
   * Fraction for all callers. Front ends open at most half of the descriptors, and other clients
   * must not use up that half.
   */
  private static final double MAX_CALLERS_FRACTION = 0.6;

  private static final int MAX_CLOSING = 16;

  /** Closing connections of operators; few operators connect at once. */
  static final int MAX_OPERATORS_CLOSING = 4;

  private static final int MAX_STORE_CONNECTIONS = 48;
  private static final int MAX_OPERATORS = 16;

  /** Computes the budget of a process that may open {@code allowed} descriptors. */
  public static DescriptorBudget of(int allowed) {
    int leaving = share(allowed, 16, 4, MAX_CLOSING);
    int calls = share(allowed, 8, 8, MAX_STORE_CONNECTIONS);
    int operators = share(allowed, 16, 4, MAX_OPERATORS);
    int remaining =
        allowed - RESERVED - leaving * 3 / 2 - calls - operators - MAX_OPERATORS_CLOSING * 3 / 2;
    return new DescriptorBudget(
        (int) Math.max(1, Math.min(MAX_CALLERS_FRACTION * allowed, remaining)),
        leaving,
        calls,
        operators);
  }

  /** Closing connections granted to gateways, where gateways are enabled. */
  public int gatewaysLeaving() {
    return leaving / 4;
  }

  /** Closing connections granted to operators. */
  public int operatorsLeaving() {
    return MAX_OPERATORS_CLOSING;
  }

  private static int share(int allowed, int divisor, int min, int max) {
    return Math.max(min, Math.min(max, allowed / divisor));
  }
}
