package wharftrestle.rollout;

import java.util.List;

/**
 * The measurements of one host in one window, which covers the same seconds on all hosts.
 *
 * @param zone empty for none
 * @param onNewRelease true if its daemon runs the new release at the end of the window
 * @param steady true if one warmed-up process was reachable throughout; other samples are not
 *     compared
 * @param classCounts in the order of the settings
 * @param dependencyCalls completed calls
 * @param failedDependencyCalls number of the completed calls that failed
 * @param cpuSeconds over all cores
 * @param memoryMb the daemon's own memory at the end of the window
 * @param memoryGrowthMbPerMinute during the window
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
   * The counts of one request class.
   *
   * @param requests answered requests
   * @param served answered requests that were served
   * @param late served requests that missed the latency objective
   * @param rejected answered requests that were rejected
   * @param failed answered requests that failed
   * @param priorityWeight of one request
   * @param lateWeightFraction fraction of the priority weight that a late request still has
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

  /** Number of requests of all classes. */
  public long requests() {
    return classCounts.stream().mapToLong(Counts::requests).sum();
  }
}
