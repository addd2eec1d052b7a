package wharftrestle.request;

import java.io.IOException;
import java.util.Map;
import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.handover.KeyOwnershipTransfer;
import wharftrestle.handover.PeerProcess;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.idempotency.KeyState;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.metrics.ResultMetric;

/**
 * Intents and results of keyed runs on their way to the disk and back: what the request in hand
 * does for it, step by step. It owns which records there are; none of them, and then it does
 * nothing. It must never let a run begin before its intent is kept, or a result go out before it
 * is; the {@link IdempotencyTable} decides what a key may do. Guarded by the core's lock, but for
 * what says otherwise.
 */
final class ResultRecorder {
  private final RequestCoordinator core;
  private final IdempotencyTable<InFlightRequest> keys;
  private final KeyMemoryBudget room;
  private final KeyOwnershipTransfer<InFlightRequest> between;
  private volatile ResultStore records; // null where no results are kept
  private int most;

  ResultRecorder(
      RequestCoordinator core,
      IdempotencyTable<InFlightRequest> keys,
      KeyMemoryBudget room,
      KeyOwnershipTransfer<InFlightRequest> between) {
    this.core = core;
    this.keys = keys;
    this.room = room;
    this.between = between;
  }

  /**
   * From now on no keyed run begins before its intent is kept, and none is answered before its
   * result is.
   */
  void record(ResultStore kept) {
    records = kept;
    most = Math.min(kept.maxKeys(), room.maxKeysWithResultsOnDisk());
    if (most < kept.maxKeys()) {
      Logger.warn("memory holds {} keys of the {} that are set", most, kept.maxKeys());
    }
    keys.enablePersistence(most);
  }

  /** True where results are kept; also without the lock. */
  boolean on() {
    return records != null;
  }

  /** Keys known at most. */
  int mostKeys() {
    return records == null ? room.maxKeys() : most;
  }

  /** The figures of kept results, empty where none are kept; also without the lock. */
  Map<ResultMetric, Long> figures(long indexBytes) {
    ResultStore kept = records;
    if (kept == null) {
      return Map.of();
    }
    Map<ResultMetric, Long> all = kept.metrics();
    all.put(ResultMetric.INDEX_BYTES, indexBytes);
    return all;
  }

  /** Why a new key cannot be recorded now; null where it can, or need not. */
  ResultStore.RejectionReason refusal() {
    return records == null || !between.isOwner()
        ? null
        : keys.size() >= most ? ResultStore.RejectionReason.KEYS_FULL : records.rejectionReason();
  }

  Answer unrecorded(ResultStore.RejectionReason why) {
    return Answer.rejected(
        Math.min(core.settings().retries().maxRetryAfterSeconds(), records.retryAfterSeconds(why)),
        false);
  }

  private ResultStore.KeyRecord keyed(KeyEntry<InFlightRequest> entry) {
    return new ResultStore.KeyRecord(
        entry.key(),
        entry.coveredUntilMillis(),
        core.window(InFlightRequest.classOf(entry.key())) + IdempotencyTable.WINDOW_SLACK_SECONDS,
        entry.body().checksum());
  }

  /** True while the intent of this try's run is on its way to the disk. */
  boolean recording(InFlightRequest task) {
    return task.entry != null
        && task.entry.attempt() == task
        && task.entry.state() == KeyState.RECORDING;
  }

  /** Has the intent of a run written; word of that is its next step, or its refusal. */
  void intend(InFlightRequest task) {
    if (!recording(task)) {
      return;
    }
    if (!between.isOwner() && between.peer() != null) {
      // The other process writes: its word comes by intendedElsewhere.
      task.recordBy = core.now() + 2 * records.intentTimeoutSeconds();
      between
          .peer()
          .sendIntentRequest(task.key, task.arrival.receivedAtMillis(), task.arrival.body());
      return;
    }
    task.recordBy = core.now() + records.intentTimeoutSeconds();
    task.intent =
        records.writeIntent(
            keyed(task.entry),
            place -> {
              core.lock();
              try {
                intended(task, place >= 0);
              } finally {
                core.unlock();
              }
            });
    if (task.intent == null) {
      ResultStore.RejectionReason why = records.rejectionReason();
      neverBegun(task, why == null ? ResultStore.RejectionReason.STORE_FULL : why);
    }
  }

