package wharftrestle.idempotency;

import java.util.List;
import wharftrestle.idempotency.KeyState.Step;

/**
 * Keys whose outcome is final, as small as they go: a row of the {@link CompactIndex} by digest,
 * and the result in the {@link BlockStore} or on disk. Owns the mapping of a location to a block,
 * and gives blocks back as their keys go. Guarded by the lock of the table's caller.
 *
 * <p>A location of 0 or more lies on disk, {@link CompactIndex#NO_RESULT} stands for none, and each
 * number below that for the first block of a result in memory.
 */
final class SettledKeys {
  private final BlockStore results;
  private CompactIndex index;
  // The same key is looked up several times in a row, and its digest costs a SHA-256.
  private String lastDigestedKey;
  private KeyDigest lastDigest;

  SettledKeys(KeyMemoryBudget budget) {
    results = new BlockStore(budget.maxBlocks());
    index = newIndex(budget.maxKeys());
  }

  private CompactIndex newIndex(int maxKeys) {
    return new CompactIndex(maxKeys, this::freeResult);
  }

  /** Begins again without keys, with a capacity of so many. */
  void reset(int maxKeys) {
    index = newIndex(maxKeys);
  }

  int size() {
    return index.size();
  }

  /** Bytes of the index. */
  long indexBytes() {
    return index.bytes();
  }

  /** Bytes of the index and of the blocks. */
  long memoryBytes() {
    return index.bytes() + results.bytes();
  }

  /** Bytes of results in memory, whole blocks. */
  long resultBytes() {
    return (long) results.usedBlocks() * BlockStore.BYTES_PER_BLOCK;
  }

  /** Blocks of results in use. */
  int usedBlocks() {
    return results.usedBlocks();
  }

  /** A view of what is known of this key, made anew each time; null for nothing. */
  <T> KeyEntry<T> view(String key) {
    CompactIndex.IndexedKey known = lookup(key);
    if (known == null) {
      return null;
    }
    KeyEntry<T> view =
        new KeyEntry<>(key, new RequestBody(null, known.checksum()), KeyEntry.NO_ROW);
    boolean hasResult = known.location() != CompactIndex.NO_RESULT;
    view.transition(hasResult ? Step.RECOVER_RESULT : Step.RECOVER_INTENT);
    view.setLocation(known.location());
    view.setCoveredUntilMillis(known.coveredUntilMillis());
    return view;
  }

  private CompactIndex.IndexedKey lookup(String key) {
    return index.size() == 0 ? null : index.find(digest(key));
  }

  /** The result of an entry where it is in memory; null where it is not. */
  byte[] result(KeyEntry<?> entry) {
    if (!isInMemory(entry.location())) {
      return null;
    }
    // The entry may be older than what is at its location by now.
    CompactIndex.IndexedKey known = index.find(digest(entry.key()));
    return known != null
            && known.location() == entry.location()
            && known.coveredUntilMillis() == entry.coveredUntilMillis()
        ? results.get(blockOf(entry.location()))
        : null;
  }

  /**
   * Keeps an entry that is final, with its result in memory unless that lies on disk. A result that
   * does not fit, which none with a reservation is, is dropped, and its key stays.
   *
   * @return false where the index is full: then the entry keeps its result
   */
  boolean add(KeyEntry<?> entry, long onDisk) {
    long location =
        onDisk != CompactIndex.NO_RESULT || entry.state() != KeyState.SUCCEEDED
            ? onDisk
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

  /** Keeps a key that the peer process settled; false where the index is full. */
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

  /** Keeps a recovered key, unless its result is in memory already; false where it does not fit. */
  boolean recover(
      String key, long location, long coveredUntilMillis, long checksum, double expiresAtSeconds) {
    CompactIndex.IndexedKey known = lookup(key);
    return (known != null && isInMemory(known.location()))
        || index.put(digest(key), location, coveredUntilMillis, checksum, expiresAtSeconds);
  }

  void remove(String key) {
    if (index.size() > 0) {
      index.remove(digest(key));
    }
  }

  /** Forgets the keys whose time is over. */
  void expire(double nowSeconds) {
    index.expire(nowSeconds);
  }

  /** The digests of all keys. */
  List<KeyDigest> digests() {
    return index.digests();
  }

  /** What is known of a key, for the peer process; null for nothing. */
  SettledEntry export(KeyDigest digest) {
    CompactIndex.IndexedKey known = index.find(digest);
    return known == null
        ? null
        : new SettledEntry(
            digest.high(),
            digest.low(),
            known.coveredUntilMillis(),
            known.checksum(),
            index.expiresAtSeconds(known.row()),
            isInMemory(known.location()) ? results.get(blockOf(known.location())) : null);
  }

  /**
   * When the keys that expire by then leave so many keys and blocks, in seconds on the caller's
   * clock; infinite where that is not known.
   */
  double freedAtSeconds(int keys, long blocks) {
    FreedCapacity freed = new FreedCapacity(keys, blocks);
    index.forEachByExpiry(freed);
    return freed.isEnough() ? freed.lastExpirySeconds : Double.POSITIVE_INFINITY;
  }

  /** Counts what goes with each key that expires. */
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
