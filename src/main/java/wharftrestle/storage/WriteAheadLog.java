package wharftrestle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.PendingIntent;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.ResultStore;

/**
 * The write-ahead log of intents and results: takes records from callers, who never wait, and has
 * one writer thread put them on disk as group commits. Owns the folder while it is open, the thread
 * ({@link LogWriter}), and the space reserved for results to come. It never decides what a key may
 * do, overwrites what is on disk, or goes on after a disk failure but in a fresh segment.
 *
 * <p>Callers hold the lock of the request coordinator; the space budget is the lock of the
 * reservations, held for arithmetic alone.
 *
 * <pre>
 * state   meaning                             next
 * CLOSED  the folder is not held              OPEN, FAILED (open)
 * OPEN    records are written                 FAILED (a disk error), CLOSED (close)
 * FAILED  nothing is written, all is          OPEN (a fresh segment could be begun),
 *         rejected                            CLOSED (close)
 * </pre>
 */
public final class WriteAheadLog implements ResultStore, AutoCloseable {

  /** Whether records are written; the MIB numbers the states in this order. */
  public enum State {
    CLOSED,
    OPEN,
    FAILED
  }

  /** Takes the folder; tests give a store with faults. */
  interface StoreOpener {
    SegmentStore open() throws IOException;
  }

  private static final String WRITER_THREAD = "results";
  private static final long CLOSE_TIMEOUT_MILLIS = 2500;

  /** Retry-After of rejections whose end is not known. */
  private static final double DEFAULT_RETRY_AFTER_SECONDS = 0.25;

  /** Read at once for a result: the protocol's longest one is in them. */
  private static final int READ_BYTES = 5 * 1024;

  private final DaemonConfig.Durable settings;
  private final StoreOpener opener;
  private final SpaceBudget space;
  private final Map<String, Integer> reservedIntentBytes = new HashMap<>(); // by key; under space
  private final LogMetrics metrics = new LogMetrics();
  private volatile GroupCommitQueue<PendingRecord> queue;
  private volatile LogWriter writer; // null while closed
  private volatile SegmentStore store; // stays readable after close
  private Thread writerThread;

  /** A log in the configured folder, not open yet. */
  public WriteAheadLog(DaemonConfig.Durable settings) {
    this(settings, () -> new FileSegmentStore(settings.folder()));
  }

  WriteAheadLog(DaemonConfig.Durable settings, StoreOpener opener) {
    this.settings = settings;
    this.opener = opener;
    space = new SpaceBudget(settings.most());
  }

  // ---- Opening and closing ----

  /**
   * Takes the folder and reads what an earlier process left.
   *
   * @param longestWindowSeconds the longest idempotency window, for which unknown keys fail where
   *     the log is damaged
   * @return what is known of keys, in the order of their last records
   * @throws UnusableStorageException in one line, where the folder is another process's, of a newer
   *     version, or cannot be written
   */
  public synchronized ResultStore.RecoveredKeys open(double longestWindowSeconds)
      throws IOException {
    if (writer != null) {
      throw new IllegalStateException("expected a closed write-ahead log, found " + state());
    }
    long beganNanos = System.nanoTime();
    SegmentStore opened = opener.open();
    try {
      ResultStore.RecoveredKeys recovered = recoverAndStart(opened, longestWindowSeconds);
      metrics.recordRecoveryTime(System.nanoTime() - beganNanos);
      return recovered;
    } catch (UnusableStorageException e) {
      opened.close();
      throw e;
    } catch (IOException | RuntimeException e) {
      opened.close();
      throw new UnusableStorageException(settings.folder() + " cannot be used (" + e + ")", e);
    }
  }

  private ResultStore.RecoveredKeys recoverAndStart(
      SegmentStore opened, double longestWindowSeconds) throws IOException {
    synchronized (space) {
      reservedIntentBytes.clear();
    }
    double now = LogClock.seconds();
    LogReader.Contents contents = read(opened, now, 0);
    // Starts one after another must not fill the folder.
    if (!contents.damaged()
        && Compaction.isWorthwhile(space)
        && Compaction.run(opened, space.segmentBytes(), space.maxSegments())) {
      now = LogClock.seconds();
      contents = read(opened, now, contents.batch());
    }
    ResultStore.RecoveredKeys recovered = recoveredKeys(contents, now, longestWindowSeconds);
    startWriter(opened, contents, now + longestWindowSeconds + Recovery.LINGER_SECONDS);
    return recovered;
  }

