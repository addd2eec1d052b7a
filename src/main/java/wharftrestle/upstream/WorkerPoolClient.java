package wharftrestle.upstream;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
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
import wharftrestle.upstream.LinkCommand.Repetition;

/**
 * The client of the worker pool: one {@link WorkerPoolLink} at a time, and a thread that reads
 * announcements. When the link breaks, falls silent or moves, it is established again and bound
 * with the number of the last announcement read. Commands that may have been lost are then sent
 * again, except those of which a second copy could do harm: the coordinator is told that it is
 * uncertain whether these were read. Each announcement is passed on once, and the coordinator's
 * lock never waits for a socket. Thread-safe.
 */
public final class WorkerPoolClient implements WorkerPool {
  private static final int MAX_LINE_BYTES = 16 * 1024;
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int RECONNECT_DELAY_MS = 50;
  private static final int CONNECT_TIMEOUT_MS = 2000;

  /** Milliseconds without a message from the polled worker pool after which the link is closed. */
  private static final int SILENCE_TIMEOUT_MS = 2000;

  /**
   * A start counts as later than the last announcement read only by this margin in seconds, as
   * clocks and links are late.
   */
  private static final double RESTART_MARGIN_SECONDS = 1;

  private volatile InetSocketAddress address;
  private final RequestCoordinator coordinator;
  private final Counters counters;

  /** Its monitor guards it and the fields below. */
  private final UnacknowledgedCommands unacknowledged = new UnacknowledgedCommands();

  private WorkerPoolLink link;
  private Socket socket;
  private long lastAnnouncement;
  private long lastAnnouncementNanos; // when it was read
  private boolean hasBoundBefore;
  private long bindCount;

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
      return link != null && link.isBound();
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
        WorkerPoolLink current = new WorkerPoolLink(newSocket);
        current.enqueueLine("bind " + lastAnnouncement);
        synchronized (unacknowledged) {
          link = current;
        }
        try {
          PlatformThreads.thread("pool-write", current::writePolls).start();
          current.flush();
          readAnnouncements(current, new BufferedInputStream(newSocket.getInputStream(), 8192));
        } finally {
          synchronized (unacknowledged) {
            link = null;
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

  private void readAnnouncements(WorkerPoolLink current, InputStream in) throws IOException {
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
          current.socket().setSoTimeout(SILENCE_TIMEOUT_MS);
          current.markBound();
          coordinator.workerPoolStarted(fields[1].equals("new"), secondsAgo);
          if (hasBoundBefore) {
            current.enqueueLine("poll " + barrierTag);
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
            recoverUnacknowledged(current);
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
      unacknowledged.acknowledge(reference);
    }
  }

  private void acknowledgeSentBefore(WorkerPoolLink current, long pollNanos) {
    synchronized (unacknowledged) {
      unacknowledged.acknowledgeSentBefore(current, pollNanos);
    }
  }

  /**
   * Sends the commands again that may have been lost with an earlier link, in their order, and
   * reports the executions for which that is not safe. Called when all announcements up to the bind
   * have been read.
   */
  private void recoverUnacknowledged(WorkerPoolLink current) {
    UnacknowledgedCommands.Recovery recovery;
    synchronized (unacknowledged) {
      recovery = unacknowledged.recover(current, System.nanoTime());
      recovery.repeated().forEach(current::enqueue);
    }
    current.flush();
    Logger.debug(
        "worker pool link recovered commandsRepeated={} executionsUncertain={}",
        recovery.repeated().size(),
        recovery.uncertain().size());
    for (String reference : recovery.uncertain()) {
      counters.add(Count.RESPONSES_UNCONFIRMED);
      coordinator.responseUnconfirmed(reference);
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
          throw new Server.MalformedException("unknown result of an execution: '" + result + "'");
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

  private void send(String reference, byte[] command, Repetition repetition) {
    WorkerPoolLink current;
    synchronized (unacknowledged) {
      current = link;
      LinkCommand sent =
          new LinkCommand(reference, command, repetition, current, System.nanoTime());
      unacknowledged.add(sent);
      if (current != null) {
        current.enqueue(sent);
      }
    }
    if (current != null) {
      current.flush();
    }
  }

  @Override
  public void dispatch(String reference, String className, byte[] body) {
    // An execution in progress ignores a second spawn.
    send(
        reference,
        LinkCommand.encode("spawn " + reference + " " + className, body),
        Repetition.HARMLESS);
  }

  @Override
  public void suspend(String reference) {
    // A suspended execution is never resumed.
    send(reference, LinkCommand.encode("suspend " + reference), Repetition.HARMLESS);
  }

  @Override
  public void deliverResponse(String reference, byte[] response) {
    // The command does not name the call: a copy would answer the execution's next call.
    send(reference, LinkCommand.encode("supply " + reference, response), Repetition.UNSAFE);
  }

  @Override
  public void skipCall(String reference, long announcementNumber) {
    // The command names the announcement of its call.
    send(
        reference,
        LinkCommand.encode("pass " + reference + " " + announcementNumber),
        Repetition.HARMLESS);
  }

  @Override
  public boolean pollGauges() {
    synchronized (unacknowledged) {
      if (link == null || !link.isBound()) {
        return false;
      }
      link.poll();
      link.wakeWriter();
      return true;
    }
  }
}
