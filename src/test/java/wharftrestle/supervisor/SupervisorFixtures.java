package wharftrestle.supervisor;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import wharftrestle.transport.Address;

/**
 * Objects of the supervisor's fixtures and the code that writes them through the production
 * writers. {@link SupervisorFixtureWriter} records them; the tests write into a temporary folder
 * and compare.
 */
final class SupervisorFixtures {
  static final String JOURNAL = "supervisor/journal.jsonl";
  static final String FENCE = "supervisor/fence.jsonl";
  static final String RELEASES = "supervisor/releases";
  static final String EXCHANGES = "messages/supervisor-exchanges.json";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  private SupervisorFixtures() {}

  // ---- The journal ----

  /** One change that is promoted, and one that is undone; each kind of entry is among them. */
  static List<SupervisorJournal.Entry> entries() {
    String active = SupervisorStateMachine.Role.ACTIVE.publishedName();
    String candidate = SupervisorStateMachine.Role.CANDIDATE.publishedName();
    return List.of(
        new SupervisorJournal.Entry(
            1_765_000_000_001L, "starting", active, "one", "", 0, 0, 7101, "the keeper began"),
        new SupervisorJournal.Entry(
            1_765_000_000_002L,
            "started",
            active,
            "one",
            "",
            4_201,
            1_764_999_999_990L,
            7101,
            "the keeper began"),
        new SupervisorJournal.Entry(
            1_765_000_001_000L, "said", active, "one", "", 0, 0, 0, "serves"),
        new SupervisorJournal.Entry(
            1_765_000_002_000L, "starting", candidate, "two", "", 0, 0, 7102, "change from one"),
        new SupervisorJournal.Entry(
            1_765_000_002_005L,
            "started",
            candidate,
            "two",
            "",
            4_202,
            1_765_000_002_003L,
            7102,
            "change from one"),
        new SupervisorJournal.Entry(
            1_765_000_003_000L,
            "ended",
            active,
            "one",
            "one",
            4_201,
            1_764_999_999_990L,
            7101,
            "two serves"),
        new SupervisorJournal.Entry(
            1_765_000_003_001L,
            "promoted",
            active,
            "two",
            "one",
            4_202,
            1_765_000_002_003L,
            7102,
            ""),
        new SupervisorJournal.Entry(
            1_765_000_063_000L, "held", active, "two", "one", 0, 0, 0, "held its probation"),
        new SupervisorJournal.Entry(
            1_765_000_070_000L,
            "starting",
            candidate,
            "drei-ü",
            "one",
            0,
            0,
            7103,
            "change from two"),
        new SupervisorJournal.Entry(
            1_765_000_070_009L,
            "started",
            candidate,
            "drei-ü",
            "one",
            4_203,
            1_765_000_070_004L,
            7103,
            "change from two"),
        new SupervisorJournal.Entry(
            1_765_000_071_000L,
            "ended",
            candidate,
            "drei-ü",
            "one",
            4_203,
            1_765_000_070_004L,
            7103,
            "by itself"),
        new SupervisorJournal.Entry(
            1_765_000_071_001L,
            "said",
            candidate,
            "two",
            "one",
            0,
            0,
            0,
            "change undone: it died before it served"));
  }

  static void writeJournal(Path file) throws IOException {
    Files.createDirectories(file.getParent());
    try (SupervisorJournal journal = new SupervisorJournal(file)) {
      for (SupervisorJournal.Entry entry : entries()) {
        journal.add(entry);
      }
    }
  }

  // ---- The directory of releases ----

  /** Release one without settings, release two with its own. */
  static void packReleases(Path folder, Path scratch) throws IOException {
    Path first = Files.writeString(scratch.resolve("first.jar"), "program of release one\n");
    Path second = Files.writeString(scratch.resolve("second.jar"), "program of release two\n");
    Path settings = Files.writeString(scratch.resolve("two.star"), "# settings of release two\n");
    ReleaseDirectory releases = new ReleaseDirectory(folder);
    releases.pack(first, null, "one");
    releases.pack(second, settings, "two");
  }

  // ---- Messages between controller and supervisor ----

  /** A status of a host with every field that it may have. */
  static Map<String, Object> hostStatus() {
    Map<String, Object> all = new LinkedHashMap<>();
    all.put("state", "serving");
    all.put("release", "one");
    all.put("settled", true);
    all.put("acts", "one");
    all.put("told", "two");
    all.put("attempt", 1);
    all.put("failed", "it died before it served");
    all.put("deaths", Map.of("two", 1));
    all.put("good", "zero");
    all.put("pid", 4201);
    all.put("up", 90.5);
    all.put("calls", 12L);
    all.put("badCalls", 3L);
    all.put(
        "classes",
        List.of(new DaemonStatus.ClassAnswers("batch work", 100, 80, 7, 15, 5, 61.5, 4.25)));
    all.put("cpu", 1.75);
    all.put("ownMb", 22.5);
    return all;
  }

