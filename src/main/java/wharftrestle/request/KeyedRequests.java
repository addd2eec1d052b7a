package wharftrestle.request;

import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;

/**
 * Handles requests with an idempotency key: maintains their entries in the {@link
 * IdempotencyTable}, reserves memory for them, and completes duplicates with the outcome of the
 * execution that they are attached to. Guarded by the coordinator's lock, except {@link
 * #indexBytes}.
 */
final class KeyedRequests {

  private static final double EXPIRY_INTERVAL_SECONDS = 1;

  /** The minimum Retry-After of a rejection for lack of memory for another key. */
  private static final double MIN_RETRY_AFTER_SECONDS = 0.05;

  private final IdempotencyTable<InFlightRequest> keys;
  private final KeyMemoryBudget memory;
  private final Counters counters;
  private final EventClock clock;
  private final InFlightTable inFlight;
  private final AdmissionDriver admission;
  private final CallerNotifier callers;
  private KeyOwnershipTransfer<InFlightRequest> ownership;
  private ResultRecorder recorder;
  private double lastExpiryAtSeconds;
  private volatile long indexBytes;

  KeyedRequests(
      KeyMemoryBudget memory,
      Counters counters,
      EventClock clock,
      InFlightTable inFlight,
      AdmissionDriver admission,
      CallerNotifier callers) {
    this.memory = memory;
    this.counters = counters;
    this.clock = clock;
    this.inFlight = inFlight;
    this.admission = admission;
    this.callers = callers;
    keys = new IdempotencyTable<>(this::executionCompleted, memory);
  }

  /**
   * Sets the ownership transfer and the recorder, before the first request. They cannot be passed
   * to the constructor, as both are created after this object and depend on it.
   */
  void connect(KeyOwnershipTransfer<InFlightRequest> transfer, ResultRecorder resultRecorder) {
    ownership = transfer;
    recorder = resultRecorder;
  }

  IdempotencyTable<InFlightRequest> table() {
    return keys;
  }

  /** Memory of the index of completed keys in bytes, as of the last expiry. Needs no lock. */
  long indexBytes() {
    return indexBytes;
  }

  /** Restores the keys that an earlier process of this host recorded on disk. */
  void restore(ResultStore.RecoveredKeys recovered) {
    boolean isComplete = true;
    double latestExpirySeconds = recovered.unknownKeysFailUntilSeconds();
    for (ResultStore.RecoveredKey key : recovered.keys()) {
      isComplete &=
          keys.recover(
              key.key(),
              key.position(),
              key.lastAttemptAtMillis(),
              key.bodyChecksum(),
              key.expiresAtSeconds());
      latestExpirySeconds = Math.max(latestExpirySeconds, key.expiresAtSeconds());
    }
    double now = clock.now();
    if (!isComplete || recovered.unknownKeysFailUntilSeconds() > now) {
      // A key that is on disk but missing here must not execute again, so all unknown keys fail.
      Logger.warn(
          "recovered keys may be incomplete; requests whose key was not recovered fail for seconds={}",
          Math.round(latestExpirySeconds - now));
      keys.failUnknownKeysUntil(latestExpirySeconds);
    }
  }

  /** Reserves memory for the key of this request until it expires; false if no memory is left. */
  boolean reserveMemory(InFlightRequest request) {
    request.hasReservation = request.hasReservation || keys.tryReserveMemory();
    if (!request.hasReservation) {
      keys.expire(clock.now()); // frees keys that have expired since the last periodic expiry
      request.hasReservation = keys.tryReserveMemory();
    }
    return request.hasReservation;
  }

  void releaseMemory(InFlightRequest request) {
    if (request.hasReservation) {
      request.hasReservation = false;
      keys.releaseMemory();
    }
  }

  /**
   * Counts and returns a rejection for lack of key memory, whose Retry-After is the time until
   * enough keys have expired, as far as that is known.
   */
  Answer newMemoryRejection(double now, double maxRetryAfterSeconds) {
    counters.add(Count.GUARD_REJECTIONS);
    counters.add(Count.KEY_MEMORY_FULL);
    double retryAfter = Math.max(MIN_RETRY_AFTER_SECONDS, keys.secondsUntilCapacity(now));
    return Answer.rejected(Math.min(maxRetryAfterSeconds, retryAfter), false);
  }

