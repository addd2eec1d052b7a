package wharftrestle.idempotency;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Results in memory, each a chain of blocks of 64 bytes in large arrays that are never given back,
 * like the slabs of memcached. Bounded in blocks; it knows neither keys nor time. To put, get and
 * free cost O(blocks of the result), which are {@link #blocksFor}: half a block more than its bytes
 * on the mean. Not thread-safe.
 */
public final class BlockStore {
  /** Bytes of a block. */
  static final int BLOCK_BYTES = 64;

  /** Bytes that one block costs with its link. */
  static final int BYTES_PER_BLOCK = BLOCK_BYTES + Integer.BYTES;

  /** Stands for no block. */
  static final int NO_BLOCK = -1;

  /** Blocks of one array, 64 kB: small beside the least heap, large beside the largest result. */
  private static final int BLOCKS_PER_CHUNK = 1024;

  /** Bytes at the begin of a chain that hold the length of the result. */
  private static final int LENGTH_BYTES = Integer.BYTES;

  private final int capacity;
  private byte[][] chunks = new byte[0][];
  private int[] nextBlock = new int[0];
  private int createdBlocks; // blocks that were used at least once
  private int firstFree = NO_BLOCK; // the first of those that are free again
  private int usedBlocks;

  /**
   * An empty store.
   *
   * @param capacity blocks at once
   */
  public BlockStore(int capacity) {
    this.capacity = capacity;
  }

  /** Blocks that a result of so many bytes takes. */
  public static int blocksFor(int bytes) {
    return (LENGTH_BYTES + bytes + BLOCK_BYTES - 1) / BLOCK_BYTES;
  }

  /** Blocks in use. */
  public int usedBlocks() {
    return usedBlocks;
  }

  /** Blocks at most. */
  public int capacity() {
    return capacity;
  }

  /** Bytes of its arrays. */
  public long bytes() {
    long bytes = (long) nextBlock.length * Integer.BYTES;
    for (byte[] chunk : chunks) {
      bytes += chunk.length;
    }
    return bytes;
  }

  /**
   * Keeps a copy of a result; its first block, or {@link #NO_BLOCK} where there is no room, and
   * then nothing is kept.
   */
  public int put(byte[] result) {
    int blocks = blocksFor(result.length);
    if (blocks > capacity - usedBlocks) {
      return NO_BLOCK;
    }
    int first = allocate();
    int at = first;
    ByteBuffer.wrap(chunk(at)).putInt(offset(at), result.length);
    int blockRest = BLOCK_BYTES - LENGTH_BYTES;
    int to = offset(at) + LENGTH_BYTES;
    for (int from = 0; from < result.length; ) {
      if (blockRest == 0) {
        int more = allocate();
        nextBlock[at] = more;
        at = more;
        blockRest = BLOCK_BYTES;
        to = offset(at);
      }
      int part = Math.min(blockRest, result.length - from);
      System.arraycopy(result, from, chunk(at), to, part);
      from += part;
      to += part;
      blockRest -= part;
    }
    nextBlock[at] = NO_BLOCK;
    return first;
  }

  /** The result whose chain begins there. */
  public byte[] get(int first) {
    byte[] result = new byte[length(first)];
    int at = first;
    int from = offset(at) + LENGTH_BYTES;
    int blockRest = BLOCK_BYTES - LENGTH_BYTES;
    for (int done = 0; done < result.length; ) {
      if (blockRest == 0) {
        at = nextBlock[at];
        from = offset(at);
        blockRest = BLOCK_BYTES;
      }
      int part = Math.min(blockRest, result.length - done);
      System.arraycopy(chunk(at), from, result, done, part);
      done += part;
      from += part;
      blockRest -= part;
    }
    return result;
  }

  /** Blocks of the chain that begins there. */
  public int blockCount(int first) {
    return blocksFor(length(first));
  }

  /** Gives the blocks of the chain that begins there back. */
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
              capacity - createdBlocks); // the last array is as large as the bound leaves
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
