package wharftrestle.idempotency;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import wharftrestle.idempotency.KeyState.Step;

/**
 * Tests the idempotency table: the transitions that must not exist, completion and persistence of
 * single keys, and random operations against a model of which attempts may execute.
 */
class IdempotencyTableTest {
  private static final double WINDOW_SECONDS = 20;
  private static final byte[] BODY = {1};

  private final List<String> completedAttempts = new ArrayList<>();
  private final IdempotencyTable<String> keys =
      new IdempotencyTable<>(
          (attached, entry) -> completedAttempts.add(attached + " " + entry.state()),
          KeyMemoryBudget.of(1 << 20));

  @Example
  void stepThatTheStateDoesNotPermit_throws() {
    assertThrows(IllegalStateException.class, () -> KeyState.SUCCEEDED.stateAfter(Step.START));
    assertThrows(
        IllegalStateException.class, () -> KeyState.OUTCOME_UNKNOWN.stateAfter(Step.START));
    assertThrows(IllegalStateException.class, () -> KeyState.EXECUTING.stateAfter(Step.RELEASE));
    for (KeyState state : KeyState.values()) {
      boolean mayStart = state.allows(Step.START) || state.allows(Step.RECORD_INTENT);
      assertEquals(
          !state.mayHaveRun(),
          mayStart,
          state + ": another attempt may execute exactly if none may have executed");
    }
  }

