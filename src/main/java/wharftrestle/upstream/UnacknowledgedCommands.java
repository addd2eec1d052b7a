package wharftrestle.upstream;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The commands of executions that no announcement and no answered poll has proven read, in the
 * order in which they were sent. After a break of the link it decides which of them are sent again.
 *
 * <p>The protocol numbers announcements, but no commands: after a break nothing tells whether a
 * command was read before it. A command that may have been read is therefore repeated only if a
 * second copy does no harm. Not thread-safe: guarded by the monitor of its owner, {@link
 * WorkerPoolClient}.
 */
final class UnacknowledgedCommands {
  /**
   * A break may lose what was sent up to 50 ms before it; a command sent this long before an
   * answered poll counts as received.
   */
  private static final long LOSS_WINDOW_NANOS = 150_000_000L;

  private final Map<String, List<LinkCommand>> byReference = new LinkedHashMap<>();

  /**
   * What to do about the commands of earlier links.
   *
   * @param repeated the commands to send on the new link, in this order
   * @param uncertain references of the executions to which a command was sent that may or may not
   *     have been read, and must not be sent again
   */
  record Recovery(List<LinkCommand> repeated, List<String> uncertain) {}

  void add(LinkCommand command) {
    byReference.computeIfAbsent(command.reference(), key -> new ArrayList<>(2)).add(command);
  }

  /** An announcement about this execution has been read; it follows all commands sent so far. */
  void acknowledge(String reference) {
    byReference.remove(reference);
  }

  /**
   * Forgets the commands sent on this link well before an answered poll; they have been read and
   * cannot be lost.
   *
   * @param pollNanos when the poll was queued, on the clock of System.nanoTime
   */
  void acknowledgeSentBefore(WorkerPoolLink link, long pollNanos) {
    Iterator<List<LinkCommand>> iterator = byReference.values().iterator();
    while (iterator.hasNext()) {
      List<LinkCommand> commands = iterator.next();
      commands.removeIf(
          command ->
              command.link() == link && command.queuedNanos() < pollNanos - LOSS_WINDOW_NANOS);
      if (commands.isEmpty()) {
        iterator.remove();
      }
    }
  }

  /** The worker pool has restarted: no command reaches the executions of its earlier life. */
  void clear() {
    byReference.clear();
  }

  /**
   * Decides on the commands of earlier links, which must be closed. Those to repeat count as sent
   * on the new link from now on, the uncertain ones are forgotten. Called when all announcements up
   * to the bind have been read.
   *
   * @param nowNanos the clock of System.nanoTime
   */
  Recovery recover(WorkerPoolLink link, long nowNanos) {
    Recovery recovery = new Recovery(new ArrayList<>(), new ArrayList<>());
    Iterator<Map.Entry<String, List<LinkCommand>>> entries = byReference.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, List<LinkCommand>> entry = entries.next();
      recover(entry.getKey(), entry.getValue(), link, nowNanos, recovery);
      if (entry.getValue().isEmpty()) {
        entries.remove();
      }
    }
    return recovery;
  }

  private static void recover(
      String reference,
      List<LinkCommand> commands,
      WorkerPoolLink link,
      long nowNanos,
      Recovery recovery) {
    List<LinkCommand> remaining = new ArrayList<>(commands.size());
    for (LinkCommand command : commands) {
      if (command.link() == link) {
        remaining.add(command);
      } else if (command.mayBeRepeated()) {
        LinkCommand repeated = command.repeatedOn(link, nowNanos);
        remaining.add(repeated);
        recovery.repeated().add(repeated);
      } else {
        recovery.uncertain().add(reference);
      }
    }
    commands.clear();
    commands.addAll(remaining);
  }
}
