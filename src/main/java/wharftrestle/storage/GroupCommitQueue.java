package wharftrestle.storage;

import java.util.ArrayList;
import java.util.List;

/**
 * Who waits for the disk: the queue of the group commit. Whoever adds never waits; the one writer
 * takes all that is there at once. It owns the order, which is the order of the log, and the bound
 * on bytes; it must never give one entry out twice, or lose one.
 *
 * @param <T> what waits; told apart by identity
 */
public final class GroupCommitQueue<T> {
  private final int maxBytes;
  private List<T> waiting = new ArrayList<>();
  private long queuedBytes;
  private boolean closed;

  /**
   * @param most bytes that wait at most, but for what must be taken
   */
  public GroupCommitQueue(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds it; false where it is closed, or too much waits and this one need not be taken. */
  public synchronized boolean add(T entry, int size, boolean required) {
    if (closed || (!required && queuedBytes + size > maxBytes)) {
      return false;
    }
    waiting.add(entry);
    queuedBytes += size;
    notifyAll();
    return true;
  }

  /** Takes it back; false where the writer has it already. */
  public synchronized boolean withdraw(T entry, int size) {
    for (int i = waiting.size() - 1; i >= 0; i--) {
      if (waiting.get(i) == entry) {
        waiting.remove(i);
        queuedBytes -= size;
        return true;
      }
    }
    return false;
  }

  /** All that waits now, in order; empty where nothing does. */
  public synchronized List<T> drain() {
    List<T> all = waiting;
    waiting = new ArrayList<>();
    queuedBytes = 0;
    return all;
  }

  /**
   * Waits until something is there, it is closed, or so many ms are over; then as {@link #drain}.
   */
  @SuppressWarnings("WaitNotInLoop") // woken early it gives out nothing, and its caller asks again
  public synchronized List<T> awaitBatch(long millis) throws InterruptedException {
    if (waiting.isEmpty() && !closed) {
      wait(millis);
    }
    return drain();
  }

  /** Nothing more comes; what is there is still given out. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  public synchronized boolean isClosed() {
    return closed;
  }

  /** Bytes that wait. */
  public synchronized long queuedBytes() {
    return queuedBytes;
  }
}
