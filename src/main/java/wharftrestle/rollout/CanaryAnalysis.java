package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Says whether a new release does worse. It owns what boxes of the old and the new one did over the
 * same seconds. Each box is held against the old ones of its own zone, and against its own
 * difference from them before it was changed: so a slow machine, a lost zone, a burst or a store
 * that slows for all is no fault of the release. It must never call a release good as nothing was
 * seen of it.
 *
 * <p>Each measure is a {@link ConfidenceSequence} of its own, by class where it has any, begun anew
 * with each stage, as a fault may show only then. A release is <em>worse</em> where the loss is
 * surely over a third of the measure's limit, <em>the same</em> where it is surely under the limit,
 * by every measure; else nobody can tell. The probability that one which loses no more than the
 * tolerated third is called worse is at most the plan's, over all stages, measures, classes and
 * moments.
 */
public final class CanaryAnalysis {

  /** What it says. */
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

  /** A verdict with its reason; one line. */
  public record Verdict(Outcome outcome, String reason) {}

  /**
   * One measure now, for tables.
   *
   * @param about the class; empty for all
   * @param loss of the new release beyond the old one
   * @param least of it, surely
   * @param most of it, surely
   */
  public record Reading(
      CanaryMetric metric,
      String requestClass,
      double loss,
      double lowerBound,
      double upperBound,
      double limit,
      long windows) {}

  /** Part of the limit that is tolerated for good. */
  private static final double TOLERATED_FRACTION = 1.0 / 3;

  /** Part of all requests under which a class holds nobody up: it may still be worse. */
  private static final double SMALL_CLASS_FRACTION = 0.05;

  /** Old boxes below which nobody knows by how much boxes differ. */
  private static final int MIN_BASELINE_HOSTS = 3;

  /** Requests of a box in a window under which the window says nothing of it. */
  private static final long MIN_REQUESTS = 5;

  /** Deaths at one box that are a crash loop, over all stages. */
  private static final int CRASH_LOOP_DEATHS = 2;

  /** Probability at which more deaths at the new boxes than at the old ones are no accident. */
  private static final double COINCIDENCE_PROBABILITY = 0.001;

  private final Map<CanaryMetric, Double> limits;
  private final double errorPerSeries; // of one measure in one stage
  private final Map<String, ConfidenceSequence> baselines =
      new LinkedHashMap<>(); // by box and series: its difference when it was old
  private final Map<String, MetricSeries> series = new LinkedHashMap<>();
  private final Map<String, Integer> deathsByHost =
      new LinkedHashMap<>(); // at each box that has the new release
  private final Map<String, Integer> rollbacksByHost = new LinkedHashMap<>();
  private int newDeaths;
  private int oldDeaths;
  private double newHostWindows; // windows of all new boxes
  private double oldHostWindows;
  private String violation = "";
  private long comparedWindows;

  private static final class MetricSeries {
    private final CanaryMetric metric;
    private final String requestClass;
    private ConfidenceSequence losses = new ConfidenceSequence();
    private double
        baselineVariance; // of the mean of what is usual, over the boxes of the last window
    private long requests; // by the new release in this stage

    MetricSeries(CanaryMetric metric, String requestClass) {
      this.metric = metric;
      this.requestClass = requestClass;
    }
  }

  /**
   * @param limits by measure; those that are absent are not looked at
   * @param errors over everything
   */
  public CanaryAnalysis(
      Map<CanaryMetric, Double> limits, List<String> classes, int stages, double errorProbability) {
    this.limits = Map.copyOf(limits);
    for (CanaryMetric metric : CanaryMetric.values()) {
      if (!limits.containsKey(metric)) {
        continue;
      }
      switch (metric) {
        case FAILED, REJECTED, LATE -> classes.forEach(name -> add(metric, name));
        default -> add(metric, "");
      }
    }
    errorPerSeries = errorProbability / Math.max(1, series.size() * stages);
  }

