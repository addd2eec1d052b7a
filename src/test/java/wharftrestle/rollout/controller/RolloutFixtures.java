package wharftrestle.rollout.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import wharftrestle.Fixtures;
import wharftrestle.rollout.Rollout;
import wharftrestle.supervisor.CommandSocket;
import wharftrestle.supervisor.ControllerEndpoint;
import wharftrestle.supervisor.JsonLineJournal;
import wharftrestle.supervisor.ReleaseDirectory;
import wharftrestle.transport.Address;

/**
 * The objects of the rollout controller's fixtures, and methods that write them with the production
 * code. {@link RolloutFixtureWriter} records the fixtures; the tests write to a temporary folder
 * and compare.
 */
final class RolloutFixtures {
  static final String PLAN = "rollout/plan.star";
  static final String JOURNAL = "rollout/roll.jsonl";
  static final String RUN = "rollout/run.jsonl";
  static final String EVENTS = "rollout/events.jsonl";
  static final String STATUS = "messages/controller-status.json";
  static final String ORDERS = "messages/controller-orders.json";

  private static final ObjectMapper JSON = new ObjectMapper();

  private RolloutFixtures() {}

  // ---- The journal ----

  /** Each kind of line and each state of a rollout; the last line is a resumable state. */
  static List<JournalEntry> lines() throws IOException {
    Map<String, String> noReleases = Map.of();
    Map<String, String> previousReleases = new LinkedHashMap<>();
    previousReleases.put("b1", "one");
    Map<String, Integer> attempts = new LinkedHashMap<>();
    attempts.put("b1", 1);
    Map<String, String> previousOfTwo = new LinkedHashMap<>(previousReleases);
    previousOfTwo.put("b3", "zero");
    Map<String, Integer> attemptsOfTwo = new LinkedHashMap<>(attempts);
    attemptsOfTwo.put("b3", 2);
    Rollout.State progressing = Rollout.State.PROGRESSING;
    return List.of(
        line(
            1,
            "claim",
            new Rollout.Snapshot(progressing, progressing, 0, noReleases, Map.of(), ""),
            "",
            "",
            "began"),
        line(
            2,
            "stage",
            new Rollout.Snapshot(progressing, progressing, 0, noReleases, Map.of(), ""),
            "",
            "",
            ""),
        line(
            3,
            "order",
            new Rollout.Snapshot(progressing, progressing, 0, previousReleases, attempts, ""),
            "b1",
            "two",
            "st"),
        enter(
            4,
            new Rollout.Snapshot(
                Rollout.State.OBSERVING, progressing, 0, previousReleases, attempts, "")),
        enter(
            5,
            new Rollout.Snapshot(
                Rollout.State.HELD,
                progressing,
                0,
                previousReleases,
                attempts,
                "b1 does worse: 5 %")),
        enter(
            6,
            new Rollout.Snapshot(
                Rollout.State.ROLLING_BACK,
                progressing,
                0,
                previousReleases,
                Map.of(),
                "asked for")),
        enter(
            7,
            new Rollout.Snapshot(
                Rollout.State.ROLLED_BACK,
                progressing,
                0,
                previousReleases,
                Map.of(),
                "asked for")),
        enter(
            8,
            new Rollout.Snapshot(
                Rollout.State.ABORTED, progressing, 0, previousReleases, attempts, "ended")),
        enter(
            9,
            new Rollout.Snapshot(
                Rollout.State.COMPLETED, progressing, 1, previousOfTwo, attemptsOfTwo, "")),
        enter(
            10,
            new Rollout.Snapshot(
                Rollout.State.PAUSED,
                Rollout.State.OBSERVING,
                1,
                previousOfTwo,
                attemptsOfTwo,
                "mañ")));
  }

  private static JournalEntry enter(long millis, Rollout.Snapshot snapshot) throws IOException {
    return line(millis, "enter", snapshot, "", "", snapshot.reason());
  }

  private static JournalEntry line(
      long millis,
      String event,
      Rollout.Snapshot snapshot,
      String host,
      String release,
      String entryReason)
      throws IOException {
    String plan = ControllerDirectory.sha256(Files.readString(Fixtures.path(PLAN)));
    return new JournalEntry(
        1_765_000_000_000L + millis, event, 3, "d1", plan, snapshot, host, release, entryReason);
  }

  static void writeJournal(Path file) throws IOException {
    Files.createDirectories(file.getParent());
    try (JsonLineJournal<JournalEntry> journal = new JsonLineJournal<>(file, JournalEntry.class)) {
      for (JournalEntry line : lines()) {
        journal.add(line);
      }
    }
  }

  // ---- Commands of operators ----

  /** Sends commands to a controller that resumes from the recorded journal; returns the answers. */
  static JsonNode orders(Path folder) throws Exception {
    Files.copy(Fixtures.path(JOURNAL), folder.resolve(ControllerDirectory.JOURNAL_FILE));
    ArrayNode all = JSON.createArrayNode();
    PrintStream discarded = new PrintStream(OutputStream.nullOutputStream());
    try (RolloutController controller =
        new RolloutController(
            folder,
            PlanScript.read(Fixtures.path(PLAN)),
            "d2",
            new RolloutEventLog(discarded, true))) {
      for (String order :
          List.of("status", "broken b1 a rule", "go", "pause", "back", "abort", "fly")) {
        String answer = CommandSocket.order(folder.resolve("roll.sock"), order);
        ObjectNode one = all.addObject().put("order", order);
        if (answer.startsWith("ok {")) {
          JsonNode status = JSON.readTree(answer.substring(3));
          status
              .path("boxes")
              .forEach(
                  box -> {
                    if (box.path("silent").isNumber()) {
                      ((ObjectNode) box).put("silent", 0.5);
                    }
                  });
          one.set("status", status);
        } else {
          one.put("answer", answer);
        }
      }
    }
    return all;
  }

