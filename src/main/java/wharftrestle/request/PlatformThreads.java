package wharftrestle.request;

import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;

/**
 * Makes the daemon's threads: platform threads with small stacks that do not keep the process
 * alive, and whose faults are logged.
 */
public final class PlatformThreads {
  private static final int STACK_BYTES = 192 * 1024;

  /** Pause before a restart, so that a lasting fault does not take a core. */
  private static final long RESTART_PAUSE_NANOS = 50_000_000L;

  private PlatformThreads() {}

  /** A thread, not started, whose end by a fault is logged. */
  public static Thread thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler(
        (failed, fault) -> Logger.error(fault, "thread ended by a fault thread={}", name));
    return thread;
  }

  /**
   * The same for a thread on which the daemon relies, such as a timer or a link: its body is run
   * again after a fault.
   */
  public static Thread restartingThread(String name, Runnable body) {
    return thread(
        name,
        () -> {
          for (; ; ) {
            try {
              body.run();
              return;
            } catch (RuntimeException | Error fault) {
              Logger.error(fault, "thread restarts after a fault thread={}", name);
              LockSupport.parkNanos(RESTART_PAUSE_NANOS);
            }
          }
        });
  }
}
