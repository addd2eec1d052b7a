package wharftrestle.request;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.ReentrantLock;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;

/**
 * The entry to the requests in flight for frontends, worker pool, daemon and peer process. Every
 * event enters here or at {@link PeerCoordinator}, one at a time under the one lock that guards all
 * decisions, and with a clock that never goes back. What the admission module decides becomes a
 * step of the request concerned, which that request's own thread carries out ({@link RequestLifecycle}).
 * No socket or file is read or written under the lock. All methods may be called by any thread.
 */
public final class RequestCoordinator {
  private final RequestParts parts;
  private final ReentrantLock lock;
  private final long seed;
  private final AdmissionFactory factory;
  private final CountDownLatch workerPoolStarted = new CountDownLatch(1);

  /**
   * Each request in flight has a thread, so their number is bounded.
   *
   * @param seed of the admission module's random numbers
   * @param keyMemory for what is known of idempotency keys
   */
  public RequestCoordinator(
      AdmissionSettings settings,
      long seed,
      int maxInFlight,
      KeyMemoryBudget keyMemory,
      AdmissionFactory factory,
      Counters counters) {
    this.seed = seed;
    this.factory = factory;
    parts = new RequestParts(settings, maxInFlight, keyMemory, counters);
    lock = parts.lock;
  }

  // ---- Start ----

  /** Connects what executes requests and what is notified of health, and starts the timer. */
  public void start(
      WorkerPool workerPool, DependencyClient dependencyClient, HealthListener healthListener) {
    parts.lifecycle.start(workerPool);
    parts.dependencyCalls.start(dependencyClient);
    parts.health.start(healthListener);
    parts.timers.start(workerPool);
  }

  /**
   * From now on no keyed execution begins before its intent is recorded, and none is answered
   * before its result is.
   */
  public void useResultStore(ResultStore store) {
    lock.lock();
    try {
      parts.recorder.useStore(store);
    } finally {
      lock.unlock();
    }
  }

  /** Takes over the keys that an earlier process of this host has left on disk. */
  public void restore(ResultStore.RecoveredKeys recovered) {
    lock.lock();
    try {
      parts.keyed.restore(recovered);
    } finally {
      lock.unlock();
    }
  }

  /** True once the worker pool has started, and with it the admission module. */
  public boolean isReady() {
    return workerPoolStarted.getCount() == 0;
  }

  /** Waits until {@link #isReady}. */
  public void awaitReady() throws InterruptedException {
    workerPoolStarted.await();
  }

  // ---- Requests ----

  /** Takes a request in; its life goes on on a thread of its own, unless it is answered at once. */
  public Acceptance accept(IncomingRequest incoming, AnswerListener listener) {
    return parts.lifecycle.begin(incoming, listener);
  }

  /** The caller of a request waits no longer; without effect once it was answered. */
  public void callerDisconnected(Acceptance accepted) {
    if (accepted instanceof InFlightRequest request) {
      parts.lifecycle.callerDisconnected(request);
    }
  }

  /** So many requests are in flight at most from now on. */
  public void setMaxInFlight(int requests) {
    parts.inFlight.setMaxInFlight(requests);
  }

  // ---- Events of the worker pool ----

  /**
   * The worker pool has started, cold or not, so many seconds ago. Makes the admission module the
   * first time, but not in a process that is shutting down: that module would not know of it.
   */
  public void workerPoolStarted(boolean isCold, double secondsAgo) {
    lock.lock();
    try {
      if (!parts.admission.isStarted() && !parts.deadlines.isShuttingDown()) {
        double startedAt = parts.clock.now() - secondsAgo;
        parts.admission.start(
            factory.create(startedAt, seed, parts.settings.withColdStart(isCold), parts.actions));
        workerPoolStarted.countDown();
      }
    } finally {
      lock.unlock();
    }
  }

  /** The worker pool has restarted: what executed there is over, and may have had its effect. */
  public void workerPoolRestarted() {
    lock.lock();
    try {
      parts.executions.workerPoolRestarted();
    } finally {
      lock.unlock();
    }
  }

  /** Gauges in the order of {@link AdmissionSettings#gauges}. */
  public void gaugesReceived(double[] gauges) {
    lock.lock();
    try {
      parts.timers.gaugesReceived(gauges);
    } finally {
      lock.unlock();
    }
  }

  /** An execution is over; the result is null unless it succeeded. */
  public void executionCompleted(
      String reference, Outcome outcome, double elapsedSeconds, byte[] result) {
    lock.lock();
    try {
      parts.executions.completed(reference, outcome, elapsedSeconds, result);
    } finally {
      lock.unlock();
    }
  }

  /** An execution is blocked on a dependency call, announced in this notice. */
  public void executionBlocked(String reference, long announcementNumber, byte[] callBody) {
    lock.lock();
    try {
      parts.executions.blocked(reference, announcementNumber, callBody);
    } finally {
      lock.unlock();
    }
  }

  // ---- State ----

  /** Of the admission module; fixed for the life of the process. */
  public AdmissionSettings settings() {
    return parts.settings;
  }

  /** The handover to the peer process, and its messages. */
  public PeerCoordinator peer() {
    return parts.peer;
  }

  /** The metrics of recorded results; empty where none are recorded. */
  public Map<ResultMetric, Long> resultMetrics() {
    return parts.recorder.metrics(parts.keyed.indexBytes());
  }

  /** What health checks and load reports show. */
  public boolean isHealthy() {
    return parts.health.isHealthy();
  }

  /** The peer process takes the clients of this host: the end of this one is no fault. */
  public void setRelinquished(boolean isRelinquished) {
    parts.health.setRelinquished(isRelinquished);
  }

  /** True while callers are sent to other hosts. */
  public boolean isDraining() {
    return parts.health.isDraining();
  }

  /**
   * Sends callers to other hosts, or takes them again. The admission module is not told: whatever
   * still arrives is served as usual.
   */
  public void setDraining(boolean isDraining) {
    lock.lock();
    try {
      parts.health.setDraining(isDraining);
    } finally {
      lock.unlock();
    }
  }

  /** Seconds an idle connection may stay; 0 for as long as its peer likes. */
  public double idleTimeoutSeconds() {
    return parts.actions.idleTimeoutSeconds();
  }

  // ---- Shutdown ----

  /** All requests in flight are answered within this many seconds. */
  public void beginShutdown(double graceSeconds) {
    lock.lock();
    try {
      double now = parts.clock.now();
      parts.deadlines.shutDownAt(now + graceSeconds);
      for (InFlightRequest request : parts.inFlight.all()) {
        if (!request.isAnswered) {
          parts.deadlines.limitToShutdown(request);
          request.changed.signal();
        }
      }
      if (!parts.admission.isStarted()) {
        parts.health.moduleDecided(false);
        return;
      }
      parts.admission.events().draining(now, graceSeconds);
      parts.admission.completeBatch(now);
    } finally {
      lock.unlock();
    }
  }

  /** Waits until nothing is in flight, at most so long; false where something still is. */
  public boolean awaitDrained(double seconds) throws InterruptedException {
    lock.lock();
    try {
      return parts.inFlight.awaitEmpty(seconds);
    } finally {
      lock.unlock();
    }
  }
}
