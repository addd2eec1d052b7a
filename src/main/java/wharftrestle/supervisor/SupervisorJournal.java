package wharftrestle.supervisor;

import java.io.IOException;
import java.nio.file.Path;

/** The keeper's journal: a step a line. */
final class SupervisorJournal extends JsonLineJournal<SupervisorJournal.Entry> {

  /**
   * One step. A daemon is known by its process id and start: ids come again, starts do not.
   *
   * @param at Unix ms, for people
   * @param what "started", "serves", "promoted", "ended", "said"
   * @param role of the daemon, as {@link SupervisorStateMachine.Role} has it
   * @param release of the daemon
   * @param good the release to go back to then
   * @param pid 0 for none
   * @param began Unix ms at which the process began
   * @param door the port of its operators' door
   * @param why for people
   */
  record Entry(
      long at,
      String what,
      String role,
      String release,
      String good,
      long pid,
      long began,
      int door,
      String why) {}

  /**
   * @throws IOException also where a line that is not the last cannot be read
   */
  SupervisorJournal(Path path) throws IOException {
    super(path, Entry.class);
  }
}
