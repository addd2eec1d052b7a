package wharftrestle.request;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;

/**
 * Processes each request on its own thread: {@link #run} covers a request from its arrival to its
 * last step. Steps are decided under the coordinator's lock and carried out without it.
 */
final class RequestLifecycle {

  private static final int CORE_THREADS = 8;
  private static final int THREAD_IDLE_SECONDS = 5;

  private final ReentrantLock lock;
  private final AdmissionSettings settings;
  private final Counters counters;
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final CallerNotifier callers;
  private final KeyedRequests keyedRequests;
  private final PeerClaims claims;
  private final ResultRecorder recorder;
  private final Executions executions;
  private final UnconfirmedResponses unconfirmedResponses;
  private final DependencyCalls dependencyCalls;
  private final RequestArrival arrival;
  private final ThreadPoolExecutor threads;
  private WorkerPool workerPool;
  private long latestId;

  RequestLifecycle(RequestParts parts, int maxInFlight) {
    lock = parts.lock;
    settings = parts.settings;
    counters = parts.counters;
    clock = parts.clock;
    inFlight = parts.inFlight;
    admission = parts.admission;
    callers = parts.callers;
    keyedRequests = parts.keyedRequests;
    claims = parts.claims;
    recorder = parts.recorder;
    executions = parts.executions;
    unconfirmedResponses = parts.unconfirmedResponses;
    dependencyCalls = parts.dependencyCalls;
    arrival = new RequestArrival(parts);
    threads =
        new ThreadPoolExecutor(
            CORE_THREADS,
            maxInFlight + RequestCoordinator.EXTRA_REQUEST_THREADS,
            THREAD_IDLE_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> PlatformThreads.thread("request", task));
  }

  void start(WorkerPool workers) {
    workerPool = workers;
  }

  /** Accepts a request, on the thread that read it. */
  Acceptance accept(IncomingRequest incoming, AnswerListener listener, ConnectionUsage connection) {
    counters.requestReceived();
    InFlightRequest request = create(incoming, listener, connection);
    if (!claims.mustClaim(request)) {
      processArrival(request); // most rejected requests need no separate thread
    }
    if (isFinishedOnArrival(request)) {
      runOrFail(request);
      return Acceptance.Answered.ANSWERED;
    }
    try {
      threads.execute(() -> runOrFail(request));
    } catch (RejectedExecutionException | OutOfMemoryError noThreadAvailable) {
      failWithoutThread(request); // it must be answered nevertheless
      runOrFail(request);
      return Acceptance.Answered.ANSWERED;
    }
    return request;
  }

  private InFlightRequest create(
      IncomingRequest incoming, AnswerListener listener, ConnectionUsage connection) {
    lock.lock();
    try {
      return new InFlightRequest(++latestId, incoming, listener, connection, lock.newCondition());
    } finally {
      lock.unlock();
    }
  }

  private void processArrival(InFlightRequest request) {
    lock.lock();
    try {
      arrival.submitOrAnswer(request);
    } finally {
      lock.unlock();
    }
  }

  private boolean isFinishedOnArrival(InFlightRequest request) {
    lock.lock();
    try {
      return request.isArrivalProcessed && request.isFinished();
    } finally {
      lock.unlock();
    }
  }

  /**
   * The callers of these requests have disconnected. They are one batch of events: if each were one
   * of its own, a core that the first of them leaves would be given to the next.
   */
  void callersDisconnected(Iterable<InFlightRequest> requests) {
    lock.lock();
    try {
      boolean hasChanged = false;
      for (InFlightRequest request : requests) {
        if (callers.callerDisconnected(request)) {
          keyedRequests.detach(request);
          hasChanged |= admission.recordCallerDisconnected(request);
        }
      }
      if (hasChanged) {
        admission.completeBatch(clock.now());
      }
    } finally {
      lock.unlock();
    }
  }

  /** Processes one request from its arrival to its last step. */
  private void run(InFlightRequest request) {
    IncomingRequest incoming = request.incoming;
    String reference = incoming.reference();
    if (!request.isArrivalProcessed) {
      claims.claim(request);
      processArrival(request);
    }
    for (InFlightRequest.Step step = nextStep(request); step != null; step = nextStep(request)) {
      switch (step.kind()) {
        case WRITE_INTENT -> writeIntent(request);
        case DISPATCH -> dispatch(request);
        case CALL_DEPENDENCY ->
            dependencyCalls.send(
                request, ((InFlightRequest.CallDependency) step).callDeadlineSeconds());
        case DELIVER_RESPONSE ->
            workerPool.deliverResponse(
                reference, ((InFlightRequest.DeliverResponse) step).response());
        case SKIP_CALL ->
            workerPool.skipCall(reference, ((InFlightRequest.SkipCall) step).announcementNumber());
        case SUSPEND -> workerPool.suspend(reference);
        case CANCEL_CALL -> dependencyCalls.cancel(request);
        case REPLAY_RESULT -> replayResult(request);
        case ANSWER -> request.listener.onAnswer(((InFlightRequest.SendAnswer) step).answer());
      }
    }
  }

