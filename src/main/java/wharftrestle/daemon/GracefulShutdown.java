package wharftrestle.daemon;

import java.util.concurrent.CountDownLatch;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;

/**
 * Waits for the notice to leave, answers all that was read, and ends the connections before the
 * process is stopped. The sequence runs on the main thread; {@link #request} may be called from
 * any.
 */
final class GracefulShutdown {
  /** Before the process is stopped by which all answers are out, also under contention. */
  private static final double ANSWER_MARGIN_SECONDS = 0.5;

  /** Before the stop from which on open connections are no longer waited for. */
  private static final double CONNECTION_MARGIN_SECONDS = 0.35;

  /** After the grace period, in which requests that were on their way are still taken. */
  private static final double IN_TRANSIT_SECONDS = 0.05;

  /**
   * After the notice by which a relinquished process has ended: its longest deadline, or this, and
   * the margin.
   */
  private static final double MAX_RELINQUISHED_SECONDS = 3;

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

  /** Gives the notice to leave; only the first one counts. */
  void request() {
    if (requested.getCount() > 0) {
      requestedAtNanos = System.nanoTime();
      requested.countDown();
    }
  }

  /** Waits for the notice, and returns when the process may end. */
  void awaitRequestAndDrain() throws InterruptedException {
    requested.await();
    if (enterDraining()) {
      drainAlone();
    } else {
      drainBesideSuccessor();
    }
    state.enter(Lifecycle.State.CLOSING);
    // What comes from here on could not be answered: a refused connection serves callers better.
    parts.frontends().stopListening();
    awaitAnswersAndDisconnects();
    // What peers that never disconnect send from here on is not read, and so is not lost.
    parts.frontends().finish();
    awaitLastDisconnects();
    parts.storedResults().close(Math.max(0, (long) (remainingSeconds() * 1000)));
    state.enter(Lifecycle.State.STOPPED);
  }

  /** True where no other process serves the clients of this host. */
  private boolean enterDraining() {
    return handover.locked(
        () -> {
          boolean isAlone = state.current() != Lifecycle.State.RELINQUISHED;
          state.enter(Lifecycle.State.DRAINING);
          return isAlone;
        });
  }

  /** Tells front ends to leave, and takes requests until they have had the time for it. */
  private void drainAlone() throws InterruptedException {
    leaveRequests();
    double graceSeconds =
        Math.min(
                parts.config().settings().timing().drainGraceSeconds()
                    - AdmissionController.DRAIN_MARGIN_SECONDS,
                parts.config().stopSeconds() - 2 * ANSWER_MARGIN_SECONDS)
            + IN_TRANSIT_SECONDS;
    double openSeconds = graceSeconds - (parts.config().stopSeconds() - remainingSeconds());
    if (openSeconds > 0) {
      Thread.sleep((long) (openSeconds * 1000));
    }
  }

  /**
   * The host is served by the successor: what is in flight here ends in the time of its deadlines.
   */
  private void drainBesideSuccessor() {
    double longestDeadlineSeconds =
        parts.config().settings().classes().stream()
            .mapToDouble(Admission.RequestClass::deadlineSeconds)
            .max()
            .orElse(MAX_RELINQUISHED_SECONDS);
    stopSeconds =
        RELINQUISHED_MARGIN_SECONDS + Math.min(MAX_RELINQUISHED_SECONDS, longestDeadlineSeconds);
    leaveRequests();
  }

  private void leaveRequests() {
    parts.requests().beginShutdown(Math.max(0, remainingSeconds() - ANSWER_MARGIN_SECONDS));
  }

  /**
   * The last process that knows the keys of the host stays, so that a further one can receive them.
   */
  private void awaitAnswersAndDisconnects() throws InterruptedException {
    do {
      parts.requests().awaitDrained(Math.max(0, remainingSeconds() - CONNECTION_MARGIN_SECONDS));
      Thread.sleep(CONNECTION_POLL_INTERVAL_MILLIS);
    } while (remainingSeconds() > CONNECTION_MARGIN_SECONDS
        && (handover.isLastHolder() || parts.frontends().hasConnections()));
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
