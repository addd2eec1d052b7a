package wharftrestle.rollout.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Fixtures;
import wharftrestle.rollout.CanaryCriteria;
import wharftrestle.rollout.CanaryMetric;
import wharftrestle.rollout.EpochFence;
import wharftrestle.rollout.HostSample;
import wharftrestle.rollout.Rollout;
import wharftrestle.rollout.RolloutPlan;
import wharftrestle.supervisor.JsonLineJournal;

/**
 * Tests that files and messages recorded from released builds are read into the same objects, and
 * that the current code writes them with the same bytes or fields.
 */
@Timeout(60)
class StoredFormatTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long TOKEN = 7_000_000_001L;

  @TempDir private Path folder;

  // ---- The journal ----

  @Test
  void journal_recorded_isReadAsTheSameEntries() throws Exception {
    List<JournalEntry> read =
        JsonLineJournal.read(Fixtures.path(RolloutFixtures.JOURNAL), JournalEntry.class);

    assertEquals(RolloutFixtures.lines(), read);
  }

  @Test
  void journal_written_hasTheRecordedBytes() throws Exception {
    Path written = folder.resolve("roll.jsonl");

    RolloutFixtures.writeJournal(written);

    assertEquals(
        Files.readString(Fixtures.path(RolloutFixtures.JOURNAL)), Files.readString(written));
  }

  @Test
  void rollout_ofOneHost_writesTheRecordedJournalAndEvents() throws Exception {
    List<JsonNode> journal = Fixtures.jsonLines(Fixtures.path(RolloutFixtures.RUN));
    List<JsonNode> events = Fixtures.jsonLines(Fixtures.path(RolloutFixtures.EVENTS));

    RolloutFixtures.Run run = RolloutFixtures.run(folder);

    // An order that is not executed in time is repeated with the same text.
    assertEquals(journal, run.journal().stream().distinct().toList());
    assertTrue(run.events().containsAll(events), run.events().toString());
    assertEquals(fields(events), fields(run.events()));
  }

  private static Set<String> fields(List<JsonNode> lines) {
    Set<String> all = new HashSet<>();
    lines.forEach(line -> all.addAll(Fixtures.fields(line)));
    return all;
  }

  // ---- The plan ----

  @Test
  void plan_recorded_isReadAsTheSamePlan() throws Exception {
    PlanScript read = PlanScript.read(Fixtures.path(RolloutFixtures.PLAN));

    assertEquals(
        new RolloutPlan(
            "two",
            List.of(
                new RolloutPlan.Host("b1", "north", "127.0.0.1:7501", List.of("omaruru", "swakop")),
                new RolloutPlan.Host("b2", "north", "127.0.0.1:7502", List.of("omaruru")),
                new RolloutPlan.Host("b3", "south", "127.0.0.1:7503", List.of("swakop"))),
            List.of(new RolloutPlan.Stage(1, 0, false, 120), new RolloutPlan.Stage(0, 1, true, 60)),
            new CanaryCriteria(
                Map.of(
                    CanaryMetric.LOST_WEIGHT, 0.02,
                    CanaryMetric.FAILED, 0.04,
                    CanaryMetric.REJECTED, 0.2,
                    CanaryMetric.LATE, 0.3,
                    CanaryMetric.DEPENDENCY, 0.06,
                    CanaryMetric.CPU, 0.7,
                    CanaryMetric.MEMORY, 0.8,
                    CanaryMetric.MEMORY_GROWTH, 9.0),
                0.01,
                45),
            2,
            3,
            600,
            RolloutPlan.UnreachablePolicy.CONTINUE,
            RolloutPlan.RegressionPolicy.HOLD),
        read.plan());
    assertEquals(Map.of("b1", "127.0.0.1:9001"), read.clientAddresses());
    assertEquals(5, read.windowSeconds());
    assertEquals(50, read.observationSeconds());
  }

  @Test
  void plan_ofAnUnfinishedRollout_isCopiedNextToItsJournalUnderItsDigest() throws Exception {
    RolloutFixtures.orders(folder);

    assertEquals(
        Files.readString(Fixtures.path(RolloutFixtures.PLAN)),
        Files.readString(folder.resolve("plan-1cac7deef149.star")));
  }

  // ---- Commands of operators ----

  @Test
  void commands_toAResumedController_areAnsweredAsRecorded() throws Exception {
    JsonNode recorded = Fixtures.json(RolloutFixtures.ORDERS);

    JsonNode answered = RolloutFixtures.orders(folder);

    assertEquals(recorded, JSON.readTree(answered.toString()));
  }

  @Test
  void status_whileAHostIsObserved_hasTheRecordedFields() throws Exception {
    JsonNode recorded = Fixtures.json(RolloutFixtures.STATUS);

    JsonNode status = RolloutFixtures.statusWhileObserving(folder);

    assertEquals(recorded, JSON.readTree(status.toString()));
  }

  // ---- Messages between controller and supervisor ----

  /** Answers each request with the next recorded answer and stores the request. */
  private static final class RecordedSupervisor implements AutoCloseable {
    private final HttpServer server;
    private final List<JsonNode> requests = new ArrayList<>();
    private volatile JsonNode next = MissingNode.getInstance();

    RecordedSupervisor() throws IOException {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);
      server.createContext(
          "/",
          call -> {
            try (call) {
              String body =
                  new String(call.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
              ObjectNode request = JSON.createObjectNode();
              request.put("method", call.getRequestMethod());
              request.put("path", call.getRequestURI().toString());
              if (!body.isEmpty()) {
                request.set("request", JSON.readTree(body));
              }
              requests.add(request);
              byte[] answer = JSON.writeValueAsBytes(next.path("answer"));
              call.sendResponseHeaders(next.path("status").asInt(), answer.length);
              call.getResponseBody().write(answer);
            }
          });
      server.start();
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    @Override
    public void close() {
      server.stop(0);
    }
  }

  private static List<JsonNode> exchanges(boolean answered, String method) throws IOException {
    List<JsonNode> all = new ArrayList<>();
    for (JsonNode each : Fixtures.json("messages/supervisor-exchanges.json")) {
      if (each.path("method").asText().equals(method)
          && (each.path("status").asInt() == 200) == answered) {
        all.add(each);
      }
    }
    assertFalse(all.isEmpty());
    return all;
  }

  private static JsonNode requestOf(JsonNode exchange) {
    ObjectNode request = exchange.deepCopy();
    request.remove(List.of("status", "answer"));
    return request;
  }

  private static SupervisorClient.Answer post(String supervisorAddress, JsonNode exchange)
      throws IOException {
    SupervisorClient client = new SupervisorClient();
    JsonNode request = exchange.path("request");
    long epoch = request.path("epoch").asLong();
    String controller = request.path("driver").asText();
    return switch (exchange.path("path").asText()) {
      case "/claim" -> client.claim(supervisorAddress, epoch, controller);
      case "/ask" ->
          client.heartbeat(
              supervisorAddress,
              epoch,
              controller,
              request.path("stage").asInt(),
              request.path("verdict").asText());
      default ->
          client.order(
              supervisorAddress,
              epoch,
              controller,
              request.path("stamp").asLong(),
              request.path("to").asText(),
              request.path("back").asBoolean());
    };
  }

  @Test
  void posts_ofEveryKind_areSentAndTheirAnswersReadAsRecorded() throws Exception {
    List<JsonNode> recorded = exchanges(true, "POST");
    List<EpochFence.Reply> replies = new ArrayList<>();
    List<String> orderResults = new ArrayList<>();

    try (RecordedSupervisor supervisor = new RecordedSupervisor()) {
      for (JsonNode each : recorded) {
        supervisor.next = each;
        SupervisorClient.Answer received = post(supervisor.address(), each);
        replies.add(received.reply());
        orderResults.add(received.orderResult());
      }
      assertEquals(
          recorded.stream().map(StoredFormatTest::requestOf).toList(),
          List.copyOf(supervisor.requests));
    }

    EpochFence.Grant first = new EpochFence.Grant(1, "d1", "", 0);
    EpochFence.Grant toTwo = new EpochFence.Grant(1, "d1", "two", 1);
    assertEquals(
        List.of(
            new EpochFence.Reply(EpochFence.Answer.GRANTED, TOKEN, first),
            new EpochFence.Reply(EpochFence.Answer.FENCED, 0, first),
            new EpochFence.Reply(EpochFence.Answer.RENEWED, TOKEN, first),
            new EpochFence.Reply(EpochFence.Answer.FENCED, 0, first),
            new EpochFence.Reply(EpochFence.Answer.STALE, 0, first),
            new EpochFence.Reply(EpochFence.Answer.FENCED, 0, first),
            new EpochFence.Reply(EpochFence.Answer.ACCEPTED, 0, toTwo),
            new EpochFence.Reply(EpochFence.Answer.CONFLICTING_TARGET, 0, toTwo),
            new EpochFence.Reply(
                EpochFence.Answer.GRANTED, TOKEN, new EpochFence.Grant(2, "d2", "", 0)),
            new EpochFence.Reply(
                EpochFence.Answer.ACCEPTED, 0, new EpochFence.Grant(2, "d2", "one", 1))),
        replies);
    assertEquals(List.of("", "", "", "", "", "", "ok obeyed", "", "", "ok obeyed"), orderResults);
  }

  @Test
  void gets_ofEveryKind_areSentAsRecorded() throws Exception {
    List<JsonNode> recorded = exchanges(true, "GET");
    SupervisorClient client = new SupervisorClient();

    try (RecordedSupervisor supervisor = new RecordedSupervisor()) {
      for (JsonNode each : recorded) {
        supervisor.next = each;
        String path = each.path("path").asText();
        String other = "127.0.0.1:7501";
        JsonNode answer;
        if (path.equals("/box")) {
          answer = client.hostStatus(supervisor.address());
        } else if (path.startsWith("/release")) {
          answer =
              client.checkRelease(supervisor.address(), path.substring("/release?name=".length()));
        } else {
          answer =
              client.indirectProbe(
                  supervisor.address(), other, path.contains("front") ? other : "");
        }
        assertEquals(each.path("answer"), answer);
      }
      assertEquals(
          recorded.stream().map(StoredFormatTest::requestOf).toList(),
          List.copyOf(supervisor.requests));
    }
  }

  @Test
  void answers_withAnErrorStatus_areReadWithTheirReason() throws Exception {
    List<JsonNode> recorded = exchanges(false, "GET");

    try (RecordedSupervisor supervisor = new RecordedSupervisor()) {
      for (JsonNode each : recorded) {
        supervisor.next = each;
        String reason =
            assertThrows(
                    IOException.class,
                    () -> new SupervisorClient().hostStatus(supervisor.address()))
                .getMessage();
        assertEquals(
            each.path("status").asInt() + ": " + each.path("answer").path("why").asText(), reason);
      }
    }
  }

  private static SupervisorClient.Answer acceptedOrder(JsonNode answer) {
    return new SupervisorClient.Answer(
        new EpochFence.Reply(
            EpochFence.Answer.ACCEPTED, 0, new EpochFence.Grant(1, "d1", "two", 1)),
        "",
        answer);
  }

  private static JsonNode answerToTheOrder() throws IOException {
    return exchanges(true, "POST").get(6).path("answer");
  }

  @Test
  void host_inARecordedAnswer_isReportedToTheRollout() throws Exception {
    HostView view = new HostView(new RolloutPlan.Host("b1", "north", "127.0.0.1:7501", List.of()));

    List<String> deaths = view.update(acceptedOrder(answerToTheOrder()));

    assertEquals(List.of(), deaths, "deaths before the first answer are ignored");
    assertEquals(
        new Rollout.ReportedState(true, "one", true, "two", 1, "it died before it served"),
        view.reportedState(true, 1));
    assertEquals("1f2e3d4c", view.incarnation());
    assertEquals("serving", view.state());
    assertEquals(List.of("batch work"), view.requestClasses());
  }

  @Test
  void host_inTwoRecordedAnswers_hasTheIncreaseOfTheCounts() throws Exception {
    HostView view = new HostView(new RolloutPlan.Host("b1", "north", "127.0.0.1:7501", List.of()));
    JsonNode later = answerToTheOrder().deepCopy();
    ObjectNode host = (ObjectNode) later.path("box");
    ObjectNode counts = (ObjectNode) host.path("classes").path(0);
    counts.put("asked", 150).put("served", 110).put("late", 9).put("refused", 25).put("failed", 15);
    host.put("calls", 20).put("badCalls", 4).put("cpu", 2.0).put("ownMb", 23.5);
    ((ObjectNode) host.path("deaths")).put("two", 3);
    view.update(acceptedOrder(answerToTheOrder()));
    view.sampleWindow(true, "two", 30, 100);

    List<String> deaths = view.update(acceptedOrder(later));
    HostSample sample = view.sampleWindow(true, "two", 30, 110).orElseThrow();

    assertEquals(List.of("two", "two"), deaths);
    assertEquals(
        new HostSample(
            "b1",
            "north",
            false,
            true,
            List.of(new HostSample.Counts("batch work", 50, 30, 2, 10, 10, 61.5, 4.25)),
            8,
            1,
            0.25,
            23.5,
            6),
        sample);
  }
}
