package wharftrestle.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import wharftrestle.supervisor.SupervisorStateMachine.Act;
import wharftrestle.supervisor.SupervisorStateMachine.Act.Kind;
import wharftrestle.supervisor.SupervisorStateMachine.Figures;
import wharftrestle.supervisor.SupervisorStateMachine.Role;
import wharftrestle.supervisor.SupervisorStateMachine.State;

/** What a keeper does next, told event by event in made-up time. */
class SupervisorStateMachineTest {
  private static final SupervisorStateMachine.Limits LIMITS =
      new SupervisorStateMachine.Limits(10, 30, 0.02, 0.05, 50, 1, 8, 3);

  private final SupervisorStateMachine keeper = new SupervisorStateMachine(LIMITS);

  private static List<String> brief(List<Act> acts) {
    return acts.stream()
        .filter(act -> act.kind() != Kind.SAY)
        .map(act -> act.kind() + " " + act.role() + " " + act.release())
        .toList();
  }

  private void serves(String release) {
    keeper.run(release, "", 0);
    keeper.ready(Role.ACTIVE, 1);
    keeper.tick(new Figures(1000, 0, 10), 2);
  }

  @Test
  void aChangeThatHoldsItsProbationStays() {
    serves("a");
    assertEquals(List.of("START CANDIDATE b"), brief(keeper.change("b", 3)));
    assertEquals(List.of("TERM ACTIVE a", "PROMOTE CANDIDATE b"), brief(keeper.ready(Role.CANDIDATE, 4)));
    assertEquals(State.PROBATION, keeper.state());
    keeper.tick(new Figures(0, 0, 0), 5);
    keeper.tick(new Figures(500, 2, 5), 20);
    assertEquals(State.PROBATION, keeper.state());
    keeper.tick(new Figures(900, 2, 9), 35);
    assertEquals(State.SERVING, keeper.state());
    assertEquals("b", keeper.release());
    assertEquals(List.of("START CANDIDATE a"), brief(keeper.back(40)), "asked back later");
  }

  @Test
  void whatDoesWorseInItsProbationIsTakenBackBesideIt() {
    serves("a");
    keeper.change("b", 3);
    keeper.ready(Role.CANDIDATE, 4);
    keeper.tick(new Figures(0, 0, 0), 5);
    assertTrue(keeper.tick(new Figures(30, 0, 10), 6).isEmpty(), "too little was seen to say");
    assertEquals(List.of("START CANDIDATE a"), brief(keeper.tick(new Figures(90, 0, 10), 7)));
    assertTrue(keeper.reason().contains("10.0% failed, 1.0% before"), keeper.reason());
    assertEquals(List.of("TERM ACTIVE b", "PROMOTE CANDIDATE a"), brief(keeper.ready(Role.CANDIDATE, 8)));
    assertEquals(State.SERVING, keeper.state());
    assertEquals("a", keeper.release());
  }

  @Test
  void whoComesBackFromABadReleaseNeverReturnsToIt() {
    serves("bad");
    keeper.change("a", true, 3);
    assertEquals(
        List.of("PROMOTE CANDIDATE a"),
        brief(keeper.died(Role.ACTIVE, 4)),
        "the bad one dies as it is replaced");
    keeper.tick(new Figures(0, 0, 0), 5);
    assertEquals(
        List.of(), brief(keeper.tick(new Figures(90, 0, 60), 7)), "what failed is the dead one's");
    keeper.died(Role.ACTIVE, 8);
    assertEquals(List.of("START ACTIVE a"), brief(keeper.tick(null, 10)));
  }

  @Test
  void whereTheOneBeforeDiedWithinTheChangeItsFiguresAreNothingToBeHeldAgainst() {
    serves("a");
    keeper.change("b", 3);
    keeper.died(Role.ACTIVE, 4);
    keeper.tick(new Figures(0, 0, 0), 5);
    assertEquals(List.of(), brief(keeper.tick(new Figures(90, 0, 10), 7)));
    assertEquals("a", keeper.good(), "an operator may still go back");
  }

  @Test
  void whatNeverServesIsKilledAndTheFirstOneServesOn() {
    serves("a");
    keeper.change("b", 3);
    assertEquals(List.of(), brief(keeper.tick(null, 12)));
    assertEquals(List.of("KILL CANDIDATE b"), brief(keeper.tick(null, 13.5)));
    assertEquals("a", keeper.release());
    keeper.change("b", 20);
    assertEquals(List.of("KILL CANDIDATE b"), brief(keeper.refused(Role.CANDIDATE, "no ground", 21)));
    assertTrue(keeper.reason().contains("no ground"));
    keeper.change("b", 30);
    assertEquals(List.of(), brief(keeper.died(Role.CANDIDATE, 31)));
    assertEquals(State.SERVING, keeper.state());
  }

