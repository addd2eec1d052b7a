package wharftrestle.testbed;

/**
 * Decides when processes that may use a part of the cores run and when they stand still, as a
 * scheduler's quota does: each turn has so much of the cores, who has used it up stands until the
 * next, and what was used beyond it is owed to the next ones. Pure: time and the work done are
 * told, in seconds.
 */
final class CpuQuota {
  private final double turn;
  private final double quota;
  private double left;
  private double used;
  private double turnEnds;

  /**
   * @param cores that they may use together
   * @param turn seconds of a turn
   * @param now when they begin to be held to it
   * @param used what they had used by then
   */
  CpuQuota(double cores, double turn, double now, double used) {
    this.turn = turn;
    this.used = used;
    quota = cores * turn;
    left = quota;
    turnEnds = now + turn;
  }

  /**
   * True where they may run now.
   *
   * @param all what they have used by now, never less than before
   */
  boolean runs(double now, double all) {
    left -= all - used;
    used = all;
    for (; now >= turnEnds; turnEnds += turn) {
      left = Math.min(quota, left + quota);
    }
    return left > 0;
  }
}
