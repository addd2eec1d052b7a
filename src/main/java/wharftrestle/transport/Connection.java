package wharftrestle.transport;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.transport.ConnectionState.Act;
import wharftrestle.transport.ConnectionState.Phase;

/**
 * Owns one accepted socket: it carries out what {@link ConnectionState} says. Any thread may send,
 * and whoever finds no one writing writes for all; one thread reads. It must never close over what
 * is owed: all but a peer's own end and a peer that does not read goes by {@link #goAway}, {@link
 * #finish}, the shut output and the peer's end, or their deadline.
 */
public final class Connection {

  /** What a connection has shown of itself; the least goes first where room is short. */
  public enum Merit {
    SILENT,
    HEARD,
    SERVED
  }

  /**
   * Milliseconds in which a peer that was told to go may do so: longer than a process stands still
   * for its share.
   */
  static final int GO_MS = 300;

  /** The same where nothing presses: with room short, the first told go sooner. */
  static final int REST_MS = 1000;

  /**
   * Milliseconds in which a peer may end its side once ours is shut; then it is closed over what
   * still comes.
   */
  static final int LINGER_MS = 500;

  /** Bytes that are read and dropped at most: more is no message on its way but a flood. */
  private static final int MOST_DROPPED = 256 * 1024;

  /** Milliseconds between two looks at how far its end has come, by the thread that reads. */
  private static final int DROP_LOOK_MS = 50;

  private static final int DROP_BYTES = 2048;

  /**
   * Looks at which a peer that has ended its side while it was owed answers hears the word to go:
   * 0, 0.05 and 0.5 s.
   */
  private static final Set<Integer> WORD_LOOKS = Set.of(0, 1, 10);

  private final Socket socket;
  private final Server.Front front;
  private final ConnectionState state = new ConnectionState();
  private final Input input;
  private final InputStream in;
  private final long openedAt = System.nanoTime();
  private volatile long heardAt = openedAt;
  private volatile Merit merit = Merit.SILENT;
  private volatile boolean unread;
  private Runnable gone = () -> {};
  private long dropped;

  /** What its front reads: it ends where the peer does, or where nothing is taken any more. */
  private final class Input extends BoundedReader.Timed {
    private volatile boolean ended;
    private volatile boolean reset;

    Input() throws IOException {
      super(socket);
    }

    @Override
    public int read(byte[] into, int from, int most) throws IOException {
      if (state.deaf()) {
        return -1;
      }
      int read = raw(into, from, most);
      // Guards against a request that is read after the shutdown and run, and whose answer has no
      // way back.
      return read >= 0 && state.read() ? read : -1;
    }

    private int raw(byte[] into, int from, int most) throws IOException {
      try {
        int read = super.read(into, from, most);
        ended |= read < 0;
        return read;
      } catch (SocketTimeoutException quiet) {
        throw quiet;
      } catch (IOException e) {
        ended = true;
        reset = true;
        throw e;
      }
    }
  }

  Connection(Socket socket, Server.Front front) throws IOException {
    this.socket = socket;
    this.front = front;
    input = new Input();
    in = new BufferedInputStream(input, 2048);
  }

  public InputStream in() {
    return in;
  }

  /** All reads up to this moment of System.nanoTime; then they throw SocketTimeoutException. */
  public void readUntil(long nanos) {
    input.until(nanos);
  }

  public long openedAt() {
    return openedAt;
  }

  /** When its last whole message had come, or it was opened. */
  public long heardAt() {
    return heardAt;
  }

  public Merit merit() {
    return merit;
  }

  SocketAddress peer() {
    return socket.getRemoteSocketAddress();
  }

  /**
   * A whole message was read and understood, or an answer 'served' is owed to what was asked here.
   */
  public void heard(Merit shown) {
    heardAt = System.nanoTime();
    if (shown.compareTo(merit) > 0) {
      merit = shown;
    }
  }

  /** Its front has dealt with all that was read and waits for the next message. */
  public void settled() {
    state.settled();
  }

  /**
   * What is to be done when nobody waits for answers here any more; run once, by the thread that
   * reads.
   */
  public void whenGone(Runnable left) {
    gone = left;
  }

  /**
   * A request is taken in; false where that comes too late: nothing was run, its sender asks
   * elsewhere.
   */
  public boolean begin() {
    return state.begin();
  }

  /** Its answer is sent, or nobody waits for it. */
  public void end() {
    carryOut(state.end(System.nanoTime()));
  }

  /** Requests taken in and not yet answered. */
  public int owed() {
    return state.owed();
  }

  Phase phase() {
    return state.phase();
  }

  /** Sends whole messages in the order given; never waits for a write of another thread. */
  public void send(byte[] message) {
    Act act = state.offer(message);
    if (act == Act.CUT) {
      // Guards against a peer that does not read: its answers must not fill the memory.
      cutUnread();
    }
    carryOut(act);
  }

