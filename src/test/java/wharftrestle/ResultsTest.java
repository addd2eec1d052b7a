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
 * Stories of results kept over restarts: a daemon is killed where its folder is copied as it
 * stands.
 */
class ResultsTest {
  @TempDir private Path folder;
  private int copies;

  private static DaemonConfig.Appliance keeping(Path at) {
    return new DaemonConfig.Appliance(
        null,
        null,
        null,
        "x",
        24,
        new DaemonConfig.Durable(at, 4 << 20, 1000, 1 << 20, 0.3, "group"));
  }

  /** What the next process finds, were this one killed now. */
  private Path killed(Path from) throws IOException {
    Path to = folder.resolve("copy" + ++copies);
    Files.createDirectories(to);
    Files.copy(from.resolve("list"), to.resolve("list")); // first: what it names is there by then
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
  void aRestartedDaemonKnowsWhatItsDeadOneRan() throws Exception {
    Path first = folder.resolve("first");
    Path atSpawn;
    Path atEnd;
    try (Loopback site = new Loopback(Sites.site(), keeping(first));
        Caller caller = site.new Caller()) {
      ask(caller, 1, 1, "done", "a");
      Command spawn = site.command();
      atSpawn = killed(first);
      site.finish(spawn.ref(), "good", 1, "saved \u00ff\r\n twice");
      assertEquals("saved \u00ff\r\n twice", caller.reply().body());
      ask(caller, 2, 2, "open", "b");
      assertEquals("spawn", site.command().verb());
      atEnd = killed(first);
      ask(caller, 3, 3, "done", "a");
      assertEquals(
          new Reply("3", "done", "", "saved \u00ff\r\n twice"),
          caller.reply(),
          "from disk, while it lives");
      ask(caller, 4, 4, "done", "other");
      assertEquals("error", caller.reply().word());
    }
    try (Loopback next = new Loopback(Sites.site(), keeping(atEnd));
        Caller caller = next.new Caller()) {
      ask(caller, 1, 11, "done", "a");
      assertEquals(
          new Reply("1", "done", "", "saved \u00ff\r\n twice"), caller.reply(), "byte for byte");
      ask(caller, 2, 12, "open", "b");
      assertEquals(
          "error", caller.reply().word(), "its end is unknown: it fails, and is not refused");
      ask(caller, 3, 13, "done", "other");
      assertEquals("error", caller.reply().word(), "its body was kept");
      caller.ask(4, 14, System.currentTimeMillis() - 4000, "keyed", "done", "a");
      assertEquals("done", caller.reply().word(), "stamped before the crash, read after it");
      ask(caller, 5, 15, "new", "c");
      assertEquals(
          new Command("spawn", String.format("%016x", 15), "keyed", "c"),
          next.command(),
          "and nothing else ran");
    }
    try (Loopback next = new Loopback(Sites.site(), keeping(atSpawn));
        Caller caller = next.new Caller()) {
      ask(caller, 1, 21, "done", "a");
      assertEquals("error", caller.reply().word(), "its intent was on disk before its run");
      assertNull(next.commands.poll());
    }
  }

  @Test
  void theLastResultIsOnDiskWhenADrainEnds() throws Exception {
    Path first = folder.resolve("first");
    try (Loopback site = new Loopback(Sites.site(), keeping(first));
        Caller caller = site.new Caller()) {
      ask(caller, 1, 1, "k", "a");
      Command spawn = site.command();
      Thread end = site.stopping();
      site.life.leave();
      site.finish(spawn.ref(), "good", 1, "last");
      Reply reply = caller.reply();
      assertEquals("last", (reply.word().equals("closing") ? caller.reply() : reply).body());
      caller.close();
      end.join();
      Path left = killed(first);
      try (Loopback next = new Loopback(Sites.site(), keeping(left));
          Caller again = next.new Caller()) {
        ask(again, 1, 11, "k", "a");
        assertEquals("last", again.reply().body());
      }
    }
  }

  @Test
  void aFolderThatCannotBeHadEndsTheStartInOneLine() throws Exception {
    Path first = folder.resolve("first");
    try (Loopback site = new Loopback(Sites.site(), keeping(first))) {
      assertTrue(site.life.requestCoordinator().isReady());
      UnusableStorageException held =
          assertThrows(
              UnusableStorageException.class, () -> new Loopback(Sites.site(), keeping(first)));
      assertTrue(held.getMessage().endsWith("is held by another process"), held.getMessage());
    }
    Path file = Files.createFile(folder.resolve("file"));
    assertTrue(
        assertThrows(
                UnusableStorageException.class, () -> new Loopback(Sites.site(), keeping(file)))
            .getMessage()
            .contains("cannot be written"));
  }

  private Loopback upgrade(Loopback old, Path at) throws Exception {
    return upgrade(Sites.site(), old, at);
  }

  private Loopback upgrade(Sites.Builder site, Loopback old, Path at) throws Exception {
    Loopback next = new Loopback(site, keeping(at), 1024, folder.resolve("n1.sock"), old);
    if (old != null) {
      next.awaitTaking();
    }
    return next;
  }

  /**
   * A folder as a kill at that moment leaves it, and the keys whose runs had been asked for by
   * then.
   */
  private record Moment(Path left, Set<String> ran) {}

  @Test
  void aKillAtAnyStepOfAnUpgradeLeavesEveryRunOnDisk() throws Exception {
    Path log = folder.resolve("log");
    List<Moment> moments = new ArrayList<>();
    AtomicBoolean over = new AtomicBoolean();
    Sites.Builder wide = Sites.site();
    wide.window = 600; // no key is over before its moment is looked at, however many there are
    try (Loopback old = upgrade(wide, null, log)) {
      old.autoMs = 3;
      List<Loopback> sites = new CopyOnWriteArrayList<>(List.of(old));
      Thread desk = new Thread(() -> keepAsking(old, "old", over));
      desk.start();
      Thread copier =
          new Thread(
              () -> {
                while (!over.get()) {
                  Set<String> ran = new HashSet<>();
                  sites.forEach(site -> ran.addAll(site.runs.keySet()));
                  try {
                    moments.add(new Moment(killed(log), ran));
                  } catch (IOException e) {
                    throw new UncheckedIOException(e);
                  }
                }
              });
      copier.start();
      while (old.runs.size() < 20) {
        Thread.onSpinWait();
      }
      try (Loopback next = new Loopback(wide, keeping(log), 1024, folder.resolve("n1.sock"), old)) {
        next.autoMs = 3;
        sites.add(next);
        next.awaitTaking();
        Thread other = new Thread(() -> keepAsking(next, "new", over));
        other.start();
        while (next.runs.size() < 20) {
          Thread.onSpinWait();
        }
        over.set(true);
        other.join();
        copier.join();
        desk.join();
      }
    }
    assertTrue(moments.size() > 5, moments.size() + " moments");
    for (Moment moment : moments) {
      try (WriteAheadLog journal = new WriteAheadLog(keeping(moment.left()).durable())) {
        ResultStore.RecoveredKeys recovered = journal.open(wide.window);
        Set<String> known = new HashSet<>();
        recovered.keys().forEach(key -> known.add(key.key().replaceFirst("2/0/", "")));
        assertTrue(known.containsAll(moment.ran()), "ran and not on disk in " + moment.left());
      }
    }
  }

  private static void keepAsking(Loopback site, String name, AtomicBoolean over) {
    try (Caller caller = site.new Caller()) {
      for (int i = 1; !over.get(); i++) {
        ask(caller, i, name.hashCode() * 100_000L + i & Long.MAX_VALUE, name + i, name + i);
        while (caller.reply().word().equals("closing")) {
          continue;
        }
      }
    } catch (IOException gone) {
      return; // sent away: others come to the new process
    }
  }

  @Test
  void twoProcessesOfOneBoxShareOneLog() throws Exception {
    Path log = folder.resolve("log");
    try (Loopback old = upgrade(null, log);
        Caller before = old.new Caller()) {
      ask(before, 1, 1, "over", "a");
      old.finish(old.command().ref(), "good", 1, "by the old");
      assertEquals("by the old", before.reply().body());
      ask(before, 2, 2, "runs", "b");
      Command runs = old.command();
      try (Loopback next = upgrade(old, log);
          Caller after = next.new Caller()) {
        assertEquals("closing", before.reply().word());
        ask(after, 1, 11, "over", "a");
        assertEquals("by the old", after.reply().body(), "read from the log that was handed over");
        old.finish(runs.ref(), "good", 1, "late");
        assertEquals("late", before.reply().body(), "once the new one has it on disk");
        ask(before, 3, 3, "claimed", "c"); // read late: its intent is written by the new one
        Command claimed = old.command();
        ask(after, 2, 12, "new", "d");
        Command fresh = next.command();
        Path killed = killed(log); // both at once
        next.finish(fresh.ref(), "good", 1, "by the new");
        assertEquals("by the new", after.reply().body());
        old.finish(claimed.ref(), "good", 1, "claimed too");
        assertEquals("claimed too", before.reply().body());
        try (Loopback third = new Loopback(Sites.site(), keeping(killed));
            Caller last = third.new Caller()) {
          int tries = 0;
          for (String[] each :
              new String[][] {
                {"over", "a", "done"},
                {"runs", "b", "done"},
                {"claimed", "c", "error"},
                {"new", "d", "error"}
              }) {
            // A reference of its own, as each try has: the last one's is in use until its thread
            // has ended.
            ask(last, ++tries, 30 + tries, each[0], each[1]);
            assertEquals(each[2], last.reply().word(), each[0]);
          }
          assertNull(third.commands.poll(), "nothing ran again");
        }
      }
      old.awaitTaking(); // the new one died: the old one has the log again, and what was written
      // to it
      try (Caller again = old.new Caller()) {
        ask(again, 1, 41, "new", "d");
        assertEquals("by the new", again.reply().body());
        ask(again, 2, 42, "claimed", "c");
        assertEquals("claimed too", again.reply().body());
        ask(again, 3, 43, "further", "e");
        old.finish(old.command().ref(), "good", 1, "on");
        assertEquals("on", again.reply().body(), "it records again");
      }
    }
  }
}
