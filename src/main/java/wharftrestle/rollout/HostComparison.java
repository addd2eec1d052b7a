package wharftrestle.rollout;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Compares the loss of one host in a window with the losses of the hosts on the old release in the
 * same window, by one metric and request class. NaN means that the window has no data for the
 * metric.
 *
 * @param requestClass empty for a metric that is not by class
 */
record HostComparison(CanaryMetric metric, String requestClass) {

  /** The loss of a host in excess of that of the old hosts; NaN if either is unknown. */
  double difference(HostSample host, List<HostSample> oldHosts) {
    double hostLoss = loss(host);
    double baselineLoss = referenceLoss(host, oldHosts);
    if (Double.isNaN(hostLoss) || Double.isNaN(baselineLoss)) {
      return Double.NaN;
    }
    return switch (metric) {
      case CPU, MEMORY -> baselineLoss <= 0 ? 0 : hostLoss / baselineLoss - 1;
      case MEMORY_GROWTH -> growthBeyond(hostLoss - baselineLoss, host, oldHosts);
      default -> hostLoss - baselineLoss;
    };
  }

  /** Ignores memory growth of a new process until it reaches the mean size of the old processes. */
  private static double growthBeyond(double growth, HostSample host, List<HostSample> oldHosts) {
    double oldMemoryMb =
        oldHosts.stream()
            .mapToDouble(HostSample::memoryMb)
            .average()
            .orElse(Double.POSITIVE_INFINITY);
    boolean isStillGrowing = host.onNewRelease() && host.memoryMb() < oldMemoryMb;
    return isStillGrowing ? Math.min(0, growth) : growth;
  }

  /** Mean loss of the other old hosts in the zone, or in all zones if the zone has none. */
  private double referenceLoss(HostSample host, List<HostSample> oldHosts) {
    Predicate<HostSample> isOther = each -> !each.host().equals(host.host());
    double zoneLoss = meanLoss(oldHosts, isOther.and(each -> each.zone().equals(host.zone())));
    return Double.isNaN(zoneLoss) ? meanLoss(oldHosts, isOther) : zoneLoss;
  }

  private double meanLoss(List<HostSample> hosts, Predicate<HostSample> condition) {
    return hosts.stream()
        .filter(condition)
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
    double totalWeight = 0;
    double lostTotal = 0;
    for (HostSample.Counts each : host.classCounts()) {
      totalWeight += each.priorityWeight() * each.requests();
      lostTotal +=
          each.priorityWeight()
              * (each.requests() - each.served() + each.late() * (1 - each.lateWeightFraction()));
    }
    return totalWeight > 0 ? lostTotal / totalWeight : Double.NaN;
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

  /** Requests of the class, or of all classes if the metric is not by class. */
  long requests(HostSample host) {
    return requestClass.isEmpty()
        ? host.requests()
        : host.classCounts().stream()
            .filter(each -> each.name().equals(requestClass))
            .mapToLong(HostSample.Counts::requests)
            .sum();
  }
}
