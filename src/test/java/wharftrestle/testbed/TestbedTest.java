package wharftrestle.testbed;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.settings.BadSettingsException;
import wharftrestle.transport.BoundedReader;

/**
 * Tests the test environment itself: fault-injecting proxies, errors of fault scripts, and checkers
 * that detect each broken rule.
 */
@Timeout(60)
class TestbedTest {
  /** Enough that resets arrive before, during and after the connection is made. */
  private static final int REFUSED_CONNECTIONS = 3000;

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  // ---- Fault rules ----

  @Property(tries = 200)
  void streamKeepsItsOrderWithDelayAndRateLimit(
      @ForAll long seed,
      @ForAll @IntRange(max = 200) int jitter,
      @ForAll @IntRange(min = 1, max = 1000) int rate) {
    FaultRule rule = new FaultRule(seed);
    rule.apply(FaultRule.Effect.DELAY, 10, jitter);
    rule.apply(FaultRule.Effect.RATE, rate, 0);
    Random random = new Random(seed);
    double now = 0;
    double last = 0;
    long sent = 0;
    for (int i = 0; i < 100; i++) {
      int bytes = 1 + random.nextInt(5000);
      sent += bytes;
      double at = rule.deliveryTime(bytes, now);
      assertTrue(at >= last && at >= now + 10, "in order, and not before its delay");
      assertTrue(at >= (double) sent / rate - 1e-6, "not faster than its rate");
      last = at;
      now += random.nextDouble() * 5;
    }
  }

  @Test
  void sameSeedDropsTheSameDatagrams() {
    FaultRule one = new FaultRule(7);
    FaultRule two = new FaultRule(7);
    int lost = 0;
    int twice = 0;
    for (FaultRule rule : new FaultRule[] {one, two}) {
      rule.apply(FaultRule.Effect.DROP, 0.3, 0);
      rule.apply(FaultRule.Effect.DOUBLE, 0.2, 0);
      rule.apply(FaultRule.Effect.REORDER, 0.1, 0);
    }
    for (int i = 0; i < 1000; i++) {
      double[] copies = one.datagramDeliveries(i);
      assertArrayEquals(copies, two.datagramDeliveries(i));
      lost += copies.length == 0 ? 1 : 0;
      twice += copies.length == 2 ? 1 : 0;
    }
    assertTrue(lost > 250 && lost < 350, "lost " + lost);
    assertTrue(twice > 100 && twice < 180, "doubled " + twice);
    one.heal();
    assertEquals(1, one.datagramDeliveries(5000).length);
  }

  // ---- Proxies ----

  private interface ProxyTest {
    void run(FaultProxy proxy, Socket client, InputStream in) throws Exception;
  }

