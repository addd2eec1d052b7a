package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static wharftrestle.RecordingHost.Phase.ATTACHED;
import static wharftrestle.RecordingHost.Phase.AT_CALL;
import static wharftrestle.RecordingHost.Phase.CALLING;
import static wharftrestle.RecordingHost.Phase.HELD;
import static wharftrestle.RecordingHost.Phase.OVER;
import static wharftrestle.RecordingHost.Phase.RUNNING;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import wharftrestle.admission.Admission;

/** One section a concern of the module, in its order. */
class GroupEdfSchedulerTest {

  /** Runs requests of a class one after another, each for the given time. */
  private static void teach(RecordingHost host, int type, int runs, double seconds) {
    for (int i = 0; i < runs; i++) {
      long id = host.arriveAndSettle(type);
      assertEquals(RUNNING, host.phase(id));
      host.pass(seconds);
      host.end(id, Admission.Outcome.SUCCESS);
    }
  }

  private static RecordingHost.Requests hinted(RecordingHost host, double cost) {
    return host.request(Sites.READ).cost(cost);
  }

  // ---- Estimate ----

  @Test
  void quickFailuresDoNotMakeWorkLookShort() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    teach(host, Sites.SAVE, 20, 0.5);
    for (int i = 0; i < 3; i++) {
      long id = host.arriveAndSettle(Sites.SAVE);
      host.pass(0.001);
      host.end(id, Admission.Outcome.FAILURE);
    }
    // Half a second of work does not fit into 0.4 s of patience.
    long id = host.arrive(host.request(Sites.SAVE).patience(0.4).build());
    host.settle();
    assertEquals("refused", host.answer(id));
  }

  @Test
  void timeAtCallsIsKeptApartFromTimeOnCores() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    RecordingHost host = new RecordingHost(site.build());
    for (int i = 0; i < 30; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      host.pass(0.1);
      host.needCall(id);
      host.pass(i < 10 ? 0.05 : 1.0);
      host.endCall(id, Admission.Outcome.SUCCESS);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    assertTrue(host.healthy, "slow calls are not this machine's illness");
  }

  // ---- Order ----

  @Test
  void shortestStartsFirstWithinAGroupAndGroupsByDeadline() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long a = host.arriveAndSettle(Sites.SAVE);
    long b = host.arriveAndSettle(Sites.SAVE);
    // Time left 2.0, 2.6 and 1.95 s: all within 1.4 of the earliest, so the shortest of them is
    // first.
    long mid = host.arrive(hinted(host, 0.20).build());
    long tall = host.arrive(hinted(host, 0.26).build());
    long first = host.arrive(hinted(host, 0.195).build());
    long far = host.arrive(hinted(host, 0.60).build());
    host.settle();
    host.pass(0.05);
    host.end(a, Admission.Outcome.SUCCESS);
    host.end(b, Admission.Outcome.SUCCESS);
    host.end(first, Admission.Outcome.SUCCESS);
    host.end(mid, Admission.Outcome.SUCCESS);
    assertEquals(
        List.of(
            "start " + a,
            "start " + b,
            "start " + first,
            "start " + mid,
            "start " + tall,
            "start " + far),
        host.startsLogged());
  }

  @Test
  void anEarlierDeadlineOutsideTheGroupBeatsAShorterRun() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long a = host.arriveAndSettle(Sites.SAVE);
    long b = host.arriveAndSettle(Sites.SAVE);
    long old = host.arrive(hinted(host, 0.15).lay(1.2).build());
    long brief = host.arrive(hinted(host, 0.1).build());
    host.settle();
    host.end(a, Admission.Outcome.SUCCESS);
    // 0.3 s left against 1.0 s: the longer run goes first.
    assertEquals(RUNNING, host.phase(old));
    assertEquals(HELD, host.phase(brief));
    host.end(b, Admission.Outcome.SUCCESS);
    assertEquals(RUNNING, host.phase(brief));
  }

  @Test
  void allOverdueRequestsAreOneGroup() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long a = host.arriveAndSettle(Sites.LONG);
    host.arriveAndSettle(Sites.LONG);
    // Both deadlines (10 x cost) have passed, though the class waits longer: shortest first.
    long more = host.arrive(host.request(Sites.LONG).cost(0.1).lay(1.5).build());
    long less = host.arrive(host.request(Sites.LONG).cost(0.05).lay(0.9).build());
    host.settle();
    host.end(a, Admission.Outcome.SUCCESS);
    assertEquals(RUNNING, host.phase(less));
    assertEquals(HELD, host.phase(more));
  }

  // ---- Refusal ----

  @Test
  void whatCannotFinishInTimeIsRefusedAtOnce() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long late = host.arrive(hinted(host, 0.5).lay(1.7).build());
    long fine = host.arrive(hinted(host, 0.5).lay(0.2).build());
    host.settle();
    assertEquals("refused", host.answer(late));
    assertEquals(RUNNING, host.phase(fine));
  }

  @Test
  void anIdleCoreMayTryWhatTheEstimateHoldsSlightlyTooLong() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long large = host.arrive(hinted(host, 2.3).build());
    host.settle();
    assertEquals(RUNNING, host.phase(large));
    host.arriveAndSettle(Sites.LONG);
    long more = host.arrive(hinted(host, 2.3).build());
    host.settle();
    assertEquals("refused", host.answer(more));
  }

  @Test
  void theLeastWorthForItsWorkIsTurnedAwayFirst() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    List<Long> reads = new ArrayList<>();
    List<Long> saves = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      reads.add(host.arrive(host.request(Sites.READ).build()));
      saves.add(host.arrive(host.request(Sites.SAVE).build()));
    }
    host.settle();
    long saved = saves.stream().filter(id -> host.answer(id).isEmpty()).count();
    long read = reads.stream().filter(id -> host.answer(id).isEmpty()).count();
    assertEquals(12, saved);
    assertTrue(read < 6, "reads kept: " + read);
  }

  @Test
  void trafficBeyondATenantsShareIsTurnedAwayFirst() {
    Sites.Builder site = Sites.site();
    site.tenants = List.of(new Admission.Tenant("a", 0.5, 0.5), new Admission.Tenant("b", 50, 0.5));
    site.overShareWorth = 0.1;
    RecordingHost host = new RecordingHost(site.build());
    List<Long> over = new ArrayList<>();
    List<Long> within = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      over.add(host.arrive(host.request(Sites.READ).tenant(0).build()));
    }
    for (int i = 0; i < 6; i++) {
      within.add(host.arrive(host.request(Sites.READ).tenant(1).build()));
    }
    host.settle();
    assertEquals(6, within.stream().filter(id -> host.answer(id).isEmpty()).count());
    assertTrue(over.stream().anyMatch(id -> host.answer(id).equals("refused")));
  }

  /** A refusal of what others may still serve in time. */
  private static void untilOneIsRefused(RecordingHost host) {
    int refused = host.refusals();
    while (host.refusals() == refused) {
      host.arriveAndSettle(Sites.READ);
    }
  }

  private static RecordingHost pausing() {
    Sites.Builder site = Sites.site();
    site.preemption = Admission.Preemption.PAUSE;
    return new RecordingHost(site.build());
  }

  @Test
  void pausableWorkWithoutAPurposeIsStopped() {
    RecordingHost host = pausing();
    long gone = host.arriveAndSettle(Sites.READ);
    host.gone(gone);
    assertEquals(List.of("stop " + gone), host.stops());
    host.stopped(gone);
    long late = host.arriveAndSettle(Sites.READ);
    host.pass(2.1);
    assertEquals(
        "refused", host.answer(late), "its aim is lost: at once, with advice, though not yet due");
    assertTrue(host.lastNowhereElse && host.lastAdvice == 1);
    assertTrue(host.stops().contains("stop " + late));
  }

  @Test
  void aKeyedRunOutlivesItsFirstAnswerForTheTryThatComesAgain() {
    RecordingHost host = pausing();
    long first = host.arrive(host.request(Sites.KEYED).subject("k").patience(0.4).build(), true);
    host.pass(0.5);
    assertEquals("failed", host.answer(first));
    assertEquals(List.of(), host.stops());
    long again = host.arrive(host.request(Sites.KEYED).subject("k").repeatOf(first).build(), true);
    assertEquals(ATTACHED, host.phase(again));
    host.pass(1.6);
    assertTrue(host.stops().contains("stop " + first), "past its aim it serves nobody");
  }

  @Test
  void aFurtherTryIsAsOldAsItsWaitTells() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    for (int i = 0; i < 3; i++) {
      long id = host.arrive(host.request(Sites.SAVE).patience(3).build(), true);
      host.pass(0.2);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    // The deadline is 6 s and the aim 2 s: waited for 3.9 s, a last try is 2.1 s old.
    long last = host.arrive(host.request(Sites.SAVE).further().patience(3.9).build(), true);
    assertEquals("refused", host.answer(last));
    long soon = host.arrive(host.request(Sites.SAVE).further().patience(5.9).build(), true);
    assertEquals(RUNNING, host.phase(soon));
    host.end(soon, Admission.Outcome.SUCCESS);
    // Passed on after 1.9 s of the 3 s of a first try.
    long passedOn = host.arrive(host.request(Sites.SAVE).further().patience(1.1).build(), true);
    assertEquals("refused", host.answer(passedOn));
    long again = host.arrive(host.request(Sites.SAVE).further().patience(3).build(), true);
    assertEquals(RUNNING, host.phase(again));
  }

  @Test
  void whereFirstTriesAreWaitedForDifferentlyAShortWaitTellsNoAge() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    for (double waits : new double[] {3, 0.5, 3, 0.5}) {
      long id = host.arrive(host.request(Sites.SAVE).patience(waits).build(), true);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    long hasty = host.arrive(host.request(Sites.SAVE).further().patience(0.5).build(), true);
    assertEquals(RUNNING, host.phase(hasty));
  }

  @Test
  void aGoneCallersRequestIsNeverStarted() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long a = host.arriveAndSettle(Sites.SAVE);
    host.arriveAndSettle(Sites.SAVE);
    long waits = host.arriveAndSettle(Sites.SAVE);
    host.gone(waits);
    host.end(a, Admission.Outcome.SUCCESS);
    assertEquals(OVER, host.phase(waits));
    assertEquals(2, host.startsLogged().size());
  }

  @Test
  void workWithoutAPurposeIsStoppedWherePossible() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long gone = host.arriveAndSettle(Sites.READ);
    host.gone(gone);
    assertTrue(host.log.contains("stop " + gone));
    long late = host.arriveAndSettle(Sites.READ);
    host.pass(2.1);
    assertEquals("refused", host.answer(late));
    assertTrue(host.log.contains("stop " + late));
    host.end(late, Admission.Outcome.WITHDRAWN);
    long effect = host.arriveAndSettle(Sites.UNSAFE);
    host.pass(2.1);
    assertEquals("failed", host.answer(effect), "an effect that ran is never refused");
  }

  @Test
  void aLateAnswerThatStillPaysRunsOn() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long id = host.arriveAndSettle(Sites.LONG);
    host.pass(10);
    assertEquals("", host.answer(id));
    host.pass(10.1);
    assertEquals("failed", host.answer(id));
  }

  @Test
  void whateverHangsIsAnsweredWhenDue() {
    for (Admission.Preemption preemption : Admission.Preemption.values()) {
      Sites.Builder site = Sites.site();
      site.preemption = preemption;
      RecordingHost host = new RecordingHost(site.build());
      for (int i = 0; i < 30; i++) {
        host.arriveAndSettle(i % 4);
        host.pass(0.05);
      }
      host.pass(30);
      host.known.values().forEach(k -> assertTrue(k.answered));
    }
  }

  @Test
  void aRetryStormAsksNotToTryElsewhere() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    untilOneIsRefused(host);
    assertFalse(host.lastNowhereElse);
    for (int i = 0; i < 50; i++) {
      host.arrive(hinted(host, 3).further().build());
    }
    host.settle();
    assertTrue(host.lastNowhereElse);
    // It lets go by itself.
    for (int i = 0; i < 60; i++) {
      host.arrive(hinted(host, 3).build());
    }
    host.settle();
    untilOneIsRefused(host);
    assertFalse(host.lastNowhereElse);
  }

  @Test
  void refusalsAdviseToStayAwayWhileWorkIsInHand() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.arrive(hinted(host, 3).build());
    host.settle();
    double idle = host.lastAdvice;
    for (int i = 0; i < 40; i++) {
      host.arrive(host.request(Sites.READ).build());
    }
    host.settle();
    assertTrue(
        host.lastAdvice > 0 && host.lastAdvice < 0.2, "time left for its aim: " + host.lastAdvice);
    host.arrive(hinted(host, 3).build(), true);
    assertTrue(host.lastAdvice > idle + 0.1, "advice " + host.lastAdvice + " against " + idle);
  }

  @Test
  void refusalsAdviseToStayAwayWhereRequestsStandUnread() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    for (int i = 0; i < 40; i++) {
      host.arrive(hinted(host, 3).lay(1).build(), true);
    }
    assertTrue(host.lastAdvice > 0.8, "advice " + host.lastAdvice);
  }

  @Test
  void whereFurtherTriesAreUnmarkedManyRefusalsTellTheStorm() {
    Sites.Builder site = Sites.site();
    site.marksRetry = false;
    RecordingHost host = new RecordingHost(site.build());
    for (int i = 0; i < 40; i++) {
      host.arrive(hinted(host, 3).build());
      host.settle();
    }
    assertTrue(host.lastNowhereElse);
    // It lets go by itself.
    for (int i = 0; i < 40; i++) {
      host.end(host.arriveAndSettle(Sites.READ), Admission.Outcome.SUCCESS);
    }
    untilOneIsRefused(host);
    assertFalse(host.lastNowhereElse);
  }

  // ---- Running limit ----

  @Test
  void theLimitStartsAtTheCoresAndHoldsWhileTheyAreBusy() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    for (int i = 0; i < 5; i++) {
      host.arriveAndSettle(Sites.LONG);
    }
    host.pass(2);
    assertEquals(2, host.in(RUNNING).size());
  }

  @Test
  void theLimitClimbsWhileCoresIdleAndWorkWaitsButNeverToTheCrowd() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.gauges = new double[] {0.3, 0};
    for (int i = 0; i < 25; i++) {
      host.arrive(host.request(Sites.LONG).cost(0.2).build());
    }
    host.settle();
    host.pass(1);
    assertTrue(host.in(RUNNING).size() >= 4, "running " + host.in(RUNNING).size());
    host.pass(4);
    assertTrue(host.in(RUNNING).size() < 2 * 6, "running " + host.in(RUNNING).size());
  }

  @Test
  void aColdMachineBearsASmallerCrowd() {
    Sites.Builder site = Sites.site();
    site.justStarted = true;
    RecordingHost host = new RecordingHost(site.build());
    host.gauges = new double[] {0.3, 0};
    for (int i = 0; i < 50; i++) {
      host.arrive(host.request(Sites.LONG).cost(0.2).build());
    }
    host.settle();
    host.pass(1);
    // A share of speed of 0.25 to 0.33: 2 x (1 + 5 x 0.33) = 5.3 dies, 0.7 of it is the most.
    assertTrue(host.in(RUNNING).size() <= 3, "running " + host.in(RUNNING).size());
  }

  // ---- Calls ----

  private static RecordingHost calling(double share) {
    Sites.Builder site = Sites.site();
    site.calls = true;
    site.callShare = share;
    site.cores = 4;
    return new RecordingHost(site.build());
  }

  @Test
  void callsInHandStayUnderTheShareOverItsSpan() {
    for (double share : new double[] {0.3, 1, 4}) {
      RecordingHost host = calling(share);
      int passed = 0;
      double from = host.now;
      for (int step = 0; step < 2000; step++) {
        if (step % 10 == 0) {
          host.arriveAndSettle(Sites.READ);
        }
        List<Long> running = host.in(RUNNING);
        if (!running.isEmpty() && step % 5 == 0) {
          host.needCall(running.get(0));
        }
        List<Long> calls = host.in(CALLING);
        if (!calls.isEmpty() && step % 23 == 0) {
          host.endCall(calls.get(0), Admission.Outcome.SUCCESS);
          host.end(calls.get(0), Admission.Outcome.SUCCESS);
          passed++;
        }
        for (long id : host.in(AT_CALL)) {
          if (host.known.get(id).answered) {
            host.end(id, Admission.Outcome.WITHDRAWN);
          }
        }
        for (long id : host.in(CALLING)) {
          if (host.known.get(id).answered) {
            host.end(id, Admission.Outcome.WITHDRAWN);
          }
        }
        host.pass(0.01);
      }
      double mean = host.callSeconds / (host.now - from);
      assertTrue(mean <= Math.max(share, 0.3), "mean in hand " + mean + " of " + share);
      assertTrue(passed > 0, "no call got through at a share of " + share);
    }
  }

  @Test
  void anEffectfulCallIsRepeatedOnlyWhenItProvablyNeverRan() {
    RecordingHost host = calling(10);
    long id = host.arriveAndSettle(Sites.UNSAFE);
    host.needCall(id);
    host.endCall(id, Admission.Outcome.UNREACHABLE);
    host.pass(0.3);
    assertEquals(CALLING, host.phase(id));
    host.endCall(id, Admission.Outcome.TIMED_OUT);
    host.pass(0.5);
    assertEquals("failed", host.answer(id));
  }

  @Test
  void aSafeCallIsRepeatedWhileItStillPays() {
    RecordingHost host = calling(10);
    long id = host.arriveAndSettle(Sites.READ);
    host.needCall(id);
    host.endCall(id, Admission.Outcome.FAILURE);
    host.pass(0.3);
    assertEquals(CALLING, host.phase(id));
  }

  @Test
  void whatWaitsAtASlowDependencyKeepsOthersUnstarted() {
    RecordingHost host = calling(10);
    for (int i = 0; i < 40; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      if (host.phase(id) == RUNNING) {
        host.needCall(id);
      }
    }
    // Five calls may be in hand; about as many as there are cores wait for their turn.
    assertTrue(host.in(AT_CALL).size() + host.in(CALLING).size() <= 5 + 4);
    assertTrue(host.in(HELD).size() > 0);
  }

  @Test
  void aCallThatWillHardlyEndHoldsItsShareNoLonger() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    RecordingHost host = new RecordingHost(site.build());
    for (int i = 0; i < 40; i++) { // calls of 0.05 s
      long id = host.arriveAndSettle(Sites.READ);
      host.needCall(id);
      host.endCall(id, Admission.Outcome.SUCCESS);
      host.pass(0.1);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    long safe = host.arriveAndSettle(Sites.READ);
    host.needCall(safe);
    assertEquals(0.5, host.known.get(safe).notPast - host.now, 0.1, "it may be made again");
    long once = host.arriveAndSettle(Sites.KEYED);
    host.needCall(once);
    assertEquals(1.0, host.known.get(once).notPast - host.now, 0.2, "its request is lost with it");
  }

  @Test
  void callsThatNeverEndOrBreakTakeNoneOfTheShareFromOthers() {
    RecordingHost host = calling(10);
    for (int i = 0; i < 200; i++) {
      long id = host.arriveAndSettle(Sites.UNSAFE);
      host.needCall(id);
      assertEquals(CALLING, host.phase(id), "what broke is over below and does not linger");
      host.endCall(id, Admission.Outcome.BROKEN);
      host.end(id, Admission.Outcome.WITHDRAWN);
    }
    for (int i = 0; i < 100; i++) {
      long id = host.arriveAndSettle(Sites.UNSAFE);
      host.needCall(id);
      host.known.get(id).callMayHaveRun = true;
      host.known.get(id).phase = i % 10 == 0 ? AT_CALL : RUNNING;
      host.module.callCompleted(
          host.now,
          id,
          i % 10 == 0 ? Admission.Outcome.TIMED_OUT : Admission.Outcome.SUCCESS,
          i % 10 == 0 ? 5 : 0.05);
      host.pass(0.1);
      host.end(id, i % 10 == 0 ? Admission.Outcome.WITHDRAWN : Admission.Outcome.SUCCESS);
    }
    long next = host.arriveAndSettle(Sites.READ);
    host.needCall(next);
    assertEquals(0.6, host.known.get(next).notPast - host.now, 0.2, "calls are as quick as before");
  }

  @Test
  void aRunGoesOnWithoutACallThatWouldCostItsAim() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    site.skipWorth = 0.6;
    RecordingHost host = new RecordingHost(site.build());
    long id = host.arriveAndSettle(Sites.READ);
    host.pass(0.5);
    host.needCall(id);
    for (double left = host.known.get(id).notPast - host.now;
        host.phase(id) == CALLING;
        left = host.known.get(id).notPast - host.now) {
      host.pass(left);
      host.endCall(id, Admission.Outcome.TIMED_OUT);
      host.pass(0.2);
    }
    assertEquals(RUNNING, host.phase(id));
    assertTrue(host.log.contains("skip " + id));
    host.end(id, Admission.Outcome.SUCCESS);
    assertEquals("SUCCESS", host.answer(id));
  }

  @Test
  void whatMayLeaveItsCallOutDoesSoAtOnceWhereCallsAreJammed() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    site.callShare = 2;
    site.skipWorth = 0.6;
    RecordingHost host = new RecordingHost(site.build());
    for (int i = 0;
        i < 8;
        i++) { // the first calls never end; what stands behind them must not wait for its aim
      long id = host.arriveAndSettle(Sites.READ);
      assertEquals(RUNNING, host.phase(id), "begun, jam or not: " + host.log);
      host.needCall(id);
      host.in(RUNNING).forEach(skipped -> host.end(skipped, Admission.Outcome.SUCCESS));
    }
    assertTrue(
        host.log.stream().filter(line -> line.startsWith("skip ")).count() >= 5,
        host.log.toString());
  }

  @Test
  void runsThatSeemOverdueAreNoIllnessWhileOthersEndInTime() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.gauges = new double[0];
    teach(host, Sites.LONG, 25, 0.1);
    long waits = host.arriveAndSettle(Sites.LONG); // its command has yet to cross the socket
    for (int i = 0; i < 50; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      host.pass(0.1);
      host.end(id, Admission.Outcome.SUCCESS);
      assertTrue(host.healthy, "runs end as they always did");
    }
    host.end(waits, Admission.Outcome.SUCCESS);
  }

  @Test
  void aFewLongRunsAmongShortOnesAreNoIllness() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.gauges = new double[0];
    teach(host, Sites.LONG, 80, 0.02);
    long hangs = host.arriveAndSettle(Sites.LONG);
    for (int i = 0; i < 44; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      host.pass(i % 4 == 3 ? 0.08 : 0.02); // their mean is 1.75 times the least seen
      host.end(id, Admission.Outcome.SUCCESS);
      assertTrue(host.healthy, "after " + i + " runs");
    }
    host.end(hangs, Admission.Outcome.SUCCESS);
  }

  @Test
  void aSlowDependencyIsGivenFewerCallsAtOnce() {
    RecordingHost host = calling(20);
    for (int i = 0; i < 30; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      host.needCall(id);
      host.known.get(id).phase = RUNNING;
      host.module.callCompleted(host.now, id, Admission.Outcome.SUCCESS, i < 10 ? 0.02 : 1.0);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    for (int i = 0; i < 8; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      if (host.phase(id) == RUNNING) {
        host.needCall(id);
      }
    }
    assertEquals(4, host.in(CALLING).size());
  }

  @Test
  void withAShareBelowOneWhatWaitsForTheBudgetIsRefusedUnstarted() {
    RecordingHost host = calling(0.4);
    for (int i = 0; i < 25; i++) {
      long id = host.arriveAndSettle(Sites.READ);
      host.pass(0.1);
      host.needCall(id);
      host.pass(0.3);
      host.known.get(id).phase = RUNNING;
      host.module.callCompleted(host.now, id, Admission.Outcome.SUCCESS, 0.3);
      host.end(id, Admission.Outcome.SUCCESS);
      host.pass(4);
    }
    // The budget of 0.7 call-seconds is full: it bears some calls of 0.3 s, the rest would wait
    // past the aim.
    for (int i = 0; i < 8; i++) {
      long id = host.arriveAndSettle(Sites.READ);
      if (host.phase(id) == RUNNING) {
        host.needCall(id);
      }
    }
    int kept = host.in(HELD).size() + host.in(AT_CALL).size() + host.in(CALLING).size();
    assertTrue(kept >= 1 && kept <= 4, "kept " + kept);
  }

  // ---- Repeats ----

  @Test
  void aKeyedRequestIsKeptBeforeItRunsAndItsRepeatAttached() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long a = host.arrive(host.request(Sites.KEYED).subject("k").lay(0.5).build());
    long b = host.arrive(host.request(Sites.KEYED).subject("k").repeatOf(a).build());
    host.settle();
    assertTrue(host.log.indexOf("keep " + a) < host.log.indexOf("start " + a));
    assertTrue(host.known.get(a).keyUntil >= host.known.get(a).arrived + 12);
    assertEquals(ATTACHED, host.phase(b));
    host.end(a, Admission.Outcome.SUCCESS);
    host.end(b, Admission.Outcome.SUCCESS);
    host.pass(11);
    long c = host.arrive(host.request(Sites.KEYED).subject("k").repeatOf(a).build());
    host.settle();
    assertEquals(ATTACHED, host.phase(c));
  }

  @Test
  void aRepeatOfOneThatNeverRanTakesItsPlace() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.arriveAndSettle(Sites.SAVE);
    host.arriveAndSettle(Sites.SAVE);
    long a = host.arrive(host.request(Sites.KEYED).subject("k").build());
    host.settle();
    host.gone(a);
    assertTrue(host.log.contains("release " + a));
    long b = host.arrive(host.request(Sites.KEYED).subject("k").repeatOf(a).build());
    long c = host.arrive(host.request(Sites.KEYED).subject("k").repeatOf(a).build());
    host.settle();
    assertEquals(HELD, host.phase(b));
    assertEquals(ATTACHED, host.phase(c));
  }

  @Test
  void anUnknownEarlierTryIsTakenToHaveRun() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long a = host.arrive(host.request(Sites.KEYED).subject("k").repeatOf(999_999).build());
    host.settle();
    assertEquals(ATTACHED, host.phase(a));
    host.pass(7);
    assertEquals("failed", host.answer(a));
  }

  @Test
  void withoutRoomForItsKeyAKeyedRequestIsRefusedUnstarted() {
    Sites.Builder site = Sites.site();
    site.memory = 200;
    site.keyMemory = 60;
    RecordingHost host = new RecordingHost(site.build());
    List<Long> ids = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      ids.add(host.arrive(host.request(Sites.KEYED).subject("k" + i).memory(5).build()));
      host.settle();
    }
    assertEquals("refused", host.answer(ids.get(3)));
    assertTrue(
        host.log.stream().noneMatch(l -> l.startsWith("release")), "a needed entry was given up");
  }

  @Test
  void readsShareAnswersOnlyWhereAllowed() {
    Sites.Builder site = Sites.site();
    RecordingHost strict = new RecordingHost(site.build());
    long a = strict.arrive(strict.request(Sites.READ).subject("s").build());
    long b = strict.arrive(strict.request(Sites.READ).subject("s").repeatOf(a).build());
    strict.settle();
    assertEquals(RUNNING, strict.phase(b));
    site.shareFor = 1;
    RecordingHost sharing = new RecordingHost(site.build());
    long c = sharing.arrive(sharing.request(Sites.READ).subject("s").build());
    long d = sharing.arrive(sharing.request(Sites.READ).subject("s").repeatOf(c).build());
    sharing.settle();
    assertEquals(ATTACHED, sharing.phase(d));
  }

  // ---- Memory ----

  @Test
  void aBatchOfManyArrivalsFitsTheMemory() {
    Sites.Builder site = Sites.site();
    site.memory = 500;
    RecordingHost host = new RecordingHost(site.build());
    for (int i = 0; i < 500; i++) {
      host.arrive(host.request(i % 5).memory(20).subject("k" + i).build());
    }
    host.settle();
    assertTrue(host.in(RUNNING).size() == 2);
  }

  @Test
  void whileTwoProcessesServeEachKeepsToItsPart() {
    Sites.Builder site = Sites.site();
    site.memory = 250;
    RecordingHost host = new RecordingHost(site.build());
    host.module.quotaChanged(host.now, 0.5);
    for (int i = 0; i < 2; i++) {
      host.arrive(host.request(Sites.READ).memory(20).build());
    }
    host.settle();
    assertEquals(1, host.in(RUNNING).size(), "a second one would take more than half");
    host.module.quotaChanged(host.now, 1);
    host.settle();
    assertEquals(2, host.in(RUNNING).size());
  }

  // ---- Drain ----

  @Test
  void nothingRunsThatCameAfterTheGraceAndAllIsAnsweredBeforeTheStop() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.arriveAndSettle(Sites.LONG);
    host.leave(5);
    assertFalse(host.healthy);
    long soon = host.arriveAndSettle(Sites.READ);
    assertEquals(RUNNING, host.phase(soon));
    host.pass(1.7);
    long close = host.arriveAndSettle(Sites.READ);
    assertEquals("refused", host.answer(close), "the notice may have been heard late");
    host.pass(0.8);
    long late = host.arriveAndSettle(Sites.READ);
    assertEquals("refused", host.answer(late));
    long early = host.arrive(host.request(Sites.LONG).lay(1).cost(0.1).build());
    host.settle();
    assertFalse(host.answer(early).equals("refused"));
    host.pass(2.5);
    host.known.values().forEach(k -> assertTrue(k.answered));
  }

  // ---- Health ----

  @Test
  void aMachineThatFailsFastLeavesTheListAndTriesAgain() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    teach(host, Sites.SAVE, 10, 0.2);
    for (int i = 0; i < 12; i++) {
      long id = host.arriveAndSettle(Sites.SAVE);
      if (host.phase(id) == RUNNING) {
        host.end(id, Admission.Outcome.FAILURE);
      }
    }
    assertFalse(host.healthy);
    long probe = host.arriveAndSettle(Sites.SAVE);
    long turned = host.arriveAndSettle(Sites.SAVE);
    assertEquals(RUNNING, host.phase(probe), "one run at a time goes on");
    assertEquals("refused", host.answer(turned));
    assertEquals(1.0, host.lastAdvice);
    host.pass(0.2);
    host.end(probe, Admission.Outcome.SUCCESS);
    host.pass(6);
    assertTrue(host.healthy, "it must let go by itself");
  }

  @Test
  void aMachineThatDragsLeavesTheList() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    teach(host, Sites.LONG, 20, 0.2);
    host.arriveAndSettle(Sites.LONG);
    host.arriveAndSettle(Sites.LONG);
    host.pass(0.4);
    assertTrue(host.healthy);
    host.arriveAndSettle(Sites.LONG);
    host.pass(1.5);
    assertTrue(
        host.healthy, "two runs that took 4.4 times what was expected, the usual runs counted in");
    host.pass(1);
    host.arriveAndSettle(Sites.LONG);
    assertFalse(host.healthy);
  }

  @Test
  void aMachineWhoseRunsAllGrowSlowLeavesTheListButNotForOneLongRun() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    teach(host, Sites.LONG, 25, 0.2);
    host.gauges = new double[0];
    long one = host.arriveAndSettle(Sites.LONG);
    // The host's clock is left alone: only the told run time is long, 40 times the usual.
    host.known.get(one).phase = OVER;
    host.known.get(one).answered = true;
    host.module.completed(host.now, one, Admission.Outcome.SUCCESS, 8);
    host.settle();
    assertTrue(host.healthy);
    for (int i = 0; i < 14; i++) {
      long id = host.arriveAndSettle(Sites.LONG);
      host.known.get(id).phase = OVER;
      host.known.get(id).answered = true;
      host.module.completed(host.now, id, Admission.Outcome.SUCCESS, 1);
      host.settle();
    }
    assertFalse(host.healthy);
  }

  @Test
  void runsStretchedByACrowdAreNoIllness() {
    for (double times : new double[] {2.7, 3.9}) {
      RecordingHost host = new RecordingHost(Sites.site().build());
      teach(host, Sites.LONG, 25, 0.2);
      host.gauges = new double[0];
      for (int i = 0; i < 40; i++) {
        long id = host.arriveAndSettle(Sites.LONG);
        host.known.get(id).phase = OVER;
        host.known.get(id).answered = true;
        host.module.completed(host.now, id, Admission.Outcome.SUCCESS, 0.2 * times);
        host.settle();
      }
      assertEquals(times < 3, host.healthy, times + " times the least seen");
    }
  }

  @Test
  void aCrowdOfItsOwnExplainsHowSlowItsRunsAre() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    teach(host, Sites.LONG, 25, 0.2);
    host.gauges =
        new double[] {0.1, 0}; // cores idle, as runs wait for something else: the limit climbs
    for (int i = 0; i < 60; i++) {
      host.arrive(host.request(Sites.LONG).build());
    }
    host.settle();
    for (int i = 0; i < 40 && host.in(RUNNING).size() < 6; i++) {
      host.pass(0.02);
    }
    assertEquals(6, host.in(RUNNING).size(), "three a core");
    host.gauges = new double[0];
    for (int i = 0; i < 30; i++) {
      long id = host.in(RUNNING).get(0);
      host.known.get(id).phase = OVER;
      host.known.get(id).answered = true;
      host.module.completed(host.now, id, Admission.Outcome.SUCCESS, 0.2 * 3.9);
      host.settle();
    }
    assertTrue(host.healthy, "3.9 times the least seen, with three a core");
  }

  @Test
  void oneLongRunOnTwoCoresIsNoIllnessButTwoThatHangAre() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    host.gauges = new double[0];
    teach(host, Sites.LONG, 25, 0.2);
    host.arriveAndSettle(Sites.LONG);
    host.pass(1);
    host.settle();
    assertTrue(host.healthy, "one run at five times its estimate");
    host.arriveAndSettle(Sites.LONG);
    host.pass(3);
    host.settle();
    assertFalse(host.healthy);
  }

  @Test
  void aMachineThatReadsLateAndRefusesAllLeavesTheListButNotInARetryStorm() {
    for (boolean further : new boolean[] {false, true}) {
      RecordingHost host = new RecordingHost(Sites.site().build());
      for (int i = 0; i < 60; i++) {
        RecordingHost.Requests request = hinted(host, 3).lay(2);
        host.arrive(further && i % 4 == 0 ? request.further().build() : request.build());
        host.settle();
        host.pass(0.05);
      }
      assertEquals(further, host.healthy);
      if (!further) {
        host.pass(8);
        assertTrue(host.healthy, "it must let go by itself");
      }
    }
  }

  @Test
  void healthStaysBadAfterTheNoticeToLeaveInTheInstantASpellEnds() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    teach(host, Sites.SAVE, 10, 0.2);
    for (int i = 0; i < 12; i++) {
      long id = host.arriveAndSettle(Sites.SAVE);
      if (host.phase(id) == RUNNING) {
        host.end(id, Admission.Outcome.FAILURE);
      }
    }
    assertFalse(host.healthy);
    host.now += 6;
    host.module.draining(host.now, 5);
    host.settle();
    assertFalse(host.healthy);
  }

  @Test
  void whereCallsAreShortALargeRequestIsWorthMoreForItsCall() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    site.callShare = 2;
    site.worthByWork = true;
    RecordingHost host = new RecordingHost(site.build());
    for (int i = 0; i < 30; i++) {
      long id = host.arrive(host.request(Sites.READ).cost(0.01).build(), true);
      host.needCall(id);
      host.known.get(id).phase = RUNNING;
      host.module.callCompleted(host.now, id, Admission.Outcome.SUCCESS, 0.9);
      host.pass(0.01);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    for (int i = 0; i < 6; i++) {
      host.arrive(host.request(Sites.READ).cost(0.01).build());
    }
    long large = host.arrive(host.request(Sites.READ).cost(0.2).build());
    host.settle();
    assertEquals("", host.answer(large));
    assertTrue(host.known.values().stream().anyMatch(k -> k.answer.equals("refused")));
  }

  @Test
  void callsAheadAtASlowDependencyRefuseCallingWorkUnstarted() {
    RecordingHost host = calling(2);
    for (int i = 0; i < 30; i++) {
      long id = host.arriveAndSettle(Sites.READ);
      host.needCall(id);
      host.known.get(id).phase = RUNNING;
      host.module.callCompleted(host.now, id, Admission.Outcome.SUCCESS, 0.9);
      host.end(id, Admission.Outcome.SUCCESS);
    }
    List<Long> ids = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      ids.add(host.arrive(host.request(Sites.READ).cost(0.01).build()));
    }
    host.settle();
    // One call at a time takes 0.9 s: within the aim of 2 s there is room for two, not for six.
    long kept = ids.stream().filter(id -> host.answer(id).isEmpty()).count();
    assertTrue(kept >= 1 && kept <= 3, "kept " + kept);
  }

  // ---- Connections ----

  @Test
  void idleConnectionsCloseEarlyWhereCallersSeldomComeBack() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    for (int i = 0; i < 100; i++) {
      host.pass(0.1);
      host.end(
          host.arrive(host.request(Sites.READ).caller(i).build(), true), Admission.Outcome.SUCCESS);
    }
    assertTrue(host.idleLimit > 0 && host.idleLimit < 1, "idle " + host.idleLimit);
    assertEquals(1, host.idleLimits, "it must not flap");
    // Requests stand unread: opening connections eats the cores, so they stay longer, up to a
    // bound.
    for (int i = 0; i < 150; i++) {
      host.pass(0.1);
      host.end(
          host.arrive(host.request(Sites.READ).caller(i).lay(0.5).build(), true),
          Admission.Outcome.SUCCESS);
    }
    assertTrue(host.idleLimit > 5 && host.idleLimit < 30, "idle " + host.idleLimit);
    for (int i = 0; i < 150; i++) {
      host.pass(0.1);
      host.end(
          host.arrive(host.request(Sites.READ).caller(i).build(), true), Admission.Outcome.SUCCESS);
    }
    assertTrue(host.idleLimit < 1, "it must let go by itself: " + host.idleLimit);
    // The same few callers again and again.
    for (int i = 0; i < 100; i++) {
      host.pass(0.1);
      host.end(
          host.arrive(host.request(Sites.READ).caller(i % 4).build(), true),
          Admission.Outcome.SUCCESS);
    }
    assertEquals(0, host.idleLimit);
  }

  // ---- Robustness ----

  @Test
  void eventsAboutWhatIsOverAreHarmless() {
    RecordingHost host = new RecordingHost(Sites.site().build());
    long id = host.arriveAndSettle(Sites.READ);
    host.end(id, Admission.Outcome.SUCCESS);
    int said = host.log.size();
    for (long over : new long[] {id, 424242}) {
      host.module.completed(host.now, over, Admission.Outcome.VOID, 0);
      host.module.blockedOnCall(host.now, over);
      host.module.callCompleted(host.now, over, Admission.Outcome.SUCCESS, 0);
      host.module.callerGone(host.now, over);
    }
    host.settle();
    assertEquals(said, host.log.size());
  }
}
