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
  private static final int RECONNECT_DELAY_MS = 50;
  private static final int CONNECT_TIMEOUT_MS = 2000;
  private static final int READ_BUFFER_BYTES = 8192;

  /** A link that lasted less than this is not made again at once. */
  private static final long MIN_LINK_NANOS = 200_000_000L;

  /** Milliseconds without a message from the polled worker pool after which the link is closed. */
  private static final int SILENCE_TIMEOUT_MS = 2000;

  /**
   * A start counts as later than the last announcement read only by this margin in seconds, as
   * clocks and links are late.
   */
  private static final double RESTART_MARGIN_SECONDS = 1;

  /** Nanoseconds for which the link may fail for lack of memory before the client gives up. */
  private static final long MAX_OUT_OF_MEMORY_NANOS = 5_000_000_000L;

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
  private boolean isOutageLogged; // one line for each outage
  private long bindCount;
  private Runnable memoryExhaustedListener = () -> {};
  private long firstOutOfMemoryNanos; // of the failures in a row; 0 if the last was another

  /** Creates a client that is not started. */
  public WorkerPoolClient(
      InetSocketAddress address, RequestCoordinator coordinator, Counters counters) {
    this.address = address;
    this.coordinator = coordinator;
    this.counters = counters;
  }

  /**
   * Sets the listener that is notified if for {@link #MAX_OUT_OF_MEMORY_NANOS} no link could be
   * established for lack of memory. Called before {@link #start}.
   */
  public void onMemoryExhausted(Runnable listener) {
    memoryExhaustedListener = listener;
  }

  /** Starts the thread that establishes the link and reads announcements. */
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
    for (; ; ) {
      long startedNanos = System.nanoTime();
      try {
        runOneLink();
      } catch (IOException | RuntimeException | Error e) {
        // Neither malformed input nor a temporary shortage of memory may end the link for good.
        if (!isOutageLogged && logLimiter.tryAcquire(System.nanoTime())) {
          Logger.warn("worker pool link: {}", e.toString());
          isOutageLogged = true;
        }
        if (e instanceof Server.MalformedException) {
          counters.add(Count.MALFORMED);
        }
        recordFailure(e, System.nanoTime());
      }
      try {
        if (System.nanoTime() - startedNanos < MIN_LINK_NANOS) {
          Thread.sleep(RECONNECT_DELAY_MS);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Notifies the listener if nothing but a lack of memory has ended the links for too long. */
  private void recordFailure(Throwable failure, long now) {
    if (!(failure instanceof OutOfMemoryError)) {
      firstOutOfMemoryNanos = 0;
    } else if (firstOutOfMemoryNanos == 0) {
      firstOutOfMemoryNanos = now;
    } else if (now - firstOutOfMemoryNanos > MAX_OUT_OF_MEMORY_NANOS) {
      memoryExhaustedListener.run();
    }
  }

  /** Connects, binds and reads announcements until the link ends, which it reports by throwing. */
  private void runOneLink() throws IOException {
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
      // The first bind waits until the worker pool starts.
      newSocket.setSoTimeout(hasBoundBefore ? SILENCE_TIMEOUT_MS : 0);
      WorkerPoolLink current = new WorkerPoolLink(newSocket);
      current.enqueueLine("bind " + lastAnnouncement);
      synchronized (unacknowledged) {
        link = current;
      }
      try {
        PlatformThreads.thread("pool-write", current::writePolls).start();
        current.flush();
        readAnnouncements(current);
      } finally {
        synchronized (unacknowledged) {
          link = null;
        }
        current.close();
      }
    }
  }

  private void readAnnouncements(WorkerPoolLink current) throws IOException {
    InputStream in = new BufferedInputStream(current.socket().getInputStream(), READ_BUFFER_BYTES);
    AnnouncementReader reader =
        new AnnouncementReader(in, new Announcements(current, "b" + ++bindCount));
    for (; ; ) {
      reader.readNext();
    }
  }

  /** Handles the messages on one link, on the thread that reads it. */
  private final class Announcements implements AnnouncementReader.Handler {
    private final WorkerPoolLink current;
    private final String barrierTag;

    /**
     * @param barrierTag of the poll that is sent after the bind: all announcements that were missed
     *     come before its answer
     */
    Announcements(WorkerPoolLink current, String barrierTag) {
      this.current = current;
      this.barrierTag = barrierTag;
    }

    @Override
    public void onBound(boolean isCold, double secondsAgo) throws IOException {
      if (hasRestarted(secondsAgo)) {
        // It does not know the executions, and numbers its announcements from 1 again, which would
        // be ignored as old.
        lastAnnouncement = 0;
        synchronized (unacknowledged) {
          unacknowledged.clear();
        }
        coordinator.workerPoolRestarted();
        throw new IOException("the worker pool has restarted since its last announcement");
      }
      current.socket().setSoTimeout(SILENCE_TIMEOUT_MS);
      current.markBound();
      firstOutOfMemoryNanos = 0;
      coordinator.workerPoolStarted(isCold, secondsAgo);
      if (hasBoundBefore) {
        current.enqueueLine("poll " + barrierTag);
        current.flush();
      }
      hasBoundBefore = true;
    }

    private boolean hasRestarted(double secondsAgo) {
      double sinceAnnouncement = (System.nanoTime() - lastAnnouncementNanos) / 1e9;
      return lastAnnouncement > 0 && secondsAgo + RESTART_MARGIN_SECONDS < sinceAnnouncement;
    }

    @Override
    public void onFinished(
        long number, String reference, Outcome outcome, double elapsedSeconds, byte[] result) {
      if (accept(number)) {
        acknowledge(reference);
        coordinator.executionCompleted(reference, outcome, elapsedSeconds, result);
      }
    }

    @Override
    public void onBlocked(long number, String reference, byte[] callBody) {
      if (accept(number)) {
        acknowledge(reference);
        coordinator.executionBlocked(reference, number, callBody);
      }
    }

    @Override
    public void onPolled(String tag, double[] gauges) {
      Long pollTime = current.takePollTime(tag);
      if (pollTime != null) {
        acknowledgeSentBefore(current, pollTime);
        coordinator.gaugesReceived(gauges);
      } else if (tag.equals(barrierTag)) {
        recoverUnacknowledged(current);
      }
    }

    @Override
    public void onUnknownCommand(String command, String reference) {
      Logger.debug("unknown to the worker pool: command={} request={}", command, reference);
      counters.add(Count.UNKNOWN_COMMANDS);
      acknowledge(reference);
      // No command reaches this execution: it never began, or its end was lost.
      Outcome outcome = command.equals("spawn") ? Outcome.VOID : Outcome.FAILURE;
      coordinator.executionCompleted(reference, outcome, 0, null);
    }

    @Override
    public void onRemark(long number) {
      accept(number);
    }

    /** Returns false for announcements that are repeated after a bind; else records the number. */
    private boolean accept(long number) {
      if (number <= lastAnnouncement) {
        return false;
      }
      lastAnnouncement = number;
      lastAnnouncementNanos = System.nanoTime();
      return true;
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
