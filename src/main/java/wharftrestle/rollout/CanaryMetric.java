package wharftrestle.rollout;

/**
 * The metrics by which hosts are compared. Each is a loss: higher is worse. The limit of a metric
 * is the loss at which a rollout must not continue. A third of the limit is always tolerated, so
 * that a release without any true difference is not stopped.
 */
public enum CanaryMetric {
  /** Fraction of the requested priority weight that was not served, over all classes. */
  LOST_WEIGHT("worth", 0.03, true, false),
  /** Fraction of a class's requests that failed. */
  FAILED("failed", 0.03, true, true),
  /** Fraction of a class's requests that were rejected. */
  REJECTED("refused", 0.1, true, true),
  /** Fraction of a class's requests that were served after their latency objective. */
  LATE("late", 0.1, true, true),
  /** Fraction of dependency calls that failed. */
  DEPENDENCY("store", 0.05, true, false),
  /** CPU time per request, relative to the old release. */
  CPU("cpu", 0.5, false, false),
  /** Own memory of the daemon, relative to the old release. */
  MEMORY("memory", 0.5, false, false),
  /** Growth of own memory in MB per minute, in excess of the old release. */
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

  /** The name in plans, tables and logs. */
  public String publishedName() {
    return publishedName;
  }

  /**
   * The metric with this published name.
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

  /** The limit that applies if a plan does not set one. */
  public double defaultLimit() {
    return defaultLimit;
  }

  /** True if the metric is a fraction of requests or calls, so that its limit is at most 1. */
  public boolean isFraction() {
    return isFraction;
  }

  /** True if the metric is compared separately for each request class. */
  public boolean isByRequestClass() {
    return isByRequestClass;
  }
}
