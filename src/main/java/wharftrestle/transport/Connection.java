package wharftrestle.transport;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.transport.ConnectionState.Action;
import wharftrestle.transport.ConnectionState.Phase;

/**
 * One accepted socket; carries out the transitions of {@link ConnectionState}. Any thread may send:
 * if no other thread is writing, the caller writes the whole queue. One thread reads. A connection
 * with requests in flight is closed only if the peer has disconnected or does not read; all other
 * closes go through {@link #goAway}, {@link #finish}, the shutdown of the output and the peer's
 * close, each with a deadline.
 */
public final class Connection {

  /**
   * How far a peer has used its connection; lower values are evicted first at the connection limit.
   */
  public enum Merit {
    SILENT,
    HEARD,
    SERVED
  }

  /**
   * Milliseconds for a peer to close after the go-away message if the server stops or sends peers
   * away: longer than a process is paused by its CPU limit.
   */
  static final int SHORT_GO_AWAY_MS = 300;

  /**
   * Milliseconds for a peer to close after the go-away message if its connection is idle, rejected
   * or evicted. If too many are closing, those that were notified first are closed sooner.
   */
  static final int DEFAULT_GO_AWAY_MS = 1000;

  /**
   * Milliseconds for the peer to close after the output is shut down; then the socket is closed
   * whatever still arrives.
   */
  static final int LINGER_MS = 500;

  /**
   * Maximum bytes of input to discard. Messages sent before the peer learned of the close are
   * shorter; any further input is left unread until the deadline.
   */
  private static final int MAX_DISCARDED_BYTES = 256 * 1024;

  /**
   * Milliseconds after which a peer counts as not reading while others need the place of its
   * connection: longer than a process is paused by its CPU limit.
   */
  private static final int MAX_STUCK_AT_LIMIT_MS = 1000;

  /** Nanoseconds after a delay of its input for which a connection counts as over its share. */
  private static final long OVER_SHARE_NANOS = 5_000_000_000L;

  /** Milliseconds between two polls of a closing connection by its reading thread. */
  private static final int DISCARD_POLL_MS = 50;

  private static final int DISCARD_BUFFER_BYTES = 2048;

  /**
   * Milliseconds after which something is sent to a peer that shut down its output with requests in
   * flight, to learn whether it still reads. A peer that has disconnected answers the first with a
   * reset, and the next one fails.
   */
  private static final int[] PROBE_DELAYS_MS = {0, 5, 50, 500};

  /** Milliseconds between two looks at such a connection while probes follow each other closely. */
  private static final int PROBE_POLL_MS = 5;

  private final Socket socket;
  private final Server.Front frontend;
  private final ConnectionState state = new ConnectionState();
  private final Input input;
  private final ReadAheadInputStream in;
  private final long openedAt = System.nanoTime();
  private volatile long lastMessageNanos = openedAt;
  private volatile Merit merit = Merit.SILENT;
  private volatile boolean isPeerNotReading;
  private volatile boolean hasBeenDelayed;
  private volatile long lastDelayedNanos;
  private Runnable disconnectCallback = () -> {};
  private Runnable peerProbe; // null: the go-away message
  private long discardedBytes;

  /**
   * The input of the front end: ends when the peer closes, or when no request is accepted any more.
   */
  private final class Input extends BoundedReader.DeadlineInputStream {
    private volatile boolean isAtEnd;
    private volatile boolean isReset;

    Input() throws IOException {
      super(socket);
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      if (state.rejectsRequests()) {
        return -1;
      }
      int read = readSocket(buffer, offset, length);
      // A request read after the output is shut down would be executed, but its answer could not be
      // sent.
      return read >= 0 && state.recordRead() ? read : -1;
    }

    private int readSocket(byte[] buffer, int offset, int length) throws IOException {
      try {
        int read = super.read(buffer, offset, length);
        isAtEnd |= read < 0;
        return read;
      } catch (SocketTimeoutException timeout) {
        throw timeout;
      } catch (IOException e) {
        isAtEnd = true;
        isReset = true;
        throw e;
      }
    }
  }

  Connection(Socket socket, Server.Front frontend) throws IOException {
    this.socket = socket;
    this.frontend = frontend;
    input = new Input();
    in = new ReadAheadInputStream(input);
  }

  public InputStream in() {
    return in;
  }

  /** Sets the System.nanoTime at which pending and later reads throw SocketTimeoutException. */
  public void readUntil(long nanos) {
    input.setDeadlineNanos(nanos);
  }

  /**
   * Waits before the next message is handled, and reads ahead meanwhile. If the peer has ended its
   * output behind what is unread, it is sent something, to learn whether it has disconnected.
   *
   * @return whether more input has arrived than can be read ahead
   * @throws EOFException if the peer has disconnected: no request that is unread is accepted
   */
  public boolean delayInput(long nanos) throws IOException {
    lastDelayedNanos = System.nanoTime();
    hasBeenDelayed = true;
    long until = lastDelayedNanos + nanos;
    boolean hadEnded = input.isAtEnd;
    in.readAhead(until);
    if (input.isReset) {
      close();
    } else if (input.isAtEnd && !hadEnded) {
      probePeer();
      LockSupport.parkNanos(PROBE_POLL_MS * 1_000_000L);
      probePeer();
    }
    if (state.phase() == Phase.CLOSED) {
      throw new EOFException("peer disconnected with input unread");
    }
    LockSupport.parkNanos(until - System.nanoTime());
    return in.isFull() && input.available() > 0;
  }

