package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.DoubleAdder;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.testbed.RespPeer;

/** Tests of the uwsgi front end between a fake gateway and a fake worker pool. */
class UwsgiTest {
  private static Loopback site(Sites.Builder site) throws Exception {
    return new Loopback(site, new DaemonConfig.Appliance(Loopback.any(), null, null, "public", 24));
  }

  private static String status(Socket socket) throws IOException {
    try (socket) {
      return Loopback.response(socket).split(" ", 3)[1];
    }
  }

  @Test
  void answersAreHttpResponsesAndReplayedAcrossFrontEnds() throws Exception {
    try (Loopback site = site(Sites.site());
        Socket gateway = site.post("/keyed", "k1", "a\r\n\0b")) {
      Command spawn = site.command();
      assertEquals("keyed a\r\n\0b", spawn.rest() + " " + spawn.body());
      site.finish(spawn.ref(), "good", 3.5, "saved");
      String response = Loopback.response(gateway);
      assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n"), response);
      assertTrue(
          response.contains("\r\nContent-Length: 5\r\n") && response.endsWith("\r\n\r\nsaved"),
          response);
      try (Socket retry = site.post("/keyed", "k1", "a\r\n\0b");
          Caller resp = site.new Caller()) {
        assertTrue(Loopback.response(retry).endsWith("\r\n\r\nsaved"), "replayed");
        resp.ask(1, "keyed", "k1", "a\r\n\0b");
        assertEquals("saved", resp.reply().body(), "one key across both front ends");
      }
      assertEquals(0, site.commands.size(), "one execution");
    }
  }

  @Test
  void invalidRequestsGetAnErrorStatus() throws Exception {
    try (Loopback site = site(Sites.site())) {
      assertEquals("404", status(site.post("/no-such-class", "k", "x")));
      assertEquals("400", status(site.post("/keyed", "", "x")));
      assertEquals("413", status(site.post("/read", "", "x".repeat(2049))));
      assertEquals("400", status(site.gateway(new byte[] {0, 5, 0, 0, 9, 0, 1, 1, 1})));
      assertEquals("400", status(site.gateway(new byte[] {5, 0, 0, 0})));
      assertEquals(
          "400",
          status(site.gateway(Loopback.packet("", "PATH_INFO", "/read", "CONTENT_LENGTH", "-1"))));
      assertEquals("200", status(site.post("/health", "", "")));
      assertEquals(0, site.commands.size());
      assertEquals(0, site.life.counters().get(Count.REQUESTS));
    }
  }

  @Test
  void rejectionsAndFailuresGetTheirStatus() throws Exception {
    Sites.Builder small = Sites.site();
    small.memory = 10; // no request fits: rejected at once
    try (Loopback site = site(small)) {
      String refused = Loopback.response(site.post("/read", "", "x"));
      assertTrue(
          refused.startsWith("HTTP/1.1 503 ") && refused.contains("\r\nRetry-After: 1\r\n"),
          refused);
    }
    try (Loopback site = site(Sites.site())) {
      Socket failing = site.post("/keyed", "k1", "x");
      site.finish(site.command().ref(), "bad", 4, "");
      assertEquals("502", status(failing));
      long before = System.nanoTime();
      Socket hanging = site.post("/keyed", "k2", "x");
      assertEquals("504", status(hanging));
      double elapsedSeconds = (System.nanoTime() - before) / 1e9;
      assertTrue(
          elapsedSeconds > 1.5 && elapsedSeconds < 6.2,
          elapsedSeconds + " s with a latency objective of 2 s and a deadline of 6 s");
    }
  }

