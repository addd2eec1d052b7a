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
 * Owns the connections to the store: HTTP/1.1, one call at a time on each, kept for the next while
 * fresh. It tells how each call ended and must never call a call unrun without proof, nor repeat
 * one by itself, nor hand on a reply that it cannot be sure of.
 */
public final class StoreClient implements DependencyClient {
  private static final int MOST_CALLS = 32;
  private static final int LONGEST_LINE = 256;
  private static final int MOST_HEADERS = 16;

  /**
   * Bytes of all heads of a reply: each may come in a packet of its own, which costs far more than
   * it says.
   */
  private static final int LONGEST_HEAD = 1024;

  /** Answers with 1xx that may come ahead of a reply. */
  private static final int MOST_INTERIM = 8;

  private static final int LONGEST_REPLY = 64 * 1024;

  /** Idle connections kept at most; the one used last goes first. */
  private static final int MOST_IDLE = 16;

  /**
   * The store closes idle ones at 10 s at the latest, and what lies between may forget them sooner.
   */
  private static final long FRESH_NANOS = 400_000_000L;

  /**
   * Idle for less than this, a connection is taken as it is: a look for its end costs a
   * millisecond.
   */
  private static final long HOT_NANOS = 50_000_000L;

  /** Milliseconds past the call's limit in which the store's own word of it may come. */
  private static final int GRACE_MS = 20;

  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 [1-5][0-9][0-9]( .*)?");
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_-]+");

  private volatile InetSocketAddress address;
  private final Counters counters;
  private final int most;
  private final ThreadPoolExecutor threads;
  private final ArrayDeque<Link> idle = new ArrayDeque<>();

  private static final class Link {
    final InetSocketAddress to;
    final Socket socket;
    final InputStream in;
    final BoundedReader.Timed timed;
    long usedAt;

    Link(InetSocketAddress to, Socket socket) throws IOException {
      this.to = to;
      this.socket = socket;
      timed = new BoundedReader.Timed(socket);
      in = new BufferedInputStream(timed, 4096);
    }

    /**
     * Guards against a call on a connection that has ended, or on which bytes lie that nobody asked
     * for.
     */
    boolean usable(long age) {
      try {
        if (in.available() > 0) {
          return false;
        }
        if (age < HOT_NANOS) {
          return true;
        }
        timed.until(System.nanoTime() + 1_000_000);
        in.read();
        return false;
      } catch (SocketTimeoutException quiet) {
        return true;
      } catch (IOException e) {
        return false;
      }
    }
  }

  private record Reply(Outcome outcome, byte[] body, boolean keep) {}

  /** A call under way; abandoning it closes its connection. */
  private final class Running implements DependencyCall {
    private final String ref;
    private final byte[] body;
    private final boolean again;
    private final long until;
    private final DependencyCallListener end;
    private Socket socket;
    private boolean abandoned;

    Running(String ref, byte[] body, long timeoutMs, boolean again, DependencyCallListener end) {
      this.ref = ref;
      this.body = body;
      this.again = again;
      this.until = System.nanoTime() + timeoutMs * 1_000_000;
      this.end = end;
    }

    private synchronized void uses(Socket mine) throws IOException {
      socket = mine;
      if (abandoned) {
        throw new IOException("abandoned");
      }
    }

    private synchronized boolean done() {
      socket = null;
      return !abandoned;
    }

    @Override
    public synchronized void cancel() {
      abandoned = true;
      BoundedReader.closeQuietly(socket);
    }

    void run() {
      Reply reply;
      try {
        reply = exchange();
      } catch (RuntimeException | Error fault) {
        // Guards against a fault of ours keeping a run at its call until it is due.
        Logger.error(fault, "store call");
        reply = new Reply(Outcome.BROKEN, null, false);
      }
      if (done()) {
        end.onCompleted(reply.outcome(), reply.body());
      }
    }

    private Reply exchange() {
      if (System.nanoTime() >= until) {
        return new Reply(Outcome.TIMED_OUT, null, false); // while it waited for a thread
      }
      // Guards against losing a call that may not be made again to a connection that has ended, or
      // was
      // forgotten, while it was idle: nothing tells before the call, and its reset proves nothing.
      Link link = again ? fresh() : null;
      try {
        if (link == null) {
          InetSocketAddress to = address;
          if (to == null) {
            return new Reply(Outcome.UNREACHABLE, null, false);
          }
          makeRoom();
          Socket made = new Socket();
          uses(made);
          made.setTcpNoDelay(true);
          made.connect(to, millisTo(until));
          link = new Link(to, made);
        } else {
          uses(link.socket);
        }
      } catch (IOException e) {
        // Nothing was sent. Refused at once or not reached in time, the call never ran.
        forgetIdle();
        BoundedReader.closeQuietly(socket);
        return new Reply(Outcome.UNREACHABLE, null, false);
      }
      Reply reply;
      try {
        link.timed.until(until + GRACE_MS * 1_000_000L);
        link.socket
            .getOutputStream()
            .write(
                BoundedReader.join(
                    BoundedReader.ascii(
                        "POST /v1/exec HTTP/1.1\r\nHost: db\r\n"
                            + "Request-Ref: "
                            + ref
                            + "\r\nStatement-Timeout-Ms: "
                            + millisTo(until)
                            + "\r\nContent-Length: "
                            + body.length
                            + "\r\n\r\n"),
                    body));
        reply = read(link.in);
      } catch (SocketTimeoutException late) {
        reply = new Reply(Outcome.TIMED_OUT, null, false);
      } catch (Server.MalformedException spoilt) {
        counters.add(Count.UNREADABLE_RESPONSES);
        Logger.debug("store call: {}", spoilt.getMessage());
        reply = new Reply(Outcome.BROKEN, null, false);
      } catch (IOException e) {
        Logger.debug("store call: {}", e.getMessage());
        reply = new Reply(Outcome.BROKEN, null, false);
      }
      if (!reply.keep() || !done() || !retain(link)) {
        BoundedReader.closeQuietly(link.socket);
      }
      return reply;
    }
  }

  /**
   * @param address null at a site whose runs call nothing: a call that is asked for all the same
   *     never ran
   * @param most connections, under way or idle
   */
  public StoreClient(InetSocketAddress address, int most, Counters counters) {
    this.address = address;
    this.most = most;
    this.counters = counters;
    int calls = Math.min(MOST_CALLS, most);
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

  /** New calls go to the new address; those under way end where they are. */
  public void moveTo(InetSocketAddress next) {
    address = next;
    forgetIdle();
  }

  @Override
  public DependencyCall call(
      String ref, byte[] body, long timeoutMs, boolean again, DependencyCallListener end) {
    Running call = new Running(ref, body, timeoutMs, again, end);
    threads.execute(call::run);
    return call;
  }

  private static int millisTo(long until) {
    return (int) Math.max(1, (until - System.nanoTime()) / 1_000_000);
  }

  private Link fresh() {
    for (; ; ) {
      Link link;
      synchronized (idle) {
        link = idle.poll();
      }
      if (link == null) {
        return null;
      }
      long age = System.nanoTime() - link.usedAt;
      if (age < FRESH_NANOS && link.to.equals(address) && link.usable(age)) {
        return link;
      }
      BoundedReader.closeQuietly(link.socket);
    }
  }

  /** Keeps a connection for the next call; false where it is of no further use. */
  private boolean retain(Link link) {
    link.usedAt = System.nanoTime();
    synchronized (idle) {
      if (!link.to.equals(address)) {
        return false;
      }
      idle.push(link);
      while (idle.size() > MOST_IDLE || link.usedAt - idle.peekLast().usedAt > FRESH_NANOS) {
        BoundedReader.closeQuietly(idle.pollLast().socket);
      }
    }
    return true;
  }

  /** Guards against more connections than this part may have: idle ones go for a new one. */
  private void makeRoom() {
    synchronized (idle) {
      while (!idle.isEmpty() && idle.size() + threads.getActiveCount() > most) {
        BoundedReader.closeQuietly(idle.pollLast().socket);
      }
    }
  }

  private void forgetIdle() {
    synchronized (idle) {
      idle.forEach(link -> BoundedReader.closeQuietly(link.socket));
      idle.clear();
    }
  }

  /**
   * One reply. Guards against a run being given what no call returned: a head that is not wholly
   * understood, or a length that is missing, told twice or contradicted, says nothing about the
   * body.
   */
  private static Reply read(InputStream in) throws IOException {
    int[] room = {LONGEST_HEAD};
    for (int interim = 0; interim <= MOST_INTERIM; interim++) {
      String status = line(in, room);
      if (!STATUS.matcher(status).matches()) {
        throw new Server.MalformedException("store status line");
      }
      int code = Integer.parseInt(status.substring(9, 12));
      Map<String, String> headers = headers(in, room);
      if ((code > 101 && code < 200) || code == 100) {
        continue; // ahead of the reply proper
      }
      String length = headers.get("content-length");
      String never = headers.getOrDefault("never-started", "0");
      if (length == null
          || headers.containsKey("transfer-encoding")
          || (!never.equals("0") && !never.equals("1"))) {
        throw new Server.MalformedException("store reply without a plain length");
      }
      byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, LONGEST_REPLY));
      boolean keep =
          in.available() == 0 && !headers.getOrDefault("connection", "").equalsIgnoreCase("close");
      return new Reply(outcome(code, never.equals("1")), body, keep);
    }
    throw new Server.MalformedException("store replies ahead without an end");
  }

  private static String line(InputStream in, int[] room) throws IOException {
    String line = BoundedReader.line(in, Math.min(room[0], LONGEST_LINE));
    room[0] -= line.length() + 2;
    return line;
  }

  private static Map<String, String> headers(InputStream in, int[] room) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in, room); !line.isEmpty(); line = line(in, room)) {
      int colon = line.indexOf(':');
      if (colon < 1
          || headers.size() >= MOST_HEADERS
          || !NAME.matcher(line.substring(0, colon)).matches()) {
        throw new Server.MalformedException("store headers");
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      if (headers.put(name, line.substring(colon + 1).trim()) != null
          && (name.equals("content-length") || name.equals("never-started"))) {
        throw new Server.MalformedException("store header told twice: " + name);
      }
    }
    return headers;
  }

  /** Only a reply that says so proves that a call never ran. */
  private static Outcome outcome(int status, boolean neverStarted) throws IOException {
    if (status == 200 && neverStarted) {
      throw new Server.MalformedException("store contradicts itself");
    }
    return switch (status) {
      case 200 -> Outcome.SUCCESS;
      case 503 -> neverStarted ? Outcome.OVERLOADED : Outcome.FAILURE;
      case 409 -> neverStarted ? Outcome.VOID : Outcome.FAILURE;
      case 504 -> Outcome.TIMED_OUT;
      case 500 -> Outcome.FAILURE;
      default -> throw new Server.MalformedException("store status " + status);
    };
  }
}
