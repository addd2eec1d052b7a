package wharftrestle.rollout;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Compares what one host lost in a window with what the hosts of the old release lost in the same
 * window, by one metric and request class. NaN stands for a window that says nothing of it.
 *
 * @param requestClass empty for a metric over all classes
 */
record HostComparison(CanaryMetric metric, String requestClass) {

  /** The loss of a host beyond that of the old hosts; NaN if either is unknown. */
  double difference(HostSample host, List<HostSample> oldHosts) {
    double own = loss(host);
    double reference = referenceLoss(host, oldHosts);
    if (Double.isNaN(own) || Double.isNaN(reference)) {
      return Double.NaN;
    }
    return switch (metric) {
      case CPU, MEMORY -> reference <= 0 ? 0 : own / reference - 1;
      case MEMORY_GROWTH -> growthBeyond(own - reference, host, oldHosts);
      default -> own - reference;
    };
  }

  /** A young process grows to the size that old ones have: only what goes beyond it counts. */
  private static double growthBeyond(double growth, HostSample host, List<HostSample> oldHosts) {
    double oldMemoryMb =
        oldHosts.stream()
            .mapToDouble(HostSample::memoryMb)
            .average()
            .orElse(Double.POSITIVE_INFINITY);
    boolean isStillFilling = host.onNewRelease() && host.memoryMb() < oldMemoryMb;
    return isStillFilling ? Math.min(0, growth) : growth;
  }

  /** Mean loss of the other old hosts of the zone, or of all zones if it has none. */
  private double referenceLoss(HostSample host, List<HostSample> oldHosts) {
    Predicate<HostSample> isOther = each -> !each.host().equals(host.host());
    double ofZone = meanLoss(oldHosts, isOther.and(each -> each.zone().equals(host.zone())));
    return Double.isNaN(ofZone) ? meanLoss(oldHosts, isOther) : ofZone;
  }

  private double meanLoss(List<HostSample> hosts, Predicate<HostSample> which) {
    return hosts.stream()
        .filter(which)
        .mapToDouble(this::loss)
        .filter(loss -> !Double.isNaN(loss))
        .average()
        .orElse(Double.NaN);
  }

  private double loss(HostSample host) {
    return switch (metric) {
      case LOST_WEIGHT -> lostWeight(host);
      case FAILED -> fraction(host, HostSample.Counts::failed);
      case REJECTED -> fraction(host, HostSample.Counts::rejected);
      case LATE -> fraction(host, HostSample.Counts::late);
      case DEPENDENCY ->
          host.dependencyCalls() > 0
              ? (double) host.failedDependencyCalls() / host.dependencyCalls()
              : Double.NaN;
      case CPU -> host.cpuSeconds() / host.requests();
      case MEMORY -> host.memoryMb();
      case MEMORY_GROWTH -> host.memoryGrowthMbPerMinute();
    };
  }

  private static double lostWeight(HostSample host) {
    double all = 0;
    double lost = 0;
    for (HostSample.Counts each : host.classCounts()) {
      all += each.priorityWeight() * each.requests();
      lost +=
          each.priorityWeight()
              * (each.requests() - each.served() + each.late() * (1 - each.lateWeightFraction()));
    }
    return all > 0 ? lost / all : Double.NaN;
  }

  private double fraction(HostSample host, ToLongFunction<HostSample.Counts> count) {
    for (HostSample.Counts each : host.classCounts()) {
      if (each.name().equals(requestClass)) {
        return each.requests() > 0
            ? (double) count.applyAsLong(each) / each.requests()
            : Double.NaN;
      }
    }
    return Double.NaN;
  }

  /** Requests of the class; of all classes where the metric is over all. */
  long requests(HostSample host) {
    return requestClass.isEmpty()
        ? host.requests()
        : host.classCounts().stream()
            .filter(each -> each.name().equals(requestClass))
            .mapToLong(HostSample.Counts::requests)
            .sum();
  }
}
