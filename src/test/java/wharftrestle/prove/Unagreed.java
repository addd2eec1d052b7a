package wharftrestle.prove;

import sun.misc.Signal;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.idempotency.KeyMemoryBudget;

/**
 * The daemon that hands over to whoever asks: what a proof plays beside the real one, and never
 * more.
 */
public final class Unagreed {
  private Unagreed() {}

  public static void main(String[] args) throws Exception {
    Lifecycle life =
        new Lifecycle(
            DaemonConfig.read(System.getenv()),
            DaemonConfig.Appliance.none(),
            KeyMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()),
            (serves, next) -> null);
    Signal.handle(new Signal("TERM"), signal -> life.leave());
    life.start();
    life.serveUntilStopped();
    System.exit(0);
  }
}
