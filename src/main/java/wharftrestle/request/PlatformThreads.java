package wharftrestle.request;

import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;

/**
 * Makes the program's threads: platform threads with small stacks, of which none ends by a fault in
 * silence. It owns no thread that it has made, and must never decide what one does.
 */
public final class PlatformThreads {
  private static final int STACK = 192 * 1024;

  /**
   * Nanoseconds before a thread that ended by a fault begins again: no spinning where memory is
   * short.
   */
  private static final long FAULT_NANOS = 50_000_000L;

  private PlatformThreads() {}

  /**
   * A platform thread with a small stack that does not keep the process alive; a fault that ends it
   * is logged.
   */
  public static Thread thread(String name, Runnable body) {
    Thread thread = new Thread(null, body, name, STACK);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler(
        (ended, fault) -> Logger.error(fault, "thread {} ended by a fault", name));
    return thread;
  }

  /**
   * The same for a thread on which the process relies: what it does begins again after a fault.
   * Guards against a timer, a link or reports that have ended and that nobody misses until a
   * request does.
   */
  public static Thread restartingThread(String name, Runnable body) {
    return thread(
        name,
        () -> {
          for (boolean again = true; again; ) {
            try {
              body.run();
              again = false;
            } catch (RuntimeException | Error fault) {
              Logger.error(fault, "thread {} ended by a fault; it begins again", name);
              LockSupport.parkNanos(FAULT_NANOS);
            }
          }
        });
  }
}
