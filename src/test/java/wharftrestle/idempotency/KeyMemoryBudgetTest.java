package wharftrestle.idempotency;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
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
import net.jqwik.api.Tuple;

/**
 * Tests that idempotency keys and their results stay within the memory budget, and that no key and
 * no reserved result is dropped within its window to achieve that.
 */
class KeyMemoryBudgetTest {
  private static final double WINDOW_SECONDS = 23.547;
  private static final byte[] BODY = new byte[2048];

  // ---- BlockStore compared with plain arrays ----

  @Property(tries = 400, seed = "29421")
  void blocksReturnTheBytesThatWerePut(@ForAll("sizes") List<Integer> sizes) {
    BlockStore blocks = new BlockStore(1500);
    ArrayDeque<Integer> at = new ArrayDeque<>();
    ArrayDeque<byte[]> storedResults = new ArrayDeque<>();
    int inUse = 0;
    for (int size : sizes) {
      byte[] result = new byte[Math.abs(size)];
      Arrays.fill(result, (byte) size);
      if (size < 0 && !at.isEmpty()) {
        inUse -= BlockStore.blocksFor(storedResults.peekFirst().length);
        assertArrayEquals(
            storedResults.pollFirst(), blocks.get(at.peekFirst()), "the oldest stored result");
        blocks.free(at.pollFirst());
      }
      int first = blocks.put(result);
      assertEquals(
          inUse + BlockStore.blocksFor(result.length) <= 1500, first != BlockStore.NO_BLOCK);
      if (first != BlockStore.NO_BLOCK) {
        inUse += BlockStore.blocksFor(result.length);
        at.addLast(first);
        storedResults.addLast(result);
        assertEquals(BlockStore.blocksFor(result.length), blocks.blockCount(first));
      }
      assertEquals(inUse, blocks.usedBlocks());
      assertTrue(blocks.bytes() <= 1500L * BlockStore.BYTES_PER_BLOCK, blocks.bytes() + " bytes");
    }
    while (!at.isEmpty()) {
      assertArrayEquals(storedResults.pollFirst(), blocks.get(at.pollFirst()));
    }
  }

  @Provide
  Arbitrary<List<Integer>> sizes() {
    return Arbitraries.oneOf(
            Arbitraries.integers().between(-200, 200),
            Arbitraries.integers().between(-4096, 4096),
            Arbitraries.of(0, 59, 60, 61, 124, -60, 4096))
        .list()
        .ofMaxSize(300);
  }

  @Example
  void resultThatDoesNotFit_storesNothing() {
    BlockStore blocks = new BlockStore(3);
    assertEquals(BlockStore.NO_BLOCK, blocks.put(new byte[200]));
    assertEquals(0, blocks.usedBlocks());
    int first = blocks.put(new byte[188]);
    assertEquals(3, blocks.usedBlocks());
    assertEquals(BlockStore.NO_BLOCK, blocks.put(new byte[0]));
    blocks.free(first);
    assertEquals(3, blocks.blockCount(blocks.put(new byte[150])));
  }

  // ---- IdempotencyTable within its budget ----

  /**
   * An operation by its kind: 0 starts a new key, 1 completes the oldest key in flight with a
   * result, 2 fails it, 3 abandons it, 4 advances the time.
   */
  record Operation(int kind, int number, int size) {}

  @Provide
  Arbitrary<List<Operation>> operations() {
    return Combinators.combine(
            Arbitraries.frequency(
                Tuple.of(10, 0), Tuple.of(7, 1), Tuple.of(1, 2), Tuple.of(1, 3), Tuple.of(2, 4)),
            Arbitraries.integers().between(0, 30),
            Arbitraries.oneOf(
                Arbitraries.integers().between(0, 120),
                Arbitraries.integers().between(0, 4096),
                Arbitraries.of(0, 4096)))
        .as(Operation::new)
        .list()
        .ofMinSize(50)
        .ofMaxSize(400);
  }

  private record Expected(byte[] result, double untilSeconds) {}

