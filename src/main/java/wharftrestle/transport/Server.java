package wharftrestle.transport;

import java.io.Closeable;
import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.tinylog.Logger;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.PlatformThreads;
import wharftrestle.transport.Connection.Merit;
import wharftrestle.transport.ConnectionState.Phase;

/**
 * Owns one listening address, its connections and a thread for each; how one of them ends is {@link
 * Connection}'s. It knows no protocol: a front reads a connection to its end and writes through
 * {@link Connection#send}. It must never let one peer's slowness or nonsense reach another: a peer
 * that does not read is cut, one that sends nonsense is closed and counted. The thread that accepts
 * also looks at how far the ends of connections have come, until the last is over.
 */
public final class Server implements Closeable {

  /** Reads one connection until it ends. */
  public interface Front {
    /** Returns at the peer's end; throws {@link MalformedException} at what it cannot read. */
    void serve(Connection connection) throws IOException;

    /** Tells a peer that no new request may come; false where its protocol has no word for that. */
    default boolean sayClosing(Connection connection) {
      return false;
    }
  }

  /** Input that no peer of the protocol sends. */
  public static final class MalformedException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedException(String message) {
      super(message);
    }
  }

  private static final int MOST_TRIES = 8;

  /** Nanoseconds in which a peer may be writing its first message still. */
  private static final long FIRST_NANOS = 2_300_000_000L;

  /**
   * Nanoseconds of silence after which one that had its answers is worth less than one that writes.
   */
  private static final long IDLE_NANOS = 1_000_000_000L;

  /** Threads that wait for connections at any time. */
  private static final int READY = 2;

  /** Connections that may wait to be accepted. */
  private static final int BACKLOG = 512;

  /** Milliseconds between two looks at whether the listener is to end, and of the last one. */
  private static final int LOOK_MS = 50;

  /**
   * Milliseconds in which one that was turned away is read at each look: it says no more than one
   * request.
   */
  private static final int TURNED_AWAY_MS = 1;

  /** Threads that tell peers to go, at most. */
  private static final int MOST_WORDS = 4;

  /** Descriptors that stay free once they ran out: for a link, a call, operators. */
  private static final int KEPT_FREE = 8;

  /** Nanoseconds in which a listener that ends is emptied at most, however many still come. */
  private static final long EMPTY_NANOS = 300_000_000L;

  private final String name;
  private final InetSocketAddress address;
  private volatile ServerSocket listener;
  private final Front front;
  private volatile int most;
  private final int leaving;
  private final Counters counters;
  private final Set<Connection> open = ConcurrentHashMap.newKeySet();

  /** Newcomers for which there was no room, the first first. */
  private final ConcurrentLinkedDeque<Connection> turnedAway = new ConcurrentLinkedDeque<>();

  private final LogRateLimiter lines = new LogRateLimiter(System.nanoTime());

  /**
   * A thread each while it lasts; kept some seconds for the next, as a new one costs more than an
   * answer.
   */
  private final ThreadPoolExecutor threads;

  /** Threads that tell peers to go; none while there is nobody to tell. */
  private final ThreadPoolExecutor words;

  private volatile boolean closing;
  private volatile boolean ended;
  private volatile CountDownLatch emptied = new CountDownLatch(0);

  /**
   * Takes nothing until it is told to listen.
   *
   * @param most connections
   * @param leaving further ones that are on their way out, and half as many newcomers that hear
   *     there is no room
   */
  public Server(
      String name,
      InetSocketAddress address,
      int most,
      int leaving,
      Front front,
      Counters counters) {
    this.name = name;
    this.address = address;
    this.front = front;
    this.most = most;
    this.leaving = leaving;
    this.counters = counters;
    threads =
        new ThreadPoolExecutor(
            READY,
            Integer.MAX_VALUE,
            5,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> PlatformThreads.thread(name, task));
    words =
        new ThreadPoolExecutor(
            MOST_WORDS,
            MOST_WORDS,
            1,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            task -> PlatformThreads.thread(name + "-words", task));
    words.allowCoreThreadTimeOut(true);
  }

  /**
   * Takes the address; what comes waits for {@link #start}. Where it is shared, another process of
   * this box may listen at it too. Guards against sharing it with a stranger: without that other
   * process, it is first taken for this one alone.
   */
  public void listen(boolean shared, boolean alone) throws IOException {
    if (shared && alone && address.getPort() != 0) {
      try (ServerSocket probe = new ServerSocket()) {
        probe.setReuseAddress(true);
        probe.bind(address, 1);
      }
    }
    ServerSocket made = new ServerSocket();
    try {
      made.setReuseAddress(true);
      if (shared) {
        made.setOption(StandardSocketOptions.SO_REUSEPORT, true);
      }
      made.bind(address, BACKLOG);
    } catch (IOException e) {
      made.close();
      throw e;
    }
    closing = false;
    listener = made;
  }

  public void start() {
    threads.prestartAllCoreThreads();
    ServerSocket mine = listener;
    CountDownLatch done = new CountDownLatch(1);
    emptied = done;
    PlatformThreads.restartingThread(name + "-accept", () -> accept(mine, done)).start();
  }

  public boolean listening() {
    ServerSocket now = listener;
    return now != null && !now.isClosed();
  }

  /** So many connections at most from now on. */
  public void limit(int connections) {
    most = connections;
  }

  /** Where it listens, also where the port was chosen by the system. */
  public InetSocketAddress address() {
    return listener == null ? address : (InetSocketAddress) listener.getLocalSocketAddress();
  }

  public Set<Connection> connections() {
    return open;
  }

  private void accept(ServerSocket mine, CountDownLatch done) {
    long endBy = 0;
    long lookAt = 0;
    for (boolean empty = false;
        !empty && !mine.isClosed() && (endBy == 0 || System.nanoTime() < endBy); ) {
      // Guards against resets: what waits at a listener that ends is taken before it is closed.
      boolean last = closing;
      if (last && endBy == 0) {
        endBy = System.nanoTime() + EMPTY_NANOS;
      }
      try {
        mine.setSoTimeout(last ? 1 : LOOK_MS);
        take(mine.accept());
      } catch (SocketTimeoutException quiet) {
        empty = last;
      } catch (IOException | RuntimeException | Error e) {
        // Guards against the listener ending for good, or spinning, while descriptors or memory are
        // short.
        if (!mine.isClosed()) {
          tell("accepting failed: " + e);
          makeDoWithLess();
          LockSupport.parkNanos(20_000_000);
        }
      }
      if (System.nanoTime() >= lookAt) {
        look();
        lookAt = System.nanoTime() + LOOK_MS * 1_000_000L;
      }
    }
    BoundedReader.closeQuietly(mine);
    done.countDown();
    while (!ended && mine == listener && !(open.isEmpty() && turnedAway.isEmpty())) {
      look();
      LockSupport.parkNanos(LOOK_MS * 1_000_000L);
    }
  }

  /**
   * Where no descriptor is to be had, there are fewer than was reckoned with: from now on some
   * connections less are held. Guards against idle ones that keep the last of them for good, so
   * that none with work gets in, nor operators, nor the worker pool's next link: room is made as
   * connections are accepted, and none could be.
   */
  private void makeDoWithLess() {
    try (FileInputStream probe = new FileInputStream("/dev/null")) {
      return; // it was something else
    } catch (IOException none) {
      int less = Math.max(1, open.size() - KEPT_FREE);
      if (less < most) {
        most = less;
        Logger.warn("{}: no descriptor is left: {} connections at most from now on", name, less);
      }
      sendAway(less);
      for (int go = open.size() - less; go > 0 && cutFirst(); go--) {
        continue;
      }
    }
  }

  /** How far the end of each connection has come. */
  private void look() {
    long now = System.nanoTime();
    open.forEach(each -> each.look(now, closing));
    turnedAway.removeIf(
        each -> {
          boolean more = each.dropOnce(TURNED_AWAY_MS);
          if (!more) {
            each.close();
          }
          return !more;
        });
  }

  private void take(Socket socket) throws IOException {
    Connection connection;
    try {
      socket.setTcpNoDelay(true);
      connection = new Connection(socket, front);
    } catch (IOException | RuntimeException | Error e) {
      BoundedReader.closeQuietly(socket); // it is gone already, or there is no memory for it
      throw e;
    }
    if (open.size() >= most && !makeRoom()) {
      turnAway(connection);
      return;
    }
    open.add(connection);
    counters.add(Count.CONNECTIONS);
    if (closing) {
      // Guards against a peer that came with the end of the listener and never heard of it.
      tellToGo(connection, Connection.GO_MS);
    }
    try {
      threads.execute(() -> serve(connection));
    } catch (RuntimeException | Error noThread) {
      open.remove(connection);
      turnAway(connection);
      throw noThread;
    }
  }

  /**
   * Guards against connections eating the descriptors and threads: nothing is read of it, and it
   * hears that it is so.
   */
  private void turnAway(Connection connection) {
    counters.add(Count.CONNECTIONS_REJECTED);
    connection.goAway();
    connection.finish();
    turnedAway.add(connection);
    if (turnedAway.size() > leaving / 2) {
      turnedAway.poll().close();
    }
  }

  /** The least goes first, and among equals who was silent longest. */
  @SuppressWarnings("EnumOrdinal") // a rank within this process: merits are declared from the least
  private static int use(Connection each, long now) {
    long quiet = now - each.heardAt();
    boolean silent = each.merit() == Merit.SILENT;
    return silent && quiet > FIRST_NANOS
        ? 0
        : !silent && quiet > IDLE_NANOS ? 1 : 2 + each.merit().ordinal();
  }

  /**
   * Sends away the connection that is likeliest of no more use; false where each owes an answer.
   * Guards against silent peers, or ones that ask once and stay, locking front ends out; and
   * against those that take two seconds for their first request being cut for the sake of others
   * that have their answer. Guards against losing a request that crosses its close on a process
   * that stood still for a moment: who was heard before is told first, and goes when it has had the
   * time to hear of it, or when more are told than there is room for.
   */
  private boolean makeRoom() {
    int go = onTheWayOut().size();
    if (open.size() - go < most) {
      return go < leaving || cutFirst();
    }
    Set<Connection> kept = new HashSet<>();
    long now = System.nanoTime();
    for (int tries = 0; tries < MOST_TRIES; tries++) {
      Connection least = null;
      for (Connection each : open) {
        if (each.phase() == Phase.OPEN
            && each.owed() == 0
            && !kept.contains(each)
            && (least == null
                || use(each, now) < use(least, now)
                || (use(each, now) == use(least, now) && each.heardAt() < least.heardAt()))) {
          least = each;
        }
      }
      if (least == null) {
        return false;
      }
      kept.add(least);
      boolean silent = least.merit() == Merit.SILENT;
      if ((!silent || least.free()) && (go < leaving || cutFirst())) {
        counters.add(Count.CONNECTIONS_EVICTED);
        if (silent) {
          // Said here: it was sent nothing but a few errors, so the word fits what the system holds
          // for it. Guards
          // against newcomers with work that are turned away while others have yet to say it to
          // silent ones.
          least.goAway();
          least.finish(); // what a new connection brings has failed where it is closed
        } else {
          tellToGo(least, Connection.REST_MS);
        }
        return true;
      }
    }
    return false;
  }

  private List<Connection> onTheWayOut() {
    return open.stream().filter(each -> each.phase() != Phase.OPEN).toList();
  }

  /**
   * Closes one of those that go, the first of them that nothing is lost with: half closed ones
   * before the others.
   */
  private boolean cutFirst() {
    Connection first =
        onTheWayOut().stream()
            .filter(Connection::free)
            .min(
                Comparator.comparing(Connection::phase)
                    .reversed()
                    .thenComparing(Connection::heardAt))
            .orElse(null);
    if (first == null) {
      return false;
    }
    first.finish();
    open.remove(first);
    first.note(name, "to make room");
    first.close();
    return true;
  }

  /**
   * Sends away all but so many, those of least use first, without harm to what is on its way; the
   * silent ones end by themselves.
   */
  public void sendAway(int keep) {
    long now = System.nanoTime();
    open.stream()
        .filter(each -> each.merit() != Merit.SILENT && each.owed() == 0)
        .sorted(
            Comparator.comparingInt((Connection each) -> use(each, now))
                .thenComparing(Connection::heardAt))
        .limit(Math.max(0, open.size() - keep))
        .forEach(each -> tellToGo(each, Connection.GO_MS));
  }

  /** Tells all peers to go: each is released once it is answered and quiet. */
  public void goAway() {
    open.forEach(each -> tellToGo(each, Connection.GO_MS));
  }

  /**
   * Guards against one peer that does not read holding up the thread that accepts, or the end of
   * the process: the word is written by another thread, and who does not take it is cut as any who
   * does not read.
   */
  private void tellToGo(Connection connection, int millis) {
    if (connection.toldToGo(millis)) {
      try {
        words.execute(connection::sayGo);
      } catch (RejectedExecutionException over) {
        connection.close(); // the server was closed meanwhile
      }
    }
  }

  /** Takes nothing any more: each connection ends once what it is owed is written. */
  public void finish() {
    open.forEach(
        each -> {
          tellToGo(each, Connection.GO_MS);
          each.finish();
        });
  }

  private void serve(Connection connection) {
    String why = "its peer went, or was told to go";
    try {
      front.serve(connection);
    } catch (MalformedException e) {
      why = "malformed input";
      counters.add(Count.MALFORMED);
      tell("malformed input, connection closed: " + e.getMessage());
    } catch (SocketTimeoutException e) {
      why = "a message stood still";
      counters.add(Count.CONNECTIONS_STALLED);
    } catch (IOException e) {
      why = e.toString();
    } catch (RuntimeException | Error e) {
      why = e.toString();
      tell("a connection ended by a fault: " + e);
    } finally {
      release(connection, why);
    }
  }

  private void release(Connection connection, String why) {
    try {
      connection.release();
    } finally {
      if (connection.unread()) {
        counters.add(Count.CONNECTIONS_UNREAD);
        tell("a peer does not read its answers; cut");
      }
      open.remove(connection);
      connection.note(name, why);
      connection.over();
    }
  }

  private void tell(String what) {
    if (lines.may(System.nanoTime())) {
      Logger.warn("{}: {}", name, what);
    }
  }

  /** Takes what has connected and then no new connections; the open ones go on. */
  public void stopListening() {
    closing = true;
    try {
      emptied.await(LOOK_MS + 2 * EMPTY_NANOS / 1_000_000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    BoundedReader.closeQuietly(listener);
  }

  @Override
  public void close() {
    stopListening();
    ended = true;
    open.forEach(Connection::close);
    threads.shutdown();
    words.shutdownNow();
  }
}
