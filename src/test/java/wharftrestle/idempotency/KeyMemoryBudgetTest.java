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
import wharftrestle.idempotency.IdempotencyTable.Entry;

/**
 * What is known of keys in memory stays within its bound, and nothing that is owed to a key is
 * given up for it.
 */
class KeyMemoryBudgetTest {
  private static final double WINDOW = 23.547;
  private static final byte[] BODY = new byte[2048];

  // ---- Blocks against plain arrays ----

  @Property(tries = 400, seed = "29421")
  void blocksGiveBackTheBytesThatWerePut(@ForAll("sizes") List<Integer> sizes) {
    BlockStore blocks = new BlockStore(1500);
    ArrayDeque<Integer> at = new ArrayDeque<>();
    ArrayDeque<byte[]> plain = new ArrayDeque<>();
    int inUse = 0;
    for (int size : sizes) {
      byte[] result = new byte[Math.abs(size)];
      Arrays.fill(result, (byte) size);
      if (size < 0 && !at.isEmpty()) {
        inUse -= BlockStore.of(plain.peekFirst().length);
        assertArrayEquals(plain.pollFirst(), blocks.get(at.peekFirst()), "what was put first");
        blocks.free(at.pollFirst());
      }
      int first = blocks.put(result);
      assertEquals(inUse + BlockStore.of(result.length) <= 1500, first != BlockStore.NONE);
      if (first != BlockStore.NONE) {
        inUse += BlockStore.of(result.length);
        at.addLast(first);
        plain.addLast(result);
        assertEquals(BlockStore.of(result.length), blocks.count(first));
      }
      assertEquals(inUse, blocks.used());
      assertTrue(blocks.bytes() <= 1500L * BlockStore.COST, blocks.bytes() + " bytes");
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
    assertEquals(BlockStore.NONE, blocks.put(new byte[200]));
    assertEquals(0, blocks.used());
    int first = blocks.put(new byte[188]);
    assertEquals(3, blocks.used());
    assertEquals(BlockStore.NONE, blocks.put(new byte[0]));
    blocks.free(first);
    assertEquals(3, blocks.count(blocks.put(new byte[150])));
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
  void bytesHeldStayWithinTheBoundAndNoKeyIsForgottenInItsWindow(
      @ForAll("acts") List<Act> acts, @ForAll boolean clockSteps) {
    KeyMemoryBudget room = KeyMemoryBudget.of(96 << 10);
    IdempotencyTable<String> keys = new IdempotencyTable<>((rider, entry) -> {}, room);
    Map<String, Owed> owed = new HashMap<>();
    ArrayDeque<Entry<String>> inHand = new ArrayDeque<>();
    double now = 500;
    long unix = 1_000_000; // ms that the wall clock is ahead of the steady one
    int number = 0;
    for (Act act : acts) {
      switch (act.kind()) {
        case 0 -> {
          if (keys.promise()) {
            String key = "1/0/" + ++number;
            inHand.add(
                keys.start(key, BODY, unix + Math.round(now * 1000), WINDOW, now, "try " + number));
            owed.put(key, new Owed(null, now + WINDOW));
          }
        }
        case 1, 2 -> {
          Entry<String> ends = inHand.poll();
          if (ends != null) {
            byte[] result = act.kind() == 2 ? null : new byte[act.size()];
            if (result != null) {
              Arrays.fill(result, (byte) act.number());
            }
            Owed was = owed.get(ends.key()); // null where its run outlived its window
            if (was != null && now < was.until()) {
              owed.put(ends.key(), new Owed(result, was.until()));
            }
            keys.ran(ends, result);
            keys.unpromise();
          }
        }
        case 3 -> {
          Entry<String> ends = inHand.poll();
          if (ends != null) {
            keys.neverRan(ends);
            keys.unpromise();
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
          keys.bytes() + (long) KeyMemoryBudget.POLICY_COST * keys.size()
              <= room.bytes() + 400L * inHand.size(),
          keys.bytes() + " bytes of " + room.bytes());
      double at = now;
      owed.values().removeIf(each -> each.until() <= at);
      owed.forEach(
          (key, each) -> {
            Entry<String> known = keys.find(key);
            assertTrue(known != null && known.ran(), "forgotten within its window: " + key);
            if (known.over()) {
              assertArrayEquals(each.result(), keys.result(known), "its result");
            }
          });
    }
  }

  @Property(tries = 200, seed = "29421")
  void whoIsToldToComeAgainFindsRoomThenAndNotBefore(@ForAll("acts") List<Act> acts) {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((rider, entry) -> {}, KeyMemoryBudget.of(64 << 10));
    double now = 500;
    int number = 0;
    for (Act act : acts) {
      now += act.kind() == 4 ? act.number() / 10.0 : 0;
      keys.expire(now);
      if (keys.promise()) {
        Entry<String> entry =
            keys.start("1/0/" + ++number, BODY, Math.round(now * 1000), WINDOW, now, "t");
        keys.ran(entry, act.kind() == 2 ? null : new byte[act.size()]);
        keys.unpromise();
        continue;
      }
      double in = keys.roomIn(now);
      assertTrue(
          in > 0 && in <= WINDOW + IdempotencyTable.SLACK + IdempotencyTable.LINGER + 0.5,
          "come again in " + in);
      if (in > 0.5) {
        keys.expire(now + in - 0.5);
        assertFalse(keys.promise(), "there was room before the time that was told");
      }
      now += in + 0.25;
      keys.expire(now);
      assertTrue(keys.promise(), "no room at the time that was told");
      // All who were told the same time come together: what does not fit is refused again, and
      // nothing breaks.
      int more = 0;
      while (keys.promise()) {
        more++;
      }
      assertTrue(more < 30, more + " came in at once");
      for (; more >= 0; more--) {
        keys.unpromise();
      }
    }
  }

  @Example
  void aKeyOfTheOtherProcessHasItsRoomAndAFullTableKeepsTheKeyWithoutItsResult() {
    IdempotencyTable<String> keys =
        new IdempotencyTable<>((rider, entry) -> {}, KeyMemoryBudget.of(64 << 10));
    int promised = 0;
    while (keys.promise()) {
      promised++;
    }
    for (int i = 0; i < promised; i++) {
      keys.unpromise();
    }
    for (int i = 0; i < promised; i++) {
      keys.hear("1/0/" + i, IdempotencyTable.Asked.of(BODY), 50_000, 60);
    }
    assertFalse(keys.promise(), "the other process may end each with the largest result");
    for (int i = 0; i < promised; i++) {
      keys.ran(keys.find("1/0/" + i), new byte[KeyMemoryBudget.LONGEST_RESULT]);
      assertEquals(KeyMemoryBudget.LONGEST_RESULT, keys.result(keys.find("1/0/" + i)).length);
    }
    for (int i = 0; i < 20; i++) {
      keys.hear(new IdempotencyTable.Settled(7, i, 50_000, 3, 60, new byte[4096]));
    }
    IdempotencyTable.Settled last = keys.settled(new KeyDigest(7, 19));
    assertNull(last.result(), "no room for it");
    assertEquals(50_000, last.lastDoor(), "but its key is known");
    keys.expire(61);
    assertTrue(keys.promise());
  }
}
