package wharftrestle.transport;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * Owns what one connection still owes and how far its end has come: one state, moved under one
 * lock, its own monitor. It must never touch a socket or a clock, and nobody else may keep a flag
 * that says the same. Times are System.nanoTime.
 *
 * <table>
 * <caption>Phases; a transition that is not here throws</caption>
 * <tr><td>OPEN</td><td>requests are taken</td><td>to GOING_AWAY, CLOSING, CLOSED</td></tr>
 * <tr><td>GOING_AWAY</td><td>its peer was told to send no more; what crosses that word is still taken</td>
 *     <td>to CLOSING, CLOSED</td></tr>
 * <tr><td>CLOSING</td><td>nothing is taken any more; what was taken is still answered</td>
 *     <td>to HALF_CLOSED, CLOSED</td></tr>
 * <tr><td>HALF_CLOSED</td><td>all is written and this side is shut; what comes is read and dropped until the peer ends</td>
 *     <td>to CLOSED</td></tr>
 * <tr><td>CLOSED</td><td>nothing is sent or read</td><td></td></tr>
 * </table>
 */
final class ConnectionState {

  /** How far the end of a connection has come. */
  enum Phase {
    OPEN,
    GOING_AWAY,
    CLOSING,
    HALF_CLOSED,
    CLOSED
  }

  /** What whoever moved the state has to do next, outside the lock. */
  enum Act {
    NOTHING,
    WRITE,
    SHUT_OUTPUT,
    CUT
  }

  private static final Map<Phase, Set<Phase>> NEXT =
      new EnumMap<>(
          Map.of(
              Phase.OPEN, EnumSet.of(Phase.GOING_AWAY, Phase.CLOSING, Phase.CLOSED),
              Phase.GOING_AWAY, EnumSet.of(Phase.CLOSING, Phase.CLOSED),
              Phase.CLOSING, EnumSet.of(Phase.HALF_CLOSED, Phase.CLOSED),
              Phase.HALF_CLOSED, EnumSet.of(Phase.CLOSED),
              Phase.CLOSED, EnumSet.noneOf(Phase.class)));

  /** Bytes that may wait for a peer that does not read: some dozens of the longest answers. */
  static final int MOST_WAITING = 512 * 1024;

  /**
   * Nanoseconds that one message may take to be written: a peer that takes nothing for so long does
   * not read.
   */
  static final long WRITE_NANOS = 5_000_000_000L;

  private final ArrayDeque<byte[]> queue = new ArrayDeque<>();
  private Phase phase = Phase.OPEN;
  private int owed; // requests taken whose answer is not in the queue yet
  private int waiting; // bytes in the queue
  private boolean writing; // a thread takes messages from the queue and writes them
  private long writingSince; // the message that is being written; 0 for none
  private boolean inHand; // bytes were read that the front has not dealt with
  private long reads;
  private long quietReads = -1; // what reads was at the last look that found it quiet
  private long movedAt; // when the present phase began
  private long goBy; // once its peer was told to go
  private boolean wordOwed; // and the word itself is not in the queue yet

  /**
   * Under the lock as all else: a look without it would see the instant between two steps that are
   * one.
   */
  synchronized Phase phase() {
    return phase;
  }

  /** True once no request is taken any more. */
  synchronized boolean deaf() {
    return phase.compareTo(Phase.CLOSING) >= 0;
  }

  private void move(Phase next, long now) {
    if (!NEXT.get(phase).contains(next)) {
      throw new IllegalStateException("a connection goes from " + phase + " to " + next);
    }
    phase = next;
    movedAt = now;
  }

  // ---- What is read ----

  /** Bytes came; false where nothing is taken any more and they are to be dropped. */
  synchronized boolean read() {
    reads++;
    inHand = !deaf();
    return inHand;
  }

  /** The front has dealt with all that was read. */
  synchronized void settled() {
    inHand = false;
  }

