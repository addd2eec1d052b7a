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

/** What a roll does next, told event by event in made-up time over made-up keepers. */
class RolloutTest {
  private static final Verdict SAME = new Verdict(Outcome.PASS, "all the same");
  private static final Verdict WORSE = new Verdict(Outcome.FAIL, "it loses");
  private static final Verdict OPEN = new Verdict(Outcome.INCONCLUSIVE, "too little was seen");

  /** A keeper and its daemon, as far as a roll sees them. */
  private static final class Box {
    private String acts = "old";
    private String target = "";
    private int attempt;
    private String failed = "";
    private double until = Double.NEGATIVE_INFINITY;
    private boolean contact = true;

    boolean changing(double now) {
      return now < until;
    }
  }

  private static final class World {
    private final RolloutPlan plan;
    private final Map<String, Box> boxes = new LinkedHashMap<>();
    private final Set<String> toldInEpoch = new HashSet<>();
    private Rollout roll;
    private double now;
    private int epochs = 1;
    private boolean loses; // orders on their way
    private boolean fails; // the next change
    private final List<String> entered = new ArrayList<>();
    private final Map<String, Integer> told = new HashMap<>();

    World(RolloutPlan plan) {
      this.plan = plan;
      plan.hosts().forEach(each -> boxes.put(each.name(), new Box()));
      roll = new Rollout(plan, now);
    }

    Map<String, Rollout.ReportedState> shows() {
      Map<String, Rollout.ReportedState> all = new LinkedHashMap<>();
      boxes.forEach(
          (name, each) ->
              all.put(
                  name,
                  new Rollout.ReportedState(
                      each.contact,
                      each.acts,
                      !each.changing(now),
                      each.target,
                      each.attempt,
                      each.failed)));
      return all;
    }

    void look(Verdict verdict) {
      carryOut(roll.tick(shows(), verdict, true, now));
      long away = boxes.values().stream().filter(each -> each.changing(now)).count();
      assertTrue(away <= plan.maxUnavailable(), away + " are away");
    }

    void carryOut(List<Rollout.Action> acts) {
      for (Rollout.Action act : acts) {
        if (act instanceof Rollout.Action.ClaimEpoch) {
          epochs++;
          toldInEpoch.clear();
          roll.onEpochClaimed();
          boxes
              .values()
              .forEach(
                  each -> {
                    each.target = "";
                    each.attempt = 0;
                  });
        } else if (act instanceof Rollout.Action.Order order) {
          obey(order);
        } else if (act instanceof Rollout.Action.EnterState enter) {
          entered.add(enter.state().name());
        }
      }
    }

    private void obey(Rollout.Action.Order order) {
      Box box = boxes.get(order.host());
      told.merge(order.host(), 1, Integer::sum);
      toldInEpoch.add(order.host() + " " + order.release());
      long targets =
          toldInEpoch.stream().filter(each -> each.startsWith(order.host() + " ")).count();
      assertEquals(1, targets, order.host() + " is told two releases in one epoch");
      assertTrue(box.contact, "told though it cannot be reached");
      for (RolloutPlan.Host other : plan.hosts()) {
        boolean away =
            !other.equals(plan.host(order.host())) && boxes.get(other.name()).changing(now);
        boolean sameZone =
            other.zone().equals(plan.host(order.host()).zone()) && !other.zone().isEmpty();
        assertTrue(
            !(away && sameZone && plan.zoneSize(other.zone()) < RolloutPlan.SMALL_ZONE_HOSTS),
            "two of a small zone");
      }
      if (loses) {
        return;
      }
      box.target = order.release();
      box.attempt++;
      box.failed = "";
      box.until = now + 3;
      if (fails) {
        box.failed = "it died before it served";
        fails = false;
      } else {
        box.acts = order.release();
      }
    }

    void pass(double seconds, Verdict verdict) {
      for (double end = now + seconds; now < end; ) {
        now += 1;
        look(verdict);
      }
    }
  }

  private static RolloutPlan plan(int boxes, int mostAway) {
    List<RolloutPlan.Host> all = new ArrayList<>();
    for (int i = 0; i < boxes; i++) {
      all.add(RolloutPlanTest.box("b" + i, "z" + i % 2));
    }
    return RolloutPlanTest.plan(
        all,
        mostAway,
        new RolloutPlan.Stage(1, 0, false, 10),
        new RolloutPlan.Stage(0, 0.5, true, 10),
        new RolloutPlan.Stage(0, 1, true, 10));
  }

  private static long have(World world, String release) {
    return world.boxes.values().stream().filter(each -> each.acts.equals(release)).count();
  }

  @Test
  void aGoodReleaseArrivesEverywhereStageByStage() {
    World world = new World(plan(6, 1));
    world.pass(8, SAME);
    assertEquals(1, have(world, "new"), "the first stage is watched");
    world.pass(100, SAME);
    assertEquals(Rollout.State.COMPLETED, world.roll.state());
    assertEquals(6, have(world, "new"));
  }

  @Test
  void withoutAVerdictNothingGoesOnAndAnOperatorDecides() {
    World world = new World(plan(6, 1));
    world.pass(200, OPEN);
    assertEquals(Rollout.State.HELD, world.roll.state());
    assertTrue(world.roll.reason().startsWith("nobody can tell"), world.roll.reason());
    assertEquals(1, have(world, "new"));
    world.carryOut(world.roll.resume(world.shows(), world.now));
    world.pass(100, SAME);
    assertEquals(Rollout.State.COMPLETED, world.roll.state());
  }

