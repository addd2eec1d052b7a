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
 * The link to the worker pool: one socket, and a thread that reads announcements. A command is
 * written by the thread that sends it, or by one that is writing already; polls, which must not
 * block the caller, are written by a thread of their own. When the link breaks, falls silent or
 * moves, it is established again and bound with the number of the last announcement read; commands
 * that may have been lost are then sent again. Each announcement is passed on once, and the
 * coordinator's lock never waits for a socket. Thread-safe.
 */
public final class WorkerPoolClient implements WorkerPool {
  private static final int MAX_LINE_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int RECONNECT_DELAY_MS = 50;
  private static final int CONNECT_TIMEOUT_MS = 2000;

  /**
   * Maximum milliseconds between two polls, whose answers prove that the link is alive and read.
   */
  private static final int POLL_INTERVAL_MS = 250;

  /** Milliseconds without a message from the polled worker pool after which the link is closed. */
  private static final int SILENCE_TIMEOUT_MS = 2000;

  /**
   * A break may lose what was sent up to 50 ms before it; a command sent this long before an
   * answered poll counts as received.
   */
  private static final long LOSS_WINDOW_NANOS = 150_000_000L;

  /**
   * A start counts as later than the last announcement read only by this margin in seconds, as
   * clocks and links are late.
   */
  private static final double RESTART_MARGIN_SECONDS = 1;

  private static final byte[] CRLF = {'\r', '\n'};

  private volatile InetSocketAddress address;
  private final RequestCoordinator coordinator;
  private final Counters counters;

  /**
   * Commands by request not followed by an announcement; its monitor guards it and the fields
   * below.
   */
  private final Map<String, List<SentCommand>> unacknowledged = new LinkedHashMap<>();

  private Session session;
  private Socket socket;
  private long lastAnnouncement;
  private long lastAnnouncementNanos; // when it was read
  private boolean hasBoundBefore;
  private long bindCount;

  private record SentCommand(byte[] command, long sentNanos, Session session) {}

  /** One connection to the worker pool. */
  private static final class Session {
    final Socket socket;
    final ConcurrentLinkedQueue<byte[]> commands = new ConcurrentLinkedQueue<>();
    private final ReentrantLock writeLock = new ReentrantLock();
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream(4096);
    private volatile Thread writer;
    volatile boolean isBound;
    volatile boolean isClosed;
    private final Map<String, Long> pollTimes = new HashMap<>();
    private long lastPollNanos;
    private long tagCount;

    Session(Socket socket) {
      this.socket = socket;
    }

    /** Queues a poll; its answer proves that all commands sent before it were read. */
    synchronized void poll() {
      lastPollNanos = System.nanoTime();
      pollTimes.put("g" + ++tagCount, lastPollNanos);
      commands.add(encodeLine("poll g" + tagCount));
    }

    /** Removes the poll with this tag and returns when it was sent; null if there is none. */
    synchronized Long takePollTime(String tag) {
      return pollTimes.remove(tag);
    }

    private synchronized boolean isPollDue() {
      return isBound && System.nanoTime() - lastPollNanos > POLL_INTERVAL_MS * 1_000_000L;
    }

    /**
     * Writes the queued commands, unless another thread is writing, which then writes these too.
     * Without a separate writer thread, the several commands of each request need no thread switch.
     */
    void flush() {
      while (!commands.isEmpty() && !isClosed && writeLock.tryLock()) {
        try {
          batch.reset();
          for (byte[] next = commands.poll(); next != null; next = commands.poll()) {
            batch.writeBytes(next);
          }
          batch.writeTo(socket.getOutputStream());
        } catch (IOException e) {
          Logger.debug("worker pool write failed: {}", e.getMessage());
          BoundedReader.closeQuietly(socket); // the reading thread establishes the link again
          return;
        } finally {
          writeLock.unlock();
        }
      }
    }

    /** Writes polls, and sends one after each interval without a poll. */
    void writePolls() {
      writer = Thread.currentThread();
      while (!isClosed) {
        LockSupport.parkNanos(POLL_INTERVAL_MS * 1_000_000L);
        if (isPollDue()) {
          poll(); // detects a link that stays open but is silent
        }
        flush();
      }
    }

    void wakeWriter() {
      LockSupport.unpark(writer);
    }

    void close() throws IOException {
      isClosed = true;
      wakeWriter();
      socket.close();
    }
  }

  public WorkerPoolClient(
      InetSocketAddress address, RequestCoordinator coordinator, Counters counters) {
    this.address = address;
    this.coordinator = coordinator;
    this.counters = counters;
  }

  public void start() {
    PlatformThreads.restartingThread("pool-link", this::runLink).start();
  }

  /** Returns true while the worker pool has answered the bind of the present link. */
  public boolean linked() {
    synchronized (unacknowledged) {
      return session != null && session.isBound;
    }
  }

