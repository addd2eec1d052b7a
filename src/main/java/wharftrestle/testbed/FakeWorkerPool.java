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
 * A stand-in worker pool that outlives the daemons and serves any number of them: it runs what it
 * is told to, and knows of each body when it ran. What it counts is the truth that checkers hold
 * the daemons against; it must never ask one.
 */
public final class FakeWorkerPool implements Closeable {

  /** What it hears of and tells, so that a fault can choose its moment. */
  public interface Moments {
    void spawned();

    void finished();
  }

  /** One run, guarded by the lock of all: how it ended, and the link that asked for it last. */
  private static final class Spawned {
    private final String body;
    private WorkerPoolPeer.Link link;
    private AtomicInteger notices;
    private byte[] end; // null while it runs

    Spawned(String body) {
      this.body = body;
    }
  }

  /** Runs whose end can be told again, as the protocol has it of notices. */
  private static final int MOST_KEPT = 4000;

  /** Nanoseconds for which it has been up already when a play begins. */
  private static final long UP_NANOS = 60_000_000_000L;

  private final WorkerPoolPeer peer;
  private final ScheduledExecutorService cores =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "stand-in core");
            thread.setDaemon(true);
            return thread;
          });
  private final Map<String, List<Long>> runs = new ConcurrentHashMap<>();
  private final Map<String, Spawned> spawned =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Spawned> eldest) {
          return size() > MOST_KEPT;
        }
      };

  /** Of each link, numbered anew for each start of a daemon, and on from what it has read. */
  private final Map<WorkerPoolPeer.Link, AtomicInteger> links = new ConcurrentHashMap<>();

  private final Random random;
  private final int longestRun;
  private final int longestResult;
  private final long startedAt;
  private volatile Moments moments;
  private boolean late;

  /**
   * @param before an earlier stand-in at another address, whose runs go on; null for none
   * @param longestRun milliseconds
   * @param longestResult bytes that a run adds to its body's name
   */
  FakeWorkerPool(FakeWorkerPool before, Random random, int longestRun, int longestResult)
      throws IOException {
    this.random = random;
    this.longestRun = longestRun;
    this.longestResult = longestResult;
    startedAt = before != null ? before.startedAt : System.nanoTime() - UP_NANOS;
    if (before != null) {
      runs.putAll(before.runs);
    }
    peer =
        new WorkerPoolPeer(
                new WorkerPoolPeer.Script() {
                  @Override
                  public boolean binds(WorkerPoolPeer.Link link, int read) throws IOException {
                    awaitUp();
                    links.put(link, new AtomicInteger(read));
                    link.say("bound old " + (System.nanoTime() - startedAt) / 1_000_000 + "\r\n");
                    return true;
                  }

                  @Override
                  public void command(WorkerPoolPeer.Link link, String[] words, String body)
                      throws IOException {
                    if (words[0].equals("poll")) {
                      link.say("polled " + words[1] + " 0.2 1\r\n");
                    } else if (words[0].equals("spawn")) {
                      run(link, words[1], body);
                    }
                  }
                })
            .start();
  }

  /**
   * Links are taken and 'bound' is not said until this is over, as while a worker pool comes up.
   */
  public synchronized void late(boolean now) {
    late = now;
    notifyAll();
  }

  private synchronized void awaitUp() {
    try {
      while (late) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  InetSocketAddress address() {
    return peer.address();
  }

  /** Tells this one of each moment; null for nobody. */
  public void watch(Moments told) {
    moments = told;
  }

  /** When each run of a body with this first line began, on the clock of System.nanoTime. */
  public List<Long> begun(String name) {
    List<Long> all = runs.get(name);
    if (all == null) {
      return List.of();
    }
    synchronized (all) {
      return List.copyOf(all);
    }
  }

  /** The first lines of all bodies that ran. */
  public Iterable<String> names() {
    return runs.keySet();
  }

  int bodies() {
    return runs.size();
  }

  // A run ends by its notice; nobody waits for it here.
  @SuppressWarnings("FutureReturnValueIgnored")
  private void run(WorkerPoolPeer.Link link, String ref, String body) {
    Spawned asked;
    boolean again;
    synchronized (spawned) {
      Spawned known = spawned.get(ref);
      again = known != null && known.body.equals(body);
      asked = again ? known : new Spawned(body);
      asked.link = link;
      asked.notices = links.get(link);
      spawned.put(ref, asked);
    }
    if (again) {
      tell(asked); // its link broke: what runs goes on, and what is over is told
      return;
    }
    String name = body.substring(0, body.indexOf('\n') < 0 ? body.length() : body.indexOf('\n'));
    List<Long> mine = runs.computeIfAbsent(name, key -> new ArrayList<>());
    int run;
    synchronized (mine) {
      mine.add(System.nanoTime());
      run = mine.size();
    }
    moment(true);
    int took;
    byte[] result;
    synchronized (random) {
      took = random.nextInt(longestRun);
      result = new byte[random.nextInt(longestResult + 1)];
      random.nextBytes(result);
    }
    byte[] whole = BoundedReader.join(BoundedReader.ascii(name + " run " + run + "\r\n"), result);
    cores.schedule(
        () -> {
          synchronized (spawned) {
            asked.end =
                BoundedReader.join(
                    BoundedReader.ascii(ref + " good " + took + " " + whole.length + "\r\n"),
                    whole,
                    BoundedReader.ascii("\r\n"));
          }
          tell(asked);
        },
        took,
        TimeUnit.MILLISECONDS);
  }

  /** Says how a run ended over the link that asked for it last; nothing while it runs. */
  private void tell(Spawned run) {
    WorkerPoolPeer.Link link;
    AtomicInteger notices;
    byte[] end;
    synchronized (spawned) {
      link = run.link;
      notices = run.notices;
      end = run.end;
    }
    if (end == null) {
      return;
    }
    try {
      synchronized (notices) {
        link.say(
            BoundedReader.join(
                BoundedReader.ascii("finished " + notices.incrementAndGet() + " "), end));
      }
      moment(false);
    } catch (IOException gone) {
      return; // it is told once it is asked for again
    }
  }

  private void moment(boolean spawn) {
    Moments told = moments;
    if (told != null && spawn) {
      told.spawned();
    } else if (told != null) {
      told.finished();
    }
  }

  @Override
  public void close() throws IOException {
    peer.close();
    cores.shutdownNow();
  }
}
