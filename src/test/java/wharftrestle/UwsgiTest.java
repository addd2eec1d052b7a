package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
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
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.testbed.RespPeer;

/** Stories of the uwsgi front: a stand-in gateway before it, a stand-in worker pool behind. */
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
  void anAnswerIsHttp() throws Exception {
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
      try (Socket again = site.post("/keyed", "k1", "a\r\n\0b");
          Caller resp = site.new Caller()) {
        assertTrue(Loopback.response(again).endsWith("\r\n\r\nsaved"), "replayed");
        resp.ask(1, "keyed", "k1", "a\r\n\0b");
        assertEquals("saved", resp.reply().body(), "one key whatever the front");
      }
      assertEquals(0, site.commands.size(), "one run");
    }
  }

  @Test
  void whatCannotBeTakenIsSaid() throws Exception {
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
  void refusalsAndFailuresAreTold() throws Exception {
    Sites.Builder small = Sites.site();
    small.memory = 10; // nothing fits: refused at once
    try (Loopback site = site(small)) {
      String refused = Loopback.response(site.post("/read", "", "x"));
      assertTrue(
          refused.startsWith("HTTP/1.1 503 ") && refused.contains("\r\nRetry-After: 1\r\n"),
          refused);
    }
    try (Loopback site = site(Sites.site())) {
      Socket fails = site.post("/keyed", "k1", "x");
      site.finish(site.command().ref(), "bad", 4, "");
      assertEquals("502", status(fails));
      long before = System.nanoTime();
      Socket hangs = site.post("/keyed", "k2", "x");
      assertEquals("504", status(hangs));
      double took = (System.nanoTime() - before) / 1e9;
      assertTrue(took > 1.5 && took < 6.2, took + " s for an aim of 2 s and a wait of 6 s");
    }
  }

  @Test
  void aCallerThatVanishesIsGone() throws Exception {
    try (Loopback site = site(Sites.site())) {
      byte[] whole = Loopback.packet("half a body", "PATH_INFO", "/read", "CONTENT_LENGTH", "22");
      site.gateway(whole).close(); // within its body: no request came to be
      Socket runs = site.post("/read", "", "x");
      Command spawn = site.command();
      assertEquals("x", spawn.body());
      runs.close();
      assertEquals(new Command("suspend", spawn.ref(), "", ""), site.command());
      site.finish(spawn.ref(), "cut", 2, "");
      Socket keyed = site.post("/keyed", "k", "note");
      Command run = site.command();
      keyed.close(); // its run goes on, for the next try to have its result
      while (site.life.counters().get(Count.CALLERS_DISCONNECTED) < 3) {
        Thread.onSpinWait(); // its end is read before the run's, or it would be served
      }
      Socket again = site.post("/keyed", "k", "note");
      site.finish(run.ref(), "good", 9, "saved");
      assertTrue(Loopback.response(again).endsWith("saved"));
      assertEquals(0, site.commands.size());
      assertEquals(1, site.life.counters().get(Count.SERVED));
    }
  }

  // ---- Both fronts at 110% of the cores ----

  private static final double WORK_MS = 20;
  private static final int CORES = 2;

  /** Requests at 60% of the cores, from which the module learns what a run takes. */
  private static final int CALM = 100;

  /** Requests that then come at once, so that the hold is full from there on. */
  private static final int AT_ONCE = 36;

  private static final int REQUESTS = 500;
  private static final double TOLERANCE = 0.02;
  private static final int MOST_PASSES = 5;

  /**
   * Worth served in time over worth asked for, where each request in {@code share} comes by uwsgi.
   */
  private static double service(double share) throws Exception {
    Sites.Builder kind = Sites.site();
    kind.memory = 100_000;
    kind.haste = 4; // aims of 0.5 s
    try (Loopback site = site(kind)) {
      site.autoMs = WORK_MS;
      Random random = new Random(42);
      DoubleAdder served = new DoubleAdder();
      double asked = 0;
      Map<Integer, Double> worths = new ConcurrentHashMap<>();
      Queue<String> broken = new ConcurrentLinkedQueue<>();
      ExecutorService gateways = Executors.newCachedThreadPool();
      List<Caller> resp = new ArrayList<>();
      for (int i = 0; i < 8; i++) { // a connection takes 32 open requests
        Caller caller = site.new Caller();
        resp.add(caller);
        new Thread(
                () -> {
                  try {
                    for (; ; ) {
                      RespPeer.Reply reply = caller.reply();
                      double worth = worths.get(Integer.parseInt(reply.tag()));
                      served.add(reply.word().equals("done") ? worth : 0);
                      worths.remove(Integer.parseInt(reply.tag()));
                    }
                  } catch (IOException e) {
                    return; // the end of the day
                  }
                })
            .start();
      }
      long start = System.nanoTime();
      for (int i = 1; i <= REQUESTS; i++) {
        double work = Math.min(i, CALM) / 0.6 + Math.max(0, i - CALM - AT_ONCE) / 1.1;
        long at = start + (long) (work * WORK_MS * 1e6 / CORES);
        for (long left = at - System.nanoTime(); left > 0; left = at - System.nanoTime()) {
          LockSupport.parkNanos(left); // the schedule of arrivals
        }
        boolean keyed = random.nextInt(4) == 0;
        boolean uwsgi = random.nextDouble() < share;
        double worth = keyed ? 3 : 1;
        asked += worth;
        String body = (keyed ? "outcome-" : "read-") + i;
        if (uwsgi) {
          String path = keyed ? "/keyed" : "/read";
          String key = keyed ? "key-" + i : "";
          int tries = keyed && i % 3 == 0 ? 2 : 1; // some are sent twice, the second try over RESP
          gateways.execute(
              () -> {
                try {
                  served.add(status(site.post(path, key, body)).equals("200") ? worth : 0);
                } catch (IOException e) {
                  broken.add(e.toString());
                }
              });
          if (tries == 2) {
            worths.put(i, 0.0);
            resp.get(i % resp.size()).ask(i, "keyed", key, body);
          }
        } else {
          worths.put(i, worth);
          resp.get(i % resp.size())
              .ask(i, keyed ? "keyed" : "read", keyed ? "key-" + i : null, body);
        }
      }
      gateways.shutdown();
      assertTrue(gateways.awaitTermination(Loopback.WAIT_S, TimeUnit.SECONDS), "an answer is owed");
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_S);
      while (!worths.isEmpty() && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertEquals(List.of(), List.copyOf(broken), "connections broke");
      assertEquals(Map.of(), worths, "an answer is owed");
      for (Caller caller : resp) {
        caller.close();
      }
      List<String> twice =
          site.runs.entrySet().stream()
              .filter(run -> run.getKey().startsWith("outcome") && run.getValue().get() > 1)
              .map(Map.Entry::getKey)
              .toList();
      assertEquals(List.of(), twice, "ran twice");
      return served.sum() / asked;
    }
  }

  @Test
  void aGatewayThatLeavesItsSideOpenIsCut() throws Exception {
    try (Loopback site = site(Sites.site());
        Socket gateway = site.post("/health", "", "")) {
      Loopback.response(gateway);
      Socket asks = site.post("/read", "", "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      Loopback.response(asks);
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(Loopback.WAIT_S);
      while (site.life.gatewayConnections() > 0 && System.nanoTime() < end) {
        Thread.onSpinWait();
      }
      assertEquals(0, site.life.gatewayConnections());
      asks.close();
    }
  }

  @Test
  void aMixOfFrontsServesAsMuchAsOne() throws Exception {
    service(0.5); // warms the program up
    double one = 0;
    double mix = 0;
    // A busy machine only takes service away, so the best of some passes of each side is compared.
    for (int pass = 0;
        pass < MOST_PASSES && (pass == 0 || Math.abs(one - mix) > TOLERANCE);
        pass++) {
      one = Math.max(one, service(0));
      mix = Math.max(mix, service(0.5));
    }
    assertTrue(one > 0.85 && one <= 1, "service over RESP alone: " + one);
    assertEquals(one, mix, TOLERANCE, "service by worth, RESP alone against a mix");
  }
}