  @Property(tries = 300, seed = "29421")
  void memoryStaysWithinTheBudget_andNoKeyIsRemovedWithinItsWindow(
      @ForAll("operations") List<Operation> operations, @ForAll boolean clockSteps) {
    KeyMemoryBudget budget = KeyMemoryBudget.of(96 << 10);
    IdempotencyTable<String> keys = new IdempotencyTable<>((attached, entry) -> {}, budget);
    Map<String, Expected> expectedByKey = new HashMap<>();
    ArrayDeque<KeyEntry<String>> inFlight = new ArrayDeque<>();
    double now = 500;
    long unixOffsetMillis = 1_000_000; // offset of the wall clock from the steady clock, ms
    int number = 0;
    for (Operation operation : operations) {
      switch (operation.kind()) {
        case 0 -> {
          if (keys.tryReserveMemory()) {
            String key = "1/0/" + ++number;
            inFlight.add(
                keys.start(
                    key,
                    BODY,
                    unixOffsetMillis + Math.round(now * 1000),
                    WINDOW_SECONDS,
                    now,
                    "attempt " + number));
            expectedByKey.put(key, new Expected(null, now + WINDOW_SECONDS));
          }
        }
        case 1, 2 -> {
          KeyEntry<String> entry = inFlight.poll();
          if (entry != null) {
            byte[] result = operation.kind() == 2 ? null : new byte[operation.size()];
            if (result != null) {
              Arrays.fill(result, (byte) operation.number());
            }
            // Null if the execution lasted longer than the window.
            Expected expected = expectedByKey.get(entry.key());
            if (expected != null && now < expected.untilSeconds()) {
              expectedByKey.put(entry.key(), new Expected(result, expected.untilSeconds()));
            }
            keys.complete(entry, result);
            keys.releaseMemory();
          }
        }
        case 3 -> {
          KeyEntry<String> entry = inFlight.poll();
          if (entry != null) {
            keys.abandon(entry);
            keys.releaseMemory();
            expectedByKey.remove(entry.key());
          }
        }
        default -> {
          now += operation.number() / 4.0;
          unixOffsetMillis += clockSteps ? (operation.size() - 2048) * 20L : 0;
          keys.expire(now);
        }
      }
      assertTrue(
          keys.memoryBytes() + (long) KeyMemoryBudget.ADMISSION_BYTES_PER_KEY * keys.size()
              <= budget.bytes() + 400L * inFlight.size(),
          keys.memoryBytes() + " bytes of " + budget.bytes());
      double at = now;
      expectedByKey.values().removeIf(each -> each.untilSeconds() <= at);
      expectedByKey.forEach(
          (key, each) -> {
            KeyEntry<String> existing = keys.find(key);
            assertTrue(
                existing != null && existing.mayHaveRun(), "removed within its window: " + key);
            if (existing.isFinal()) {
              assertArrayEquals(each.result(), keys.result(existing), "result of " + key);
            }
          });
    }
  }

  @Property(tries = 200, seed = "29421")
  void capacityIsAvailableAtTheReturnedTime_andNotBefore(
      @ForAll("operations") List<Operation> operations) {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((attached, entry) -> {}, KeyMemoryBudget.of(64 << 10));
    double now = 500;
    int number = 0;
    for (Operation operation : operations) {
      now += operation.kind() == 4 ? operation.number() / 10.0 : 0;
      keys.expire(now);
      if (keys.tryReserveMemory()) {
        KeyEntry<String> entry =
            keys.start("1/0/" + ++number, BODY, Math.round(now * 1000), WINDOW_SECONDS, now, "t");
        keys.complete(entry, operation.kind() == 2 ? null : new byte[operation.size()]);
        keys.releaseMemory();
        continue;
      }
      double waitSeconds = keys.secondsUntilCapacity(now);
      assertTrue(
          waitSeconds > 0
              && waitSeconds
                  <= WINDOW_SECONDS
                      + IdempotencyTable.WINDOW_SLACK_SECONDS
                      + IdempotencyTable.LINGER_SECONDS
                      + 0.5,
          "seconds until capacity: " + waitSeconds);
      if (waitSeconds > 0.5) {
        keys.expire(now + waitSeconds - 0.5);
        assertFalse(keys.tryReserveMemory(), "capacity was available before the returned time");
      }
      now += waitSeconds + 0.25;
      keys.expire(now);
      assertTrue(keys.tryReserveMemory(), "no capacity at the returned time");
      // Clients that received the same Retry-After return together: those that do not fit are
      // rejected again.
      int reservations = 0;
      while (keys.tryReserveMemory()) {
        reservations++;
      }
      assertTrue(reservations < 30, reservations + " reservations at once");
      for (; reservations >= 0; reservations--) {
        keys.releaseMemory();
      }
    }
  }

  @Example
  void keysOfThePeerAreCountedInTheBudget_andAFullStoreDropsResultsButNoKeys() {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((attached, entry) -> {}, KeyMemoryBudget.of(64 << 10));
    int reservable = 0;
    while (keys.tryReserveMemory()) {
      reservable++;
    }
    for (int i = 0; i < reservable; i++) {
      keys.releaseMemory();
    }
    for (int i = 0; i < reservable; i++) {
      keys.learnFromPeer("1/0/" + i, RequestBody.of(BODY), 50_000, 60);
    }
    assertFalse(keys.tryReserveMemory(), "the peer may complete each key with the largest result");
    for (int i = 0; i < reservable; i++) {
      keys.complete(keys.find("1/0/" + i), new byte[KeyMemoryBudget.MAX_RESULT_BYTES]);
      assertEquals(KeyMemoryBudget.MAX_RESULT_BYTES, keys.result(keys.find("1/0/" + i)).length);
    }
    for (int i = 0; i < 20; i++) {
      keys.learnSettledFromPeer(new SettledEntry(7, i, 50_000, 3, 60, new byte[4096]));
    }
    SettledEntry last = keys.findSettled(new KeyDigest(7, 19));
    assertNull(last.result(), "the result does not fit");
    assertEquals(50_000, last.coveredUntilMillis(), "its key is kept");
    keys.expire(61);
    assertTrue(keys.tryReserveMemory());
  }
}
