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
 * The core with a journal on a disk that fails, stalls and fills: what a keyed request gets, and
 * what an unkeyed one.
 */
class ResultRecorderTest {
  private final MemorySegmentStore disk = new MemorySegmentStore();
  private final WriteAheadLog journal =
      new WriteAheadLog(WriteAheadLogTest.settings(4, "group"), () -> disk);
  private final BlockingQueue<String> spawned = new LinkedBlockingQueue<>();
  private final RequestCoordinator core =
      new RequestCoordinator(
          settings(),
          7,
          64,
          KeyMemoryBudget.of(1 << 20),
          AdmissionController::new,
          new Counters(List.of("read", "keyed")));
  private int references;

  ResultRecorderTest() throws Exception {
    core.useResultStore(journal);
    core.restore(journal.open(20));
    core.start(
        new SilentPool() {
          @Override
          public void dispatch(String ref, String className, byte[] body) {
            spawned.add(ref);
          }
        },
        null,
        good -> {});
    core.workerPoolStarted(false, 100);
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

  private final class Asked {
    private final BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
    private final String ref = String.format("%016x", ++references);
    private final long at = System.nanoTime();
    private double took;

    Asked(String key, String body) {
      core.accept(
          new IncomingRequest(
              ref,
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
            took = (System.nanoTime() - at) / 1e9;
            answers.add(answer);
          });
    }

    Answer answer() throws InterruptedException {
      Answer answer = answers.poll(10, TimeUnit.SECONDS);
      assertNotNull(answer, "no answer to " + ref);
      return answer;
    }

    void runs() throws InterruptedException {
      assertEquals(ref, spawned.poll(10, TimeUnit.SECONDS));
    }

    void ends(String result) {
      core.executionCompleted(
          ref, Admission.Outcome.SUCCESS, 0.01, result.getBytes(StandardCharsets.UTF_8));
    }
  }

  private void awaitRefusal(ResultStore.RejectionReason wanted) {
    while (journal.rejectionReason() != wanted) {
      Thread.onSpinWait();
    }
  }

  @Test
  void aResultGoesOutWhenItIsOnDiskAndNotBefore() throws Exception {
    Asked one = new Asked("k", "x");
    one.runs();
    disk.stall();
    one.ends("saved");
    disk.awaitStalled();
    Asked repeat = new Asked("k", "x");
    assertTrue(one.answers.isEmpty() && repeat.answers.isEmpty(), "it is not on disk");
    disk.wake();
    assertEquals("saved", new String(one.answer().result(), StandardCharsets.UTF_8));
    assertEquals("saved", new String(repeat.answer().result(), StandardCharsets.UTF_8));
  }

  @Test
  void aStalledDiskRefusesKeyedWorkAtOnceAndNothingElse() throws Exception {
    disk.stall();
    Asked first = new Asked("a", "x");
    disk.awaitStalled();
    Answer refused = first.answer();
    assertEquals(Answer.Kind.REJECTED, refused.kind());
    assertTrue(refused.retryAfterSeconds() > 0, "with a time to come back");
    assertTrue(first.took < 1.5, "its patience is 0.3 s: " + first.took);
    awaitRefusal(ResultStore.RejectionReason.DISK_STALLED);
    Asked second = new Asked("b", "x");
    assertEquals(Answer.Kind.REJECTED, second.answer().kind());
    assertTrue(second.took < 1, "not held to near its due time of 3 s: " + second.took);
    Asked read = new Asked(null, "x");
    read.runs();
    read.ends("fine");
    assertEquals("fine", new String(read.answer().result(), StandardCharsets.UTF_8));
    assertEquals(null, spawned.poll(), "what could not be recorded never ran");
    disk.wake();
    awaitRefusal(null);
    Asked again = new Asked("a", "x");
    again.runs();
    again.ends("now");
    assertEquals("now", new String(again.answer().result(), StandardCharsets.UTF_8));
  }

  @Test
  void aDiskThatIsSilentForTwoSecondsUnderLoadLeavesNobodyWithoutAnAnswer() throws Exception {
    Asked first = new Asked("first", "x");
    first.runs();
    disk.stall();
    first.ends("saved");
    disk.awaitStalled();
    long until = System.nanoTime() + 2_000_000_000L;
    List<Asked> keyed = new ArrayList<>();
    int reads = 0;
    while (System.nanoTime() < until) {
      Asked refused = new Asked("k" + keyed.size(), "x");
      keyed.add(refused);
      assertEquals(Answer.Kind.REJECTED, refused.answer().kind());
      assertTrue(refused.took < 1, "given up is answered at once: " + refused.took);
      Asked read = new Asked(null, "x");
      read.runs(); // and nothing keyed: that would come first
      read.ends("fine");
      assertEquals(Answer.Kind.SERVED, read.answer().kind());
      reads++;
    }
    disk.wake();
    assertEquals(
        "saved",
        new String(first.answer().result(), StandardCharsets.UTF_8),
        "in time, once the disk is back");
    assertTrue(
        keyed.size() > 50 && reads > 50, keyed.size() + " keyed and " + reads + " unkeyed in 2 s");
    awaitRefusal(null);
    Asked again = new Asked("k0", "x");
    again.runs();
  }

  @Test
  void aResultThatTheDiskDoesNotTakeIsStillAnsweredAndNeverRunsAgain() throws Exception {
    Asked one = new Asked("k", "x");
    one.runs();
    disk.fail(1, 1);
    one.ends("saved");
    assertEquals("saved", new String(one.answer().result(), StandardCharsets.UTF_8));
    assertEquals(1L, journal.metrics().get(ResultMetric.UNSAVED_RESULTS));
    assertEquals(
        "saved",
        new String(new Asked("k", "x").answer().result(), StandardCharsets.UTF_8),
        "from memory");
    assertEquals(1L, journal.metrics().get(ResultMetric.DISK_ERRORS));
  }

  @Test
  void aResultThatWaitsForTheDiskPastItsDueTimeFailsAndIsThereLater() throws Exception {
    Asked one = new Asked("k", "x");
    one.runs();
    disk.stall();
    one.ends("saved");
    assertEquals(
        Answer.Kind.DEADLINE_EXCEEDED,
        one.answer().kind(),
        "the due time holds whatever the disk does");
    disk.wake();
    assertEquals(
        "saved", new String(new Asked("k", "x").answer().result(), StandardCharsets.UTF_8));
  }

  @Test
  void aDiskThatFailsAnIntentRefusesItAndTheKeyMayRunLater() throws Exception {
    disk.fail(1, 1);
    Asked one = new Asked("k", "x");
    assertEquals(Answer.Kind.REJECTED, one.answer().kind());
    Asked meanwhile = new Asked("k", "x");
    assertEquals(Answer.Kind.REJECTED, meanwhile.answer().kind());
    assertEquals(null, spawned.poll());
    awaitRefusal(null);
    Asked again = new Asked("k", "x");
    again.runs();
  }

  @Test
  void aDamagedLogLetsNoUnknownKeyRunForAWindow() throws Exception {
    MemorySegmentStore other = disk.afterKill();
    other.lose(other.numbers().get(0));
    WriteAheadLog next = new WriteAheadLog(WriteAheadLogTest.settings(4, "group"), () -> other);
    core.restore(next.open(20));
    Asked unknown = new Asked("k", "x");
    assertEquals(
        Answer.Kind.FAILED,
        unknown.answer().kind(),
        "it may have run: it fails, and is not refused");
    Asked read = new Asked(null, "x");
    read.runs();
  }
}
