package wharftrestle.supervisor;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import wharftrestle.Fixtures;
import wharftrestle.transport.Address;

/**
 * One run of a supervisor with stand-in processes: an order of a controller that fails, a change by
 * an operator that passes its probation, and its rollback. Values that differ from run to run are
 * replaced by fixed ones of the same type.
 *
 * @param journal its entries
 * @param orders commands at its socket with their answers
 * @param host its answer to {@code GET /box} after the change that failed
 * @param requests first lines of the requests that the processes received
 */
record SupervisorRun(
    List<JsonNode> journal, JsonNode orders, JsonNode host, List<String> requests) {
  static final String JOURNAL = "supervisor/run.jsonl";
  static final String ORDERS = "messages/supervisor-orders.json";
  static final String HOST = "messages/supervisor-host.json";
  static final String STAND = "POST /_fleet?epoch=1&stage=2&verdict=same HTTP/1.1";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient CLIENT = HttpClient.newHttpClient();
  private static final SupervisorStateMachine.Limits LIMITS =
      new SupervisorStateMachine.Limits(15, 0.5, 0.02, 0.05, 20, 0.1, 1, 3);

  static SupervisorRun of(Path folder) throws Exception {
    Path stateDirectory = folder.resolve("state");
    int port = Address.freePort();
    for (String name : List.of("one", "two", "three")) {
      new ReleaseDirectory(folder.resolve("releases"))
          .pack(Files.writeString(folder.resolve("any.jar"), "program " + name), null, name);
    }
    HostSupervisor.Configuration configuration =
        new HostSupervisor.Configuration(
            stateDirectory,
            folder.resolve("releases"),
            folder.resolve("config.json"),
            List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx40m",
                "-cp",
                System.getProperty(
                    "surefire.test.class.path", System.getProperty("java.class.path")),
                StandInProcess.class.getName()),
            "b1",
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    HostSupervisor supervisor =
        new HostSupervisor(configuration, LIMITS, new PrintStream(OutputStream.nullOutputStream()));
    FutureTask<Void> task =
        new FutureTask<>(
            (Callable<Void>)
                () -> {
                  supervisor.run("one");
                  return null;
                });
    new Thread(task, "supervisor").start();
    try {
      return play(stateDirectory, port);
    } finally {
      supervisor.stop();
      task.get(30, TimeUnit.SECONDS);
      supervisor.close();
      for (SupervisorJournal.Entry entry :
          JsonLineJournal.read(
              stateDirectory.resolve("journal.jsonl"), SupervisorJournal.Entry.class)) {
        if (entry.event().equals("started")) {
          ProcessHandle.of(entry.pid()).ifPresent(ProcessHandle::destroyForcibly);
        }
      }
    }
  }

  private static SupervisorRun play(Path stateDirectory, int port) throws Exception {
    ArrayNode orders = JSON.createArrayNode();
    await(stateDirectory, "serving", "one", "");
    order(stateDirectory, "status", orders);
    call(port, "/claim", "{\"epoch\":1,\"driver\":\"d1\"}");
    String heartbeat = "{\"epoch\":1,\"driver\":\"d1\",\"stage\":2,\"verdict\":\"same\"}";
    long stamp = call(port, "/ask", heartbeat).path("stamp").asLong();
    String changeOrder = "{\"epoch\":1,\"driver\":\"d1\",\"to\":\"two\",\"stamp\":" + stamp + "}";
    orders
        .addObject()
        .put("order", "go 1 two")
        .put("answer", call(port, "/order", changeOrder).path("obeyed").asText());
    await(stateDirectory, "serving", "one", "it died before it served");
    ObjectNode host = call(port, "/box", null);
    for (long deadline = System.nanoTime() + 10_000_000_000L;
        !host.path("box").path("settled").asBoolean() && System.nanoTime() < deadline; ) {
      TimeUnit.MILLISECONDS.sleep(20);
      host = call(port, "/box", null);
    }
    for (String text : List.of("status", "change none", "change one", "back", "fly")) {
      order(stateDirectory, text, orders);
    }
    order(stateDirectory, "change three", orders);
    await(stateDirectory, "serving", "three", "");
    order(stateDirectory, "back", orders);
    await(stateDirectory, "serving", "one", "");
    List<JsonNode> journal = Fixtures.jsonLines(stateDirectory.resolve("journal.jsonl"));
    for (JsonNode line : journal) {
      replaceNumbers((ObjectNode) line, "at", "pid", "began", "door");
    }
    replaceNumbers(host, "askedAgo");
    host.put("incarnation", "1f2e3d4c");
    replaceNumbers((ObjectNode) host.path("box"), "pid", "cpu", "ownMb");
    return new SupervisorRun(
        journal, orders, host, Files.readAllLines(stateDirectory.resolve("requests")));
  }

  /** Replaces numbers that are not 0 by a fixed one. */
  private static void replaceNumbers(ObjectNode of, String... fields) {
    for (String field : fields) {
      JsonNode value = of.path(field);
      if (value.isIntegralNumber() && value.asLong() != 0) {
        of.put(field, 7);
      } else if (value.isDouble()) {
        of.put(field, 7.5);
      }
    }
  }

  private static void order(Path stateDirectory, String text, ArrayNode into) throws IOException {
    String answer = HostSupervisor.sendCommand(stateDirectory, text);
    ObjectNode recorded = into.addObject().put("order", text);
    if (answer.startsWith("ok {")) {
      JsonNode status = JSON.readTree(answer.substring(3));
      replaceNumbers((ObjectNode) status.path("serves"), "pid", "door");
      recorded.set("status", status);
    } else {
      recorded.put("answer", answer.replace(stateDirectory.getParent().toString(), "FOLDER"));
    }
  }

  private static void await(Path stateDirectory, String state, String release, String reason)
      throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (String answer = ""; ; answer = HostSupervisor.sendCommand(stateDirectory, "status")) {
      if (answer != null && answer.startsWith("ok ")) {
        JsonNode now = JSON.readTree(answer.substring(3));
        if (now.path("state").asText().equals(state)
            && now.path("release").asText().equals(release)
            && now.path("reason").asText().equals(reason)) {
          return;
        }
      }
      if (System.nanoTime() > deadline) {
        throw new AssertionError("expected " + state + " " + release + ", found " + answer);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private static ObjectNode call(int port, String path, String body) throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path));
    if (body != null) {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    return (ObjectNode)
        JSON.readTree(CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString()).body());
  }
}