  /** A request is taken in and owed its answer; false where it comes too late for that. */
  synchronized boolean begin() {
    if (deaf()) {
      return false;
    }
    owed++;
    return true;
  }

  /** Its answer is in the queue, or nobody waits for it. */
  synchronized Act end(long now) {
    if (owed == 0) {
      throw new IllegalStateException("more answers than requests");
    }
    owed--;
    return shutIfDone(now);
  }

  synchronized int owed() {
    return owed;
  }

  // ---- What is written ----

  /**
   * A message to send; WRITE where the caller is to write what waits, CUT where the peer does not
   * read.
   */
  synchronized Act offer(byte[] message) {
    if (phase.compareTo(Phase.HALF_CLOSED) >= 0) {
      return Act.NOTHING; // all that was owed is written, or the peer is gone
    }
    if (waiting + message.length > MOST_WAITING) {
      return Act.CUT;
    }
    waiting += message.length;
    queue.add(message);
    if (writing) {
      return Act.NOTHING;
    }
    writing = true;
    return Act.WRITE;
  }

  /** The next message for who writes; null where none is left, and then it writes no more. */
  synchronized byte[] next(long now) {
    byte[] message = queue.poll();
    writing = message != null;
    writingSince = writing ? now : 0;
    waiting -= writing ? message.length : 0;
    return message;
  }

  /** What is to be done once nothing waits to be written. */
  synchronized Act written(long now) {
    return shutIfDone(now);
  }

  // ---- Its end ----

  /**
   * Its peer is to hear that no request may come any more, and go by then; true for the one who has
   * to say so.
   */
  synchronized boolean goAway(long now, long by) {
    if (phase != Phase.OPEN) {
      goBy = Math.min(goBy, by);
      return false;
    }
    move(Phase.GOING_AWAY, now);
    goBy = by;
    wordOwed = true;
    return true;
  }

  /** The word to go is in the queue. */
  synchronized Act said(long now) {
    wordOwed = false;
    return shutIfDone(now);
  }

  /** True where its peer was told to go and has had the time for it. */
  synchronized boolean goneBy(long now) {
    return phase == Phase.GOING_AWAY && now > goBy;
  }

  /** Nothing is taken from now on. */
  synchronized Act finish(long now) {
    if (!deaf()) {
      move(Phase.CLOSING, now);
    }
    return shutIfDone(now);
  }

  private Act shutIfDone(long now) {
    if (phase != Phase.CLOSING || owed > 0 || wordOwed || writing || !queue.isEmpty()) {
      return Act.NOTHING;
    }
    move(Phase.HALF_CLOSED, now);
    return Act.SHUT_OUTPUT;
  }

  /** The end of all; true for the one who has to give the socket back. */
  synchronized boolean close(long now) {
    if (phase == Phase.CLOSED) {
      return false;
    }
    move(Phase.CLOSED, now);
    queue.clear();
    waiting = 0;
    return true;
  }

  /** True where no answer is owed or on its way out, and nothing read and not dealt with. */
  synchronized boolean idle() {
    return owed == 0 && !writing && queue.isEmpty() && !inHand;
  }

  /**
   * One of several looks, some ten milliseconds apart, by another thread than the one that reads.
   * True where it was idle at the look before too and nothing was read between. Guards against the
   * instant in which bytes have left the system and the thread that read them has not said so yet:
   * at the second look it has, or it was read between the two.
   *
   * @param unread bytes that the system holds
   */
  synchronized boolean quiet(int unread) {
    boolean now = unread == 0 && idle() && !wordOwed;
    boolean before = quietReads == reads;
    quietReads = now ? reads : -1;
    return now && before;
  }

  /** Nanoseconds for which it has been in this phase; 0 where it is in another. */
  synchronized long since(Phase asked, long now) {
    return phase == asked ? Math.max(1, now - movedAt) : 0;
  }

  /** True where the message that is being written has waited longer than that for its peer. */
  synchronized boolean stuck(long now, long most) {
    return writingSince != 0 && now - writingSince > most;
  }
}
