package wharftrestle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import wharftrestle.SilentPool;
import wharftrestle.admission.Admission;
import wharftrestle.admission.AdmissionController;
import wharftrestle.admission.AdmissionSettings;
import wharftrestle.idempotency.KeyMemoryBudget;
import wharftrestle.metrics.Counters;
import wharftrestle.metrics.ResultMetric;
import wharftrestle.request.Answer;
import wharftrestle.request.IncomingRequest;
import wharftrestle.request.RequestCoordinator;
import wharftrestle.request.ResultStore;

/**
 * Runs the request coordinator with a write-ahead log on a disk that fails, stalls or is damaged,
 * and checks the answers to requests with and without an idempotency key.
 */
class ResultRecorderTest {
  private final MemorySegmentStore disk = new MemorySegmentStore();
  private final WriteAheadLog log =
      new WriteAheadLog(WriteAheadLogTest.settings(4, "group"), () -> disk);
  private final BlockingQueue<String> dispatched = new LinkedBlockingQueue<>();
  private final RequestCoordinator coordinator =
      new RequestCoordinator(
          settings(),
          7,
          64,
          KeyMemoryBudget.of(1 << 20),
          AdmissionController::new,
          new Counters(List.of("read", "keyed")));
  private int requestCount;

  ResultRecorderTest() throws Exception {
    coordinator.useResultStore(log);
    coordinator.restore(log.open(20));
    coordinator.start(
        new SilentPool() {
          @Override
          public void dispatch(String requestId, String className, byte[] body) {
            dispatched.add(requestId);
          }
        },
        null,
        good -> {});
    coordinator.workerPoolStarted(false, 100);
  }

  private static AdmissionSettings settings() {
    Admission.RequestClass read =
        new Admission.RequestClass(
            "read", 2, 0, 6, 1, 0, Admission.Idempotency.IDEMPOTENT, 12, false, 0);
    Admission.RequestClass keyed =
        new Admission.RequestClass(
            "keyed", 2, 0, 3, 3, 0, Admission.Idempotency.IDEMPOTENCY_KEY, 12, false, 0);
    return new AdmissionSettings(
        List.of(read, keyed),
        List.of(),
        new AdmissionSettings.Fleet(1, 3, true, false, true),
        new AdmissionSettings.Capacity(2, 100_000, 4, 10, Admission.Preemption.DROP, 6, 2),
        new AdmissionSettings.WarmUp(false, 0.25, 10),
        new AdmissionSettings.DependencyCalls(Admission.Dependency.NONE, 0, 5, 0.2),
        new AdmissionSettings.Timing(0.004, 0.08, 2, 0),
        new AdmissionSettings.Retries(1, false),
        new AdmissionSettings.Weighting(false, 1),
        List.of());
  }

  private final class ClientRequest {
    private final BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    private final String requestId = String.format("%016x", ++requestCount);
    private final long acceptedAtNanos = System.nanoTime();
    private double answerSeconds;

    ClientRequest(String key, String body) {
      coordinator.accept(
          new IncomingRequest(
              requestId,
              false,
              key == null ? 0 : 1,
              0,
              24,
              1,
              0.5,
              0,
              key,
              null,
              System.currentTimeMillis(),
              body.getBytes(StandardCharsets.UTF_8)),
          answer -> {
            answerSeconds = (System.nanoTime() - acceptedAtNanos) / 1e9;
            answers.add(answer);
          });
    }

    Answer answer() throws InterruptedException {
      Answer answer = answers.poll(10, TimeUnit.SECONDS);
      assertNotNull(answer, "no answer to " + requestId);
      return answer;
    }

    void awaitDispatch() throws InterruptedException {
      assertEquals(requestId, dispatched.poll(10, TimeUnit.SECONDS));
    }

