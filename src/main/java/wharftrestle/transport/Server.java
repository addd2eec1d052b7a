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
 * Listens on one address and runs one thread for each connection; {@link Connection} implements how
 * each of them ends. A {@link Front} implements the protocol: it reads a connection until the peer
 * closes it and writes through {@link Connection#send}. Peers are isolated from each other: one
 * that does not read is closed, and one that sends malformed input is closed and counted. The
 * accept thread also enforces the deadlines of closing connections, until the last is closed.
 */
public final class Server implements Closeable {

  /** The protocol of a listening address; called on the thread of each connection. */
  public interface Front {
    /**
     * Reads the connection until the peer closes it; throws {@link MalformedException} on malformed
     * input.
     */
    void serve(Connection connection) throws IOException;

    /**
     * Sends the go-away message, after which the peer sends no new request; false if the protocol
     * has none.
     */
    default boolean notifyClosing(Connection connection) {
      return false;
    }
  }

  /** Input that violates the protocol. */
  public static final class MalformedException extends IOException {
    private static final long serialVersionUID = 1L;

    public MalformedException(String message) {
      super(message);
    }
  }

  private static final int MAX_EVICTION_ATTEMPTS = 8;

  /** Nanoseconds within which a new peer may still be writing its first message. */
  private static final long FIRST_MESSAGE_NANOS = 2_300_000_000L;

  /** Nanoseconds without a message after which an answered peer is evicted before active ones. */
  private static final long IDLE_NANOS = 1_000_000_000L;

  /** Threads kept waiting for connections. */
  private static final int IDLE_THREADS = 2;

  /** Length of the queue of connections not yet accepted. */
  private static final int BACKLOG = 512;

  /** Milliseconds between two checks for shutdown and of the connections' deadlines. */
  private static final int POLL_MS = 50;

  /**
   * Milliseconds of reading from a rejected connection at each poll; such a peer sends one request
   * at most.
   */
  private static final int REJECTED_READ_MS = 1;

  /** Maximum number of threads that send go-away messages. */
  private static final int GO_AWAY_THREADS = 4;

  /** Descriptors kept free after they ran out: for a link, a dependency call, operators. */
  private static final int RESERVED_DESCRIPTORS = 8;

  /**
   * Maximum nanoseconds for accepting what is queued at a closing listener, however many peers
   * still connect.
   */
  private static final long BACKLOG_DRAIN_NANOS = 300_000_000L;

  private final String name;
  private final InetSocketAddress address;
  private volatile ServerSocket listener;
  private final Front frontend;
  private volatile int maxConnections;
  private final int maxClosing;
  private final Counters counters;
  private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();

  /** Connections rejected at the connection limit, oldest first. */
  private final ConcurrentLinkedDeque<Connection> rejected = new ConcurrentLinkedDeque<>();

  private final LogRateLimiter logLimiter = new LogRateLimiter(System.nanoTime());

  /**
   * One thread for each connection; idle threads are kept for some seconds, as starting one costs
   * more than an answer.
   */
  private final ThreadPoolExecutor connectionThreads;

  /** Threads that send go-away messages; they end when idle. */
  private final ThreadPoolExecutor goAwayThreads;

  private volatile boolean isStopping;
  private volatile boolean isShutDown;
  private volatile CountDownLatch backlogDrained = new CountDownLatch(0);

  /**
   * Creates a server that is not yet listening.
   *
   * @param maxConnections limit of open connections
   * @param maxClosing limit of connections that are closing, beyond maxConnections; up to half as
   *     many rejected connections may also wait until the peer closes them
   */
  public Server(
      String name,
      InetSocketAddress address,
      int maxConnections,
      int maxClosing,
      Front frontend,
      Counters counters) {
    this.name = name;
    this.address = address;
    this.frontend = frontend;
    this.maxConnections = maxConnections;
    this.maxClosing = maxClosing;
    this.counters = counters;
    connectionThreads =
        new ThreadPoolExecutor(
            IDLE_THREADS,
            Integer.MAX_VALUE,
            5,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            task -> PlatformThreads.thread(name, task));
    goAwayThreads =
        new ThreadPoolExecutor(
            GO_AWAY_THREADS,
            GO_AWAY_THREADS,
            1,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            task -> PlatformThreads.thread(name + "-go-away", task));
    goAwayThreads.allowCoreThreadTimeOut(true);
  }

  /**
   * Binds the address; connections are queued until {@link #start}. A shared address may also be
   * bound by another process of this host. If there is no such process, the address is first bound
   * exclusively, so that it is not shared with an unrelated process.
   */
  public void listen(boolean isShared, boolean isFirstProcess) throws IOException {
    if (isShared && isFirstProcess && address.getPort() != 0) {
      try (ServerSocket probe = new ServerSocket()) {
        probe.setReuseAddress(true);
        probe.bind(address, 1);
      }
    }
    ServerSocket socket = new ServerSocket();
    try {
      socket.setReuseAddress(true);
      if (isShared) {
        socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
      }
      socket.bind(address, BACKLOG);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
    isStopping = false;
    listener = socket;
  }

  public void start() {
    connectionThreads.prestartAllCoreThreads();
    ServerSocket accepting = listener;
    CountDownLatch drained = new CountDownLatch(1);
    backlogDrained = drained;
    PlatformThreads.restartingThread(name + "-accept", () -> accept(accepting, drained)).start();
  }

  public boolean listening() {
    ServerSocket current = listener;
    return current != null && !current.isClosed();
  }

  /** Sets the limit of open connections. */
  public void limit(int connections) {
    maxConnections = connections;
  }

  /** The bound address, with the port that the system has chosen if none was set. */
  public InetSocketAddress address() {
    return listener == null ? address : (InetSocketAddress) listener.getLocalSocketAddress();
  }

  public Set<Connection> connections() {
    return openConnections;
  }

  private void accept(ServerSocket accepting, CountDownLatch drained) {
    long drainDeadline = 0;
    long nextPoll = 0;
    for (boolean isDrained = false;
        !isDrained
            && !accepting.isClosed()
            && (drainDeadline == 0 || System.nanoTime() < drainDeadline); ) {
      // Closing a listener resets the connections queued at it, so they are accepted first.
      boolean isLast = isStopping;
      if (isLast && drainDeadline == 0) {
        drainDeadline = System.nanoTime() + BACKLOG_DRAIN_NANOS;
      }
      try {
        accepting.setSoTimeout(isLast ? 1 : POLL_MS);
        register(accepting.accept());
      } catch (SocketTimeoutException timeout) {
        isDrained = isLast;
      } catch (IOException | RuntimeException | Error e) {
        // A shortage of descriptors or memory must neither end the accept loop nor make it spin.
        if (!accepting.isClosed()) {
          warn("connection could not be accepted, will try again: " + e);
          lowerConnectionLimit();
          LockSupport.parkNanos(20_000_000);
        }
      }
      if (System.nanoTime() >= nextPoll) {
        pollConnections();
        nextPoll = System.nanoTime() + POLL_MS * 1_000_000L;
      }
    }
    BoundedReader.closeQuietly(accepting);
    drained.countDown();
    while (!isShutDown
        && accepting == listener
        && !(openConnections.isEmpty() && rejected.isEmpty())) {
      pollConnections();
      LockSupport.parkNanos(POLL_MS * 1_000_000L);
    }
  }

  /**
   * Lowers the connection limit if no descriptor is left, as the process then has fewer than the
   * budget assumes. Otherwise idle connections would keep the last descriptors for good: eviction
   * happens only when a connection is accepted, which is impossible without a descriptor, so
   * neither callers nor operators nor the worker pool's next link could connect.
   */
  private void lowerConnectionLimit() {
    try (FileInputStream probe = new FileInputStream("/dev/null")) {
      return; // a descriptor is available; the failure had another cause
    } catch (IOException none) {
      int lowered = Math.max(1, openConnections.size() - RESERVED_DESCRIPTORS);
      if (lowered < maxConnections) {
        maxConnections = lowered;
        Logger.warn("{}: no descriptor is left: connection limit lowered to {}", name, lowered);
      }
      sendAway(lowered);
      for (int excess = openConnections.size() - lowered;
          excess > 0 && closeOneClosing();
          excess--) {
        continue;
      }
    }
  }

  /** Enforces the deadlines of all connections, rejected ones included. */
  private void pollConnections() {
    long now = System.nanoTime();
    openConnections.forEach(each -> each.checkDeadlines(now, isStopping));
    rejected.removeIf(
        each -> {
          boolean hasInput = each.discardOnce(REJECTED_READ_MS);
          if (!hasInput) {
            each.close();
          }
          return !hasInput;
        });
  }

  private void register(Socket socket) throws IOException {
    Connection connection;
    try {
      socket.setTcpNoDelay(true);
      connection = new Connection(socket, frontend);
    } catch (IOException | RuntimeException | Error e) {
      BoundedReader.closeQuietly(socket); // the peer has disconnected, or memory is short
      throw e;
    }
    if (openConnections.size() >= maxConnections && !evictOne()) {
      reject(connection);
      return;
    }
    openConnections.add(connection);
    counters.add(Count.CONNECTIONS);
    if (isStopping) {
      // A peer accepted after goAway() would not get the go-away message otherwise.
      requestGoAway(connection, Connection.SHORT_GO_AWAY_MS);
    }
    try {
      connectionThreads.execute(() -> serve(connection));
    } catch (RuntimeException | Error noThread) {
      openConnections.remove(connection);
      reject(connection);
      throw noThread;
    }
  }

  /**
   * Rejects a connection, to limit descriptors and threads: no request is read from it, and the
   * peer is sent the go-away message.
   */
  private void reject(Connection connection) {
    counters.add(Count.CONNECTIONS_REJECTED);
    connection.goAway();
    connection.finish();
    rejected.add(connection);
    if (rejected.size() > maxClosing / 2) {
      rejected.poll().close();
    }
  }

  /**
   * Rank of a connection for eviction; the lowest is evicted first, among equals the one idle
   * longest. Who sends more than its share, at the cost of others, goes before who waits.
   */
  @SuppressWarnings("EnumOrdinal") // a rank; Merit is declared in ascending order
  private static int evictionRank(Connection each, long now) {
    long idleNanos = now - each.lastMessageNanos();
    boolean isSilent = each.merit() == Merit.SILENT;
    if (isSilent && idleNanos > FIRST_MESSAGE_NANOS) {
      return 0;
    }
    if (each.isOverShare(now)) {
      return 1;
    }
    return !isSilent && idleNanos > IDLE_NANOS ? 2 : 3 + each.merit().ordinal();
  }

  /**
   * Evicts the connection that is least likely to be used again; false if each has requests in
   * flight. Otherwise silent peers, or peers that send one request and stay connected, could keep
   * front ends from connecting. A peer that takes two seconds for its first request is not closed
   * before peers that already have their answer. A peer whose process was paused may send a request
   * while its connection is being closed. To lose no such request, a peer that has sent messages is
   * first sent the go-away message, and is closed when it has had time to read it, or when more
   * connections are closing than the limit allows.
   */
  private boolean evictOne() {
    if (closeOneNotReading()) {
      return true;
    }
    int closingCount = closingConnections().size();
    if (openConnections.size() - closingCount < maxConnections) {
      return closingCount < maxClosing || closeOneClosing();
    }
    Set<Connection> considered = new HashSet<>();
    long now = System.nanoTime();
    for (int attempts = 0; attempts < MAX_EVICTION_ATTEMPTS; attempts++) {
      Connection candidate = null;
      for (Connection each : openConnections) {
        if (each.phase() == Phase.OPEN
            && each.inFlight() == 0
            && !considered.contains(each)
            && (candidate == null
                || evictionRank(each, now) < evictionRank(candidate, now)
                || (evictionRank(each, now) == evictionRank(candidate, now)
                    && each.lastMessageNanos() < candidate.lastMessageNanos()))) {
          candidate = each;
        }
      }
      if (candidate == null) {
        return false;
      }
      considered.add(candidate);
      boolean isSilent = candidate.merit() == Merit.SILENT;
      if ((!isSilent || candidate.isSafeToClose())
          && (closingCount < maxClosing || closeOneClosing())) {
        counters.add(Count.CONNECTIONS_EVICTED);
        if (isSilent) {
          // Sent on this thread: the peer was sent nothing but a few errors, so the message fits
          // the socket's send buffer. Otherwise new connections with requests would be rejected
          // while the go-away messages to silent peers are still queued.
          candidate.goAway();
          candidate.finish(); // the client treats a first request sent meanwhile as failed
        } else {
          requestGoAway(candidate, Connection.DEFAULT_GO_AWAY_MS);
        }
        return true;
      }
    }
    return false;
  }

  /**
   * Closes one connection whose peer has not read its answers for some time. At the connection
   * limit it is not given as long as otherwise: a peer that reads its answers never leaves so many
   * unread that a write must wait.
   */
  private boolean closeOneNotReading() {
    long now = System.nanoTime();
    for (Connection each : openConnections) {
      if (each.closeIfNotReading(now)) {
        counters.add(Count.CONNECTIONS_EVICTED);
        openConnections.remove(each);
        return true;
      }
    }
    return false;
  }

  private List<Connection> closingConnections() {
    return openConnections.stream().filter(each -> each.phase() != Phase.OPEN).toList();
  }

  /**
   * Closes the first closing connection with which nothing is lost, half-closed ones before others.
   */
  private boolean closeOneClosing() {
    Connection first =
        closingConnections().stream()
            .filter(Connection::isSafeToClose)
            .min(
                Comparator.comparing(Connection::phase)
                    .reversed()
                    .thenComparing(Connection::lastMessageNanos))
            .orElse(null);
    if (first == null) {
      return false;
    }
    first.finish();
    openConnections.remove(first);
    first.logClose(name, "connection limit reached");
    first.close();
    return true;
  }

  /**
   * Sends the go-away message to all connections above {@code remaining}, lowest rank first.
   * Requests under way are not lost, and silent connections end by themselves.
   */
  public void sendAway(int remaining) {
    long now = System.nanoTime();
    openConnections.stream()
        .filter(each -> each.merit() != Merit.SILENT && each.inFlight() == 0)
        .sorted(
            Comparator.comparingInt((Connection each) -> evictionRank(each, now))
                .thenComparing(Connection::lastMessageNanos))
        .limit(Math.max(0, openConnections.size() - remaining))
        .forEach(each -> requestGoAway(each, Connection.SHORT_GO_AWAY_MS));
  }

  /** Sends all peers the go-away message; each connection closes once it is answered and quiet. */
  public void goAway() {
    openConnections.forEach(each -> requestGoAway(each, Connection.SHORT_GO_AWAY_MS));
  }

  /**
   * Sends the go-away message on another thread, so that a peer that does not read delays neither
   * the accept thread nor the end of the process. Such a peer is closed like any other that does
   * not read.
   */
  private void requestGoAway(Connection connection, int millis) {
    if (connection.beginGoAway(millis)) {
      try {
        goAwayThreads.execute(connection::sendGoAway);
      } catch (RejectedExecutionException closed) {
        connection.close(); // the server has been closed meanwhile
      }
    }
  }

  /** Accepts no further request; each connection ends once its answers are written. */
  public void finish() {
    openConnections.forEach(
        each -> {
          requestGoAway(each, Connection.SHORT_GO_AWAY_MS);
          each.finish();
        });
  }

  private void serve(Connection connection) {
    String reason = "the peer disconnected or was sent the go-away message";
    try {
      frontend.serve(connection);
    } catch (MalformedException e) {
      reason = "malformed input";
      counters.add(Count.MALFORMED);
      warn("malformed input, connection closed: " + e.getMessage());
    } catch (SocketTimeoutException e) {
      reason = "incomplete message timed out";
      counters.add(Count.CONNECTIONS_STALLED);
    } catch (IOException e) {
      reason = e.toString();
    } catch (RuntimeException | Error e) {
      reason = e.toString();
      warn("connection closed after an internal error: " + e);
    } finally {
      release(connection, reason);
    }
  }

  private void release(Connection connection, String reason) {
    try {
      connection.finishAndAwaitPeer();
    } finally {
      if (connection.isPeerNotReading()) {
        counters.add(Count.CONNECTIONS_UNREAD);
        warn("peer does not read its answers, connection closed");
      }
      openConnections.remove(connection);
      connection.logClose(name, reason);
      connection.closeAndNotify();
    }
  }

  private void warn(String event) {
    if (logLimiter.tryAcquire(System.nanoTime())) {
      Logger.warn("{}: {}", name, event);
    }
  }

  /** Accepts the connections that are queued, then stops listening; open connections continue. */
  public void stopListening() {
    isStopping = true;
    try {
      backlogDrained.await(POLL_MS + 2 * BACKLOG_DRAIN_NANOS / 1_000_000, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    BoundedReader.closeQuietly(listener);
  }

  @Override
  public void close() {
    stopListening();
    isShutDown = true;
    openConnections.forEach(Connection::close);
    connectionThreads.shutdown();
    goAwayThreads.shutdownNow();
  }
}
