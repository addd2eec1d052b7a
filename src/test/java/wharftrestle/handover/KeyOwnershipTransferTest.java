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

/** Tests how a successor records the completed keys that its predecessor sends. */
class KeyOwnershipTransferTest {
  private final KeyMemoryBudget budget = KeyMemoryBudget.of(64 << 10);
  private final IdempotencyTable<String> keys =
      new IdempotencyTable<>((waiter, entry) -> {}, budget);
  private final KeyOwnershipTransfer<String> transfer =
      new KeyOwnershipTransfer<>(
          keys,
          new KeyOwnershipTransfer.Host<>() {
            @Override
            public long arrivalUnixMillis(String request) {
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
            public void wakeWaiters(String key, boolean isGranted) {}
          });

  private boolean receive(String name, double remainingSeconds, double now) {
    return transfer.onKeyReceived(
        new PeerProcess.CompletedKey(
            KeyDigest.of("1/0/" + name), 50_000, remainingSeconds, 3, new byte[] {1}),
        now);
  }

  @Test
  void fullTableReceivedTwice_fitsOnceItsFirstKeysHaveExpired() {
    int maxKeys = budget.maxKeys();
    for (int i = 0; i < maxKeys; i++) {
      assertTrue(receive("first " + i, 1, 100), "the predecessor's full table fits");
    }
    assertTrue(budget.maxKeys() > 20);
    for (int i = 0; i < maxKeys; i++) {
      assertTrue(receive("second " + i, 20, 104), "expired keys use no memory");
    }
    assertNull(keys.find("1/0/new"), "an unknown key is new");
    assertNotNull(keys.find("1/0/second 0"));
  }

  @Test
  void keyWithoutSpace_failsUnknownKeysUntilItsWindowIsOver() {
    int maxKeys = budget.maxKeys();
    for (int i = 0; i < maxKeys; i++) {
      assertTrue(receive("key " + i, 20, 100));
    }
    assertFalse(receive("one more", 5, 100));
    assertNotNull(keys.find("1/0/new"), "it may be the key that was not recorded");
    keys.expire(104);
    assertNotNull(keys.find("1/0/new"));
    keys.expire(106);
    assertNull(keys.find("1/0/new"));
  }
}
