package wharftrestle.idempotency;

/**
 * The memory budget for idempotency keys, split between keys and their results. Counts the
 * reservations of requests in flight and decides whether one more keyed request fits; the table
 * passes in what is in use. Not thread-safe: guarded by the lock of the table's caller.
 */
public final class KeyMemoryBudget {
  /** Bytes of the largest result that the protocol allows. */
  public static final int MAX_RESULT_BYTES = 4096;

  /** Memory of the admission package for an executed key until its window ends. */
  static final int ADMISSION_BYTES_PER_KEY = 222;

  /** One row of the index at the largest size of its arrays: fields, slots, free list, wheel. */
  private static final int INDEX_BYTES_PER_KEY = 40 + 16 + 6 + 24;

  static final int BYTES_PER_KEY = INDEX_BYTES_PER_KEY + ADMISSION_BYTES_PER_KEY;

  /** Memory that does not depend on the number of keys: the slots of the wheels, initial rows. */
  static final int FIXED_BYTES = 8192;

  /** Fraction of the heap for this budget: about half of the old generation. */
  private static final double HEAP_FRACTION = 0.3;

  /** Fraction of this budget for keys; the remainder is for results. */
  private static final double KEYS_FRACTION = 0.25;

  /** Upper limit for both the number of keys and the number of blocks. */
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

  /** A budget of so many bytes for keys and results. */
  public static KeyMemoryBudget of(long bytes) {
    double variableBytes = Math.max(0, bytes - FIXED_BYTES);
    int keys = (int) Math.min(MAX_COUNT, variableBytes * KEYS_FRACTION / BYTES_PER_KEY);
    int blocks =
        (int) Math.min(MAX_COUNT, variableBytes * (1 - KEYS_FRACTION) / BlockStore.BYTES_PER_BLOCK);
    return new KeyMemoryBudget(bytes, Math.max(1, keys), Math.max(BLOCKS_PER_RESERVATION, blocks));
  }

  /** The budget for a heap of so many bytes. */
  public static KeyMemoryBudget ofHeap(long heapBytes) {
    return of((long) (heapBytes * HEAP_FRACTION));
  }

  /** A budget without limit, for checks that prove that the limit is needed. */
  public static KeyMemoryBudget unbounded() {
    return new KeyMemoryBudget(Long.MAX_VALUE, MAX_COUNT, MAX_COUNT);
  }

  /** The size of the budget in bytes. */
  public long bytes() {
    return bytes;
  }

  /** Maximum number of keys. */
  public int maxKeys() {
    return maxKeys;
  }

  /** Maximum number of keys if results are on disk, when keys use all of the budget. */
  public int maxKeysWithResultsOnDisk() {
    return (int) Math.min(MAX_COUNT, Math.max(1, (bytes - FIXED_BYTES) / BYTES_PER_KEY));
  }

  /** Maximum number of blocks of results. */
  public int maxBlocks() {
    return maxBlocks;
  }

  /** Maximum memory of results in bytes, counted in full blocks. */
  public long maxResultBytes() {
    return (long) maxBlocks * BlockStore.BYTES_PER_BLOCK;
  }

  /** Number of requests in flight that have a reservation. */
  public int reservations() {
    return reservations;
  }

  /**
   * Reserves memory for a key and the largest result; false if they do not fit.
   *
   * @param keys number of settled keys and of keys that the peer process has in flight
   * @param usedBlocks blocks of results in use
   * @param peerOwnedKeys number of keys that the peer process has in flight, each of which may add
   *     a result
   */
  public boolean tryReserve(int keys, int usedBlocks, int peerOwnedKeys) {
    if (excessKeys(keys) > 0 || excessBlocks(usedBlocks, peerOwnedKeys) > 0) {
      return false;
    }
    reservations++;
    return true;
  }

  /** Number of keys that must expire before one more reservation fits; 0 or less if none. */
  int excessKeys(int keys) {
    return keys + reservations + 1 - maxKeys;
  }

  /** Number of blocks that must be freed before one more reservation fits; 0 or less if none. */
  long excessBlocks(int usedBlocks, int peerOwnedKeys) {
    return usedBlocks + (reservations + peerOwnedKeys + 1L) * BLOCKS_PER_RESERVATION - maxBlocks;
  }

  /** Ends a reservation; memory that was used for it is counted as in use by now. */
  public void release() {
    if (reservations == 0) {
      throw new IllegalStateException("expected a reservation to release, found none");
    }
    reservations--;
  }
}