  private void dispatch(InFlightRequest request) {
    if (cancelIfNobodyWaits(request)) {
      return;
    }
    IncomingRequest incoming = request.incoming;
    counters.add(Count.EXECUTIONS);
    claims.announceExecution(request);
    workerPool.dispatch(
        incoming.reference(),
        settings.classes().get(incoming.classIndex()).name(),
        incoming.body());
  }

  /**
   * Completes an execution that is not sent yet if its request has been answered or its caller has
   * disconnected in the meantime. One with a key goes on, so that a retry gets its result.
   */
  private boolean cancelIfNobodyWaits(InFlightRequest request) {
    lock.lock();
    try {
      if (!request.isAnswered || request.key != null) {
        return false;
      }
      request.steps.removeIf(step -> step.kind() != InFlightRequest.StepKind.ANSWER);
      if (!request.isCompleted) {
        request.isRejectedBeforeSend = true;
        executions.complete(request, Outcome.VOID, 0, null);
      }
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Runs a request, and answers it with a failure if that throws an exception. */
  private void runOrFail(InFlightRequest request) {
    try {
      run(request);
    } catch (RuntimeException | Error fault) {
      Logger.error(
          fault,
          "request failed by an uncaught exception reference={}",
          request.incoming.reference());
      if (abort(request)) {
        request.listener.onAnswer(Answer.failed());
      }
    }
  }

  /** Ends a request after an exception; true if its listener has yet to be notified. */
  private boolean abort(InFlightRequest request) {
    lock.lock();
    try {
      boolean needsAnswer = callers.abort(request);
      removeRequest(request);
      return needsAnswer;
    } finally {
      lock.unlock();
    }
  }

  private void failWithoutThread(InFlightRequest request) {
    lock.lock();
    try {
      counters.add(Count.GUARD_REJECTIONS);
      request.isArrivalProcessed = true;
      callers.answer(request, Answer.failed());
      if (request.isDispatched) {
        // Nothing was sent to the worker pool yet, so the execution never started.
        request.steps.removeIf(step -> step.kind() != InFlightRequest.StepKind.ANSWER);
        executions.complete(request, Outcome.VOID, 0, null);
      } else {
        admission.callerDisconnected(request);
      }
    } finally {
      lock.unlock();
    }
  }

  /** Waits for the request's next step; null once it is answered and does not execute. */
  private InFlightRequest.Step nextStep(InFlightRequest request) {
    lock.lock();
    try {
      for (; ; ) {
        InFlightRequest.Step step = request.steps.poll();
        if (step != null) {
          return step;
        }
        if (request.isFinished()) {
          removeRequest(request);
          return null;
        }
        if (!recorder.expireIntent(request) && !unconfirmedResponses.expire(request)) {
          awaitChange(request);
        }
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(
          "request thread was interrupted, which nothing in the daemon does", e);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits for a change until the request's next time limit. Past the backstop, the time by which
   * the daemon ends a request that the admission module has not ended, it answers the request; if
   * that is answered already, it completes the execution as broken.
   */
  @SuppressWarnings("WaitNotInLoop") // nextStep, the only caller, loops and reads the state again
  private void awaitChange(InFlightRequest request) throws InterruptedException {
    double now = clock.now();
    double untilBackstop = request.backstopAtSeconds - now;
    if (untilBackstop > 0) {
      double wait = Math.min(untilBackstop, request.responseConfirmationDueAtSeconds - now);
      if (recorder.isWritingIntent(request)) {
        wait = Math.min(wait, request.intentDeadlineSeconds - now);
      }
      request.changed.awaitNanos(EventClock.waitNanos(wait));
    } else if (request.isAnswered) {
      Logger.warn(
          "worker pool reported no end of execution in time, result unknown reference={}",
          request.incoming.reference());
      executions.complete(request, Outcome.BROKEN, now - request.startedAtSeconds, null);
    } else {
      // Answers in time even if the module or its timer is delayed.
      counters.add(Count.DEADLINE_BACKSTOPS);
      callers.answer(request, Answer.deadlineExceeded());
      admission.callerDisconnected(request);
    }
  }

  private void writeIntent(InFlightRequest request) {
    lock.lock();
    try {
      recorder.writeIntent(request);
    } finally {
      lock.unlock();
    }
  }

  private void replayResult(InFlightRequest request) {
    byte[] result = recorder.read(request.key, request.entry.location());
    lock.lock();
    try {
      keyedRequests.completeWithResult(request, result);
      admission.completeBatchIfStarted();
    } finally {
      lock.unlock();
    }
  }

  private void removeRequest(InFlightRequest request) {
    keyedRequests.releaseMemory(request);
    inFlight.remove(request);
    claims.releaseKeyOf(request, inFlight.all());
  }
}
