package wharftrestle.request;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.metrics.ResultMetric;

/**
 * Has intents and results of keyed executions written, and acts on what became of them: no
 * execution begins before its intent is on disk, and no result goes out before it is. Does nothing
 * where there is no {@link ResultStore}. Guarded by the coordinator's lock, but for what says
 * otherwise; the store notifies on its own thread, which takes the lock here.
 */
final class ResultRecorder {

  /** An intent that the peer writes takes the way to it and back as well. */
  private static final double PEER_TIMEOUT_FACTOR = 2;

  private final ReentrantLock lock;
  private final Counters counters;
  private final EventClock clock;
  private final RequestDeadlines deadlines;
  private final double maxRetryAfterSeconds;
  private final CallerNotifier callers;
  private final AdmissionDriver admission;
  private final IdempotencyTable<InFlightRequest> keys;
  private final KeyOwnershipTransfer<InFlightRequest> ownership;
  private final KeyMemoryBudget memory;
  private Executions executions;
  private volatile ResultStore store; // null where results are not recorded
  private int maxKeysOnDisk;

  ResultRecorder(
      RequestParts parts, KeyOwnershipTransfer<InFlightRequest> ownership, KeyMemoryBudget memory) {
    lock = parts.lock;
    counters = parts.counters;
    clock = parts.clock;
    deadlines = parts.deadlines;
    maxRetryAfterSeconds = parts.settings.retries().maxRetryAfterSeconds();
    callers = parts.callers;
    admission = parts.admission;
    keys = parts.keyed.table();
    this.ownership = ownership;
    this.memory = memory;
  }

  /** Before the first request; both refer to each other. */
  void connect(Executions ends) {
    executions = ends;
  }

  /** From now on intents and results of keyed executions are recorded there. */
  void useStore(ResultStore results) {
    store = results;
    maxKeysOnDisk = Math.min(results.maxKeys(), memory.maxKeysWithResultsOnDisk());
    if (maxKeysOnDisk < results.maxKeys()) {
      Logger.warn(
          "memory limits the recorded keys max={} configured={}", maxKeysOnDisk, results.maxKeys());
    }
    keys.enablePersistence(maxKeysOnDisk);
  }

  /** True where results are recorded; also without the lock. */
  boolean isEnabled() {
    return store != null;
  }

  /** True where this process writes: the one that owns all keys does. */
  private boolean isWriter() {
    return store != null && ownership.isOwner();
  }

  /** Keys known at most. */
  int maxKeys() {
    return store == null ? memory.maxKeys() : maxKeysOnDisk;
  }

  /** Empty where results are not recorded; also without the lock. */
  Map<ResultMetric, Long> metrics(long indexBytes) {
    ResultStore results = store;
    if (results == null) {
      return Map.of();
    }
    Map<ResultMetric, Long> metrics = results.metrics();
    metrics.put(ResultMetric.INDEX_BYTES, indexBytes);
    return metrics;
  }

  /** Why a new key cannot be recorded now; null where it can, or need not. */
  ResultStore.RejectionReason rejectionReason() {
    if (!isWriter()) {
      return null;
    }
    return keys.size() >= maxKeysOnDisk
        ? ResultStore.RejectionReason.KEYS_FULL
        : store.rejectionReason();
  }

  /** Rejects a request whose key cannot be recorded, and counts that. */
  Answer rejected(ResultStore.RejectionReason reason) {
    return Answer.rejected(Math.min(maxRetryAfterSeconds, store.retryAfterSeconds(reason)), false);
  }

  private ResultStore.KeyRecord recordOf(KeyEntry<InFlightRequest> entry) {
    int classIndex = InFlightRequest.classIndexOf(entry.key());
    return new ResultStore.KeyRecord(
        entry.key(),
        entry.coveredUntilMillis(),
        deadlines.idempotencyWindowSeconds(classIndex) + IdempotencyTable.WINDOW_SLACK_SECONDS,
        entry.body().checksum());
  }

  // ---- Intents ----

  /** True from the decision to execute until the intent is on disk, or cannot be. */
  boolean isWritingIntent(InFlightRequest request) {
    return request.holdsKey() && request.entry.state() == KeyState.RECORDING;
  }

  /** Has the intent of an execution written; its end is the next step of the request. */
  void writeIntent(InFlightRequest request) {
    if (!isWritingIntent(request)) {
      return;
    }
    PeerProcess peer = ownership.peer();
    if (!ownership.isOwner() && peer != null) {
      // The peer writes, and tells by PeerCoordinator.intentWritten.
      request.intentBySeconds = clock.now() + PEER_TIMEOUT_FACTOR * store.intentTimeoutSeconds();
      peer.sendIntentRequest(
          request.key, request.incoming.receivedAtMillis(), request.incoming.body());
      return;
    }
    request.intentBySeconds = clock.now() + store.intentTimeoutSeconds();
    request.pendingIntent =
        store.writeIntent(recordOf(request.entry), position -> intentWritten(request, position));
    if (request.pendingIntent == null) {
      ResultStore.RejectionReason reason = store.rejectionReason();
      rejectUnbegun(request, reason == null ? ResultStore.RejectionReason.STORE_FULL : reason);
    }
  }

