package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.ResultStore;

/** Counts metrics of the log from several threads at once. */
class LogMetricsTest {
  private static final int THREADS = 4;
  private static final int RESULTS_PER_THREAD = 20_000;

  private final WriteAheadLog log =
      new WriteAheadLog(WriteAheadLogTest.settings(4, "group"), MemorySegmentStore::new);

  @Test
  void countUnsaved_fromSeveralThreads_losesNoCount() throws Exception {
    CountDownLatch start = new CountDownLatch(1);
    Thread[] threads = new Thread[THREADS];
    for (int i = 0; i < THREADS; i++) {
      threads[i] = new Thread(() -> writeUnsavedResults(start), "results " + i);
      threads[i].start();
    }

    start.countDown();
    for (Thread thread : threads) {
      thread.join();
    }

    assertEquals(
        (long) THREADS * RESULTS_PER_THREAD, log.metrics().get(ResultMetric.UNSAVED_RESULTS));
  }

  /** A log that is not open writes no result, so each one counts as unsaved. */
  private void writeUnsavedResults(CountDownLatch start) {
    try {
      start.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    ResultStore.KeyRecord key = new ResultStore.KeyRecord("2/0/k", 1, 20, 5);
    for (int i = 0; i < RESULTS_PER_THREAD; i++) {
      log.writeResult(key, null, location -> {});
    }
  }
}
