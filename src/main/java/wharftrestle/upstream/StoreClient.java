package wharftrestle.upstream;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.DependencyCall;
import wharftrestle.request.DependencyCallListener;
import wharftrestle.request.DependencyClient;
import wharftrestle.request.PlatformThreads;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Server;

/**
 * HTTP/1.1 client of the store, with a pool of connections and one call at a time on each. It
 * reports the outcome of each call to its listener, on a thread of the pool. A call is reported as
 * never started only if nothing was sent or the store states it with Never-Started: 1. It is never
 * repeated by this class, and its response is passed on only if fully understood. Thread-safe.
 */
public final class StoreClient implements DependencyClient {
  private static final int MAX_CONCURRENT_CALLS = 32;
  private static final int MAX_LINE_BYTES = 256;
  private static final int MAX_HEADERS = 16;

  /**
   * Bytes of all headers of a response, interim ones included; each header may arrive in a packet
   * of its own, which costs far more than its bytes.
   */
  private static final int MAX_HEAD_BYTES = 1024;

  /** Interim (1xx) responses allowed before a response. */
  private static final int MAX_INTERIM_RESPONSES = 8;

  private static final int MAX_BODY_BYTES = 64 * 1024;

  /** Maximum number of idle connections; the most recently used is reused first. */
  private static final int MAX_IDLE_CONNECTIONS = 16;

  /**
   * Idle connections are not reused after this time: the store closes them after 10 s at the
   * latest, and devices in between may drop them sooner.
   */
  private static final long MAX_IDLE_NANOS = 400_000_000L;

  /** Connections idle for less than this are reused without the check, which takes up to 1 ms. */
  private static final long UNCHECKED_IDLE_NANOS = 50_000_000L;

  /**
   * Milliseconds after the call's timeout within which the store may still report the timeout
   * itself.
   */
  private static final int RESPONSE_GRACE_MS = 20;

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?");
  private static final Pattern HEADER_NAME = Pattern.compile("[A-Za-z0-9_-]+");

  private volatile InetSocketAddress address;
  private final Counters counters;
  private final int maxConnections;
  private final ThreadPoolExecutor threads;
  private final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();

  private static final class PooledConnection {
    final InetSocketAddress target;
    final Socket socket;
    final InputStream in;
    final BoundedReader.DeadlineInputStream deadlineInput;
    long lastUsedNanos;

    PooledConnection(InetSocketAddress target, Socket socket) throws IOException {
      this.target = target;
      this.socket = socket;
      deadlineInput = new BoundedReader.DeadlineInputStream(socket);
      in = new BufferedInputStream(deadlineInput, 4096);
    }

    /**
     * Returns false if the peer has closed the connection, or if unexpected bytes are waiting on
     * it.
     */
    boolean isReusable(long idleNanos) {
      try {
        if (in.available() > 0) {
          return false;
        }
        if (idleNanos < UNCHECKED_IDLE_NANOS) {
          return true;
        }
        deadlineInput.setDeadlineNanos(System.nanoTime() + 1_000_000);
        in.read();
        return false;
      } catch (SocketTimeoutException timeout) {
        return true;
      } catch (IOException e) {
        return false;
      }
    }
  }

  private record Response(Outcome outcome, byte[] body, boolean keep) {}

  /** A call in progress; cancelling it closes its connection. */
  private final class Call implements DependencyCall {
    private final String reference;
    private final byte[] body;
    private final boolean isIdempotent;
    private final long deadlineNanos;
    private final DependencyCallListener listener;
    private Socket socket;
    private boolean isCancelled;

    Call(
        String reference,
        byte[] body,
        long timeoutMillis,
        boolean isIdempotent,
        DependencyCallListener listener) {
      this.reference = reference;
      this.body = body;
      this.isIdempotent = isIdempotent;
      this.deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
      this.listener = listener;
    }

    private synchronized void attach(Socket current) throws IOException {
      socket = current;
      if (isCancelled) {
        throw new IOException("call cancelled");
      }
    }

    private synchronized boolean detach() {
      socket = null;
      return !isCancelled;
    }

    @Override
    public synchronized void cancel() {
      isCancelled = true;
      BoundedReader.closeQuietly(socket);
    }

