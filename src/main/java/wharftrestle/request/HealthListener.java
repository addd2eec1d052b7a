package wharftrestle.request;

/** Is notified of the health that checks and load reports show; under the coordinator's lock. */
@FunctionalInterface
public interface HealthListener {
  void onHealthChanged(boolean isHealthy);
}