  @Test
  void disconnectedCallerCancelsItsExecutionUnlessKeyed() throws Exception {
    try (Loopback site = site(Sites.site())) {
      byte[] packet = Loopback.packet("half a body", "PATH_INFO", "/read", "CONTENT_LENGTH", "22");
      site.gateway(packet).close(); // disconnected within the body: not a complete request
      Socket disconnecting = site.post("/read", "", "x");
      Command spawn = site.command();
      assertEquals("x", spawn.body());
      disconnecting.close();
      assertEquals(new Command("suspend", spawn.ref(), "", ""), site.command());
      site.finish(spawn.ref(), "cut", 2, "");
      Socket keyed = site.post("/keyed", "k", "note");
      Command keyedRun = site.command();
      keyed.close(); // the execution continues, so that a retry gets its result
      while (site.life.counters().get(Count.CALLERS_DISCONNECTED) < 3) {
        Thread.onSpinWait(); // the disconnect must be read before the completion, or the request
        // would count as served
      }
      Socket retry = site.post("/keyed", "k", "note");
      site.finish(keyedRun.ref(), "good", 9, "saved");
      assertTrue(Loopback.response(retry).endsWith("saved"));
      assertEquals(0, site.commands.size());
      assertEquals(1, site.life.counters().get(Count.SERVED));
    }
  }

  /** Guards against a packet of thousands of empty variables, which cost 30 times a usual one. */
  @Test
  void variablesBeyondTheLimitAreRejectedAlsoIfTheirNamesAreEqual() throws Exception {
    try (Loopback site = site(Sites.site())) {
      String[] names = new String[2 * 257];
      Arrays.fill(names, "");
      assertEquals("400", status(site.gateway(Loopback.packet("", names))));
      names = Arrays.copyOf(names, 2 * 256);
      names[0] = "PATH_INFO";
      names[1] = "/health";
      assertEquals("200", status(site.gateway(Loopback.packet("", names))));
    }
  }

  /**
   * Guards against requests that are run and never answered because a gateway, or a proxy on its
   * path, ends its output behind the request: with the answer before, between and after the probes.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 20, 200, 800})
  void gatewayThatEndsItsOutputGetsItsAnswer(int answerAfterMs) throws Exception {
    try (Loopback site = site(Sites.site())) {
      for (String path : List.of("/read", "/keyed")) {
        Socket gateway = site.post(path, path.equals("/keyed") ? "k" : "", "x");
        Command spawn = site.command();
        gateway.shutdownOutput();
        Thread.sleep(answerAfterMs);

        site.finish(spawn.ref(), "good", 1, "fine");

        String response = Loopback.response(gateway);
        assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n"), response);
        assertTrue(response.endsWith("\r\n\r\nfine"), response);
      }
      assertEquals(0, site.commands.size(), "no run was suspended");
      assertEquals(2, site.life.counters().get(Count.SERVED));
      assertEquals(0, site.life.counters().get(Count.CALLERS_DISCONNECTED));
    }
  }

  // ---- Both front ends at 110% of the cores ----

  private static final double WORK_MS = 20;
  private static final int CORES = 2;

  /** Requests at 60% of the cores, from which the admission controller estimates the run time. */
  private static final int CALIBRATION_REQUESTS = 100;

  /** Requests that then arrive at once, so that the queue is full from there on. */
  private static final int BURST_REQUESTS = 36;

  private static final int REQUESTS = 500;
  private static final double TOLERANCE = 0.02;
  private static final int MAX_PASSES = 5;

