package wharftrestle.rollout;

/**
 * By what hosts are compared. Each is a loss: more is worse. The limit of a metric is the loss at
 * which a release must not go on; a third of it is tolerated for good, so that a true difference of
 * nothing is never a reason to stop.
 */
public enum CanaryMetric {
  /** Fraction of the priority weight asked for that was not served, over all classes. */
  LOST_WEIGHT("worth", 0.03, true, false),
  /** Fraction of a class's requests that failed. */
  FAILED("failed", 0.03, true, true),
  /** Fraction of a class's requests that were rejected. */
  REJECTED("refused", 0.1, true, true),
  /** Fraction of a class's requests that were served after their latency objective. */
  LATE("late", 0.1, true, true),
  /** Fraction of dependency calls that failed. */
  DEPENDENCY("store", 0.05, true, false),
  /** CPU time for a request, as a fraction of what the old release takes. */
  CPU("cpu", 0.5, false, false),
  /** Own memory of the daemon, as a fraction of what the old release has. */
  MEMORY("memory", 0.5, false, false),
  /** Growth of own memory, MB a minute, beyond that of the old release. */
  MEMORY_GROWTH("growth", 6, false, false);

  private final String publishedName;
  private final double defaultLimit;
  private final boolean isFraction;
  private final boolean isByRequestClass;

  CanaryMetric(
      String publishedName, double defaultLimit, boolean isFraction, boolean isByRequestClass) {
    this.publishedName = publishedName;
    this.defaultLimit = defaultLimit;
    this.isFraction = isFraction;
    this.isByRequestClass = isByRequestClass;
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

  /** Its limit if a plan names none. */
  public double defaultLimit() {
    return defaultLimit;
  }

  /** True if it is a fraction of requests or calls, and so a limit is at most 1. */
  public boolean isFraction() {
    return isFraction;
  }

  /** True if it is compared for each request class by itself. */
  public boolean isByRequestClass() {
    return isByRequestClass;
  }
}
