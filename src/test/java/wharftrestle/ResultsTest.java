package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import wharftrestle.Loopback.Caller;
import wharftrestle.Loopback.Command;
import wharftrestle.config.DaemonConfig;
import wharftrestle.request.ResultStore;
import wharftrestle.storage.UnusableStorageException;
import wharftrestle.storage.WriteAheadLog;
import wharftrestle.testbed.RespPeer.Reply;

/**
 * Tests of results that survive restarts. A kill is simulated by a copy of the daemon's folder,
 * taken while it runs.
 */
class ResultsTest {
  @TempDir private Path folder;
  private int copies;

  private static DaemonConfig.Appliance applianceWithResults(Path resultFolder) {
    return new DaemonConfig.Appliance(
        null,
        null,
        null,
        "x",
        24,
        new DaemonConfig.Durable(resultFolder, 4 << 20, 1000, 1 << 20, 0.3, "group"));
  }

  /** Copies the folder as a process that is started after a kill at this moment finds it. */
  private Path copyAsAfterKill(Path from) throws IOException {
    Path to = folder.resolve("copy" + ++copies);
    Files.createDirectories(to);
    // Copied first: the segments that the manifest names exist by then.
    Files.copy(from.resolve("list"), to.resolve("list"));
    try (Stream<Path> all = Files.list(from)) {
      for (Path each :
          (Iterable<Path>) all.filter(file -> file.toString().endsWith(".log"))::iterator) {
        Files.copy(each, to.resolve(each.getFileName()));
      }
    }
    return to;
  }

  private static void ask(Caller caller, int tag, long ref, String key, String body)
      throws IOException {
    caller.ask(tag, ref, System.currentTimeMillis(), "keyed", key, body);
  }

  @Test
  void restartedDaemonRecoversExecutionsOfTheKilledOne() throws Exception {
    Path first = folder.resolve("first");
    Path atSpawn;
    Path atEnd;
    try (Loopback site = new Loopback(Sites.site(), applianceWithResults(first));
        Caller caller = site.new Caller()) {
      ask(caller, 1, 1, "done", "a");
      Command spawn = site.command();
      atSpawn = copyAsAfterKill(first);
      site.finish(spawn.ref(), "good", 1, "saved \u00ff\r\n twice");
      assertEquals("saved \u00ff\r\n twice", caller.reply().body());
      ask(caller, 2, 2, "open", "b");
      assertEquals("spawn", site.command().verb());
      atEnd = copyAsAfterKill(first);
      ask(caller, 3, 3, "done", "a");
      assertEquals(
          new Reply("3", "done", "", "saved \u00ff\r\n twice"),
          caller.reply(),
          "replayed from disk by the running daemon");
      ask(caller, 4, 4, "done", "other");
      assertEquals("error", caller.reply().word());
    }
    try (Loopback next = new Loopback(Sites.site(), applianceWithResults(atEnd));
        Caller caller = next.new Caller()) {
      ask(caller, 1, 11, "done", "a");
      assertEquals(
          new Reply("1", "done", "", "saved \u00ff\r\n twice"), caller.reply(), "byte for byte");
      ask(caller, 2, 12, "open", "b");
      assertEquals(
          "error", caller.reply().word(), "the outcome is unknown: it fails, and is not rejected");
      ask(caller, 3, 13, "done", "other");
      assertEquals("error", caller.reply().word(), "the body is compared after recovery");
      caller.ask(4, 14, System.currentTimeMillis() - 4000, "keyed", "done", "a");
      assertEquals("done", caller.reply().word(), "timestamp before the crash, read after it");
      ask(caller, 5, 15, "new", "c");
      assertEquals(
          new Command("spawn", String.format("%016x", 15), "keyed", "c"),
          next.command(),
          "no other request was executed");
    }
    try (Loopback next = new Loopback(Sites.site(), applianceWithResults(atSpawn));
        Caller caller = next.new Caller()) {
      ask(caller, 1, 21, "done", "a");
      assertEquals(
          "error", caller.reply().word(), "the intent record was on disk before the execution");
      assertNull(next.commands.poll());
    }
  }

