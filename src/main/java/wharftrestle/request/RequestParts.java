package wharftrestle.request;

import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;

/**
 * Creates and connects the parts of the coordinator. All share its one lock, which guards every
 * decision and is not held during I/O.
 */
final class RequestParts {
  final ReentrantLock lock = new ReentrantLock();
  final AdmissionSettings settings;
  final Counters counters;
  final EventClock clock = new EventClock();
  final HostHealth health = new HostHealth();
  final InFlightTable inFlight;
  final RequestDeadlines deadlines;
  final CallerNotifier callers;
  final AdmissionDriver admission;
  final AdmissionTimers timers;
  final KeyedRequests keyedRequests;
  final PeerClaims claims;
  final PeerCoordinator peer;
  final ResultRecorder recorder;
  final Executions executions;
  final UnconfirmedResponses unconfirmedResponses;
  final DependencyCalls dependencyCalls;
  final AdmissionActions actions;
  final RequestLifecycle lifecycle;

  RequestParts(
      AdmissionSettings settings, int maxInFlight, KeyMemoryBudget keyMemory, Counters counters) {
    this.settings = settings;
    this.counters = counters;
    inFlight = new InFlightTable(lock.newCondition(), maxInFlight);
    deadlines = new RequestDeadlines(settings);
    callers = new CallerNotifier(deadlines, counters, clock);
    Condition timerWork = lock.newCondition();
    admission = new AdmissionDriver(clock, inFlight, timerWork);
    timers = new AdmissionTimers(lock, timerWork, clock, admission);
    keyedRequests = new KeyedRequests(keyMemory, counters, clock, inFlight, admission, callers);
    claims = new PeerClaims(lock, clock, deadlines, keyedRequests);
    peer = new PeerCoordinator(lock, clock, admission, keyedRequests, claims, keyMemory);
    recorder = new ResultRecorder(this, claims.ownership(), keyMemory);
    executions =
        new Executions(counters, clock, inFlight, admission, callers, keyedRequests, recorder);
    unconfirmedResponses =
        new UnconfirmedResponses(settings, deadlines, clock, inFlight, admission, callers);
    dependencyCalls = new DependencyCalls(lock, counters, clock, admission);
    keyedRequests.connect(claims.ownership(), recorder);
    claims.connect(recorder);
    peer.connect(recorder);
    recorder.connect(executions);
    actions = new AdmissionActions(this);
    lifecycle = new RequestLifecycle(this, maxInFlight);
  }
}