  /**
   * Recorded calls.
   *
   * @param messages each with method, path, request, status and answer; values that differ from run
   *     to run are replaced by fixed ones of the same type
   * @param orders commands that the supervisor received, in any order
   */
  record Exchange(JsonNode messages, List<String> orders) {}

  /** Sends requests with every kind of answer to a real endpoint with this state directory. */
  static Exchange exchange(Path state, Path releases) throws Exception {
    BlockingQueue<String> orders = new LinkedBlockingQueue<>();
    int port = Address.freePort();
    try (ControllerEndpoint endpoint =
        new ControllerEndpoint(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            "b1",
            state,
            new ReleaseDirectory(releases),
            order -> {
              orders.add(order);
              return "ok obeyed";
            },
            SupervisorFixtures::hostStatus,
            (program, settings) -> false)) {
      Calls calls = new Calls(port);
      calls.post("/claim", "{'epoch':1,'driver':'d1'}");
      calls.post("/claim", "{'epoch':1,'driver':'d2'}");
      calls.post("/ask", "{'epoch':1,'driver':'d1','stage':2,'verdict':'same'}");
      calls.post("/ask", "{'epoch':1,'driver':'d2','stage':2,'verdict':'same'}");
      calls.post("/order", "{'epoch':1,'driver':'d1','stamp':1,'to':'two','back':false}");
      calls.post("/order", "{'epoch':1,'driver':'d2','stamp':1,'to':'two','back':false}");
      calls.post("/order", "{'epoch':1,'driver':'d1','stamp':LAST,'to':'two','back':false}");
      calls.post("/order", "{'epoch':1,'driver':'d1','stamp':LAST,'to':'one','back':false}");
      calls.post("/claim", "{'epoch':2,'driver':'d2'}");
      calls.post("/order", "{'epoch':2,'driver':'d2','stamp':LAST,'to':'one','back':true}");
      calls.get("/box");
      calls.get("/release?name=one");
      calls.get("/release?name=two");
      calls.get("/release?name=none");
      calls.get("/look?keeper=127.0.0.1:" + port);
      calls.get("/look?keeper=127.0.0.1:" + port + "&front=127.0.0.1:" + port);
      calls.get("/release");
      calls.get("/look");
      calls.get("/nothing");
      calls.post("/claim", "{}");
      calls.post("/order", "{'epoch':2,'driver':'d2','stamp':1,'to':'no/name'}");
      calls.post("/nothing", "{'epoch':1,'driver':'d1'}");
      List<String> all = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        all.add(orders.poll(10, TimeUnit.SECONDS));
      }
      return new Exchange(calls.messages, all);
    }
  }

  private static final class Calls {
    private final int port;
    private final ArrayNode messages = JSON.createArrayNode();
    private long lastStamp;

    Calls(int port) {
      this.port = port;
    }

    void get(String path) throws Exception {
      send("GET", path, null);
    }

    void post(String path, String body) throws Exception {
      send("POST", path, body.replace('\'', '"').replace("LAST", Long.toString(lastStamp)));
    }

    private void send(String method, String path, String body) throws Exception {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
      if (body != null) {
        request.POST(HttpRequest.BodyPublishers.ofString(body));
      }
      HttpResponse<String> response =
          CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
      ObjectNode answer = (ObjectNode) JSON.readTree(response.body());
      if (answer.path("stamp").asLong() != 0) {
        lastStamp = answer.path("stamp").asLong();
        answer.put("stamp", 7_000_000_001L);
      }
      if (answer.path("incarnation").isTextual()) {
        answer.put("incarnation", "1f2e3d4c");
      }
      if (answer.path("askedAgo").isDouble()) {
        answer.put("askedAgo", 0.25);
      }
      ObjectNode message = messages.addObject();
      message.put("method", method);
      message.put("path", path.replace(":" + port, ":7501"));
      if (body != null) {
        ObjectNode asked = (ObjectNode) JSON.readTree(body);
        if (asked.has("stamp") && asked.path("stamp").asLong() != 1) {
          asked.put("stamp", 7_000_000_001L);
        }
        message.set("request", asked);
      }
      message.put("status", response.statusCode());
      message.set("answer", answer);
    }
  }
}
