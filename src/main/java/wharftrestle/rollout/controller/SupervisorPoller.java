package wharftrestle.rollout.controller;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.tinylog.Logger;
import wharftrestle.rollout.RolloutPlan;

/**
 * Polls one supervisor in its own thread: claims the epoch or sends a heartbeat, passes the answer
 * to {@link RolloutExecution}, and sends the pending order if there is one. No lock is held during
 * a call.
 */
final class SupervisorPoller implements Runnable {
  /** Several polls fit in one lease. */
  private static final long POLL_INTERVAL_MS = 500;

  private final RolloutPlan.Host host;
  private final RolloutExecution execution;
  private final SupervisorClient supervisors;
  private final BooleanSupplier isStopped;

  SupervisorPoller(
      RolloutPlan.Host host,
      RolloutExecution execution,
      SupervisorClient supervisors,
      BooleanSupplier isStopped) {
    this.host = host;
    this.execution = execution;
    this.supervisors = supervisors;
    this.isStopped = isStopped;
  }

  @Override
  public void run() {
    while (!isStopped.getAsBoolean()) {
      try {
        poll().ifPresent(this::sendOrder);
      } catch (IOException unreachable) {
        Logger.debug(
            "supervisor does not answer: host={} reason={}", host.name(), unreachable.getMessage());
      } catch (RuntimeException fault) {
        Logger.error(fault, "poll failed: host={}", host.name());
      }
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Polls once and returns the order that may be sent afterwards, if any. */
  private Optional<PendingOrder> poll() throws IOException {
    double sentAt = MonotonicClock.seconds();
    RolloutExecution.Poll poll = execution.nextPoll(host.name());
    String controller = execution.controller();
    SupervisorClient.Answer answer =
        poll.claims()
            ? supervisors.claim(host.supervisor(), poll.epoch(), controller)
            : supervisors.heartbeat(
                host.supervisor(), poll.epoch(), controller, poll.stage(), poll.verdict());
    return execution.onAnswer(host.name(), poll.epoch(), answer, sentAt, MonotonicClock.seconds());
  }

  private void sendOrder(PendingOrder order) {
    Optional<RolloutExecution.Permit> permit =
        execution.permit(host.name(), MonotonicClock.seconds());
    if (permit.isEmpty()) {
      return;
    }
    long epoch = permit.get().epoch();
    try {
      SupervisorClient.Answer answer =
          supervisors.order(
              host.supervisor(),
              epoch,
              execution.controller(),
              permit.get().leaseToken(),
              order.release(),
              order.rollback());
      execution.onOrderAnswer(host.name(), epoch, answer);
    } catch (IOException unknown) {
      // The order may have been received; the next report of the host will show it.
      Logger.debug("order was not answered: host={} reason={}", host.name(), unknown.getMessage());
    }
  }
}
