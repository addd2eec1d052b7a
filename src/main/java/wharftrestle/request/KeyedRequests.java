package wharftrestle.request;

import org.tinylog.Logger;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;

/**
 * Requests with an idempotency key: their place in the {@link IdempotencyTable}, the memory that is
 * reserved for them, and how duplicates end as the execution that they are attached to. Guarded by
 * the coordinator's lock, but for {@link #indexBytes}.
 */
final class KeyedRequests {

  private static final double EXPIRY_INTERVAL_SECONDS = 1;

  /** The least Retry-After where there is no memory for a further key. */
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
  private double expiredAtSeconds;
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

  /** Before the first request; these three refer to each other. */
  void connect(KeyOwnershipTransfer<InFlightRequest> transfer, ResultRecorder results) {
    ownership = transfer;
    recorder = results;
  }

  IdempotencyTable<InFlightRequest> table() {
    return keys;
  }

  /** Bytes of memory of the index of completed keys, as of the last expiry; without the lock. */
  long indexBytes() {
    return indexBytes;
  }

  /** Takes over what an earlier process of this host has left on disk. */
  void restore(ResultStore.RecoveredKeys recovered) {
    boolean isComplete = true;
    double latestExpiry = recovered.unknownKeysFailUntilSeconds();
    for (ResultStore.RecoveredKey key : recovered.keys()) {
      isComplete &=
          keys.recover(
              key.key(),
              key.position(),
              key.lastAttemptAtMillis(),
              key.bodyChecksum(),
              key.expiresAtSeconds());
      latestExpiry = Math.max(latestExpiry, key.expiresAtSeconds());
    }
    double now = clock.now();
    if (!isComplete || recovered.unknownKeysFailUntilSeconds() > now) {
      // A key that is on disk and not known here must not execute again: unknown keys fail.
      Logger.warn(
          "keys on disk may be missing in memory, unknown keys fail seconds={}",
          Math.round(latestExpiry - now));
      keys.failUnknownKeysUntil(latestExpiry);
    }
  }

  /** True where memory is reserved to know the key of this request to its end. */
  boolean reserveMemory(InFlightRequest request) {
    request.hasReservation = request.hasReservation || keys.tryReserveMemory();
    if (!request.hasReservation) {
      keys.expire(clock.now()); // keys that are over by now need not wait for the next expiry
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

  /** Rejects a request for want of memory, until there is some as far as is known now. */
  Answer rejectedForMemory(double now, double maxRetryAfterSeconds) {
    counters.add(Count.GUARD_REJECTIONS);
    counters.add(Count.KEY_MEMORY_FULL);
    double retryAfter = Math.max(MIN_RETRY_AFTER_SECONDS, keys.secondsUntilCapacity(now));
    return Answer.rejected(Math.min(maxRetryAfterSeconds, retryAfter), false);
  }

  /** Removes expired keys and updates the gauges; does nothing more than once a second. */
  void expire(double now) {
    if (now < expiredAtSeconds + EXPIRY_INTERVAL_SECONDS) {
      return;
    }
    expiredAtSeconds = now;
    keys.expire(now);
    indexBytes = keys.indexBytes();
    counters.updateKeyUsage(
        new Counters.KeyUsage(
            keys.size(), recorder.maxKeys(), indexBytes + keys.resultBytes(), memory.bytes()));
  }

  /**
   * The execution of a key has ended; the result is null unless it succeeded. True where the answer
   * waits for the disk.
   */
  boolean complete(KeyEntry<InFlightRequest> entry, byte[] result) {
    ownership.sendCompletion(entry, result);
    boolean wasExecuting = entry.state() == KeyState.RUNNING || entry.state() == KeyState.OWNED_BY_PEER;
    keys.complete(entry, result);
    if (wasExecuting) {
      recorder.recordResult(entry, result);
    }
    ownership.forwardCompleted(entry.key(), recorder.isEnabled(), clock.now());
    return entry.state() == KeyState.SAVING;
  }

  /** The execution of a key was never begun, so that a retry may execute. */
  void neverExecuted(KeyEntry<InFlightRequest> entry) {
    if (entry.state() == KeyState.RUNNING) {
      recorder.neverExecuted(entry);
    }
    keys.abandon(entry);
  }

  /** Has a duplicate wait for the execution that its key is in. */
  void attach(InFlightRequest request) {
    KeyEntry<InFlightRequest> entry = request.entry;
    request.isAttached = true;
    request.startedAtSeconds = clock.now();
    if (entry == null || !keys.attach(entry, request)) {
      executionCompleted(request, entry);
    }
  }

  /** Reserves a place in the table for a request that the module keeps for later. */
  void hold(InFlightRequest request) {
    KeyEntry<InFlightRequest> entry =
        keys.enqueue(
            request.key, request.incoming.body(), request.incoming.receivedAtMillis(), request);
    if (entry != null) {
      request.entry = entry;
    }
  }

  void release(InFlightRequest request) {
    if (request.entry != null) {
      keys.release(request.entry, request);
    }
  }

  /** This request does not wait for its key any more. */
  void leave(InFlightRequest request) {
    if (request.entry != null) {
      keys.detach(request.entry, request);
    }
  }

  /**
   * Ends a request as the execution that it is attached to did, with its result byte for byte. A
   * result on disk is read by the request's own thread, never under the lock.
   */
  void completeAttached(InFlightRequest request, KeyEntry<InFlightRequest> entry) {
    byte[] result = entry == null ? null : keys.result(entry);
    if (!request.isAnswered && entry != null && entry.isOnDisk() && result == null) {
      request.entry = entry;
      request.enqueue(InFlightRequest.Step.REPLAY_RESULT);
      return;
    }
    completeWith(request, result);
  }

  /** The result is null where the execution failed, or its result cannot be read. */
  void completeWith(InFlightRequest request, byte[] result) {
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

  private void executionCompleted(
      InFlightRequest attached, KeyEntry<InFlightRequest> entry) {
    admission.runAfterInstant(() -> completeAttached(attached, entry));
  }
}
