package wharftrestle.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyMemoryBudget;

/** What one process makes of the keys that another tells it. */
class KeyOwnershipTransferTest {
  private final KeyMemoryBudget room = KeyMemoryBudget.of(64 << 10);
  private final IdempotencyTable<String> keys = new IdempotencyTable<>((rider, entry) -> {}, room);
  private final KeyOwnershipTransfer<String> between =
      new KeyOwnershipTransfer<>(
          keys,
          new KeyOwnershipTransfer.Host<>() {
            @Override
            public long arrivalUnixMillis(String holder) {
              return 0;
            }

            @Override
            public double windowSeconds(String key) {
              return 20;
            }

            @Override
            public void onPeerFinished(IdempotencyTable.Entry<String> entry, byte[] result) {}

            @Override
            public void onPeerReleased(IdempotencyTable.Entry<String> entry) {}

            @Override
            public void wakeWaiters(String key, boolean granted) {}
          });

  private boolean hear(String name, double secondsLeft, double now) {
    return between.onKeyReceived(
        new PeerProcess.SettledKey(
            KeyDigest.of("1/0/" + name), 50_000, secondsLeft, 3, new byte[] {1}),
        now);
  }

  @Test
  void aFullTableThatIsToldSlowlyFitsAsItsOldestKeysGo() {
    int most = room.mostKeys();
    for (int i = 0; i < most; i++) {
      assertTrue(hear("first " + i, 1, 100), "the table of the other one fits");
    }
    assertTrue(room.mostKeys() > 20);
    for (int i = 0; i < most; i++) {
      assertTrue(hear("second " + i, 20, 104), "what is over by now takes no room");
    }
    assertNull(keys.find("1/0/new"), "so a key that is not known is new");
    assertNotNull(keys.find("1/0/second 0"));
  }

  @Test
  void whereOneDoesNotFitNoUnknownKeyRunsUntilItsWindowIsOver() {
    int most = room.mostKeys();
    for (int i = 0; i < most; i++) {
      assertTrue(hear("key " + i, 20, 100));
    }
    assertFalse(hear("one more", 5, 100));
    assertNotNull(keys.find("1/0/new"), "it may be the one that is not known");
    keys.expire(104);
    assertNotNull(keys.find("1/0/new"));
    keys.expire(106);
    assertNull(keys.find("1/0/new"));
  }
}
