package wharftrestle.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import wharftrestle.rollout.CanaryAnalysis.Outcome;
import wharftrestle.rollout.CanaryAnalysis.Verdict;

/** Tests the actions of a rollout in simulated time over simulated hosts. */
class RolloutTest {
  private static final Verdict PASSES = new Verdict(Outcome.PASS, "no difference");
  private static final Verdict FAILS = new Verdict(Outcome.FAIL, "it loses");
  private static final Verdict INCONCLUSIVE = new Verdict(Outcome.INCONCLUSIVE, "too few windows");

  /** The state of a supervisor and its daemon that a rollout can observe. */
  private static final class ReportedHost {
    private String runningRelease = "old";
    private String orderedRelease = "";
    private int attempt;
    private String failure = "";
    private double changingUntil = Double.NEGATIVE_INFINITY;
    private boolean isReachable = true;

    boolean isChanging(double now) {
      return now < changingUntil;
    }
  }

  private static final class SimulatedFleet {
    private final RolloutPlan plan;
    private final Map<String, ReportedHost> hosts = new LinkedHashMap<>();
    private final Set<String> orderedInEpoch = new HashSet<>();
    private Rollout rollout;
    private double now;
    private int epochs = 1;
    private boolean losesOrders; // drops orders in transit
    private boolean nextChangeFails;
    private final List<String> entered = new ArrayList<>();
    private final Map<String, Integer> orders = new HashMap<>();

    SimulatedFleet(RolloutPlan plan) {
      this.plan = plan;
      plan.hosts().forEach(each -> hosts.put(each.name(), new ReportedHost()));
      rollout = new Rollout(plan, now);
    }

    Map<String, Rollout.ReportedState> reportedStates() {
      Map<String, Rollout.ReportedState> states = new LinkedHashMap<>();
      hosts.forEach(
          (name, each) ->
              states.put(
                  name,
                  new Rollout.ReportedState(
                      each.isReachable,
                      each.runningRelease,
                      !each.isChanging(now),
                      each.orderedRelease,
                      each.attempt,
                      each.failure)));
      return states;
    }

    void tick(Verdict verdict) {
      carryOut(rollout.tick(reportedStates(), verdict, true, now));
      long changing = hosts.values().stream().filter(each -> each.isChanging(now)).count();
      assertTrue(changing <= plan.maxUnavailable(), changing + " hosts are unavailable");
    }

    void carryOut(List<Rollout.Action> actions) {
      for (Rollout.Action action : actions) {
        if (action instanceof Rollout.Action.ClaimEpoch) {
          epochs++;
          orderedInEpoch.clear();
          rollout.onEpochClaimed();
          hosts
              .values()
              .forEach(
                  each -> {
                    each.orderedRelease = "";
                    each.attempt = 0;
                  });
        } else if (action instanceof Rollout.Action.Order order) {
          execute(order);
        } else if (action instanceof Rollout.Action.EnterState enter) {
          entered.add(enter.state().name());
        }
      }
    }

    private void execute(Rollout.Action.Order order) {
      ReportedHost host = hosts.get(order.host());
      orders.merge(order.host(), 1, Integer::sum);
      orderedInEpoch.add(order.host() + " " + order.release());
      long releases =
          orderedInEpoch.stream().filter(each -> each.startsWith(order.host() + " ")).count();
      assertEquals(1, releases, order.host() + " is ordered two releases in one epoch");
      assertTrue(host.isReachable, "an unreachable host is ordered");
      for (RolloutPlan.Host other : plan.hosts()) {
        boolean changing =
            !other.equals(plan.host(order.host())) && hosts.get(other.name()).isChanging(now);
        boolean sameZone =
            other.zone().equals(plan.host(order.host()).zone()) && !other.zone().isEmpty();
        assertTrue(
            !(changing && sameZone && plan.zoneSize(other.zone()) < RolloutPlan.SMALL_ZONE_HOSTS),
            "two hosts of a small zone change at once");
      }
      if (losesOrders) {
        return;
      }
      host.orderedRelease = order.release();
      host.attempt++;
      host.failure = "";
      host.changingUntil = now + 3;
      if (nextChangeFails) {
        host.failure = "it died before it served";
        nextChangeFails = false;
      } else {
        host.runningRelease = order.release();
      }
    }

    void passTime(double seconds, Verdict verdict) {
      for (double end = now + seconds; now < end; ) {
        now += 1;
        tick(verdict);
      }
    }
  }