  private void intentWritten(InFlightRequest request, long position) {
    lock.lock();
    try {
      intentWriteCompleted(request, position >= 0);
    } finally {
      lock.unlock();
    }
  }

  /** An intent is on disk, or cannot be. */
  void intentWriteCompleted(InFlightRequest request, boolean isWritten) {
    if (!isWritingIntent(request)) {
      return; // withdrawn meanwhile
    }
    if (!isWritten) {
      rejectUnbegun(request, ResultStore.RejectionReason.DISK_FAILED);
    } else if (request.isAnswered) {
      withdraw(request); // nobody waits any more, and a retry may execute
    } else {
      keys.intentRecorded(request.entry);
      request.enqueue(InFlightRequest.Step.DISPATCH);
    }
  }

  /** Rejects an execution whose intent is not on disk in time; false where there is none. */
  boolean expireIntent(InFlightRequest request) {
    if (!isWritingIntent(request) || clock.now() < request.intentBySeconds) {
      return false;
    }
    rejectUnbegun(request, ResultStore.RejectionReason.DISK_STALLED);
    return true;
  }

  /** An execution that was decided is not begun, and its key is free again. */
  void withdraw(InFlightRequest request) {
    withdrawIntent(request);
    endUnbegun(request);
  }

  private void rejectUnbegun(InFlightRequest request, ResultStore.RejectionReason reason) {
    withdrawIntent(request);
    counters.add(Count.GUARD_REJECTIONS);
    callers.answer(request, rejected(reason));
    endUnbegun(request);
  }

  private void withdrawIntent(InFlightRequest request) {
    if (request.pendingIntent != null) {
      store.withdrawIntent(request.pendingIntent, recordOf(request.entry));
    }
  }

  private void endUnbegun(InFlightRequest request) {
    request.steps.removeIf(
        step ->
            step.kind() == InFlightRequest.StepKind.WRITE_INTENT
                || step.kind() == InFlightRequest.StepKind.SUSPEND);
    executions.complete(request, Outcome.VOID, 0, null);
  }

  /** The execution of this key was never begun. */
  void neverExecuted(KeyEntry<InFlightRequest> entry) {
    if (isWriter()) {
      store.discardIntent(recordOf(entry));
    }
  }

  /** The peer is about to execute a key that it has in flight: its intent is written here. */
  void writeIntentForPeer(String key) {
    PeerProcess peer = ownership.peer();
    if (peer == null) {
      return;
    }
    KeyEntry<InFlightRequest> entry = keys.find(key);
    boolean isRequested =
        store != null
            && keys.isOwnedByPeer(entry)
            && store.writeIntent(
                    recordOf(entry), position -> peer.sendIntentOutcome(key, position >= 0))
                != null;
    if (!isRequested) {
      peer.sendIntentOutcome(key, false);
    }
  }

  // ---- Results ----

  /** The execution of a key has ended, and the key knows it; the result is null for none. */
  void recordResult(KeyEntry<InFlightRequest> entry, byte[] result) {
    if (isWriter()) {
      writeResult(entry, result);
    }
  }

  private void writeResult(KeyEntry<InFlightRequest> entry, byte[] result) {
    store.writeResult(recordOf(entry), result, position -> resultWritten(entry, position));
  }

  private void resultWritten(KeyEntry<InFlightRequest> entry, long position) {
    lock.lock();
    try {
      resultWriteCompleted(entry, position);
    } finally {
      lock.unlock();
    }
  }

  /** Writes what the peer was to write before it was lost. */
  void writeUnsavedResults() {
    if (store != null) {
      keys.entriesBeingSaved().forEach(entry -> writeResult(entry, keys.result(entry)));
    }
  }

  /**
   * A result is on disk, or with a position below 0 cannot be. Its intent is there, so the key does
   * not execute again, and its request is answered in either case.
   */
  void resultWriteCompleted(KeyEntry<InFlightRequest> entry, long position) {
    if (entry.state() != KeyState.SAVING) {
      return;
    }
    keys.resultSaved(entry, position);
    PeerProcess peer = ownership.peer();
    if (entry.attempt() != null) {
      callers.answer(entry.attempt(), Answer.served(keys.result(entry)));
      if (peer != null && !ownership.isOwner()) {
        // It was on its way to the disk when the keys were handed over.
        peer.sendCompletion(entry.key(), keys.result(entry));
      }
    } else if (peer != null) {
      peer.sendResultWritten(entry.key());
    }
    ownership.forwardCompleted(entry.key(), true, clock.now());
    admission.completeBatchSoonIfStarted();
  }

  /** The result at this position, null where it cannot be read; never under the lock. */
  byte[] read(String key, long position) {
    try {
      return store.readResult(key, position);
    } catch (IOException e) {
      Logger.error(e, "recorded result cannot be read position={}", position);
      return null;
    }
  }
}
