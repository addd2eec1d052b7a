package wharftrestle.rollout;

import java.util.List;

/**
 * What one box did within one window, the same seconds for all boxes.
 *
 * @param zone empty for none
 * @param changed it acted as the new release throughout
 * @param steady one process, warm, in contact throughout; others are left out
 * @param classes in the order of the settings
 * @param calls store calls that ended
 * @param badCalls of them badly
 * @param cpu seconds of all cores
 * @param ownMb the daemon's own memory at the window's end
 * @param grownMb by how much it grew in the window, MB a minute
 */
public record HostSample(
    String host,
    String zone,
    boolean onNewRelease,
    boolean steady,
    List<Counts> classCounts,
    long dependencyCalls,
    long failedDependencyCalls,
    double cpuSeconds,
    double memoryMb,
    double memoryGrowthMbPerMinute) {

  /**
   * One class.
   *
   * @param asked requests that had their answer
   * @param late of the served ones, after their aim
   * @param worth of one request
   * @param lateWorth part of the worth that a late one still has
   */
  public record Counts(
      String name,
      long requests,
      long served,
      long late,
      long rejected,
      long failed,
      double priorityWeight,
      double lateWeightFraction) {}

  /** Requests of all classes. */
  public long requests() {
    return classCounts.stream().mapToLong(Counts::requests).sum();
  }
}