  private static RolloutPlan plan(int hostCount, int maxUnavailable) {
    List<RolloutPlan.Host> hosts = new ArrayList<>();
    for (int i = 0; i < hostCount; i++) {
      hosts.add(RolloutPlanTest.host("b" + i, "z" + i % 2));
    }
    return RolloutPlanTest.plan(
        hosts,
        maxUnavailable,
        new RolloutPlan.Stage(1, 0, false, 10),
        new RolloutPlan.Stage(0, 0.5, true, 10),
        new RolloutPlan.Stage(0, 1, true, 10));
  }

  private static long running(SimulatedFleet fleet, String release) {
    return fleet.hosts.values().stream()
        .filter(each -> each.runningRelease.equals(release))
        .count();
  }

  @Test
  void tick_passingVerdicts_completesStageByStage() {
    SimulatedFleet fleet = new SimulatedFleet(plan(6, 1));
    fleet.passTime(8, PASSES);
    assertEquals(1, running(fleet, "new"), "the first stage is under observation");
    fleet.passTime(100, PASSES);
    assertEquals(Rollout.State.COMPLETED, fleet.rollout.state());
    assertEquals(6, running(fleet, "new"));
  }

  @Test
  void tick_noVerdictInTime_holdsUntilAnOperatorResumes() {
    SimulatedFleet fleet = new SimulatedFleet(plan(6, 1));
    fleet.passTime(200, INCONCLUSIVE);
    assertEquals(Rollout.State.HELD, fleet.rollout.state());
    assertTrue(
        fleet.rollout.reason().startsWith("stage 1 could not be accepted in time: "),
        fleet.rollout.reason());
    assertEquals(1, running(fleet, "new"));
    fleet.carryOut(fleet.rollout.resume(fleet.reportedStates(), fleet.now));
    fleet.passTime(100, PASSES);
    assertEquals(Rollout.State.COMPLETED, fleet.rollout.state());
  }

  @Test
  void tick_failingVerdict_rollsBackInANewEpoch() {
    SimulatedFleet fleet = new SimulatedFleet(plan(6, 1));
    fleet.passTime(30, PASSES);
    assertTrue(running(fleet, "new") > 1);
    fleet.passTime(40, FAILS);
    assertEquals(Rollout.State.ROLLED_BACK, fleet.rollout.state());
    assertEquals(6, running(fleet, "old"));
    assertEquals(2, fleet.epochs);
    assertTrue(fleet.rollout.reason().contains("does worse: it loses"));
  }

  @Test
  void tick_hostThatFails_isOrderedAtMostMaxAttemptsTimes() {
    SimulatedFleet fleet = new SimulatedFleet(plan(4, 1));
    for (int i = 0; i < 3; i++) {
      fleet.nextChangeFails = true;
      fleet.passTime(5, INCONCLUSIVE);
    }
    fleet.nextChangeFails = true;
    fleet.passTime(100, INCONCLUSIVE);
    assertTrue(fleet.orders.get("b0") <= 2, "at most two attempts: " + fleet.orders);
  }

  @Test
  void tick_hostThatReturnsWithTheOldRelease_isChangedAgain() {
    SimulatedFleet fleet = new SimulatedFleet(plan(4, 1));
    fleet.passTime(8, PASSES);
    fleet.hosts.get("b0").runningRelease = "old";
    fleet.passTime(6, INCONCLUSIVE);
    assertEquals("new", fleet.hosts.get("b0").runningRelease);
    assertTrue(fleet.entered.contains("PROGRESSING"));
  }

  @Test
  void tick_unreachableHostDuringRollback_isRolledBackOnceReachable() {
    SimulatedFleet fleet = new SimulatedFleet(plan(4, 1));
    fleet.passTime(8, PASSES);
    fleet.hosts.get("b0").isReachable = false;
    fleet.passTime(3, FAILS);
    assertEquals(Rollout.State.ROLLING_BACK, fleet.rollout.state());
    fleet.passTime(300, INCONCLUSIVE);
    assertTrue(
        fleet.rollout.reason().contains("b0 cannot be reached, and is rolled back once it is"),
        fleet.rollout.reason());
    fleet.hosts.get("b0").isReachable = true;
    fleet.passTime(10, INCONCLUSIVE);
    assertEquals(Rollout.State.ROLLED_BACK, fleet.rollout.state());
    assertEquals(4, running(fleet, "old"));
  }