  @Test
  void whereTheFirstOneDiesWithinAChangeTheSecondOneIsTheBox() {
    serves("a");
    keeper.change("b", 3);
    assertEquals(List.of("PROMOTE CANDIDATE b"), brief(keeper.died(Role.ACTIVE, 4)));
    assertEquals(State.PROBATION, keeper.state());
    assertEquals("a", keeper.good());
  }

  @Test
  void aDaemonThatDiesAgainAndAgainWaitsLongerAndThenGivesWayToTheOneBefore() {
    serves("a");
    keeper.change("b", 3);
    keeper.ready(Role.CANDIDATE, 4);
    keeper.tick(null, 40);
    assertEquals(State.SERVING, keeper.state());
    double now = 50;
    double[] pauses = {1, 2};
    for (double pause : pauses) {
      keeper.died(Role.ACTIVE, now);
      assertEquals(List.of(), brief(keeper.tick(null, now + pause - 0.1)));
      assertEquals(List.of("START ACTIVE b"), brief(keeper.tick(null, now + pause + 0.1)));
      now += pause + 1;
    }
    keeper.died(Role.ACTIVE, now);
    assertEquals(List.of("START ACTIVE a"), brief(keeper.tick(null, now + 9)));
  }

  @Test
  void whatDiesInItsProbationGivesWayAtOnce() {
    serves("a");
    keeper.change("b", 3);
    keeper.ready(Role.CANDIDATE, 4);
    keeper.died(Role.ACTIVE, 6);
    assertEquals(List.of("START ACTIVE a"), brief(keeper.tick(null, 7.1)));
  }

  @Test
  void backWhileAChangeIsGoingOnEndsTheOneThatComes() {
    serves("a");
    keeper.change("b", 3);
    assertEquals(List.of("KILL CANDIDATE b"), brief(keeper.back(4)));
    assertEquals("a", keeper.release());
    assertEquals(List.of(), brief(keeper.back(5)), "there is nothing to go back to");
  }

  /** Whatever comes in whatever order: at most two daemons, roles that fit, and always a way on. */
  @Property(tries = 2000)
  void neverMoreThanTwoDaemonsAndAlwaysAWayOn(
      @ForAll @Size(max = 60) List<@IntRange(max = 8) Integer> events) {
    SupervisorStateMachine any = new SupervisorStateMachine(LIMITS);
    List<Role> alive = new ArrayList<>();
    double now = 0;
    apply(any.run("a", "", now), alive);
    for (int event : events) {
      now += 3;
      Role role = event % 2 == 0 ? Role.ACTIVE : Role.CANDIDATE;
      switch (event) {
        case 0, 1 -> {
          if (alive.contains(role)) {
            apply(any.ready(role, now), alive);
          }
        }
        case 2, 3 -> {
          if (alive.remove(role)) {
            apply(any.died(role, now), alive);
          }
        }
        case 4 -> {
          if (any.against("b").isEmpty()) {
            apply(any.change("b", now), alive);
          }
        }
        case 5 -> apply(any.back(now), alive);
        case 6 -> {
          if (alive.contains(Role.CANDIDATE)) {
            apply(any.refused(Role.CANDIDATE, "no", now), alive);
          }
        }
        case 7 -> apply(any.tick(new Figures((long) now, 0, (long) now), now), alive);
        default -> apply(any.tick(null, now), alive);
      }
      assertTrue(alive.size() <= 2, "more than two");
    }
    for (int i = 0; i < 20 && any.state() != State.SERVING; i++) {
      now += 40;
      if (alive.contains(Role.CANDIDATE)) {
        apply(any.ready(Role.CANDIDATE, now), alive);
      } else if (alive.contains(Role.ACTIVE)) {
        apply(any.ready(Role.ACTIVE, now), alive);
      }
      apply(any.tick(null, now), alive);
    }
    assertEquals(State.SERVING, any.state());
    assertEquals(List.of(Role.ACTIVE), alive);
  }

  private static void apply(List<Act> acts, List<Role> alive) {
    for (Act act : acts) {
      switch (act.kind()) {
        case START -> {
          assertTrue(!alive.contains(act.role()), "two of one role");
          alive.add(act.role());
        }
        case TERM, KILL -> assertTrue(alive.remove(act.role()), "nothing to end");
        case PROMOTE -> {
          assertTrue(alive.remove(Role.CANDIDATE) && !alive.contains(Role.ACTIVE), "nothing came");
          alive.add(Role.ACTIVE);
        }
        default -> {}
      }
    }
  }
}
