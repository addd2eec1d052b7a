package wharftrestle.rollout.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.supervisor.CommandSocket;
import wharftrestle.supervisor.ControllerEndpoint;
import wharftrestle.supervisor.ReleaseDirectory;
import wharftrestle.transport.Address;

/** Tests controllers against supervisor endpoints whose hosts execute every order at once. */
@Timeout(60)
class RolloutControllerTest {
  private static final PrintStream DISCARDED = new PrintStream(OutputStream.nullOutputStream());
  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  @TempDir private Path folder;
  private final List<TestSupervisor> supervisors = new ArrayList<>();
  private final List<String> executed = new CopyOnWriteArrayList<>();
  private ReleaseDirectory releases;

  /** A supervisor's endpoint and a simulated host that runs every ordered release at once. */
  private final class TestSupervisor {
    private final String name;
    private final int port;
    private ControllerEndpoint endpoint;
    private volatile String runningRelease = "one";
    private volatile String orderedRelease = "";
    private volatile int attempt;

    TestSupervisor(String name) throws IOException {
      this.name = name;
      port = Address.freePort();
      open();
    }

    void open() throws IOException {
      endpoint =
          new ControllerEndpoint(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
              name,
              Files.createDirectories(folder.resolve(name)),
              releases,
              this::execute,
              () ->
                  Map.of(
                      "state",
                      "serving",
                      "release",
                      runningRelease,
                      "settled",
                      true,
                      "acts",
                      runningRelease,
                      "told",
                      orderedRelease,
                      "attempt",
                      attempt,
                      "failed",
                      ""),
              (program, settings) -> true);
    }

    private String execute(String order) {
      String[] words = order.split(" ", 0);
      if (words[0].equals("go")) {
        executed.add(name + " " + words[2]);
        attempt = Integer.parseInt(words[1]);
        orderedRelease = words[2];
        runningRelease = words[2];
      }
      return "ok";
    }

    JsonNode call(String path, String body) throws Exception {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
      HttpResponse<String> answer =
          CLIENT.send(
              body == null
                  ? request.build()
                  : request.POST(HttpRequest.BodyPublishers.ofString(body)).build(),
              HttpResponse.BodyHandlers.ofString());
      return ((com.fasterxml.jackson.databind.node.ObjectNode)
              new ObjectMapper().readTree(answer.body()))
          .put("status", answer.statusCode());
    }
  }

  @BeforeEach
  void startSupervisors() throws IOException {
    releases = new ReleaseDirectory(folder.resolve("releases"));
    Path jar = Files.writeString(folder.resolve("any.jar"), "a program");
    releases.pack(jar, null, "one");
    releases.pack(jar, null, "two");
    for (int i = 1; i <= 3; i++) {
      supervisors.add(new TestSupervisor("b" + i));
    }
  }

  @AfterEach
  void close() throws IOException {
    for (TestSupervisor each : supervisors) {
      each.endpoint.close();
    }
  }

  private PlanScript planScript(String targetRelease, double holdSeconds) throws Exception {
    StringBuilder hostLines = new StringBuilder();
    supervisors.forEach(
        each ->
            hostLines.append(
                "box(\"" + each.name + "\", keeper = \"127.0.0.1:" + each.port + "\")\n"));
    return PlanScript.parse(
        "p.star",
        hostLines
            + "change(to = \""
            + targetRelease
            + "\", stages = [stage(boxes = 1, hold = "
            + holdSeconds
            + "), stage(share = 1, hold = 0)], worse = [], watch = 0, window = 0.5, patience ="
            + " 86400)\n");
  }

  private RolloutController controller(String directory, PlanScript script, String name)
      throws Exception {
    return new RolloutController(
        folder.resolve(directory), script, name, new RolloutEventLog(DISCARDED, true));
  }

  private static FutureTask<RolloutController.Outcome> runInThread(RolloutController controller) {
    FutureTask<RolloutController.Outcome> outcome =
        new FutureTask<>((Callable<RolloutController.Outcome>) controller::run);
    new Thread(outcome).start();
    return outcome;
  }

  private String send(String directory, String line) {
    return CommandSocket.order(
        folder.resolve(directory).resolve(ControllerDirectory.SOCKET_FILE), line);
  }

