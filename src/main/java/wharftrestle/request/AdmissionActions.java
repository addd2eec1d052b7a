package wharftrestle.request;

import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyEntry;

/**
 * Turns the decisions of the admission module into steps of the request concerned, which that
 * request's thread carries out. The module calls these methods while it handles an event, so the
 * coordinator's lock is held. Actions for requests that have left the in-flight table are ignored.
 */
final class AdmissionActions implements Admission.Actions {
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final AdmissionTimers timers;
  private final CallerNotifier callers;
  private final HostHealth health;
  private final RequestDeadlines deadlines;
  private final double maxRetryAfterSeconds;
  private final KeyedRequests keyedRequests;
  private final ResultRecorder recorder;
  private final Executions executions;
  private volatile double idleTimeoutSeconds;

  AdmissionActions(RequestParts parts) {
    clock = parts.clock;
    inFlight = parts.inFlight;
    admission = parts.admission;
    timers = parts.timers;
    callers = parts.callers;
    health = parts.health;
    deadlines = parts.deadlines;
    maxRetryAfterSeconds = parts.settings.retries().maxRetryAfterSeconds();
    keyedRequests = parts.keyedRequests;
    recorder = parts.recorder;
    executions = parts.executions;
  }

  /** Seconds after which an idle connection is closed; 0 for never. Needs no lock. */
  double idleTimeoutSeconds() {
    return idleTimeoutSeconds;
  }

  @Override
  public void dispatch(long id) {
    InFlightRequest request = inFlight.findById(id);
    if (request == null || request.isDispatched) {
      return;
    }
    request.startedAtSeconds = clock.now();
    if (request.key != null && !startKey(request)) {
      return;
    }
    request.isDispatched = true;
    request.enqueue(
        recorder.isWritingIntent(request)
            ? InFlightRequest.Step.WRITE_INTENT
            : InFlightRequest.Step.DISPATCH);
  }

  /** Starts the execution of the request's key; false if the request may not execute. */
  private boolean startKey(InFlightRequest request) {
    IncomingRequest incoming = request.incoming;
    IdempotencyTable<InFlightRequest> keys = keyedRequests.table();
    KeyEntry<InFlightRequest> existing = keys.find(request.key);
    boolean hasExecuted =
        existing != null && existing.mayHaveRun() && existing.covers(incoming.receivedAtMillis());
    if (!hasExecuted && !keyedRequests.reserveMemory(request)) {
      rejectForMemory(request);
      return false;
    }
    request.entry =
        keys.start(
            request.key,
            incoming.body(),
            incoming.receivedAtMillis(),
            deadlines.idempotencyWindowSeconds(incoming.classIndex()),
            clock.now(),
            request);
    if (!request.isCurrentAttempt()) {
      // A key must not execute twice, even if the module does not know that it executed before.
      Logger.warn("second execution of a key prevented reference={}", incoming.reference());
      keyedRequests.attach(request);
      return false;
    }
    return true;
  }

  // No memory was reserved on arrival, as the request was a duplicate of one that never executed.
  private void rejectForMemory(InFlightRequest request) {
    request.isDispatched = true;
    request.isRejectedBeforeSend = true;
    admission.runAfterBatch(
        () -> {
          callers.answer(
              request, keyedRequests.newMemoryRejection(clock.now(), maxRetryAfterSeconds));
          keyedRequests.releaseKey(request);
          executions.complete(request, Outcome.VOID, 0, null);
        });
  }

  @Override
  public void reject(long id, boolean fleetOverloaded, double retryAfterSeconds) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null) {
      // A rejection guarantees that the key has not executed; after an execution, answer a failure.
      boolean hasExecuted = request.entry != null && request.entry.mayHaveRun();
      callers.answer(
          request,
          hasExecuted ? Answer.failed() : Answer.rejected(retryAfterSeconds, fleetOverloaded));
    }
  }

  @Override
  public void fail(long id) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null) {
      callers.answer(request, request.hasFailedCall ? Answer.failed() : Answer.deadlineExceeded());
      if (request.isAttached) {
        keyedRequests.detach(request);
      }
    }
  }

  @Override
  public void preempt(long id) {
    InFlightRequest request = inFlight.findById(id);
    if (request == null) {
      return;
    }
    if (recorder.isWritingIntent(request)) {
      admission.runAfterBatch(() -> withdraw(request));
    } else if (request.isExecuting()) {
      request.enqueue(InFlightRequest.Step.SUSPEND);
    }
  }

  // Checks again, as an earlier follow-up may have ended the write.
  private void withdraw(InFlightRequest request) {
    if (recorder.isWritingIntent(request)) {
      recorder.withdraw(request);
    }
  }

  @Override
  public void callDependency(long id, double callDeadlineSeconds) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null && !request.isCompleted) {
      request.callStartedAtSeconds = clock.now();
      request.enqueue(new InFlightRequest.CallDependency(callDeadlineSeconds));
    }
  }

  @Override
  public void skipCall(long id) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null && !request.isCompleted) {
      request.enqueue(new InFlightRequest.SkipCall(request.callAnnouncementNumber));
    }
  }

  @Override
  public void retainKey(long id, double seconds) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null && request.key != null) {
      keyedRequests.enqueueKey(request);
    }
  }

  @Override
  public void releaseKey(long id) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null) {
      keyedRequests.releaseKey(request);
    }
  }

  @Override
  public void attach(long id) {
    InFlightRequest request = inFlight.findById(id);
    if (request != null) {
      keyedRequests.attach(request);
    }
  }

  @Override
  public void reportHealth(boolean isHealthy, boolean cached) {
    health.setModuleHealthy(isHealthy);
  }

  @Override
  public void setIdleTimeout(double seconds) {
    idleTimeoutSeconds = seconds;
  }

  @Override
  public void setTimer(long label, double delaySeconds) {
    timers.schedule(label, delaySeconds);
  }

  @Override
  public void log(String line) {
    Logger.info("admission module message={}", line);
  }
}
