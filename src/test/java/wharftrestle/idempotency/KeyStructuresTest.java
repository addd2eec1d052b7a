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

/** The wheel and the index against the plain structures that they stand for. */
class KeyStructuresTest {

  /** What is done to both: 0 puts or schedules, 1 removes or cancels, 2 lets time pass. */
  record Act(int kind, int number, double seconds) {}

  @Provide
  Arbitrary<List<Act>> acts() {
    return Combinators.combine(
            Arbitraries.frequency(
                net.jqwik.api.Tuple.of(5, 0),
                net.jqwik.api.Tuple.of(2, 1),
                net.jqwik.api.Tuple.of(3, 2)),
            Arbitraries.integers().between(0, 40),
            Arbitraries.doubles().between(0, 60).ofScale(3))
        .as(Act::new)
        .list()
        .ofMaxSize(200);
  }

  @Property(tries = 600, seed = "29421")
  void theWheelFiresEachOnceNeverEarlyAndAtMostATickLate(@ForAll("acts") List<Act> acts) {
    TimingWheel wheel = new TimingWheel(0.25, 16); // 4 s a turn, so that much lies turns ahead
    Map<Integer, Double> plain = new HashMap<>();
    double now = 1000;
    for (Act act : acts) {
      switch (act.kind()) {
        case 0 -> {
          wheel.schedule(act.number(), now + act.seconds());
          plain.put(act.number(), now + act.seconds());
        }
        case 1 -> {
          wheel.cancel(act.number());
          plain.remove(act.number());
        }
        default -> {
          now += act.seconds() / 6;
          double at = now;
          wheel.advance(
              now,
              number -> {
                Double due = plain.remove(number);
                assertTrue(due != null, "told twice, or never asked for");
                assertTrue(due <= at, "early");
              });
          plain.forEach((number, due) -> assertTrue(due + 0.5 > at, "late: " + (at - due)));
        }
      }
      assertEquals(plain.size(), wheel.size());
    }
  }

  @Property(tries = 600, seed = "29421")
  void theIndexHoldsWhatAMapHolds(@ForAll("acts") List<Act> acts) {
    CompactIndex index = new CompactIndex(30);
    Map<Integer, Long> plain = new HashMap<>();
    Map<Integer, Double> due = new HashMap<>();
    double now = 5;
    long place = 0;
    for (Act act : acts) {
      // Keys that share their home slot, so that every chain and every wrap is met.
      KeyDigest key = new KeyDigest(act.number(), 64L * 3 - act.number() % 3);
      switch (act.kind()) {
        case 0 -> {
          boolean room = plain.containsKey(act.number()) || plain.size() < 30;
          assertEquals(room, index.put(key, ++place, place * 2, place * 3, now + act.seconds()));
          if (room) {
            plain.put(act.number(), place);
            due.put(act.number(), now + act.seconds());
          }
        }
        case 1 -> {
          assertEquals(plain.remove(act.number()) != null, index.remove(key));
          due.remove(act.number());
        }
        default -> {
          now += act.seconds() / 6;
          index.expire(now);
          Set<Integer> all = new HashSet<>(plain.keySet());
          for (int number : all) {
            CompactIndex.IndexedKey found = index.find(new KeyDigest(number, 64L * 3 - number % 3));
            if (found == null) {
              assertTrue(due.remove(number) <= now, "forgotten early");
              plain.remove(number);
            } else {
              assertTrue(due.get(number) + 0.5 > now, "kept too long");
              assertEquals(plain.get(number), found.location());
              assertEquals(plain.get(number) * 2, found.coveredUntilMillis());
              assertEquals(plain.get(number) * 3, found.checksum());
            }
          }
        }
      }
      assertEquals(plain.size(), index.size());
    }
  }

  @Example
  void theIndexGrowsToItsCapacityAndIsSmall() {
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