  @Test
  void lastResultIsOnDiskWhenDrainingEnds() throws Exception {
    Path first = folder.resolve("first");
    try (Loopback site = new Loopback(Sites.site(), applianceWithResults(first));
        Caller caller = site.new Caller()) {
      ask(caller, 1, 1, "k", "a");
      Command spawn = site.command();
      Thread server = site.startServing();
      site.life.leave();
      site.finish(spawn.ref(), "good", 1, "last");
      Reply reply = caller.reply();
      assertEquals("last", (reply.word().equals("closing") ? caller.reply() : reply).body());
      caller.close();
      server.join();
      Path copiedFolder = copyAsAfterKill(first);
      try (Loopback next = new Loopback(Sites.site(), applianceWithResults(copiedFolder));
          Caller again = next.new Caller()) {
        ask(again, 1, 11, "k", "a");
        assertEquals("last", again.reply().body());
      }
    }
  }

  @Test
  void unusableFolderFailsTheStartWithOneMessage() throws Exception {
    Path first = folder.resolve("first");
    try (Loopback site = new Loopback(Sites.site(), applianceWithResults(first))) {
      assertTrue(site.life.requestCoordinator().isReady());
      UnusableStorageException held =
          assertThrows(
              UnusableStorageException.class,
              () -> new Loopback(Sites.site(), applianceWithResults(first)));
      assertTrue(held.getMessage().endsWith("is held by another process"), held.getMessage());
    }
    Path file = Files.createFile(folder.resolve("file"));
    assertTrue(
        assertThrows(
                UnusableStorageException.class,
                () -> new Loopback(Sites.site(), applianceWithResults(file)))
            .getMessage()
            .contains("cannot be written"));
  }

  private Loopback startDaemon(Loopback old, Path resultFolder) throws Exception {
    return startDaemon(Sites.site(), old, resultFolder);
  }

  private Loopback startDaemon(Sites.Builder site, Loopback old, Path resultFolder)
      throws Exception {
    Loopback next =
        new Loopback(
            site, applianceWithResults(resultFolder), 1024, folder.resolve("n1.sock"), old);
    if (old != null) {
      next.awaitTaking();
    }
    return next;
  }

  /**
   * The folder as a kill at one moment leaves it, and the keys whose executions had been dispatched
   * by then.
   */
  private record KillCopy(Path copiedFolder, Set<String> dispatched) {}

