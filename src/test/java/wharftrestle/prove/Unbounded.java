package wharftrestle.prove;

import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.idempotency.KeyMemoryBudget;

/**
 * The daemon with no bound on what it knows of keys: what a proof plays beside the real one, and
 * never more.
 */
public final class Unbounded {
  private Unbounded() {}

  public static void main(String[] args) throws Exception {
    Lifecycle life =
        new Lifecycle(
            DaemonConfig.read(System.getenv()),
            DaemonConfig.Appliance.none(),
            KeyMemoryBudget.unbounded());
    life.start();
    life.serveUntilStopped();
  }
}
