package wharftrestle.daemon;

import org.tinylog.Logger;
import wharftrestle.admission.Admission;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters;

/**
 * Applies a new configuration to a serving daemon: the addresses of the worker pool, the store and
 * the name service. All other values need a restart. An invalid configuration changes nothing.
 * Thread-safe.
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
      Logger.warn(
          "configuration reload failed, keeping the previous configuration error={}",
          e.getMessage());
      return;
    }
    if (lacksStore(next)) {
      Logger.warn(
          "configuration reload failed, keeping the previous configuration error=the new one names"
              + " no store, but executions call a store");
      return;
    }
    applyAddresses(next);
  }

  /** Detects a configuration without a store at a site whose executions call the store. */
  private boolean lacksStore(DaemonConfig next) {
    return next.db() == null
        && parts.config().settings().calls().dependency() != Admission.Dependency.NONE;
  }

  private void applyAddresses(DaemonConfig next) {
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
