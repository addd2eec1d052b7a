package wharftrestle.storage;

import java.util.ArrayList;
import java.util.List;

/**
 * The queue of the group commit: records that wait for the next write and sync, in the order of the
 * log. Adding never waits for the disk; the one writer thread takes all that is queued at once.
 * Each entry is given out once or withdrawn. Thread-safe, by its own monitor.
 *
 * @param <T> entries, told apart by identity
 */
public final class GroupCommitQueue<T> {
  private final int maxBytes;
  private List<T> queued = new ArrayList<>();
  private long queuedBytes;
  private boolean closed;

  /**
   * An empty, open queue.
   *
   * @param maxBytes queued at most, required entries left out
   */
  public GroupCommitQueue(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Adds an entry; false where the queue is closed, or is full and the entry is not required. */
  public synchronized boolean add(T entry, int size, boolean required) {
    if (closed || (!required && queuedBytes + size > maxBytes)) {
      return false;
    }
    queued.add(entry);
    queuedBytes += size;
    notifyAll();
    return true;
  }

  /** Removes an entry; false where the writer has it already. */
  public synchronized boolean withdraw(T entry, int size) {
    for (int i = queued.size() - 1; i >= 0; i--) {
      if (queued.get(i) == entry) {
        queued.remove(i);
        queuedBytes -= size;
        return true;
      }
    }
    return false;
  }

  /** Takes all that is queued, in order. */
  public synchronized List<T> drain() {
    List<T> all = queued;
    queued = new ArrayList<>();
    queuedBytes = 0;
    return all;
  }

  /** Waits until something is queued, the queue is closed, or the time is over; then drains it. */
  @SuppressWarnings(
      "WaitNotInLoop") // Woken early it gives out nothing, and its caller polls again.
  public synchronized List<T> awaitBatch(long millis) throws InterruptedException {
    if (queued.isEmpty() && !closed) {
      wait(millis);
    }
    return drain();
  }

  /** Takes no more entries; those that are queued are still given out. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  /** True once closed. */
  public synchronized boolean isClosed() {
    return closed;
  }

  /** Bytes of the queued entries. */
  public synchronized long queuedBytes() {
    return queuedBytes;
  }
}
