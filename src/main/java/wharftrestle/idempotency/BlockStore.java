package wharftrestle.idempotency;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Results in memory, each a chain of blocks of 64 bytes in large arrays that are never given back
 * (the slabs of memcached, the overflow pages of SQLite). It owns the bytes of all results that are
 * kept in memory; it must never hold more blocks than it was given, and knows neither keys nor
 * time. To put, get and free cost O(blocks of the result); a result of n bytes takes {@link #of} n
 * blocks, half a block more than it weighs on the mean.
 */
public final class BlockStore {
  /** Bytes of a block. */
  static final int BLOCK = 64;

  /** Bytes that one block costs with its link. */
  static final int COST = BLOCK + Integer.BYTES;

  /** What stands for no block. */
  static final int NONE = -1;

  /**
   * Blocks of one array: 64 kB, small beside the least heap and large beside the largest result.
   */
  private static final int CHUNK = 1024;

  /** Bytes at the head of a chain that say how long it is. */
  private static final int HEAD = Integer.BYTES;

  private final int most;
  private byte[][] chunks = new byte[0][];
  private int[] next = new int[0];
  private int made; // blocks that have been used at least once
  private int free = NONE; // the first of those that are not used now
  private int used;

  /**
   * @param most blocks at once
   */
  public BlockStore(int most) {
    this.most = most;
  }

  /** Blocks that a result of so many bytes takes. */
  public static int of(int bytes) {
    return (HEAD + bytes + BLOCK - 1) / BLOCK;
  }

  /** Blocks in use. */
  public int used() {
    return used;
  }

  /** Blocks at most. */
  public int most() {
    return most;
  }

  /** Bytes of its arrays. */
  public long bytes() {
    long bytes = (long) next.length * Integer.BYTES;
    for (byte[] chunk : chunks) {
      bytes += chunk.length;
    }
    return bytes;
  }

  /**
   * Keeps a copy of a result; its first block, or {@link #NONE} where there is no room, and then
   * nothing is kept.
   */
  public int put(byte[] result) {
    int blocks = of(result.length);
    if (blocks > most - used) {
      return NONE;
    }
    int first = take();
    int at = first;
    ByteBuffer.wrap(chunk(at)).putInt(offset(at), result.length);
    int room = BLOCK - HEAD;
    int to = offset(at) + HEAD;
    for (int from = 0; from < result.length; ) {
      if (room == 0) {
        int more = take();
        next[at] = more;
        at = more;
        room = BLOCK;
        to = offset(at);
      }
      int part = Math.min(room, result.length - from);
      System.arraycopy(result, from, chunk(at), to, part);
      from += part;
      to += part;
      room -= part;
    }
    next[at] = NONE;
    return first;
  }

  /** The result whose chain begins there. */
  public byte[] get(int first) {
    byte[] result = new byte[length(first)];
    int at = first;
    int from = offset(at) + HEAD;
    int room = BLOCK - HEAD;
    for (int done = 0; done < result.length; ) {
      if (room == 0) {
        at = next[at];
        from = offset(at);
        room = BLOCK;
      }
      int part = Math.min(room, result.length - done);
      System.arraycopy(chunk(at), from, result, done, part);
      done += part;
      from += part;
      room -= part;
    }
    return result;
  }

  /** Blocks of the chain that begins there. */
  public int count(int first) {
    return of(length(first));
  }

  /** Gives the blocks of the chain that begins there back. */
  public void free(int first) {
    int last = first;
    int count = 1;
    for (; next[last] != NONE; last = next[last]) {
      count++;
    }
    next[last] = free;
    free = first;
    used -= count;
  }

  private int length(int first) {
    return ByteBuffer.wrap(chunk(first)).getInt(offset(first));
  }

  private int take() {
    used++;
    if (free != NONE) {
      int block = free;
      free = next[block];
      return block;
    }
    if (made == chunks.length * CHUNK) {
      chunks = Arrays.copyOf(chunks, chunks.length + 1);
      int blocks = Math.min(CHUNK, most - made); // the last array is as large as the bound leaves
      chunks[chunks.length - 1] = new byte[blocks * BLOCK];
      if (made + blocks > next.length) {
        next =
            Arrays.copyOf(
                next, Math.min(most, Math.max(made + blocks, next.length + (next.length >> 1))));
      }
    }
    return made++;
  }

  private byte[] chunk(int block) {
    return chunks[block / CHUNK];
  }

  private static int offset(int block) {
    return block % CHUNK * BLOCK;
  }
}