  /** The status of a controller that observes one host and compares two metrics. */
  static JsonNode statusWhileObserving(Path folder) throws Exception {
    int port = Address.freePort();
    PrintStream discarded = new PrintStream(OutputStream.nullOutputStream());
    Path state = folder.resolve("watching");
    try (ControllerEndpoint endpoint =
            new ControllerEndpoint(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "b1",
                Files.createDirectories(folder.resolve("watched")),
                new ReleaseDirectory(folder),
                order -> "ok",
                () ->
                    Map.of(
                        "state",
                        "serving",
                        "settled",
                        true,
                        "acts",
                        "one",
                        "classes",
                        List.of(Map.of("name", "batch work"))),
                (program, settings) -> true);
        RolloutController controller =
            new RolloutController(
                state,
                PlanScript.parse(
                    "p.star",
                    "box(\"b1\", zone = \"north\", keeper = \"127.0.0.1:"
                        + port
                        + "\")\nchange(to = \"two\", stages = [stage(boxes = 1)],"
                        + " worse = [worth(0.03), late(0.1)], watch = 600, window = 60)\n"),
                "d1",
                new RolloutEventLog(discarded, true))) {
      Thread controllerThread =
          new Thread(
              () -> {
                try {
                  controller.run();
                } catch (IOException | InterruptedException e) {
                  throw new IllegalStateException(e);
                }
              },
              "controller");
      controllerThread.start();
      JsonNode status = JSON.createObjectNode();
      long until = System.nanoTime() + 30_000_000_000L;
      while (status.path("measures").isEmpty()
          || !status.path("steering").asText().equals("steering")) {
        if (System.nanoTime() > until) {
          throw new AssertionError("expected measures in the status, got " + status);
        }
        Thread.sleep(50);
        status =
            JSON.readTree(CommandSocket.order(state.resolve("roll.sock"), "status").substring(3));
      }
      controller.stop();
      controllerThread.join();
      ((ObjectNode) status).put("plan", "00");
      ((ObjectNode) status.path("boxes").path(0)).put("silent", 0.5);
      return status;
    }
  }

  // ---- A whole rollout ----

  /**
   * The journal and the events of a rollout of one host, with a fixed time and plan digest in each
   * line.
   */
  record Run(List<JsonNode> journal, List<JsonNode> events) {}

  static Run run(Path folder) throws Exception {
    ReleaseDirectory releases = new ReleaseDirectory(folder.resolve("releases"));
    Path jar = Files.writeString(folder.resolve("any.jar"), "a program");
    releases.pack(jar, null, "one");
    releases.pack(jar, null, "two");
    AtomicReference<String[]> lastOrder = new AtomicReference<>(new String[] {"go", "0", "one"});
    int port = Address.freePort();
    ByteArrayOutputStream events = new ByteArrayOutputStream();
    try (ControllerEndpoint endpoint =
            new ControllerEndpoint(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "b1",
                Files.createDirectories(folder.resolve("b1")),
                releases,
                order -> {
                  if (order.startsWith("go ")) {
                    lastOrder.set(order.split(" "));
                  }
                  return "ok";
                },
                () ->
                    Map.of(
                        "state",
                        "serving",
                        "release",
                        lastOrder.get()[2],
                        "settled",
                        true,
                        "acts",
                        lastOrder.get()[2],
                        "told",
                        lastOrder.get()[2],
                        "attempt",
                        Integer.parseInt(lastOrder.get()[1]),
                        "failed",
                        ""),
                (program, settings) -> true);
        RolloutController controller =
            new RolloutController(
                folder.resolve("rollout"),
                PlanScript.parse(
                    "p.star",
                    "box(\"b1\", keeper = \"127.0.0.1:"
                        + port
                        + "\")\nchange(to = \"two\", stages = [stage(boxes = 1, hold = 0)],"
                        + " worse = [], watch = 0, window = 0.5)\n"),
                "d1",
                new RolloutEventLog(new PrintStream(events, true, StandardCharsets.UTF_8), true))) {
      controller.check(false);
      controller.run();
    }
    Path eventFile = Files.write(folder.resolve("events"), events.toByteArray());
    return new Run(
        withFixedValues(
            Fixtures.jsonLines(
                folder.resolve("rollout").resolve(ControllerDirectory.JOURNAL_FILE))),
        withFixedValues(Fixtures.jsonLines(eventFile)));
  }

  private static List<JsonNode> withFixedValues(List<JsonNode> lines) {
    for (JsonNode line : lines) {
      ((ObjectNode) line).put("at", 1_765_000_000_000L);
      if (line.has("plan")) {
        ((ObjectNode) line).put("plan", "00");
      }
    }
    return lines;
  }

  static void writeLines(Path file, List<JsonNode> lines) throws IOException {
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> text.append(line).append('\n'));
    Files.writeString(file, text);
  }
}
