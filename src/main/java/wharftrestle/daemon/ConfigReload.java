package wharftrestle.daemon;

import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters;

/**
 * Applies a new configuration to a daemon that serves: the addresses of the worker pool, the store
 * and the name service. All else needs a new start. A configuration that cannot be used changes
 * nothing. Thread-safe.
 */
final class ConfigReload {
  private final DaemonParts parts;

  ConfigReload(DaemonParts parts) {
    this.parts = parts;
  }

  synchronized void apply(Lifecycle.ConfigSource source) {
    DaemonConfig next;
    try {
      next = source.read();
    } catch (DaemonConfig.BadConfigException | RuntimeException e) {
      Logger.warn("the new configuration cannot be used, the old one holds: {}", e.getMessage());
      return;
    }
    if (lacksStore(next)) {
      Logger.warn("the new configuration cannot be used, the old one holds: it names no store");
      return;
    }
    moveTo(next);
  }

  /** A file of another site would leave executions that call the store without it. */
  private boolean lacksStore(DaemonConfig next) {
    return next.db() == null
        && parts.config().settings().calls().dependency() != Admission.Dependency.NONE;
  }

  private void moveTo(DaemonConfig next) {
    parts.workerPool().moveTo(next.pool());
    parts.store().moveTo(next.db());
    parts.loadReporter().moveTo(next.naming());
    parts.counters().add(Counters.Count.RELOADS);
    Logger.info(
        "{} has a new configuration: pool {}, store {}, name service {}",
        parts.config().name(),
        next.pool(),
        next.db() == null ? "none" : next.db(),
        next.naming());
  }
}
