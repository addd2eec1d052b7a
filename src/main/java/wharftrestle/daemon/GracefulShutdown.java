package wharftrestle.daemon;

import java.util.concurrent.CountDownLatch;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;

/**
 * Waits for a shutdown request, answers all requests that were read, and ends the connections
 * before the process is stopped. The sequence runs on the main thread; {@link #request} may be
 * called from any thread.
 */
final class GracefulShutdown {
  /** Time before the stop by which all responses have been sent, even under contention. */
  private static final double ANSWER_MARGIN_SECONDS = 0.5;

  /**
   * Time before the stop at which the front ends stop reading, even if connections are open. The
   * last connections may close during the first half of it.
   */
  private static final double CONNECTION_MARGIN_SECONDS = 0.35;

  /** Time after the grace period during which requests in transit are still accepted. */
  private static final double IN_TRANSIT_SECONDS = 0.05;

  /**
   * Maximum time that a relinquished process waits for its requests in flight after the shutdown
   * request; less if its longest deadline is shorter.
   */
  private static final double MAX_RELINQUISHED_SECONDS = 3;

  /** Time added to it for sending the answers and closing the connections. */
  private static final double RELINQUISHED_MARGIN_SECONDS = 0.7;

  private static final long CONNECTION_POLL_INTERVAL_MILLIS = 10;

  private final DaemonParts parts;
  private final LifecycleState state;
  private final HandoverCoordinator handover;
  private final CountDownLatch requested = new CountDownLatch(1);
  private volatile long requestedAtNanos;
  private volatile double stopSeconds;

  GracefulShutdown(DaemonParts parts, LifecycleState state, HandoverCoordinator handover) {
    this.parts = parts;
    this.state = state;
    this.handover = handover;
    stopSeconds = parts.config().stopSeconds();
  }

  /** Requests the shutdown; only the first request has an effect. */
  void request() {
    if (requested.getCount() > 0) {
      requestedAtNanos = System.nanoTime();
      requested.countDown();
    }
  }

  /** Waits for the shutdown request, drains, and returns when the process may end. */
  void awaitRequestAndDrain() throws InterruptedException {
    requested.await();
    if (enterDraining()) {
      drainAlone();
    } else {
      drainBesideSuccessor();
    }
    state.enter(Lifecycle.State.CLOSING);
    // A request that arrives from here on could not be answered: refuse connections instead.
    parts.frontends().stopListening();
    awaitAnswersAndDisconnects();
    // Peers that are still connected get no further request accepted, so none stays unanswered.
    parts.frontends().finish();
    awaitLastDisconnects();
    parts.storedResults().close(Math.max(0, (long) (remainingSeconds() * 1000)));
    state.enter(Lifecycle.State.STOPPED);
  }

  /** Enters DRAINING; returns true if no other process serves the clients of this host. */
  private boolean enterDraining() {
    return handover.runLocked(
        () -> {
          boolean isAlone = state.current() != Lifecycle.State.RELINQUISHED;
          state.enter(Lifecycle.State.DRAINING);
          return isAlone;
        });
  }

  /** Announces the shutdown to front ends, and accepts requests for the grace period. */
  private void drainAlone() throws InterruptedException {
    beginRequestShutdown();
    double graceSeconds =
        Math.min(
                parts.config().settings().timing().drainGraceSeconds()
                    - AdmissionController.DRAIN_MARGIN_SECONDS,
                parts.config().stopSeconds() - 2 * ANSWER_MARGIN_SECONDS)
            + IN_TRANSIT_SECONDS;
    double remainingAcceptSeconds =
        graceSeconds - (parts.config().stopSeconds() - remainingSeconds());
    if (remainingAcceptSeconds > 0) {
      Thread.sleep((long) (remainingAcceptSeconds * 1000));
    }
  }

  /** The successor serves the host; requests in flight here complete within their deadlines. */
  private void drainBesideSuccessor() {
    double longestDeadlineSeconds =
        parts.config().settings().classes().stream()
            .mapToDouble(Admission.RequestClass::deadlineSeconds)
            .max()
            .orElse(MAX_RELINQUISHED_SECONDS);
    stopSeconds =
        RELINQUISHED_MARGIN_SECONDS + Math.min(MAX_RELINQUISHED_SECONDS, longestDeadlineSeconds);
    beginRequestShutdown();
  }

  private void beginRequestShutdown() {
    parts.requests().beginShutdown(Math.max(0, remainingSeconds() - ANSWER_MARGIN_SECONDS));
  }

  /**
   * Waits until all responses are sent and all connections are closed. The last process that knows
   * the keys of the host waits until its stop, so that another process can receive them.
   */
  private void awaitAnswersAndDisconnects() throws InterruptedException {
    do {
      parts.requests().awaitDrained(Math.max(0, remainingSeconds() - CONNECTION_MARGIN_SECONDS));
      Thread.sleep(CONNECTION_POLL_INTERVAL_MILLIS);
    } while (remainingSeconds() > CONNECTION_MARGIN_SECONDS
        && (handover.isLastKeyHolder() || parts.frontends().hasConnections()));
  }

  private void awaitLastDisconnects() throws InterruptedException {
    while (remainingSeconds() > CONNECTION_MARGIN_SECONDS / 2
        && parts.frontends().hasConnections()) {
      Thread.sleep(CONNECTION_POLL_INTERVAL_MILLIS);
    }
  }

  private double remainingSeconds() {
    return stopSeconds - (System.nanoTime() - requestedAtNanos) / 1e9;
  }
}
