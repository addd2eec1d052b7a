package wharftrestle.request;

import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;

/**
 * Creates the daemon's threads: platform threads with small stacks that do not keep the process
 * alive and whose uncaught exceptions are logged.
 */
public final class PlatformThreads {
  private static final int STACK_BYTES = 192 * 1024;

  /** Pause before a restart, so that a persistent fault does not occupy a core. */
  private static final long RESTART_PAUSE_NANOS = 50_000_000L;

  private PlatformThreads() {}

  /** Creates a thread, not started, that logs an uncaught exception. */
  public static Thread thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler(
        (failed, fault) ->
            Logger.error(fault, "thread ended by an uncaught exception thread={}", name));
    return thread;
  }

  /**
   * Creates a thread that runs its body again after an uncaught exception, for threads that the
   * daemon cannot do without, such as a timer or a link.
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
              Logger.error(fault, "thread restarts after an uncaught exception thread={}", name);
              LockSupport.parkNanos(RESTART_PAUSE_NANOS);
            }
          }
        });
  }
}
