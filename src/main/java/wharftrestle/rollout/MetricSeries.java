package wharftrestle.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One metric of the canary analysis, of one request class or over all: each host's usual difference
 * from the old hosts, its baseline, and the losses of the new release beyond it, a value a window.
 */
final class MetricSeries {
  /** Fraction of the limit that is tolerated for good. */
  private static final double TOLERATED_FRACTION = 1.0 / 3;

  /** Old hosts below which nobody knows by how much hosts differ. */
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

  /** Baselines stay; losses begin anew. */
  void beginStage() {
    losses = new ConfidenceSequence();
    requests = 0;
  }

  /** Takes one window; true if some host of the new release could be compared. */
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
      double spread = spread(baseline, oldHosts);
      if (!Double.isNaN(spread)) {
        sum += difference - (isKnown(baseline) ? baseline.mean() : 0);
        variance += spread;
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

  private static boolean isKnown(ConfidenceSequence baseline) {
    return baseline.count() >= ConfidenceSequence.MIN_VALUES;
  }

  /**
   * Variance of a host's baseline. A controller that followed another one has none of hosts that
   * had changed before: the variance among the old hosts stands in. NaN if that is unknown too.
   */
  private double spread(ConfidenceSequence baseline, List<HostSample> oldHosts) {
    return isKnown(baseline) ? baseline.variance() / baseline.count() : varianceAmong(oldHosts);
  }

  private double varianceAmong(List<HostSample> oldHosts) {
    int known = 0;
    double squares = 0;
    for (HostSample host : oldHosts) {
      ConfidenceSequence baseline = baselines.get(host.host());
      if (baseline != null && isKnown(baseline)) {
        // Their mean is zero, as each is compared with the others.
        squares += baseline.mean() * baseline.mean();
        known++;
      }
    }
    return known < MIN_BASELINE_HOSTS ? Double.NaN : squares / (known - 1);
  }

  /** Half the width of the bounds of the loss now; infinite while too little is known. */
  private double halfWidth() {
    if (losses.count() < ConfidenceSequence.MIN_VALUES) {
      return Double.POSITIVE_INFINITY;
    }
    // The baseline's error stays while that of the losses shrinks.
    double ofBaseline = -2 * Math.log(errorProbability) * baselineVariance;
    double ofLosses = losses.halfWidth(errorProbability);
    return Math.sqrt(ofLosses * ofLosses + ofBaseline);
  }

  CanaryMetric metric() {
    return comparison.metric();
  }

  /** Requests of the new release in this stage. */
  long requests() {
    return requests;
  }

  boolean isOfOneClass() {
    return !comparison.requestClass().isEmpty();
  }

  /** True if the loss is surely beyond what is tolerated. */
  boolean isWorse() {
    return losses.mean() - halfWidth() > TOLERATED_FRACTION * limit;
  }

  /** True if the loss is surely within the limit. */
  boolean isWithinLimit() {
    return !hasTooFewRequests() && losses.mean() + halfWidth() < limit;
  }

  /** Guards against taking a loss of nothing in a handful of requests for none. */
  private boolean hasTooFewRequests() {
    return metric().isFraction() && requests * limit < -Math.log(errorProbability);
  }

  /** Why it is not within the limit yet. */
  String openReason() {
    return hasTooFewRequests() ? name() + ": " + requests + " requests are too few" : summary();
  }

  private String name() {
    return metric().publishedName() + (isOfOneClass() ? " of " + comparison.requestClass() : "");
  }

  /** The loss and its bounds, in one line. */
  String summary() {
    boolean isPercentage = metric() != CanaryMetric.MEMORY_GROWTH;
    double scale = isPercentage ? 100 : 1;
    double width = halfWidth();
    return String.format(
        Locale.ROOT,
        "%s: %+.1f%s beyond the old release, surely from %+.1f to %+.1f, limit %.1f",
        name(),
        scale * losses.mean(),
        isPercentage ? "%" : " MB a minute",
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