  public long openedAt() {
    return openedAt;
  }

  /** When the last complete message was read, or the connection was opened. */
  public long lastMessageNanos() {
    return lastMessageNanos;
  }

  public Merit merit() {
    return merit;
  }

  /** Returns whether input was delayed lately, as the peer sends more than its share. */
  boolean isOverShare(long now) {
    return hasBeenDelayed && now - lastDelayedNanos < OVER_SHARE_NANOS;
  }

  SocketAddress peer() {
    return socket.getRemoteSocketAddress();
  }

  /** Records that a complete, valid message was read or that a request of this peer was served. */
  public void heard(Merit reached) {
    lastMessageNanos = System.nanoTime();
    if (reached.compareTo(merit) > 0) {
      merit = reached;
    }
  }

  /** Records that the front end has handled all input and waits for the next message. */
  public void markInputHandled() {
    state.markInputHandled();
  }

  /**
   * Sets the callback for the end of the connection, when nobody waits for its answers any more.
   * The reading thread calls it once.
   */
  public void onDisconnect(Runnable callback) {
    disconnectCallback = callback;
  }

  /**
   * Sets what is sent, several times, to a peer that has ended its output with requests in flight,
   * for protocols without a go-away message. Called by the reading thread.
   */
  public void onPeerOutputEnded(Runnable probe) {
    peerProbe = probe;
  }

  /**
   * Accepts a request; false if the connection is closing: nothing was executed and the sender
   * retries on another connection.
   */
  public boolean beginRequest() {
    return state.beginRequest();
  }

  /** Completes a request: its answer is sent, or its caller has disconnected. */
  public void completeRequest() {
    carryOut(state.completeRequest(System.nanoTime()));
  }

  /** Number of requests accepted and not yet answered. */
  public int inFlight() {
    return state.inFlight();
  }

  Phase phase() {
    return state.phase();
  }

  /**
   * Sends a complete message, in the order of the calls; never waits for a write of another thread.
   */
  public void send(byte[] message) {
    write(state.enqueue(message));
  }

  /** Sends the answer of a request and completes it. */
  public void sendAnswer(byte[] message) {
    write(state.enqueueAnswer(message));
  }

  private void write(Action action) {
    if (action == Action.ABORT) {
      // The peer does not read; answers queued for it must not use up the memory.
      closeNonReadingPeer();
    }
    carryOut(action);
  }

  private void carryOut(Action action) {
    try {
      Action next = action;
      if (next == Action.WRITE) {
        for (byte[] each = state.nextMessage(System.nanoTime());
            each != null;
            each = state.nextMessage(System.nanoTime())) {
          BoundedTransfers.write(socket.getOutputStream(), each);
        }
        next = state.onQueueWritten(System.nanoTime());
      }
      if (next == Action.SHUT_OUTPUT) {
        socket.shutdownOutput();
      }
    } catch (IOException e) {
      close(); // the peer has disconnected; its answers cannot be delivered
    }
  }

  // ---- Closing ----

  /**
   * Sends the go-away message once: the peer must send no further request on this connection.
   * Requests that cross the message are still accepted and answered.
   */
  public void goAway() {
    goAway(DEFAULT_GO_AWAY_MS);
  }

  /** The same, with the milliseconds for the peer to close by itself. */
  private void goAway(int millis) {
    if (beginGoAway(millis)) {
      sendGoAway();
    }
  }

  /**
   * Sends the go-away message after {@link #beginGoAway}; may block while the peer does not read.
   */
  void sendGoAway() {
    try {
      frontend.notifyClosing(this);
    } finally {
      carryOut(state.goAwayQueued(System.nanoTime()));
    }
  }

  /**
   * Starts the close, for which the peer has {@code millis}. Returns true for the one caller that
   * has to call {@link #sendGoAway}, on a thread that may block.
   */
  boolean beginGoAway(int millis) {
    long now = System.nanoTime();
    return state.beginGoAway(now, now + millis * 1_000_000L);
  }

  /** Accepts no request from now on, answers those in flight, then shuts down the output. */
  public void finish() {
    carryOut(state.finish(System.nanoTime()));
  }

  boolean isPeerNotReading() {
    return isPeerNotReading;
  }

  private void closeNonReadingPeer() {
    isPeerNotReading = true;
    close();
  }

  /**
   * Enforces all deadlines of the connection. Called by the server's accept thread at intervals of
   * tens of milliseconds, and while input is discarded.
   *
   * @param isShuttingDown true while the server stops: a peer that does not read is closed sooner
   */
  void checkDeadlines(long now, boolean isShuttingDown) {
    if (state.isWriteStuck(
        now,
        isShuttingDown ? SHORT_GO_AWAY_MS * 1_000_000L : ConnectionState.WRITE_TIMEOUT_NANOS)) {
      closeNonReadingPeer();
    } else if (state.nanosInPhase(Phase.HALF_CLOSED, now) > LINGER_MS * 1_000_000L) {
      close();
    } else if (state.isGoAwayExpired(now) && (isQuiet() || ignoresGoAway())) {
      finish();
    }
  }

