package wharftrestle.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.jar.Attributes;
import java.util.jar.JarOutputStream;
import java.util.jar.Manifest;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.testbed.HostTestbed;
import wharftrestle.testbed.TestClient;

/**
 * Stories of a keeper with real daemons: it changes them, takes back what dies, and is killed
 * itself.
 */
@Timeout(90)
class HostSupervisorTest {
  private static final SupervisorStateMachine.Limits LIMITS =
      new SupervisorStateMachine.Limits(15, 1.5, 0.02, 0.05, 20, 0.1, 1, 3);

  @TempDir private Path folder;
  private HostTestbed floor;
  private Path releases;
  private Path state;
  private HostSupervisor keeper;
  private Thread runs;

  @BeforeEach
  void floor() throws Exception {
    floor = new HostTestbed(folder, "", 7, HostTestbed.Play.of(192));
    releases = folder.resolve("releases");
    state = folder.resolve("keeper");
    for (String name : List.of("one", "two")) {
      new ReleaseDirectory(releases).pack(jar("wharftrestle.Main"), null, name);
    }
  }

  @AfterEach
  void end() throws Exception {
    stop();
    if (!Files.exists(state)) {
      floor.close();
      return;
    }
    try (SupervisorJournal steps = new SupervisorJournal(state.resolve("journal.jsonl"))) {
      steps.entries().stream()
          .filter(step -> step.event().equals("started"))
          .forEach(step -> ProcessHandle.of(step.pid()).ifPresent(ProcessHandle::destroyForcibly));
    }
    floor.close();
  }

  /** A jar of the classes that this test runs with: nothing is in it but where they lie. */
  private Path jar(String main) throws IOException {
    Path jar = folder.resolve(main + ".jar");
    Manifest manifest = new Manifest();
    manifest.getMainAttributes().put(Attributes.Name.MANIFEST_VERSION, "1.0");
    manifest.getMainAttributes().put(Attributes.Name.MAIN_CLASS, main);
    String classes =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    manifest
        .getMainAttributes()
        .put(
            Attributes.Name.CLASS_PATH,
            Arrays.stream(classes.split(File.pathSeparator))
                .map(each -> Path.of(each).toUri().toString())
                .collect(Collectors.joining(" ")));
    try (JarOutputStream out = new JarOutputStream(Files.newOutputStream(jar), manifest)) {
      out.finish();
    }
    return jar;
  }

  private HostSupervisor.Places places() {
    return new HostSupervisor.Places(
        state,
        releases,
        folder.resolve("config.json"),
        List.of(
            System.getProperty("java.home") + "/bin/java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx40m",
            "-Xss192k"));
  }

  private void keep(String first) throws Exception {
    keep(first, step -> {});
  }

  private void keep(String first, Consumer<SupervisorJournal.Entry> before) throws Exception {
    keeper =
        new HostSupervisor(
            places(), LIMITS, new PrintStream(OutputStream.nullOutputStream()), before);
    HostSupervisor mine = keeper;
    runs =
        new Thread(
            () -> {
              try {
                mine.run(first);
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              } catch (Killed killed) {
                return;
              }
            });
    runs.start();
  }

  /** Ends a keeper at a step of its journal. */
  private static final class Killed extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /** As by a kill: what it was doing is left as it is. */
  private void stop() throws Exception {
    if (keeper != null) {
      keeper.stop();
      runs.join();
      keeper.close();
      keeper = null;
    }
  }

  private String order(String text) {
    return HostSupervisor.order(state, text);
  }

  private JsonNode status() throws IOException {
    String answer = order("status");
    // A keeper that goes says so, and one that is gone says nothing: neither has a status.
    return answer == null || answer.equals("no the keeper goes")
        ? new ObjectMapper().createObjectNode()
        : new ObjectMapper().readTree(answer.substring(3));
  }