  @Test
  void killAtAnyStepOfAnUpgradeLeavesEveryExecutionOnDisk() throws Exception {
    Path log = folder.resolve("log");
    List<KillCopy> killCopies = new ArrayList<>();
    AtomicBoolean isStopping = new AtomicBoolean();
    Sites.Builder longWindow = Sites.site();
    // No key expires before its copy is checked, however many copies there are.
    longWindow.window = 600;
    try (Loopback old = startDaemon(longWindow, null, log)) {
      old.autoMs = 3;
      List<Loopback> sites = new CopyOnWriteArrayList<>(List.of(old));
      Thread oldClient = new Thread(() -> sendUntilStopped(old, "old", isStopping));
      oldClient.start();
      Thread copier =
          new Thread(
              () -> {
                while (!isStopping.get()) {
                  Set<String> dispatched = new HashSet<>();
                  sites.forEach(site -> dispatched.addAll(site.runs.keySet()));
                  try {
                    killCopies.add(new KillCopy(copyAsAfterKill(log), dispatched));
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                }
              });
      copier.start();
      while (old.runs.size() < 20) {
        Thread.onSpinWait();
      }
      try (Loopback next =
          new Loopback(
              longWindow, applianceWithResults(log), 1024, folder.resolve("n1.sock"), old)) {
        next.autoMs = 3;
        sites.add(next);
        next.awaitTaking();
        Thread newClient = new Thread(() -> sendUntilStopped(next, "new", isStopping));
        newClient.start();
        while (next.runs.size() < 20) {
          Thread.onSpinWait();
        }
        isStopping.set(true);
        newClient.join();
        copier.join();
        oldClient.join();
      }
    }
    assertTrue(killCopies.size() > 5, killCopies.size() + " copies");
    for (KillCopy killCopy : killCopies) {
      try (WriteAheadLog journal =
          new WriteAheadLog(applianceWithResults(killCopy.copiedFolder()).durable())) {
        ResultStore.RecoveredKeys recovered = journal.open(longWindow.window);
        Set<String> known = new HashSet<>();
        recovered.keys().forEach(key -> known.add(key.key().replaceFirst("2/0/", "")));
        assertTrue(
            known.containsAll(killCopy.dispatched()),
            "executed but not on disk in " + killCopy.copiedFolder());
      }
    }
  }

  private static void sendUntilStopped(Loopback site, String name, AtomicBoolean isStopping) {
    try (Caller caller = site.new Caller()) {
      for (int i = 1; !isStopping.get(); i++) {
        ask(caller, i, name.hashCode() * 100_000L + i & Long.MAX_VALUE, name + i, name + i);
        while (caller.reply().word().equals("closing")) {
          continue;
        }
      }
    } catch (IOException gone) {
      return; // the old process closed the connection; new ones reach the new process
    }
  }

  @Test
  void twoProcessesOfOneHostShareOneLog() throws Exception {
    Path log = folder.resolve("log");
    try (Loopback old = startDaemon(null, log);
        Caller before = old.new Caller()) {
      ask(before, 1, 1, "over", "a");
      old.finish(old.command().ref(), "good", 1, "by the old");
      assertEquals("by the old", before.reply().body());
      ask(before, 2, 2, "runs", "b");
      Command runs = old.command();
      try (Loopback next = startDaemon(old, log);
          Caller after = next.new Caller()) {
        assertEquals("closing", before.reply().word());
        ask(after, 1, 11, "over", "a");
        assertEquals(
            "by the old", after.reply().body(), "read from the log received in the handover");
        old.finish(runs.ref(), "good", 1, "late");
        assertEquals("late", before.reply().body(), "answered once the new process has it on disk");
        // Read after the handover: the new process writes its intent.
        ask(before, 3, 3, "claimed", "c");
        Command claimed = old.command();
        ask(after, 2, 12, "new", "d");
        Command newSpawn = next.command();
        Path copiedFolder = copyAsAfterKill(log); // both processes are killed at once
        next.finish(newSpawn.ref(), "good", 1, "by the new");
        assertEquals("by the new", after.reply().body());
        old.finish(claimed.ref(), "good", 1, "claimed too");
        assertEquals("claimed too", before.reply().body());
        try (Loopback third = new Loopback(Sites.site(), applianceWithResults(copiedFolder));
            Caller last = third.new Caller()) {
          int attempts = 0;
          for (String[] each :
              new String[][] {
                {"over", "a", "done"},
                {"runs", "b", "done"},
                {"claimed", "c", "error"},
                {"new", "d", "error"}
              }) {
            // Each attempt has its own reference: that of the previous attempt is in use until its
            // thread has ended.
            ask(last, ++attempts, 30 + attempts, each[0], each[1]);
            assertEquals(each[2], last.reply().word(), each[0]);
          }
          assertNull(third.commands.poll(), "nothing was executed again");
        }
      }
      // The new process has died: the old one owns the log again, with the records of both.
      old.awaitTaking();
      try (Caller again = old.new Caller()) {
        ask(again, 1, 41, "new", "d");
        assertEquals("by the new", again.reply().body());
        ask(again, 2, 42, "claimed", "c");
        assertEquals("claimed too", again.reply().body());
        ask(again, 3, 43, "further", "e");
        old.finish(old.command().ref(), "good", 1, "on");
        assertEquals("on", again.reply().body(), "the old process records results again");
      }
    }
  }
}
