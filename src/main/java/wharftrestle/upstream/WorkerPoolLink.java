package wharftrestle.upstream;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.transport.BoundedReader;

/**
 * One connection to the worker pool: its queue of commands, its polls, and the writing of both. A
 * command is written by the thread that flushes it, or by one that is writing already; polls, which
 * must not block the caller, are written by a thread of their own. Thread-safe.
 */
final class WorkerPoolLink {
  /**
   * Maximum milliseconds between two polls, whose answers prove that the link is alive and read.
   */
  private static final int POLL_INTERVAL_MS = 250;

  /** Size from which the commands of a batch are written, so that a batch does not grow further. */
  private static final int BATCH_BYTES = 4096;

  private final Socket socket;
  private final ConcurrentLinkedQueue<LinkCommand> commands = new ConcurrentLinkedQueue<>();
  private final ReentrantLock writeLock = new ReentrantLock();
  private final ByteArrayOutputStream batch = new ByteArrayOutputStream(BATCH_BYTES);
  private final Map<String, Long> pollTimes = new HashMap<>();
  private volatile Thread writer;
  private volatile boolean isBound;
  private volatile boolean isClosed;
  private long lastPollNanos;
  private long pollCount;

  WorkerPoolLink(Socket socket) {
    this.socket = socket;
  }

  Socket socket() {
    return socket;
  }

  /** Records that the worker pool has answered the bind. */
  void markBound() {
    isBound = true;
  }

  boolean isBound() {
    return isBound;
  }

  /** Queues a command, which {@link #flush} writes. */
  void enqueue(LinkCommand command) {
    commands.add(command);
  }

  /** Queues a command that concerns the link alone, such as the bind. */
  void enqueueLine(String line) {
    enqueue(
        new LinkCommand(
            null,
            LinkCommand.encode(line),
            LinkCommand.Repetition.HARMLESS,
            this,
            System.nanoTime()));
  }

  /** Queues a poll; its answer proves that all commands sent before it were read. */
  synchronized void poll() {
    lastPollNanos = System.nanoTime();
    String tag = "g" + ++pollCount;
    pollTimes.put(tag, lastPollNanos);
    enqueueLine("poll " + tag);
  }

  /** Removes the poll with this tag and returns when it was queued; null if there is none. */
  synchronized Long takePollTime(String tag) {
    return pollTimes.remove(tag);
  }

  private synchronized boolean isPollDue() {
    return isBound && System.nanoTime() - lastPollNanos > POLL_INTERVAL_MS * 1_000_000L;
  }

  /**
   * Writes the queued commands, unless another thread is writing, which then writes these too.
   * Without a separate writer thread, the several commands of each request need no thread switch.
   */
  void flush() {
    while (!commands.isEmpty() && !isClosed && writeLock.tryLock()) {
      try {
        for (LinkCommand next = commands.poll(); next != null; next = commands.poll()) {
          next.markWriteStarted();
          batch.writeBytes(next.bytes());
          if (batch.size() >= BATCH_BYTES) {
            writeBatch();
          }
        }
        writeBatch();
      } catch (IOException e) {
        Logger.debug("worker pool write failed: {}", e.getMessage());
        BoundedReader.closeQuietly(socket); // the reading thread establishes the link again
        return;
      } finally {
        writeLock.unlock();
      }
    }
  }

  private void writeBatch() throws IOException {
    byte[] bytes = batch.toByteArray();
    batch.reset();
    BoundedTransfers.write(socket.getOutputStream(), bytes);
  }

  /** Writes polls, and sends one after each interval without a poll, until the link is closed. */
  void writePolls() {
    writer = Thread.currentThread();
    while (!isClosed) {
      LockSupport.parkNanos(POLL_INTERVAL_MS * 1_000_000L);
      if (isPollDue()) {
        poll(); // detects a link that stays open but is silent
      }
      flush();
    }
  }

  void wakeWriter() {
    LockSupport.unpark(writer);
  }

  /** Closes the connection; no byte is sent from then on. */
  void close() throws IOException {
    isClosed = true;
    wakeWriter();
    socket.close();
  }
}