  private JsonNode await(String wanted, String release) throws IOException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    for (; ; ) {
      JsonNode now = status();
      if (now.path("state").asText().equals(wanted)
          && now.path("release").asText().equals(release)) {
        return now;
      }
      assertTrue(System.nanoTime() < until, wanted + " " + release + " was wanted, it is " + now);
      LockSupport.parkNanos(20_000_000);
    }
  }

  private String ask(String key) throws IOException {
    try (TestClient desk = new TestClient(floor.address())) {
      return desk.ask("save", System.nanoTime(), key, "note of " + key).body();
    }
  }

  @Test
  void aBoxIsChangedAndTakenBackAndKnowsItsKeysThroughout() throws Exception {
    keep("one");
    await("serving", "one");
    String result = ask("k");
    assertTrue(order("change two").startsWith("ok "));
    await("serving", "two");
    assertEquals(result, ask("k"), "its keys came along");
    assertTrue(order("back").startsWith("ok "));
    JsonNode back = await("serving", "one");
    assertEquals(result, ask("k"));
    assertEquals("one", back.path("serves").path("release").asText());
    assertEquals(0, floor.doubleRuns());
  }

  @Test
  void whatCrashesIsTakenBackByItselfAndTheBoxServesOn() throws Exception {
    new ReleaseDirectory(releases).pack(jar("wharftrestle.prove.Crashes"), null, "bad");
    keep("one");
    await("serving", "one");
    String result = ask("k");
    assertTrue(order("change bad").startsWith("ok "));
    JsonNode now = await("serving", "one");
    while (now.path("reason").asText().isEmpty()) {
      now = await("serving", "one");
    }
    assertEquals("it died before it served", now.path("reason").asText());
    assertEquals(result, ask("k"));
  }

  @Test
  void aReleaseThatIsNotWholeNeverStarts() throws Exception {
    keep("one");
    await("serving", "one");
    Path half = Files.createDirectories(releases.resolve("half"));
    Files.copy(
        releases.resolve("two").resolve(ReleaseDirectory.JAR), half.resolve(ReleaseDirectory.JAR));
    assertTrue(
        order("change half").startsWith("no release 'half' is not whole"), order("change half"));
    Files.writeString(
        releases.resolve("two").resolve(ReleaseDirectory.JAR), "x", StandardOpenOption.APPEND);
    assertTrue(order("change two").contains("the digest of wharftrestle.jar is another"));
    assertTrue(order("change none").startsWith("no there is no release 'none'"));
    assertTrue(order("change one").startsWith("no one serves already"));
    await("serving", "one");
  }

  @Test
  void aKeeperThatEndsLeavesItsDaemonAndTheNextOneAdoptsIt() throws Exception {
    keep("one");
    long pid = await("serving", "one").path("serves").path("pid").asLong();
    HostSupervisor.TakenException taken =
        assertThrows(
            HostSupervisor.TakenException.class,
            () -> new HostSupervisor(places(), LIMITS, System.out));
    assertTrue(taken.getMessage().startsWith("another keeper has this box"));
    stop();
    assertTrue(ProcessHandle.of(pid).isPresent(), "its daemon serves on");
    String result = ask("k");
    keep(null);
    assertEquals(pid, await("serving", "one").path("serves").path("pid").asLong());
    assertTrue(order("change two").startsWith("ok "));
    await("serving", "two");
    assertEquals(result, ask("k"));
  }

  @Test
  void aKeeperThatEndsWithinAChangeIsFollowedByOneThatEndsOrUndoesIt() throws Exception {
    keep("one");
    await("serving", "one");
    assertTrue(order("change two").startsWith("ok "));
    stop();
    keep(null);
    JsonNode now = await("serving", "one");
    assertFalse(now.has("comes"), "who came for a change that nobody watches is ended");
    assertTrue(order("change two").startsWith("ok "));
    await("probation", "two");
    stop();
    keep(null);
    assertEquals(
        "one", await("probation", "two").path("back_to").asText(), "its probation goes on");
    await("serving", "two");
  }

  /**
   * The steps of a start, a change and the way back: starting, started, serves; starting, started,
   * ended, promoted, held; starting, started, ended, promoted, held.
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
  void aKeeperThatEndsAtAnyStepIsFollowedByOneThatEndsOrUndoesTheChange(int step) throws Exception {
    AtomicInteger steps = new AtomicInteger();
    keep(
        "one",
        each -> {
          if (steps.incrementAndGet() == step) {
            throw new Killed();
          }
        });
    while (runs.isAlive()) {
      if (steps.get() == 3 && status().path("state").asText().equals("serving")) {
        order("change two");
      }
      if (steps.get() == 8 && status().path("state").asText().equals("serving")) {
        order("back");
      }
      LockSupport.parkNanos(10_000_000);
    }
    stop();
    keep("one");
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    JsonNode now = status();
    while (!now.path("state").asText().equals("serving")
        || now.has("comes")
        || !now.path("serves").path("ready").asBoolean()
        || alive() != 1) {
      assertTrue(
          System.nanoTime() < until, "after step " + step + " it is " + now + " with " + alive());
      LockSupport.parkNanos(20_000_000);
      now = status();
    }
    assertTrue(now.path("release").asText().matches("one|two"));
    String result = ask("k");
    assertEquals(result, ask("k"));
  }

  /** Daemons of this box that live, by what their environment says. */
  private long alive() {
    return ProcessHandle.allProcesses()
        .filter(
            each -> {
              try {
                return Files.readString(
                        Path.of("/proc/" + each.pid() + "/environ"), StandardCharsets.ISO_8859_1)
                    .contains("TMPDIR=" + state);
              } catch (IOException gone) {
                return false;
              }
            })
        .count();
  }

  @Test
  void aDaemonThatDiesIsStartedAgainAfterAPause() throws Exception {
    keep("one");
    long pid = await("serving", "one").path("serves").path("pid").asLong();
    ProcessHandle.of(pid).orElseThrow().destroyForcibly();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (status().path("serves").path("pid").asLong(pid) == pid
        || !status().path("state").asText().equals("serving")) {
      assertTrue(System.nanoTime() < until, "it was not started again");
      LockSupport.parkNanos(20_000_000);
    }
    assertTrue(status().path("reason").asText().contains("it died"));
  }

  @Test
  void aJournalThatMayNotGrowAnyMoreKeepsItsWholeStepsAlone() throws Exception {
    Path file = folder.resolve("full.jsonl");
    String classes =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    // A limit of the file's size stands in for a disk that is full within a step.
    Process writes =
        new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -f 16; exec \"$@\"",
                "sh",
                System.getProperty("java.home") + "/bin/java",
                "-XX:-UsePerfData",
                "-Xmx32m",
                "-cp",
                classes,
                "wharftrestle.supervisor.FullDiskSupervisor",
                file.toString())
            .start();
    int written =
        Integer.parseInt(
            new String(writes.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim());
    assertTrue(
        writes.waitFor(20, TimeUnit.SECONDS) && written > 10,
        "the file was never full: " + written);
    try (SupervisorJournal steps = new SupervisorJournal(file)) {
      assertEquals(written, steps.entries().size());
      steps.add(
          new SupervisorJournal.Entry(
              1, "said", "SERVES", "one", "", 0, 0, 0, "there is room again"));
    }
    assertEquals(
        written + 1,
        JsonLineJournal.read(file, SupervisorJournal.Entry.class).size(),
        "no half step lies between");
  }

  @Test
  void theJournalIsCutAtItsLastWholeLineAndNeverBelievedInPart() throws Exception {
    Path file = folder.resolve("steps.jsonl");
    SupervisorJournal.Entry step =
        new SupervisorJournal.Entry(1, "started", "SERVES", "one", "", 42, 7, 9, "why");
    try (SupervisorJournal steps = new SupervisorJournal(file)) {
      steps.add(step);
      steps.add(step);
    }
    byte[] whole = Files.readAllBytes(file);
    for (int length = 0; length <= whole.length; length++) {
      Files.write(file, Arrays.copyOf(whole, length));
      try (SupervisorJournal steps = new SupervisorJournal(file)) {
        assertEquals(length * 2 / whole.length, steps.entries().size(), "cut at " + length);
      }
    }
    Files.writeString(file, "garbage\n" + new String(whole, StandardCharsets.UTF_8));
    assertThrows(IOException.class, () -> new SupervisorJournal(file));
  }
}
