package wharftrestle.rollout.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the choice of the hosts that probe a silent one. */
class IndirectProberTest {
  private static final List<String> REACHABLE = List.of("a", "b", "c", "d", "e", "f", "g");

  /** A name whose hash code is Integer.MIN_VALUE, of which Math.abs is negative. */
  private static final String LOWEST_HASH = "polygenelubricants";

  @Test
  void chooseWitnesses_nameWithTheLowestHashCode_choosesTwo() {
    assertEquals(Integer.MIN_VALUE, LOWEST_HASH.hashCode());

    List<String> chosen = IndirectProber.chooseWitnesses(LOWEST_HASH, REACHABLE);

    assertEquals(List.of("c", "d"), chosen);
  }

  @Test
  void chooseWitnesses_anyOtherName_startsAtTheHashCodeModuloTheCount() {
    for (int i = 0; i < 1000; i++) {
      String host = "host-" + i;
      int first = (int) (Math.abs((long) host.hashCode()) % REACHABLE.size());

      List<String> chosen = IndirectProber.chooseWitnesses(host, REACHABLE);

      assertEquals(
          List.of(REACHABLE.get(first), REACHABLE.get((first + 1) % REACHABLE.size())), chosen);
    }
  }

  @Test
  void chooseWitnesses_fewerThanTwoReachable_choosesAll() {
    assertEquals(List.of("a"), IndirectProber.chooseWitnesses(LOWEST_HASH, List.of("a")));
    assertTrue(IndirectProber.chooseWitnesses(LOWEST_HASH, List.of()).isEmpty());
  }
}
