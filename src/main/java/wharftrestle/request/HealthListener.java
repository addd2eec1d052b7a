package wharftrestle.request;

/** Receives the health shown by health checks and load reports, under the coordinator's lock. */
@FunctionalInterface
public interface HealthListener {
  /** Called at each decision on health, whether or not it changed. */
  void onHealthChanged(boolean isHealthy);
}
