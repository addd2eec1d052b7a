package wharftrestle.transport;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * State machine of one connection: its phase, the requests in flight and the messages queued for
 * its peer. Thread-safe: every transition is made under one lock, the object's own monitor. It uses
 * neither sockets nor clocks, and it is the only place for this state: no other class keeps a copy.
 * Times are System.nanoTime.
 *
 * <table>
 * <caption>Phases; any other transition throws IllegalStateException</caption>
 * <tr><td>OPEN</td><td>requests are accepted</td><td>to GOING_AWAY, CLOSING, CLOSED</td></tr>
 * <tr><td>GOING_AWAY</td><td>the peer was sent a go-away message;
 *     requests that cross it are still accepted</td>
 *     <td>to CLOSING, CLOSED</td></tr>
 * <tr><td>CLOSING</td><td>no request is accepted; those in flight are still answered</td>
 *     <td>to HALF_CLOSED, CLOSED</td></tr>
 * <tr><td>HALF_CLOSED</td><td>all answers are written and the output is shut down;
 *     input is discarded until the peer closes</td>
 *     <td>to CLOSED</td></tr>
 * <tr><td>CLOSED</td><td>nothing is sent or read</td><td></td></tr>
 * </table>
 */
final class ConnectionState {

  /** Phases of a connection, in order. */
  enum Phase {
    OPEN,
    GOING_AWAY,
    CLOSING,
    HALF_CLOSED,
    CLOSED
  }

  /** What the caller of a transition has to do next, outside the lock. */
  enum Action {
    NOTHING,
    WRITE,
    SHUT_OUTPUT,
    ABORT
  }

  private static final Map<Phase, Set<Phase>> TRANSITIONS =
      new EnumMap<>(
          Map.of(
              Phase.OPEN, EnumSet.of(Phase.GOING_AWAY, Phase.CLOSING, Phase.CLOSED),
              Phase.GOING_AWAY, EnumSet.of(Phase.CLOSING, Phase.CLOSED),
              Phase.CLOSING, EnumSet.of(Phase.HALF_CLOSED, Phase.CLOSED),
              Phase.HALF_CLOSED, EnumSet.of(Phase.CLOSED),
              Phase.CLOSED, EnumSet.noneOf(Phase.class)));

  /** Bytes that may be queued for a peer that does not read: some dozens of the longest answers. */
  static final int MAX_QUEUED_BYTES = 512 * 1024;

  /**
   * Nanoseconds within which a message must be written; a peer that accepts no bytes for so long is
   * not reading.
   */
  static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

  /**
   * Polls with input after which a peer ignores the go-away message: two seconds, in which all that
   * it may have open has been read.
   */
  private static final int MAX_POLLS_WITH_INPUT = 40;

  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private Phase phase = Phase.OPEN;
  private int inFlight; // accepted requests whose answer is not queued yet
  private int queuedBytes; // size of all messages in the queue
  private boolean isWriting; // a thread is writing the queue
  private long writeStartedNanos; // start of the write in progress; 0 for none
  private boolean isInputPending; // the front end has not handled all input yet
  private long readCount;
  private long readCountWhenQuiet =
      -1; // value of readCount at the last poll that found the connection quiet
  private long readCountAtPoll; // value of readCount at the last poll for ignoresGoAway
  private int pollsWithInput; // polls in a row before which input had arrived
  private long phaseStartedNanos; // start of the present phase
  private long goAwayDeadlineNanos; // by which the peer should close
  private boolean isGoAwayPending; // the go-away message is not queued yet

  /** Returns the phase. Reading it without the lock could observe a transition half-way. */
  synchronized Phase phase() {
    return phase;
  }

  /** Returns true once no further request is accepted. */
  synchronized boolean rejectsRequests() {
    return phase.compareTo(Phase.CLOSING) >= 0;
  }

  private void enter(Phase next, long now) {
    if (!TRANSITIONS.get(phase).contains(next)) {
      throw new IllegalStateException(
          "illegal transition of a connection from " + phase + " to " + next);
    }
    phase = next;
    phaseStartedNanos = now;
  }

  // ---- Input ----

  /**
   * Records that bytes were read; false if they are to be discarded, as no request is accepted any
   * more.
   */
  synchronized boolean recordRead() {
    readCount++;
    isInputPending = !rejectsRequests();
    return isInputPending;
  }

  /** Records that the front end has handled all input read so far. */
  synchronized void markInputHandled() {
    isInputPending = false;
  }

