package wharftrestle.storage;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The task of the writer thread: drains the queue, writes the records as one batch, notifies their
 * listeners, and deletes expired segments. After a disk failure it writes nothing until it could
 * create a new segment, because after a failed sync the kernel may have dropped pages of the old
 * one.
 */
final class LogWriter implements Runnable {
  /** Interval between checks for expired segments while no records are queued. */
  private static final long POLL_MILLIS = 250;

  private static final long RETRY_AFTER_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long NO_BATCH = 0;

  private final GroupCommitQueue<PendingRecord> queue;
  private final SegmentWriter segments;
  private final boolean syncEachRecord;
  private final LogMetrics metrics;
  private final Consumer<PendingRecord> processed;
  private volatile boolean failed;
  private volatile long batchStartNanos = NO_BATCH;
  private long failedAtNanos;

  /**
   * Creates a writer; the caller begins the first segment and then starts the thread.
   *
   * @param syncEachRecord true if each record is written and synced as a batch of its own
   * @param processed called for each record before its listener is notified
   */
  LogWriter(
      GroupCommitQueue<PendingRecord> queue,
      SegmentWriter segments,
      boolean syncEachRecord,
      LogMetrics metrics,
      Consumer<PendingRecord> processed) {
    this.queue = queue;
    this.segments = segments;
    this.syncEachRecord = syncEachRecord;
    this.metrics = metrics;
    this.processed = processed;
  }

  /**
   * Begins the first segment; if the space budget allows none, returns false in the failed state.
   */
  boolean beginFirstSegment() throws IOException {
    if (segments.hasCapacityForSegment()) {
      segments.beginSegment();
      return true;
    }
    // Not an error at startup: old segments expire soon, and then a new one is created.
    failedAtNanos = System.nanoTime();
    failed = true;
    return false;
  }

  /**
   * True while no records are written, after a disk failure or for lack of capacity; safe to call
   * from any thread.
   */
  boolean isFailed() {
    return failed;
  }

  /** True if the current batch takes longer than the given time; safe to call from any thread. */
  boolean isStalled(double seconds) {
    long startNanos = batchStartNanos;
    return startNanos != NO_BATCH && System.nanoTime() - startNanos > seconds * NANOS_PER_SECOND;
  }

  @Override
  public void run() {
    try {
      writeUntilClosed();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error e) {
      Logger.error(e, "write-ahead log writer thread terminated by an exception");
      failed = true;
    } finally {
      // Listeners of queued records must be notified after the writer has ended.
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
      batchStartNanos = System.nanoTime();
      try {
        write(records);
      } catch (IOException | RuntimeException | Error e) {
        // Errors too: a short lack of memory must neither end the writer nor leave the listeners of
        // a
        // batch without notification.
        fail(e);
      } finally {
        batchStartNanos = NO_BATCH;
      }
    }
    for (PendingRecord pending : records) {
      processed.accept(pending);
      pending.notifyListener();
    }
  }

  private void write(List<PendingRecord> records) throws IOException {
    if (!syncEachRecord) {
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
        "write-ahead log failed, keyed requests are rejected until a segment can be created cause={}",
        cause.toString());
  }
}
