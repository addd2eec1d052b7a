package wharftrestle.daemon;

import org.tinylog.Logger;
import wharftrestle.daemon.Lifecycle.State;

/**
 * The state of a daemon between its start and its exit, and its uptime. Each change is logged.
 * Thread-safe; the lock of {@link HandoverCoordinator} guards the order of changes.
 */
final class LifecycleState {
  private final String daemonName;
  private final long startedAtNanos = System.nanoTime();
  private volatile State current = State.STARTING;

  LifecycleState(String daemonName) {
    this.daemonName = daemonName;
  }

  State current() {
    return current;
  }

  void enter(State next) {
    current = next;
    Logger.info("{}: lifecycle state={}", daemonName, next.publishedName());
  }

  /** True once a shutdown has been requested. */
  boolean isShuttingDown() {
    return current.compareTo(State.RELINQUISHED) > 0;
  }

  double uptimeSeconds() {
    return (System.nanoTime() - startedAtNanos) / 1e9;
  }
}
