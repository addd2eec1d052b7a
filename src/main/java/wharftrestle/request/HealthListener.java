package wharftrestle.request;

/** Is notified of the health that checks and load reports show; under the coordinator's lock. */
@FunctionalInterface
public interface HealthListener {
  /** Called at each decision on health, changed or not. */
  void onHealthChanged(boolean isHealthy);
}
