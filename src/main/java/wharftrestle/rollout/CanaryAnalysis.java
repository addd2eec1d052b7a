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
  public enum Word {
    SAME,
    WORSE,
    CANNOT_TELL
  }

  /** A verdict with its reason; one line. */
  public record Verdict(Word word, String why) {}

  /**
   * One measure now, for tables.
   *
   * @param about the class; empty for all
   * @param loss of the new release beyond the old one
   * @param least of it, surely
   * @param most of it, surely
   */
  public record Line(
      CanaryMetric measure,
      String about,
      double loss,
      double least,
      double most,
      double limit,
      long seen) {}

  /** Part of the limit that is tolerated for good. */
  private static final double TOLERATED = 1.0 / 3;

  /** Part of all requests under which a class holds nobody up: it may still be worse. */
  private static final double SMALL_CLASS = 0.05;

  /** Old boxes below which nobody knows by how much boxes differ. */
  private static final int LEAST_OLD = 3;

  /** Requests of a box in a window under which the window says nothing of it. */
  private static final long LEAST_ASKED = 5;

  /** Deaths at one box that are a crash loop, over all stages. */
  private static final int LOOP = 2;

  /** Probability at which more deaths at the new boxes than at the old ones are no accident. */
  private static final double ACCIDENT = 0.001;

  private final Map<CanaryMetric, Double> limits;
  private final double error; // of one measure in one stage
  private final Map<String, ConfidenceSequence> usual =
      new LinkedHashMap<>(); // by box and series: its difference when it was old
  private final Map<String, Series> series = new LinkedHashMap<>();
  private final Map<String, Integer> deaths =
      new LinkedHashMap<>(); // at each box that has the new release
  private final Map<String, Integer> takenBack = new LinkedHashMap<>();
  private int newDeaths;
  private int oldDeaths;
  private double newTime; // windows of all new boxes
  private double oldTime;
  private String broken = "";
  private long judged;

  private static final class Series {
    private final CanaryMetric measure;
    private final String about;
    private ConfidenceSequence drift = new ConfidenceSequence();
    private double usualVariance; // of the mean of what is usual, over the boxes of the last window
    private long asked; // by the new release in this stage

    Series(CanaryMetric measure, String about) {
      this.measure = measure;
      this.about = about;
    }
  }

  /**
   * @param limits by measure; those that are absent are not looked at
   * @param errors over everything
   */
  public CanaryAnalysis(
      Map<CanaryMetric, Double> limits, List<String> classes, int stages, double errors) {
    this.limits = Map.copyOf(limits);
    for (CanaryMetric measure : CanaryMetric.values()) {
      if (!limits.containsKey(measure)) {
        continue;
      }
      switch (measure) {
        case FAILED, REFUSED, LATE -> classes.forEach(name -> add(measure, name));
        default -> add(measure, "");
      }
    }
    error = errors / Math.max(1, series.size() * stages);
  }

  private void add(CanaryMetric measure, String about) {
    series.put(measure + "/" + about, new Series(measure, about));
  }

  /** A stage begins: what was seen of the new release before does not hide what shows only now. */
  public void stage() {
    series
        .values()
        .forEach(
            each -> {
              each.drift = new ConfidenceSequence();
              each.asked = 0;
            });
    judged = 0;
  }

  /** A daemon died by itself; {@code changed} where it was of the new release. */
  public void died(String box, boolean changed) {
    if (!changed) {
      oldDeaths++;
      return;
    }
    newDeaths++;
    if (deaths.merge(box, 1, Integer::sum) >= LOOP) {
      broken = "the new release died " + deaths.get(box) + " times at " + box;
    } else if (newDeaths > LOOP && newTime > 0 && accident() < ACCIDENT) {
      broken = "the new release died " + newDeaths + " times, the old one " + oldDeaths + " times";
    }
  }

  /**
   * A box's keeper took the new release back by itself: once may be the box's own trouble, twice at
   * one box is not.
   */
  public void takenBack(String box, String why) {
    if (takenBack.merge(box, 1, Integer::sum) >= LOOP) {
      broken = box + " took it back by itself " + takenBack.get(box) + " times: " + why;
    }
  }

  /**
   * Probability of so many of all deaths falling on the new boxes, by their share of the time
   * (binomial tail).
   */
  private double accident() {
    int all = newDeaths + oldDeaths;
    double share = Math.min(0.999, newTime / (newTime + oldTime));
    double term = Math.pow(share, all); // all of them on the new boxes
    double sum = 0;
    for (int i = all; i >= newDeaths; i--) {
      sum += term;
      term *= i / (all - i + 1.0) * (1 - share) / share;
    }
    return sum;
  }

  /** The new release broke a rule at a box: there is nothing to weigh. */
  public void broke(String box, String what) {
    broken = what + " at " + box;
  }

  /** One window of all boxes. */
  public void window(List<HostSample> boxes) {
    long changed = boxes.stream().filter(HostSample::changed).count();
    newTime += changed;
    oldTime += boxes.size() - changed;
    List<HostSample> usable =
        boxes.stream().filter(each -> each.steady() && each.asked() >= LEAST_ASKED).toList();
    boolean any = false;
    for (Series each : series.values()) {
      any |= window(each, usable);
    }
    judged += any ? 1 : 0;
  }

  private boolean window(Series of, List<HostSample> boxes) {
    List<HostSample> old = boxes.stream().filter(each -> !each.changed()).toList();
    double sum = 0;
    double variance = 0;
    int many = 0;
    long asked = 0;
    for (HostSample box : boxes) {
      double own = value(of, box);
      double others = reference(of, box, old);
      if (Double.isNaN(own) || Double.isNaN(others)) {
        continue;
      }
      double difference = difference(of.measure, own, others, box, old);
      ConfidenceSequence before =
          usual.computeIfAbsent(
              box.box() + " " + of.measure + "/" + of.about, key -> new ConfidenceSequence());
      if (!box.changed()) {
        before.add(difference);
        continue;
      }
      // A driver that followed another one never saw what is usual of the boxes that had gone
      // before: what the old
      // ones differ by among themselves stands in for it.
      boolean known = before.count() >= ConfidenceSequence.LEAST;
      double spread = known ? before.variance() / before.count() : spread(of, old);
      if (!Double.isNaN(spread)) {
        sum += difference - (known ? before.mean() : 0);
        variance += spread;
        many++;
        asked += asked(of, box);
      }
    }
    if (many > 0) {
      of.drift.add(sum / many);
      of.usualVariance = variance / ((double) many * many);
      of.asked += asked;
    }
    return many > 0;
  }

  /** Variance of what is usual, over the old boxes; NaN with too few of them. */
  private double spread(Series of, List<HostSample> old) {
    int many = 0;
    double squares = 0;
    for (HostSample box : old) {
      ConfidenceSequence each = usual.get(box.box() + " " + of.measure + "/" + of.about);
      if (each != null && each.count() >= ConfidenceSequence.LEAST) {
        // The mean over them is nothing: each is held against the others.
        squares += each.mean() * each.mean();
        many++;
      }
    }
    return many < LEAST_OLD ? Double.NaN : squares / (many - 1);
  }

  private static long asked(Series of, HostSample box) {
    return of.about.isEmpty()
        ? box.asked()
        : box.classes().stream()
            .filter(each -> each.name().equals(of.about))
            .mapToLong(HostSample.Counts::asked)
            .sum();
  }

  /** The old boxes of the same zone besides; of all zones where it has none. */
  private static double reference(Series of, HostSample box, List<HostSample> old) {
    double zone =
        mean(
            of,
            old.stream()
                .filter(each -> !each.box().equals(box.box()) && each.zone().equals(box.zone()))
                .toList());
    return Double.isNaN(zone)
        ? mean(of, old.stream().filter(each -> !each.box().equals(box.box())).toList())
        : zone;
  }

  private static double mean(Series of, List<HostSample> boxes) {
    return boxes.stream()
        .mapToDouble(each -> value(of, each))
        .filter(each -> !Double.isNaN(each))
        .average()
        .orElse(Double.NaN);
  }

  private static double difference(
      CanaryMetric measure, double own, double others, HostSample box, List<HostSample> old) {
    return switch (measure) {
      case CPU, MEMORY -> others <= 0 ? 0 : own / others - 1;
      case GROWTH -> {
        // A young process grows into the room that an old one has taken already: only what is
        // beyond that counts.
        double level =
            old.stream().mapToDouble(HostSample::ownMb).average().orElse(Double.POSITIVE_INFINITY);
        yield box.changed() && box.ownMb() < level ? Math.min(0, own - others) : own - others;
      }
      default -> own - others;
    };
  }

  /** One box's loss by one measure; NaN where the window says nothing of it. */
  private static double value(Series of, HostSample box) {
    return switch (of.measure) {
      case WORTH -> {
        double all = 0;
        double lost = 0;
        for (HostSample.Counts each : box.classes()) {
          all += each.worth() * each.asked();
          lost +=
              each.worth() * (each.asked() - each.served() + each.late() * (1 - each.lateWorth()));
        }
        yield all > 0 ? lost / all : Double.NaN;
      }
      case FAILED -> part(of, box, HostSample.Counts::failed);
      case REFUSED -> part(of, box, HostSample.Counts::refused);
      case LATE -> part(of, box, HostSample.Counts::late);
      case STORE -> box.calls() > 0 ? (double) box.badCalls() / box.calls() : Double.NaN;
      case CPU -> box.cpu() / box.asked();
      case MEMORY -> box.ownMb();
      case GROWTH -> box.grownMb();
    };
  }

  private static double part(Series of, HostSample box, ToLongFunction<HostSample.Counts> what) {
    for (HostSample.Counts each : box.classes()) {
      if (each.name().equals(of.about)) {
        return each.asked() > 0 ? (double) what.applyAsLong(each) / each.asked() : Double.NaN;
      }
    }
    return Double.NaN;
  }

  // ---- What it says ----

  /** All measures as they stand in this stage. */
  public List<Line> lines() {
    List<Line> all = new ArrayList<>();
    for (Series each : series.values()) {
      double width = width(each);
      double mean = each.drift.mean();
      all.add(
          new Line(
              each.measure,
              each.about,
              mean,
              mean - width,
              mean + width,
              limits.get(each.measure),
              each.drift.count()));
    }
    return all;
  }

  private double width(Series of) {
    if (of.drift.count() < ConfidenceSequence.LEAST) {
      return Double.POSITIVE_INFINITY;
    }
    // What is usual of a box is known as well as its windows before say: its error stays while the
    // other one shrinks.
    double before = -2 * Math.log(error) * of.usualVariance;
    double after = of.drift.width(error);
    return Math.sqrt(after * after + before);
  }

  /** The verdict on this stage now. */
  public Verdict verdict() {
    if (!broken.isEmpty()) {
      return new Verdict(Word.WORSE, broken);
    }
    if (series.isEmpty()) {
      return new Verdict(Word.SAME, "the plan compares nothing");
    }
    long all =
        series.values().stream()
            .filter(each -> each.measure == CanaryMetric.FAILED)
            .mapToLong(each -> each.asked)
            .sum();
    String open = "";
    for (Map.Entry<String, Series> entry : series.entrySet()) {
      Series each = entry.getValue();
      double limit = limits.get(each.measure);
      double width = width(each);
      if (each.drift.mean() - width > TOLERATED * limit) {
        return new Verdict(Word.WORSE, line(each, width, limit));
      }
      boolean small = !each.about.isEmpty() && each.asked < SMALL_CLASS * all;
      // Guards against a loss of nothing in a handful of requests being taken for none.
      boolean few = each.measure.part() && each.asked * limit < -Math.log(error);
      if (!small && open.isEmpty() && (few || each.drift.mean() + width >= limit)) {
        open =
            few
                ? name(each) + ": " + each.asked + " requests are too few"
                : line(each, width, limit);
      }
    }
    return open.isEmpty() && judged > 0
        ? new Verdict(Word.SAME, "every measure is surely within its limit")
        : new Verdict(Word.CANNOT_TELL, judged == 0 ? "nothing can be compared yet" : open);
  }

  private static String name(Series of) {
    return of.measure.word() + (of.about.isEmpty() ? "" : " of " + of.about);
  }

  private static String line(Series of, double width, double limit) {
    boolean parts = of.measure != CanaryMetric.GROWTH;
    ToDoubleFunction<Double> shown = value -> parts ? 100 * value : value;
    String unit = parts ? "%" : " MB a minute";
    return String.format(
        Locale.ROOT,
        "%s: %+.1f%s beyond the old release, surely from %+.1f to %+.1f, limit %.1f",
        name(of),
        shown.applyAsDouble(of.drift.mean()),
        unit,
        shown.applyAsDouble(of.drift.mean() - width),
        shown.applyAsDouble(of.drift.mean() + width),
        shown.applyAsDouble(limit));
  }
}
