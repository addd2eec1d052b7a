package wharftrestle.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One metric of the canary analysis, for one request class or for all. It keeps a baseline for each
 * host, which is the host's difference from the other hosts on the old release, and the losses of
 * the new release in excess of the baselines, one value for each window. Not thread-safe.
 */
final class MetricSeries {
  /** Fraction of the limit that is always tolerated. */
  private static final double TOLERATED_FRACTION = 1.0 / 3;

  /** Number of old hosts below which the variance among hosts cannot be estimated. */
  private static final int MIN_BASELINE_HOSTS = 3;

  private final HostComparison comparison;
  private final double limit;
  private final double errorProbability;
  private final Map<String, ConfidenceSequence> baselines = new HashMap<>(); // by host
  private ConfidenceSequence losses = new ConfidenceSequence();
  private double baselineVariance; // of the mean baseline of the last window's new hosts
  private long requests; // of the new release in this stage

  /**
   * @param errorProbability of either bound in one stage
   */
  MetricSeries(CanaryMetric metric, String requestClass, double limit, double errorProbability) {
    comparison = new HostComparison(metric, requestClass);
    this.limit = limit;
    this.errorProbability = errorProbability;
  }

  /** Resets the losses and keeps the baselines. */
  void beginStage() {
    losses = new ConfidenceSequence();
    requests = 0;
  }

  /** Adds one window; true if at least one host on the new release could be compared. */
  boolean addWindow(List<HostSample> samples) {
    List<HostSample> oldHosts = samples.stream().filter(each -> !each.onNewRelease()).toList();
    double sum = 0;
    double variance = 0;
    int compared = 0;
    for (HostSample host : samples) {
      double difference = comparison.difference(host, oldHosts);
      if (Double.isNaN(difference)) {
        continue;
      }
      ConfidenceSequence baseline =
          baselines.computeIfAbsent(host.host(), name -> new ConfidenceSequence());
      if (!host.onNewRelease()) {
        baseline.add(difference);
        continue;
      }
      double hostVariance = hostVariance(baseline, oldHosts);
      if (!Double.isNaN(hostVariance)) {
        sum += difference - (hasEnoughWindows(baseline) ? baseline.mean() : 0);
        variance += hostVariance;
        compared++;
        requests += comparison.requests(host);
      }
    }
    if (compared > 0) {
      losses.add(sum / compared);
      baselineVariance = variance / ((double) compared * compared);
    }
    return compared > 0;
  }

  private static boolean hasEnoughWindows(ConfidenceSequence baseline) {
    return baseline.count() >= ConfidenceSequence.MIN_VALUES;
  }

  /**
   * Variance of a host's baseline. A controller that replaces another one has no baseline for hosts
   * that were changed earlier, and uses the variance among the old hosts instead. NaN if that is
   * unknown too.
   */
  private double hostVariance(ConfidenceSequence baseline, List<HostSample> oldHosts) {
    return hasEnoughWindows(baseline)
        ? baseline.variance() / baseline.count()
        : varianceAmong(oldHosts);
  }

  private double varianceAmong(List<HostSample> oldHosts) {
    int baselineCount = 0;
    double squares = 0;
    for (HostSample host : oldHosts) {
      ConfidenceSequence baseline = baselines.get(host.host());
      if (baseline != null && hasEnoughWindows(baseline)) {
        // The baselines have a mean of zero, because each host is compared with the others.
        squares += baseline.mean() * baseline.mean();
        baselineCount++;
      }
    }
    return baselineCount < MIN_BASELINE_HOSTS ? Double.NaN : squares / (baselineCount - 1);
  }

  /** Half the current width of the bounds of the loss; infinite until there are enough windows. */
  private double halfWidth() {
    if (losses.count() < ConfidenceSequence.MIN_VALUES) {
      return Double.POSITIVE_INFINITY;
    }
    // The error of the baseline does not shrink as losses are added.
    double squaredBaselineWidth = -2 * StrictMath.log(errorProbability) * baselineVariance;
    double lossesHalfWidth = losses.halfWidth(errorProbability);
    return Math.sqrt(lossesHalfWidth * lossesHalfWidth + squaredBaselineWidth);
  }

  CanaryMetric metric() {
    return comparison.metric();
  }

  /** Number of requests to the new release in this stage. */
  long requests() {
    return requests;
  }

  boolean hasRequestClass() {
    return !comparison.requestClass().isEmpty();
  }

  /** True if the lower bound of the loss is above the tolerated fraction of the limit. */
  boolean isWorse() {
    return losses.mean() - halfWidth() > TOLERATED_FRACTION * limit;
  }

  /** True if the upper bound of the loss is below the limit. */
  boolean isWithinLimit() {
    return !hasTooFewRequests() && losses.mean() + halfWidth() < limit;
  }

  /** True if so few requests could by chance show no loss although the loss is at the limit. */
  private boolean hasTooFewRequests() {
    return metric().isFraction() && requests * limit < -StrictMath.log(errorProbability);
  }

  /** Why the loss is not known to be within the limit yet. */
  String inconclusiveReason() {
    return hasTooFewRequests() ? name() + ": " + requests + " requests are too few" : summary();
  }

  private String name() {
    return metric().publishedName() + (hasRequestClass() ? " of " + comparison.requestClass() : "");
  }

  /** The loss and its bounds on one line. */
  String summary() {
    boolean isPercentage = metric() != CanaryMetric.MEMORY_GROWTH;
    double scale = isPercentage ? 100 : 1;
    double width = halfWidth();
    return String.format(
        Locale.ROOT,
        "%s: %+.1f%s relative to the old release, bounds %+.1f to %+.1f, limit %.1f",
        name(),
        scale * losses.mean(),
        isPercentage ? "%" : " MB per minute",
        scale * (losses.mean() - width),
        scale * (losses.mean() + width),
        scale * limit);
  }

  CanaryAnalysis.Reading reading() {
    double width = halfWidth();
    return new CanaryAnalysis.Reading(
        metric(),
        comparison.requestClass(),
        losses.mean(),
        losses.mean() - width,
        losses.mean() + width,
        limit,
        losses.count());
  }
}
