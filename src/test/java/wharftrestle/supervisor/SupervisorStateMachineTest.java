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
import wharftrestle.supervisor.SupervisorStateMachine.Action;
import wharftrestle.supervisor.SupervisorStateMachine.Action.Kind;
import wharftrestle.supervisor.SupervisorStateMachine.AnswerCounts;
import wharftrestle.supervisor.SupervisorStateMachine.Role;
import wharftrestle.supervisor.SupervisorStateMachine.State;

/** Decisions of the supervisor, event by event, with the time passed in. */
class SupervisorStateMachineTest {
  private static final SupervisorStateMachine.Limits LIMITS =
      new SupervisorStateMachine.Limits(10, 30, 0.02, 0.05, 50, 1, 8, 3);

  private final SupervisorStateMachine stateMachine = new SupervisorStateMachine(LIMITS);

  private static List<String> withoutRecords(List<Action> actions) {
    return actions.stream()
        .filter(action -> action.kind() != Kind.RECORD)
        .map(action -> action.kind() + " " + action.role() + " " + action.release())
        .toList();
  }

  private void serveWith(String release) {
    stateMachine.start(release, "", 0);
    stateMachine.onReady(Role.ACTIVE, 1);
    stateMachine.tick(new AnswerCounts(1000, 0, 10), 2);
  }

  @Test
  void change_withoutRegression_isKept() {
    serveWith("a");
    assertEquals(List.of("START CANDIDATE b"), withoutRecords(stateMachine.change("b", 3)));
    assertEquals(
        List.of("TERM ACTIVE a", "PROMOTE CANDIDATE b"),
        withoutRecords(stateMachine.onReady(Role.CANDIDATE, 4)));
    assertEquals(State.PROBATION, stateMachine.state());
    stateMachine.tick(new AnswerCounts(0, 0, 0), 5);
    stateMachine.tick(new AnswerCounts(500, 2, 5), 20);
    assertEquals(State.PROBATION, stateMachine.state());
    stateMachine.tick(new AnswerCounts(900, 2, 9), 35);
    assertEquals(State.SERVING, stateMachine.state());
    assertEquals("b", stateMachine.activeRelease());
    assertEquals(
        List.of("START CANDIDATE a"),
        withoutRecords(stateMachine.rollBack(40)),
        "a later rollback");
  }

  @Test
  void regressionDuringProbation_startsTheFormerReleaseBesideTheNewOne() {
    serveWith("a");
    stateMachine.change("b", 3);
    stateMachine.onReady(Role.CANDIDATE, 4);
    stateMachine.tick(new AnswerCounts(0, 0, 0), 5);
    assertTrue(
        stateMachine.tick(new AnswerCounts(30, 0, 10), 6).isEmpty(), "too few answers to compare");
    assertEquals(
        List.of("START CANDIDATE a"),
        withoutRecords(stateMachine.tick(new AnswerCounts(90, 0, 10), 7)));
    assertTrue(
        stateMachine.lastProblem().contains("10.0% failed, 1.0% before"),
        stateMachine.lastProblem());
    assertEquals(
        List.of("TERM ACTIVE b", "PROMOTE CANDIDATE a"),
        withoutRecords(stateMachine.onReady(Role.CANDIDATE, 8)));
    assertEquals(State.SERVING, stateMachine.state());
    assertEquals("a", stateMachine.activeRelease());
  }

  @Test
  void rollbackFromABadRelease_neverReturnsToIt() {
    serveWith("bad");
    stateMachine.change("a", true, 3);
    assertEquals(
        List.of("PROMOTE CANDIDATE a"),
        withoutRecords(stateMachine.onExit(Role.ACTIVE, 4)),
        "the bad release exits while it is replaced");
    stateMachine.tick(new AnswerCounts(0, 0, 0), 5);
    assertEquals(
        List.of(),
        withoutRecords(stateMachine.tick(new AnswerCounts(90, 0, 60), 7)),
        "there is no baseline to compare with");
    stateMachine.onExit(Role.ACTIVE, 8);
    assertEquals(List.of("START ACTIVE a"), withoutRecords(stateMachine.tick(null, 10)));
  }

  @Test
  void activeExitDuringChange_leavesNoBaselineToCompareWith() {
    serveWith("a");
    stateMachine.change("b", 3);
    stateMachine.onExit(Role.ACTIVE, 4);
    stateMachine.tick(new AnswerCounts(0, 0, 0), 5);
    assertEquals(List.of(), withoutRecords(stateMachine.tick(new AnswerCounts(90, 0, 10), 7)));
    assertEquals("a", stateMachine.fallbackRelease(), "an operator may still roll back");
  }

  @Test
  void candidateThatNeverServes_isKilledAndTheActiveReleaseStays() {
    serveWith("a");
    stateMachine.change("b", 3);
    assertEquals(List.of(), withoutRecords(stateMachine.tick(null, 12)));
    assertEquals(List.of("KILL CANDIDATE b"), withoutRecords(stateMachine.tick(null, 13.5)));
    assertEquals("a", stateMachine.activeRelease());
    stateMachine.change("b", 20);
    assertEquals(
        List.of("KILL CANDIDATE b"),
        withoutRecords(stateMachine.onTakeoverRejected(Role.CANDIDATE, "no ground", 21)));
    assertTrue(stateMachine.lastProblem().contains("no ground"));
    stateMachine.change("b", 30);
    assertEquals(List.of(), withoutRecords(stateMachine.onExit(Role.CANDIDATE, 31)));
    assertEquals(State.SERVING, stateMachine.state());
  }

