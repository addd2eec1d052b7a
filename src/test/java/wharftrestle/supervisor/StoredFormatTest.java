package wharftrestle.supervisor;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Fixtures;
import wharftrestle.rollout.EpochFence;
import wharftrestle.transport.Address;

/**
 * Files and messages of the supervisor, as released builds have written them: they are read to the
 * same objects and written with the same bytes or fields.
 */
@Timeout(60)
class StoredFormatTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  @TempDir private Path folder;

  // ---- The journal ----

  @Test
  void journal_recorded_isReadToTheSameEntries() throws Exception {
    List<SupervisorJournal.Entry> read =
        JsonLineJournal.read(
            Fixtures.path(SupervisorFixtures.JOURNAL), SupervisorJournal.Entry.class);

    assertEquals(SupervisorFixtures.entries(), read);
  }

  @Test
  void journal_writtenAgain_hasTheRecordedBytes() throws Exception {
    Path written = folder.resolve("journal.jsonl");

    SupervisorFixtures.writeJournal(written);

    assertEquals(
        Files.readString(Fixtures.path(SupervisorFixtures.JOURNAL)), Files.readString(written));
  }

  @Test
  void journal_recorded_identifiesTheActiveProcess() throws Exception {
    List<SupervisorJournal.Entry> read =
        JsonLineJournal.read(
            Fixtures.path(SupervisorFixtures.JOURNAL), SupervisorJournal.Entry.class);

    SupervisorRecovery recovery = SupervisorRecovery.of(read, entry -> entry.pid() == 4_202);

    assertEquals(
        new SupervisorRecovery("two", "one", read.get(4), false, null, List.of()), recovery);
  }

  // ---- Published names ----

  @Test
  void states_publishedNames_areTheRecordedOnes() {
    assertEquals(
        List.of("DOWN", "STARTING", "SERVING", "CHANGING", "PROBATION", "RETURNING", "PAUSED"),
        Stream.of(SupervisorStateMachine.State.values())
            .map(SupervisorStateMachine.State::publishedName)
            .toList());
  }

  @Test
  void roles_publishedNames_areTheRecordedOnes() {
    assertEquals(
        List.of("SERVES", "COMES"),
        Stream.of(SupervisorStateMachine.Role.values())
            .map(SupervisorStateMachine.Role::publishedName)
            .toList());
  }

  // ---- The fence's file ----

  @Test
  void fence_recorded_isReadToTheSameStates() throws Exception {
    List<EpochFence.Grant> read =
        JsonLineJournal.read(Fixtures.path(SupervisorFixtures.FENCE), EpochFence.Grant.class);

    assertEquals(
        List.of(
            new EpochFence.Grant(1, "d1", "", 0),
            new EpochFence.Grant(1, "d1", "two", 1),
            new EpochFence.Grant(2, "d2", "", 0),
            new EpochFence.Grant(2, "d2", "one", 1)),
        read);
  }

  @Test
  void fence_recorded_isFoundAtTheStart() throws Exception {
    Files.copy(Fixtures.path(SupervisorFixtures.FENCE), folder.resolve("fence.jsonl"));
    int port = Address.freePort();

    JsonNode status;
    try (ControllerEndpoint endpoint =
        new ControllerEndpoint(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
            "b1",
            folder,
            new ReleaseDirectory(folder),
            order -> "ok",
            Map::of,
            (program, settings) -> true)) {
      status =
          JSON.readTree(
              HttpClient.newHttpClient()
                  .send(
                      HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/box"))
                          .build(),
                      HttpResponse.BodyHandlers.ofString())
                  .body());
    }

    assertEquals(2, status.path("epoch").asLong());
    assertEquals("d2", status.path("driver").asText());
    assertEquals("one", status.path("target").asText());
  }

  // ---- The directory of releases ----

  @Test
  void releases_packedAgain_haveTheRecordedFiles() throws Exception {
    Path packed = folder.resolve("releases");

    SupervisorFixtures.packReleases(packed, folder);

    assertEquals(files(Fixtures.path(SupervisorFixtures.RELEASES)), files(packed));
  }

  @Test
  void releases_recorded_areComplete() throws Exception {
    ReleaseDirectory releases = new ReleaseDirectory(Fixtures.path(SupervisorFixtures.RELEASES));

    assertEquals(List.of("one", "two"), releases.names());
    assertEquals(List.of("", ""), List.of(releases.obstacle("one"), releases.obstacle("two")));
    assertEquals(
        List.of(
            "11819b0b1e2dd01992250d58cd8bcd32bc085e84bbf157ce7171e106a214c343",
            "",
            "aaedba01273424494dcdf73362312d849d0131a3670f13f0ec46de74096410cf",
            "bc543ec4ec0096b69551c66db4c173950cd632944019bcb26425e3d3c39bde37"),
        List.of(
            releases.programDigest("one"),
            releases.settingsDigest("one"),
            releases.programDigest("two"),
            releases.settingsDigest("two")));
  }

  private static Map<String, String> files(Path folder) throws IOException {
    Map<String, String> contents = new TreeMap<>();
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path file : (Iterable<Path>) paths.filter(Files::isRegularFile)::iterator) {
        contents.put(folder.relativize(file).toString(), Files.readString(file));
      }
    }
    return contents;
  }

  // ---- Messages between controller and supervisor ----

  @Test
  void calls_ofEveryKind_areAnsweredAsRecorded() throws Exception {
    SupervisorFixtures.Exchange exchange =
        SupervisorFixtures.exchange(folder, Fixtures.path(SupervisorFixtures.RELEASES));

    assertEquals(
        Fixtures.json(SupervisorFixtures.EXCHANGES), JSON.readTree(exchange.messages().toString()));
    assertEquals(
        Files.readString(Fixtures.path(SupervisorFixtures.FENCE)),
        Files.readString(folder.resolve("fence.jsonl")));
  }

  @Test
  void calls_thatAreAccepted_reachTheSupervisorInTheSameWords() throws Exception {
    SupervisorFixtures.Exchange exchange =
        SupervisorFixtures.exchange(folder, Fixtures.path(SupervisorFixtures.RELEASES));

    assertEquals(
        Set.of("go 1 two", "go 1 one back", "stand epoch=1&stage=2&verdict=same"),
        Set.copyOf(exchange.orders()));
  }

  @Test
  void look_atAHostWhoseFrontIsHealthy_sendsTheHealthCheckAndReportsBoth() throws Exception {
    int port = Address.freePort();
    byte[] probe = "*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n".getBytes(StandardCharsets.US_ASCII);
    AtomicReference<byte[]> received = new AtomicReference<>();

    JsonNode answer;
    try (ServerSocket front = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ControllerEndpoint endpoint =
            new ControllerEndpoint(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                "b1",
                folder,
                new ReleaseDirectory(folder),
                order -> "ok",
                Map::of,
                (program, settings) -> true)) {
      Thread responder =
          new Thread(
              () -> {
                try (Socket caller = front.accept()) {
                  received.set(caller.getInputStream().readNBytes(probe.length));
                  caller
                      .getOutputStream()
                      .write("$7\r\nhealthy\r\n".getBytes(StandardCharsets.US_ASCII));
                } catch (IOException closed) {
                  received.set(new byte[0]);
                }
              },
              "front");
      responder.start();
      String query = "/look?keeper=127.0.0.1:" + port + "&front=127.0.0.1:" + front.getLocalPort();
      answer =
          JSON.readTree(
              HttpClient.newHttpClient()
                  .send(
                      HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + query))
                          .build(),
                      HttpResponse.BodyHandlers.ofString())
                  .body());
    }

    assertEquals(JSON.readTree("{\"heard\":true,\"callers\":true}"), answer);
    assertArrayEquals(probe, received.get());
  }

  // ---- A whole run ----

  @Test
  void supervisor_inARunOfThreeChanges_writesAndAnswersAsRecorded() throws Exception {
    SupervisorRun run = SupervisorRun.of(folder);

    assertEquals(Fixtures.jsonLines(Fixtures.path(SupervisorRun.JOURNAL)), run.journal());
    assertEquals(Fixtures.json(SupervisorRun.ORDERS), JSON.readTree(run.orders().toString()));
    assertEquals(Fixtures.json(SupervisorRun.HOST), JSON.readTree(run.host().toString()));
    assertTrue(
        run.requests().contains(SupervisorRun.STAND), "the process receives the rollout status");
    assertTrue(run.requests().contains("GET /_figures HTTP/1.1"), run.requests().toString());
  }

  @Test
  void exchanges_recorded_haveEveryFieldOfTheHostStatus() throws Exception {
    JsonNode inRun = Fixtures.json(SupervisorRun.HOST).path("box");
    JsonNode inExchange =
        Fixtures.json(SupervisorFixtures.EXCHANGES).path(0).path("answer").path("box");

    assertEquals(Fixtures.fields(inRun), Fixtures.fields(inExchange));
  }
}