  @Example
  void attachedAttempts_completeWithTheExecution() {
    keys.enqueue("k", BODY, 1000, "first");
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW_SECONDS, 1, "first");
    assertTrue(keys.attach(keys.findDuplicate("k", 1500), "second"));
    assertFalse(keys.complete(entry, new byte[] {9}));
    assertEquals(List.of("second SUCCEEDED"), completedAttempts);
    assertFalse(
        keys.attach(keys.findDuplicate("k", 1600), "third"),
        "already completed: cannot be attached to");
    assertArrayEquals(new byte[] {9}, keys.result(keys.findDuplicate("k", 1600)));
  }

  @Example
  void withPersistence_resultIsReturnedOnlyOnceItIsOnDisk() {
    keys.enablePersistence(10);
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW_SECONDS, 1, "first");
    assertEquals(KeyState.RECORDING, entry.state());
    keys.attach(entry, "second");
    keys.intentRecorded(entry);
    assertTrue(keys.complete(entry, new byte[] {9}), "not final before the result is on disk");
    assertEquals(List.of(), completedAttempts);
    keys.resultSaved(entry, 77);
    assertEquals(List.of("second SUCCEEDED"), completedAttempts);
    KeyEntry<String> duplicate = keys.findDuplicate("k", 2000);
    assertEquals(77, duplicate.location());
    assertNull(keys.result(duplicate), "the result is on disk");
    assertTrue(duplicate.body().matches(BODY));
    assertFalse(duplicate.body().matches(new byte[] {2}));
    assertSame(
        duplicate.state(),
        keys.start("k", BODY, 2000, WINDOW_SECONDS, 2, "third").state(),
        "the second attempt does not execute");
  }

  @Example
  void resultThatCannotBeWritten_isReturnedFromMemory() {
    keys.enablePersistence(10);
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW_SECONDS, 1, "first");
    keys.intentRecorded(entry);
    keys.complete(entry, new byte[] {9});
    keys.resultSaved(entry, CompactIndex.NO_RESULT);
    assertArrayEquals(new byte[] {9}, keys.result(keys.findDuplicate("k", 2000)));
  }

  @Example
  void abandonedExecution_leavesItsKeyAbsent() {
    keys.enablePersistence(10);
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW_SECONDS, 1, "first");
    keys.attach(entry, "second");
    keys.abandon(entry);
    assertEquals(List.of("second ABSENT"), completedAttempts);
    assertNull(keys.findDuplicate("k", 1001));
    keys.resultSaved(entry, 3); // the write completes after the key was abandoned
    assertNull(keys.findDuplicate("k", 1001));
  }

  @Example
  void recoveredKey_doesNotExecuteWithinItsWindow() {
    keys.enablePersistence(10);
    assertTrue(keys.recover("known", 5, 30_000, KeyDigest.checksum(BODY), 50));
    assertTrue(keys.recover("open", CompactIndex.NO_RESULT, 30_000, KeyDigest.checksum(BODY), 50));
    assertEquals(KeyState.SUCCEEDED, keys.findDuplicate("known", 29_999).state());
    assertEquals(KeyState.OUTCOME_UNKNOWN, keys.findDuplicate("open", 29_999).state());
    assertFalse(
        keys.attach(keys.findDuplicate("open", 29_999), "x"),
        "final already: cannot be attached to");
    assertNull(keys.findDuplicate("open", 30_001), "its window has ended");
    keys.expire(51);
    assertEquals(0, keys.size());
  }

  /** An operation on one of four keys; the timestamp is this many ms after the clock's time. */
  record Operation(String name, int key, int offsetMillis) {}

  @Provide
  Arbitrary<List<Operation>> operations() {
    return Combinators.combine(
            Arbitraries.of(
                "enqueue",
                "start",
                "start",
                "intentRecorded",
                "abandon",
                "succeed",
                "succeed",
                "fail",
                "resultSaved",
                "resultNotSaved",
                "release",
                "learnFromPeer",
                "releasedByPeer",
                "peerLost",
                "advanceTime",
                "advanceTime"),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(-3000, 200))
        .as(Operation::new)
        .list()
        .ofMaxSize(120);
  }

  @Property(tries = 1500, seed = "29421")
  void noKeyExecutesTwiceWithinItsWindow(
      @ForAll("operations") List<Operation> operations, @ForAll boolean isPersistent) {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((attached, entry) -> {}, KeyMemoryBudget.of(1 << 20));
    if (isPersistent) {
      keys.enablePersistence(3); // fewer than the four keys, so that one always stays in memory
    }
    // The model: no attempt with a timestamp up to here may execute.
    Map<String, Long> coveredUntilMillis = new HashMap<>();
    Map<String, KeyEntry<String>> executingEntries = new HashMap<>();
    Map<String, byte[]> expectedResults = new HashMap<>();
    double now = 100;
    int attemptNumber = 0;
    for (Operation operation : operations) {
      String key = "k" + operation.key();
      long timestampMillis = Math.round(now * 1000) + operation.offsetMillis();
      KeyEntry<String> executingEntry = executingEntries.get(key);
      switch (operation.name()) {
        case "enqueue" -> {
          KeyEntry<String> entry = keys.enqueue(key, BODY, timestampMillis, "h" + ++attemptNumber);
          Long coveredUntil = coveredUntilMillis.get(key);
          assertTrue(
              entry == null || coveredUntil == null || timestampMillis > coveredUntil,
              "queued within the window of an execution");
          if (entry != null) {
            // A timestamp past the window ends the window, even if the clock lags behind.
            coveredUntilMillis.remove(key);
          }
        }
        case "start" -> {
          KeyEntry<String> entry =
              keys.start(key, BODY, timestampMillis, WINDOW_SECONDS, now, "s" + ++attemptNumber);
          if (("s" + attemptNumber).equals(entry.attempt())) {
            assertTrue(
                timestampMillis > coveredUntilMillis.getOrDefault(key, Long.MIN_VALUE),
                "second execution within the window of " + key);
            coveredUntilMillis.put(key, timestampMillis + Math.round(WINDOW_SECONDS * 1000));
            executingEntries.put(key, entry);
            expectedResults.remove(key);
          }
        }
        case "intentRecorded" -> {
          if (executingEntry != null && executingEntry.state() == KeyState.RECORDING) {
            keys.intentRecorded(executingEntry);
          }
        }
        case "abandon" -> {
          if (executingEntry != null
              && executingEntry.state().allows(Step.VOID)
              && keys.isCurrent(executingEntry)) {
            keys.abandon(executingEntry);
            coveredUntilMillis.remove(key);
            executingEntries.remove(key);
          }
        }
        case "succeed", "fail" -> {
          if (executingEntry != null && executingEntry.state() == KeyState.EXECUTING) {
            byte[] result =
                operation.name().equals("succeed") ? new byte[] {(byte) attemptNumber} : null;
            boolean isSaving = keys.complete(executingEntry, result);
            assertEquals(isPersistent && result != null, isSaving);
            expectedResults.put(key, result);
          }
        }
        case "resultSaved", "resultNotSaved" -> {
          if (executingEntry != null && executingEntry.state() == KeyState.SAVING) {
            keys.resultSaved(
                executingEntry,
                operation.name().equals("resultSaved") ? 8 : CompactIndex.NO_RESULT);
          }
        }
        case "release" -> {
          KeyEntry<String> entry = keys.find(key);
          if (entry != null && entry.attempt() != null) {
            keys.release(entry, entry.attempt());
          }
        }
        case "learnFromPeer" -> {
          KeyEntry<String> learned =
              keys.learnFromPeer(key, RequestBody.of(BODY), timestampMillis + 20_000, now + 31);
          if (learned != null) {
            coveredUntilMillis.put(key, timestampMillis + 20_000);
            executingEntries.remove(key);
            expectedResults.remove(key);
          }
        }
        case "releasedByPeer" -> {
          KeyEntry<String> entry = keys.find(key);
          if (keys.isOwnedByPeer(entry)) {
            keys.releasedByPeer(entry);
            coveredUntilMillis.remove(key);
          }
        }
        case "peerLost" -> keys.peerLost();
        default -> {
          now += 1 + operation.key() * 2;
          keys.expire(now);
        }
      }
      KeyEntry<String> existing = keys.find(key);
      Long coveredUntil = coveredUntilMillis.get(key);
      if (coveredUntil != null && Math.round(now * 1000) <= coveredUntil) {
        assertTrue(existing != null && existing.mayHaveRun(), "removed within its window: " + key);
        if (existing.state() == KeyState.SUCCEEDED
            && existing.location() == CompactIndex.NO_RESULT) {
          assertArrayEquals(expectedResults.get(key), keys.result(existing));
        }
      }
    }
  }
}