  private void add(CanaryMetric metric, String requestClass) {
    series.put(metric + "/" + requestClass, new MetricSeries(metric, requestClass));
  }

  /** A stage begins: what was seen of the new release before does not hide what shows only now. */
  public void beginStage() {
    series
        .values()
        .forEach(
            each -> {
              each.losses = new ConfidenceSequence();
              each.requests = 0;
            });
    comparedWindows = 0;
  }

  /** A daemon died by itself; {@code changed} where it was of the new release. */
  public void onDaemonDeath(String host, boolean onNewRelease) {
    if (!onNewRelease) {
      oldDeaths++;
      return;
    }
    newDeaths++;
    if (deathsByHost.merge(host, 1, Integer::sum) >= CRASH_LOOP_DEATHS) {
      violation = "the new release died " + deathsByHost.get(host) + " times at " + host;
    } else if (newDeaths > CRASH_LOOP_DEATHS
        && newHostWindows > 0
        && coincidenceProbability() < COINCIDENCE_PROBABILITY) {
      violation =
          "the new release died " + newDeaths + " times, the old one " + oldDeaths + " times";
    }
  }

  /**
   * A box's keeper took the new release back by itself: once may be the box's own trouble, twice at
   * one box is not.
   */
  public void onHostRollback(String host, String reason) {
    if (rollbacksByHost.merge(host, 1, Integer::sum) >= CRASH_LOOP_DEATHS) {
      violation =
          host + " took it back by itself " + rollbacksByHost.get(host) + " times: " + reason;
    }
  }

  /**
   * Probability of so many of all deaths falling on the new boxes, by their share of the time
   * (binomial tail).
   */
  private double coincidenceProbability() {
    int all = newDeaths + oldDeaths;
    double newFraction = Math.min(0.999, newHostWindows / (newHostWindows + oldHostWindows));
    double term = Math.pow(newFraction, all); // all of them on the new boxes
    double sum = 0;
    for (int i = all; i >= newDeaths; i--) {
      sum += term;
      term *= i / (all - i + 1.0) * (1 - newFraction) / newFraction;
    }
    return sum;
  }

  /** The new release broke a rule at a box: there is nothing to weigh. */
  public void onViolation(String host, String violated) {
    violation = violated + " at " + host;
  }

  /** One window of all boxes. */
  public void addWindow(List<HostSample> samples) {
    long onNewRelease = samples.stream().filter(HostSample::onNewRelease).count();
    newHostWindows += onNewRelease;
    oldHostWindows += samples.size() - onNewRelease;
    List<HostSample> usable =
        samples.stream().filter(each -> each.steady() && each.requests() >= MIN_REQUESTS).toList();
    boolean any = false;
    for (MetricSeries each : series.values()) {
      any |= addWindow(each, usable);
    }
    comparedWindows += any ? 1 : 0;
  }

  private boolean addWindow(MetricSeries series, List<HostSample> samples) {
    List<HostSample> oldSamples = samples.stream().filter(each -> !each.onNewRelease()).toList();
    double sum = 0;
    double variance = 0;
    int compared = 0;
    long requests = 0;
    for (HostSample host : samples) {
      double ownLoss = loss(series, host);
      double referenceLoss = reference(series, host, oldSamples);
      if (Double.isNaN(ownLoss) || Double.isNaN(referenceLoss)) {
        continue;
      }
      double difference = difference(series.metric, ownLoss, referenceLoss, host, oldSamples);
      ConfidenceSequence baseline =
          baselines.computeIfAbsent(
              host.host() + " " + series.metric + "/" + series.requestClass,
              key -> new ConfidenceSequence());
      if (!host.onNewRelease()) {
        baseline.add(difference);
        continue;
      }
      // A driver that followed another one never saw what is usual of the boxes that had gone
      // before: what the old
      // ones differ by among themselves stands in for it.
      boolean hasBaseline = baseline.count() >= ConfidenceSequence.MIN_VALUES;
      double spread =
          hasBaseline
              ? baseline.variance() / baseline.count()
              : baselineVariance(series, oldSamples);
      if (!Double.isNaN(spread)) {
        sum += difference - (hasBaseline ? baseline.mean() : 0);
        variance += spread;
        compared++;
        requests += requests(series, host);
      }
    }
    if (compared > 0) {
      series.losses.add(sum / compared);
      series.baselineVariance = variance / ((double) compared * compared);
      series.requests += requests;
    }
    return compared > 0;
  }

