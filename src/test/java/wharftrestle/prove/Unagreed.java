package wharftrestle.prove;

import java.util.Optional;
import sun.misc.Signal;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.idempotency.KeyMemoryBudget;

/**
 * The daemon without the compatibility check of a handover. A proof runs it to see that the missing
 * check breaks a rule.
 */
public final class Unagreed {
  private Unagreed() {}

  public static void main(String[] args) throws Exception {
    Lifecycle lifecycle =
        new Lifecycle(
            DaemonConfig.read(System.getenv()),
            DaemonConfig.Appliance.none(),
            KeyMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()),
            (predecessor, successor) -> Optional.empty());
    Signal.handle(new Signal("TERM"), signal -> lifecycle.leave());
    lifecycle.start();
    lifecycle.serveUntilStopped();
    System.exit(0);
  }
}