  /** Removes expired keys and updates the gauges, at most once a second. */
  void expire(double now) {
    if (now < lastExpiryAtSeconds + EXPIRY_INTERVAL_SECONDS) {
      return;
    }
    lastExpiryAtSeconds = now;
    keys.expire(now);
    indexBytes = keys.indexBytes();
    counters.updateKeyUsage(
        new Counters.KeyUsage(
            keys.size(), recorder.maxKeys(), indexBytes + keys.resultBytes(), memory.bytes()));
  }

  /**
   * The execution of a key has ended; the result is null unless it succeeded. True if the answer
   * must wait until the result is on disk.
   */
  boolean complete(KeyEntry<InFlightRequest> entry, byte[] result) {
    ownership.sendCompletion(entry, result);
    boolean wasExecuting =
        entry.state() == KeyState.EXECUTING || entry.state() == KeyState.OWNED_BY_PEER;
    keys.complete(entry, result);
    if (wasExecuting) {
      recorder.recordResult(entry, result);
    }
    ownership.forwardCompleted(entry.key(), recorder.isEnabled(), clock.now());
    return entry.state() == KeyState.SAVING;
  }

  /** The execution of a key never began: removes the key, so that a retry may execute. */
  void abandonKey(KeyEntry<InFlightRequest> entry) {
    if (entry.state() == KeyState.EXECUTING) {
      recorder.discardIntent(entry);
    }
    keys.abandon(entry);
  }

  /** Attaches a duplicate to the execution of its key, or completes it if that has ended. */
  void attach(InFlightRequest request) {
    KeyEntry<InFlightRequest> entry = request.entry;
    request.isAttached = true;
    request.startedAtSeconds = clock.now();
    if (entry == null || !keys.attach(entry, request)) {
      executionCompleted(request, entry);
    }
  }

  /** Adds an entry for a request that the admission module queues, for duplicates to attach to. */
  void enqueueKey(InFlightRequest request) {
    KeyEntry<InFlightRequest> entry =
        keys.enqueue(
            request.key, request.incoming.body(), request.incoming.receivedAtMillis(), request);
    if (entry != null) {
      request.entry = entry;
    }
  }

  void releaseKey(InFlightRequest request) {
    if (request.entry != null) {
      keys.release(request.entry, request);
    }
  }

  /** Detaches a request from the execution of its key. */
  void detach(InFlightRequest request) {
    if (request.entry != null) {
      keys.detach(request.entry, request);
    }
  }

  /**
   * Completes a request with the outcome of the execution that it is attached to, with the result
   * byte for byte. A result on disk is read by the request's thread, never under the lock.
   */
  void completeAttached(InFlightRequest request, KeyEntry<InFlightRequest> entry) {
    byte[] result = entry == null ? null : keys.result(entry);
    if (!request.isAnswered && entry != null && entry.isOnDisk() && result == null) {
      request.entry = entry;
      request.enqueue(InFlightRequest.Step.REPLAY_RESULT);
      return;
    }
    completeWithResult(request, result);
  }

  /** Completes a request; the result is null if the execution failed or it cannot be read. */
  void completeWithResult(InFlightRequest request, byte[] result) {
    if (request.isAnswered) {
      return;
    }
    if (result != null) {
      counters.add(Count.REPLAYED);
    }
    callers.answer(request, result != null ? Answer.served(result) : Answer.failed());
    if (admission.isStarted() && inFlight.contains(request)) {
      double now = clock.now();
      Outcome outcome = result != null ? Outcome.SUCCESS : Outcome.FAILURE;
      admission.events().completed(now, request.id, outcome, now - request.startedAtSeconds);
    }
  }

  private void executionCompleted(InFlightRequest attached, KeyEntry<InFlightRequest> entry) {
    admission.runAfterBatch(() -> completeAttached(attached, entry));
  }
}
