package wharftrestle.idempotency;

/**
 * How much a box may know of its keys in memory, and whether one more keyed request fits: it owns
 * the split of the bound and the promises made to what is in hand. It must never promise what the
 * bound does not hold. No clock, and no bytes: the table tells it what is in use.
 */
public final class KeyMemoryBudget {
  /** Bytes of the largest result a run may end with (PROTOCOL). */
  public static final int LONGEST_RESULT = 4096;

  /**
   * Bytes of one key without its result: its row in the index at its arrays' largest (40 of fields,
   * 16 of the table, 6 of the free list, 24 of the wheel), and what the policy holds of a key that
   * ran until its window is over (222: an operation of 128, its request of 88, its place in the
   * order of ends).
   */
  static final int POLICY_COST = 222;

  static final int KEY_COST = 86 + POLICY_COST;

  /** Bytes that do not grow: the heads of the wheels, the first rows. */
  static final int FIXED = 8192;

  /**
   * Part of a heap for what is known of keys: two thirds of a heap are its old generation, half of
   * that is this.
   */
  private static final double HEAP_SHARE = 0.3;

  /**
   * Part of the bound that keys have; results have the rest. Choice: a result of 900 bytes on the
   * mean fills both.
   */
  private static final double KEYS_SHARE = 0.25;

  /** Keys, and blocks, at most. */
  private static final int MOST = Integer.MAX_VALUE / 8;

  /** Blocks of a promise. */
  private static final int PROMISE = BlockStore.of(LONGEST_RESULT);

  private final long bytes;
  private final int mostKeys;
  private final int mostBlocks;
  private int promises;

  private KeyMemoryBudget(long bytes, int mostKeys, int mostBlocks) {
    this.bytes = bytes;
    this.mostKeys = mostKeys;
    this.mostBlocks = mostBlocks;
  }

  /** Room for keys and results that take so many bytes at most. */
  public static KeyMemoryBudget of(long bytes) {
    double grows = Math.max(0, bytes - FIXED);
    int keys = (int) Math.min(MOST, grows * KEYS_SHARE / KEY_COST);
    int blocks = (int) Math.min(MOST, grows * (1 - KEYS_SHARE) / BlockStore.COST);
    return new KeyMemoryBudget(bytes, Math.max(1, keys), Math.max(PROMISE, blocks));
  }

  /** The part of a heap of so many bytes that keys may have. */
  public static KeyMemoryBudget ofHeap(long heap) {
    return of((long) (heap * HEAP_SHARE));
  }

  /** No bound worth the name: only a proof that the bound is needed has a use for it. */
  public static KeyMemoryBudget unbounded() {
    return new KeyMemoryBudget(Long.MAX_VALUE, MOST, MOST);
  }

  /** The bound itself. */
  public long bytes() {
    return bytes;
  }

  /** Keys known at once. */
  public int mostKeys() {
    return mostKeys;
  }

  /** Keys known at once where all results lie on disk: they have the whole of the bound. */
  public int mostKeysOnDisk() {
    return (int) Math.min(MOST, Math.max(1, (bytes - FIXED) / KEY_COST));
  }

  /** Blocks of results at once. */
  public int mostBlocks() {
    return mostBlocks;
  }

  /** Bytes of results at once, whole blocks. */
  public long mostResultBytes() {
    return (long) mostBlocks * BlockStore.COST;
  }

  /** Requests in hand that have a promise. */
  public int promises() {
    return promises;
  }

  /**
   * Promises a key and the largest result; false where they do not fit.
   *
   * @param keys known now and over, or with another process to end them
   * @param blocks in use
   * @param elsewhere keys of those that the other process of the box has yet to end: each may bring
   *     a result
   */
  public boolean promise(int keys, int blocks, int elsewhere) {
    if (keysWanted(keys) > 0 || blocksWanted(blocks, elsewhere) > 0) {
      return false;
    }
    promises++;
    return true;
  }

  /** Keys that have to go before one more promise fits; 0 or less where none has to. */
  int keysWanted(int keys) {
    return keys + promises + 1 - mostKeys;
  }

  /** Blocks that have to go before one more promise fits; 0 or less where none has to. */
  long blocksWanted(int blocks, int elsewhere) {
    return blocks + (promises + elsewhere + 1L) * PROMISE - mostBlocks;
  }

  /** A promise is over: what came of it is in use by now, or nothing did. */
  public void settle() {
    if (promises == 0) {
      throw new IllegalStateException("more promises settled than made");
    }
    promises--;
  }
}
