package wharftrestle.upstream;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import org.tinylog.Logger;
import wharftrestle.admission.Admission.Outcome;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.request.WorkerPool;
import wharftrestle.transport.BoundedReader;
import wharftrestle.transport.LogRateLimiter;
import wharftrestle.transport.Server;

/**
 * Owns the link to the worker pool: one socket, and a thread that reads notices. Commands are
 * written by who has one, or by who writes already; polls, which may not wait, by a thread of their
 * own. It makes the link anew whenever it breaks, falls silent or moves, binding with the last
 * notice read, and then sends again what may have been lost. It must never tell a notice twice, and
 * never make the core's lock wait for a socket.
 */
public final class WorkerPoolClient implements WorkerPool {
  private static final int LONGEST_LINE = 16 * 1024;
  private static final int LONGEST_BODY = 64 * 1024;
  private static final int RETRY_MS = 50;
  private static final int CONNECT_MS = 2000;

  /**
   * Milliseconds between two polls at most: their answers prove that the link lives and is read.
   */
  private static final int POLL_MS = 250;

  /** Milliseconds without a word from a worker pool that is polled after which the link is cut. */
  private static final int SILENT_MS = 2000;

  /**
   * A break may take with it what was sent up to 50 ms before: an answer later than this proves
   * more.
   */
  private static final long LOSS_NANOS = 150_000_000L;

  /**
   * Seconds by which a start must lie after a notice that was read, to have come after it: clocks
   * and links are late.
   */
  private static final double SURELY_LATER = 1;

  private static final byte[] CRLF = {'\r', '\n'};

  private volatile InetSocketAddress address;
  private final RequestCoordinator core;
  private final Counters counters;

  /** Commands by request that no notice has followed; guarded by itself, with the fields below. */
  private final Map<String, List<Sent>> unproven = new LinkedHashMap<>();

  private Session session;
  private Socket socket;
  private long lastNotice;
  private long noticedAt; // when that was read
  private boolean boundBefore;
  private long binds;

  private record Sent(byte[] command, long at, Session on) {}

  /** One socket's life. */
  private static final class Session {
    final Socket socket;
    final ConcurrentLinkedQueue<byte[]> commands = new ConcurrentLinkedQueue<>();
    private final ReentrantLock writing = new ReentrantLock();
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream(4096);
    private volatile Thread writer;
    volatile boolean bound;
    volatile boolean over;
    private final Map<String, Long> polls = new HashMap<>();
    private long polledAt;
    private long tags;

    Session(Socket socket) {
      this.socket = socket;
    }

    /** A poll whose answer tells up to when all commands were read. */
    synchronized void poll() {
      polledAt = System.nanoTime();
      polls.put("g" + ++tags, polledAt);
      commands.add(line("poll g" + tags));
    }

    /** When the poll of this tag was sent; null where there is none. */
    synchronized Long sentAt(String tag) {
      return polls.remove(tag);
    }

    private synchronized boolean pollDue() {
      return bound && System.nanoTime() - polledAt > POLL_MS * 1_000_000L;
    }

    /**
     * Writes what waits unless another thread is at it, which then writes this too. Saves the hop
     * to a writer's thread, of which each request has several.
     */
    void flush() {
      while (!commands.isEmpty() && !over && writing.tryLock()) {
        try {
          batch.reset();
          for (byte[] next = commands.poll(); next != null; next = commands.poll()) {
            batch.writeBytes(next);
          }
          batch.writeTo(socket.getOutputStream());
        } catch (IOException e) {
          Logger.debug("link: {}", e.getMessage());
          BoundedReader.closeQuietly(socket); // the reader makes the link anew
          return;
        } finally {
          writing.unlock();
        }
      }
    }

    /** Writes the polls, and sends one where none was due for a while. */
    void write() {
      writer = Thread.currentThread();
      while (!over) {
        LockSupport.parkNanos(POLL_MS * 1_000_000L);
        if (pollDue()) {
          poll(); // guards against a link that stays open and says nothing more
        }
        flush();
      }
    }

    void wakeWriter() {
      LockSupport.unpark(writer);
    }

    void close() throws IOException {
      over = true;
      wakeWriter();
      socket.close();
    }
  }

