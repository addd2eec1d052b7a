package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import wharftrestle.admission.Admission;

/**
 * Feeds events to the admission module, which exists from the start of the worker pool. Ends each
 * batch of events, upon which the module decides, and then runs the follow-ups that its decisions
 * queued. Guarded by the coordinator's lock.
 */
final class AdmissionDriver {

  /** Number of requests in flight above which events of the same millisecond share a batch. */
  private static final int BATCH_FROM_IN_FLIGHT = 32;

  private static final double BATCH_SECONDS = 0.001;

  private final EventClock clock;
  private final InFlightTable inFlight;
  private final Condition timerWork;
  private final ArrayDeque<Runnable> followUps = new ArrayDeque<>();
  private Admission.Events module;
  private double batchCompletedAtSeconds = Double.NEGATIVE_INFINITY;
  private boolean isBatchOpen;

  /** Signals the condition whenever the timer thread has a batch to end. */
  AdmissionDriver(EventClock clock, InFlightTable inFlight, Condition timerWork) {
    this.clock = clock;
    this.inFlight = inFlight;
    this.timerWork = timerWork;
  }

  boolean isStarted() {
    return module != null;
  }

  void start(Admission.Events createdModule) {
    module = createdModule;
    completeBatch(clock.now());
  }

  /** The module, to which the caller passes events before it ends the batch; null before start. */
  Admission.Events events() {
    return module;
  }

  /** Queues a task to run at the end of the batch, after the module has returned. */
  void runAfterBatch(Runnable followUp) {
    followUps.add(followUp);
  }

  /** Notifies the module that a caller disconnected, or was answered without the module. */
  void callerDisconnected(InFlightRequest request) {
    if (recordCallerDisconnected(request)) {
      completeBatch(clock.now());
    }
  }

  /** The same without ending the batch; false if the module does not know the request. */
  boolean recordCallerDisconnected(InFlightRequest request) {
    boolean isKnown = inFlight.contains(request);
    if (isKnown) {
      module.callerGone(clock.now(), request.id);
    }
    return isKnown;
  }

  /** Sets the fraction of the host's memory and dependency capacity that this process may use. */
  void setQuota(double fraction) {
    if (module != null) {
      double now = clock.now();
      module.quotaChanged(now, fraction);
      completeBatch(now);
    }
  }

  /** Ends the batch, then runs the queued follow-ups and ends a batch after each of them. */
  void completeBatch(double now) {
    isBatchOpen = false;
    batchCompletedAtSeconds = now;
    module.batchCompleted(now);
    for (Runnable followUp = followUps.poll(); followUp != null; followUp = followUps.poll()) {
      followUp.run();
      module.batchCompleted(clock.now());
    }
  }

  /**
   * Ends the batch at once or shortly after an event of the worker pool or the store. With many
   * requests in flight, the events of a millisecond share one batch, as the module examines all
   * requests at the end of each batch.
   */
  void completeBatchSoon(double now) {
    if (inFlight.size() <= BATCH_FROM_IN_FLIGHT || now >= batchCompletedAtSeconds + BATCH_SECONDS) {
      completeBatch(now);
    } else if (!isBatchOpen) {
      isBatchOpen = true;
      timerWork.signal();
    }
  }

  void completeBatchIfStarted() {
    if (module != null) {
      completeBatch(clock.now());
    }
  }

  void completeBatchSoonIfStarted() {
    if (module != null) {
      completeBatchSoon(clock.now());
    }
  }

  /** When the open batch of events is due to end; infinity if none is open. */
  double batchEndsAtSeconds() {
    return isBatchOpen ? batchCompletedAtSeconds + BATCH_SECONDS : Double.POSITIVE_INFINITY;
  }
}
