package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.PendingIntent;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.ResultStore;

/**
 * The write-ahead log of intent records and result records. Callers enqueue records without waiting
 * for the disk, and one writer thread ({@link LogWriter}) writes them as group commits. While the
 * log is open, it holds the lock of its folder, runs the writer thread and reserves space for the
 * results of executions in flight. Records on disk are never overwritten, and after a disk failure
 * writing continues only in a new segment. Whether a key may run is decided by the caller.
 *
 * <p>Callers hold the lock of the request coordinator. The reservations are protected by the
 * monitor of the space budget, which is held only for arithmetic.
 *
 * <pre>
 * state   meaning                             next
 * CLOSED  the folder is not locked            OPEN, FAILED (open)
 * OPEN    records are written                 FAILED (a disk error), CLOSED (close)
 * FAILED  nothing is written, keyed requests  OPEN (a new segment was created),
 *         are rejected                        CLOSED (close)
 * </pre>
 */
public final class WriteAheadLog implements ResultStore, AutoCloseable {

  /** The state of the log; the MIB numbers the states in this order. */
  public enum State {
    CLOSED,
    OPEN,
    FAILED
  }

  /** Opens the segment store; tests supply one that injects faults. */
  interface StoreOpener {
    SegmentStore open() throws IOException;
  }

  private static final String WRITER_THREAD = "results";
  private static final long CLOSE_TIMEOUT_MILLIS = 2500;

  /** Retry-After of a rejection when it is unknown how long its cause will last. */
  private static final double DEFAULT_RETRY_AFTER_SECONDS = 0.25;

  /**
   * Size of the first read for a result; covers the longest result that the protocol allows. The
   * log format allows longer ones, which take a second read.
   */
  private static final int FIRST_READ_BYTES = 5 * 1024;

  private final DaemonConfig.Durable settings;
  private final StoreOpener opener;
  private final SpaceBudget space;
  // By key; guarded by space.
  private final Map<String, Integer> reservedIntentBytes = new HashMap<>();
  private final LogMetrics metrics = new LogMetrics();
  private volatile GroupCommitQueue<PendingRecord> queue;
  private volatile LogWriter writer; // null while closed
  private volatile SegmentStore store; // kept after close, for reads
  private Thread writerThread;

  /** Creates a closed log for the configured folder. */
  public WriteAheadLog(DaemonConfig.Durable settings) {
    this(settings, () -> new FileSegmentStore(settings.folder()));
  }

  WriteAheadLog(DaemonConfig.Durable settings, StoreOpener opener) {
    this.settings = settings;
    this.opener = opener;
    space = new SpaceBudget(settings.most());
  }

  // ---- Opening and closing ----

  /** Opens the log and recovers as many keys as are configured, whatever their names. */
  public ResultStore.RecoveredKeys open(double longestWindowSeconds) throws IOException {
    return open(longestWindowSeconds, settings.keys(), null);
  }

  /**
   * Locks the folder, recovers the records of earlier processes and starts the writer thread.
   *
   * @param longestWindowSeconds the longest idempotency window; if the log is damaged or has too
   *     many keys, unknown keys fail for this long
   * @param maxKeys keys that memory has space for
   * @param names of the positions in keys; if those of earlier processes disagree, their keys are
   *     dropped and unknown keys fail; null if positions are not checked
   * @return the recovered keys, in the order of their last records
   * @throws UnusableStorageException if another process holds the folder's lock, the format is
   *     foreign or newer, or the folder cannot be read or written; the message is one line
   */
  public synchronized ResultStore.RecoveredKeys open(
      double longestWindowSeconds, int maxKeys, KeyNames names) throws IOException {
    if (writer != null) {
      throw new IllegalStateException("expected a closed write-ahead log, found " + state());
    }
    long startNanos = System.nanoTime();
    SegmentStore opened = opener.open();
    try {
      if (names != null) {
        KeyPositionCheck.run(opened, names, settings.folder());
      }
      ResultStore.RecoveredKeys recovered = recoverAndStart(opened, longestWindowSeconds, maxKeys);
      metrics.recordRecoveryTime(System.nanoTime() - startNanos);
      return recovered;
    } catch (UnusableStorageException e) {
      opened.close();
      throw e;
    } catch (Segment.ForeignFormatException e) {
      opened.close();
      throw new UnusableStorageException(settings.folder() + ": " + e.getMessage(), e);
    } catch (IOException | RuntimeException e) {
      opened.close();
      throw new UnusableStorageException(settings.folder() + " cannot be used (" + e + ")", e);
    }
  }

