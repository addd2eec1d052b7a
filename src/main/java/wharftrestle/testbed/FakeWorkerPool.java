package wharftrestle.testbed;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import wharftrestle.transport.BoundedReader;

/**
 * A fake worker pool that serves any number of daemons and outlives them. It executes what the
 * daemons spawn and records the start of each execution; checkers compare the daemons' replies with
 * these records. Thread-safe.
 */
public final class FakeWorkerPool implements Closeable {

  /**
   * Is notified when executions start and end, so that a test can inject a fault at that moment.
   */
  public interface ExecutionListener {
    void onStarted();

    void onFinished();
  }

  /**
   * One execution: its outcome and the link that spawned it last. Guarded by the lock of {@link
   * #executionsByReference}.
   */
  private static final class Execution {
    private final String body;
    private WorkerPoolPeer.Link link;
    private AtomicInteger notices;
    private byte[] outcome; // null while it is in flight

    Execution(String body) {
      this.body = body;
    }
  }

  /** Number of executions whose outcome can be sent again, as the protocol requires. */
  private static final int MAX_KEPT_EXECUTIONS = 4000;

  /** Uptime that the pool reports at the start of a test. */
  private static final long INITIAL_UPTIME_NANOS = 60_000_000_000L;

  private final WorkerPoolPeer peer;
  private final ScheduledExecutorService executors =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "fake-worker");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, List<Long>> startsByName = new ConcurrentHashMap<>();
  private final Map<String, Execution> executionsByReference =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Execution> eldest) {
          return size() > MAX_KEPT_EXECUTIONS;
        }
      };

  /** Number of the last notice of each link; a daemon that binds says how many it has read. */
  private final Map<WorkerPoolPeer.Link, AtomicInteger> noticeCounters = new ConcurrentHashMap<>();

  private final Random random;
  private final int maxExecutionMs;
  private final int maxResultBytes;
  private final long startedAt;
  private volatile ExecutionListener listener;
  private volatile LimitedCores limitedCores; // null: every execution has a core of its own
  private volatile boolean isFailing;
  private boolean bindHeld;

  /**
   * @param predecessor an earlier fake at another address, whose records are taken over; null for
   *     none
   * @param maxExecutionMs upper bound of the duration of an execution
   * @param maxResultBytes most bytes that an execution appends to the name of its body
   */
  FakeWorkerPool(FakeWorkerPool predecessor, Random random, int maxExecutionMs, int maxResultBytes)
      throws IOException {
    this.random = random;
    this.maxExecutionMs = maxExecutionMs;
    this.maxResultBytes = maxResultBytes;
    startedAt =
        predecessor != null ? predecessor.startedAt : System.nanoTime() - INITIAL_UPTIME_NANOS;
    if (predecessor != null) {
      startsByName.putAll(predecessor.startsByName);
    }
    peer =
        new WorkerPoolPeer(
                new WorkerPoolPeer.Script() {
                  @Override
                  public boolean binds(WorkerPoolPeer.Link link, int read) throws IOException {
                    awaitBindReleased();
                    noticeCounters.put(link, new AtomicInteger(read));
                    link.say("bound old " + (System.nanoTime() - startedAt) / 1_000_000 + "\r\n");
                    return true;
                  }

                  @Override
                  public void command(WorkerPoolPeer.Link link, String[] words, String body)
                      throws IOException {
                    if (words[0].equals("poll")) {
                      link.say("polled " + words[1] + " " + gauges() + "\r\n");
                    } else if (words[0].equals("suspend")) {
                      suspend(words[1]);
                    } else if (words[0].equals("spawn")) {
                      execute(link, words[1], body);
                    }
                  }
                })
            .start();
  }

  /** While true, accepts links but does not reply 'bound', as a worker pool that is starting. */
  public synchronized void holdBind(boolean hold) {
    bindHeld = hold;
    notifyAll();
  }

  private synchronized void awaitBindReleased() {
    try {
      while (bindHeld) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Lets executions of this length wait for one of so many cores, and reports their use. */
  void limitCores(int cores, int executionMs) {
    limitedCores = new LimitedCores(cores, executionMs, executors);
  }

  /** Sets whether all executions fail at their end. */
  public void setFailing(boolean fails) {
    isFailing = fails;
  }

  private String gauges() {
    LimitedCores cores = limitedCores;
    return cores == null ? "0.2 1" : cores.busyFraction() + " " + cores.runnable();
  }

  /** Cuts an execution that waits for a core or occupies one. */
  private void suspend(String reference) {
    LimitedCores cores = limitedCores;
    Execution execution;
    synchronized (executionsByReference) {
      execution = executionsByReference.get(reference);
    }
    if (cores != null && execution != null && cores.cancel(reference)) {
      end(execution, reference, "cut 0", new byte[0]);
    }
  }

  InetSocketAddress address() {
    return peer.address();
  }

  /** Sets the listener; null for none. */
  public void setExecutionListener(ExecutionListener newListener) {
    listener = newListener;
  }

  /** Start of each execution of a body with this first line, System.nanoTime. */
  public List<Long> executionStarts(String name) {
    List<Long> starts = startsByName.get(name);
    if (starts == null) {
      return List.of();
    }
    synchronized (starts) {
      return List.copyOf(starts);
    }
  }

  /** The first lines of all executed bodies. */
  public Iterable<String> executedNames() {
    return startsByName.keySet();
  }

  int executedBodies() {
    return startsByName.size();
  }

  private void execute(WorkerPoolPeer.Link link, String ref, String body) {
    Execution execution;
    boolean repeated;
    synchronized (executionsByReference) {
      Execution earlier = executionsByReference.get(ref);
      repeated = earlier != null && earlier.body.equals(body);
      execution = repeated ? earlier : new Execution(body);
      execution.link = link;
      execution.notices = noticeCounters.get(link);
      executionsByReference.put(ref, execution);
    }
    if (repeated) {
      sendOutcome(execution); // respawned after its link broke: send the outcome, if there is one
      return;
    }
    String name = body.substring(0, body.indexOf('\n') < 0 ? body.length() : body.indexOf('\n'));
    List<Long> starts = startsByName.computeIfAbsent(name, key -> new ArrayList<>());
    int attempt;
    synchronized (starts) {
      starts.add(System.nanoTime());
      attempt = starts.size();
    }
    notifyListener(true);
    int durationMs;
    byte[] result;
    synchronized (random) {
      durationMs = random.nextInt(maxExecutionMs);
      result = new byte[random.nextInt(maxResultBytes + 1)];
      random.nextBytes(result);
    }
    byte[] payload =
        BoundedReader.join(BoundedReader.ascii(name + " run " + attempt + "\r\n"), result);
    Runnable atEnd =
        () -> {
          if (isFailing) {
            end(execution, ref, "bad " + durationMs, new byte[0]);
          } else {
            end(execution, ref, "good " + durationMs, payload);
          }
        };
    schedule(ref, durationMs, atEnd);
  }

  // The outcome is sent by a notice; nothing waits for the future.
  @SuppressWarnings("FutureReturnValueIgnored")
  private void schedule(String reference, int durationMs, Runnable atEnd) {
    LimitedCores cores = limitedCores;
    if (cores != null) {
      cores.run(reference, atEnd);
    } else {
      executors.schedule(atEnd, durationMs, TimeUnit.MILLISECONDS);
    }
  }

  private void end(Execution execution, String reference, String ending, byte[] payload) {
    synchronized (executionsByReference) {
      execution.outcome =
          BoundedReader.join(
              BoundedReader.ascii(reference + " " + ending + " " + payload.length + "\r\n"),
              payload,
              BoundedReader.ascii("\r\n"));
    }
    sendOutcome(execution);
  }

  /** Sends the outcome over the link that spawned it last; does nothing while it is in flight. */
  private void sendOutcome(Execution execution) {
    WorkerPoolPeer.Link link;
    AtomicInteger notices;
    byte[] outcome;
    synchronized (executionsByReference) {
      link = execution.link;
      notices = execution.notices;
      outcome = execution.outcome;
    }
    if (outcome == null) {
      return;
    }
    try {
      synchronized (notices) {
        link.say(
            BoundedReader.join(
                BoundedReader.ascii("finished " + notices.incrementAndGet() + " "), outcome));
      }
      notifyListener(false);
    } catch (IOException linkClosed) {
      return; // sent again after a respawn
    }
  }

  private void notifyListener(boolean started) {
    ExecutionListener target = listener;
    if (target != null && started) {
      target.onStarted();
    } else if (target != null) {
      target.onFinished();
    }
  }

  @Override
  public void close() throws IOException {
    peer.close();
    executors.shutdownNow();
  }
}