  private void carryOut(Act act) {
    try {
      Act next = act;
      if (next == Act.WRITE) {
        for (byte[] each = state.next(System.nanoTime());
            each != null;
            each = state.next(System.nanoTime())) {
          socket.getOutputStream().write(each);
        }
        next = state.written(System.nanoTime());
      }
      if (next == Act.SHUT_OUTPUT) {
        socket.shutdownOutput();
      }
    } catch (IOException e) {
      close(); // the peer's side is gone, and its answers with it
    }
  }

  // ---- Its end ----

  /**
   * Tells its peer, once, that no new request may come here; what crosses that word is still taken
   * and answered.
   */
  public void goAway() {
    goAway(REST_MS);
  }

  /** The same with so many ms in which its peer may go by itself. */
  private void goAway(int millis) {
    if (toldToGo(millis)) {
      sayGo();
    }
  }

  /** Says the word that {@link #toldToGo} left to say. */
  void sayGo() {
    try {
      front.sayClosing(this);
    } finally {
      carryOut(state.said(System.nanoTime()));
    }
  }

  /**
   * It is to go within so many ms; true for the one who then has to say so, on a thread that may
   * wait for its peer.
   */
  boolean toldToGo(int millis) {
    long now = System.nanoTime();
    return state.goAway(now, now + millis * 1_000_000L);
  }

  /** Takes nothing from now on, answers what was taken, then shuts its side. */
  public void finish() {
    carryOut(state.finish(System.nanoTime()));
  }

  boolean unread() {
    return unread;
  }

  private void cutUnread() {
    unread = true;
    close();
  }

  /**
   * The look of the server's own thread, every some ten ms: the one place where a connection's
   * deadlines are kept.
   *
   * @param hurry the process ends: a peer that does not read is not waited for
   */
  void look(long now, boolean hurry) {
    if (state.stuck(now, hurry ? GO_MS * 1_000_000L : ConnectionState.WRITE_NANOS)) {
      cutUnread();
    } else if (state.since(Phase.HALF_CLOSED, now) > LINGER_MS * 1_000_000L) {
      close();
    } else if (state.goneBy(now) && quiet()) {
      finish();
    }
  }

  private boolean quiet() {
    try {
      return state.quiet(input.available());
    } catch (IOException e) {
      return true; // its end is known already
    }
  }

  /**
   * True where a bare close loses nothing now: all is written and nothing lies unread, or it never
   * said a whole message, and what a new connection brings has failed where it is closed.
   */
  boolean free() {
    try {
      return state.deaf()
          ? state.phase() == Phase.HALF_CLOSED
          : input.available() == 0 && state.owed() == 0 && (merit == Merit.SILENT || state.idle());
    } catch (IOException e) {
      return true;
    }
  }

  /**
   * The one way out for the thread that reads: what was taken is answered, this side is shut, and
   * the peer's end awaited. A peer that has only ended its side may read still: it is owed its
   * answers. Whoever is gone resets what is written to it, and the write after that fails: so the
   * word to go is said to it, and again, until no way there and back is longer.
   */
  void release() {
    if (input.reset) {
      return; // known gone: nothing can be owed to it
    }
    finish();
    if (!input.ended) {
      drop();
    }
    for (int look = 0; !input.reset && state.phase() == Phase.CLOSING; look++) {
      if (WORD_LOOKS.contains(look) && !front.sayClosing(this)) {
        return; // its protocol has no such word, and its callers end with their connections
      }
      LockSupport.parkNanos(DROP_LOOK_MS * 1_000_000L);
    }
  }

  /**
   * Reads and drops what still comes until the peer ends, or its time is over. Guards against a
   * close over unread bytes: it resets the connection, and answers that the peer has not read yet
   * go with it.
   */
  private void drop() {
    while (dropOnce(DROP_LOOK_MS)) {
      continue;
    }
  }

  /** The same for one read of so many ms; false once there is nothing more to drop. */
  boolean dropOnce(int millis) {
    try {
      if (dropped > MOST_DROPPED) {
        LockSupport.parkNanos(millis * 1_000_000L);
      } else {
        input.until(System.nanoTime() + millis * 1_000_000L);
        dropped += Math.max(0, input.raw(new byte[DROP_BYTES], 0, DROP_BYTES));
      }
    } catch (SocketTimeoutException quiet) {
      // Its deadline is looked at below.
    } catch (IOException e) {
      return false; // noted as its end
    }
    look(System.nanoTime(), false);
    return !input.ended && state.phase() != Phase.CLOSED;
  }

  /** Nobody reads here any more: whoever is still in hand has left. */
  void over() {
    close();
    gone.run();
  }

  /** Why it is closed, and how it stood then: what to look for where a request was lost with it. */
  void note(String server, String why) {
    if (Logger.isDebugEnabled()) {
      Logger.debug(
          "{}: {} closed: {} ({}, {}, owes {}, heard {} ms ago)",
          server,
          peer(),
          why,
          merit,
          state.phase(),
          state.owed(),
          (System.nanoTime() - heardAt) / 1_000_000);
    }
  }

  /** Gives the socket back, whatever was said. */
  void close() {
    if (state.close(System.nanoTime())) {
      BoundedReader.closeQuietly(socket);
    }
  }
}