  private ResultStore.RecoveredKeys recoverAndStart(
      SegmentStore opened, double longestWindowSeconds, int maxKeys)
      throws IOException, Segment.ForeignFormatException {
    synchronized (space) {
      reservedIntentBytes.clear();
    }
    double nowSeconds = LogClock.seconds();
    LogReader.Contents contents = LogReader.read(opened, space, nowSeconds, 0, maxKeys);
    Recovery recovery = contents.recovery();
    // Each start creates a segment, so repeated restarts would otherwise use up the space budget.
    if (!contents.damaged()
        && recovery.droppedCount() == 0
        && Compaction.isWorthwhile(space)
        && Compaction.run(opened, recovery, space.segmentBytes(), space.maxSegments())) {
      recovery.clear(); // so that memory never has all keys twice
      nowSeconds = LogClock.seconds();
      contents = LogReader.read(opened, space, nowSeconds, contents.batch(), maxKeys);
    }
    ResultStore.RecoveredKeys recovered = recoveredKeys(contents, nowSeconds, longestWindowSeconds);
    startWriter(opened, contents, nowSeconds + longestWindowSeconds + Recovery.LINGER_SECONDS);
    return recovered;
  }

  private ResultStore.RecoveredKeys recoveredKeys(
      LogReader.Contents contents, double nowSeconds, double longestWindowSeconds) {
    Recovery recovery = contents.recovery();
    logRecovery(contents, longestWindowSeconds);
    boolean mayLackKeys = contents.damaged() || recovery.droppedCount() > 0;
    return new ResultStore.RecoveredKeys(
        () -> recovery.keys().stream().map(key -> recoveredKey(key, nowSeconds)).iterator(),
        mayLackKeys ? nowSeconds + longestWindowSeconds : Double.NEGATIVE_INFINITY);
  }

  private static ResultStore.RecoveredKey recoveredKey(
      Recovery.RecoveredKey key, double nowSeconds) {
    return new ResultStore.RecoveredKey(
        key.key(),
        key.location(),
        key.coveredUntilMillis(),
        Recovery.expiresAtSeconds(key, nowSeconds),
        key.bodyChecksum());
  }

  private void logRecovery(LogReader.Contents contents, double longestWindowSeconds) {
    Recovery recovery = contents.recovery();
    metrics.recordRecovery(recovery.knownCount(), recovery.unknownCount(), contents.damaged());
    if (contents.damaged()) {
      Logger.error(
          "write-ahead log damaged; requests whose key is not in it fail for a time; to examine it, copy"
              + " the folder and run 'results verify' on the copy folder={} seconds={}",
          settings.folder(),
          (long) Math.ceil(longestWindowSeconds));
    }
    if (recovery.droppedCount() > 0) {
      Logger.error(
          "write-ahead log has more keys than memory has space for; requests whose key was not"
              + " recovered fail for a time records_dropped={} seconds={}",
          recovery.droppedCount(),
          (long) Math.ceil(longestWindowSeconds));
    }
    Logger.info(
        "write-ahead log recovered results={} outcomes_unknown={} expired={}; retries of requests with"
            + " an unknown result fail until their idempotency window ends",
        recovery.knownCount(),
        recovery.unknownCount(),
        recovery.expiredCount());
  }

