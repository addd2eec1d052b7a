package wharftrestle.idempotency;

import java.util.List;
import wharftrestle.idempotency.KeyState.Step;

/**
 * Keys whose outcome is final, in compact form: a row of the {@link CompactIndex} by digest, and
 * the result in the {@link BlockStore} or on disk. Maps locations to blocks, and frees the blocks
 * of keys that are removed. Guarded by the lock of the table's caller.
 *
 * <p>A location of 0 or more is on disk, {@link CompactIndex#NO_RESULT} means no result, and each
 * number below that means the first block of a result in memory.
 */
final class SettledKeys {
  private final BlockStore results;
  private CompactIndex index;
  // Caches the last digest: the same key is looked up several times in a row, each with a SHA-256.
  private String lastDigestedKey;
  private KeyDigest lastDigest;

  SettledKeys(KeyMemoryBudget budget) {
    results = new BlockStore(budget.maxBlocks());
    index = newIndex(budget.maxKeys());
  }

  private CompactIndex newIndex(int maxKeys) {
    return new CompactIndex(maxKeys, this::freeResult);
  }

  /** Removes all keys and sets the maximum number of keys. */
  void reset(int maxKeys) {
    index = newIndex(maxKeys);
  }

  int size() {
    return index.size();
  }

  /** Memory of the index in bytes. */
  long indexBytes() {
    return index.bytes();
  }

  /** Memory of the index and of the blocks in bytes. */
  long memoryBytes() {
    return index.bytes() + results.bytes();
  }

  /** Memory of results in bytes, counted in full blocks. */
  long resultBytes() {
    return (long) results.usedBlocks() * BlockStore.BYTES_PER_BLOCK;
  }

  /** Number of blocks of results in use. */
  int usedBlocks() {
    return results.usedBlocks();
  }

  /** A new read-only entry with the data of this key; null if it is not settled. */
  <T> KeyEntry<T> view(String key) {
    CompactIndex.IndexedKey indexedKey = lookup(key);
    if (indexedKey == null) {
      return null;
    }
    KeyEntry<T> view =
        new KeyEntry<>(key, new RequestBody(null, indexedKey.checksum()), KeyEntry.NO_ROW);
    boolean hasResult = indexedKey.location() != CompactIndex.NO_RESULT;
    view.transition(hasResult ? Step.RECOVER_RESULT : Step.RECOVER_INTENT);
    view.setLocation(indexedKey.location());
    view.setCoveredUntilMillis(indexedKey.coveredUntilMillis());
    return view;
  }

  private CompactIndex.IndexedKey lookup(String key) {
    return index.size() == 0 ? null : index.find(digest(key));
  }

  /** The result of an entry if it is in memory, else null. */
  byte[] result(KeyEntry<?> entry) {
    if (!isInMemory(entry.location())) {
      return null;
    }
    // The entry may be outdated, and its location may have another key's result by now.
    CompactIndex.IndexedKey indexedKey = index.find(digest(entry.key()));
    return indexedKey != null
            && indexedKey.location() == entry.location()
            && indexedKey.coveredUntilMillis() == entry.coveredUntilMillis()
        ? results.get(blockOf(entry.location()))
        : null;
  }

  /**
   * Adds a final entry, with its result in memory unless that is on disk. A result that does not
   * fit is dropped and its key is kept; a result with a reservation always fits.
   *
   * @return false if the index is full, in which case the entry keeps its result
   */
  boolean add(KeyEntry<?> entry, long locationOnDisk) {
    long location =
        locationOnDisk != CompactIndex.NO_RESULT || entry.state() != KeyState.SUCCEEDED
            ? locationOnDisk
            : store(entry.unsettledResult());
    entry.dropBody();
    boolean added =
        index.put(
            digest(entry.key()),
            location,
            entry.coveredUntilMillis(),
            entry.body().checksum(),
            entry.expiresAtSeconds());
    if (added) {
      entry.setLocation(location);
    } else {
      freeResult(location);
    }
    return added;
  }

  /** Adds a settled key of the peer process; false if the index is full. */
  boolean add(SettledEntry key) {
    long location = key.result() == null ? CompactIndex.NO_RESULT : store(key.result());
    boolean added =
        index.put(
            new KeyDigest(key.high(), key.low()),
            location,
            key.coveredUntilMillis(),
            key.checksum(),
            key.expiresAtSeconds());
    if (!added) {
      freeResult(location);
    }
    return added;
  }

  /** Adds a recovered key, unless its result is in memory already; false if it does not fit. */
  boolean recover(
      String key, long location, long coveredUntilMillis, long checksum, double expiresAtSeconds) {
    CompactIndex.IndexedKey indexedKey = lookup(key);
    return (indexedKey != null && isInMemory(indexedKey.location()))
        || index.put(digest(key), location, coveredUntilMillis, checksum, expiresAtSeconds);
  }

  void remove(String key) {
    if (index.size() > 0) {
      index.remove(digest(key));
    }
  }

  /** Removes the expired keys. */
  void expire(double nowSeconds) {
    index.expire(nowSeconds);
  }

  /** The digests of all keys. */
  List<KeyDigest> digests() {
    return index.digests();
  }

  /** The data of a key for the peer process; null if it is not settled. */
  SettledEntry export(KeyDigest digest) {
    CompactIndex.IndexedKey indexedKey = index.find(digest);
    return indexedKey == null
        ? null
        : new SettledEntry(
            digest.high(),
            digest.low(),
            indexedKey.coveredUntilMillis(),
            indexedKey.checksum(),
            index.expiresAtSeconds(indexedKey.row()),
            isInMemory(indexedKey.location()) ? results.get(blockOf(indexedKey.location())) : null);
  }

  /**
   * When so many keys and blocks will have been freed by expiry, in seconds on the caller's clock;
   * infinite if that is not known.
   */
  double freedAtSeconds(int keys, long blocks) {
    FreedCapacity freed = new FreedCapacity(keys, blocks);
    index.forEachByExpiry(freed);
    return freed.isEnough() ? freed.lastExpirySeconds : Double.POSITIVE_INFINITY;
  }

  /** Subtracts the capacity that each expiring key frees from the capacity that is missing. */
  private final class FreedCapacity implements CompactIndex.ExpiryVisitor {
    private int missingKeys;
    private long missingBlocks;
    private double lastExpirySeconds = Double.POSITIVE_INFINITY;

    FreedCapacity(int missingKeys, long missingBlocks) {
      this.missingKeys = missingKeys;
      this.missingBlocks = missingBlocks;
    }

    boolean isEnough() {
      return missingKeys <= 0 && missingBlocks <= 0;
    }

    @Override
    public boolean visit(double expiresAtSeconds, long location) {
      missingKeys--;
      missingBlocks -= isInMemory(location) ? results.blockCount(blockOf(location)) : 0;
      lastExpirySeconds = expiresAtSeconds;
      return !isEnough();
    }
  }

  private KeyDigest digest(String key) {
    if (!key.equals(lastDigestedKey)) {
      lastDigest = KeyDigest.of(key);
      lastDigestedKey = key;
    }
    return lastDigest;
  }

  private long store(byte[] result) {
    int block = results.put(result);
    return block == BlockStore.NO_BLOCK
        ? CompactIndex.NO_RESULT
        : CompactIndex.NO_RESULT - 1 - block;
  }

  private void freeResult(long location) {
    if (isInMemory(location)) {
      results.free(blockOf(location));
    }
  }

  private static boolean isInMemory(long location) {
    return location < CompactIndex.NO_RESULT;
  }

  private static int blockOf(long location) {
    return (int) (CompactIndex.NO_RESULT - 1 - location);
  }
}
