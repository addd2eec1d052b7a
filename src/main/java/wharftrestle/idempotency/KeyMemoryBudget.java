package wharftrestle.idempotency;

/**
 * How much a box may know of its keys in memory, and whether one more keyed request fits: it owns
 * the split of the bound and the promises made to what is in hand. It must never promise what the
 * bound does not hold. No clock, and no bytes: the table tells it what is in use.
 */
public final class KeyMemoryBudget {
  /** Bytes of the largest result a run may end with (PROTOCOL). */
  public static final int MAX_RESULT_BYTES = 4096;

  /**
   * Bytes of one key without its result: its row in the index at its arrays' largest (40 of fields,
   * 16 of the table, 6 of the free list, 24 of the wheel), and what the policy holds of a key that
   * ran until its window is over (222: an operation of 128, its request of 88, its place in the
   * order of ends).
   */
  static final int ADMISSION_BYTES_PER_KEY = 222;

  static final int BYTES_PER_KEY = 86 + ADMISSION_BYTES_PER_KEY;

  /** Bytes that do not grow: the heads of the wheels, the first rows. */
  static final int FIXED_BYTES = 8192;

  /**
   * Part of a heap for what is known of keys: two thirds of a heap are its old generation, half of
   * that is this.
   */
  private static final double HEAP_FRACTION = 0.3;

  /**
   * Part of the bound that keys have; results have the rest. Choice: a result of 900 bytes on the
   * mean fills both.
   */
  private static final double KEYS_FRACTION = 0.25;

  /** Keys, and blocks, at most. */
  private static final int MAX_COUNT = Integer.MAX_VALUE / 8;

  /** Blocks of a promise. */
  private static final int BLOCKS_PER_RESERVATION = BlockStore.blocksFor(MAX_RESULT_BYTES);

  private final long bytes;
  private final int maxKeys;
  private final int maxBlocks;
  private int reservations;

  private KeyMemoryBudget(long bytes, int mostKeys, int mostBlocks) {
    this.bytes = bytes;
    this.maxKeys = mostKeys;
    this.maxBlocks = mostBlocks;
  }

  /** Room for keys and results that take so many bytes at most. */
  public static KeyMemoryBudget of(long bytes) {
    double grows = Math.max(0, bytes - FIXED_BYTES);
    int keys = (int) Math.min(MAX_COUNT, grows * KEYS_FRACTION / BYTES_PER_KEY);
    int blocks =
        (int) Math.min(MAX_COUNT, grows * (1 - KEYS_FRACTION) / BlockStore.BYTES_PER_BLOCK);
    return new KeyMemoryBudget(bytes, Math.max(1, keys), Math.max(BLOCKS_PER_RESERVATION, blocks));
  }

  /** The part of a heap of so many bytes that keys may have. */
  public static KeyMemoryBudget ofHeap(long heapBytes) {
    return of((long) (heapBytes * HEAP_FRACTION));
  }

  /** No bound worth the name: only a proof that the bound is needed has a use for it. */
  public static KeyMemoryBudget unbounded() {
    return new KeyMemoryBudget(Long.MAX_VALUE, MAX_COUNT, MAX_COUNT);
  }

  /** The bound itself. */
  public long bytes() {
    return bytes;
  }

  /** Keys known at once. */
  public int maxKeys() {
    return maxKeys;
  }

  /** Keys known at once where all results lie on disk: they have the whole of the bound. */
  public int maxKeysWithResultsOnDisk() {
    return (int) Math.min(MAX_COUNT, Math.max(1, (bytes - FIXED_BYTES) / BYTES_PER_KEY));
  }

  /** Blocks of results at once. */
  public int maxBlocks() {
    return maxBlocks;
  }

  /** Bytes of results at once, whole blocks. */
  public long maxResultBytes() {
    return (long) maxBlocks * BlockStore.BYTES_PER_BLOCK;
  }

  /** Requests in hand that have a promise. */
  public int reservations() {
    return reservations;
  }

  /**
   * Promises a key and the largest result; false where they do not fit.
   *
   * @param keys known now and over, or with another process to end them
   * @param blocks in use
   * @param elsewhere keys of those that the other process of the box has yet to end: each may bring
   *     a result
   */
  public boolean tryReserve(int keys, int usedBlocks, int peerOwnedKeys) {
    if (excessKeys(keys) > 0 || excessBlocks(usedBlocks, peerOwnedKeys) > 0) {
      return false;
    }
    reservations++;
    return true;
  }

  /** Keys that have to go before one more promise fits; 0 or less where none has to. */
  int excessKeys(int keys) {
    return keys + reservations + 1 - maxKeys;
  }

  /** Blocks that have to go before one more promise fits; 0 or less where none has to. */
  long excessBlocks(int usedBlocks, int peerOwnedKeys) {
    return usedBlocks + (reservations + peerOwnedKeys + 1L) * BLOCKS_PER_RESERVATION - maxBlocks;
  }

  /** A promise is over: what came of it is in use by now, or nothing did. */
  public void release() {
    if (reservations == 0) {
      throw new IllegalStateException("more promises settled than made");
    }
    reservations--;
  }
}
