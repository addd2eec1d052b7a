package wharftrestle.rollout.controller;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import wharftrestle.rollout.Rollout;
import wharftrestle.supervisor.DirectoryLock;
import wharftrestle.supervisor.JsonLineJournal;

/**
 * A controller's directory: its lock file, its journal and copies of the plans it has carried out.
 * Used by one controller at a time; the next one resumes from the journal. Opened and closed by
 * {@link RolloutController}; entries are appended under the lock of {@link RolloutExecution}.
 */
final class ControllerDirectory implements Closeable {
  static final String JOURNAL_FILE = "roll.jsonl";
  static final String SOCKET_FILE = "roll.sock";
  private static final String LOCK_FILE = "roll.lock";

  /** Characters of a plan's digest that identify it in file names and in displayed status. */
  private static final int SHORT_DIGEST_CHARACTERS = 12;

  private final Path directory;
  private final String planDigest;
  private final DirectoryLock lock;
  private final JsonLineJournal<JournalEntry> journal;

  private ControllerDirectory(Path directory, String planDigest, DirectoryLock lock)
      throws IOException {
    this.directory = directory;
    this.planDigest = planDigest;
    this.lock = lock;
    journal = new JsonLineJournal<>(directory.resolve(JOURNAL_FILE), JournalEntry.class);
  }

  /**
   * Locks the directory, after creating it if absent, and copies the plan into it.
   *
   * @throws RolloutRefusedException if another controller holds the directory, or a rollout of
   *     another plan is under way in it
   */
  static ControllerDirectory open(Path directory, PlanScript script)
      throws IOException, RolloutRefusedException {
    Files.createDirectories(directory);
    DirectoryLock lock = DirectoryLock.take(directory.resolve(LOCK_FILE));
    if (lock == null) {
      throw new RolloutRefusedException("another controller holds " + directory);
    }
    ControllerDirectory opened = new ControllerDirectory(directory, sha256(script.text()), lock);
    opened.requireSamePlan();
    Files.writeString(directory.resolve(planCopyName(opened.planDigest)), script.text());
    return opened;
  }

  private void requireSamePlan() throws IOException, RolloutRefusedException {
    JournalEntry last = journal.last();
    if (unfinishedRollout().isEmpty() || last.planDigest().equals(planDigest)) {
      return;
    }
    close();
    throw new RolloutRefusedException(
        "another change is under way in "
            + directory
            + ": resume it with its own plan, "
            + directory.resolve(planCopyName(last.planDigest()))
            + ", or end it with 'back' or 'abort' first");
  }

  private static String planCopyName(String planDigest) {
    return "plan-" + shortDigest(planDigest) + ".star";
  }

  static String shortDigest(String planDigest) {
    return planDigest.substring(0, SHORT_DIGEST_CHARACTERS);
  }

  static String sha256(String text) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("expected SHA-256 on every Java platform", e);
    }
  }

  /** The unfinished rollout of the journal; empty if there is none. */
  Optional<Rollout.Snapshot> unfinishedRollout() {
    return Optional.ofNullable(journal.last())
        .map(JournalEntry::rollout)
        .filter(rollout -> !rollout.state().isFinal());
  }

  /** The highest epoch that a controller has claimed from this directory; 0 for none. */
  long highestEpoch() {
    return journal.entries().stream().mapToLong(JournalEntry::epoch).max().orElse(0);
  }

  /** Names of the controllers in the journal, which have ended, as the directory is locked. */
  Set<String> controllerNames() {
    return journal.entries().stream().map(JournalEntry::controller).collect(Collectors.toSet());
  }

  String planDigest() {
    return planDigest;
  }

  Path socketFile() {
    return directory.resolve(SOCKET_FILE);
  }

  /** Appends an entry, durably on disk on return. */
  void append(JournalEntry entry) throws IOException {
    journal.add(entry);
  }

  @Override
  public void close() throws IOException {
    journal.close();
    lock.close();
  }
}
