package wharftrestle.rollout;

/**
 * What boxes are compared by. Each is a loss: more is worse. The limit of a measure is the loss at
 * which a release must not go on; a third of it is tolerated for good, so that a true difference of
 * nothing is never a reason to stop.
 */
public enum CanaryMetric {
  /** Part of the worth asked for that was not served, over all classes. */
  LOST_WEIGHT("worth", 0.03, true),
  /** Part of a class's requests that failed; of the worst class. */
  FAILED("failed", 0.03, true),
  /** Part of a class's requests that were refused; of the worst class. */
  REJECTED("refused", 0.1, true),
  /** Part of a class's requests that were served after their aim; of the worst class. */
  LATE("late", 0.1, true),
  /** Part of store calls that ended badly. */
  DEPENDENCY("store", 0.05, true),
  /** CPU for a request, as a part of what the old release takes. */
  CPU("cpu", 0.5, false),
  /** Own memory of the daemon, as a part of what the old release has. */
  MEMORY("memory", 0.5, false),
  /** Growth of own memory, MB a minute, beyond that of the old release. */
  MEMORY_GROWTH("growth", 6, false);

  private final String publishedName;
  private final double defaultLimit;
  private final boolean isFraction;

  CanaryMetric(String publishedName, double defaultLimit, boolean isFraction) {
    this.publishedName = publishedName;
    this.defaultLimit = defaultLimit;
    this.isFraction = isFraction;
  }

  /** Its name in plans, tables and logs. */
  public String publishedName() {
    return publishedName;
  }

  /**
   * The metric of this name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public static CanaryMetric ofPublishedName(String publishedName) {
    for (CanaryMetric metric : values()) {
      if (metric.publishedName.equals(publishedName)) {
        return metric;
      }
    }
    throw new IllegalArgumentException("expected the name of a metric, got " + publishedName);
  }

  /** Its limit where a plan names none. */
  public double defaultLimit() {
    return defaultLimit;
  }

  /** True where it is a part of requests, and so a limit is at most 1. */
  public boolean isFraction() {
    return isFraction;
  }
}
