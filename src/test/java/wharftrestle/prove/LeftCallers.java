package wharftrestle.prove;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import wharftrestle.testbed.FakeWorkerPool;

/**
 * Remembers when callers closed their connections, by the bodies of their requests. Thread-safe.
 */
final class LeftCallers {
  private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();

  /** Records that the callers of these requests have just left. */
  void left(String... bodies) {
    long now = System.nanoTime();
    for (String body : bodies) {
      leftAtNanos.put(body, now);
    }
  }

  /** Number of recorded requests. */
  int size() {
    return leftAtNanos.size();
  }

  /** Counts executions that started more than so many milliseconds after their caller had left. */
  int executionsAfter(FakeWorkerPool pool, long toleranceMs) {
    int count = 0;
    for (Map.Entry<String, Long> each : leftAtNanos.entrySet()) {
      for (long start : pool.executionStarts(each.getKey())) {
        count += start - each.getValue() > toleranceMs * 1_000_000 ? 1 : 0;
      }
    }
    return count;
  }
}