  /** An intent is on disk, or cannot be. */
  void intended(InFlightRequest task, boolean written) {
    if (!recording(task)) {
      return; // withdrawn meanwhile
    }
    if (!written) {
      neverBegun(task, ResultStore.RejectionReason.DISK_FAILED);
    } else if (task.answered) {
      // Nobody waits any more, and nothing ran: a further try may.
      neverBegun(task, null);
    } else {
      keys.intentRecorded(task.entry);
      task.step(InFlightRequest.Step.of(InFlightRequest.Kind.SPAWN));
    }
  }

  /** A run that was decided is not begun, and its key is free again. */
  void neverBegun(InFlightRequest task, ResultStore.RejectionReason why) {
    if (task.intent != null) {
      records.withdrawIntent(task.intent, keyed(task.entry));
    }
    if (why != null) {
      core.count(Count.GUARD_REJECTIONS);
      core.answer(task, unrecorded(why));
    }
    task.steps.removeIf(
        step ->
            step.kind() == InFlightRequest.Kind.INTEND
                || step.kind() == InFlightRequest.Kind.SUSPEND);
    core.tellRunOver(task, Outcome.VOID, 0, null);
  }

  /** A run of this key was never begun. */
  void voided(KeyEntry<InFlightRequest> entry) {
    if (records != null && between.isOwner()) {
      records.discardIntent(keyed(entry));
    }
  }

  /**
   * A run of this key is over, and the key knows it; the result is null where it has none to give.
   */
  void ended(KeyEntry<InFlightRequest> entry, byte[] result) {
    if (records != null && between.isOwner()) {
      save(entry, result);
    }
  }

  private void save(KeyEntry<InFlightRequest> entry, byte[] result) {
    records.writeResult(
        keyed(entry),
        result,
        place -> {
          core.lock();
          try {
            saved(entry, place);
          } finally {
            core.unlock();
          }
        });
  }

  /** What the other process of the box was to write, and is gone, is written here. */
  void saveUnsaved() {
    if (records != null) {
      keys.entriesBeingSaved().forEach(entry -> save(entry, keys.result(entry)));
    }
  }

  /**
   * A result is on disk, or with a place below 0 cannot be: its intent is, so it never runs again,
   * and is answered.
   */
  void saved(KeyEntry<InFlightRequest> entry, long place) {
    if (entry.state() != KeyState.SAVING) {
      return;
    }
    keys.resultSaved(entry, place);
    if (entry.attempt() != null) {
      core.answer(entry.attempt(), Answer.served(keys.result(entry)));
      if (between.peer() != null && !between.isOwner()) {
        // It was on its way when the keys were handed over.
        between.peer().sendFinished(entry.key(), keys.result(entry));
      }
    } else if (between.peer() != null) {
      between.peer().sendResultWritten(entry.key());
    }
    between.forwardSettled(entry.key(), true, core.now());
    core.settleSoonIfUp();
  }

  /** The other process is about to run a key that it has in hand: its intent is written here. */
  void intendElsewhere(String key) {
    KeyEntry<InFlightRequest> entry = keys.find(key);
    PeerProcess asks = between.peer();
    if (asks == null) {
      return;
    }
    boolean asked =
        records != null
            && keys.isOwnedByPeer(entry)
            && records.writeIntent(keyed(entry), place -> asks.sendIntentOutcome(key, place >= 0))
                != null;
    if (!asked) {
      asks.sendIntentOutcome(key, false);
    }
  }

  /** The result that lies there, null where it cannot be read; never under the lock. */
  byte[] read(String key, long place) {
    try {
      return records.readResult(key, place);
    } catch (IOException e) {
      Logger.error("a kept result cannot be read: {}", e.toString());
      return null;
    }
  }
}