  /** Variance of what is usual, over the old boxes; NaN with too few of them. */
  private double baselineVariance(MetricSeries series, List<HostSample> oldSamples) {
    int compared = 0;
    double squares = 0;
    for (HostSample host : oldSamples) {
      ConfidenceSequence each =
          baselines.get(host.host() + " " + series.metric + "/" + series.requestClass);
      if (each != null && each.count() >= ConfidenceSequence.MIN_VALUES) {
        // The mean over them is nothing: each is held against the others.
        squares += each.mean() * each.mean();
        compared++;
      }
    }
    return compared < MIN_BASELINE_HOSTS ? Double.NaN : squares / (compared - 1);
  }

  private static long requests(MetricSeries series, HostSample host) {
    return series.requestClass.isEmpty()
        ? host.requests()
        : host.classCounts().stream()
            .filter(each -> each.name().equals(series.requestClass))
            .mapToLong(HostSample.Counts::requests)
            .sum();
  }

  /** The old boxes of the same zone besides; of all zones where it has none. */
  private static double reference(
      MetricSeries series, HostSample host, List<HostSample> oldSamples) {
    double zoneMean =
        mean(
            series,
            oldSamples.stream()
                .filter(each -> !each.host().equals(host.host()) && each.zone().equals(host.zone()))
                .toList());
    return Double.isNaN(zoneMean)
        ? mean(
            series, oldSamples.stream().filter(each -> !each.host().equals(host.host())).toList())
        : zoneMean;
  }

  private static double mean(MetricSeries series, List<HostSample> samples) {
    return samples.stream()
        .mapToDouble(each -> loss(series, each))
        .filter(each -> !Double.isNaN(each))
        .average()
        .orElse(Double.NaN);
  }

  private static double difference(
      CanaryMetric metric,
      double ownLoss,
      double referenceLoss,
      HostSample host,
      List<HostSample> oldSamples) {
    return switch (metric) {
      case CPU, MEMORY -> referenceLoss <= 0 ? 0 : ownLoss / referenceLoss - 1;
      case MEMORY_GROWTH -> {
        // A young process grows into the room that an old one has taken already: only what is
        // beyond that counts.
        double level =
            oldSamples.stream()
                .mapToDouble(HostSample::memoryMb)
                .average()
                .orElse(Double.POSITIVE_INFINITY);
        yield host.onNewRelease() && host.memoryMb() < level
            ? Math.min(0, ownLoss - referenceLoss)
            : ownLoss - referenceLoss;
      }
      default -> ownLoss - referenceLoss;
    };
  }

  /** One box's loss by one measure; NaN where the window says nothing of it. */
  private static double loss(MetricSeries series, HostSample host) {
    return switch (series.metric) {
      case LOST_WEIGHT -> {
        double all = 0;
        double lost = 0;
        for (HostSample.Counts each : host.classCounts()) {
          all += each.priorityWeight() * each.requests();
          lost +=
              each.priorityWeight()
                  * (each.requests()
                      - each.served()
                      + each.late() * (1 - each.lateWeightFraction()));
        }
        yield all > 0 ? lost / all : Double.NaN;
      }
      case FAILED -> fraction(series, host, HostSample.Counts::failed);
      case REJECTED -> fraction(series, host, HostSample.Counts::rejected);
      case LATE -> fraction(series, host, HostSample.Counts::late);
      case DEPENDENCY ->
          host.dependencyCalls() > 0
              ? (double) host.failedDependencyCalls() / host.dependencyCalls()
              : Double.NaN;
      case CPU -> host.cpuSeconds() / host.requests();
      case MEMORY -> host.memoryMb();
      case MEMORY_GROWTH -> host.memoryGrowthMbPerMinute();
    };
  }

