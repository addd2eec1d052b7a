package wharftrestle.testbed;

/**
 * Decides when processes with a CPU quota may run, as the kernel's CFS bandwidth control does: each
 * period has a budget of CPU time, processes that used it up stay stopped until the next period,
 * and CPU time used beyond the budget is charged to the following periods. It has no clock: callers
 * pass the time and the CPU time used, in seconds. Not thread-safe.
 */
final class CpuQuota {
  private final double periodSeconds;
  private final double quotaSeconds;
  private double budgetSeconds;
  private double usedSeconds;
  private double periodEnd;

  /**
   * @param cores number of cores that the processes may use together
   * @param periodSeconds length of a period
   * @param now start of the first period
   * @param usedSeconds CPU time that the processes had used by then
   */
  CpuQuota(double cores, double periodSeconds, double now, double usedSeconds) {
    this.periodSeconds = periodSeconds;
    this.usedSeconds = usedSeconds;
    quotaSeconds = cores * periodSeconds;
    budgetSeconds = quotaSeconds;
    periodEnd = now + periodSeconds;
  }

  /**
   * Whether the processes may run now.
   *
   * @param totalUsedSeconds CPU time used so far, never less than at the previous call
   */
  boolean mayRun(double now, double totalUsedSeconds) {
    budgetSeconds -= totalUsedSeconds - usedSeconds;
    usedSeconds = totalUsedSeconds;
    for (; now >= periodEnd; periodEnd += periodSeconds) {
      budgetSeconds = Math.min(quotaSeconds, budgetSeconds + quotaSeconds);
    }
    return budgetSeconds > 0;
  }
}
