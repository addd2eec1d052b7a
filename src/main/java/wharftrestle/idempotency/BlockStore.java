package wharftrestle.idempotency;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Stores results in memory, each as a chain of blocks of 64 bytes in large arrays that are never
 * released, like the slabs of memcached. The number of blocks is bounded. Put, get and free take
 * O(n) time for a result of n = {@link #blocksFor} blocks, which on average are half a block larger
 * than the result. Keys and expiry are left to the caller. Not thread-safe.
 */
public final class BlockStore {
  /** Bytes of a block. */
  static final int BLOCK_BYTES = 64;

  /** Memory of one block with its link to the next, in bytes. */
  static final int BYTES_PER_BLOCK = BLOCK_BYTES + Integer.BYTES;

  /** Block number that means no block. */
  static final int NO_BLOCK = -1;

  /** Blocks of one array, 64 kB: small against the smallest heap, large against any result. */
  private static final int BLOCKS_PER_CHUNK = 1024;

  /** Bytes at the start of a chain that contain the length of the result. */
  private static final int LENGTH_BYTES = Integer.BYTES;

  private final int capacity;
  private byte[][] chunks = new byte[0][];
  private int[] nextBlock = new int[0];
  private int createdBlocks; // blocks that have been used at least once
  private int firstFree = NO_BLOCK; // head of the list of freed blocks
  private int usedBlocks;

  /**
   * Creates an empty store.
   *
   * @param capacity maximum number of blocks
   */
  public BlockStore(int capacity) {
    this.capacity = capacity;
  }

  /** Number of blocks for a result of so many bytes. */
  public static int blocksFor(int bytes) {
    return (LENGTH_BYTES + bytes + BLOCK_BYTES - 1) / BLOCK_BYTES;
  }

  /** Number of blocks in use. */
  public int usedBlocks() {
    return usedBlocks;
  }

  /** Maximum number of blocks. */
  public int capacity() {
    return capacity;
  }

  /** Memory of the arrays in bytes. */
  public long bytes() {
    long bytes = (long) nextBlock.length * Integer.BYTES;
    for (byte[] chunk : chunks) {
      bytes += chunk.length;
    }
    return bytes;
  }

  /**
   * Stores a copy of a result.
   *
   * @return its first block, or {@link #NO_BLOCK} if it does not fit, in which case nothing is
   *     stored
   */
  public int put(byte[] result) {
    int blocks = blocksFor(result.length);
    if (blocks > capacity - usedBlocks) {
      return NO_BLOCK;
    }
    int first = allocate();
    int block = first;
    ByteBuffer.wrap(chunk(block)).putInt(offset(block), result.length);
    int remainingInBlock = BLOCK_BYTES - LENGTH_BYTES;
    int to = offset(block) + LENGTH_BYTES;
    for (int from = 0; from < result.length; ) {
      if (remainingInBlock == 0) {
        int added = allocate();
        nextBlock[block] = added;
        block = added;
        remainingInBlock = BLOCK_BYTES;
        to = offset(block);
      }
      int copyLength = Math.min(remainingInBlock, result.length - from);
      System.arraycopy(result, from, chunk(block), to, copyLength);
      from += copyLength;
      to += copyLength;
      remainingInBlock -= copyLength;
    }
    nextBlock[block] = NO_BLOCK;
    return first;
  }

  /** The result whose chain begins at this block. */
  public byte[] get(int first) {
    byte[] result = new byte[length(first)];
    int block = first;
    int from = offset(block) + LENGTH_BYTES;
    int remainingInBlock = BLOCK_BYTES - LENGTH_BYTES;
    for (int copied = 0; copied < result.length; ) {
      if (remainingInBlock == 0) {
        block = nextBlock[block];
        from = offset(block);
        remainingInBlock = BLOCK_BYTES;
      }
      int copyLength = Math.min(remainingInBlock, result.length - copied);
      System.arraycopy(chunk(block), from, result, copied, copyLength);
      copied += copyLength;
      from += copyLength;
      remainingInBlock -= copyLength;
    }
    return result;
  }

  /** Number of blocks of the chain that begins at this block. */
  public int blockCount(int first) {
    return blocksFor(length(first));
  }

  /** Frees the chain that begins at this block. */
  public void free(int first) {
    int last = first;
    int count = 1;
    for (; nextBlock[last] != NO_BLOCK; last = nextBlock[last]) {
      count++;
    }
    nextBlock[last] = firstFree;
    firstFree = first;
    usedBlocks -= count;
  }

  private int length(int first) {
    return ByteBuffer.wrap(chunk(first)).getInt(offset(first));
  }

  private int allocate() {
    usedBlocks++;
    if (firstFree != NO_BLOCK) {
      int block = firstFree;
      firstFree = nextBlock[block];
      return block;
    }
    if (createdBlocks == chunks.length * BLOCKS_PER_CHUNK) {
      chunks = Arrays.copyOf(chunks, chunks.length + 1);
      int blocks =
          Math.min(
              BLOCKS_PER_CHUNK,
              capacity - createdBlocks); // the last array may be smaller, up to the capacity
      chunks[chunks.length - 1] = new byte[blocks * BLOCK_BYTES];
      if (createdBlocks + blocks > nextBlock.length) {
        nextBlock =
            Arrays.copyOf(
                nextBlock,
                Math.min(
                    capacity,
                    Math.max(createdBlocks + blocks, nextBlock.length + (nextBlock.length >> 1))));
      }
    }
    return createdBlocks++;
  }

  private byte[] chunk(int block) {
    return chunks[block / BLOCKS_PER_CHUNK];
  }

  private static int offset(int block) {
    return block % BLOCKS_PER_CHUNK * BLOCK_BYTES;
  }
}