  private LogReader.Contents read(SegmentStore opened, double now, int batch) throws IOException {
    try {
      return LogReader.read(opened, space, now, batch);
    } catch (Segment.ForeignFormatException e) {
      throw new UnusableStorageException(settings.folder() + " " + e.getMessage(), e);
    }
  }

  private ResultStore.RecoveredKeys recoveredKeys(
      LogReader.Contents contents, double now, double longestWindowSeconds) {
    Recovery recovery = contents.recovery();
    metrics.recordRecovery(recovery.knownCount(), recovery.unknownCount(), contents.damaged());
    if (contents.damaged()) {
      Logger.error(
          "write-ahead log damaged, unknown keys fail folder={} seconds={}",
          settings.folder(),
          (long) Math.ceil(longestWindowSeconds));
    }
    Logger.info(
        "write-ahead log recovered results={} outcomes_unknown={} expired={}",
        recovery.knownCount(),
        recovery.unknownCount(),
        recovery.expiredCount());
    List<ResultStore.RecoveredKey> keys = new ArrayList<>();
    for (Recovery.RecoveredKey key : recovery.keys()) {
      keys.add(
          new ResultStore.RecoveredKey(
              key.key(),
              key.location(),
              key.coveredUntilMillis(),
              Recovery.expiresAtSeconds(key, now),
              key.bodyChecksum()));
    }
    return new ResultStore.RecoveredKeys(
        keys, contents.damaged() ? now + longestWindowSeconds : Double.NEGATIVE_INFINITY);
  }

  private void startWriter(
      SegmentStore opened, LogReader.Contents contents, double missingExpireAtSeconds)
      throws IOException {
    boolean syncs = !settings.sync().equals("none");
    SegmentWriter segments =
        new SegmentWriter(opened, space, syncs, metrics, contents, missingExpireAtSeconds);
    GroupCommitQueue<PendingRecord> fresh = new GroupCommitQueue<>(settings.queue());
    boolean batchOfOne = settings.sync().equals("each");
    LogWriter started = new LogWriter(fresh, segments, batchOfOne, metrics, this::onProcessed);
    if (!started.beginFirstSegment()) {
      Logger.warn(
          "write-ahead log has no capacity, keyed requests are rejected folder={}",
          settings.folder());
    }
    store = opened;
    queue = fresh;
    writer = started;
    writerThread = PlatformThreads.thread(WRITER_THREAD, started);
    writerThread.start();
  }

  @Override
  public void close() {
    close(CLOSE_TIMEOUT_MILLIS);
  }

  /** Waits until the records so far are on disk, at most so long, and gives the folder back. */
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

  /** Whether records are written now; from any thread. */
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
    writeEnd(LogRecord.Kind.VOID, key, null, location -> {});
  }

  @Override
  public void writeResult(
      ResultStore.KeyRecord key, byte[] result, ResultStore.WriteListener listener) {
    writeEnd(result == null ? LogRecord.Kind.FAILED : LogRecord.Kind.RESULT, key, result, listener);
  }

  private void writeEnd(
      LogRecord.Kind kind,
      ResultStore.KeyRecord key,
      byte[] result,
      ResultStore.WriteListener listener) {
    PendingRecord pending = pending(kind, key, result, listener);
    boolean tooLong = result != null && result.length > LogRecord.MAX_RESULT_BYTES;
    if (tooLong || writer == null || !queue.add(pending, pending.sizeBytes(), true)) {
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

  /** On the writer thread, for each record that was written or could not be. */
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

  // ---- Reading and figures ----

  @Override
  public byte[] readResult(String key, long location) throws IOException {
    SegmentStore from = store;
    if (from == null) {
      throw new IOException("the write-ahead log was never opened");
    }
    LogRecord record = readRecord(from, RecordLocation.unpack(location));
    if (record == null || record.kind() != LogRecord.Kind.RESULT || !record.key().equals(key)) {
      throw new IOException(
          "expected the result of a key at "
              + RecordLocation.unpack(location)
              + ", found "
              + (record == null ? "no record" : record.kind() + " or another key"));
    }
    return record.result();
  }

  private static LogRecord readRecord(SegmentStore from, RecordLocation at) throws IOException {
    ByteBuffer bytes = from.read(at.segment(), at.offset(), READ_BYTES);
    int recordBytes = LogRecord.bytesAt(bytes);
    if (recordBytes > READ_BYTES) {
      bytes = from.read(at.segment(), at.offset(), recordBytes);
    }
    return LogRecord.readAt(bytes, 0);
  }

  @Override
  public Map<ResultMetric, Long> metrics() {
    GroupCommitQueue<PendingRecord> current = queue;
    return metrics.snapshot(state(), space, current == null ? 0 : current.queuedBytes());
  }
}
