package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a new release performs worse than the old one, from windows that cover the same
 * seconds on all hosts. Each host is compared with the hosts of its zone that run the old release,
 * and the difference that it had from them before it was changed is subtracted. A slow machine, a
 * lost zone, a burst of requests or a dependency that is slow for all hosts therefore does not
 * count against the release.
 *
 * <p>Each metric has its own {@link ConfidenceSequence}, or one for each request class where the
 * metric is by class. The sequences restart in each stage, because a regression may appear only in
 * that stage. A release <em>fails</em> if the lower bound of a loss is above a third of the
 * metric's limit, and <em>passes</em> if the upper bound of every loss is below its limit;
 * otherwise the verdict is inconclusive, as it is before the first comparison. A release whose loss
 * stays within the tolerated third of the limits fails with at most the plan's error probability,
 * over all stages, metrics, classes and moments.
 *
 * <p>Not thread-safe.
 */
public final class CanaryAnalysis {

  /** The result of the analysis. */
  public enum Outcome {
    PASS("same"),
    FAIL("worse"),
    INCONCLUSIVE("cannot-tell");

    private final String publishedName;

    Outcome(String publishedName) {
      this.publishedName = publishedName;
    }

    /** The name in status, events and the daemons' metrics. */
    public String publishedName() {
      return publishedName;
    }
  }

  /** A verdict with its reason on one line. */
  public record Verdict(Outcome outcome, String reason) {}

  /**
   * The current state of one metric.
   *
   * @param requestClass empty for all classes
   * @param loss of the new release in excess of the old one
   * @param lowerBound of the loss; infinite until there are enough windows
   * @param upperBound of the loss; infinite until there are enough windows
   * @param windows compared in this stage
   */
  public record Reading(
      CanaryMetric metric,
      String requestClass,
      double loss,
      double lowerBound,
      double upperBound,
      double limit,
      long windows) {}

  /**
   * Fraction of all requests below which a class does not delay the pass of a stage. Such a class
   * can still fail the stage.
   */
  private static final double SMALL_CLASS_FRACTION = 0.05;

  /** Requests of a host below which its window is not compared. */
  private static final long MIN_REQUESTS = 5;

  private final List<MetricSeries> series = new ArrayList<>();
  private final ReleaseFaults faults = new ReleaseFaults();
  private long comparedWindows; // of this stage

  /**
   * Creates the analysis of one rollout.
   *
   * @param limits by metric; metrics without a limit are not compared
   * @param stages number of stages of the plan
   * @param errorProbability of failing a release that is no worse, over all stages, metrics,
   *     classes and moments
   */
  public CanaryAnalysis(
      Map<CanaryMetric, Double> limits,
      List<String> requestClasses,
      int stages,
      double errorProbability) {
    int seriesCount =
        limits.keySet().stream()
            .mapToInt(metric -> metric.isByRequestClass() ? requestClasses.size() : 1)
            .sum();
    double errorPerSeries = errorProbability / Math.max(1, seriesCount * stages);
    for (CanaryMetric metric : CanaryMetric.values()) {
      if (limits.containsKey(metric)) {
        List<String> classes = metric.isByRequestClass() ? requestClasses : List.of("");
        double limit = limits.get(metric);
        classes.forEach(name -> series.add(new MetricSeries(metric, name, limit, errorPerSeries)));
      }
    }
  }

  /**
   * Begins a stage and discards the losses of the stages before it, which could hide a regression
   * that appears only in this stage.
   */
  public void beginStage() {
    series.forEach(MetricSeries::beginStage);
    comparedWindows = 0;
  }

  /** Records that a daemon died without being stopped. */
  public void onDaemonDeath(String host, boolean onNewRelease) {
    faults.onDaemonDeath(host, onNewRelease);
  }

  /** Records that a host rolled back on its own; two rollbacks of one host fail the release. */
  public void onHostRollback(String host, String reason) {
    faults.onHostRollback(host, reason);
  }

  /** Fails the release, whatever the metrics are, because it broke a rule at a host. */
  public void onViolation(String host, String violated) {
    faults.onViolation(host, violated);
  }

  /** Adds one window with the samples of all hosts. */
  public void addWindow(List<HostSample> samples) {
    long newHosts = samples.stream().filter(HostSample::onNewRelease).count();
    faults.addWindow(newHosts, samples.size() - newHosts);
    List<HostSample> usable =
        samples.stream().filter(each -> each.steady() && each.requests() >= MIN_REQUESTS).toList();
    boolean isCompared = false;
    for (MetricSeries each : series) {
      isCompared |= each.addWindow(usable);
    }
    comparedWindows += isCompared ? 1 : 0;
  }

  /** The current state of all metrics in this stage. */
  public List<Reading> readings() {
    return series.stream().map(MetricSeries::reading).toList();
  }

  /** The current verdict on this stage. */
  public Verdict verdict() {
    if (!faults.fault().isEmpty()) {
      return new Verdict(Outcome.FAIL, faults.fault());
    }
    if (series.isEmpty()) {
      return new Verdict(Outcome.PASS, "the plan compares nothing");
    }
    for (MetricSeries each : series) {
      if (each.isWorse()) {
        return new Verdict(Outcome.FAIL, each.summary());
      }
    }
    if (comparedWindows == 0) {
      return new Verdict(Outcome.INCONCLUSIVE, "nothing can be compared yet");
    }
    return series.stream()
        .filter(each -> !each.isWithinLimit() && !isSmall(each))
        .findFirst()
        .map(each -> new Verdict(Outcome.INCONCLUSIVE, each.inconclusiveReason()))
        .orElseGet(() -> new Verdict(Outcome.PASS, "every metric is within its limit"));
  }

  private boolean isSmall(MetricSeries candidate) {
    long requests =
        series.stream()
            .filter(each -> each.metric() == CanaryMetric.FAILED)
            .mapToLong(MetricSeries::requests)
            .sum();
    return candidate.hasRequestClass() && candidate.requests() < SMALL_CLASS_FRACTION * requests;
  }
}
