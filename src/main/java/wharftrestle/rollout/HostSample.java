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
    String box,
    String zone,
    boolean changed,
    boolean steady,
    List<Counts> classes,
    long calls,
    long badCalls,
    double cpu,
    double ownMb,
    double grownMb) {

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
      long asked,
      long served,
      long late,
      long refused,
      long failed,
      double worth,
      double lateWorth) {}

  /** Requests of all classes. */
  public long asked() {
    return classes.stream().mapToLong(Counts::asked).sum();
  }
}
