package wharftrestle.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares the timing wheel and the index with hash maps under random operations. */
class KeyStructuresTest {

  /** An operation by its kind: 0 puts or schedules, 1 removes or cancels, 2 advances the time. */
  record Operation(int kind, int number, double seconds) {}

  @Provide
  Arbitrary<List<Operation>> operations() {
    return Combinators.combine(
            Arbitraries.frequency(
                net.jqwik.api.Tuple.of(5, 0),
                net.jqwik.api.Tuple.of(2, 1),
                net.jqwik.api.Tuple.of(3, 2)),
            Arbitraries.integers().between(0, 40),
            Arbitraries.doubles().between(0, 60).ofScale(3))
        .as(Operation::new)
        .list()
        .ofMaxSize(200);
  }

  @Property(tries = 600, seed = "29421")
  void wheelFiresEachNumberOnce_neverEarly_atMostOneTickLate(
      @ForAll("operations") List<Operation> operations) {
    // 4 s per turn, so that many numbers are due several turns ahead.
    TimingWheel wheel = new TimingWheel(0.25, 16);
    Map<Integer, Double> model = new HashMap<>();
    double now = 1000;
    for (Operation operation : operations) {
      switch (operation.kind()) {
        case 0 -> {
          wheel.schedule(operation.number(), now + operation.seconds());
          model.put(operation.number(), now + operation.seconds());
        }
        case 1 -> {
          wheel.cancel(operation.number());
          model.remove(operation.number());
        }
        default -> {
          now += operation.seconds() / 6;
          double at = now;
          wheel.advance(
              now,
              number -> {
                Double dueSeconds = model.remove(number);
                assertTrue(dueSeconds != null, "fired twice or without being scheduled");
                assertTrue(dueSeconds <= at, "fired early");
              });
          model.forEach(
              (number, dueSeconds) ->
                  assertTrue(
                      dueSeconds + 0.5 > at,
                      "fired late by more than a tick: " + (at - dueSeconds)));
        }
      }
      assertEquals(model.size(), wheel.size());
    }
  }

  @Property(tries = 600, seed = "29421")
  void indexMatchesAHashMap(@ForAll("operations") List<Operation> operations) {
    CompactIndex index = new CompactIndex(30);
    Map<Integer, Long> model = new HashMap<>();
    Map<Integer, Double> dueSeconds = new HashMap<>();
    double now = 5;
    long location = 0;
    for (Operation operation : operations) {
      // Keys share three adjacent home slots, so that they collide and form chains.
      KeyDigest key = new KeyDigest(operation.number(), 64L * 3 - operation.number() % 3);
      switch (operation.kind()) {
        case 0 -> {
          boolean fits = model.containsKey(operation.number()) || model.size() < 30;
          assertEquals(
              fits,
              index.put(key, ++location, location * 2, location * 3, now + operation.seconds()));
          if (fits) {
            model.put(operation.number(), location);
            dueSeconds.put(operation.number(), now + operation.seconds());
          }
        }
        case 1 -> {
          assertEquals(model.remove(operation.number()) != null, index.remove(key));
          dueSeconds.remove(operation.number());
        }
        default -> {
          now += operation.seconds() / 6;
          index.expire(now);
          Set<Integer> numbers = new HashSet<>(model.keySet());
          for (int number : numbers) {
            CompactIndex.IndexedKey found = index.find(new KeyDigest(number, 64L * 3 - number % 3));
            if (found == null) {
              assertTrue(dueSeconds.remove(number) <= now, "removed early");
              model.remove(number);
            } else {
              assertTrue(dueSeconds.get(number) + 0.5 > now, "not removed in time");
              assertEquals(model.get(number), found.location());
              assertEquals(model.get(number) * 2, found.coveredUntilMillis());
              assertEquals(model.get(number) * 3, found.checksum());
            }
          }
        }
      }
      assertEquals(model.size(), index.size());
    }
  }

  @Example
  void indexGrowsToItsCapacity_withAtMost100BytesPerKey() {
    CompactIndex index = new CompactIndex(100_000);
    for (int i = 0; i < 100_000; i++) {
      assertTrue(index.put(KeyDigest.of("2/0/" + i), i, i, i, 30 + i % 7));
    }
    assertFalse(index.put(KeyDigest.of("one more"), 1, 1, 1, 30));
    assertEquals(77, index.find(KeyDigest.of("2/0/77")).location());
    assertTrue(index.bytes() < 100 * 100_000, index.bytes() + " bytes");
    index.expire(40);
    assertEquals(0, index.size());
    assertNull(index.find(KeyDigest.of("2/0/77")));
  }
}