    void complete(String result) {
      coordinator.executionCompleted(
          requestId, Admission.Outcome.SUCCESS, 0.01, result.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void awaitRejectionReason(ResultStore.RejectionReason expected) {
    while (log.rejectionReason() != expected) {
      Thread.onSpinWait();
    }
  }

  @Test
  void result_whileItsSyncIsStalled_isAnsweredOnlyAfterSync() throws Exception {
    ClientRequest request = new ClientRequest("k", "x");
    request.awaitDispatch();
    disk.stallSyncs();
    request.complete("saved");
    disk.awaitStalledSync();
    ClientRequest repeat = new ClientRequest("k", "x");
    assertTrue(
        request.answers.isEmpty() && repeat.answers.isEmpty(),
        "no answer before the result is on disk");
    disk.resumeSyncs();
    assertEquals("saved", new String(request.answer().result(), StandardCharsets.UTF_8));
    assertEquals("saved", new String(repeat.answer().result(), StandardCharsets.UTF_8));
  }

  @Test
  void stalledDisk_rejectsKeyedRequestsAndServesUnkeyed() throws Exception {
    disk.stallSyncs();
    ClientRequest first = new ClientRequest("a", "x");
    disk.awaitStalledSync();
    Answer rejection = first.answer();
    assertEquals(Answer.Kind.REJECTED, rejection.kind());
    assertTrue(rejection.retryAfterSeconds() > 0, "the rejection has a Retry-After");
    assertTrue(
        first.answerSeconds < 1.5,
        "expected an answer after the intent timeout of 0.3 s, found " + first.answerSeconds);
    awaitRejectionReason(ResultStore.RejectionReason.DISK_STALLED);
    ClientRequest second = new ClientRequest("b", "x");
    assertEquals(Answer.Kind.REJECTED, second.answer().kind());
    assertTrue(
        second.answerSeconds < 1,
        "expected an immediate rejection, long before the deadline of 3 s, found "
            + second.answerSeconds);
    ClientRequest read = new ClientRequest(null, "x");
    read.awaitDispatch();
    read.complete("fine");
    assertEquals("fine", new String(read.answer().result(), StandardCharsets.UTF_8));
    assertEquals(
        null, dispatched.poll(), "a request without an intent record must not be dispatched");
    disk.resumeSyncs();
    awaitRejectionReason(null);
    ClientRequest retry = new ClientRequest("a", "x");
    retry.awaitDispatch();
    retry.complete("now");
    assertEquals("now", new String(retry.answer().result(), StandardCharsets.UTF_8));
  }

  @Test
  void diskStalledForTwoSecondsUnderLoad_everyRequestIsAnswered() throws Exception {
    ClientRequest first = new ClientRequest("first", "x");
    first.awaitDispatch();
    disk.stallSyncs();
    first.complete("saved");
    disk.awaitStalledSync();
    long until = System.nanoTime() + 2_000_000_000L;
    List<ClientRequest> keyed = new ArrayList<>();
    int reads = 0;
    while (System.nanoTime() < until) {
      ClientRequest rejected = new ClientRequest("k" + keyed.size(), "x");
      keyed.add(rejected);
      assertEquals(Answer.Kind.REJECTED, rejected.answer().kind());
      assertTrue(
          rejected.answerSeconds < 1,
          "expected an immediate rejection, found " + rejected.answerSeconds);
      ClientRequest read = new ClientRequest(null, "x");
      read.awaitDispatch(); // also checks that no keyed request was dispatched before
      read.complete("fine");
      assertEquals(Answer.Kind.SERVED, read.answer().kind());
      reads++;
    }
    disk.resumeSyncs();
    assertEquals(
        "saved",
        new String(first.answer().result(), StandardCharsets.UTF_8),
        "the result is answered before its deadline, once the disk responds");
    assertTrue(
        keyed.size() > 50 && reads > 50, keyed.size() + " keyed and " + reads + " unkeyed in 2 s");
    awaitRejectionReason(null);
    ClientRequest retry = new ClientRequest("k0", "x");
    retry.awaitDispatch();
  }

  @Test
  void resultThatCannotBeWritten_isAnsweredAndNotExecutedAgain() throws Exception {
    ClientRequest request = new ClientRequest("k", "x");
    request.awaitDispatch();
    disk.failOperations(1, 1);
    request.complete("saved");
    assertEquals("saved", new String(request.answer().result(), StandardCharsets.UTF_8));
    assertEquals(1L, log.metrics().get(ResultMetric.UNSAVED_RESULTS));
    assertEquals(
        "saved",
        new String(new ClientRequest("k", "x").answer().result(), StandardCharsets.UTF_8),
        "a retry gets the result from memory");
    assertEquals(1L, log.metrics().get(ResultMetric.DISK_ERRORS));
  }

  @Test
  void resultSyncedAfterDeadline_firstAttemptFailsAndRetryGetsResult() throws Exception {
    ClientRequest request = new ClientRequest("k", "x");
    request.awaitDispatch();
    disk.stallSyncs();
    request.complete("saved");
    assertEquals(
        Answer.Kind.DEADLINE_EXCEEDED,
        request.answer().kind(),
        "the deadline is kept even while the disk is stalled");
    disk.resumeSyncs();
    assertEquals(
        "saved", new String(new ClientRequest("k", "x").answer().result(), StandardCharsets.UTF_8));
  }

  @Test
  void intentThatCannotBeWritten_isRejectedAndKeyRunsLater() throws Exception {
    disk.failOperations(1, 1);
    ClientRequest request = new ClientRequest("k", "x");
    assertEquals(Answer.Kind.REJECTED, request.answer().kind());
    ClientRequest meanwhile = new ClientRequest("k", "x");
    assertEquals(Answer.Kind.REJECTED, meanwhile.answer().kind());
    assertEquals(null, dispatched.poll());
    awaitRejectionReason(null);
    ClientRequest retry = new ClientRequest("k", "x");
    retry.awaitDispatch();
  }

  @Test
  void damagedLog_failsUnknownKeysAndServesUnkeyedRequests() throws Exception {
    MemorySegmentStore damagedDisk = disk.afterKill();
    damagedDisk.remove(damagedDisk.numbers().get(0));
    WriteAheadLog next =
        new WriteAheadLog(WriteAheadLogTest.settings(4, "group"), () -> damagedDisk);
    coordinator.restore(next.open(20));
    ClientRequest unknown = new ClientRequest("k", "x");
    assertEquals(
        Answer.Kind.FAILED,
        unknown.answer().kind(),
        "the request may have run, so it fails and is not rejected");
    ClientRequest read = new ClientRequest(null, "x");
    read.awaitDispatch();
  }
}
