package wharftrestle.prove;

import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.idempotency.KeyMemoryBudget;

/**
 * The daemon without a memory budget of the key table. A proof runs it to see that memory then
 * grows past its limit.
 */
public final class Unbounded {
  private Unbounded() {}

  public static void main(String[] args) throws Exception {
    Lifecycle lifecycle =
        new Lifecycle(
            DaemonConfig.read(System.getenv()),
            DaemonConfig.Appliance.none(),
            KeyMemoryBudget.unbounded());
    lifecycle.start();
    lifecycle.serveUntilStopped();
  }
}
