package wharftrestle.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wharftrestle.idempotency.IdempotencyTable;
import wharftrestle.idempotency.KeyDigest;
import wharftrestle.idempotency.KeyEntry;
import wharftrestle.idempotency.KeyMemoryBudget;

/** What a process makes of the keys that its predecessor sends. */
class KeyOwnershipTransferTest {
  private final KeyMemoryBudget budget = KeyMemoryBudget.of(64 << 10);
  private final IdempotencyTable<String> keys =
      new IdempotencyTable<>((waiter, entry) -> {}, budget);
  private final KeyOwnershipTransfer<String> transfer =
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
            public void onPeerCompletion(KeyEntry<String> entry, byte[] result) {}

            @Override
            public void onPeerRelease(KeyEntry<String> entry) {}

            @Override
            public void wakeWaiters(String key, boolean granted) {}
          });

  private boolean receive(String name, double secondsLeft, double now) {
    return transfer.onKeyReceived(
        new PeerProcess.CompletedKey(
            KeyDigest.of("1/0/" + name), 50_000, secondsLeft, 3, new byte[] {1}),
        now);
  }

  @Test
  void fullTableReceivedSlowly_fitsAsItsOldestKeysExpire() {
    int maxKeys = budget.maxKeys();
    for (int i = 0; i < maxKeys; i++) {
      assertTrue(receive("first " + i, 1, 100), "the table of the other one fits");
    }
    assertTrue(budget.maxKeys() > 20);
    for (int i = 0; i < maxKeys; i++) {
      assertTrue(receive("second " + i, 20, 104), "what is over by now takes no room");
    }
    assertNull(keys.find("1/0/new"), "so a key that is not known is new");
    assertNotNull(keys.find("1/0/second 0"));
  }

  @Test
  void keyThatDoesNotFit_failsUnknownKeysUntilItsWindowIsOver() {
    int maxKeys = budget.maxKeys();
    for (int i = 0; i < maxKeys; i++) {
      assertTrue(receive("key " + i, 20, 100));
    }
    assertFalse(receive("one more", 5, 100));
    assertNotNull(keys.find("1/0/new"), "it may be the one that is not known");
    keys.expire(104);
    assertNotNull(keys.find("1/0/new"));
    keys.expire(106);
    assertNull(keys.find("1/0/new"));
  }
}
