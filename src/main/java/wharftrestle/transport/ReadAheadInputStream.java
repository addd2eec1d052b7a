package wharftrestle.transport;

import java.io.IOException;
import java.net.SocketTimeoutException;

/**
 * A buffered input stream that can read ahead, to learn of the end of a connection before all that
 * came before it is handled. Its buffer grows only then. Used by one thread.
 */
final class ReadAheadInputStream extends BoundedReader.BlockInputStream {
  /** Size of the buffer while nothing is read ahead. */
  static final int BUFFER_BYTES = 2048;

  /** Most bytes that are read ahead: open requests of usual size. */
  static final int MAX_AHEAD_BYTES = 16 * 1024;

  private final BoundedReader.DeadlineInputStream socketInput;
  private byte[] buffer = new byte[BUFFER_BYTES];
  private int position;
  private int limit;
  private boolean hasEnded;
  private IOException failure; // thrown once the buffer is read

  ReadAheadInputStream(BoundedReader.DeadlineInputStream socketInput) {
    this.socketInput = socketInput;
  }

  @Override
  public int read() throws IOException {
    return fillIfEmpty() ? buffer[position++] & 0xff : -1;
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    if (length == 0) {
      return 0; // readNBytes asks for that, and must not wait
    }
    if (!fillIfEmpty()) {
      return -1;
    }
    int count = Math.min(length, limit - position);
    System.arraycopy(buffer, position, target, offset, count);
    position += count;
    return count;
  }

  /** Reads if nothing is buffered; false at the end. */
  private boolean fillIfEmpty() throws IOException {
    if (position < limit) {
      return true;
    }
    if (failure != null) {
      throw failure;
    }
    position = 0;
    limit = 0;
    if (buffer.length > BUFFER_BYTES) {
      buffer = new byte[BUFFER_BYTES]; // most connections never need the larger one again
    }
    int count = hasEnded ? -1 : socketInput.read(buffer, 0, buffer.length);
    limit = Math.max(0, count);
    return count > 0;
  }

  /**
   * Reads ahead until the deadline, the end of the input or a full buffer. A failure is thrown by
   * the read that follows what is buffered.
   *
   * @param deadlineNanos on the clock of System.nanoTime
   */
  void readAhead(long deadlineNanos) {
    socketInput.setDeadlineNanos(deadlineNanos);
    try {
      while (!isFull() && !hasEnded && System.nanoTime() < deadlineNanos) {
        if (limit == buffer.length) {
          makeRoom();
        }
        int count = socketInput.read(buffer, limit, buffer.length - limit);
        hasEnded = count < 0;
        limit += Math.max(0, count);
      }
    } catch (SocketTimeoutException timeout) {
      return;
    } catch (IOException e) {
      failure = e;
      hasEnded = true;
    }
  }

  /** Moves what is buffered to the start of the buffer, and doubles a buffer that is all in use. */
  private void makeRoom() {
    byte[] target = position > 0 ? buffer : new byte[Math.min(MAX_AHEAD_BYTES, 2 * buffer.length)];
    System.arraycopy(buffer, position, target, 0, limit - position);
    buffer = target;
    limit -= position;
    position = 0;
  }

  /** Returns whether as much is read ahead as may be. */
  boolean isFull() {
    return limit - position == MAX_AHEAD_BYTES;
  }

  @Override
  public int available() throws IOException {
    return limit - position + (hasEnded ? 0 : socketInput.available());
  }
}
