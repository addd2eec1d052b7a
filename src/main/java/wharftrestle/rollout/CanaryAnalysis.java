package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Decides whether a new release does worse than the old one, from windows of the same seconds of
 * all hosts. Each host is compared with the old hosts of its own zone, and with its own difference
 * from them before it was changed: so a slow machine, a lost zone, a burst or a dependency that
 * slows for all is no fault of the release.
 *
 * <p>Each metric is a {@link ConfidenceSequence} of its own, by request class where it has any,
 * begun anew with each stage, as a fault may show only then. A release <em>fails</em> if the loss
 * is surely over a third of a metric's limit, and <em>passes</em> if it is surely under the limit
 * by every metric; else the verdict is inconclusive, as it is while nothing was compared. The
 * probability that a release that loses no more than the tolerated third fails is at most the
 * plan's, over all stages, metrics, classes and moments.
 *
 * <p>Not thread-safe.
 */
public final class CanaryAnalysis {

  /** What a verdict says. */
  public enum Outcome {
    PASS("same"),
    FAIL("worse"),
    INCONCLUSIVE("cannot-tell");

    private final String publishedName;

    Outcome(String publishedName) {
      this.publishedName = publishedName;
    }

    /** Its name in status, events and the daemons' metrics. */
    public String publishedName() {
      return publishedName;
    }
  }

  /** A verdict with its reason, in one line. */
  public record Verdict(Outcome outcome, String reason) {}

  /**
   * One metric as it stands.
   *
   * @param requestClass empty for all
   * @param loss of the new release beyond the old one
   * @param lowerBound of the loss; infinite while too little is known
   * @param upperBound of the loss; infinite while too little is known
   * @param windows that were compared in this stage
   */
  public record Reading(
      CanaryMetric metric,
      String requestClass,
      double loss,
      double lowerBound,
      double upperBound,
      double limit,
      long windows) {}

  /** Fraction of all requests below which a class keeps no stage waiting: it may still fail it. */
  private static final double SMALL_CLASS_FRACTION = 0.05;

  /** Requests of a host below which a window says nothing of it. */
  private static final long MIN_REQUESTS = 5;

  private final List<MetricSeries> series = new ArrayList<>();
  private final ReleaseFaults faults = new ReleaseFaults();
  private long comparedWindows; // of this stage

  /**
   * An analysis of one rollout.
   *
   * @param limits by metric; absent ones are not compared
   * @param stages of the plan
   * @param errorProbability that a release that does no worse fails, over everything
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

  /** A stage begins: what was seen of the new release before does not hide what shows only now. */
  public void beginStage() {
    series.forEach(MetricSeries::beginStage);
    comparedWindows = 0;
  }

  /** A daemon died by itself. */
  public void onDaemonDeath(String host, boolean onNewRelease) {
    faults.onDaemonDeath(host, onNewRelease);
  }

  /** A host rolled the new release back by itself; twice at one host is the release's fault. */
  public void onHostRollback(String host, String reason) {
    faults.onHostRollback(host, reason);
  }

  /** The new release broke a rule at a host: it fails whatever the metrics say. */
  public void onViolation(String host, String violated) {
    faults.onViolation(host, violated);
  }

  /** Takes one window of all hosts. */
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

  /** All metrics as they stand in this stage. */
  public List<Reading> readings() {
    return series.stream().map(MetricSeries::reading).toList();
  }

  /** The verdict on this stage now. */
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
        .map(each -> new Verdict(Outcome.INCONCLUSIVE, each.openReason()))
        .orElseGet(() -> new Verdict(Outcome.PASS, "every metric is surely within its limit"));
  }

  private boolean isSmall(MetricSeries of) {
    long requests =
        series.stream()
            .filter(each -> each.metric() == CanaryMetric.FAILED)
            .mapToLong(MetricSeries::requests)
            .sum();
    return of.isOfOneClass() && of.requests() < SMALL_CLASS_FRACTION * requests;
  }
}