    void run() {
      Response response;
      try {
        response = exchange();
      } catch (RuntimeException | Error fault) {
        // After an internal error the execution must not stay blocked on its call until its
        // deadline.
        Logger.error(fault, "store call failed with an internal error");
        response = new Response(Outcome.BROKEN, null, false);
      }
      if (detach()) {
        listener.onCompleted(response.outcome(), response.body());
      }
    }

    private Response exchange() {
      if (System.nanoTime() >= deadlineNanos) {
        return new Response(
            Outcome.TIMED_OUT, null, false); // timed out while it waited for a thread
      }
      // A connection may have ended, or been dropped by a device in between, while it was idle.
      // That cannot be detected before the call, and a reset does not prove that the call never
      // ran, so calls that must not be repeated use a new connection.
      PooledConnection connection = isIdempotent ? takeIdle() : null;
      try {
        if (connection == null) {
          InetSocketAddress target = address;
          if (target == null) {
            return new Response(Outcome.UNREACHABLE, null, false);
          }
          evictIdle();
          Socket newSocket = new Socket();
          attach(newSocket);
          newSocket.setTcpNoDelay(true);
          newSocket.connect(target, millisUntil(deadlineNanos));
          connection = new PooledConnection(target, newSocket);
        } else {
          attach(connection.socket);
        }
      } catch (IOException e) {
        // Nothing was sent: the connection was refused or not established in time, so the call
        // never ran.
        closeIdle();
        BoundedReader.closeQuietly(socket);
        return new Response(Outcome.UNREACHABLE, null, false);
      }
      Response response;
      try {
        connection.deadlineInput.setDeadlineNanos(deadlineNanos + RESPONSE_GRACE_MS * 1_000_000L);
        connection
            .socket
            .getOutputStream()
            .write(
                BoundedReader.join(
                    BoundedReader.ascii(
                        "POST /v1/exec HTTP/1.1\r\nHost: db\r\n"
                            + "Request-Ref: "
                            + reference
                            + "\r\nStatement-Timeout-Ms: "
                            + millisUntil(deadlineNanos)
                            + "\r\nContent-Length: "
                            + body.length
                            + "\r\n\r\n"),
                    body));
        response = readResponse(connection.in);
      } catch (SocketTimeoutException timeout) {
        response = new Response(Outcome.TIMED_OUT, null, false);
      } catch (Server.MalformedException e) {
        counters.add(Count.UNREADABLE_RESPONSES);
        Logger.debug("store call: {}", e.getMessage());
        response = new Response(Outcome.BROKEN, null, false);
      } catch (IOException e) {
        Logger.debug("store call: {}", e.getMessage());
        response = new Response(Outcome.BROKEN, null, false);
      }
      if (!response.keep() || !detach() || !returnToPool(connection)) {
        BoundedReader.closeQuietly(connection.socket);
      }
      return response;
    }
  }

  /**
   * @param address of the store; null if there is none: each call then ends as UNREACHABLE
   * @param maxConnections limit of connections, in use or idle
   */
  public StoreClient(InetSocketAddress address, int maxConnections, Counters counters) {
    this.address = address;
    this.maxConnections = maxConnections;
    this.counters = counters;
    int calls = Math.min(MAX_CONCURRENT_CALLS, maxConnections);
    threads =
        new ThreadPoolExecutor(
            calls,
            calls,
            5,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            task -> PlatformThreads.thread("store", task));
    threads.allowCoreThreadTimeOut(true);
  }

  /** Sets the address for new calls; calls in progress end on their connections. */
  public void moveTo(InetSocketAddress next) {
    address = next;
    closeIdle();
  }

  @Override
  public DependencyCall call(
      String reference,
      byte[] body,
      long timeoutMillis,
      boolean isIdempotent,
      DependencyCallListener listener) {
    Call call = new Call(reference, body, timeoutMillis, isIdempotent, listener);
    threads.execute(call::run);
    return call;
  }

  private static int millisUntil(long deadlineNanos) {
    return (int) Math.max(1, (deadlineNanos - System.nanoTime()) / 1_000_000);
  }

  private PooledConnection takeIdle() {
    for (; ; ) {
      PooledConnection connection;
      synchronized (idle) {
        connection = idle.poll();
      }
      if (connection == null) {
        return null;
      }
      long idleNanos = System.nanoTime() - connection.lastUsedNanos;
      if (idleNanos < MAX_IDLE_NANOS
          && connection.target.equals(address)
          && connection.isReusable(idleNanos)) {
        return connection;
      }
      BoundedReader.closeQuietly(connection.socket);
    }
  }

