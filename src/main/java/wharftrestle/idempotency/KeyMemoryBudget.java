package wharftrestle.idempotency;

/**
 * The memory for idempotency keys, split between keys and their results, and the reservations of
 * requests in flight: whether one more keyed request fits. Holds figures alone; the table says what
 * is in use. Not thread-safe: the lock of the table's caller guards it.
 */
public final class KeyMemoryBudget {
  /** Bytes of the largest result that the protocol allows. */
  public static final int MAX_RESULT_BYTES = 4096;

  /** What the admission package holds of a key that ran until its window is over. */
  static final int ADMISSION_BYTES_PER_KEY = 222;

  /** A row of the index with its arrays at their largest: fields, table, free list and wheel. */
  private static final int INDEX_BYTES_PER_KEY = 40 + 16 + 6 + 24;

  static final int BYTES_PER_KEY = INDEX_BYTES_PER_KEY + ADMISSION_BYTES_PER_KEY;

  /** Bytes that do not grow: the slots of the wheels, the first rows. */
  static final int FIXED_BYTES = 8192;

  /** Of the heap: about half of its old generation. */
  private static final double HEAP_FRACTION = 0.3;

  /** Of the bound, for keys; results have the rest. */
  private static final double KEYS_FRACTION = 0.25;

  /** Keys, and blocks, at most. */
  private static final int MAX_COUNT = Integer.MAX_VALUE / 8;

  private static final int BLOCKS_PER_RESERVATION = BlockStore.blocksFor(MAX_RESULT_BYTES);

  private final long bytes;
  private final int maxKeys;
  private final int maxBlocks;
  private int reservations;

  private KeyMemoryBudget(long bytes, int maxKeys, int maxBlocks) {
    this.bytes = bytes;
    this.maxKeys = maxKeys;
    this.maxBlocks = maxBlocks;
  }

  /** A budget for keys and results that take so many bytes at most. */
  public static KeyMemoryBudget of(long bytes) {
    double grows = Math.max(0, bytes - FIXED_BYTES);
    int keys = (int) Math.min(MAX_COUNT, grows * KEYS_FRACTION / BYTES_PER_KEY);
    int blocks =
        (int) Math.min(MAX_COUNT, grows * (1 - KEYS_FRACTION) / BlockStore.BYTES_PER_BLOCK);
    return new KeyMemoryBudget(bytes, Math.max(1, keys), Math.max(BLOCKS_PER_RESERVATION, blocks));
  }

  /** The budget that keys have in a heap of so many bytes. */
  public static KeyMemoryBudget ofHeap(long heapBytes) {
    return of((long) (heapBytes * HEAP_FRACTION));
  }

  /** A bound that is never met, for proofs that the bound is needed. */
  public static KeyMemoryBudget unbounded() {
    return new KeyMemoryBudget(Long.MAX_VALUE, MAX_COUNT, MAX_COUNT);
  }

  /** The bound, in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Keys known at once at most. */
  public int maxKeys() {
    return maxKeys;
  }

  /** Keys known at once at most where results lie on disk: keys have all of the bound. */
  public int maxKeysWithResultsOnDisk() {
    return (int) Math.min(MAX_COUNT, Math.max(1, (bytes - FIXED_BYTES) / BYTES_PER_KEY));
  }

  /** Blocks of results at once at most. */
  public int maxBlocks() {
    return maxBlocks;
  }

  /** Bytes of results at once at most, whole blocks. */
  public long maxResultBytes() {
    return (long) maxBlocks * BlockStore.BYTES_PER_BLOCK;
  }

  /** Requests in flight that have a reservation. */
  public int reservations() {
    return reservations;
  }

  /**
   * Reserves memory for a key and the largest result; false where they do not fit.
   *
   * @param keys settled ones, and those that the peer process has in hand
   * @param usedBlocks of results
   * @param peerOwnedKeys keys that the peer process has in hand: each may bring a result
   */
  public boolean tryReserve(int keys, int usedBlocks, int peerOwnedKeys) {
    if (excessKeys(keys) > 0 || excessBlocks(usedBlocks, peerOwnedKeys) > 0) {
      return false;
    }
    reservations++;
    return true;
  }

  /** Keys that must expire before one more reservation fits; 0 or less where none must. */
  int excessKeys(int keys) {
    return keys + reservations + 1 - maxKeys;
  }

  /** Blocks that must be freed before one more reservation fits; 0 or less where none must. */
  long excessBlocks(int usedBlocks, int peerOwnedKeys) {
    return usedBlocks + (reservations + peerOwnedKeys + 1L) * BLOCKS_PER_RESERVATION - maxBlocks;
  }

  /** A reservation is over: what came of it is counted as in use by now, or nothing did. */
  public void release() {
    if (reservations == 0) {
      throw new IllegalStateException("expected a reservation to release, found none");
    }
    reservations--;
  }
}
