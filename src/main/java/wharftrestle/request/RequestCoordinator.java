package wharftrestle.request;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.ReentrantLock;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;

/**
 * The interface of the request package for frontends, worker pool, daemon and peer process. Every
 * event enters here or at {@link PeerCoordinator}, one at a time under the one lock that guards all
 * decisions, and with a clock that never decreases. Each decision of the admission module becomes a
 * step of the request concerned, which that request's thread carries out ({@link
 * RequestLifecycle}). No socket or file is read or written under the lock. All methods may be
 * called by any thread.
 */
public final class RequestCoordinator {
  /** Threads beyond the maximum of requests in flight, for requests that have just ended. */
  public static final int EXTRA_REQUEST_THREADS = 32;

  private final RequestParts parts;
  private final ReentrantLock lock;
  private final long seed;
  private final AdmissionFactory factory;
  private final CountDownLatch workerPoolStarted = new CountDownLatch(1);

  /**
   * Creates a coordinator that is not started.
   *
   * @param seed of the admission module's random numbers
   * @param maxInFlight bound on the requests in flight, as each has a thread
   * @param keyMemory budget for idempotency keys and their results
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

  /** Connects the worker pool, the dependency client and the listener; starts the timer thread. */
  public void start(
      WorkerPool workerPool, DependencyClient dependencyClient, HealthListener healthListener) {
    parts.lifecycle.start(workerPool);
    parts.dependencyCalls.start(dependencyClient);
    parts.health.start(healthListener);
    parts.timers.start(workerPool);
  }

  /**
   * Enables recording: from now on no keyed execution begins before its intent is on disk, and none
   * is answered before its result is.
   */
  public void useResultStore(ResultStore store) {
    lock.lock();
    try {
      parts.recorder.useStore(store);
    } finally {
      lock.unlock();
    }
  }

  /** The maximum number of settled keys. */
  public int maxKeys() {
    return parts.recorder.maxKeys();
  }

  /** Restores the keys that an earlier process of this host recorded on disk. */
  public void restore(ResultStore.RecoveredKeys recovered) {
    lock.lock();
    try {
      parts.keyedRequests.restore(recovered);
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

  /** Accepts the only request of a connection, as {@link #accept} with usage does. */
  public Acceptance accept(IncomingRequest incoming, AnswerListener listener) {
    return accept(incoming, listener, new ConnectionUsage());
  }

  /**
   * Accepts a request, which is processed on a separate thread unless it is answered at once.
   *
   * @param connection usage of the connection that the request came over
   */
  public Acceptance accept(
      IncomingRequest incoming, AnswerListener listener, ConnectionUsage connection) {
    return parts.lifecycle.accept(incoming, listener, connection);
  }

  /** The caller of a request has disconnected; no effect once the request is answered. */
  public void callerDisconnected(Acceptance accepted) {
    if (accepted instanceof InFlightRequest request) {
      parts.lifecycle.callersDisconnected(List.of(request));
    }
  }

  /** The same for all requests of one connection together. */
  public void callersDisconnected(Collection<? extends Acceptance.InFlight> accepted) {
    parts.lifecycle.callersDisconnected(
        accepted.stream().map(InFlightRequest.class::cast).toList());
  }

  /** Sets the maximum number of requests in flight from now on. */
  public void setMaxInFlight(int requests) {
    parts.inFlight.setMaxInFlight(requests);
  }

  // ---- Events of the worker pool ----

  /**
   * The worker pool has started, cold or not, so many seconds ago. Creates the admission module the
   * first time, but not in a process that is shutting down, as the new module would not have
   * received the shutdown event.
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

  /** The worker pool has restarted: its executions are broken and may have had their effect. */
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

  /** An execution has ended; the result is null unless it succeeded. */
  public void executionCompleted(
      String reference, Outcome outcome, double elapsedSeconds, byte[] result) {
    lock.lock();
    try {
      parts.executions.onCompleted(reference, outcome, elapsedSeconds, result);
    } finally {
      lock.unlock();
    }
  }

  /** An execution is blocked on the dependency call announced in the message of this number. */
  public void executionBlocked(String reference, long announcementNumber, byte[] callBody) {
    lock.lock();
    try {
      parts.executions.onBlocked(reference, announcementNumber, callBody);
    } finally {
      lock.unlock();
    }
  }

  /**
   * The link to the worker pool broke, and it is uncertain whether the execution has read the
   * response to its dependency call. The response cannot be delivered again.
   */
  public void responseUnconfirmed(String reference) {
    lock.lock();
    try {
      parts.unconfirmedResponses.onUnconfirmed(reference);
    } finally {
      lock.unlock();
    }
  }

  // ---- State ----

  /** Settings of the admission module; they do not change while the process runs. */
  public AdmissionSettings settings() {
    return parts.settings;
  }

  /** Handles the handover and the messages of the peer process. */
  public PeerCoordinator peer() {
    return parts.peer;
  }

  /** Metrics of the recorded results; empty if results are not recorded. */
  public Map<ResultMetric, Long> resultMetrics() {
    return parts.recorder.metrics(parts.keyedRequests.indexBytes());
  }

  /** The health of this host as health checks and load reports show it. */
  public boolean isHealthy() {
    return parts.health.isHealthy();
  }

  /** Sets whether the peer process has this host's clients, so that shutting down is no fault. */
  public void setRelinquished(boolean isRelinquished) {
    parts.health.setRelinquished(isRelinquished);
  }

  /** True while an operator drains the host. */
  public boolean isDraining() {
    return parts.health.isDraining();
  }

  /**
   * Starts or ends draining: reports the host as unhealthy, so that callers use other hosts. The
   * admission module is not notified, and requests that still arrive are served as usual.
   */
  public void setDraining(boolean isDraining) {
    lock.lock();
    try {
      parts.health.setDraining(isDraining);
    } finally {
      lock.unlock();
    }
  }

  /** Seconds after which an idle connection is closed; 0 for never. */
  public double idleTimeoutSeconds() {
    return parts.actions.idleTimeoutSeconds();
  }

  // ---- Shutdown ----

  /** Begins the shutdown: all requests in flight are answered within this many seconds. */
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
        parts.health.setModuleHealthy(false);
        return;
      }
      parts.admission.events().draining(now, graceSeconds);
      parts.admission.completeBatch(now);
    } finally {
      lock.unlock();
    }
  }

  /** Waits until no request is in flight; false if one still is after this many seconds. */
  public boolean awaitDrained(double seconds) throws InterruptedException {
    lock.lock();
    try {
      return parts.inFlight.awaitEmpty(seconds);
    } finally {
      lock.unlock();
    }
  }
}
