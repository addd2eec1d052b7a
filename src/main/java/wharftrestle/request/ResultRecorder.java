package wharftrestle.request;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.metrics.ResultMetric;

/**
 * Records intents and results of keyed executions in the {@link ResultStore}: an execution begins
 * once its intent is on disk, and is answered once its result is, or cannot be written. Does
 * nothing without a store. Guarded by the coordinator's lock unless a method states otherwise; the
 * store notifies on its own thread, which acquires the lock here.
 */
final class ResultRecorder {

  /** Factor on the timeout of an intent that the peer writes, for the round trip to the peer. */
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
  private volatile ResultStore store; // null if results are not recorded
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
    keys = parts.keyedRequests.table();
    this.ownership = ownership;
    this.memory = memory;
  }

  /** Called before the first request. A setter, as the two objects refer to each other. */
  void connect(Executions executionHandler) {
    executions = executionHandler;
  }

  /** Enables the recording of intents and results of keyed executions in this store. */
  void useStore(ResultStore resultStore) {
    store = resultStore;
    maxKeysOnDisk = Math.min(resultStore.maxKeys(), memory.maxKeysWithResultsOnDisk());
    if (maxKeysOnDisk < resultStore.maxKeys()) {
      Logger.warn(
          "memory limits the number of recorded keys max={} configured={}",
          maxKeysOnDisk,
          resultStore.maxKeys());
    }
    keys.enablePersistence(maxKeysOnDisk);
  }

  /** True if results are recorded. Needs no lock. */
  boolean isEnabled() {
    return store != null;
  }

  /** True if this process writes the records, as it owns all keys. */
  private boolean isWriter() {
    return store != null && ownership.isOwner();
  }

  /** The maximum number of keys. */
  int maxKeys() {
    return store == null ? memory.maxKeys() : maxKeysOnDisk;
  }

  /** Metrics of the recorded results; empty if results are not recorded. Needs no lock. */
  Map<ResultMetric, Long> metrics(long indexBytes) {
    ResultStore resultStore = store;
    if (resultStore == null) {
      return Map.of();
    }
    Map<ResultMetric, Long> metrics = resultStore.metrics();
    metrics.put(ResultMetric.INDEX_BYTES, indexBytes);
    return metrics;
  }

  /** Why a new key cannot be recorded now; null if it can, or need not be. */
  ResultStore.RejectionReason rejectionReason() {
    if (!isWriter()) {
      return null;
    }
    return keys.size() >= maxKeysOnDisk
        ? ResultStore.RejectionReason.KEYS_FULL
        : store.rejectionReason();
  }

  /** A rejection for a key that cannot be recorded, which the store counts. */
  Answer newRejection(ResultStore.RejectionReason reason) {
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

  /** True from the decision to execute until the intent is on disk, or its write has failed. */
  boolean isWritingIntent(InFlightRequest request) {
    return request.isCurrentAttempt() && request.entry.state() == KeyState.RECORDING;
  }

  /** Starts writing the intent of an execution; the request continues once it is written. */
  void writeIntent(InFlightRequest request) {
    if (!isWritingIntent(request)) {
      return;
    }
    PeerProcess peer = ownership.peer();
    if (!ownership.isOwner() && peer != null) {
      // The peer writes it and reports the outcome to PeerCoordinator.intentWritten.
      request.intentDeadlineSeconds =
          clock.now() + PEER_TIMEOUT_FACTOR * store.intentTimeoutSeconds();
      peer.sendIntentRequest(
          request.key, request.incoming.receivedAtMillis(), request.incoming.body());
      return;
    }
    request.intentDeadlineSeconds = clock.now() + store.intentTimeoutSeconds();
    request.pendingIntent =
        store.writeIntent(recordOf(request.entry), position -> intentWritten(request, position));
    if (request.pendingIntent == null) {
      ResultStore.RejectionReason reason = store.rejectionReason();
      rejectBeforeStart(request, reason == null ? ResultStore.RejectionReason.STORE_FULL : reason);
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

  /** An intent is on disk, or its write has failed. */
  void intentWriteCompleted(InFlightRequest request, boolean isWritten) {
    if (!isWritingIntent(request)) {
      return; // withdrawn meanwhile
    }
    if (!isWritten) {
      rejectBeforeStart(request, ResultStore.RejectionReason.DISK_FAILED);
    } else if (request.isAnswered) {
      withdraw(request); // no caller waits any more, and a retry may execute
    } else {
      keys.intentRecorded(request.entry);
      request.enqueue(InFlightRequest.Step.DISPATCH);
    }
  }

  /** Rejects an execution whose intent is not on disk in time; false if none is overdue. */
  boolean expireIntent(InFlightRequest request) {
    if (!isWritingIntent(request) || clock.now() < request.intentDeadlineSeconds) {
      return false;
    }
    rejectBeforeStart(request, ResultStore.RejectionReason.DISK_STALLED);
    return true;
  }

  /** Cancels an execution that has not begun, and frees its key. */
  void withdraw(InFlightRequest request) {
    withdrawIntent(request);
    voidExecution(request);
  }

  private void rejectBeforeStart(InFlightRequest request, ResultStore.RejectionReason reason) {
    withdrawIntent(request);
    counters.add(Count.GUARD_REJECTIONS);
    callers.answer(request, newRejection(reason));
    voidExecution(request);
  }

  private void withdrawIntent(InFlightRequest request) {
    if (request.pendingIntent != null) {
      store.withdrawIntent(request.pendingIntent, recordOf(request.entry));
    }
  }

  private void voidExecution(InFlightRequest request) {
    request.steps.removeIf(
        step ->
            step.kind() == InFlightRequest.StepKind.WRITE_INTENT
                || step.kind() == InFlightRequest.StepKind.SUSPEND);
    executions.complete(request, Outcome.VOID, 0, null);
  }

  /** The execution of this key never began: discards its intent. */
  void discardIntent(KeyEntry<InFlightRequest> entry) {
    if (isWriter()) {
      store.discardIntent(recordOf(entry));
    }
  }

  /** Writes the intent of a key that the peer is about to execute. */
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

  /** Records the end of a key's execution, after its entry; the result is null for none. */
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

  /** Writes the results that the peer was to write before it was lost. */
  void writeUnsavedResults() {
    if (store != null) {
      keys.entriesBeingSaved().forEach(entry -> writeResult(entry, keys.result(entry)));
    }
  }

  /**
   * A result is on disk, or with a position below 0 its write has failed. The request is answered
   * in either case: the intent is on disk, so the key does not execute again.
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
        // The result was still being written when the keys were handed over.
        peer.sendCompletion(entry.key(), keys.result(entry));
      }
    } else if (peer != null) {
      peer.sendResultWritten(entry.key());
    }
    ownership.forwardCompleted(entry.key(), true, clock.now());
    admission.completeBatchSoonIfStarted();
  }

  /** Reads the result at this position, without the lock; null if it cannot be read. */
  byte[] read(String key, long position) {
    try {
      return store.readResult(key, position);
    } catch (IOException e) {
      Logger.error(e, "recorded result cannot be read position={}", position);
      return null;
    }
  }
}