  /**
   * Value served in time as a fraction of the offered value, with this fraction of requests sent
   * over uwsgi.
   */
  private static double servedValueFraction(double uwsgiFraction) throws Exception {
    Sites.Builder builder = Sites.site();
    builder.memory = 100_000;
    builder.haste = 4; // latency objectives of 0.5 s
    try (Loopback site = site(builder)) {
      site.autoMs = WORK_MS;
      Random random = new Random(42);
      DoubleAdder servedValue = new DoubleAdder();
      double offeredValue = 0;
      Map<Integer, Double> pendingValues = new ConcurrentHashMap<>();
      Queue<String> connectionErrors = new ConcurrentLinkedQueue<>();
      ExecutorService gateways = Executors.newCachedThreadPool();
      List<Caller> resp = new ArrayList<>();
      for (int i = 0; i < 8; i++) { // a connection allows 32 open requests
        Caller caller = site.new Caller();
        resp.add(caller);
        new Thread(
                () -> {
                  try {
                    for (; ; ) {
                      RespPeer.Reply reply = caller.reply();
                      double value = pendingValues.get(Integer.parseInt(reply.tag()));
                      servedValue.add(reply.word().equals("done") ? value : 0);
                      pendingValues.remove(Integer.parseInt(reply.tag()));
                    }
                  } catch (IOException e) {
                    return; // the connection is closed at the end of the test
                  }
                })
            .start();
      }
      long start = System.nanoTime();
      for (int i = 1; i <= REQUESTS; i++) {
        double work =
            Math.min(i, CALIBRATION_REQUESTS) / 0.6
                + Math.max(0, i - CALIBRATION_REQUESTS - BURST_REQUESTS) / 1.1;
        long at = start + (long) (work * WORK_MS * 1e6 / CORES);
        for (long left = at - System.nanoTime(); left > 0; left = at - System.nanoTime()) {
          LockSupport.parkNanos(left); // wait for the scheduled arrival
        }
        boolean keyed = random.nextInt(4) == 0;
        boolean uwsgi = random.nextDouble() < uwsgiFraction;
        double value = keyed ? 3 : 1;
        offeredValue += value;
        String body = (keyed ? "outcome-" : "read-") + i;
        if (uwsgi) {
          String path = keyed ? "/keyed" : "/read";
          String key = keyed ? "key-" + i : "";
          int attempts =
              keyed && i % 3 == 0 ? 2 : 1; // some are sent twice, the second attempt over RESP
          gateways.execute(
              () -> {
                try {
                  servedValue.add(status(site.post(path, key, body)).equals("200") ? value : 0);
                } catch (IOException e) {
                  connectionErrors.add(e.toString());
                }
              });
          if (attempts == 2) {
            pendingValues.put(i, 0.0);
            resp.get(i % resp.size()).ask(i, "keyed", key, body);
          }
        } else {
          pendingValues.put(i, value);
          resp.get(i % resp.size())
              .ask(i, keyed ? "keyed" : "read", keyed ? "key-" + i : null, body);
        }
      }
      gateways.shutdown();
      assertTrue(
          gateways.awaitTermination(Loopback.WAIT_S, TimeUnit.SECONDS),
          "request without an answer");
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_S);
      while (!pendingValues.isEmpty() && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertEquals(List.of(), List.copyOf(connectionErrors), "connection errors");
      assertEquals(Map.of(), pendingValues, "request without an answer");
      for (Caller caller : resp) {
        caller.close();
      }
      List<String> executedTwice =
          site.runs.entrySet().stream()
              .filter(run -> run.getKey().startsWith("outcome") && run.getValue().get() > 1)
              .map(Map.Entry::getKey)
              .toList();
      assertEquals(List.of(), executedTwice, "executed twice");
      return servedValue.sum() / offeredValue;
    }
  }

  @Test
  void gatewayThatNeverClosesIsClosed() throws Exception {
    try (Loopback site = site(Sites.site());
        Socket gateway = site.post("/health", "", "")) {
      Loopback.response(gateway);
      Socket answered = site.post("/read", "", "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      Loopback.response(answered);
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_S);
      while (site.life.gatewayConnections() > 0 && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertEquals(0, site.life.gatewayConnections());
      answered.close();
    }
  }

  @Test
  void aMixOfFrontsServesAsMuchAsOne() throws Exception {
    servedValueFraction(0.5); // warm-up
    double respOnly = 0;
    double mixed = 0;
    // Load on the machine only reduces the result, so the best of several passes is compared for
    // each side.
    for (int pass = 0;
        pass < MAX_PASSES && (pass == 0 || Math.abs(respOnly - mixed) > TOLERANCE);
        pass++) {
      respOnly = Math.max(respOnly, servedValueFraction(0));
      mixed = Math.max(mixed, servedValueFraction(0.5));
    }
    assertTrue(respOnly > 0.85 && respOnly <= 1, "value served over RESP alone: " + respOnly);
    assertEquals(respOnly, mixed, TOLERANCE, "value served, RESP alone against a mix");
  }
}