  @Test
  void activeExitDuringChange_promotesTheCandidate() {
    serveWith("a");
    stateMachine.change("b", 3);
    assertEquals(
        List.of("PROMOTE CANDIDATE b"), withoutRecords(stateMachine.onExit(Role.ACTIVE, 4)));
    assertEquals(State.PROBATION, stateMachine.state());
    assertEquals("a", stateMachine.fallbackRelease());
  }

  @Test
  void repeatedExits_doubleTheBackoffAndThenRollBack() {
    serveWith("a");
    stateMachine.change("b", 3);
    stateMachine.onReady(Role.CANDIDATE, 4);
    stateMachine.tick(null, 40);
    assertEquals(State.SERVING, stateMachine.state());
    double now = 50;
    double[] backoffs = {1, 2};
    for (double backoff : backoffs) {
      stateMachine.onExit(Role.ACTIVE, now);
      assertEquals(List.of(), withoutRecords(stateMachine.tick(null, now + backoff - 0.1)));
      assertEquals(
          List.of("START ACTIVE b"), withoutRecords(stateMachine.tick(null, now + backoff + 0.1)));
      now += backoff + 1;
    }
    stateMachine.onExit(Role.ACTIVE, now);
    assertEquals(List.of("START ACTIVE a"), withoutRecords(stateMachine.tick(null, now + 9)));
  }

  @Test
  void exitDuringProbation_rollsBackAtOnce() {
    serveWith("a");
    stateMachine.change("b", 3);
    stateMachine.onReady(Role.CANDIDATE, 4);
    stateMachine.onExit(Role.ACTIVE, 6);
    assertEquals(List.of("START ACTIVE a"), withoutRecords(stateMachine.tick(null, 7.1)));
  }

  @Test
  void rollBackDuringChange_killsTheCandidate() {
    serveWith("a");
    stateMachine.change("b", 3);
    assertEquals(List.of("KILL CANDIDATE b"), withoutRecords(stateMachine.rollBack(4)));
    assertEquals("a", stateMachine.activeRelease());
    assertEquals(
        List.of(), withoutRecords(stateMachine.rollBack(5)), "there is nothing to go back to");
  }

  /**
   * With any sequence of events there are at most two daemons, each role is taken at most once, and
   * the host comes back to serving.
   */
  @Property(tries = 2000)
  void anyEvents_neverMoreThanTwoDaemonsAndServingIsReachable(
      @ForAll @Size(max = 60) List<@IntRange(max = 8) Integer> events) {
    SupervisorStateMachine machine = new SupervisorStateMachine(LIMITS);
    List<Role> running = new ArrayList<>();
    double now = 0;
    apply(machine.start("a", "", now), running);
    for (int event : events) {
      now += 3;
      Role role = event % 2 == 0 ? Role.ACTIVE : Role.CANDIDATE;
      switch (event) {
        case 0, 1 -> {
          if (running.contains(role)) {
            apply(machine.onReady(role, now), running);
          }
        }
        case 2, 3 -> {
          if (running.remove(role)) {
            apply(machine.onExit(role, now), running);
          }
        }
        case 4 -> {
          if (machine.obstacle("b").isEmpty()) {
            apply(machine.change("b", now), running);
          }
        }
        case 5 -> apply(machine.rollBack(now), running);
        case 6 -> {
          if (running.contains(Role.CANDIDATE)) {
            apply(machine.onTakeoverRejected(Role.CANDIDATE, "no", now), running);
          }
        }
        case 7 -> apply(machine.tick(new AnswerCounts((long) now, 0, (long) now), now), running);
        default -> apply(machine.tick(null, now), running);
      }
      assertTrue(running.size() <= 2, "more than two daemons");
    }
    for (int i = 0; i < 20 && machine.state() != State.SERVING; i++) {
      now += 40;
      if (running.contains(Role.CANDIDATE)) {
        apply(machine.onReady(Role.CANDIDATE, now), running);
      } else if (running.contains(Role.ACTIVE)) {
        apply(machine.onReady(Role.ACTIVE, now), running);
      }
      apply(machine.tick(null, now), running);
    }
    assertEquals(State.SERVING, machine.state());
    assertEquals(List.of(Role.ACTIVE), running);
  }

  private static void apply(List<Action> actions, List<Role> running) {
    for (Action action : actions) {
      switch (action.kind()) {
        case START -> {
          assertTrue(!running.contains(action.role()), "two daemons of one role");
          running.add(action.role());
        }
        case TERM, KILL -> assertTrue(running.remove(action.role()), "no daemon to end");
        case PROMOTE -> {
          assertTrue(
              running.remove(Role.CANDIDATE) && !running.contains(Role.ACTIVE),
              "no candidate to promote");
          running.add(Role.ACTIVE);
        }
        default -> {}
      }
    }
  }
}
