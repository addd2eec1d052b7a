package wharftrestle.prove;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Short plays of {@link ProveHostileClients} that guard against late or missing answers of ordinary
 * clients, a lack of memory, and keys that execute twice.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ProveHostileClientsTest {
  private static final int SECONDS = 7;

  private static void assertHolds(ProveHostileClients.Play play) throws Exception {
    ProveHostileClients.Observations observed = ProveHostileClients.run(play);
    System.out.println(play + ": " + observed);
    assertTrue(observed.holds(), play + ": " + observed);
  }

  @Test
  void everNewNamesAtASmallHost_costNobodyAnAnswer() throws Exception {
    assertHolds(
        new ProveHostileClients.Play(
            HostileClient.Kind.NEW_NAMES, 4, true, 64, 256, 0.5, 0, false, false, SECONDS));
  }

  @Test
  void keysThatComeAgain_alsoInUpgrades_executeOnce() throws Exception {
    ProveHostileClients.Play play =
        new ProveHostileClients.Play(
            HostileClient.Kind.RETURNS, 4, true, 192, 512, 1, 0, false, true, SECONDS);
    ProveHostileClients.Observations observed = ProveHostileClients.run(play);
    System.out.println(play + ": " + observed);
    assertTrue(observed.upgrades() > 0, "no upgrade was played");
    assertEquals(0, observed.executedTwice(), observed.toString());
    assertEquals(0, observed.ordinary().late(), observed.toString());
  }
}
