package wharftrestle.prove;

import java.util.Optional;
import sun.misc.Signal;
import wharftrestle.config.DaemonConfig;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.idempotency.KeyMemoryBudget;

/** The daemon that hands over to whoever asks, as a test runs it against the real one. */
public final class Unagreed {
  private Unagreed() {}

  public static void main(String[] args) throws Exception {
    Lifecycle life =
        new Lifecycle(
            DaemonConfig.read(System.getenv()),
            DaemonConfig.Appliance.none(),
            KeyMemoryBudget.ofHeap(Runtime.getRuntime().maxMemory()),
            (predecessor, successor) -> Optional.empty());
    Signal.handle(new Signal("TERM"), signal -> life.leave());
    life.start();
    life.serveUntilStopped();
    System.exit(0);
  }
}