  @Test
  void snapshot_midRollout_isResumedByAnotherController() {
    SimulatedFleet fleet = new SimulatedFleet(plan(6, 1));
    fleet.passTime(30, PASSES);
    Rollout.Snapshot snapshot = fleet.rollout.snapshot();
    fleet.rollout = new Rollout(fleet.plan, snapshot, fleet.now);
    fleet.epochs++;
    fleet.orderedInEpoch.clear();
    fleet.hosts.values().forEach(each -> each.attempt = 0);
    fleet.passTime(100, PASSES);
    assertEquals(Rollout.State.COMPLETED, fleet.rollout.state());
  }

  @Test
  void snapshot_pausedRollout_staysPausedInAnotherController() {
    SimulatedFleet fleet = new SimulatedFleet(plan(4, 1));
    fleet.passTime(2, INCONCLUSIVE);
    fleet.carryOut(fleet.rollout.pause(fleet.now));
    fleet.rollout = new Rollout(fleet.plan, fleet.rollout.snapshot(), fleet.now);
    fleet.passTime(50, PASSES);
    assertEquals(Rollout.State.PAUSED, fleet.rollout.state());
    fleet.carryOut(fleet.rollout.resume(fleet.reportedStates(), fleet.now));
    fleet.passTime(100, PASSES);
    assertEquals(Rollout.State.COMPLETED, fleet.rollout.state());
  }

  /**
   * For any sequence of events the rules that {@link SimulatedFleet} checks are kept, and once all
   * faults are removed every rollout ends.
   */
  @Property(tries = 1500)
  void tick_anySequenceOfEvents_keepsRulesAndEnds(
      @ForAll @IntRange(min = 2, max = 9) int hostCount,
      @ForAll @IntRange(min = 1, max = 3) int maxUnavailable,
      @ForAll @Size(max = 80) List<@IntRange(max = 13) Integer> events,
      @ForAll @IntRange(max = 100) int firstHost) {
    SimulatedFleet fleet = new SimulatedFleet(plan(hostCount, maxUnavailable));
    int hostIndex = firstHost;
    for (int event : events) {
      hostIndex += 7;
      ReportedHost host = fleet.hosts.get("b" + hostIndex % hostCount);
      switch (event) {
        case 0 -> host.isReachable = false;
        case 1 -> host.isReachable = true;
        case 2 -> fleet.nextChangeFails = true;
        case 3 -> fleet.losesOrders = !fleet.losesOrders;
        case 4 ->
            host.runningRelease =
                fleet.rollout.state().isFinal()
                    ? host.runningRelease
                    : "old"; // restarted with the old release
        case 5 -> fleet.carryOut(fleet.rollout.pause(fleet.now));
        case 6 -> fleet.carryOut(fleet.rollout.resume(fleet.reportedStates(), fleet.now));
        case 7 -> {
          if (hostIndex % 3 == 0) {
            fleet.carryOut(fleet.rollout.rollBack("asked for", fleet.now));
          }
        }
        case 8 -> {
          // The controller ends and another one resumes in a new epoch.
          fleet.rollout = new Rollout(fleet.plan, fleet.rollout.snapshot(), fleet.now);
          fleet.epochs++;
          fleet.orderedInEpoch.clear();
          fleet
              .hosts
              .values()
              .forEach(
                  each -> {
                    each.orderedRelease = "";
                    each.attempt = 0;
                  });
        }
        case 9 -> fleet.passTime(1, hostIndex % 5 == 0 ? FAILS : INCONCLUSIVE);
        case 10 -> fleet.passTime(12, PASSES);
        default -> fleet.passTime(2, PASSES);
      }
    }
    fleet.losesOrders = false;
    fleet.nextChangeFails = false;
    fleet.hosts.values().forEach(each -> each.isReachable = true);
    for (int i = 0; i < 40 && !fleet.rollout.state().isFinal(); i++) {
      fleet.carryOut(fleet.rollout.resume(fleet.reportedStates(), fleet.now));
      fleet.passTime(30, PASSES);
    }
    assertTrue(
        fleet.rollout.state().isFinal(), fleet.rollout.state() + " " + fleet.rollout.reason());
    assertEquals(
        hostCount,
        running(fleet, fleet.rollout.state() == Rollout.State.COMPLETED ? "new" : "old"));
  }
}
