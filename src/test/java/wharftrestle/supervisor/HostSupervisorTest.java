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
import java.util.concurrent.atomic.AtomicLong;
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
 * A supervisor with real daemons: changes and rollbacks of releases, daemons that crash, and a
 * supervisor that is killed and resumes.
 */
@Timeout(90)
class HostSupervisorTest {
  private static final SupervisorStateMachine.Limits LIMITS =
      new SupervisorStateMachine.Limits(15, 1.5, 0.02, 0.05, 20, 0.1, 1, 3);

  @TempDir private Path folder;
  private HostTestbed testbed;
  private Path releases;
  private Path stateDirectory;
  private HostSupervisor supervisor;
  private Thread thread;

  @BeforeEach
  void startTestbed() throws Exception {
    testbed = new HostTestbed(folder, "", 7, HostTestbed.Play.of(192));
    releases = folder.resolve("releases");
    stateDirectory = folder.resolve("keeper");
    for (String name : List.of("one", "two")) {
      new ReleaseDirectory(releases).pack(jar("wharftrestle.Main"), null, name);
    }
  }

  @AfterEach
  void stopAll() throws Exception {
    stopSupervisor();
    if (!Files.exists(stateDirectory)) {
      testbed.close();
      return;
    }
    try (SupervisorJournal journal =
        new SupervisorJournal(stateDirectory.resolve("journal.jsonl"))) {
      journal.entries().stream()
          .filter(entry -> entry.event().equals("started"))
          .forEach(
              entry -> ProcessHandle.of(entry.pid()).ifPresent(ProcessHandle::destroyForcibly));
    }
    testbed.close();
  }

  /** A jar without classes: its manifest refers to the class path of this test. */
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

  private HostSupervisor.Configuration configuration() {
    return new HostSupervisor.Configuration(
        stateDirectory,
        releases,
        folder.resolve("config.json"),
        List.of(
            System.getProperty("java.home") + "/bin/java",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xmx40m",
            "-Xss192k"));
  }

  private void startSupervisor(String firstRelease) throws Exception {
    startSupervisor(firstRelease, entry -> {});
  }