  /**
   * Keeps a connection for the next call; false if the address has changed and it must be closed.
   */
  private boolean returnToPool(PooledConnection connection) {
    connection.lastUsedNanos = System.nanoTime();
    synchronized (idle) {
      if (!connection.target.equals(address)) {
        return false;
      }
      idle.push(connection);
      while (idle.size() > MAX_IDLE_CONNECTIONS
          || connection.lastUsedNanos - idle.peekLast().lastUsedNanos > MAX_IDLE_NANOS) {
        BoundedReader.closeQuietly(idle.pollLast().socket);
      }
    }
    return true;
  }

  /** Closes idle connections, so that a new one stays within the limit. */
  private void evictIdle() {
    synchronized (idle) {
      while (!idle.isEmpty() && idle.size() + threads.getActiveCount() > maxConnections) {
        BoundedReader.closeQuietly(idle.pollLast().socket);
      }
    }
  }

  private void closeIdle() {
    synchronized (idle) {
      idle.forEach(connection -> BoundedReader.closeQuietly(connection.socket));
      idle.clear();
    }
  }

  /**
   * Reads one response. A head that is not fully understood, or a length that is missing, repeated
   * or contradicted, says nothing reliable about the body; the call then fails, so that an
   * execution never gets bytes that no call returned.
   */
  private static Response readResponse(InputStream in) throws IOException {
    int[] remainingHeadBytes = {MAX_HEAD_BYTES};
    for (int interim = 0; interim <= MAX_INTERIM_RESPONSES; interim++) {
      String status = readLine(in, remainingHeadBytes);
      if (!STATUS_LINE.matcher(status).matches()) {
        throw new Server.MalformedException("malformed status line of the store");
      }
      int code = Integer.parseInt(status.substring(9, 12));
      Map<String, String> headers = readHeaders(in, remainingHeadBytes);
      if ((code > 101 && code < 200) || code == 100) {
        continue; // interim response
      }
      String length = headers.get("content-length");
      String neverStartedField = headers.getOrDefault("never-started", "0");
      if (length == null
          || headers.containsKey("transfer-encoding")
          || (!neverStartedField.equals("0") && !neverStartedField.equals("1"))) {
        throw new Server.MalformedException(
            "store response without a plain Content-Length, or with an invalid Never-Started");
      }
      byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, MAX_BODY_BYTES));
      boolean keep =
          in.available() == 0 && !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
      return new Response(toOutcome(code, neverStartedField.equals("1")), body, keep);
    }
    throw new Server.MalformedException("too many interim responses of the store");
  }

  private static String readLine(InputStream in, int[] remainingHeadBytes) throws IOException {
    String line = BoundedReader.line(in, Math.min(remainingHeadBytes[0], MAX_LINE_BYTES));
    remainingHeadBytes[0] -= line.length() + 2;
    return line;
  }

  private static Map<String, String> readHeaders(InputStream in, int[] remainingHeadBytes)
      throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in, remainingHeadBytes);
        !line.isEmpty();
        line = readLine(in, remainingHeadBytes)) {
      int colon = line.indexOf(':');
      if (colon < 1
          || headers.size() >= MAX_HEADERS
          || !HEADER_NAME.matcher(line.substring(0, colon)).matches()) {
        throw new Server.MalformedException("malformed or too many headers of the store");
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      if (headers.put(name, line.substring(colon + 1).trim()) != null
          && (name.equals("content-length") || name.equals("never-started"))) {
        throw new Server.MalformedException("store header repeated: " + name);
      }
    }
    return headers;
  }

  /**
   * Maps a status to an outcome. A response without Never-Started: 1 does not prove that the call
   * never ran.
   */
  private static Outcome toOutcome(int status, boolean neverStarted) throws IOException {
    if (status == 200 && neverStarted) {
      throw new Server.MalformedException("store sent status 200 together with Never-Started: 1");
    }
    return switch (status) {
      case 200 -> Outcome.SUCCESS;
      case 503 -> neverStarted ? Outcome.OVERLOADED : Outcome.FAILURE;
      case 409 -> neverStarted ? Outcome.VOID : Outcome.FAILURE;
      case 504 -> Outcome.TIMED_OUT;
      case 500 -> Outcome.FAILURE;
      default -> throw new Server.MalformedException("unexpected status of the store: " + status);
    };
  }
}