  @Test
  void check_anotherControllerAlive_isRefusedUntilTakeOverFencesIt() throws Exception {
    try (RolloutController first = controller("d1", planScript("two", 600), "ann")) {
      first.check(false);
      FutureTask<RolloutController.Outcome> outcome = runInThread(first);
      while (executed.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertEquals(List.of("b1 two"), executed, "one host, and the stage is still in its hold");
      try (RolloutController second = controller("d2", planScript("two", 0), "bob")) {
        String refusal =
            assertThrows(RolloutRefusedException.class, () -> second.check(false)).getMessage();
        assertTrue(refusal.contains("ann holds the lease in epoch 1"), refusal);
        second.check(true);
        FutureTask<RolloutController.Outcome> nextOutcome = runInThread(second);
        assertEquals(RolloutController.Outcome.FENCED, outcome.get(20, TimeUnit.SECONDS));
        assertTrue(send("d2", "status").contains("\"driver\":\"bob\""));
        assertEquals(RolloutController.Outcome.COMPLETED, nextOutcome.get(30, TimeUnit.SECONDS));
        assertEquals(List.of("b1 two", "b2 two", "b3 two"), executed, "b1 is not ordered again");
      }
    }
  }

  @Test
  void check_missingReleaseOrQuorum_isRefusedBeforeAnyOrder() throws Exception {
    try (RolloutController controller = controller("d1", planScript("three", 0), "ann")) {
      String refusal =
          assertThrows(RolloutRefusedException.class, () -> controller.check(false)).getMessage();
      assertTrue(refusal.startsWith("b1: there is no release 'three'"), refusal);
    }
    supervisors.get(0).endpoint.close();
    supervisors.get(1).endpoint.close();
    try (RolloutController controller = controller("d2", planScript("two", 0), "ann")) {
      String refusal =
          assertThrows(RolloutRefusedException.class, () -> controller.check(false)).getMessage();
      assertEquals("1 of 3 supervisors answer, which is not more than half", refusal);
    }
    assertTrue(executed.isEmpty());
  }

  @Test
  void open_directoryOfAnUnfinishedRollout_resumesItsPlanWithOneController() throws Exception {
    PlanScript plan = planScript("two", 600);
    try (RolloutController first = controller("d1", plan, "ann")) {
      assertThrows(RolloutRefusedException.class, () -> controller("d1", plan, "bob"));
      FutureTask<RolloutController.Outcome> outcome = runInThread(first);
      while (executed.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
      first.stop();
      assertEquals(RolloutController.Outcome.STOPPED, outcome.get(5, TimeUnit.SECONDS));
    }
    String refusal =
        assertThrows(
                RolloutRefusedException.class, () -> controller("d1", planScript("one", 0), "ann"))
            .getMessage();
    assertTrue(refusal.startsWith("another change is under way in "), refusal);
    try (RolloutController next = controller("d1", plan, "bob")) {
      next.check(false); // earlier controllers of this directory have ended
      FutureTask<RolloutController.Outcome> outcome = runInThread(next);
      while (!send("d1", "status").contains("\"steering\":\"steering\"")) {
        TimeUnit.MILLISECONDS.sleep(50);
      }
      assertEquals("no name a box of the plan, and what it broke", send("d1", "broken b9 x"));
      assertTrue(send("d1", "broken b1 a key ran twice").startsWith("ok "));
      assertEquals(RolloutController.Outcome.ROLLED_BACK, outcome.get(20, TimeUnit.SECONDS));
      assertEquals(List.of("b1 two", "b1 one"), executed, "a broken rule fails the stage at once");
    }
  }

  @Test
  void endpoint_afterRestart_keepsItsEpochAndRejectsInvalidRequests() throws Exception {
    TestSupervisor supervisor = supervisors.get(0);
    JsonNode granted = supervisor.call("/claim", "{\"epoch\":7,\"driver\":\"ann\"}");
    assertEquals("GRANTED", granted.path("answer").asText());
    supervisor.endpoint.close();
    supervisor.open();
    assertEquals(
        "FENCED",
        supervisor.call("/claim", "{\"epoch\":7,\"driver\":\"bob\"}").path("answer").asText());
    assertEquals(
        "FENCED",
        supervisor.call("/ask", "{\"epoch\":6,\"driver\":\"ann\"}").path("answer").asText());
    String order = "{\"epoch\":7,\"driver\":\"ann\",\"to\":\"two\",\"stamp\":";
    assertEquals(
        "STALE",
        supervisor
            .call("/order", order + granted.path("stamp").asLong() + "}")
            .path("answer")
            .asText(),
        "a token of the previous incarnation");
    long token = supervisor.call("/ask", "{\"epoch\":7,\"driver\":\"ann\"}").path("stamp").asLong();
    assertEquals("OBEYED", supervisor.call("/order", order + token + "}").path("answer").asText());
    token = supervisor.call("/ask", "{\"epoch\":7,\"driver\":\"ann\"}").path("stamp").asLong();
    assertEquals(
        "TWO_TARGETS",
        supervisor
            .call("/order", order.replace("two", "one") + token + "}")
            .path("answer")
            .asText());
    assertEquals(400, supervisor.call("/claim", "nonsense").path("status").asInt());
    assertEquals(
        400,
        supervisor
            .call("/order", "{\"epoch\":7,\"driver\":\"ann\",\"to\":\"../x\"}")
            .path("status")
            .asInt());
    assertEquals(
        400,
        supervisor
            .call("/claim", "{\"epoch\":8,\"driver\":\"" + "x".repeat(5000) + "\"}")
            .path("status")
            .asInt());
    assertEquals(404, supervisor.call("/moon", null).path("status").asInt());
    assertTrue(
        supervisor
            .call("/look?keeper=127.0.0.1:" + supervisors.get(1).port, null)
            .path("heard")
            .asBoolean());
    supervisors.get(1).endpoint.close();
    assertFalse(
        supervisor
            .call("/look?keeper=127.0.0.1:" + supervisors.get(1).port, null)
            .path("heard")
            .asBoolean());
  }
}
