package wharftrestle.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import wharftrestle.upstream.LinkCommand.Repetition;

/**
 * Guards against a command that takes effect twice because it was sent again after a break of the
 * worker pool link, and against one that is never sent.
 */
class UnacknowledgedCommandsTest {
  private static final String REFERENCE = "9b1f03aa5c7e2d41";
  private static final long LATER_NANOS = 1_000_000_000L;

  private final UnacknowledgedCommands unacknowledged = new UnacknowledgedCommands();
  private final WorkerPoolLink first = new WorkerPoolLink(new Socket());
  private final WorkerPoolLink second = new WorkerPoolLink(new Socket());

  private LinkCommand add(String reference, Repetition repetition, WorkerPoolLink link) {
    LinkCommand command =
        new LinkCommand(reference, LinkCommand.encode("command"), repetition, link, 0);
    unacknowledged.add(command);
    return command;
  }

  @Test
  void unsafeCommandWhoseWriteBeganIsUncertainOnce() {
    add(REFERENCE, Repetition.UNSAFE, first).markWriteStarted();

    UnacknowledgedCommands.Recovery recovery = unacknowledged.recover(second, 0);

    assertEquals(List.of(REFERENCE), recovery.uncertain());
    assertTrue(recovery.repeated().isEmpty());
    assertTrue(unacknowledged.recover(second, 0).uncertain().isEmpty(), "reported once");
  }

  @Test
  void unsafeCommandThatWasNeverWrittenIsSent() {
    add(REFERENCE, Repetition.UNSAFE, first);
    add("another", Repetition.UNSAFE, null);

    UnacknowledgedCommands.Recovery recovery = unacknowledged.recover(second, 0);

    assertTrue(recovery.uncertain().isEmpty());
    assertEquals(
        List.of(REFERENCE, "another"),
        recovery.repeated().stream().map(LinkCommand::reference).toList());
  }

  @Test
  void harmlessCommandsAreRepeatedInTheirOrder() {
    LinkCommand spawn = add(REFERENCE, Repetition.HARMLESS, first);
    LinkCommand suspend = add(REFERENCE, Repetition.HARMLESS, first);
    spawn.markWriteStarted();
    suspend.markWriteStarted();

    List<LinkCommand> repeated = unacknowledged.recover(second, 0).repeated();

    assertEquals(2, repeated.size());
    assertEquals(spawn.bytes(), repeated.get(0).bytes());
    assertEquals(suspend.bytes(), repeated.get(1).bytes());
    assertTrue(unacknowledged.recover(second, 0).repeated().isEmpty(), "on the new link already");
  }

  @Test
  void commandsBeforeAnAnnouncementOrWellBeforeAnAnsweredPollAreForgotten() {
    add(REFERENCE, Repetition.UNSAFE, first).markWriteStarted();
    add("polled", Repetition.UNSAFE, first).markWriteStarted();

    unacknowledged.acknowledge(REFERENCE);
    unacknowledged.acknowledgeSentBefore(first, LATER_NANOS);

    UnacknowledgedCommands.Recovery recovery = unacknowledged.recover(second, 0);
    assertTrue(recovery.uncertain().isEmpty());
    assertTrue(recovery.repeated().isEmpty());
  }

  /**
   * One execution and its worker pool, which reads any part of what was written to a link, at any
   * time until the link is replaced, and announces calls at any time.
   */
  private static final class RandomRun {
    private final Random random;
    private final boolean isCopyHarmless;
    private final UnacknowledgedCommands unacknowledged = new UnacknowledgedCommands();
    private final List<LinkCommand> queued = new ArrayList<>();
    private final List<LinkCommand> written = new ArrayList<>();
    private WorkerPoolLink link = new WorkerPoolLink(new Socket());
    private int callsAnnounced;
    private int callsAnswered;
    private boolean isAnnouncementUnread;
    private boolean isAnnouncementReplayed;
    private boolean isUncertain;
    private int wrongResponses;

    RandomRun(long seed, boolean isCopyHarmless) {
      random = new Random(seed);
      this.isCopyHarmless = isCopyHarmless;
    }

    void play(int steps) {
      for (int i = 0; i < steps && !isUncertain; i++) {
        switch (random.nextInt(6)) {
          case 0 -> announceCall();
          case 1 -> readAnnouncementAndRespond();
          case 2 -> write();
          case 3 -> readOneCommand();
          case 4 -> breakLink();
          default -> recover();
        }
      }
    }

    private void announceCall() {
      if (callsAnnounced == callsAnswered) {
        callsAnnounced++;
        isAnnouncementUnread = true;
      }
    }

    private void readAnnouncementAndRespond() {
      if (!isAnnouncementUnread) {
        return;
      }
      isAnnouncementUnread = false;
      unacknowledged.acknowledge(REFERENCE);
      LinkCommand response =
          new LinkCommand(
              REFERENCE,
              LinkCommand.encode(Integer.toString(callsAnnounced)),
              isCopyHarmless ? Repetition.HARMLESS : Repetition.UNSAFE,
              link,
              0);
      unacknowledged.add(response);
      queued.add(response);
    }

    private void write() {
      queued.forEach(LinkCommand::markWriteStarted);
      written.addAll(queued);
      queued.clear();
    }

    private void readOneCommand() {
      if (written.isEmpty()) {
        return;
      }
      String response = new String(written.remove(0).bytes(), StandardCharsets.US_ASCII);
      if (callsAnnounced > callsAnswered) { // ignored unless the execution waits for a call
        wrongResponses += Integer.parseInt(response.trim()) == callsAnnounced ? 0 : 1;
        callsAnswered++;
      }
    }

    private void breakLink() {
      queued.clear();
      written.clear(); // whatever was not read is lost
      link = new WorkerPoolLink(new Socket());
      isAnnouncementReplayed = isAnnouncementUnread;
    }

    private void recover() {
      if (isAnnouncementReplayed) {
        readAnnouncementAndRespond(); // the bind replays all announcements before the recovery
        isAnnouncementReplayed = false;
      }
      UnacknowledgedCommands.Recovery recovery = unacknowledged.recover(link, 0);
      queued.addAll(recovery.repeated());
      isUncertain |= !recovery.uncertain().isEmpty();
    }

    /** True if the execution waits for a response that is nowhere on its way. */
    boolean isStuck() {
      return !isUncertain
          && callsAnnounced > callsAnswered
          && !isAnnouncementUnread
          && queued.isEmpty()
          && written.isEmpty();
    }

    void settle() {
      recover();
      write();
    }
  }

  @Property(tries = 2000)
  void anyOrderOfReadsAndBreaksGivesEachCallItsOwnResponse(@ForAll long seed) {
    RandomRun run = new RandomRun(seed, false);
    run.play(200);
    run.settle();
    assertEquals(0, run.wrongResponses);
    assertFalse(run.isStuck(), "a response that was not sent is neither repeated nor uncertain");
  }

  @Test
  void propertyDetectsResponsesThatAreAlwaysRepeated() {
    int wrongResponses = 0;
    for (long seed = 0; seed < 200; seed++) {
      RandomRun run = new RandomRun(seed, true);
      run.play(200);
      wrongResponses += run.wrongResponses;
    }
    assertTrue(wrongResponses > 0);
  }
}
