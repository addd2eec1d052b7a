package wharftrestle.request;

/**
 * What health checks and load reports show of this host. Written under the coordinator's lock or by
 * its own setters, read by any thread.
 */
final class HostHealth {
  private HealthListener listener = isHealthy -> {};
  private volatile boolean isModuleHealthy = true;
  private volatile boolean isDraining;
  private volatile boolean isRelinquished;

  void start(HealthListener reporter) {
    listener = reporter;
  }

  /** The health as the admission module judges it, with the operator's drain over it. */
  boolean isHealthy() {
    // A process that hands its clients over ends as intended: its own end is no fault of the host.
    return (isModuleHealthy || isRelinquished) && !isDraining;
  }

  boolean isDraining() {
    return isDraining;
  }

  void setDraining(boolean draining) {
    isDraining = draining;
    listener.onHealthChanged(isHealthy());
  }

  void setRelinquished(boolean relinquished) {
    isRelinquished = relinquished;
  }

  void moduleDecided(boolean healthy) {
    isModuleHealthy = healthy;
    listener.onHealthChanged(isHealthy());
  }
}
