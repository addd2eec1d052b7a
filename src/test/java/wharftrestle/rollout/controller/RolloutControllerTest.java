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

/** Stories of drivers and the keepers' doors, with boxes that do as they are told at once. */
@Timeout(60)
class RolloutControllerTest {
  private static final PrintStream NOWHERE = new PrintStream(OutputStream.nullOutputStream());
  private static final HttpClient CLIENT = HttpClient.newHttpClient();

  @TempDir private Path folder;
  private final List<SupervisorStateMachine> keepers = new ArrayList<>();
  private final List<String> obeyed = new CopyOnWriteArrayList<>();
  private ReleaseDirectory releases;

  /** A keeper's door, and a box that has every release at once. */
  private final class SupervisorStateMachine {
    private final String name;
    private final int port;
    private ControllerEndpoint door;
    private volatile String acts = "one";
    private volatile String told = "";
    private volatile int attempt;

    SupervisorStateMachine(String name) throws IOException {
      this.name = name;
      port = Address.freePort();
      open();
    }

    void open() throws IOException {
      door =
          new ControllerEndpoint(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
              name,
              Files.createDirectories(folder.resolve(name)),
              releases,
              this::obey,
              () ->
                  Map.of(
                      "state", "serving", "release", acts, "settled", true, "acts", acts, "told",
                      told, "attempt", attempt, "failed", ""),
              (program, settings) -> true);
    }

