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
 * What is known of keys in memory stays within its bound, and nothing that is owed to a key is
 * given up for it.
 */
class KeyMemoryBudgetTest {
  private static final double WINDOW = 23.547;
  private static final byte[] BODY = new byte[2048];

  // ---- Blocks against plain arrays ----

  @Property(tries = 400, seed = "29421")
  void blocksReturnTheBytesThatWerePut(@ForAll("sizes") List<Integer> sizes) {
    BlockStore blocks = new BlockStore(1500);
    ArrayDeque<Integer> at = new ArrayDeque<>();
    ArrayDeque<byte[]> plain = new ArrayDeque<>();
    int inUse = 0;
    for (int size : sizes) {
      byte[] result = new byte[Math.abs(size)];
      Arrays.fill(result, (byte) size);
      if (size < 0 && !at.isEmpty()) {
        inUse -= BlockStore.blocksFor(plain.peekFirst().length);
        assertArrayEquals(plain.pollFirst(), blocks.get(at.peekFirst()), "what was put first");
        blocks.free(at.pollFirst());
      }
      int first = blocks.put(result);
      assertEquals(
          inUse + BlockStore.blocksFor(result.length) <= 1500, first != BlockStore.NO_BLOCK);
      if (first != BlockStore.NO_BLOCK) {
        inUse += BlockStore.blocksFor(result.length);
        at.addLast(first);
        plain.addLast(result);
        assertEquals(BlockStore.blocksFor(result.length), blocks.blockCount(first));
      }
      assertEquals(inUse, blocks.usedBlocks());
      assertTrue(blocks.bytes() <= 1500L * BlockStore.BYTES_PER_BLOCK, blocks.bytes() + " bytes");
    }
    while (!at.isEmpty()) {
      assertArrayEquals(plain.pollFirst(), blocks.get(at.pollFirst()));
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
  void aResultThatDoesNotFitLeavesNothingBehind() {
    BlockStore blocks = new BlockStore(3);
    assertEquals(BlockStore.NO_BLOCK, blocks.put(new byte[200]));
    assertEquals(0, blocks.usedBlocks());
    int first = blocks.put(new byte[188]);
    assertEquals(3, blocks.usedBlocks());
    assertEquals(BlockStore.NO_BLOCK, blocks.put(new byte[0]));
    blocks.free(first);
    assertEquals(3, blocks.blockCount(blocks.put(new byte[150])));
  }

  // ---- The table within its room ----

  /**
   * What happens: 0 a new key is read, 1 one in hand ends well, 2 ends badly, 3 never runs, 4 time
   * passes.
   */
  record Act(int kind, int number, int size) {}

  @Provide
  Arbitrary<List<Act>> acts() {
    return Combinators.combine(
            Arbitraries.frequency(
                Tuple.of(10, 0), Tuple.of(7, 1), Tuple.of(1, 2), Tuple.of(1, 3), Tuple.of(2, 4)),
            Arbitraries.integers().between(0, 30),
            Arbitraries.oneOf(
                Arbitraries.integers().between(0, 120),
                Arbitraries.integers().between(0, 4096),
                Arbitraries.of(0, 4096)))
        .as(Act::new)
        .list()
        .ofMinSize(50)
        .ofMaxSize(400);
  }

  private record Owed(byte[] result, double until) {}

  @Property(tries = 300, seed = "29421")
  void memoryStaysWithinTheBudgetAndNoKeyIsForgottenInItsWindow(
      @ForAll("acts") List<Act> acts, @ForAll boolean clockSteps) {
    KeyMemoryBudget room = KeyMemoryBudget.of(96 << 10);
    IdempotencyTable<String> keys = new IdempotencyTable<>((rider, entry) -> {}, room);
    Map<String, Owed> owed = new HashMap<>();
    ArrayDeque<KeyEntry<String>> inHand = new ArrayDeque<>();
    double now = 500;
    long unix = 1_000_000; // ms that the wall clock is ahead of the steady one
    int number = 0;
    for (Act act : acts) {
      switch (act.kind()) {
        case 0 -> {
          if (keys.tryReserveMemory()) {
            String key = "1/0/" + ++number;
            inHand.add(
                keys.start(key, BODY, unix + Math.round(now * 1000), WINDOW, now, "try " + number));
            owed.put(key, new Owed(null, now + WINDOW));
          }
        }
        case 1, 2 -> {
          KeyEntry<String> ends = inHand.poll();
          if (ends != null) {
            byte[] result = act.kind() == 2 ? null : new byte[act.size()];
            if (result != null) {
              Arrays.fill(result, (byte) act.number());
            }
            Owed was = owed.get(ends.key()); // null where its run outlived its window
            if (was != null && now < was.until()) {
              owed.put(ends.key(), new Owed(result, was.until()));
            }
            keys.complete(ends, result);
            keys.releaseMemory();
          }
        }
        case 3 -> {
          KeyEntry<String> ends = inHand.poll();
          if (ends != null) {
            keys.abandon(ends);
            keys.releaseMemory();
            owed.remove(ends.key());
          }
        }
        default -> {
          now += act.number() / 4.0;
          unix += clockSteps ? (act.size() - 2048) * 20L : 0;
          keys.expire(now);
        }
      }
      assertTrue(
          keys.memoryBytes() + (long) KeyMemoryBudget.ADMISSION_BYTES_PER_KEY * keys.size()
              <= room.bytes() + 400L * inHand.size(),
          keys.memoryBytes() + " bytes of " + room.bytes());
      double at = now;
      owed.values().removeIf(each -> each.until() <= at);
      owed.forEach(
          (key, each) -> {
            KeyEntry<String> known = keys.find(key);
            assertTrue(known != null && known.mayHaveRun(), "forgotten within its window: " + key);
            if (known.isFinal()) {
              assertArrayEquals(each.result(), keys.result(known), "its result");
            }
          });
    }
  }

  @Property(tries = 200, seed = "29421")
  void capacityIsBackAtTheStatedTimeAndNotBefore(@ForAll("acts") List<Act> acts) {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((rider, entry) -> {}, KeyMemoryBudget.of(64 << 10));
    double now = 500;
    int number = 0;
    for (Act act : acts) {
      now += act.kind() == 4 ? act.number() / 10.0 : 0;
      keys.expire(now);
      if (keys.tryReserveMemory()) {
        KeyEntry<String> entry =
            keys.start("1/0/" + ++number, BODY, Math.round(now * 1000), WINDOW, now, "t");
        keys.complete(entry, act.kind() == 2 ? null : new byte[act.size()]);
        keys.releaseMemory();
        continue;
      }
      double in = keys.secondsUntilCapacity(now);
      assertTrue(
          in > 0
              && in
                  <= WINDOW
                      + IdempotencyTable.WINDOW_SLACK_SECONDS
                      + IdempotencyTable.LINGER_SECONDS
                      + 0.5,
          "come again in " + in);
      if (in > 0.5) {
        keys.expire(now + in - 0.5);
        assertFalse(keys.tryReserveMemory(), "there was room before the time that was told");
      }
      now += in + 0.25;
      keys.expire(now);
      assertTrue(keys.tryReserveMemory(), "no room at the time that was told");
      // All who were told the same time come together: what does not fit is refused again, and
      // nothing breaks.
      int more = 0;
      while (keys.tryReserveMemory()) {
        more++;
      }
      assertTrue(more < 30, more + " came in at once");
      for (; more >= 0; more--) {
        keys.releaseMemory();
      }
    }
  }

  @Example
  void aKeyOfThePeerHasItsMemoryAndAFullStoreKeepsTheKeyWithoutItsResult() {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((rider, entry) -> {}, KeyMemoryBudget.of(64 << 10));
    int promised = 0;
    while (keys.tryReserveMemory()) {
      promised++;
    }
    for (int i = 0; i < promised; i++) {
      keys.releaseMemory();
    }
    for (int i = 0; i < promised; i++) {
      keys.learnFromPeer("1/0/" + i, RequestBody.of(BODY), 50_000, 60);
    }
    assertFalse(keys.tryReserveMemory(), "the other process may end each with the largest result");
    for (int i = 0; i < promised; i++) {
      keys.complete(keys.find("1/0/" + i), new byte[KeyMemoryBudget.MAX_RESULT_BYTES]);
      assertEquals(KeyMemoryBudget.MAX_RESULT_BYTES, keys.result(keys.find("1/0/" + i)).length);
    }
    for (int i = 0; i < 20; i++) {
      keys.learnSettledFromPeer(new SettledEntry(7, i, 50_000, 3, 60, new byte[4096]));
    }
    SettledEntry last = keys.findSettled(new KeyDigest(7, 19));
    assertNull(last.result(), "no room for it");
    assertEquals(50_000, last.coveredUntilMillis(), "but its key is known");
    keys.expire(61);
    assertTrue(keys.tryReserveMemory());
  }
}