  private void startSupervisor(String firstRelease, Consumer<SupervisorJournal.Entry> entryListener)
      throws Exception {
    supervisor =
        new HostSupervisor(
            configuration(),
            LIMITS,
            new PrintStream(OutputStream.nullOutputStream()),
            entryListener);
    HostSupervisor started = supervisor;
    thread =
        new Thread(
            () -> {
              try {
                started.run(firstRelease);
              } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
              } catch (Killed killed) {
                return;
              }
            });
    thread.start();
  }

  /** Ends a supervisor before it writes an entry of its journal. */
  private static final class Killed extends RuntimeException {
    private static final long serialVersionUID = 1L;
  }

  /** Ends the supervisor as a kill does: what it was doing remains incomplete. */
  private void stopSupervisor() throws Exception {
    if (supervisor != null) {
      supervisor.stop();
      thread.join();
      supervisor.close();
      supervisor = null;
    }
  }

  private String sendCommand(String text) {
    return HostSupervisor.sendCommand(stateDirectory, text);
  }

  private JsonNode status() throws IOException {
    String answer = sendCommand("status");
    // A supervisor that is stopping, or has stopped, has no status.
    return answer == null || answer.equals("no the supervisor is stopping")
        ? new ObjectMapper().createObjectNode()
        : new ObjectMapper().readTree(answer.substring(3));
  }

  private JsonNode await(String state, String release) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    for (; ; ) {
      JsonNode now = status();
      if (now.path("state").asText().equals(state)
          && now.path("release").asText().equals(release)) {
        return now;
      }
      assertTrue(
          System.nanoTime() < deadline, "expected " + state + " " + release + ", found " + now);
      LockSupport.parkNanos(20_000_000);
    }
  }

  private String request(String key) throws IOException {
    try (TestClient client = new TestClient(testbed.address())) {
      return client.ask("save", System.nanoTime(), key, "note of " + key).body();
    }
  }

  @Test
  void changeAndRollback_keepTheKeys() throws Exception {
    startSupervisor("one");
    await("serving", "one");
    String result = request("k");
    assertTrue(sendCommand("change two").startsWith("ok "));
    await("serving", "two");
    assertEquals(result, request("k"), "the new daemon has received the keys");
    assertTrue(sendCommand("back").startsWith("ok "));
    JsonNode back = await("serving", "one");
    assertEquals(result, request("k"));
    assertEquals("one", back.path("serves").path("release").asText());
    assertEquals(0, testbed.doubleRuns());
  }

  @Test
  void change_toACrashingRelease_isUndone() throws Exception {
    new ReleaseDirectory(releases).pack(jar("wharftrestle.prove.Crashes"), null, "bad");
    startSupervisor("one");
    await("serving", "one");
    String result = request("k");
    assertTrue(sendCommand("change bad").startsWith("ok "));
    JsonNode now = await("serving", "one");
    while (now.path("reason").asText().isEmpty()) {
      now = await("serving", "one");
    }
    assertEquals("it died before it served", now.path("reason").asText());
    assertEquals(result, request("k"));
  }

  @Test
  void change_toAnIncompleteOrAlteredRelease_isRejected() throws Exception {
    startSupervisor("one");
    await("serving", "one");
    Path incomplete = Files.createDirectories(releases.resolve("half"));
    Files.copy(
        releases.resolve("two").resolve(ReleaseDirectory.JAR),
        incomplete.resolve(ReleaseDirectory.JAR));
    assertTrue(
        sendCommand("change half").startsWith("no release 'half' is incomplete"),
        sendCommand("change half"));
    Files.writeString(
        releases.resolve("two").resolve(ReleaseDirectory.JAR), "x", StandardOpenOption.APPEND);
    assertTrue(
        sendCommand("change two")
            .contains("the digest of wharftrestle.jar differs from the listed one"));
    assertTrue(sendCommand("change none").startsWith("no there is no release 'none'"));
    assertTrue(sendCommand("change one").startsWith("no one serves already"));
    await("serving", "one");
  }

  @Test
  void restart_whileServing_adoptsTheDaemon() throws Exception {
    startSupervisor("one");
    long pid = await("serving", "one").path("serves").path("pid").asLong();
    HostSupervisor.DirectoryLockedException exception =
        assertThrows(
            HostSupervisor.DirectoryLockedException.class,
            () -> new HostSupervisor(configuration(), LIMITS, System.out));
    assertTrue(
        exception.getMessage().startsWith("another supervisor has locked the state directory"));
    stopSupervisor();
    assertTrue(ProcessHandle.of(pid).isPresent(), "the daemon outlives its supervisor");
    String result = request("k");
    startSupervisor(null);
    assertEquals(pid, await("serving", "one").path("serves").path("pid").asLong());
    assertTrue(sendCommand("change two").startsWith("ok "));
    await("serving", "two");
    assertEquals(result, request("k"));
  }

  @Test
  void restart_duringAChangeOrItsProbation_undoesTheChangeOrContinuesTheProbation()
      throws Exception {
    startSupervisor("one");
    await("serving", "one");
    assertTrue(sendCommand("change two").startsWith("ok "));
    stopSupervisor();
    startSupervisor(null);
    JsonNode now = await("serving", "one");
    assertFalse(now.has("comes"), "the candidate of the incomplete change has been ended");
    assertTrue(sendCommand("change two").startsWith("ok "));
    await("probation", "two");
    stopSupervisor();
    startSupervisor(null);
    assertEquals(
        "one", await("probation", "two").path("back_to").asText(), "the probation continues");
    await("serving", "two");
  }

  /**
   * Guards against requests that are lost because a supervisor kills the daemon that serves: the
   * former supervisor was killed once the candidate served, before it ended the active daemon.
   */
  @Test
  void restart_onceTheCandidateServes_completesTheChange() throws Exception {
    AtomicLong candidatePid = new AtomicLong();
    startSupervisor(
        "one",
        entry -> {
          if (entry.event().equals("started") && entry.release().equals("two")) {
            candidatePid.set(entry.pid());
          }
          if (entry.event().equals("ended")) {
            throw new Killed();
          }
        });
    await("serving", "one");
    String result = request("k");
    assertTrue(sendCommand("change two").startsWith("ok "));
    thread.join();
    stopSupervisor();

    startSupervisor(null);

    JsonNode now = await("probation", "two");
    assertEquals(candidatePid.get(), now.path("serves").path("pid").asLong());
    assertEquals("one", now.path("back_to").asText());
    assertEquals(result, request("k"), "the candidate has the keys");
    await("serving", "two");
    assertEquals(0, testbed.doubleRuns());
  }

  /**
   * The supervisor is killed right before it writes the entry of this number. The entries are those
   * of a start (starting, started, said), a change (starting, started, ended, promoted, held) and a
   * rollback (starting, started, ended, promoted, held).
   */
  @ParameterizedTest
  @ValueSource(ints = {2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})
  void restart_afterAKillAtAnyJournalEntry_servesWithOneDaemon(int entry) throws Exception {
    AtomicInteger written = new AtomicInteger();
    startSupervisor(
        "one",
        each -> {
          if (written.incrementAndGet() == entry) {
            throw new Killed();
          }
        });
    while (thread.isAlive()) {
      if (written.get() == 3 && status().path("state").asText().equals("serving")) {
        sendCommand("change two");
      }
      if (written.get() == 8 && status().path("state").asText().equals("serving")) {
        sendCommand("back");
      }
      LockSupport.parkNanos(10_000_000);
    }
    stopSupervisor();
    startSupervisor("one");
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    JsonNode now = status();
    while (!now.path("state").asText().equals("serving")
        || now.has("comes")
        || !now.path("serves").path("ready").asBoolean()
        || runningDaemons() != 1) {
      assertTrue(
          System.nanoTime() < deadline,
          "killed at entry " + entry + ": found " + now + " and daemons: " + runningDaemons());
      LockSupport.parkNanos(20_000_000);
      now = status();
    }
    assertTrue(now.path("release").asText().matches("one|two"));
    String result = request("k");
    assertEquals(result, request("k"));
  }

  /** Number of running daemons of this host, found by their environment. */
  private long runningDaemons() {
    return ProcessHandle.allProcesses()
        .filter(
            process -> {
              try {
                return Files.readString(
                        Path.of("/proc/" + process.pid() + "/environ"), StandardCharsets.ISO_8859_1)
                    .contains("TMPDIR=" + stateDirectory);
              } catch (IOException exited) {
                return false;
              }
            })
        .count();
  }

  @Test
  void daemonExit_restartsTheDaemonAfterABackoff() throws Exception {
    startSupervisor("one");
    long pid = await("serving", "one").path("serves").path("pid").asLong();
    ProcessHandle.of(pid).orElseThrow().destroyForcibly();
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (status().path("serves").path("pid").asLong(pid) == pid
        || !status().path("state").asText().equals("serving")) {
      assertTrue(System.nanoTime() < deadline, "the daemon was not restarted");
      LockSupport.parkNanos(20_000_000);
    }
    assertTrue(status().path("reason").asText().contains("the daemon exited"));
  }

  @Test
  void journal_onAFullDisk_keepsOnlyCompleteEntries() throws Exception {
    Path file = folder.resolve("full.jsonl");
    String classes =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    // A limit of the file's size simulates a disk that becomes full within an entry.
    Process writer =
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
    int writtenEntries =
        Integer.parseInt(
            new String(writer.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim());
    assertTrue(
        writer.waitFor(20, TimeUnit.SECONDS) && writtenEntries > 10,
        "expected a full file after more than 10 entries, written: " + writtenEntries);
    try (SupervisorJournal journal = new SupervisorJournal(file)) {
      assertEquals(writtenEntries, journal.entries().size());
      journal.add(
          new SupervisorJournal.Entry(
              1, "said", "SERVES", "one", "", 0, 0, 0, "space is free again"));
    }
    assertEquals(
        writtenEntries + 1,
        JsonLineJournal.read(file, SupervisorJournal.Entry.class).size(),
        "an incomplete entry remains in the journal");
  }

  @Test
  void journal_cutAnywhere_keepsCompleteEntriesAndRejectsAMalformedLine() throws Exception {
    Path file = folder.resolve("steps.jsonl");
    SupervisorJournal.Entry entry =
        new SupervisorJournal.Entry(1, "started", "SERVES", "one", "", 42, 7, 9, "why");
    try (SupervisorJournal journal = new SupervisorJournal(file)) {
      journal.add(entry);
      journal.add(entry);
    }
    byte[] complete = Files.readAllBytes(file);
    for (int length = 0; length <= complete.length; length++) {
      Files.write(file, Arrays.copyOf(complete, length));
      try (SupervisorJournal journal = new SupervisorJournal(file)) {
        assertEquals(length * 2 / complete.length, journal.entries().size(), "cut at " + length);
      }
    }
    Files.writeString(file, "garbage\n" + new String(complete, StandardCharsets.UTF_8));
    assertThrows(IOException.class, () -> new SupervisorJournal(file));
  }
}
