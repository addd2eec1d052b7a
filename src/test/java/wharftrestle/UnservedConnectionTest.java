package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.testbed.RespPeer.Reply;

/**
 * Guards against requests that wait unread past their deadline on a connection of which no request
 * has been served, because the worker pool fails or stands still.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnservedConnectionTest {
  private static final int MAX_OPEN = 32;

  /** Deadlines of 0.67 s: a front end's open requests would wait longer than that. */
  private static final double HASTE = 9;

  private static final double DEADLINE_MS = 6000 / HASTE;
  private static final double LONG_DEADLINE_MS = 20_000 / HASTE;

  /** Slack of the rules: 60 ms, and 50 ms on sockets. */
  private static final double SLACK_MS = 110;

  private static final int INTERVAL_MS = 10;

  private static Sites.Builder hastySite(int workerCores) {
    Sites.Builder site = Sites.site();
    site.haste = HASTE;
    site.cores = workerCores;
    return site;
  }

  /** Ends every execution as failed until the test ends. */
  private static void failExecutions(Loopback host) {
    Thread failing =
        new Thread(
            () -> {
              try {
                for (; ; ) {
                  Command command = host.commands.take();
                  if (command.verb().equals("spawn")) {
                    host.finish(command.ref(), "bad", 1, "");
                  }
                }
              } catch (IOException | InterruptedException ended) {
                return; // the test has ended
              }
            },
            "failing-worker-pool");
    failing.setDaemon(true);
    failing.start();
  }

  /** A front end that goes by no advice and keeps at most 32 requests open. */
  private static final class FrontEnd {
    private final Caller caller;
    private final Map<String, Long> sentAt = new ConcurrentHashMap<>();
    private final Map<String, String> types = new ConcurrentHashMap<>();

    /** Time of each answer after its deadline; negative if it came before. */
    private final List<Double> latenessMs = new ArrayList<>();

    private final Semaphore mayOpen = new Semaphore(MAX_OPEN);
    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean isToldToGo;

    FrontEnd(Caller caller) {
      this.caller = caller;
    }

    void send(String type) throws Exception {
      mayOpen.acquire();
      int tag = sent.incrementAndGet();
      sentAt.put(Integer.toString(tag), System.nanoTime());
      types.put(Integer.toString(tag), type);
      caller.ask(tag, type, null, "body " + tag);
    }

    void sendSteadily(int count, int intervalMs) throws Exception {
      long dueAt = System.nanoTime();
      for (int i = 0; i < count && !isToldToGo; i++) {
        send("read");
        dueAt += intervalMs * 1_000_000L;
        LockSupport.parkNanos(dueAt - System.nanoTime());
      }
    }

    /** Reads replies until all requests are answered or the daemon ends the connection. */
    Thread startReading(int expected) {
      Thread reader =
          new Thread(
              () -> {
                try {
                  while (latenessMs.size() < expected) {
                    record(caller.reply());
                  }
                } catch (IOException | RuntimeException ended) {
                  return; // what is missing then is an answer that never came
                }
              },
              "front-end-reader");
      reader.start();
      return reader;
    }

    private void record(Reply reply) {
      if (reply.tag().equals("0")) {
        isToldToGo = true;
        return;
      }
      double deadlineMs = types.get(reply.tag()).equals("long") ? LONG_DEADLINE_MS : DEADLINE_MS;
      latenessMs.add((System.nanoTime() - sentAt.get(reply.tag())) / 1e6 - deadlineMs);
      mayOpen.release();
    }

    void assertAllAnsweredInTime() {
      assertEquals(sent.get(), latenessMs.size(), "requests without an answer");
      List<Double> late = latenessMs.stream().filter(each -> each > SLACK_MS).toList();
      assertTrue(
          late.isEmpty(), late.size() + " of " + sent.get() + " answers late, by ms: " + late);
    }
  }

  @Test
  void failingExecutions_steadyRequests_areAnsweredInTime() throws Exception {
    try (Loopback host = new Loopback(hastySite(2));
        Caller caller = host.new Caller()) {
      failExecutions(host);
      FrontEnd frontEnd = new FrontEnd(caller);
      Thread reader = frontEnd.startReading(300);
      frontEnd.sendSteadily(300, INTERVAL_MS);
      reader.join();
      frontEnd.assertAllAnsweredInTime();
    }
  }

  @Test
  void standingWorkerPool_requestsBehindLongOnes_areAnsweredInTime() throws Exception {
    try (Loopback host = new Loopback(hastySite(MAX_OPEN));
        Caller caller = host.new Caller()) {
      FrontEnd frontEnd = new FrontEnd(caller);
      Thread reader = frontEnd.startReading(MAX_OPEN);
      for (int i = 0; i < MAX_OPEN; i++) {
        // The first half has three times as long to be answered.
        frontEnd.send(i < MAX_OPEN / 2 ? "long" : "read");
      }
      reader.join();
      frontEnd.assertAllAnsweredInTime();
    }
  }

  @Test
  void failingExecutions_drainUnderLoad_leavesNoRequestUnanswered() throws Exception {
    try (Loopback host = new Loopback(hastySite(2));
        Caller caller = host.new Caller()) {
      failExecutions(host);
      Thread server = host.startServing();
      FrontEnd frontEnd = new FrontEnd(caller);
      Thread reader = frontEnd.startReading(Integer.MAX_VALUE);
      Thread drain =
          new Thread(
              () -> {
                LockSupport.parkNanos(500_000_000);
                host.life.leave();
              });
      drain.start();
      frontEnd.sendSteadily(10_000, INTERVAL_MS / 2);
      reader.join();
      server.join();
      frontEnd.assertAllAnsweredInTime();
    }
  }
}
