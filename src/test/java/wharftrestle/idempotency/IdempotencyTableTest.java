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
 * The state machine of keys against a model of what may run, and the steps that the table must not
 * have.
 */
class IdempotencyTableTest {
  private static final double WINDOW = 20;
  private static final byte[] BODY = {1};

  private final List<String> ended = new ArrayList<>();
  private final IdempotencyTable<String> keys =
      new IdempotencyTable<>(
          (rider, entry) -> ended.add(rider + " " + entry.state()), KeyMemoryBudget.of(1 << 20));

  @Example
  void aStepThatIsNotInTheTableThrows() {
    assertThrows(IllegalStateException.class, () -> KeyState.SUCCEEDED.stateAfter(Step.START));
    assertThrows(IllegalStateException.class, () -> KeyState.OUTCOME_UNKNOWN.stateAfter(Step.START));
    assertThrows(IllegalStateException.class, () -> KeyState.RUNNING.stateAfter(Step.RELEASE));
    for (KeyState state : KeyState.values()) {
      boolean mayRun = state.allows(Step.START) || state.allows(Step.RECORD_INTENT);
      assertEquals(!state.mayHaveRun(), mayRun, state + ": what ran may not run, what did not may");
    }
  }

  @Example
  void waitersEndAsTheExecutionDoes() {
    keys.enqueue("k", BODY, 1000, "first");
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW, 1, "first");
    assertTrue(keys.attach(keys.findDuplicate("k", 1500), "second"));
    assertFalse(keys.complete(entry, new byte[] {9}));
    assertEquals(List.of("second SUCCEEDED"), ended);
    assertFalse(
        keys.attach(keys.findDuplicate("k", 1600), "third"), "it is over: answered at once");
    assertArrayEquals(new byte[] {9}, keys.result(keys.findDuplicate("k", 1600)));
  }

  @Example
  void withPersistence_noResultIsGivenBeforeItIsOnDisk() {
    keys.enablePersistence(10);
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW, 1, "first");
    assertEquals(KeyState.RECORDING, entry.state());
    keys.attach(entry, "second");
    keys.intentRecorded(entry);
    assertTrue(keys.complete(entry, new byte[] {9}), "not final yet");
    assertEquals(List.of(), ended);
    keys.resultSaved(entry, 77);
    assertEquals(List.of("second SUCCEEDED"), ended);
    KeyEntry<String> later = keys.findDuplicate("k", 2000);
    assertEquals(77, later.location());
    assertNull(keys.result(later), "its bytes lie on disk");
    assertTrue(later.body().matches(BODY));
    assertFalse(later.body().matches(new byte[] {2}));
    assertSame(
        later.state(),
        keys.start("k", BODY, 2000, WINDOW, 2, "third").state(),
        "and it does not run");
  }

  @Example
  void aResultThatCannotBeWrittenIsGivenFromMemory() {
    keys.enablePersistence(10);
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW, 1, "first");
    keys.intentRecorded(entry);
    keys.complete(entry, new byte[] {9});
    keys.resultSaved(entry, CompactIndex.NO_RESULT);
    assertArrayEquals(new byte[] {9}, keys.result(keys.findDuplicate("k", 2000)));
  }

  @Example
  void anExecutionWithoutARecordedIntentLeavesItsKeyFree() {
    keys.enablePersistence(10);
    KeyEntry<String> entry = keys.start("k", BODY, 1000, WINDOW, 1, "first");
    keys.attach(entry, "second");
    keys.abandon(entry);
    assertEquals(List.of("second ABSENT"), ended);
    assertNull(keys.findDuplicate("k", 1001));
    keys.resultSaved(entry, 3); // a word from the disk that comes too late
    assertNull(keys.findDuplicate("k", 1001));
  }

  @Example
  void aRecoveredKeyNeverRunsInItsWindow() {
    keys.enablePersistence(10);
    assertTrue(keys.recover("known", 5, 30_000, KeyDigest.checksum(BODY), 50));
    assertTrue(keys.recover("open", CompactIndex.NO_RESULT, 30_000, KeyDigest.checksum(BODY), 50));
    assertEquals(KeyState.SUCCEEDED, keys.findDuplicate("known", 29_999).state());
    assertEquals(KeyState.OUTCOME_UNKNOWN, keys.findDuplicate("open", 29_999).state());
    assertFalse(keys.attach(keys.findDuplicate("open", 29_999), "x"), "over: it fails at once");
    assertNull(keys.findDuplicate("open", 30_001), "its window is over");
    keys.expire(51);
    assertEquals(0, keys.size());
  }

  /** What happens to one of four keys; the stamp lies so many ms after the clock's time. */
  record Act(String what, int key, int late) {}

  @Provide
  Arbitrary<List<Act>> acts() {
    return Combinators.combine(
            Arbitraries.of(
                "hold",
                "start",
                "start",
                "recorded",
                "void",
                "good",
                "good",
                "bad",
                "saved",
                "unsaved",
                "release",
                "hear",
                "freed",
                "gone",
                "time",
                "time"),
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(-3000, 200))
        .as(Act::new)
        .list()
        .ofMaxSize(120);
  }

  @Property(tries = 1500, seed = "29421")
  void noKeyRunsTwiceInItsWindow(@ForAll("acts") List<Act> acts, @ForAll boolean recorded) {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((rider, entry) -> {}, KeyMemoryBudget.of(1 << 20));
    if (recorded) {
      keys.enablePersistence(3); // fewer than keys: one always stays in memory
    }
    Map<String, Long> coveredTo = new HashMap<>(); // the model: no try stamped up to here may run
    Map<String, KeyEntry<String>> running = new HashMap<>();
    Map<String, byte[]> results = new HashMap<>();
    double now = 100;
    int holder = 0;
    for (Act act : acts) {
      String key = "k" + act.key();
      long door = Math.round(now * 1000) + act.late();
      KeyEntry<String> mine = running.get(key);
      switch (act.what()) {
        case "hold" -> {
          KeyEntry<String> entry = keys.enqueue(key, BODY, door, "h" + ++holder);
          Long covered = coveredTo.get(key);
          assertTrue(entry == null || covered == null || door > covered, "held within its window");
          if (entry != null) {
            coveredTo.remove(key); // a stamp past the window ends it, though the clock lags behind
          }
        }
        case "start" -> {
          KeyEntry<String> entry = keys.start(key, BODY, door, WINDOW, now, "s" + ++holder);
          if (("s" + holder).equals(entry.attempt())) {
            assertTrue(
                door > coveredTo.getOrDefault(key, Long.MIN_VALUE), "a second run of " + key);
            coveredTo.put(key, door + Math.round(WINDOW * 1000));
            running.put(key, entry);
            results.remove(key);
          }
        }
        case "recorded" -> {
          if (mine != null && mine.state() == KeyState.RECORDING) {
            keys.intentRecorded(mine);
          }
        }
        case "void" -> {
          if (mine != null && mine.state().allows(Step.VOID) && keys.isCurrent(mine)) {
            keys.abandon(mine);
            coveredTo.remove(key);
            running.remove(key);
          }
        }
        case "good", "bad" -> {
          if (mine != null && mine.state() == KeyState.RUNNING) {
            byte[] result = act.what().equals("good") ? new byte[] {(byte) holder} : null;
            boolean waits = keys.complete(mine, result);
            assertEquals(recorded && result != null, waits);
            results.put(key, result);
          }
        }
        case "saved", "unsaved" -> {
          if (mine != null && mine.state() == KeyState.SAVING) {
            keys.resultSaved(mine, act.what().equals("saved") ? 8 : CompactIndex.NO_RESULT);
          }
        }
        case "release" -> {
          KeyEntry<String> entry = keys.find(key);
          if (entry != null && entry.attempt() != null) {
            keys.release(entry, entry.attempt());
          }
        }
        case "hear" -> {
          KeyEntry<String> heard =
              keys.learnFromPeer(key, RequestBody.of(BODY), door + 20_000, now + 31);
          if (heard != null) {
            coveredTo.put(key, door + 20_000);
            running.remove(key);
            results.remove(key);
          }
        }
        case "freed" -> {
          KeyEntry<String> entry = keys.find(key);
          if (keys.isOwnedByPeer(entry)) {
            keys.releasedByPeer(entry);
            coveredTo.remove(key);
          }
        }
        case "gone" -> keys.peerLost();
        default -> {
          now += 1 + act.key() * 2;
          keys.expire(now);
        }
      }
      KeyEntry<String> known = keys.find(key);
      Long covered = coveredTo.get(key);
      if (covered != null && Math.round(now * 1000) <= covered) {
        assertTrue(known != null && known.mayHaveRun(), "forgotten within its window: " + key);
        if (known.state() == KeyState.SUCCEEDED && known.location() == CompactIndex.NO_RESULT) {
          assertArrayEquals(results.get(key), keys.result(known));
        }
      }
    }
  }
}
