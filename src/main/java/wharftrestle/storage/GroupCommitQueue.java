package wharftrestle.storage;

import java.util.ArrayList;
import java.util.List;

/**
 * The queue of the group commit: entries that wait for the next write and sync, in the order in
 * which they are added. Adding never waits for the disk; the single writer thread removes all
 * queued entries at once. Each entry is either drained once or withdrawn. Thread-safe: all methods
 * synchronize on the queue.
 *
 * @param <T> type of the entries, which are compared by identity
 */
public final class GroupCommitQueue<T> {
  private final int maxBytes;
  private List<T> queued = new ArrayList<>();
  private long queuedBytes;
  private boolean closed;

  /**
   * Creates an empty, open queue.
   *
   * @param maxBytes limit on the queued bytes; required entries are accepted beyond it
   */
  public GroupCommitQueue(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Adds an entry; returns false if the queue is closed, or is full and the entry is not required.
   */
  public synchronized boolean add(T entry, int size, boolean required) {
    if (closed || (!required && queuedBytes + size > maxBytes)) {
      return false;
    }
    queued.add(entry);
    queuedBytes += size;
    notifyAll();
    return true;
  }

  /** Removes an entry; returns false if the writer has already taken it. */
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

  /** Removes and returns all queued entries, in order. */
  public synchronized List<T> drain() {
    List<T> entries = queued;
    queued = new ArrayList<>();
    queuedBytes = 0;
    return entries;
  }

  /**
   * Waits until an entry is queued, the queue is closed, or the timeout elapses; then drains it.
   */
  @SuppressWarnings(
      "WaitNotInLoop") // After a spurious wakeup it returns no entries, and the caller polls again.
  public synchronized List<T> awaitBatch(long timeoutMillis) throws InterruptedException {
    if (queued.isEmpty() && !closed) {
      wait(timeoutMillis);
    }
    return drain();
  }

  /** Rejects further entries; those already queued can still be drained. */
  public synchronized void close() {
    closed = true;
    notifyAll();
  }

  /** True once {@link #close} was called. */
  public synchronized boolean isClosed() {
    return closed;
  }

  /** Total size of the queued entries. */
  public synchronized long queuedBytes() {
    return queuedBytes;
  }
}
