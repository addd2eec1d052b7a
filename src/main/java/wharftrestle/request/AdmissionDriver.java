package wharftrestle.request;

import java.util.ArrayDeque;
import java.util.concurrent.locks.Condition;
import wharftrestle.admission.Admission;

/**
 * Drives the admission module: holds it from the start of the worker pool on, ends the instants in
 * which it decides, and runs what its decisions bring about once they are complete. Guarded by the
 * coordinator's lock.
 */
final class AdmissionDriver {

  /** Requests in flight beyond which the events of a short span make one instant. */
  private static final int BATCH_FROM_IN_FLIGHT = 32;

  private static final double BATCH_SECONDS = 0.001;

  private final EventClock clock;
  private final InFlightTable inFlight;
  private final Condition timerWork;
  private final ArrayDeque<Runnable> followUps = new ArrayDeque<>();
  private Admission.Events module;
  private double batchCompletedAtSeconds = Double.NEGATIVE_INFINITY;
  private boolean isBatchOpen;

  /** The condition is signalled whenever the timer thread has a batch to end. */
  AdmissionDriver(EventClock clock, InFlightTable inFlight, Condition timerWork) {
    this.clock = clock;
    this.inFlight = inFlight;
    this.timerWork = timerWork;
  }

  boolean isStarted() {
    return module != null;
  }

  void start(Admission.Events created) {
    module = created;
    completeBatch(clock.now());
  }

  /** The module, for events of an instant that the caller then settles; null before the start. */
  Admission.Events events() {
    return module;
  }

  /** Has this run at the end of the instant, outside the module's own decisions. */
  void runAfterInstant(Runnable followUp) {
    followUps.add(followUp);
  }

  /** The caller of a request is gone, or was answered without the module. */
  void callerDisconnected(InFlightRequest request) {
    if (inFlight.contains(request)) {
      double now = clock.now();
      module.callerGone(now, request.id);
      completeBatch(now);
    }
  }

  /** Part of the memory and of the dependency's capacity that this process may use from now on. */
  void setShare(double share) {
    if (module != null) {
      double now = clock.now();
      module.quotaChanged(now, share);
      completeBatch(now);
    }
  }

  /** Ends the instant, and the instants that follow from what the module decided in it. */
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
   * Ends the instant after an event of the worker pool or the store. With much in flight the events
   * of a short span share one instant, as the module looks at all requests in each.
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

  /** When the open batch of events is to be settled; infinity where there is none. */
  double batchEndsAtSeconds() {
    return isBatchOpen ? batchCompletedAtSeconds + BATCH_SECONDS : Double.POSITIVE_INFINITY;
  }
}
