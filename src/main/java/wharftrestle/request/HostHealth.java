package wharftrestle.request;

/**
 * The health of this host as health checks and load reports show it. Set under the coordinator's
 * lock, except {@link #setRelinquished}; read by any thread.
 */
final class HostHealth {
  private HealthListener listener = isHealthy -> {};
  private volatile boolean isModuleHealthy = true;
  private volatile boolean isDraining;
  private volatile boolean isRelinquished;

  void start(HealthListener healthListener) {
    listener = healthListener;
  }

  /** False while an operator drains the host, otherwise the admission module's decision. */
  boolean isHealthy() {
    // A process that has relinquished its clients ends as intended, so the host is healthy.
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

  void setModuleHealthy(boolean healthy) {
    isModuleHealthy = healthy;
    listener.onHealthChanged(isHealthy());
  }
}
