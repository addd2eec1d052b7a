package wharftrestle.rollout;

import java.util.List;

/**
 * What one host did within one window, the same seconds for all hosts.
 *
 * @param zone empty for none
 * @param onNewRelease its daemon is the new release at the window's end
 * @param steady one process, warmed up and reachable throughout; other samples are not compared
 * @param classCounts in the order of the settings
 * @param dependencyCalls that ended
 * @param failedDependencyCalls of them
 * @param cpuSeconds of all cores
 * @param memoryMb the daemon's own memory at the window's end
 * @param memoryGrowthMbPerMinute within the window
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
   * One request class.
   *
   * @param requests that were answered
   * @param served of them
   * @param late served after the latency objective
   * @param rejected of them
   * @param failed of them
   * @param priorityWeight of one request
   * @param lateWeightFraction of the priority weight that a late one still has
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
