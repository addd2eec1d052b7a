package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The plan of a rollout: its target, its stages and its stop criteria. Decides which hosts may be
 * unavailable together and in which order hosts are changed. Immutable.
 *
 * @param targetRelease release that all hosts shall run
 * @param hosts of the whole fleet, in the order of the plan; names are unique
 * @param stages in order, each with more hosts than the previous one
 * @param criteria by which the new release is compared
 * @param maxUnavailable maximum number of hosts that change at the same time
 * @param maxAttempts maximum number of orders to one host
 * @param verdictTimeoutSeconds to wait for a verdict after a stage's hold
 * @param unreachablePolicy for hosts that cannot be reached
 * @param regressionPolicy for a stage that performs worse
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

  /** Zones with fewer hosts may have only one of them unavailable at a time. */
  static final int SMALL_ZONE_HOSTS = 4;

  /** Tolerance for rounding errors in comparisons of fractions. */
  private static final double FRACTION_TOLERANCE = 1e-12;

  /**
   * One host.
   *
   * @param zone empty for none
   * @param supervisor address of its supervisor, HOST:PORT
   * @param tenants whose traffic it owns; empty if all hosts serve all tenants
   */
  public record Host(String name, String zone, String supervisor, List<String> tenants) {}

  /**
   * One stage, which ends when a number of hosts runs the release.
   *
   * @param hosts number of hosts over all stages so far; 0 if a fraction is set
   * @param fraction of the fleet over all stages so far, above 0 and at most 1; 0 if a number of
   *     hosts is set
   * @param spreadOverZones true to take hosts of all zones in turn instead of the plan's order
   * @param holdSeconds for which the stage is observed once all of its hosts run the release
   */
  public record Stage(int hosts, double fraction, boolean spreadOverZones, double holdSeconds) {
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Number of hosts that run the release at the end of the stage, in a fleet of this size. */
    public int targetHosts(int fleetSize) {
      return hosts > 0
          ? Math.min(hosts, fleetSize)
          : (int) Math.ceil(fraction * fleetSize - ROUNDING_TOLERANCE);
    }
  }

  /** The policy while hosts cannot be reached. */
  public enum UnreachablePolicy {
    HOLD,
    CONTINUE
  }

  /** The policy if a stage performs worse. */
  public enum RegressionPolicy {
    ROLL_BACK,
    HOLD
  }

  /** True if the fleet has a host of this name. */
  public boolean hasHost(String name) {
    return find(name).isPresent();
  }

  /**
   * The host with this name.
   *
   * @throws IllegalArgumentException if the plan has no such host
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

  /** True if a tenant of this host has no other owner. A rollout does not change such a host. */
  public boolean isSoleOwner(Host host) {
    return unservedTenant(host, Set.of()).isPresent();
  }

  /** The number of hosts that a rollout may change. */
  public int changeableHosts() {
    return (int) hosts.stream().filter(host -> !isSoleOwner(host)).count();
  }

  /** Number of hosts that a stage can reach, as sole owners of a tenant are not changed. */
  int reachableTarget(int stage) {
    return Math.min(stages.get(stage).targetHosts(hosts.size()), changeableHosts());
  }

  /** A tenant of this host that no other host owns, apart from the absent hosts. */
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

  /** Why this host may not be changed while these are unavailable; empty if it may. */
  public String blockingReason(Host host, Set<String> unavailable) {
    if (unavailable.size() >= maxUnavailable) {
      return unavailable.size() + " hosts are unavailable, the plan's maximum";
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

  /** The unchanged hosts that a stage may change, in the order in which it changes them. */
  List<Host> candidates(int stage, Set<String> changed) {
    List<Host> remaining = new ArrayList<>();
    for (Host host : hosts) {
      if (!changed.contains(host.name()) && !isSoleOwner(host)) {
        remaining.add(host);
      }
    }
    return stages.get(stage).spreadOverZones() ? spread(remaining, changed) : remaining;
  }

  /** Orders hosts by always choosing one of the zone with the lowest fraction of changed hosts. */
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