  /** Runs a test with a client connected through a proxy to an echo server. */
  private static void withEcho(ProxyTest test) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, LOOPBACK);
        FaultProxy proxy = new FaultProxy((InetSocketAddress) server.getLocalSocketAddress(), 7)) {
      Thread echo =
          new Thread(
              () -> {
                try {
                  for (; ; ) {
                    Socket socket = server.accept();
                    new Thread(
                            () -> {
                              try (socket) {
                                socket.getInputStream().transferTo(socket.getOutputStream());
                              } catch (IOException ended) {
                                return;
                              }
                            })
                        .start();
                  }
                } catch (IOException closed) {
                  return;
                }
              });
      echo.start();
      try (Socket client = new Socket(LOOPBACK, proxy.address().getPort())) {
        client.setSoTimeout(10_000);
        client.setTcpNoDelay(true);
        test.run(proxy, client, client.getInputStream());
      }
    }
  }

  @Test
  void blackholeDelaysStreamBytesUntilItIsHealed() throws Exception {
    withEcho(
        (proxy, client, in) -> {
          client.getOutputStream().write('a');
          assertEquals('a', in.read());
          proxy.apply(FaultRule.Effect.HOLE, 0, 0, false, true);
          client.getOutputStream().write('b');
          client.setSoTimeout(200);
          assertThrows(SocketTimeoutException.class, in::read);
          proxy.heal();
          client.setSoTimeout(10_000);
          assertEquals('b', in.read(), "no byte was lost");
        });
  }

  /**
   * Connects, sends a byte and reads one.
   *
   * @throws IOException where a step of it fails, also where the connection ends without a byte
   */
  private static int readThrough(InetSocketAddress address) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(5000);
      socket.getOutputStream().write('x');
      int read = socket.getInputStream().read();
      if (read < 0) {
        throw new IOException("ended");
      }
      return read;
    }
  }

  @Test
  void cutResetsConnectionsAndRefusesNewOnesUntilItIsHealed() throws Exception {
    withEcho(
        (proxy, client, in) -> {
          client.getOutputStream().write('a');
          assertEquals('a', in.read());
          proxy.cut();
          assertThrows(
              IOException.class,
              () -> {
                if (in.read() < 0) {
                  throw new IOException("ended");
                }
              });
          // The reset of a refused connection may arrive while it is still being made.
          for (int i = 0; i < REFUSED_CONNECTIONS; i++) {
            assertThrows(IOException.class, () -> readThrough(proxy.address()));
          }
          proxy.heal();
          try (Socket repeated = new Socket(LOOPBACK, proxy.address().getPort())) {
            repeated.getOutputStream().write('c');
            assertEquals('c', repeated.getInputStream().read());
          }
        });
  }

  @Test
  void delayAppliesToBothDirectionsAndHalfCloseToOne() throws Exception {
    withEcho(
        (proxy, client, in) -> {
          proxy.apply(FaultRule.Effect.DELAY, 60, 0, true, true);
          long began = System.nanoTime();
          client.getOutputStream().write('a');
          assertEquals('a', in.read());
          assertTrue(
              System.nanoTime() - began >= TimeUnit.MILLISECONDS.toNanos(119),
              "delayed in both directions");
          proxy.heal();
          proxy.halfClose();
          assertEquals(-1, in.read(), "the server read the end of the stream and closed its side");
        });
  }

  @Test
  void datagramsAreForwardedAndABlackholeDropsThem() throws Exception {
    try (DatagramSocket server = new DatagramSocket(0, LOOPBACK);
        DatagramSocket client = new DatagramSocket(0, LOOPBACK);
        FaultProxy proxy = new FaultProxy((InetSocketAddress) server.getLocalSocketAddress(), 7)) {
      server.setSoTimeout(5000);
      DatagramPacket packet = new DatagramPacket(new byte[10], 10);
      client.send(new DatagramPacket(BoundedReader.ascii("one"), 3, proxy.address()));
      server.receive(packet);
      assertEquals(3, packet.getLength());
      server.send(new DatagramPacket(BoundedReader.ascii("back"), 4, packet.getSocketAddress()));
      client.setSoTimeout(5000);
      client.receive(packet);
      assertEquals(4, packet.getLength());
      proxy.apply(FaultRule.Effect.HOLE, 0, 0, true, false);
      client.send(new DatagramPacket(BoundedReader.ascii("lost"), 4, proxy.address()));
      server.setSoTimeout(200);
      assertThrows(SocketTimeoutException.class, () -> server.receive(packet));
    }
  }

  @Test
  void proxyRejectsATargetOffLoopback() {
    assertThrows(
        IOException.class, () -> new FaultProxy(new InetSocketAddress("192.0.2.1", 80), 1));
  }

  // ---- Scripts ----

  @Test
  void scriptStepsAreSortedByTime() throws Exception {
    FaultScript script =
        FaultScript.parse(
            "f.star",
            """
                play(seconds = 5, boxes = 2, seed = 9)
                for box in ["b1", "b2"]:
                    at(2, cut(box, "pool"))
                at(1, delay("b1", "front", 40, jitter = 5, way = "there"))
                """);
    assertEquals(9, script.run().seed());
    assertEquals(3, script.steps().size());
    assertEquals(
        new FaultScript.Step(
            1, new FaultScript.Fault(FaultScript.Kind.DELAY, "b1", "front", 40, 5, "there")),
        script.steps().get(0));
  }

  @Test
  void scriptErrorsNameLineAndColumn() {
    String[][] cases = {
      {"at(1, cut(\"b1\"))", "f.star:1:7: cut needs path"},
      {
        "at(1, cut(\"b1\", \"moon\"))",
        "f.star:1:17: cut.path: expected one of front, pool, store, names, got moon"
      },
      {"at(1, cut(\"b2\", \"pool\"))", "f.star:1:1: no box b2: play declares 1 boxes"},
      {"at(1, 2)", "f.star:1:7: at takes a fault, such as cut(\"b1\", \"front\")"},
      {
        "at(99, kill(\"b1\"))",
        "f.star:1:1: expected a time of at most 10.0 s, the end of the scenario"
      },
      {
        "at(1, delay(\"b1\", \"pool\", -4))",
        "f.star:1:27: delay.ms: expected a number from 0.0 to 60000.0, got -4"
      },
      {
        "at(1, drop(\"b1\", \"pool\", 0.5))",
        "f.star:1:1: datagrams cross the path \"names\" alone; use hole or delay"
      },
      {"explode(\"b1\")", "f.star:1:1: nothing is named 'explode'"},
      {
        "play(boxes = 2, boxs = 1)",
        "f.star:1:24: play has no 'boxs', expected one of seconds, boxes, callers, kept, seed"
      },
      {"at(1, kill(\"b1\"), 3)", "f.star:1:19: at takes 2 values: time, fault"},
    };
    for (String[] invalidCase : cases) {
      BadSettingsException e =
          assertThrows(
              BadSettingsException.class, () -> FaultScript.parse("f.star", invalidCase[0]));
      assertEquals(invalidCase[1], e.getMessage());
    }
  }

  @Test
  void exampleScriptIsValid() throws Exception {
    assertEquals(3, FaultScript.read(Path.of("docs/examples/faults.star")).run().hosts());
  }

  // ---- Checkers: each has to detect a daemon that breaks its rule ----

  private enum Mutant {
    NONE,
    RUNS_TWICE,
    REFUSES_AFTER_RUN,
    SENDS_OTHER_BYTES,
    LOSES,
    SENDS_UNKNOWN_WORD,
    ANSWERS_TWICE,
    RUNS_AFTER_ITS_NOTICE,
    ANSWERS_WHEN_OVERDUE
  }

  /** Deadline of the requests in the tests of the checkers, and the delay of a late reply. */
  private static final long DEADLINE_MS = 1000;

  private static final long LATE_REPLY_MS = 1700;

  /**
   * Runs clients against a fake daemon that keeps the result of each key and breaks at most one
   * rule.
   */
  private static TestClients.Tally runMutant(Mutant mutant) throws Exception {
    try (FakeWorkerPool pool = new FakeWorkerPool(null, new Random(3), 5, 20);
        ServerSocket front = new ServerSocket(0, 50, LOOPBACK)) {
      Thread daemon =
          new Thread(
              () -> {
                try {
                  for (; ; ) {
                    Socket client = front.accept();
                    new Thread(() -> serve(client, pool, mutant)).start();
                  }
                } catch (IOException closed) {
                  return;
                }
              });
      daemon.start();
      TestClients clients =
          new TestClients(
              (InetSocketAddress) front.getLocalSocketAddress(),
              pool,
              System::currentTimeMillis,
              TestClients.Workload.of(1, 9000),
              DEADLINE_MS,
              11,
              () -> false);
      if (mutant == Mutant.RUNS_AFTER_ITS_NOTICE) {
        clients.recordLeaveNotice(System.nanoTime() - TimeUnit.SECONDS.toNanos(3));
      }
      clients.start();
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
      while (clients.served() < 60
          && System.nanoTime() < deadline
          && (mutant == Mutant.NONE || clients.tally().holds())) {
        LockSupport.parkNanos(5_000_000);
      }
      clients.stop();
      return clients.tally();
    }
  }

  private static void serve(Socket client, FakeWorkerPool pool, Mutant mutant) {
    Map<String, byte[]> resultsByBody = new HashMap<>();
    try (client;
        Socket workers = new Socket(LOOPBACK, pool.address().getPort())) {
      InputStream in = new BufferedInputStream(client.getInputStream());
      InputStream runs = new BufferedInputStream(workers.getInputStream());
      OutputStream out = client.getOutputStream();
      workers.getOutputStream().write(BoundedReader.ascii("bind 0\r\n"));
      BoundedReader.line(runs, 100);
      for (int request = 1; ; request++) {
        String[] words = new String[Integer.parseInt(BoundedReader.line(in, 20).substring(1))];
        for (int i = 0; i < words.length; i++) {
          int length = Integer.parseInt(BoundedReader.line(in, 20).substring(1));
          words[i] = new String(BoundedReader.exactly(in, length), StandardCharsets.ISO_8859_1);
          BoundedReader.crlf(in);
        }
        byte[] result = resultsByBody.get(words[4]);
        boolean repeated = result != null;
        if (mutant == Mutant.LOSES && request == 9) {
          return;
        }
        if (mutant == Mutant.ANSWERS_WHEN_OVERDUE && request == 9) {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LATE_REPLY_MS));
        }
        if (repeated && mutant == Mutant.REFUSES_AFTER_RUN) {
          out.write(reply(words[1], "later", new byte[0]));
          continue;
        }
        if (!repeated || mutant == Mutant.RUNS_TWICE) {
          workers
              .getOutputStream()
              .write(
                  BoundedReader.join(
                      BoundedReader.ascii(
                          "spawn "
                              + request
                              + " save "
                              + words[4].length()
                              + "\r\n"
                              + words[4]
                              + "\r\n")));
          String[] end = BoundedReader.line(runs, 400).split(" ", 0);
          result = BoundedReader.exactly(runs, Integer.parseInt(end[5]));
          BoundedReader.crlf(runs);
          resultsByBody.put(words[4], result);
        }
        byte[] reply =
            repeated && mutant == Mutant.SENDS_OTHER_BYTES
                ? BoundedReader.join(result, BoundedReader.ascii("!"))
                : result;
        if (mutant == Mutant.ANSWERS_TWICE && request == 9) {
          out.write(reply(words[1], "done", reply));
        }
        out.write(reply(words[1], mutant == Mutant.SENDS_UNKNOWN_WORD ? "perhaps" : "done", reply));
      }
    } catch (IOException ended) {
      return;
    }
  }

  private static byte[] reply(String tag, String word, byte[] body) {
    return BoundedReader.join(
        BoundedReader.ascii(
            "*4\r\n$"
                + tag.length()
                + "\r\n"
                + tag
                + "\r\n$"
                + word.length()
                + "\r\n"
                + word
                + "\r\n$0\r\n\r\n$"
                + body.length
                + "\r\n"),
        body,
        BoundedReader.ascii("\r\n"));
  }

  @Test
  void eachCheckerDetectsOnlyADaemonThatBreaksItsRule() throws Exception {
    TestClients.Tally unmodified = runMutant(Mutant.NONE);
    assertTrue(unmodified.holds() && unmodified.again() > 5, unmodified.toString());
    assertTrue(runMutant(Mutant.RUNS_TWICE).runTwice() > 0);
    assertTrue(runMutant(Mutant.REFUSES_AFTER_RUN).refusedAfterRun() > 0);
    assertTrue(runMutant(Mutant.SENDS_OTHER_BYTES).otherBytes() > 0);
    assertTrue(runMutant(Mutant.LOSES).lost() > 0);
    assertTrue(runMutant(Mutant.SENDS_UNKNOWN_WORD).unknown() > 0);
    assertTrue(runMutant(Mutant.ANSWERS_TWICE).doubled() > 0);
    assertTrue(runMutant(Mutant.RUNS_AFTER_ITS_NOTICE).ranLate() > 0);
    assertTrue(runMutant(Mutant.ANSWERS_WHEN_OVERDUE).overdue() > 0);
  }

  private static void bindsAnotherPortThan(int occupiedPort) throws Exception {
    FaultProxy.Ports ports = FaultProxy.ports(occupiedPort);
    try (ServerSocket streams = ports.streams();
        DatagramSocket datagrams = ports.datagrams()) {
      assertEquals(streams.getLocalPort(), datagrams.getLocalPort());
      assertTrue(streams.getLocalPort() != occupiedPort);
    }
  }

  @Test
  void proxyBindsAnotherPortIfTheFirstIsInUse() throws Exception {
    try (DatagramSocket datagrams = new DatagramSocket(0, LOOPBACK);
        ServerSocket streams = new ServerSocket(0, 1, LOOPBACK)) {
      bindsAnotherPortThan(datagrams.getLocalPort());
      bindsAnotherPortThan(streams.getLocalPort());
    }
  }

  @Test
  void fakeWorkerPoolExecutesARespawnedRequestOnce() throws Exception {
    byte[] spawn = BoundedReader.ascii("spawn 0000000000000001 save 4\r\nnote\r\n");
    try (FakeWorkerPool pool = new FakeWorkerPool(null, new Random(3), 50, 20)) {
      String first;
      try (Socket proxy = new Socket(LOOPBACK, pool.address().getPort())) {
        proxy.setSoTimeout(5000);
        InputStream in = new BufferedInputStream(proxy.getInputStream());
        proxy
            .getOutputStream()
            .write(BoundedReader.join(BoundedReader.ascii("bind 0\r\n"), spawn, spawn));
        assertTrue(
            BoundedReader.line(in, 100).matches("bound old 6\\d{4}"),
            "the pool reports an uptime of a minute");
        first = BoundedReader.line(in, 100);
        assertTrue(first.startsWith("finished 1 0000000000000001 good "), first);
      }
      try (Socket proxy = new Socket(LOOPBACK, pool.address().getPort())) {
        proxy.setSoTimeout(5000);
        InputStream in = new BufferedInputStream(proxy.getInputStream());
        proxy.getOutputStream().write(BoundedReader.join(BoundedReader.ascii("bind 7\r\n"), spawn));
        assertTrue(
            BoundedReader.line(in, 100).matches("bound old 6\\d{4}"),
            "the pool reports an uptime of a minute");
        assertEquals(
            first.replace("finished 1 ", "finished 8 "),
            BoundedReader.line(in, 100),
            "the outcome is sent again");
      }
      assertEquals(1, pool.executionStarts("note").size());
    }
  }

  // ---- Scenarios ----

  /**
   * Requests are stamped with the wall clock of the host: a step of it must move neither
   * idempotency windows nor deadlines.
   */
  @ParameterizedTest
  @ValueSource(strings = {"True", "False"})
  void clockStepWithinTheWindowExecutesNoKeyTwice(String kept) throws Exception {
    FaultScript script =
        FaultScript.parse(
            "f.star",
            """
                play(seconds = 7, boxes = 1, callers = 4, seed = 6, kept = KEPT)
                at(1.5, clock("b1", 3600000))
                at(2.5, change("b1"))
                at(4.5, clock("b1", -3600000))
                at(5.5, change("b1"))
                """
                .replace("KEPT", kept));
    ByteArrayOutputStream results = new ByteArrayOutputStream();
    assertTrue(
        new Scenario(
                script, null, System.out, new PrintStream(results, false, StandardCharsets.UTF_8))
            .execute(),
        results.toString(StandardCharsets.UTF_8));
    JsonNode tally =
        new ObjectMapper()
            .readTree(results.toString(StandardCharsets.UTF_8).split("\n", 0)[4])
            .path("tally");
    assertTrue(tally.path("again").asInt() > 50, "keys were repeated throughout: " + tally);
    assertTrue(
        tally.path("failed").asInt() + tally.path("refused").asInt() < 20,
        "the daemon kept serving: " + tally);
  }

  @Test
  void terminatedDaemonExecutesNoLateRequestAndRestarts() throws Exception {
    FaultScript script =
        FaultScript.parse(
            "f.star",
            """
                play(seconds = 9, boxes = 1, callers = 3, seed = 8, kept = True)
                at(1.5, leave("b1"))
                at(5.5, start("b1"))
                """);
    ByteArrayOutputStream results = new ByteArrayOutputStream();
    assertTrue(
        new Scenario(
                script, null, System.out, new PrintStream(results, false, StandardCharsets.UTF_8))
            .execute(),
        results.toString(StandardCharsets.UTF_8));
  }

  @Test
  void realProcessesWithFaultsBreakNoRule() throws Exception {
    FaultScript script =
        FaultScript.parse(
            "f.star",
            """
                play(seconds = 6, boxes = 2, callers = 2, seed = 5)
                at(0.5, delay("b1", "front", 20, 10))
                at(1, change("b2"))
                at(1.5, cut("b1", "pool"))
                at(2, heal("b1", "pool"))
                at(3, hole("b1", "pool", "back"))
                at(3.5, heal("b1", "pool"))
                at(4, stop("b2"))
                at(4.5, go("b2"))
                """);
    ByteArrayOutputStream results = new ByteArrayOutputStream();
    assertTrue(
        new Scenario(
                script, null, System.out, new PrintStream(results, false, StandardCharsets.UTF_8))
            .execute());
    String[] lines = results.toString(StandardCharsets.UTF_8).split("\n", 0);
    assertEquals(8 + 2 + 1, lines.length, results.toString(StandardCharsets.UTF_8));
    assertTrue(lines[lines.length - 1].contains("\"holds\":true"));
  }
}