  private void startWriter(
      SegmentStore opened, LogReader.Contents contents, double missingSegmentsExpireAtSeconds)
      throws IOException {
    boolean syncEnabled = !settings.sync().equals("none");
    SegmentWriter segments =
        new SegmentWriter(
            opened, space, syncEnabled, metrics, contents, missingSegmentsExpireAtSeconds);
    GroupCommitQueue<PendingRecord> newQueue = new GroupCommitQueue<>(settings.queue());
    boolean syncEachRecord = settings.sync().equals("each");
    LogWriter newWriter =
        new LogWriter(newQueue, segments, syncEachRecord, metrics, this::onProcessed);
    if (!newWriter.beginFirstSegment()) {
      Logger.warn(
          "write-ahead log has no capacity, keyed requests are rejected folder={}",
          settings.folder());
    }
    store = opened;
    queue = newQueue;
    writer = newWriter;
    writerThread = PlatformThreads.thread(WRITER_THREAD, newWriter);
    writerThread.start();
  }

  @Override
  public void close() {
    close(CLOSE_TIMEOUT_MILLIS);
  }

  /** Waits up to the timeout until the queued records are on disk, then unlocks the folder. */
  public synchronized void close(long timeoutMillis) {
    if (writer == null) {
      return;
    }
    queue.close();
    try {
      writerThread.join(Math.max(1, timeoutMillis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    writer = null;
    store.close();
  }

  /** The current state; safe to call from any thread. */
  public State state() {
    LogWriter current = writer;
    if (current == null) {
      return State.CLOSED;
    }
    return current.isFailed() ? State.FAILED : State.OPEN;
  }

  // ---- Admission to the log ----

  @Override
  public double intentTimeoutSeconds() {
    return settings.patience();
  }

  @Override
  public int maxKeys() {
    return settings.keys();
  }

  @Override
  public ResultStore.RejectionReason rejectionReason() {
    LogWriter current = writer;
    if (current == null || current.isFailed()) {
      return ResultStore.RejectionReason.DISK_FAILED;
    }
    if (current.isStalled(settings.patience())) {
      return ResultStore.RejectionReason.DISK_STALLED;
    }
    if (queue.queuedBytes() > settings.queue()) {
      return ResultStore.RejectionReason.DISK_BUSY;
    }
    synchronized (space) {
      return space.hasCapacityFor(SpaceBudget.RESERVED_BYTES_PER_INTENT)
          ? null
          : ResultStore.RejectionReason.STORE_FULL;
    }
  }

  @Override
  public double retryAfterSeconds(ResultStore.RejectionReason reason) {
    metrics.countRejection(reason);
    synchronized (space) {
      return reason == ResultStore.RejectionReason.STORE_FULL
          ? space.secondsUntilCapacity(LogClock.seconds())
          : DEFAULT_RETRY_AFTER_SECONDS;
    }
  }

  // ---- Records ----

  @Override
  public PendingIntent writeIntent(ResultStore.KeyRecord key, ResultStore.WriteListener listener) {
    PendingRecord intent = pending(LogRecord.Kind.INTENT, key, null, listener);
    if (!tryReserve(key.key(), intent.sizeBytes())) {
      return null;
    }
    if (!queue.add(intent, intent.sizeBytes(), false)) {
      releaseReservation(key.key());
      return null;
    }
    return intent;
  }

  @Override
  public void withdrawIntent(PendingIntent intent, ResultStore.KeyRecord key) {
    PendingRecord pending = (PendingRecord) intent;
    if (queue.withdraw(pending, pending.sizeBytes())) {
      releaseReservation(key.key());
    } else {
      discardIntent(key);
    }
  }

  @Override
  public void discardIntent(ResultStore.KeyRecord key) {
    releaseReservation(key.key());
    writeOutcome(LogRecord.Kind.VOID, key, null, location -> {});
  }

  @Override
  public void writeResult(
      ResultStore.KeyRecord key, byte[] result, ResultStore.WriteListener listener) {
    writeOutcome(
        result == null ? LogRecord.Kind.FAILED : LogRecord.Kind.RESULT, key, result, listener);
  }

  private void writeOutcome(
      LogRecord.Kind kind,
      ResultStore.KeyRecord key,
      byte[] result,
      ResultStore.WriteListener listener) {
    PendingRecord pending = pending(kind, key, result, listener);
    boolean exceedsMaxSize = result != null && result.length > LogRecord.MAX_RESULT_BYTES;
    if (exceedsMaxSize || writer == null || !queue.add(pending, pending.sizeBytes(), true)) {
      releaseReservation(key.key());
      if (kind != LogRecord.Kind.VOID) {
        metrics.countUnsaved();
      }
      listener.onWritten(RecordLocation.NOT_WRITTEN);
    }
  }

  private static PendingRecord pending(
      LogRecord.Kind kind,
      ResultStore.KeyRecord key,
      byte[] result,
      ResultStore.WriteListener listener) {
    LogRecord record =
        LogRecord.unstamped(
            kind,
            key.lastAttemptAtMillis(),
            (int) Math.ceil(key.retentionSeconds() * 1000),
            key.bodyChecksum(),
            key.key(),
            result == null ? new byte[0] : result);
    double expiresAtSeconds = LogClock.seconds() + key.retentionSeconds() + Recovery.LINGER_SECONDS;
    return new PendingRecord(record, expiresAtSeconds, listener);
  }

  private boolean tryReserve(String key, int intentBytes) {
    synchronized (space) {
      if (state() != State.OPEN
          || reservedIntentBytes.containsKey(key)
          || !space.tryReserve(intentBytes)) {
        return false;
      }
      reservedIntentBytes.put(key, intentBytes);
      return true;
    }
  }

  private void releaseReservation(String key) {
    synchronized (space) {
      Integer intentBytes = reservedIntentBytes.remove(key);
      if (intentBytes != null) {
        space.release(intentBytes);
      }
    }
  }

  /** Called on the writer thread for each record, whether or not it could be written. */
  private void onProcessed(PendingRecord pending) {
    LogRecord.Kind kind = pending.record().kind();
    boolean endsExecution = kind == LogRecord.Kind.RESULT || kind == LogRecord.Kind.FAILED;
    boolean rejectedIntent = kind == LogRecord.Kind.INTENT && !pending.isWritten();
    if (endsExecution || rejectedIntent) {
      releaseReservation(pending.record().key());
    }
    if (endsExecution && !pending.isWritten()) {
      metrics.countUnsaved();
    }
  }

  // ---- Reads and metrics ----

  @Override
  public byte[] readResult(String key, long location) throws IOException {
    SegmentStore source = store;
    if (source == null) {
      throw new IOException("the write-ahead log was never opened");
    }
    LogRecord record = readRecord(source, RecordLocation.unpack(location));
    if (record == null || record.kind() != LogRecord.Kind.RESULT || !record.key().equals(key)) {
      throw new IOException(
          "expected the result of a key at "
              + RecordLocation.unpack(location)
              + ", found "
              + (record == null ? "no record" : record.kind() + " or another key"));
    }
    return record.result();
  }

  private static LogRecord readRecord(SegmentStore source, RecordLocation at) throws IOException {
    ByteBuffer bytes = source.read(at.segment(), at.offset(), FIRST_READ_BYTES);
    int recordBytes = LogRecord.declaredSize(bytes, 0);
    if (recordBytes > FIRST_READ_BYTES) {
      bytes = source.read(at.segment(), at.offset(), recordBytes);
    }
    return LogRecord.readAt(bytes, 0);
  }

  @Override
  public Map<ResultMetric, Long> metrics() {
    GroupCommitQueue<PendingRecord> current = queue;
    return metrics.snapshot(state(), space, current == null ? 0 : current.queuedBytes());
  }
}