  /** Establishes the link at another address; executions and announcement numbers continue. */
  public void moveTo(InetSocketAddress next) {
    synchronized (unacknowledged) {
      if (!next.equals(address)) {
        address = next;
        BoundedReader.closeQuietly(socket);
      }
    }
  }

  private void runLink() {
    LogRateLimiter logLimiter = new LogRateLimiter(System.nanoTime());
    boolean isOutageLogged = false; // one line for each outage
    for (; ; ) {
      long startedNanos = System.nanoTime();
      try (Socket newSocket = new Socket()) {
        InetSocketAddress target;
        synchronized (unacknowledged) {
          socket = newSocket;
          target = address;
        }
        newSocket.setTcpNoDelay(true);
        newSocket.connect(target, CONNECT_TIMEOUT_MS);
        isOutageLogged = false;
        counters.add(Count.WORKER_POOL_CONNECTS);
        newSocket.setSoTimeout(
            hasBoundBefore
                ? SILENCE_TIMEOUT_MS
                : 0); // the first bind waits until the worker pool starts
        Session current = new Session(newSocket);
        current.commands.add(encodeLine("bind " + lastAnnouncement));
        synchronized (unacknowledged) {
          session = current;
        }
        try {
          PlatformThreads.thread("pool-write", current::writePolls).start();
          current.flush();
          readAnnouncements(current, new BufferedInputStream(newSocket.getInputStream(), 8192));
        } finally {
          synchronized (unacknowledged) {
            session = null;
          }
          current.close();
        }
      } catch (IOException | RuntimeException | Error e) {
        // Neither malformed input nor a temporary shortage of memory may end the link for good.
        if (!isOutageLogged && logLimiter.tryAcquire(System.nanoTime())) {
          Logger.warn("worker pool link: {}", e.toString());
          isOutageLogged = true;
        }
        if (e instanceof Server.MalformedException) {
          counters.add(Count.MALFORMED);
        }
      }
      try {
        if (System.nanoTime() - startedNanos < RECONNECT_DELAY_MS * 4_000_000L) {
          Thread.sleep(RECONNECT_DELAY_MS);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void readAnnouncements(Session current, InputStream in) throws IOException {
    String barrierTag = "b" + ++bindCount;
    for (; ; ) {
      String[] fields = BoundedReader.line(in, MAX_LINE_BYTES).split(" ");
      switch (fields[0]) {
        case "bound" -> {
          requireFields(fields, 3);
          double secondsAgo = BoundedReader.parseMillisAsSeconds(fields[2]);
          if (lastAnnouncement > 0
              && secondsAgo + RESTART_MARGIN_SECONDS
                  < (System.nanoTime() - lastAnnouncementNanos) / 1e9) {
            // The worker pool has restarted: it does not know the executions, and numbers its
            // announcements from 1 again, which would be ignored as old.
            lastAnnouncement = 0;
            synchronized (unacknowledged) {
              unacknowledged.clear();
            }
            coordinator.workerPoolRestarted();
            throw new IOException("the worker pool has restarted since its last announcement");
          }
          current.socket.setSoTimeout(SILENCE_TIMEOUT_MS);
          current.isBound = true;
          coordinator.workerPoolStarted(fields[1].equals("new"), secondsAgo);
          if (hasBoundBefore) {
            current.commands.add(encodeLine("poll " + barrierTag));
            current.flush();
          }
          hasBoundBefore = true;
        }
        case "finished" -> {
          requireFields(fields, 5);
          byte[] result = fields.length > 5 ? readBody(fields[5], in) : new byte[0];
          if (acceptAnnouncement(fields[1])) {
            acknowledge(fields[2]);
            coordinator.executionCompleted(
                fields[2],
                parseOutcome(fields[3]),
                BoundedReader.parseMillisAsSeconds(fields[4]),
                result);
          }
        }
        case "blocked" -> {
          requireFields(fields, 4);
          byte[] call = readBody(fields[3], in);
          if (acceptAnnouncement(fields[1])) {
            acknowledge(fields[2]);
            coordinator.executionBlocked(fields[2], lastAnnouncement, call);
          }
        }
        case "polled" -> {
          requireFields(fields, 2);
          Long pollTime = current.takePollTime(fields[1]);
          if (pollTime != null) {
            acknowledgeSentBefore(current, pollTime);
            coordinator.gaugesReceived(parseGauges(fields));
          } else if (fields[1].equals(barrierTag)) {
            resendUnacknowledged(current);
            current.flush();
          }
        }
        case "unknown" -> {
          requireFields(fields, 3);
          Logger.debug("unknown to the worker pool: command={} request={}", fields[1], fields[2]);
          counters.add(Count.UNKNOWN_COMMANDS);
          acknowledge(fields[2]);
          // No command reaches this execution: it never began, or its end was lost.
          coordinator.executionCompleted(
              fields[2], fields[1].equals("spawn") ? Outcome.VOID : Outcome.FAILURE, 0, null);
        }
        case "chatter" -> {
          requireFields(fields, 2);
          acceptAnnouncement(fields[1]);
        }
        default ->
            throw new Server.MalformedException(
                "unknown message of the worker pool: '" + fields[0] + "'");
      }
    }
  }

  private void acknowledge(String reference) {
    synchronized (unacknowledged) {
      unacknowledged.remove(reference);
    }
  }

  /**
   * Forgets the commands sent on this link well before an answered poll; they have been read and
   * cannot be lost.
   */
  private void acknowledgeSentBefore(Session current, long pollNanos) {
    synchronized (unacknowledged) {
      for (Iterator<List<SentCommand>> iterator = unacknowledged.values().iterator();
          iterator.hasNext(); ) {
        List<SentCommand> commands = iterator.next();
        commands.removeIf(
            sent -> sent.session() == current && sent.sentNanos() < pollNanos - LOSS_WINDOW_NANOS);
        if (commands.isEmpty()) {
          iterator.remove();
        }
      }
    }
  }

  /**
   * Sends the commands again that may have been lost with the old link: those sent shortly before
   * its end, or while there was no link, and not followed by an announcement. Called when all
   * announcements up to the bind have been read; keeps the order. An execution in progress ignores
   * a second spawn.
   */
  private void resendUnacknowledged(Session current) {
    synchronized (unacknowledged) {
      for (List<SentCommand> commands : unacknowledged.values()) {
        for (int i = 0; i < commands.size(); i++) {
          if (commands.get(i).session() != current) {
            SentCommand resent =
                new SentCommand(commands.get(i).command(), System.nanoTime(), current);
            commands.set(i, resent);
            current.commands.add(resent.command());
          }
        }
      }
    }
  }

  /** Returns false for announcements that are repeated after a bind; else records the number. */
  private boolean acceptAnnouncement(String field) throws IOException {
    long number = BoundedReader.number(field, Long.MAX_VALUE);
    if (number <= lastAnnouncement) {
      return false;
    }
    lastAnnouncement = number;
    lastAnnouncementNanos = System.nanoTime();
    return true;
  }

  private static Outcome parseOutcome(String result) throws IOException {
    return switch (result) {
      case "good" -> Outcome.SUCCESS;
      case "bad" -> Outcome.FAILURE;
      case "cut" -> Outcome.WITHDRAWN;
      case "gone" -> Outcome.VOID;
      default ->
          throw new Server.MalformedException("unknown outcome of an execution: '" + result + "'");
    };
  }

  private static double[] parseGauges(String[] fields) throws IOException {
    double[] values = new double[fields.length - 2];
    for (int i = 0; i < values.length; i++) {
      values[i] = BoundedReader.parseDecimal(fields[i + 2]);
    }
    return values;
  }

  private static void requireFields(String[] fields, int minFields) throws IOException {
    if (fields.length < minFields) {
      throw new Server.MalformedException(
          "worker pool message has too few fields: " + String.join(" ", fields));
    }
  }

  private static byte[] readBody(String length, InputStream in) throws IOException {
    byte[] body = BoundedReader.exactly(in, (int) BoundedReader.number(length, MAX_BODY_BYTES));
    BoundedReader.crlf(in);
    return body;
  }

  private static byte[] encodeLine(String text) {
    return (text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  private static byte[] encodeLine(String text, byte[] body) {
    return BoundedReader.join(encodeLine(text + " " + body.length), body, CRLF);
  }

  private void send(String reference, byte[] command) {
    Session current;
    synchronized (unacknowledged) {
      current = session;
      unacknowledged
          .computeIfAbsent(reference, key -> new ArrayList<>(2))
          .add(new SentCommand(command, System.nanoTime(), current));
      if (current != null) {
        current.commands.add(command);
      }
    }
    if (current != null) {
      current.flush();
    }
  }

  @Override
  public void dispatch(String reference, String className, byte[] body) {
    send(reference, encodeLine("spawn " + reference + " " + className, body));
  }

  @Override
  public void suspend(String reference) {
    send(reference, encodeLine("suspend " + reference));
  }

  @Override
  public void deliverResponse(String reference, byte[] response) {
    send(reference, encodeLine("supply " + reference, response));
  }

  @Override
  public void skipCall(String reference, long announcementNumber) {
    send(reference, encodeLine("pass " + reference + " " + announcementNumber));
  }

  @Override
  public boolean pollGauges() {
    synchronized (unacknowledged) {
      if (session == null || !session.isBound) {
        return false;
      }
      session.poll();
      session.wakeWriter();
      return true;
    }
  }
}
