package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What is to be changed, how, and when it is stopped. It holds the rules of which hosts may be
 * unavailable together and in which order hosts go. Immutable.
 *
 * @param targetRelease the release that all hosts are to run
 * @param hosts of the whole fleet, in the order they are listed; names are unique
 * @param stages in their order, each with more hosts than the one before
 * @param criteria by which the new release is compared
 * @param maxUnavailable hosts that change at once
 * @param maxAttempts orders to one host, until it is left as it is
 * @param verdictTimeoutSeconds for which a verdict is awaited beyond a stage's hold
 * @param unreachablePolicy for hosts that cannot be reached
 * @param regressionPolicy for a stage that does worse
 */
public record RolloutPlan(
    String targetRelease,
    List<Host> hosts,
    List<Stage> stages,
    CanaryCriteria criteria,
    int maxUnavailable,
    int maxAttempts,
    double verdictTimeoutSeconds,
    UnreachablePolicy unreachablePolicy,
    RegressionPolicy regressionPolicy) {

  /** Hosts of a zone below which no two of it may be unavailable together. */
  static final int SMALL_ZONE_HOSTS = 4;

  /** Guards comparisons of fractions against rounding. */
  private static final double FRACTION_TOLERANCE = 1e-12;

  /**
   * One host.
   *
   * @param zone empty for none
   * @param supervisor address of its supervisor, HOST:PORT
   * @param tenants whose traffic it owns; empty where all hosts serve all
   */
  public record Host(String name, String zone, String supervisor, List<String> tenants) {}

  /**
   * One stage: so many hosts in all run the release at its end.
   *
   * @param hosts in all; 0 where a fraction is given
   * @param fraction of the fleet, over 0 to 1; 0 where a number is given
   * @param spreadOverZones hosts of all zones in turn, instead of the listed order
   * @param holdSeconds for which the stage is observed once all of its hosts run the release
   */
  public record Stage(int hosts, double fraction, boolean spreadOverZones, double holdSeconds) {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Hosts in all at its end, of a fleet of this size. */
    public int targetHosts(int fleetSize) {
      return hosts > 0
          ? Math.min(hosts, fleetSize)
          : (int) Math.ceil(fraction * fleetSize - ROUNDING_TOLERANCE);
    }
  }

  /** What is done while hosts cannot be reached. */
  public enum UnreachablePolicy {
    HOLD,
    CONTINUE
  }

  /** What is done if a stage does worse. */
  public enum RegressionPolicy {
    ROLL_BACK,
    HOLD
  }

  /** True for a host of the fleet. */
  public boolean hasHost(String name) {
    return find(name).isPresent();
  }

  /**
   * The host of this name.
   *
   * @throws IllegalArgumentException if there is none
   */
  public Host host(String name) {
    return find(name)
        .orElseThrow(
            () -> new IllegalArgumentException("expected a host of the plan, got " + name));
  }

  private Optional<Host> find(String name) {
    return hosts.stream().filter(host -> host.name().equals(name)).findFirst();
  }

  /** The number of hosts in this zone. */
  int zoneSize(String zone) {
    return (int) hosts.stream().filter(host -> host.zone().equals(zone)).count();
  }

  /** True if no other host owns some tenant of this one: a rollout never changes it. */
  public boolean isSoleOwner(Host host) {
    return unservedTenant(host, Set.of()).isPresent();
  }

  /** The number of hosts that a rollout may change. */
  public int changeableHosts() {
    return (int) hosts.stream().filter(host -> !isSoleOwner(host)).count();
  }

  /** Hosts that run the release at the end of a stage, without those that may not change. */
  int reachableTarget(int stage) {
    return Math.min(stages.get(stage).targetHosts(hosts.size()), changeableHosts());
  }

  /** A tenant of this host that no other host owns, but for the absent ones. */
  Optional<String> unservedTenant(Host host, Set<String> absent) {
    return host.tenants().stream()
        .filter(
            tenant ->
                hosts.stream()
                    .noneMatch(
                        other ->
                            !other.name().equals(host.name())
                                && other.tenants().contains(tenant)
                                && !absent.contains(other.name())))
        .findFirst();
  }

  /** Why this host may not go while these are unavailable; empty if it may. */
  public String blockingReason(Host host, Set<String> unavailable) {
    if (unavailable.size() >= maxUnavailable) {
      return unavailable.size() + " are unavailable, which is the most";
    }
    boolean inSmallZone = !host.zone().isEmpty() && zoneSize(host.zone()) < SMALL_ZONE_HOSTS;
    for (String name : unavailable) {
      if (inSmallZone && hasHost(name) && host(name).zone().equals(host.zone())) {
        return name + " of the same small zone is unavailable";
      }
    }
    return unservedTenant(host, unavailable)
        .map(tenant -> "no other available host owns " + tenant)
        .orElse("");
  }

  /** All changeable hosts in the order in which a stage takes them on, without those changed. */
  List<Host> candidates(int stage, Set<String> changed) {
    List<Host> remaining = new ArrayList<>();
    for (Host host : hosts) {
      if (!changed.contains(host.name()) && !isSoleOwner(host)) {
        remaining.add(host);
      }
    }
    return stages.get(stage).spreadOverZones() ? spread(remaining, changed) : remaining;
  }

  /** Always the next host of the zone with the lowest fraction of changed hosts. */
  private List<Host> spread(List<Host> remaining, Set<String> changed) {
    Map<String, Integer> changedByZone = new LinkedHashMap<>();
    for (Host host : hosts) {
      changedByZone.merge(host.zone(), changed.contains(host.name()) ? 1 : 0, Integer::sum);
    }
    List<Host> order = new ArrayList<>();
    while (!remaining.isEmpty()) {
      Host next = null;
      double lowestFraction = Double.POSITIVE_INFINITY;
      for (Host host : remaining) {
        double fraction = (double) changedByZone.get(host.zone()) / zoneSize(host.zone());
        if (fraction < lowestFraction - FRACTION_TOLERANCE) {
          lowestFraction = fraction;
          next = host;
        }
      }
      remaining.remove(next);
      changedByZone.merge(next.zone(), 1, Integer::sum);
      order.add(next);
    }
    return order;
  }
}
