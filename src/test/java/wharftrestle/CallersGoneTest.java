package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wharftrestle.admission.Admission;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.request.Acceptance;
import wharftrestle.request.IncomingRequest;
import wharftrestle.request.RequestCoordinator;

/**
 * Guards against executions of requests whose callers are known to have disconnected, with an
 * admission module that has one core, which is free as soon as its caller has left.
 */
@Timeout(value = 30, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a test may spin
class CallersGoneTest {
  private static final double DRAIN_SECONDS = 5;

  private final Queue<String> dispatched = new ConcurrentLinkedQueue<>();

  /** Decides in the instant in which a caller leaves to execute its request. */
  private boolean dispatchesAsCallerLeaves;

  /** One core; at the end of a batch the request that has waited longest gets it. */
  private final class OneCore implements Admission.Events {
    private final Admission.Actions actions;
    private final ArrayDeque<Long> queued = new ArrayDeque<>();
    private long running;

    OneCore(Admission.Actions actions) {
      this.actions = actions;
    }

    @Override
    public void arrived(double now, Admission.Request request) {
      queued.add(request.id());
    }

    @Override
    public void batchCompleted(double now) {
      if (running == 0 && !queued.isEmpty() && !dispatchesAsCallerLeaves) {
        running = queued.poll();
        actions.dispatch(running);
      }
    }

    @Override
    public void callerGone(double now, long id) {
      if (dispatchesAsCallerLeaves) {
        actions.dispatch(id);
      }
      running = running == id ? 0 : running;
      queued.remove(id);
    }

    @Override
    public void completed(double now, long id, Outcome outcome, double elapsed) {
      running = running == id ? 0 : running;
    }

    @Override
    public void blockedOnCall(double now, long id) {}

    @Override
    public void callCompleted(double now, long id, Outcome outcome, double elapsed) {}

    @Override
    public void draining(double now, double timeLeft) {}

    @Override
    public void timerFired(double now, long label, double[] gauges) {}
  }

  private RequestCoordinator coordinator() {
    RequestCoordinator coordinator =
        new RequestCoordinator(
            Sites.site().build(),
            7,
            64,
            KeyMemoryBudget.of(1 << 20),
            (now, seed, settings, actions) -> new OneCore(actions),
            new Counters(List.of("read", "save", "keyed", "unsafe", "long")));
    SilentPool pool =
        new SilentPool() {
          @Override
          public void dispatch(String reference, String className, byte[] body) {
            dispatched.add(reference);
          }
        };
    coordinator.start(pool, null, isHealthy -> {});
    coordinator.workerPoolStarted(false, 0);
    return coordinator;
  }

  private static String reference(int number) {
    return String.format("%016x", number);
  }

  private static Acceptance.InFlight accept(RequestCoordinator coordinator, int number) {
    IncomingRequest request =
        new IncomingRequest(
            reference(number),
            false,
            0,
            0,
            24,
            1,
            0.5,
            0,
            null,
            null,
            System.currentTimeMillis(),
            new byte[0]);
    return (Acceptance.InFlight) coordinator.accept(request, answer -> {});
  }

  @Test
  void requestsOfOneCaller_leaveTogether_andNoneTakesTheCoreOfAnother() throws Exception {
    RequestCoordinator coordinator = coordinator();
    List<Acceptance.InFlight> requests = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      requests.add(accept(coordinator, i));
    }
    while (dispatched.isEmpty()) {
      Thread.onSpinWait(); // the first has the core, and is sent
    }
    coordinator.callersDisconnected(requests);
    coordinator.executionCompleted(reference(1), Outcome.FAILURE, 0, null);
    assertTrue(coordinator.awaitDrained(DRAIN_SECONDS), "an execution was begun");
    assertEquals(List.of(reference(1)), List.copyOf(dispatched));
  }

  @Test
  void executionDecidedAsItsCallerLeaves_isNotSent() throws Exception {
    dispatchesAsCallerLeaves = true;
    RequestCoordinator coordinator = coordinator();
    coordinator.callerDisconnected(accept(coordinator, 1));
    assertTrue(coordinator.awaitDrained(DRAIN_SECONDS), "an execution was begun");
    assertEquals(List.of(), List.copyOf(dispatched));
  }
}
