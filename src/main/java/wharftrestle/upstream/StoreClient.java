package wharftrestle.upstream;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.io.BoundedTransfers;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.DependencyCall;
import wharftrestle.request.DependencyCallListener;
import wharftrestle.request.DependencyClient;
import wharftrestle.request.PlatformThreads;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.Server;

/**
 * HTTP/1.1 client of the store. It reports the outcome of each call to its listener, on a thread of
 * its pool. A call is reported as never started only if nothing was sent or the store states it
 * with Never-Started: 1. It is never repeated by this class, and its response is passed on only if
 * fully understood. Thread-safe.
 *
 * <p>Each call has a connection of its own. HTTP/1.1 matches responses to requests by their order
 * alone (RFC 9112, 9.3): on a connection used again, whatever the store sent behind one response
 * would be read as the response to the next call, however late it arrives.
 */
public final class StoreClient implements DependencyClient {
  private static final int MAX_CONCURRENT_CALLS = 32;
  private static final int THREAD_IDLE_SECONDS = 5;
  private static final int READ_BUFFER_BYTES = 4096;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Milliseconds after the call's timeout within which the store may still report the timeout
   * itself.
   */
  private static final int RESPONSE_GRACE_MS = 20;

  private volatile InetSocketAddress address;
  private final Counters counters;
  private final ThreadPoolExecutor threads;

  /** A call in progress; cancelling it closes its connection. */
  private final class Call implements DependencyCall {
    private final String reference;
    private final byte[] body;
    private final long deadlineNanos;
    private final DependencyCallListener listener;
    private Socket connection;
    private boolean isCancelled;

    Call(String reference, byte[] body, long timeoutMillis, DependencyCallListener listener) {
      this.reference = reference;
      this.body = body;
      this.deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
      this.listener = listener;
    }

    private synchronized void attach(Socket socket) throws IOException {
      connection = socket;
      if (isCancelled) {
        throw new IOException("call cancelled");
      }
    }

    private synchronized boolean detach() {
      connection = null;
      return !isCancelled;
    }

    @Override
    public synchronized void cancel() {
      isCancelled = true;
      BoundedReader.closeQuietly(connection);
    }

    void run() {
      StoreResponse response;
      try {
        response = connectAndExchange();
      } catch (RuntimeException | Error fault) {
        // After an internal error the execution must not stay blocked on its call until its
        // deadline.
        Logger.error(fault, "store call failed with an internal error");
        response = StoreResponse.none(Outcome.BROKEN);
      }
      if (detach()) {
        listener.onCompleted(response.outcome(), response.body());
      }
    }

    private StoreResponse connectAndExchange() {
      if (System.nanoTime() >= deadlineNanos) {
        return StoreResponse.none(Outcome.TIMED_OUT); // while it waited for a thread
      }
      InetSocketAddress target = address;
      if (target == null) {
        return StoreResponse.none(Outcome.UNREACHABLE);
      }
      Socket socket = new Socket();
      try {
        if (!connect(socket, target)) {
          return StoreResponse.none(Outcome.UNREACHABLE);
        }
        return exchange(socket);
      } finally {
        BoundedReader.closeQuietly(socket);
      }
    }

    /**
     * Returns false if the connection was refused or not established in time: nothing was sent, so
     * the call never ran.
     */
    private boolean connect(Socket socket, InetSocketAddress target) {
      try {
        attach(socket);
        socket.setTcpNoDelay(true);
        socket.connect(target, millisUntil(deadlineNanos));
        return true;
      } catch (IOException e) {
        Logger.debug("store connection: {}", e.getMessage());
        return false;
      }
    }

    private StoreResponse exchange(Socket socket) {
      try {
        BoundedReader.DeadlineInputStream in = new BoundedReader.DeadlineInputStream(socket);
        in.setDeadlineNanos(deadlineNanos + RESPONSE_GRACE_MS * NANOS_PER_MILLI);
        BoundedTransfers.write(socket.getOutputStream(), BoundedReader.join(encodeHead(), body));
        return StoreResponse.read(new BufferedInputStream(in, READ_BUFFER_BYTES));
      } catch (SocketTimeoutException timeout) {
        return StoreResponse.none(Outcome.TIMED_OUT);
      } catch (Server.MalformedException e) {
        counters.add(Count.UNREADABLE_RESPONSES);
        Logger.debug("store call: {}", e.getMessage());
        return StoreResponse.none(Outcome.BROKEN);
      } catch (IOException e) {
        Logger.debug("store call: {}", e.getMessage());
        return StoreResponse.none(Outcome.BROKEN);
      }
    }

    private byte[] encodeHead() {
      return BoundedReader.ascii(
          "POST /v1/exec HTTP/1.1\r\nHost: db\r\nConnection: close\r\nRequest-Ref: "
              + reference
              + "\r\nStatement-Timeout-Ms: "
              + millisUntil(deadlineNanos)
              + "\r\nContent-Length: "
              + body.length
              + "\r\n\r\n");
    }
  }

  /**
   * @param address of the store; null if there is none: each call then ends as UNREACHABLE
   * @param maxConnections limit of connections
   */
  public StoreClient(InetSocketAddress address, int maxConnections, Counters counters) {
    this.address = address;
    this.counters = counters;
    int calls = Math.min(MAX_CONCURRENT_CALLS, maxConnections);
    threads =
        new ThreadPoolExecutor(
            calls,
            calls,
            THREAD_IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(),
            task -> PlatformThreads.thread("store", task));
    threads.allowCoreThreadTimeOut(true);
  }

  /** Sets the address for new calls; calls in progress end on their connections. */
  public void moveTo(InetSocketAddress next) {
    address = next;
  }

  @Override
  public DependencyCall call(
      String reference, byte[] body, long timeoutMillis, DependencyCallListener listener) {
    Call call = new Call(reference, body, timeoutMillis, listener);
    threads.execute(call::run);
    return call;
  }

  private static int millisUntil(long deadlineNanos) {
    return (int) Math.max(1, (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLI);
  }
}
