package wharftrestle.storage;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The writer thread's work: takes all records that wait, writes them as one batch, notifies who
 * waits, and removes what expired. After a failure of the disk it writes nothing until a fresh
 * segment could be begun: after a failed sync the kernel may have dropped pages of the old one.
 */
final class LogWriter implements Runnable {
  /** Between two looks for expired segments while no record comes. */
  private static final long POLL_MILLIS = 250;

  private static final long RETRY_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long IDLE = 0;

  private final GroupCommitQueue<PendingRecord> queue;
  private final SegmentWriter segments;
  private final boolean batchOfOne;
  private final LogMetrics metrics;
  private final Consumer<PendingRecord> processed;
  private volatile boolean failed;
  private volatile long batchBeganNanos = IDLE;
  private long failedAtNanos;

  /**
   * A writer that has not begun.
   *
   * @param batchOfOne true where each record is synced alone
   * @param processed called for each record before its listener is notified
   */
  LogWriter(
      GroupCommitQueue<PendingRecord> queue,
      SegmentWriter segments,
      boolean batchOfOne,
      LogMetrics metrics,
      Consumer<PendingRecord> processed) {
    this.queue = queue;
    this.segments = segments;
    this.batchOfOne = batchOfOne;
    this.metrics = metrics;
    this.processed = processed;
  }

  /** Begins the first segment; false, and failed for now, where the space budget allows none. */
  boolean beginFirstSegment() throws IOException {
    if (segments.hasCapacityForSegment()) {
      segments.beginSegment();
      return true;
    }
    // Not an error of the start: old segments expire soon, and then one is begun.
    failedAtNanos = System.nanoTime();
    failed = true;
    return false;
  }

  /** True while nothing is written, as the disk failed; from any thread. */
  boolean isFailed() {
    return failed;
  }

  /** True where the batch in hand takes longer than so many seconds; from any thread. */
  boolean isStalled(double seconds) {
    long began = batchBeganNanos;
    return began != IDLE && System.nanoTime() - began > seconds * NANOS_PER_SECOND;
  }

  @Override
  public void run() {
    try {
      writeUntilClosed();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error fault) {
      Logger.error(fault, "write-ahead log writer ended by a fault");
      failed = true;
    } finally {
      // Records must not wait for a writer that has ended.
      queue.close();
      queue.drain().forEach(PendingRecord::notifyListener);
    }
  }

  private void writeUntilClosed() throws InterruptedException {
    while (true) {
      List<PendingRecord> records = queue.awaitBatch(POLL_MILLIS);
      if (!records.isEmpty()) {
        commit(records);
      } else if (queue.isClosed()) {
        return;
      }
      maintain();
    }
  }

  private void commit(List<PendingRecord> records) {
    if (!failed) {
      batchBeganNanos = System.nanoTime();
      try {
        write(records);
      } catch (IOException | RuntimeException | Error e) {
        // Errors too: a short lack of memory must neither end the writer nor leave a batch waiting.
        fail(e);
      } finally {
        batchBeganNanos = IDLE;
      }
    }
    for (PendingRecord pending : records) {
      processed.accept(pending);
      pending.notifyListener();
    }
  }

  private void write(List<PendingRecord> records) throws IOException {
    if (!batchOfOne) {
      segments.write(records);
      return;
    }
    for (PendingRecord pending : records) {
      segments.write(List.of(pending));
    }
  }

  private void maintain() {
    try {
      segments.removeExpired(LogClock.seconds());
      if (failed && isRetryDue()) {
        segments.beginSegmentAfterFailure();
        failed = false;
        Logger.info("write-ahead log accepts records again");
      }
    } catch (IOException | RuntimeException | Error e) {
      if (!failed || isRetryDue()) {
        fail(e);
      }
    }
  }

  private boolean isRetryDue() {
    return System.nanoTime() - failedAtNanos > RETRY_AFTER_FAILURE_NANOS;
  }

  private void fail(Throwable cause) {
    metrics.countError();
    failedAtNanos = System.nanoTime();
    failed = true;
    Logger.error(
        "write-ahead log failed, keyed requests are rejected until a segment can be begun cause={}",
        cause.toString());
  }
}