  public WorkerPoolClient(InetSocketAddress address, RequestCoordinator core, Counters counters) {
    this.address = address;
    this.core = core;
    this.counters = counters;
  }

  public void start() {
    PlatformThreads.restartingThread("pool-link", this::keepLinked).start();
  }

  /** True while the worker pool has answered the bind of the present link. */
  public boolean linked() {
    synchronized (unproven) {
      return session != null && session.bound;
    }
  }

  /** Makes the link anew at another address; runs and the numbers of notices go on. */
  public void moveTo(InetSocketAddress next) {
    synchronized (unproven) {
      if (!next.equals(address)) {
        address = next;
        BoundedReader.closeQuietly(socket);
      }
    }
  }

  private void keepLinked() {
    LogRateLimiter lines = new LogRateLimiter(System.nanoTime());
    boolean told = false; // of this outage
    for (; ; ) {
      long began = System.nanoTime();
      try (Socket made = new Socket()) {
        InetSocketAddress to;
        synchronized (unproven) {
          socket = made;
          to = address;
        }
        made.setTcpNoDelay(true);
        made.connect(to, CONNECT_MS);
        told = false;
        counters.add(Count.WORKER_POOL_CONNECTS);
        made.setSoTimeout(boundBefore ? SILENT_MS : 0); // the first bind waits for the worker pool
        Session mine = new Session(made);
        mine.commands.add(line("bind " + lastNotice));
        synchronized (unproven) {
          session = mine;
        }
        try {
          PlatformThreads.thread("pool-write", mine::write).start();
          mine.flush();
          read(mine, new BufferedInputStream(made.getInputStream(), 8192));
        } finally {
          synchronized (unproven) {
            session = null;
          }
          mine.close();
        }
      } catch (IOException | RuntimeException | Error e) {
        // Guards against anything that arrives, or memory for a moment short, ending the link for
        // good.
        if (!told && lines.may(System.nanoTime())) {
          Logger.warn("worker pool link: {}", e.toString());
          told = true;
        }
        if (e instanceof Server.MalformedException) {
          counters.add(Count.MALFORMED);
        }
      }
      try {
        if (System.nanoTime() - began < RETRY_MS * 4_000_000L) {
          Thread.sleep(RETRY_MS);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void read(Session mine, InputStream in) throws IOException {
    String barrier = "b" + ++binds;
    for (; ; ) {
      String[] words = BoundedReader.line(in, LONGEST_LINE).split(" ");
      switch (words[0]) {
        case "bound" -> {
          need(words, 3);
          double ago = BoundedReader.duration(words[2]);
          if (lastNotice > 0 && ago + SURELY_LATER < (System.nanoTime() - noticedAt) / 1e9) {
            // Guards against waiting for runs that no worker pool knows, deaf to notices that begin
            // anew at 1.
            lastNotice = 0;
            synchronized (unproven) {
              unproven.clear();
            }
            core.workerPoolRestarted();
            throw new IOException("the worker pool has started anew since it last said something");
          }
          mine.socket.setSoTimeout(SILENT_MS);
          mine.bound = true;
          core.workerPoolStarted(words[1].equals("new"), ago);
          if (boundBefore) {
            mine.commands.add(line("poll " + barrier));
            mine.flush();
          }
          boundBefore = true;
        }
        case "finished" -> {
          need(words, 5);
          byte[] result = words.length > 5 ? body(words[5], in) : new byte[0];
          if (isNew(words[1])) {
            proven(words[2]);
            core.executionCompleted(
                words[2], outcome(words[3]), BoundedReader.duration(words[4]), result);
          }
        }
        case "blocked" -> {
          need(words, 4);
          byte[] call = body(words[3], in);
          if (isNew(words[1])) {
            proven(words[2]);
            core.executionBlocked(words[2], lastNotice, call);
          }
        }
        case "polled" -> {
          need(words, 2);
          Long sent = mine.sentAt(words[1]);
          if (sent != null) {
            readUpTo(mine, sent);
            core.gaugesReceived(gauges(words));
          } else if (words[1].equals(barrier)) {
            sendAgain(mine);
            mine.flush();
          }
        }
        case "unknown" -> {
          need(words, 3);
          Logger.debug("the worker pool does not know {} {}", words[1], words[2]);
          counters.add(Count.UNKNOWN_COMMANDS);
          proven(words[2]);
          // Guards against waiting for a run that no command reaches: none began, or its end is
          // lost.
          core.executionCompleted(
              words[2], words[1].equals("spawn") ? Outcome.VOID : Outcome.FAILURE, 0, null);
        }
        case "chatter" -> {
          need(words, 2);
          isNew(words[1]);
        }
        default -> throw new Server.MalformedException("worker pool says '" + words[0] + "'");
      }
    }
  }

  private void proven(String ref) {
    synchronized (unproven) {
      unproven.remove(ref);
    }
  }

  /**
   * All that was sent on this link well before the poll has been read: none of it can be lost any
   * more.
   */
  private void readUpTo(Session mine, long polled) {
    synchronized (unproven) {
      for (Iterator<List<Sent>> all = unproven.values().iterator(); all.hasNext(); ) {
        List<Sent> commands = all.next();
        commands.removeIf(sent -> sent.on() == mine && sent.at() < polled - LOSS_NANOS);
        if (commands.isEmpty()) {
          all.remove();
        }
      }
    }
  }

  /**
   * All notices up to the bind have been heard. Guards against commands lost with the old link:
   * each that was sent over it shortly before its end, or while there was none, and that no notice
   * has followed, is sent again in its order. A run that goes on ignores a second spawn.
   */
  private void sendAgain(Session mine) {
    synchronized (unproven) {
      for (List<Sent> commands : unproven.values()) {
        for (int i = 0; i < commands.size(); i++) {
          if (commands.get(i).on() != mine) {
            Sent again = new Sent(commands.get(i).command(), System.nanoTime(), mine);
            commands.set(i, again);
            mine.commands.add(again.command());
          }
        }
      }
    }
  }

  /** Guards against notices told again after a bind. */
  private boolean isNew(String word) throws IOException {
    long number = BoundedReader.number(word, Long.MAX_VALUE);
    if (number <= lastNotice) {
      return false;
    }
    lastNotice = number;
    noticedAt = System.nanoTime();
    return true;
  }

  private static Outcome outcome(String end) throws IOException {
    return switch (end) {
      case "good" -> Outcome.SUCCESS;
      case "bad" -> Outcome.FAILURE;
      case "cut" -> Outcome.WITHDRAWN;
      case "gone" -> Outcome.VOID;
      default -> throw new Server.MalformedException("a run ended '" + end + "'");
    };
  }

  private static double[] gauges(String[] words) throws IOException {
    double[] values = new double[words.length - 2];
    for (int i = 0; i < values.length; i++) {
      values[i] = BoundedReader.decimal(words[i + 2]);
    }
    return values;
  }

  private static void need(String[] words, int least) throws IOException {
    if (words.length < least) {
      throw new Server.MalformedException(
          "worker pool notice too short: " + String.join(" ", words));
    }
  }

  private static byte[] body(String length, InputStream in) throws IOException {
    byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, LONGEST_BODY));
    BoundedReader.crlf(in);
    return body;
  }

  private static byte[] line(String text) {
    return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] line(String text, byte[] body) {
    return BoundedReader.join(line(text + " " + body.length), body, CRLF);
  }

  private void send(String ref, byte[] command) {
    Session mine;
    synchronized (unproven) {
      mine = session;
      unproven
          .computeIfAbsent(ref, key -> new ArrayList<>(2))
          .add(new Sent(command, System.nanoTime(), mine));
      if (mine != null) {
        mine.commands.add(command);
      }
    }
    if (mine != null) {
      mine.flush();
    }
  }

  @Override
  public void dispatch(String ref, String className, byte[] body) {
    send(ref, line("spawn " + ref + " " + className, body));
  }

  @Override
  public void suspend(String ref) {
    send(ref, line("suspend " + ref));
  }

  @Override
  public void deliverResponse(String ref, byte[] reply) {
    send(ref, line("supply " + ref, reply));
  }

  @Override
  public void skipCall(String ref, long notice) {
    send(ref, line("pass " + ref + " " + notice));
  }

  @Override
  public boolean pollGauges() {
    synchronized (unproven) {
      if (session == null || !session.bound) {
        return false;
      }
      session.poll();
      session.wakeWriter();
      return true;
    }
  }
}
