package wharftrestle.supervisor;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.io.IOException;
import java.nio.file.Path;

/** The supervisor's journal, with one entry for each step of a daemon's life. */
final class SupervisorJournal extends JsonLineJournal<SupervisorJournal.Entry> {

  /**
   * One step. The annotations hold the names on disk. A daemon is identified by process ID and
   * start time together, since process IDs are reused.
   *
   * @param writtenAtMillis Unix ms, for operators
   * @param event "starting", "started", "promoted", "ended", "held" (passed its probation) or
   *     "said" (a message for operators)
   * @param role of the daemon, the published name of a {@link SupervisorStateMachine.Role}
   * @param release of the daemon
   * @param fallbackRelease the release to return to at that time; empty for none
   * @param pid 0 for none
   * @param startedAtMillis Unix ms at which the process started
   * @param adminPort port of the daemon's admin endpoint
   * @param reason for operators
   */
  record Entry(
      @JsonProperty("at") long writtenAtMillis,
      @JsonProperty("what") String event,
      String role,
      String release,
      @JsonProperty("good") String fallbackRelease,
      long pid,
      @JsonProperty("began") long startedAtMillis,
      @JsonProperty("door") int adminPort,
      @JsonProperty("why") String reason) {}

  /**
   * @throws IOException also if a complete line is malformed
   */
  SupervisorJournal(Path path) throws IOException {
    super(path, Entry.class);
  }
}
