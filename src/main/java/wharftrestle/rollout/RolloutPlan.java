package wharftrestle.rollout;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What is to be changed, how, and when it is stopped. It owns the rules of who may be away together
 * and the order in which boxes go; it must never be changed while it is carried out.
 *
 * @param to the release that all boxes are to have
 * @param boxes all boxes of the fleet, in the order they are listed
 * @param stages in their order, each with more boxes than the one before
 * @param limits by how much the new release may do worse, by measure
 * @param errors probability that a release that does no worse is stopped, over all stages and
 *     measures
 * @param mostAway boxes that are changing at once, at most
 * @param tries of one box, until it is left as it is
 * @param warm seconds after a daemon's start in which its figures do not count
 * @param patience seconds for which a verdict is waited for beyond a stage's hold
 * @param whenCut with boxes out of contact, or with too few that answer
 * @param whenWorse with a stage that does worse
 */
public record RolloutPlan(
    String targetRelease,
    List<Host> hosts,
    List<Stage> stages,
    Map<CanaryMetric, Double> limits,
    double errorProbability,
    int maxUnavailable,
    int maxAttempts,
    double warmUpSeconds,
    double verdictTimeoutSeconds,
    UnreachablePolicy unreachablePolicy,
    RegressionPolicy regressionPolicy) {

  /**
   * One box.
   *
   * @param zone empty for none
   * @param keeper where its keeper answers, HOST:PORT
   * @param tenants whose traffic it owns; empty where all boxes serve all
   */
  public record Host(String name, String zone, String supervisor, List<String> tenants) {}

  /**
   * One stage: so many boxes in all have the release at its end.
   *
   * @param boxes in all; 0 where a share is given
   * @param share of the fleet, over 0 to 1; 0 where a number is given
   * @param spread boxes of all zones in turn, instead of the listed order
   * @param hold seconds for which the stage is watched once all of its boxes have the release
   */
  public record Stage(int hosts, double fraction, boolean spreadOverZones, double holdSeconds) {
    /** Boxes in all at its end. */
    public int targetHosts(int fleetSize) {
      return hosts > 0 ? Math.min(hosts, fleetSize) : (int) Math.ceil(fraction * fleetSize - 1e-9);
    }
  }

  /** What is done where boxes cannot be reached. */
  public enum UnreachablePolicy {
    HOLD,
    CONTINUE
  }

  /** What is done where a stage does worse. */
  public enum RegressionPolicy {
    ROLL_BACK,
    HOLD
  }

  /** Boxes of a zone under which no two of it may be away together. */
  static final int SMALL_ZONE_HOSTS = 4;

  /** A box, when it goes, and why then. */
  public record ScheduledChange(int stage, int round, Host host, String reason) {}

  /** Who goes when, and what cannot be met. */
  public record Schedule(List<ScheduledChange> changes, List<String> unmet) {}

  /** The box of this name; null for none. */
  public Host host(String name) {
    return hosts.stream().filter(each -> each.name().equals(name)).findFirst().orElse(null);
  }

  /** Boxes of this zone. */
  int zoneSize(String name) {
    return (int) hosts.stream().filter(each -> each.zone().equals(name)).count();
  }

  /** True where no further box owns a tenant of this one: it is never changed by a roll. */
  public boolean isSoleOwner(Host host) {
    return host.tenants().stream()
        .anyMatch(
            tenant -> hosts.stream().filter(each -> each.tenants().contains(tenant)).count() < 2);
  }

  /** Boxes that a roll may change. */
  public int changeableHosts() {
    return (int) hosts.stream().filter(each -> !isSoleOwner(each)).count();
  }

  /** Why this box may not go while these are away; empty where it may. */
  public String blockingReason(Host host, Set<String> unavailable) {
    if (unavailable.size() >= maxUnavailable) {
      return unavailable.size() + " are away, which is the most";
    }
    boolean small = !host.zone().isEmpty() && zoneSize(host.zone()) < SMALL_ZONE_HOSTS;
    for (String name : unavailable) {
      Host other = host(name);
      if (small && other != null && other.zone().equals(host.zone())) {
        return name + " of the same small zone is away";
      }
    }
    for (String tenant : host.tenants()) {
      @SuppressWarnings("ReferenceEquality") // box is one of these very objects
      boolean served =
          hosts.stream()
              .anyMatch(
                  each ->
                      each != host
                          && each.tenants().contains(tenant)
                          && !unavailable.contains(each.name()));
      if (!served) {
        return "no other box that is there owns " + tenant;
      }
    }
    return "";
  }

  /**
   * All movable boxes in the order in which stage {@code at} takes them on, given those that have
   * gone.
   */
  List<Host> candidates(int stage, Set<String> changed) {
    List<Host> remaining = new ArrayList<>();
    for (Host host : hosts) {
      if (!changed.contains(host.name()) && !isSoleOwner(host)) {
        remaining.add(host);
      }
    }
    if (!stages.get(stage).spreadOverZones()) {
      return remaining;
    }
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
        if (fraction < lowestFraction - 1e-12) {
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

  /** Who goes when if all goes well, and what of the plan cannot be met. */
  public Schedule schedule() {
    List<ScheduledChange> turns = new ArrayList<>();
    List<String> unmet = new ArrayList<>();
    Set<String> changed = new LinkedHashSet<>();
    for (Host host : hosts) {
      if (isSoleOwner(host)) {
        unmet.add(
            host.name()
                + " stays as it is: no other box owns "
                + String.join(", ", host.tenants()));
      }
    }
    for (int stage = 0; stage < stages.size(); stage++) {
      int target = Math.min(stages.get(stage).targetHosts(hosts.size()), changeableHosts());
      if (stages.get(stage).targetHosts(hosts.size()) > changeableHosts()) {
        unmet.add(
            "stage "
                + (stage + 1)
                + " reaches "
                + changeableHosts()
                + " of "
                + stages.get(stage).targetHosts(hosts.size())
                + " boxes");
      }
      int round = 0;
      while (changed.size() < target) {
        Set<String> unavailable = new LinkedHashSet<>();
        String reason =
            stages.get(stage).spreadOverZones()
                ? "its zone has the least of the new release"
                : "as listed";
        for (Host host : candidates(stage, changed)) {
          if (changed.size() + unavailable.size() < target
              && blockingReason(host, unavailable).isEmpty()) {
            unavailable.add(host.name());
            turns.add(new ScheduledChange(stage, round, host, reason));
          }
        }
        if (unavailable.isEmpty()) {
          unmet.add(
              "stage "
                  + (stage + 1)
                  + " stops at "
                  + changed.size()
                  + " of "
                  + target
                  + " boxes: "
                  + blockingReason(candidates(stage, changed).get(0), Set.of()));
          break;
        }
        changed.addAll(unavailable);
        round++;
      }
    }
    return new Schedule(List.copyOf(turns), List.copyOf(unmet));
  }
}