  /**
   * Accepts a request, which is in flight until it is completed; false if the connection is
   * closing.
   */
  synchronized boolean beginRequest() {
    if (rejectsRequests()) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Completes a request: its answer is queued, or its caller has disconnected. */
  synchronized Action completeRequest(long now) {
    if (inFlight == 0) {
      throw new IllegalStateException("more requests completed than accepted");
    }
    inFlight--;
    return shutIfDone(now);
  }

  synchronized int inFlight() {
    return inFlight;
  }

  // ---- Output ----

  /**
   * Queues a message. Returns WRITE if the caller has to write the queue, ABORT if the queue is
   * full because the peer does not read.
   */
  synchronized Action enqueue(byte[] message) {
    if (phase.compareTo(Phase.HALF_CLOSED) >= 0) {
      return Action.NOTHING; // all answers are written, or the peer has disconnected
    }
    if (queuedBytes + message.length > MAX_QUEUED_BYTES) {
      return Action.ABORT;
    }
    queuedBytes += message.length;
    queue.add(message);
    if (isWriting) {
      return Action.NOTHING;
    }
    isWriting = true;
    return Action.WRITE;
  }

  /**
   * Queues the answer of a request and completes it, in one transition: otherwise a peer that has
   * its answer could end its output before the request counts as answered.
   */
  synchronized Action enqueueAnswer(byte[] message) {
    if (inFlight == 0) {
      throw new IllegalStateException("more requests completed than accepted");
    }
    inFlight--;
    return enqueue(message);
  }

  /**
   * Returns the next message for the writing thread; null if none is left, and then that thread
   * stops writing.
   */
  synchronized byte[] nextMessage(long now) {
    byte[] message = queue.poll();
    isWriting = message != null;
    writeStartedNanos = isWriting ? now : 0;
    queuedBytes -= isWriting ? message.length : 0;
    return message;
  }

  /** Returns the next action once the queue is written. */
  synchronized Action onQueueWritten(long now) {
    return shutIfDone(now);
  }

  // ---- Closing ----

  /**
   * Starts the close: the peer is to be sent a go-away message and should close by the deadline.
   * Returns true for the one caller that has to send the message.
   */
  synchronized boolean beginGoAway(long now, long deadline) {
    if (phase != Phase.OPEN) {
      goAwayDeadlineNanos = Math.min(goAwayDeadlineNanos, deadline);
      return false;
    }
    enter(Phase.GOING_AWAY, now);
    goAwayDeadlineNanos = deadline;
    isGoAwayPending = true;
    return true;
  }

  /** Records that the go-away message is queued. */
  synchronized Action goAwayQueued(long now) {
    isGoAwayPending = false;
    return shutIfDone(now);
  }

  /** Returns true if the deadline after the go-away message has passed. */
  synchronized boolean isGoAwayExpired(long now) {
    return phase == Phase.GOING_AWAY && now > goAwayDeadlineNanos;
  }

  /** Accepts no request from now on. */
  synchronized Action finish(long now) {
    if (!rejectsRequests()) {
      enter(Phase.CLOSING, now);
    }
    return shutIfDone(now);
  }

  private Action shutIfDone(long now) {
    if (phase != Phase.CLOSING
        || inFlight > 0
        || isGoAwayPending
        || isWriting
        || !queue.isEmpty()) {
      return Action.NOTHING;
    }
    enter(Phase.HALF_CLOSED, now);
    return Action.SHUT_OUTPUT;
  }

  /** Enters CLOSED; true for the one caller that has to close the socket. */
  synchronized boolean close(long now) {
    if (phase == Phase.CLOSED) {
      return false;
    }
    enter(Phase.CLOSED, now);
    queue.clear();
    queuedBytes = 0;
    return true;
  }

  /**
   * Returns true if no request is in flight, no message is queued or being written and no input is
   * pending.
   */
  synchronized boolean isIdle() {
    return inFlight == 0 && !isWriting && queue.isEmpty() && !isInputPending;
  }

  /**
   * Polled by a thread other than the reader, at intervals of tens of milliseconds. Returns true if
   * the connection was idle at the previous poll too and nothing was read in between. A single poll
   * is not enough: bytes may have left the kernel's buffer before the reading thread has recorded
   * them. By the second poll the read has been recorded, or it falls between the two polls.
   *
   * @param unreadBytes bytes in the kernel's receive buffer
   */
  synchronized boolean isQuiet(int unreadBytes) {
    boolean isQuietNow = unreadBytes == 0 && isIdle() && !isGoAwayPending;
    boolean wasQuiet = readCountWhenQuiet == readCount;
    readCountWhenQuiet = isQuietNow ? readCount : -1;
    return isQuietNow && wasQuiet;
  }

  /**
   * Polled like {@link #isQuiet} once the deadline after the go-away message has passed. Returns
   * true if input has arrived before each of {@value #MAX_POLLS_WITH_INPUT} polls: whoever has read
   * the message sends nothing more. Polls are counted rather than time, as this process may have
   * been paused, with input of before the message unread.
   *
   * @param unreadBytes bytes in the kernel's receive buffer
   */
  synchronized boolean ignoresGoAway(int unreadBytes) {
    boolean hasInput = unreadBytes > 0 || readCount != readCountAtPoll;
    readCountAtPoll = readCount;
    pollsWithInput = hasInput ? pollsWithInput + 1 : 0;
    return pollsWithInput > MAX_POLLS_WITH_INPUT;
  }

  /** Returns the nanoseconds spent in this phase; 0 if the connection is in another. */
  synchronized long nanosInPhase(Phase expected, long now) {
    return phase == expected ? Math.max(1, now - phaseStartedNanos) : 0;
  }

  /** Returns true if the write in progress has taken longer than {@code maxNanos}. */
  synchronized boolean isWriteStuck(long now, long maxNanos) {
    return writeStartedNanos != 0 && now - writeStartedNanos > maxNanos;
  }
}
