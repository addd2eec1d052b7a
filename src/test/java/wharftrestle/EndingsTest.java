package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.daemon.Lifecycle;
import wharftrestle.daemon.SignalHandlers;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.Counters.Count;
import wharftrestle.request.AdmissionFactory;
import wharftrestle.request.Answer;
import wharftrestle.request.IncomingRequest;
import wharftrestle.request.PlatformThreads;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.testbed.RespPeer.Reply;

/**
 * Tests of races between the end of a request, an execution, a link or the process and an event
 * that crosses it; docs/design/endings.md lists them.
 */
// A failing test may busy-wait without end.
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndingsTest {
  private static final int STOP_MS = 10_000;

  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private static Sites.Builder siteWithStore() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    return site;
  }

  // ---- Requests and their answers ----

  @Test
  void cancellationAfterTheAnswerHasNoEffect() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals(new Reply("1", "done", "", "fine"), caller.reply());
      caller.send("NEVERMIND", "1"); // crossed the answer
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "exactly one answer");
      assertEquals(0, site.life.counters().get(Count.CALLERS_DISCONNECTED));
      assertEquals(0, site.life.counters().inFlight());
    }
  }

  @Test
  void truncatedResultIsResentAndAnsweredOnce() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "x");
      assertEquals("spawn", site.command().verb());
      site.sendRaw("finished 1 " + ref(1) + " good 5 100\r\nhalf of it");
      site.breakLink();
      site.finish(ref(1), "good", 5, "whole"); // sent when the next link binds
      assertEquals(
          new Command("bind", "", "0", ""),
          site.command(),
          "the truncated notice does not count as read");
      assertEquals(new Reply("1", "done", "", "whole"), caller.reply());
      // A duplicate with the same notice number.
      site.sendRaw("finished 1 " + ref(1) + " good 5 5\r\nagain\r\n");
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "exactly one answer");
    }
  }

  @Test
  void workerPoolRestartFailsItsExecutionsAndResetsItsNotices() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k1", "x");
      site.finish(site.command().ref(), "good", 1, "before");
      assertEquals("before", caller.reply().body());
      caller.ask(2, "keyed", "k2", "y");
      assertEquals("spawn", site.command().verb());
      long startedAt = System.nanoTime();
      while (System.nanoTime() - startedAt < 1_100_000_000L) { // traffic for more than a second
        caller.send("STATUS", "3", "");
        assertEquals("healthy", caller.reply().word());
      }
      site.restartPool();
      assertEquals(
          new Reply("2", "error", "", ""),
          caller.reply(),
          "its execution is lost: it fails long before its deadline");
      assertEquals("1", site.command().rest(), "the first bind states the last notice read");
      assertEquals("0", site.command().rest(), "the second bind starts again at 0");
      caller.ask(4, "read", null, "z");
      assertEquals(new Command("spawn", ref(4), "read", "z"), site.command());
      site.finish(ref(4), "good", 1, "after");
      assertEquals(
          "after", caller.reply().body(), "the notices of the new worker pool are numbered from 1");
      caller.ask(5, "keyed", "k2", "y");
      assertEquals(
          "error",
          caller.reply().word(),
          "a request that may have been executed is neither executed again nor rejected");
      assertNull(site.commands.poll());
    }
  }

  @Test
  void answerAtTheDeadlineIsTheOnlyOne() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      // 300 ms remain until the deadline.
      caller.ask(1, 1, System.currentTimeMillis() - 5700, "keyed", "k", "x");
      Reply late = caller.reply();
      assertEquals("1", late.tag());
      Command next = site.commands.poll(0, TimeUnit.MILLISECONDS);
      if (next != null && next.verb().equals("spawn")) {
        site.finish(ref(1), "good", 300, "too late"); // the completion crosses the answer
      }
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "no second answer");
    }
  }

  // ---- The process ----

  @Test
  void shutdownClosesIdleConnectionsWithoutResetAndDropsTheirLateRequests() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller idle = site.new Caller();
        Caller working = site.new Caller()) {
      idle.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", idle.reply().body());
      working.ask(1, 2, System.currentTimeMillis(), "long", null, "hangs");
      assertEquals("spawn", site.command().verb());
      Thread server = site.startServing();
      site.life.leave();
      assertEquals("closing", idle.reply().word());
      assertEquals(-1, idle.socket.getInputStream().read(), "end of stream");
      idle.ask(2, "read", null, "crosses the end"); // read and dropped, with no reset
      idle.send("NEVERMIND", "2");
      assertEquals(-1, idle.socket.getInputStream().read());
      assertEquals("closing", working.reply().word());
      site.finish(ref(2), "good", 30, "in time");
      assertEquals("in time", working.reply().body(), "the connection stays open until its answer");
      assertEquals(-1, working.socket.getInputStream().read());
      idle.close();
      working.close();
      server.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
      assertTrue(
          site.commands.stream().noneMatch(c -> c.verb().equals("spawn")),
          "late requests were not dispatched");
    }
  }

  @Test
  void connectionsInTheAcceptBacklogAtShutdownAreAnswered() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller busy = site.new Caller()) {
      Thread server = site.startServing();
      site.life.leave();
      site.life.leave(); // a second notice to leave has no effect
      do {
        busy.send("STATUS", "1", "");
      } while (!busy.reply().word().equals("sick"));
      while (site.life.state() != Lifecycle.State.CLOSING) {
        try (Caller latecomer = site.new Caller()) {
          latecomer.send("STATUS", "1", "");
          Reply reply = latecomer.reply();
          assertEquals(
              "0 closing".equals(reply.tag() + " " + reply.word()) ? "closing" : "sick",
              reply.word());
        } catch (java.net.ConnectException refused) {
          break; // a refused connection proves that nothing was executed
        }
      }
      busy.close();
      server.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  @Test
  void reloadDuringShutdownIsAppliedAndRequestsInFlightAreAnswered() throws Exception {
    try (Loopback site = new Loopback(siteWithStore());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "x");
      site.command();
      Thread server = site.startServing();
      site.life.leave();
      while (site.life.state() == Lifecycle.State.SERVING) {
        Thread.onSpinWait();
      }
      wharftrestle.config.DaemonConfig next = site.movePeers(siteWithStore());
      site.life.reload(() -> next);
      assertEquals(
          new Command("bind", "", "0", ""),
          site.command(),
          "the daemon binds to the moved worker pool while it drains");
      assertEquals(
          "spawn", site.command().verb(), "commands that may be lost with the link are resent");
      site.finish(ref(1), "good", 9, "done");
      assertEquals("done", caller.reply().body());
      caller.close();
      server.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  @Test
  void signalsBeforeTheDaemonIsAttachedAreDeliveredOnAttach() throws Exception {
    AtomicInteger reloads = new AtomicInteger();
    try (Loopback site = new Loopback(Sites.site())) {
      wharftrestle.config.DaemonConfig config = site.movePeers(Sites.site());
      CountDownLatch handled = new CountDownLatch(2);
      SignalHandlers early =
          new SignalHandlers(
              () -> {
                reloads.incrementAndGet();
                return config;
              }) {
            @Override
            public void onHandled() {
              handled.countDown();
            }
          };
      Signal.raise(new Signal("HUP"));
      Signal.raise(new Signal("TERM"));
      assertTrue(handled.await(STOP_MS, TimeUnit.MILLISECONDS));
      assertEquals(Lifecycle.State.SERVING, site.life.state());
      early.attach(site.life);
      assertEquals(1, reloads.get(), "the early SIGHUP reloads on attach");
      Thread server = site.startServing();
      server.join(STOP_MS);
      assertEquals(
          Lifecycle.State.STOPPED,
          site.life.state(),
          "the early SIGTERM stops the daemon on attach");
    }
  }

  // ---- Failures within the process ----

  /** Returns a started request coordinator with this worker pool and no sockets. */
  private static RequestCoordinator coordinator(
      SilentPool workerPool, AdmissionFactory admissionFactory) {
    RequestCoordinator coordinator =
        new RequestCoordinator(
            Sites.site().build(),
            7,
            64,
            KeyMemoryBudget.of(1 << 20),
            admissionFactory,
            new Counters(List.of("read", "save", "keyed", "unsafe", "long")));
    coordinator.start(workerPool, null, good -> {});
    return coordinator;
  }

  private static IncomingRequest request(int number) {
    return new IncomingRequest(
        ref(number),
        false,
        0,
        0,
        24,
        1,
        0.5,
        0,
        null,
        null,
        System.currentTimeMillis(),
        new byte[0]);
  }

  @Test
  void shutdownBeforeTheWorkerPoolIsUpDispatchesNothing() throws Exception {
    AtomicInteger spawned = new AtomicInteger();
    RequestCoordinator coordinator =
        coordinator(
            new SilentPool() {
              @Override
              public void dispatch(String ref, String className, byte[] body) {
                spawned.incrementAndGet();
              }
            },
            AdmissionController::new);
    coordinator.beginShutdown(5);
    coordinator.workerPoolStarted(true, 0); // the worker pool comes up in the grace period
    BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    coordinator.accept(request(1), answers::add);
    assertEquals(Answer.Kind.REJECTED, answers.take().kind());
    assertEquals(0, spawned.get());
  }

  @Test
  void errorInDispatchStillYieldsAnAnswer() throws Exception {
    RequestCoordinator coordinator =
        coordinator(
            new SilentPool() {
              @Override
              public void dispatch(String ref, String className, byte[] body) {
                throw new OutOfMemoryError("made up");
              }
            },
            AdmissionController::new);
    coordinator.workerPoolStarted(false, 100);
    BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    coordinator.accept(request(1), answers::add);
    Answer answer = answers.poll(2, TimeUnit.SECONDS);
    assertEquals(
        Answer.Kind.FAILED,
        answer == null ? null : answer.kind(),
        "answered at once, not at the deadline");
    assertTrue(coordinator.awaitDrained(2), "no request remains in flight");
  }

  @Test
  void timerContinuesAfterAnErrorAndRepeatsTheFailedEvent() throws Exception {
    CountDownLatch firings = new CountDownLatch(2);
    RequestCoordinator coordinator =
        coordinator(
            new SilentPool(),
            (now, seed, settings, actions) -> {
              actions.setTimer(77, 0);
              Admission.Events admission = new AdmissionController(now, seed, settings, actions);
              return (Admission.Events)
                  Proxy.newProxyInstance(
                      EndingsTest.class.getClassLoader(),
                      new Class<?>[] {Admission.Events.class},
                      (self, method, arguments) -> {
                        if (method.getName().equals("timerFired") && arguments[1].equals(77L)) {
                          firings.countDown();
                          if (firings.getCount() == 1) {
                            throw new StackOverflowError("made up");
                          }
                          return null;
                        }
                        return method.invoke(admission, arguments);
                      });
            });
    coordinator.workerPoolStarted(false, 100);
    assertTrue(
        firings.await(5, TimeUnit.SECONDS), "the timer event whose handler failed fired again");
  }

  @Test
  void restartingThreadRestartsAfterErrorsOnly() throws Exception {
    CountDownLatch starts = new CountDownLatch(3);
    Thread restarting =
        PlatformThreads.restartingThread(
            "made up",
            () -> {
              starts.countDown();
              if (starts.getCount() > 0) {
                throw new StackOverflowError("made up");
              }
            });
    restarting.start();
    assertTrue(starts.await(5, TimeUnit.SECONDS));
    restarting.join(5000);
    assertTrue(!restarting.isAlive(), "a normal return ends the thread");
  }

  @Test
  void unreachableNameServiceDelaysNoRequestAndGetsReportsWhenItIsBack() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      int port = site.nameService.getLocalPort();
      assertEquals("renew n1 yes", site.report());
      site.nameService.close(); // unreachable: the system returns an error for each report
      long reports = site.life.counters().get(Count.LOAD_REPORTS);
      while (site.life.counters().get(Count.LOAD_REPORTS) < reports + 3) {
        caller.ask((int) site.life.counters().get(Count.REQUESTS) + 1, "read", null, "x");
        site.finish(site.command().ref(), "good", 1, "fine");
        assertEquals("fine", caller.reply().body());
      }
      try (DatagramSocket back = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
        back.setSoTimeout(5000);
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        back.receive(packet);
        assertEquals(
            "renew n1 yes", new String(packet.getData(), 0, packet.getLength(), "ISO-8859-1"));
      }
    }
  }

  // ---- Calls ----

  @Test
  void responseToACancelledCallIsDroppedAndItsConnectionIsNotReused() throws Exception {
    try (Loopback site = new Loopback(siteWithStore());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      site.command();
      site.block(ref(1), "select");
      assertTrue(site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS).endsWith("select"));
      caller.send("NEVERMIND", "1"); // the call is in flight, the test holds its response back
      while (site.life.counters().get(Count.CALLERS_DISCONNECTED) == 0) {
        Thread.onSpinWait();
      }
      site.finish(ref(1), "cut", 5, ""); // ended at its call, as its caller has cancelled
      assertTrue(site.life.requestCoordinator().awaitDrained(5));
      site.storeReplies.add(Loopback.http("200 OK", "", "of the first"));
      while (!site.storeReplies.isEmpty()) {
        Thread.onSpinWait(); // the store sends it on the abandoned connection
      }
      caller.ask(2, "read", null, "y");
      assertEquals("spawn", site.command().verb());
      site.block(ref(2), "select");
      assertTrue(
          site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS).contains("Request-Ref: " + ref(2)));
      site.storeReplies.add(Loopback.http("200 OK", "", "of the second"));
      assertEquals(new Command("supply", ref(2), "", "of the second"), site.command());
    }
  }

  // ---- Half-close ----

  /**
   * Reads the answers up to the end of the connection, sorted by tag. Closing notices, which have
   * tag 0, are skipped.
   */
  private static List<Reply> answersUntilClosed(Caller caller) throws IOException {
    List<Reply> answers = new ArrayList<>();
    try {
      for (; ; ) {
        Reply reply = caller.reply();
        if (!reply.tag().equals("0")) {
          answers.add(reply);
        }
      }
    } catch (EOFException end) {
      answers.sort(Comparator.comparing(Reply::tag));
      return answers;
    }
  }

  @Test
  void frontEndThatHasHalfClosedGetsTheAnswersToAllRequestsRead() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "x");
      caller.ask(2, "read", null, "y");
      List<String> references = List.of(site.command().ref(), site.command().ref());
      caller.write("*5\r\n$3\r\nAS"); // a truncated message after them
      caller.socket.shutdownOutput();
      assertEquals("closing", caller.reply().word(), "the half-close was read");
      for (String each : references) {
        site.finish(each, "good", 1, "of " + each);
      }
      assertEquals(
          List.of(
              new Reply("1", "done", "", "of " + ref(1)),
              new Reply("2", "done", "", "of " + ref(2))),
          answersUntilClosed(caller));
      assertEquals(0, site.life.counters().get(Count.CALLERS_DISCONNECTED));
      assertNull(site.commands.poll(), "no execution was suspended");
    }
  }

  // ---- Slow peers ----

  /** Returns the bytes of a request of class {@code read}. */
  private static String requestBytes(int tag, String body) {
    String fields =
        "txn=" + ref(tag) + ",door=" + System.currentTimeMillis() + ",lb=1,ram=24.5,standing=0.5";
    return "*5\r\n$3\r\nASK\r\n$1\r\n"
        + tag
        + "\r\n$4\r\nread\r\n$"
        + fields.length()
        + "\r\n"
        + fields
        + "\r\n$"
        + body.length()
        + "\r\n"
        + body
        + "\r\n";
  }

  private static void assertHealthy(Caller caller) throws IOException {
    caller.send("STATUS", "99", "");
    assertEquals("healthy", caller.reply().word());
  }

  @Test
  void bytewiseTrafficOfAllPeersIsServedAndDelaysNoOtherConnection() throws Exception {
    try (Loopback site = new Loopback(siteWithStore());
        Caller slow = site.new Caller();
        Caller other = site.new Caller()) {
      // A connection with a served request is read without delay.
      other.ask(2, "read", null, "quick");
      site.finish(site.command().ref(), "good", 1, "");
      assertEquals("done", other.reply().word());
      site.sendsByteByByte = true;
      String answer = "*4\r\n$1\r\n1\r\n$4\r\ndone\r\n$0\r\n\r\n$4\r\nfine\r\n";
      for (char each : requestBytes(1, "slow").toCharArray()) {
        slow.write(String.valueOf(each));
        assertHealthy(other); // other connections are answered between any two bytes
      }
      assertEquals(new Command("spawn", ref(1), "read", "slow"), site.command());
      site.block(ref(1), "select");
      assertTrue(site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS).endsWith("select"));
      site.storeReplies.add(Loopback.http("200 OK", "", "rows"));
      assertEquals(new Command("supply", ref(1), "", "rows"), site.command());
      site.finish(ref(1), "good", 5, "fine");
      StringBuilder received = new StringBuilder();
      for (int i = 0; i < answer.length(); i++) {
        received.append((char) slow.socket.getInputStream().read());
        assertHealthy(other);
      }
      assertEquals(answer, received.toString());
      assertEquals(
          0,
          site.life.counters().get(Count.CONNECTIONS_STALLED)
              + site.life.counters().get(Count.MALFORMED));
    }
  }

  @Test
  void messageCompletedAfterShutdownBeganIsAnsweredAndATruncatedOneDelaysNothing()
      throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller slow = site.new Caller();
        Caller truncated = site.new Caller()) {
      site.autoMs = 1;
      for (Caller each : List.of(slow, truncated)) {
        assertHealthy(each);
        each.write("*5\r\n"); // begun while the daemon serves
      }
      Thread server = site.startServing();
      site.life.leave();
      while (site.life.state() == Lifecycle.State.SERVING) {
        Thread.onSpinWait();
      }
      slow.write(requestBytes(1, "slow").substring("*5\r\n".length()));
      Reply reply = slow.reply();
      for (; reply.tag().equals("0"); reply = slow.reply()) {
        assertEquals("closing", reply.word());
      }
      assertEquals("1", reply.tag());
      assertTrue(List.of("done", "later").contains(reply.word()), reply.word());
      slow.close();
      assertEquals("closing", truncated.reply().word());
      assertEquals(-1, truncated.socket.getInputStream().read(), "end of stream, no reset");
      truncated.close();
      server.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  // ---- Bad input ----

  @Test
  void floodOfMalformedInputIsCountedAndDelaysNoOtherConnection() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller good = site.new Caller()) {
      for (int i = 0; i < 200; i++) {
        site.assertClosedAfter("*9\r\n");
      }
      assertEquals(200, site.life.counters().get(Count.MALFORMED));
      good.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", good.reply().body());
    }
  }

  @Test
  void truncatedMessageAfterAnOpenRequestDoesNotLoseItsAnswer() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      assertEquals("spawn", site.command().verb());
      caller.write("*5\r\n$3\r\nAS"); // and then nothing more
      site.finish(ref(1), "good", 1, "fine");
      assertEquals("fine", caller.reply().body());
      caller.socket.shutdownOutput();
      assertEquals(-1, caller.socket.getInputStream().read());
    }
  }
}
