package wharftrestle.testbed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The cores of a fake worker pool: executions of equal length wait for a free one in the order of
 * their arrival. Thread-safe.
 */
final class LimitedCores {
  private record Execution(String reference, Runnable atEnd) {}

  private final int cores;
  private final int executionMs;
  private final ScheduledExecutorService timer;
  private final ArrayDeque<Execution> waiting = new ArrayDeque<>();
  private final Map<String, ScheduledFuture<?>> running = new HashMap<>();

  LimitedCores(int cores, int executionMs, ScheduledExecutorService timer) {
    this.cores = cores;
    this.executionMs = executionMs;
    this.timer = timer;
  }

  synchronized double busyFraction() {
    return running.size() / (double) cores;
  }

  /** Executions that occupy a core or wait for one. */
  synchronized int runnable() {
    return running.size() + waiting.size();
  }

  /** Starts an execution as soon as a core is free. */
  synchronized void run(String reference, Runnable atEnd) {
    waiting.add(new Execution(reference, atEnd));
    startWaiting();
  }

  private void startWaiting() {
    while (running.size() < cores && !waiting.isEmpty()) {
      Execution next = waiting.poll();
      running.put(
          next.reference(),
          timer.schedule(() -> complete(next), executionMs, TimeUnit.MILLISECONDS));
    }
  }

  private void complete(Execution execution) {
    synchronized (this) {
      if (running.remove(execution.reference()) == null) {
        return; // cancelled
      }
      startWaiting();
    }
    execution.atEnd().run();
  }

  /** Ends an execution early; false if it has ended. Its end action is not called. */
  synchronized boolean cancel(String reference) {
    ScheduledFuture<?> timerTask = running.remove(reference);
    if (timerTask == null) {
      return waiting.removeIf(each -> each.reference().equals(reference));
    }
    timerTask.cancel(false);
    startWaiting();
    return true;
  }
}