  private static double fraction(
      MetricSeries series, HostSample host, ToLongFunction<HostSample.Counts> violated) {
    for (HostSample.Counts each : host.classCounts()) {
      if (each.name().equals(series.requestClass)) {
        return each.requests() > 0
            ? (double) violated.applyAsLong(each) / each.requests()
            : Double.NaN;
      }
    }
    return Double.NaN;
  }

  // ---- What it says ----

  /** All measures as they stand in this stage. */
  public List<Reading> readings() {
    List<Reading> all = new ArrayList<>();
    for (MetricSeries each : series.values()) {
      double width = halfWidth(each);
      double mean = each.losses.mean();
      all.add(
          new Reading(
              each.metric,
              each.requestClass,
              mean,
              mean - width,
              mean + width,
              limits.get(each.metric),
              each.losses.count()));
    }
    return all;
  }

  private double halfWidth(MetricSeries series) {
    if (series.losses.count() < ConfidenceSequence.MIN_VALUES) {
      return Double.POSITIVE_INFINITY;
    }
    // What is usual of a box is known as well as its windows before say: its error stays while the
    // other one shrinks.
    double baseline = -2 * Math.log(errorPerSeries) * series.baselineVariance;
    double after = series.losses.halfWidth(errorPerSeries);
    return Math.sqrt(after * after + baseline);
  }

  /** The verdict on this stage now. */
  public Verdict verdict() {
    if (!violation.isEmpty()) {
      return new Verdict(Outcome.FAIL, violation);
    }
    if (series.isEmpty()) {
      return new Verdict(Outcome.PASS, "the plan compares nothing");
    }
    long all =
        series.values().stream()
            .filter(each -> each.metric == CanaryMetric.FAILED)
            .mapToLong(each -> each.requests)
            .sum();
    String open = "";
    for (Map.Entry<String, MetricSeries> entry : series.entrySet()) {
      MetricSeries each = entry.getValue();
      double limit = limits.get(each.metric);
      double width = halfWidth(each);
      if (each.losses.mean() - width > TOLERATED_FRACTION * limit) {
        return new Verdict(Outcome.FAIL, summary(each, width, limit));
      }
      boolean small = !each.requestClass.isEmpty() && each.requests < SMALL_CLASS_FRACTION * all;
      // Guards against a loss of nothing in a handful of requests being taken for none.
      boolean few = each.metric.isFraction() && each.requests * limit < -Math.log(errorPerSeries);
      if (!small && open.isEmpty() && (few || each.losses.mean() + width >= limit)) {
        open =
            few
                ? describe(each) + ": " + each.requests + " requests are too few"
                : summary(each, width, limit);
      }
    }
    return open.isEmpty() && comparedWindows > 0
        ? new Verdict(Outcome.PASS, "every measure is surely within its limit")
        : new Verdict(
            Outcome.INCONCLUSIVE, comparedWindows == 0 ? "nothing can be compared yet" : open);
  }

  private static String describe(MetricSeries series) {
    return series.metric.publishedName()
        + (series.requestClass.isEmpty() ? "" : " of " + series.requestClass);
  }

  private static String summary(MetricSeries series, double width, double limit) {
    boolean parts = series.metric != CanaryMetric.MEMORY_GROWTH;
    ToDoubleFunction<Double> shown = value -> parts ? 100 * value : value;
    String unit = parts ? "%" : " MB a minute";
    return String.format(
        Locale.ROOT,
        "%s: %+.1f%s beyond the old release, surely from %+.1f to %+.1f, limit %.1f",
        describe(series),
        shown.applyAsDouble(series.losses.mean()),
        unit,
        shown.applyAsDouble(series.losses.mean() - width),
        shown.applyAsDouble(series.losses.mean() + width),
        shown.applyAsDouble(limit));
  }
}