  @Test
  void whatDoesWorseIsTakenBackInANewEpoch() {
    World world = new World(plan(6, 1));
    world.pass(30, SAME);
    assertTrue(have(world, "new") > 1);
    world.pass(40, WORSE);
    assertEquals(Rollout.State.ROLLED_BACK, world.roll.state());
    assertEquals(6, have(world, "old"));
    assertEquals(2, world.epochs);
    assertTrue(world.roll.reason().contains("does worse: it loses"));
  }

  @Test
  void aBoxThatFailsIsTriedAgainAndThenTheChangeIsHeld() {
    World world = new World(plan(4, 1));
    for (int i = 0; i < 3; i++) {
      world.fails = true;
      world.pass(5, OPEN);
    }
    world.fails = true;
    world.pass(100, OPEN);
    assertTrue(world.told.get("b0") <= 2, "a budget of tries: " + world.told);
  }

  @Test
  void aBoxThatCameBackWithTheOldReleaseIsBehindAgain() {
    World world = new World(plan(4, 1));
    world.pass(8, SAME);
    world.boxes.get("b0").acts = "old";
    world.pass(6, OPEN);
    assertEquals("new", world.boxes.get("b0").acts);
    assertTrue(world.entered.contains("PROGRESSING"));
  }

  @Test
  void aBoxThatCannotBeReachedHoldsTheChangeAndIsTakenBackWhenItIsHeard() {
    World world = new World(plan(4, 1));
    world.pass(8, SAME);
    world.boxes.get("b0").contact = false;
    world.pass(3, WORSE);
    assertEquals(Rollout.State.ROLLING_BACK, world.roll.state());
    world.pass(300, OPEN);
    assertTrue(
        world.roll.reason().contains("b0 cannot be reached, and is rolled back once it is"),
        world.roll.reason());
    world.boxes.get("b0").contact = true;
    world.pass(10, OPEN);
    assertEquals(Rollout.State.ROLLED_BACK, world.roll.state());
    assertEquals(4, have(world, "old"));
  }

  @Test
  void aDriverThatFollowsGoesOnFromTheJournal() {
    World world = new World(plan(6, 1));
    world.pass(30, SAME);
    Rollout.Snapshot kept = world.roll.snapshot();
    world.roll = new Rollout(world.plan, kept, world.now);
    world.epochs++;
    world.toldInEpoch.clear();
    world.boxes.values().forEach(each -> each.attempt = 0);
    world.pass(100, SAME);
    assertEquals(Rollout.State.COMPLETED, world.roll.state());
  }

  @Test
  void aPauseIsKeptByTheJournalToo() {
    World world = new World(plan(4, 1));
    world.pass(2, OPEN);
    world.carryOut(world.roll.pause(world.now));
    world.roll = new Rollout(world.plan, world.roll.snapshot(), world.now);
    world.pass(50, SAME);
    assertEquals(Rollout.State.PAUSED, world.roll.state());
    world.carryOut(world.roll.resume(world.shows(), world.now));
    world.pass(100, SAME);
    assertEquals(Rollout.State.COMPLETED, world.roll.state());
  }

  /**
   * Whatever happens in whatever order, the rules hold; and once all is well, every change ends.
   */
  @Property(tries = 1500)
  void rulesHoldWhateverHappensAndEveryChangeEnds(
      @ForAll @IntRange(min = 2, max = 9) int boxes,
      @ForAll @IntRange(min = 1, max = 3) int mostAway,
      @ForAll @Size(max = 80) List<@IntRange(max = 13) Integer> events,
      @ForAll @IntRange(max = 100) int which) {
    World world = new World(plan(boxes, mostAway));
    int at = which;
    for (int event : events) {
      at += 7;
      Box box = world.boxes.get("b" + at % boxes);
      switch (event) {
        case 0 -> box.contact = false;
        case 1 -> box.contact = true;
        case 2 -> world.fails = true;
        case 3 -> world.loses = !world.loses;
        case 4 -> box.acts = world.roll.state().isFinal() ? box.acts : "old"; // it came back cold
        case 5 -> world.carryOut(world.roll.pause(world.now));
        case 6 -> world.carryOut(world.roll.resume(world.shows(), world.now));
        case 7 -> {
          if (at % 3 == 0) {
            world.carryOut(world.roll.rollBack("asked for", world.now));
          }
        }
        case 8 -> {
          // The driver dies, and the next one steers in another epoch.
          world.roll = new Rollout(world.plan, world.roll.snapshot(), world.now);
          world.epochs++;
          world.toldInEpoch.clear();
          world
              .boxes
              .values()
              .forEach(
                  each -> {
                    each.target = "";
                    each.attempt = 0;
                  });
        }
        case 9 -> world.pass(1, at % 5 == 0 ? WORSE : OPEN);
        case 10 -> world.pass(12, SAME);
        default -> world.pass(2, SAME);
      }
    }
    world.loses = false;
    world.fails = false;
    world.boxes.values().forEach(each -> each.contact = true);
    for (int i = 0; i < 40 && !world.roll.state().isFinal(); i++) {
      world.carryOut(world.roll.resume(world.shows(), world.now));
      world.pass(30, SAME);
    }
    assertTrue(world.roll.state().isFinal(), world.roll.state() + " " + world.roll.reason());
    assertEquals(boxes, have(world, world.roll.state() == Rollout.State.COMPLETED ? "new" : "old"));
  }
}