    private String obey(String order) {
      String[] words = order.split(" ", 0);
      if (words[0].equals("go")) {
        obeyed.add(name + " " + words[2]);
        attempt = Integer.parseInt(words[1]);
        told = words[2];
        acts = words[2];
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
  void fleet() throws IOException {
    releases = new ReleaseDirectory(folder.resolve("releases"));
    Path jar = Files.writeString(folder.resolve("any.jar"), "a program");
    releases.pack(jar, null, "one");
    releases.pack(jar, null, "two");
    for (int i = 1; i <= 3; i++) {
      keepers.add(new SupervisorStateMachine("b" + i));
    }
  }

  @AfterEach
  void close() throws IOException {
    for (SupervisorStateMachine each : keepers) {
      each.door.close();
    }
  }

  private PlanScript plan(String to, double hold) throws Exception {
    StringBuilder text = new StringBuilder();
    keepers.forEach(
        each ->
            text.append("box(\"" + each.name + "\", keeper = \"127.0.0.1:" + each.port + "\")\n"));
    return PlanScript.parse(
        "p.star",
        text
            + "change(to = \""
            + to
            + "\", stages = [stage(boxes = 1, hold = "
            + hold
            + "), stage(share = 1, hold = 0)], worse = [], watch = 0, window = 0.5, patience = 86400)\n");
  }

  private RolloutController driver(String dir, PlanScript script, String name) throws Exception {
    return new RolloutController(
        folder.resolve(dir), script, name, new RolloutEventLog(NOWHERE, true));
  }

  private static FutureTask<RolloutController.Outcome> run(RolloutController driver) {
    FutureTask<RolloutController.Outcome> end =
        new FutureTask<>((Callable<RolloutController.Outcome>) driver::run);
    new Thread(end).start();
    return end;
  }

  private String order(String dir, String text) {
    return CommandSocket.order(folder.resolve(dir).resolve(ControllerDirectory.SOCKET_FILE), text);
  }

  @Test
  void aSecondDriverIsRefusedUntilItTakesOverAndThenTheFirstIsFenced() throws Exception {
    try (RolloutController first = driver("d1", plan("two", 600), "ann")) {
      first.check(false);
      FutureTask<RolloutController.Outcome> end = run(first);
      while (obeyed.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
      assertEquals(List.of("b1 two"), obeyed, "one box, and the hold goes on");
      try (RolloutController second = driver("d2", plan("two", 0), "bob")) {
        String why =
            assertThrows(RolloutRefusedException.class, () -> second.check(false)).getMessage();
        assertTrue(why.contains("ann holds the lease in epoch 1"), why);
        second.check(true);
        FutureTask<RolloutController.Outcome> next = run(second);
        assertEquals(RolloutController.Outcome.FENCED, end.get(20, TimeUnit.SECONDS));
        assertTrue(order("d2", "status").contains("\"driver\":\"bob\""));
        assertEquals(RolloutController.Outcome.COMPLETED, next.get(30, TimeUnit.SECONDS));
        assertEquals(List.of("b1 two", "b2 two", "b3 two"), obeyed, "and b1 was not told again");
      }
    }
  }

  @Test
  void whatCannotBeIsRefusedBeforeAnythingMoves() throws Exception {
    try (RolloutController driver = driver("d1", plan("three", 0), "ann")) {
      String why =
          assertThrows(RolloutRefusedException.class, () -> driver.check(false)).getMessage();
      assertTrue(why.startsWith("b1: there is no release 'three'"), why);
    }
    keepers.get(0).door.close();
    keepers.get(1).door.close();
    try (RolloutController driver = driver("d2", plan("two", 0), "ann")) {
      String why =
          assertThrows(RolloutRefusedException.class, () -> driver.check(false)).getMessage();
      assertEquals("1 of 3 supervisors answer, which is not more than half", why);
    }
    assertTrue(obeyed.isEmpty());
  }

  @Test
  void aChangeUnderWayGoesOnWithItsOwnPlanAndTheFolderHasOneDriver() throws Exception {
    PlanScript plan = plan("two", 600);
    try (RolloutController first = driver("d1", plan, "ann")) {
      assertThrows(RolloutRefusedException.class, () -> driver("d1", plan, "bob"));
      FutureTask<RolloutController.Outcome> end = run(first);
      while (obeyed.isEmpty()) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
      first.stop();
      assertEquals(RolloutController.Outcome.STOPPED, end.get(5, TimeUnit.SECONDS));
    }
    String why =
        assertThrows(RolloutRefusedException.class, () -> driver("d1", plan("one", 0), "ann"))
            .getMessage();
    assertTrue(why.startsWith("another change is under way in "), why);
    try (RolloutController next = driver("d1", plan, "bob")) {
      next.check(false); // whoever steered from this folder has ended
      FutureTask<RolloutController.Outcome> end = run(next);
      while (!order("d1", "status").contains("\"steering\":\"steering\"")) {
        TimeUnit.MILLISECONDS.sleep(50);
      }
      assertEquals("no name a box of the plan, and what it broke", order("d1", "broken b9 x"));
      assertTrue(order("d1", "broken b1 a key ran twice").startsWith("ok "));
      assertEquals(RolloutController.Outcome.ROLLED_BACK, end.get(20, TimeUnit.SECONDS));
      assertEquals(List.of("b1 two", "b1 one"), obeyed, "a broken rule is worse at once");
    }
  }

  @Test
  void aDoorKeepsItsEpochOverRestartsAndAnswersNonsenseWithItsError() throws Exception {
    SupervisorStateMachine keeper = keepers.get(0);
    JsonNode granted = keeper.call("/claim", "{\"epoch\":7,\"driver\":\"ann\"}");
    assertEquals("GRANTED", granted.path("answer").asText());
    keeper.door.close();
    keeper.open();
    assertEquals(
        "FENCED",
        keeper.call("/claim", "{\"epoch\":7,\"driver\":\"bob\"}").path("answer").asText());
    assertEquals(
        "FENCED", keeper.call("/ask", "{\"epoch\":6,\"driver\":\"ann\"}").path("answer").asText());
    String order = "{\"epoch\":7,\"driver\":\"ann\",\"to\":\"two\",\"stamp\":";
    assertEquals(
        "STALE",
        keeper.call("/order", order + granted.path("stamp").asLong() + "}").path("answer").asText(),
        "a stamp of the start before");
    long stamp = keeper.call("/ask", "{\"epoch\":7,\"driver\":\"ann\"}").path("stamp").asLong();
    assertEquals("OBEYED", keeper.call("/order", order + stamp + "}").path("answer").asText());
    stamp = keeper.call("/ask", "{\"epoch\":7,\"driver\":\"ann\"}").path("stamp").asLong();
    assertEquals(
        "TWO_TARGETS",
        keeper.call("/order", order.replace("two", "one") + stamp + "}").path("answer").asText());
    assertEquals(400, keeper.call("/claim", "nonsense").path("status").asInt());
    assertEquals(
        400,
        keeper
            .call("/order", "{\"epoch\":7,\"driver\":\"ann\",\"to\":\"../x\"}")
            .path("status")
            .asInt());
    assertEquals(
        400,
        keeper
            .call("/claim", "{\"epoch\":8,\"driver\":\"" + "x".repeat(5000) + "\"}")
            .path("status")
            .asInt());
    assertEquals(404, keeper.call("/moon", null).path("status").asInt());
    assertTrue(
        keeper
            .call("/look?keeper=127.0.0.1:" + keepers.get(1).port, null)
            .path("heard")
            .asBoolean());
    keepers.get(1).door.close();
    assertFalse(
        keeper
            .call("/look?keeper=127.0.0.1:" + keepers.get(1).port, null)
            .path("heard")
            .asBoolean());
  }
}
