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
 * Stories of the instant in which something ends and something else crosses it;
 * docs/design/endings.md names each.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD) // a story may spin
class EndingsTest {
  private static final int STOP_MS = 10_000;

  private static String ref(long number) {
    return String.format("%016x", number);
  }

  private static Sites.Builder calling() {
    Sites.Builder site = Sites.site();
    site.calls = true;
    return site;
  }

  // ---- Requests and their answers ----

  @Test
  void aCallerThatLeavesAfterItsAnswerChangesNothing() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals(new Reply("1", "done", "", "fine"), caller.reply());
      caller.send("NEVERMIND", "1"); // crossed the answer
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "one answer, and no more");
      assertEquals(0, site.life.counters().get(Count.CALLERS_DISCONNECTED));
      assertEquals(0, site.life.counters().inFlight());
    }
  }

  @Test
  void aResultThatBreaksOffIsToldAgainAndAnsweredOnce() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "x");
      assertEquals("spawn", site.command().verb());
      site.raw("finished 1 " + ref(1) + " good 5 100\r\nhalf of it");
      site.breakLink();
      site.finish(ref(1), "good", 5, "whole"); // told by the next link's bind
      assertEquals(new Command("bind", "", "0", ""), site.command(), "half a notice is none");
      assertEquals(new Reply("1", "done", "", "whole"), caller.reply());
      site.raw("finished 1 " + ref(1) + " good 5 5\r\nagain\r\n"); // and once more under its number
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "one answer");
    }
  }

  @Test
  void aWorkerPoolThatStartsAnewEndsItsRunsAndIsHeard() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k1", "x");
      site.finish(site.command().ref(), "good", 1, "before");
      assertEquals("before", caller.reply().body());
      caller.ask(2, "keyed", "k2", "y");
      assertEquals("spawn", site.command().verb());
      long heard = System.nanoTime();
      while (System.nanoTime() - heard < 1_100_000_000L) { // a second goes by on the wire
        caller.send("STATUS", "3", "");
        assertEquals("healthy", caller.reply().word());
      }
      site.restartPool();
      assertEquals(
          new Reply("2", "error", "", ""),
          caller.reply(),
          "its run is lost, long before it is due");
      assertEquals("1", site.command().rest(), "it was bound with the last notice read");
      assertEquals("0", site.command().rest(), "and then from the start");
      caller.ask(4, "read", null, "z");
      assertEquals(new Command("spawn", ref(4), "read", "z"), site.command());
      site.finish(ref(4), "good", 1, "after");
      assertEquals("after", caller.reply().body(), "its notices begin at 1 again");
      caller.ask(5, "keyed", "k2", "y");
      assertEquals(
          "error", caller.reply().word(), "what may have run is neither run again nor refused");
      assertNull(site.commands.poll());
    }
  }

  @Test
  void anAnswerForcedAtItsDueTimeIsTheOnlyOne() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, 1, System.currentTimeMillis() - 5700, "keyed", "k", "x"); // 300 ms are left
      Reply late = caller.reply();
      assertEquals("1", late.tag());
      Command next = site.commands.poll(0, TimeUnit.MILLISECONDS);
      if (next != null && next.verb().equals("spawn")) {
        site.finish(ref(1), "good", 300, "too late"); // the run's end crosses it
      }
      caller.send("STATUS", "2", "");
      assertEquals("2", caller.reply().tag(), "no second answer");
    }
  }

  // ---- The process ----

  @Test
  void whoRestsUntilItIsEndedIsEndedWithoutAResetAndItsLastWordIsNotRun() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller rests = site.new Caller();
        Caller works = site.new Caller()) {
      rests.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", rests.reply().body());
      works.ask(1, 2, System.currentTimeMillis(), "long", null, "hangs");
      assertEquals("spawn", site.command().verb());
      Thread stopping = site.stopping();
      site.life.leave();
      assertEquals("closing", rests.reply().word());
      assertEquals(-1, rests.socket.getInputStream().read(), "an end");
      rests.ask(2, "read", null, "crosses the end"); // no reset: it is read and dropped
      rests.send("NEVERMIND", "2");
      assertEquals(-1, rests.socket.getInputStream().read());
      assertEquals("closing", works.reply().word());
      site.finish(ref(2), "good", 30, "in time");
      assertEquals("in time", works.reply().body(), "whoever is owed an answer stays for it");
      assertEquals(-1, works.socket.getInputStream().read());
      rests.close();
      works.close();
      stopping.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
      assertTrue(
          site.commands.stream().noneMatch(c -> c.verb().equals("spawn")),
          "nothing ran that came late");
    }
  }

  @Test
  void whatWaitsInTheBacklogAtTheEndIsAnswered() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller busy = site.new Caller()) {
      Thread stopping = site.stopping();
      site.life.leave();
      site.life.leave(); // a second notice is none
      do {
        busy.send("STATUS", "1", "");
      } while (!busy.reply().word().equals("sick"));
      while (site.life.state() != Lifecycle.State.CLOSING) {
        try (Caller comes = site.new Caller()) {
          comes.send("STATUS", "1", "");
          Reply reply = comes.reply();
          assertEquals(
              "0 closing".equals(reply.tag() + " " + reply.word()) ? "closing" : "sick",
              reply.word());
        } catch (java.net.ConnectException refused) {
          break; // proves that nothing ran
        }
      }
      busy.close();
      stopping.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  @Test
  void aReloadWhileItLeavesIsTakenAndWhatIsOwedStillComes() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "x");
      site.command();
      Thread stopping = site.stopping();
      site.life.leave();
      while (site.life.state() == Lifecycle.State.SERVING) {
        Thread.onSpinWait();
      }
      wharftrestle.config.DaemonConfig next = site.move(calling());
      site.life.reload(() -> next);
      assertEquals(
          new Command("bind", "", "0", ""),
          site.command(),
          "the worker pool moved while it leaves");
      assertEquals("spawn", site.command().verb(), "what may be lost with the link is sent again");
      site.finish(ref(1), "good", 9, "done");
      assertEquals("done", caller.reply().body());
      caller.close();
      stopping.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  @Test
  void signalsAreHeardBeforeThereIsAnythingToTell() throws Exception {
    AtomicInteger read = new AtomicInteger();
    try (Loopback site = new Loopback(Sites.site())) {
      wharftrestle.config.DaemonConfig config = site.move(Sites.site());
      CountDownLatch heard = new CountDownLatch(2);
      SignalHandlers early =
          new SignalHandlers(
              () -> {
                read.incrementAndGet();
                return config;
              }) {
            @Override
            public void onHandled() {
              heard.countDown();
            }
          };
      Signal.raise(new Signal("HUP"));
      Signal.raise(new Signal("TERM"));
      assertTrue(heard.await(STOP_MS, TimeUnit.MILLISECONDS));
      assertEquals(Lifecycle.State.SERVING, site.life.state());
      early.attach(site.life);
      assertEquals(1, read.get(), "the hangup is made up for");
      Thread stopping = site.stopping();
      stopping.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state(), "and so is the notice to leave");
    }
  }

  // ---- Parts of the process that fail ----

  /** A core with the shipped policy, a worker pool that does as told, and no sockets. */
  private static RequestCoordinator core(SilentPool pool, AdmissionFactory factory) {
    RequestCoordinator core =
        new RequestCoordinator(
            Sites.site().build(),
            7,
            64,
            KeyMemoryBudget.of(1 << 20),
            factory,
            new Counters(List.of("read", "save", "keyed", "unsafe", "long")));
    core.start(pool, null, good -> {});
    return core;
  }

  private static IncomingRequest arrival(int number) {
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
  void aProcessToldToLeaveBeforeItsWorkerPoolIsUpRunsNothing() throws Exception {
    AtomicInteger spawned = new AtomicInteger();
    RequestCoordinator core =
        core(
            new SilentPool() {
              @Override
              public void dispatch(String ref, String className, byte[] body) {
                spawned.incrementAndGet();
              }
            },
            AdmissionController::new);
    core.beginShutdown(5);
    core.workerPoolStarted(true, 0); // the worker pool comes up in the grace
    BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    core.accept(arrival(1), answers::add);
    assertEquals(Answer.Kind.REJECTED, answers.take().kind());
    assertEquals(0, spawned.get());
  }

  @Test
  void aFaultOfAnyKindStillGivesTheAnswer() throws Exception {
    RequestCoordinator core =
        core(
            new SilentPool() {
              @Override
              public void dispatch(String ref, String className, byte[] body) {
                throw new OutOfMemoryError("made up");
              }
            },
            AdmissionController::new);
    core.workerPoolStarted(false, 100);
    BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    core.accept(arrival(1), answers::add);
    Answer answer = answers.poll(2, TimeUnit.SECONDS);
    assertEquals(
        Answer.Kind.FAILED, answer == null ? null : answer.kind(), "at once, not when it is due");
    assertTrue(core.awaitDrained(2), "and nothing of it stays in hand");
  }

  @Test
  void theTimerGoesOnAfterAnErrorAndForgetsNoWake() throws Exception {
    CountDownLatch twice = new CountDownLatch(2);
    RequestCoordinator core =
        core(
            new SilentPool(),
            (now, seed, settings, actions) -> {
              actions.setTimer(77, 0);
              Admission.Events policy = new AdmissionController(now, seed, settings, actions);
              return (Admission.Events)
                  Proxy.newProxyInstance(
                      EndingsTest.class.getClassLoader(),
                      new Class<?>[] {Admission.Events.class},
                      (self, method, words) -> {
                        if (method.getName().equals("timerFired") && words[1].equals(77L)) {
                          twice.countDown();
                          if (twice.getCount() == 1) {
                            throw new StackOverflowError("made up");
                          }
                          return null;
                        }
                        return method.invoke(policy, words);
                      });
            });
    core.workerPoolStarted(false, 100);
    assertTrue(twice.await(5, TimeUnit.SECONDS), "what was due came again");
  }

  @Test
  void aThreadThatIsReliedOnBeginsAgain() throws Exception {
    CountDownLatch times = new CountDownLatch(3);
    Thread lasting =
        PlatformThreads.restartingThread(
            "made up",
            () -> {
              times.countDown();
              if (times.getCount() > 0) {
                throw new StackOverflowError("made up");
              }
            });
    lasting.start();
    assertTrue(times.await(5, TimeUnit.SECONDS));
    lasting.join(5000);
    assertTrue(!lasting.isAlive(), "and ends where it means to");
  }

  @Test
  void aNameServiceThatIsGoneForGoodStopsNobodyAndIsReportedToWhenItIsBack() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      int port = site.naming.getLocalPort();
      assertEquals("renew n1 yes", site.report());
      site.naming.close(); // unreachable: the system says so of each report
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
  void aCallGivenUpInTheInstantOfItsReplyIsToldToNobodyAndItsConnectionIsNotUsedAgain()
      throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      site.command();
      site.block(ref(1), "select");
      assertTrue(site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS).endsWith("select"));
      caller.send("NEVERMIND", "1"); // the call is under way, its reply held back by the story
      while (site.life.counters().get(Count.CALLERS_DISCONNECTED) == 0) {
        Thread.onSpinWait();
      }
      site.finish(ref(1), "cut", 5, ""); // at its call, as its caller is gone
      assertTrue(site.life.requestCoordinator().awaitDrained(5));
      site.storeReplies.add(Loopback.http("200 OK", "", "of the first"));
      while (!site.storeReplies.isEmpty()) {
        Thread.onSpinWait(); // the store gives it, to a connection that was given up
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

  // ---- Half a close ----

  /**
   * The answers to requests in hand, in any order, up to the end; the word to go may come between.
   */
  private static List<Reply> answersToItsEnd(Caller caller) throws IOException {
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
  void aFrontEndThatHasEndedItsSideHasTheAnswersToAllThatWasRead() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "keyed", "k", "x");
      caller.ask(2, "read", null, "y");
      List<String> refs = List.of(site.command().ref(), site.command().ref());
      caller.write("*5\r\n$3\r\nAS"); // half a message behind them
      caller.socket.shutdownOutput();
      assertEquals("closing", caller.reply().word(), "its end was read");
      for (String each : refs) {
        site.finish(each, "good", 1, "of " + each);
      }
      assertEquals(
          List.of(
              new Reply("1", "done", "", "of " + ref(1)),
              new Reply("2", "done", "", "of " + ref(2))),
          answersToItsEnd(caller));
      assertEquals(0, site.life.counters().get(Count.CALLERS_DISCONNECTED));
      assertNull(site.commands.poll(), "nothing was stopped");
    }
  }

  // ---- Slow peers ----

  /** A request of class read as it is written. */
  private static String written(int tag, String body) {
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

  private static void check(Caller caller) throws IOException {
    caller.send("STATUS", "99", "");
    assertEquals("healthy", caller.reply().word());
  }

  @Test
  void aByteAtATimeBothWaysAndFromAllSidesIsServedAndHoldsUpNobody() throws Exception {
    try (Loopback site = new Loopback(calling());
        Caller slow = site.new Caller();
        Caller other = site.new Caller()) {
      other.ask(2, "read", null, "quick"); // whoever was served is read as fast as it asks
      site.finish(site.command().ref(), "good", 1, "");
      assertEquals("done", other.reply().word());
      site.drips = true;
      String answer = "*4\r\n$1\r\n1\r\n$4\r\ndone\r\n$0\r\n\r\n$4\r\nfine\r\n";
      for (char each : written(1, "slow").toCharArray()) {
        slow.write(String.valueOf(each));
        check(other); // between any two bytes others are answered
      }
      assertEquals(new Command("spawn", ref(1), "read", "slow"), site.command());
      site.block(ref(1), "select");
      assertTrue(site.calls.poll(Loopback.WAIT_S, TimeUnit.SECONDS).endsWith("select"));
      site.storeReplies.add(Loopback.http("200 OK", "", "rows"));
      assertEquals(new Command("supply", ref(1), "", "rows"), site.command());
      site.finish(ref(1), "good", 5, "fine");
      StringBuilder read = new StringBuilder();
      for (int i = 0; i < answer.length(); i++) {
        read.append((char) slow.socket.getInputStream().read());
        check(other);
      }
      assertEquals(answer, read.toString());
      assertEquals(
          0,
          site.life.counters().get(Count.CONNECTIONS_STALLED)
              + site.life.counters().get(Count.MALFORMED));
    }
  }

  @Test
  void aMessageThatIsWholeOnlyAfterTheNoticeIsAnsweredAndOneThatNeverIsHoldsUpNobody()
      throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller slow = site.new Caller();
        Caller never = site.new Caller()) {
      site.autoMs = 1;
      for (Caller each : List.of(slow, never)) {
        check(each);
        each.write("*5\r\n"); // begun while it serves
      }
      Thread stopping = site.stopping();
      site.life.leave();
      while (site.life.state() == Lifecycle.State.SERVING) {
        Thread.onSpinWait();
      }
      slow.write(written(1, "slow").substring("*5\r\n".length()));
      Reply reply = slow.reply();
      for (; reply.tag().equals("0"); reply = slow.reply()) {
        assertEquals("closing", reply.word());
      }
      assertEquals("1", reply.tag());
      assertTrue(List.of("done", "later").contains(reply.word()), reply.word());
      slow.close();
      assertEquals("closing", never.reply().word());
      assertEquals(-1, never.socket.getInputStream().read(), "an end, and no reset");
      never.close();
      stopping.join(STOP_MS);
      assertEquals(Lifecycle.State.STOPPED, site.life.state());
    }
  }

  // ---- Bad input ----

  @Test
  void aFloodOfNonsenseIsOneLineASecondAndIsCountedByReason() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller good = site.new Caller()) {
      for (int i = 0; i < 200; i++) {
        site.endsWhoSays("*9\r\n");
      }
      assertEquals(200, site.life.counters().get(Count.MALFORMED));
      good.ask(1, "read", null, "x");
      site.finish(site.command().ref(), "good", 1, "fine");
      assertEquals("fine", good.reply().body());
    }
  }

  @Test
  void halfAMessageBehindAnOpenRequestDoesNotCostItsAnswer() throws Exception {
    try (Loopback site = new Loopback(Sites.site());
        Caller caller = site.new Caller()) {
      caller.ask(1, "read", null, "x");
      assertEquals("spawn", site.command().verb());
      caller.write("*5\r\n$3\r\nAS"); // and stands still
      site.finish(ref(1), "good", 1, "fine");
      assertEquals("fine", caller.reply().body());
      caller.socket.shutdownOutput();
      assertEquals(-1, caller.socket.getInputStream().read());
    }
  }
}
