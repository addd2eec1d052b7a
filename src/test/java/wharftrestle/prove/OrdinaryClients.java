package wharftrestle.prove;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import wharftrestle.testbed.TestClient;

/**
 * Ordinary clients that ask at a steady rate, some on connections that stay open and some on a new
 * connection for each request, and the latencies that they measure. Latency counts from the moment
 * at which a request was due, so that a slow answer delays no measurement. Thread-safe.
 */
final class OrdinaryClients {

  /**
   * One request.
   *
   * @param word how it ended; without an answer: "none" on a new connection, of which nothing was
   *     accepted; "crossed" if the announcement of the close crossed it; "lost" otherwise
   * @param latencyMs since it was due at the client
   * @param answerMs since the client began to send it
   */
  private record Sample(String word, double latencyMs, double answerMs) {}

  /** Latest answer that the rules allow: the deadline, 60 ms, and 50 ms on sockets. */
  private static final double MAX_ANSWER_MS = 6110;

  private static final AtomicLong NEXT_NUMBER = new AtomicLong(1);
  private static final int KEYED_EVERY = 4;

  private final InetSocketAddress address;
  private final String tenant;
  private final ConcurrentLinkedQueue<Sample> onOpenConnections = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<Sample> onNewConnections = new ConcurrentLinkedQueue<>();
  private volatile boolean isStopped;

  OrdinaryClients(InetSocketAddress address, String tenant) {
    this.address = address;
    this.tenant = tenant;
  }

  /** Starts the clients; each asks once in the interval. */
  Thread[] start(int withOpenConnection, int withNewConnections, int intervalMs) {
    Thread[] threads = new Thread[withOpenConnection + withNewConnections];
    for (int i = 0; i < threads.length; i++) {
      boolean keepsConnection = i < withOpenConnection;
      long phaseNanos = (long) (1e6 * intervalMs * i / threads.length);
      threads[i] =
          new Thread(() -> run(keepsConnection, phaseNanos, intervalMs), "ordinary-client " + i);
      threads[i].setDaemon(true);
      threads[i].start();
    }
    return threads;
  }

  void stop() {
    isStopped = true;
  }

  private void run(boolean keepsConnection, long phaseNanos, int intervalMs) {
    TestClient client = null;
    for (long dueAt = System.nanoTime() + phaseNanos;
        !isStopped;
        dueAt += intervalMs * 1_000_000L) {
      LockSupport.parkNanos(dueAt - System.nanoTime());
      String word = client == null ? "none" : "lost";
      long sentAt = System.nanoTime();
      try {
        if (client != null && client.closing()) {
          client.close();
          client = null;
          word = "none";
        }
        if (client == null) {
          client = new TestClient(address);
          client.useTenant(tenant);
        }
        sentAt = System.nanoTime();
        word = ask(client);
      } catch (IOException noAnswer) {
        if (client != null && word.equals("lost") && client.wasToldToGo()) {
          word = "crossed";
        }
        close(client);
        client = null;
      }
      long now = System.nanoTime();
      (keepsConnection ? onOpenConnections : onNewConnections)
          .add(new Sample(word, (now - dueAt) / 1e6, (now - sentAt) / 1e6));
      if (!keepsConnection) {
        close(client);
        client = null;
      }
      dueAt = Math.max(dueAt, System.nanoTime() - intervalMs * 1_000_000L);
    }
    close(client);
  }

  private static String ask(TestClient client) throws IOException {
    long number = NEXT_NUMBER.incrementAndGet();
    String body = "ordinary" + number;
    return number % KEYED_EVERY == 0
        ? client.ask("save", number, "key" + number, body).word()
        : client.ask("read", number, null, body).word();
  }

  private static void close(TestClient client) {
    try {
      if (client != null) {
        client.close();
      }
    } catch (IOException ignored) {
      return; // it is not used any more
    }
  }

  /** Latencies and answers, for the two kinds of connections. */
  String summary() {
    return "open connections "
        + summary(onOpenConnections)
        + "; new connections "
        + summary(onNewConnections);
  }

  private static String summary(ConcurrentLinkedQueue<Sample> samples) {
    double[] latencies = samples.stream().mapToDouble(Sample::latencyMs).sorted().toArray();
    Map<String, Integer> words = new TreeMap<>();
    samples.forEach(each -> words.merge(each.word(), 1, Integer::sum));
    return String.format(
        Locale.ROOT,
        "p50 %.1f p99 %.1f worst %.1f ms late %d %s",
        quantile(latencies, 0.5),
        quantile(latencies, 0.99),
        quantile(latencies, 1),
        samples.stream().filter(each -> each.answerMs() > MAX_ANSWER_MS).count(),
        words);
  }

  private static double quantile(double[] sorted, double part) {
    return sorted.length == 0
        ? Double.NaN
        : sorted[(int) Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
  }

  /** Number of answers that came later than the rules allow. */
  long late() {
    return Stream.concat(onOpenConnections.stream(), onNewConnections.stream())
        .filter(each -> each.answerMs() > MAX_ANSWER_MS)
        .count();
  }

  /** Number of requests on connections that were used before and gave no answer. */
  long lost() {
    return onOpenConnections.stream().filter(each -> each.word().equals("lost")).count();
  }
}