  private boolean ignoresGoAway() {
    try {
      return state.ignoresGoAway(input.available());
    } catch (IOException e) {
      return true; // the reading thread sees the error too
    }
  }

  /** Closes the connection if its peer does not read while others need its place; true if so. */
  boolean closeIfNotReading(long now) {
    boolean isStuck = state.isWriteStuck(now, MAX_STUCK_AT_LIMIT_MS * 1_000_000L);
    if (isStuck) {
      closeNonReadingPeer();
    }
    return isStuck;
  }

  private boolean isQuiet() {
    try {
      return state.isQuiet(input.available());
    } catch (IOException e) {
      return true; // the reading thread sees the error too
    }
  }

  /**
   * Returns true if closing the socket now loses no request or answer. If requests are no longer
   * accepted, the output must be shut down. Otherwise no input may be unread, no request in flight,
   * and the connection must be idle or the peer must never have sent a complete message. An
   * incomplete first message is lost then; a client treats it as a failed request.
   */
  boolean isSafeToClose() {
    try {
      return state.rejectsRequests()
          ? state.phase() == Phase.HALF_CLOSED
          : input.available() == 0
              && state.inFlight() == 0
              && (merit == Merit.SILENT || state.isIdle());
    } catch (IOException e) {
      return true;
    }
  }

  /**
   * Ends the connection on its reading thread: requests in flight are answered, the output is shut
   * down and the peer's close is awaited. A peer that has only shut down its own output still reads
   * and gets its answers. A peer that has disconnected answers a write with a reset, and the next
   * write fails: so something is sent several times, spread over more than any round trip.
   */
  void finishAndAwaitPeer() {
    if (input.isReset) {
      return; // the peer has disconnected; no answer can be delivered
    }
    finish();
    if (!input.isAtEnd) {
      discardInput();
    }
    awaitAnswers();
  }

  /** Waits until all answers are written or a probe shows that the peer has disconnected. */
  private void awaitAnswers() {
    long startedAt = System.nanoTime();
    int probes = 0;
    while (!input.isReset && state.phase() == Phase.CLOSING) {
      long elapsedMs = (System.nanoTime() - startedAt) / 1_000_000;
      if (probes < PROBE_DELAYS_MS.length && elapsedMs >= PROBE_DELAYS_MS[probes]) {
        probes++;
        if (!probePeer()) {
          return; // the protocol has nothing to send, and its callers end with their connections
        }
        continue;
      }
      int pollMs = elapsedMs < DISCARD_POLL_MS ? PROBE_POLL_MS : DISCARD_POLL_MS;
      LockSupport.parkNanos(pollMs * 1_000_000L);
    }
  }

  private boolean probePeer() {
    if (peerProbe == null) {
      return frontend.notifyClosing(this);
    }
    peerProbe.run();
    return true;
  }

  /**
   * Reads and discards input until the peer closes or the deadline passes. Closing a socket with
   * unread input resets the connection, and answers that the peer has not read yet are lost.
   */
  private void discardInput() {
    while (discardOnce(DISCARD_POLL_MS)) {
      continue;
    }
  }

  /** The same for one read of at most {@code millis}; false once the input has ended. */
  boolean discardOnce(int millis) {
    try {
      if (discardedBytes > MAX_DISCARDED_BYTES) {
        LockSupport.parkNanos(millis * 1_000_000L);
      } else {
        input.setDeadlineNanos(System.nanoTime() + millis * 1_000_000L);
        discardedBytes +=
            Math.max(0, input.readSocket(new byte[DISCARD_BUFFER_BYTES], 0, DISCARD_BUFFER_BYTES));
      }
    } catch (SocketTimeoutException timeout) {
      // The deadline is checked below.
    } catch (IOException e) {
      return false; // the connection is reset
    }
    checkDeadlines(System.nanoTime(), false);
    return !input.isAtEnd && state.phase() != Phase.CLOSED;
  }

  /** Closes the socket and reports the callers of requests in flight as disconnected. */
  void closeAndNotify() {
    close();
    disconnectCallback.run();
  }

  /**
   * Logs the reason of a close and the state of the connection, to trace requests that were lost
   * with it.
   */
  void logClose(String server, String reason) {
    if (Logger.isDebugEnabled()) {
      Logger.debug(
          "connection closed server={} peer={} reason={} use={} phase={} in_flight={} idle_ms={}",
          server,
          peer(),
          reason,
          merit,
          state.phase(),
          state.inFlight(),
          (System.nanoTime() - lastMessageNanos) / 1_000_000);
    }
  }

  /** Closes the socket at once, whatever is in flight. */
  void close() {
    if (state.close(System.nanoTime())) {
      BoundedReader.closeQuietly(socket);
    }
  }
}
