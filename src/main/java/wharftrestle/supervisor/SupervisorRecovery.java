package wharftrestle.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The state with which a supervisor resumes, derived from its journal and the running processes:
 * which daemon is active, and which daemons have to be ended. Does no I/O: the caller supplies the
 * test whether a process runs.
 *
 * @param activeRelease release of the active daemon, or of the last one if none runs
 * @param fallbackRelease release to return to if the active one fails; empty for none
 * @param active the active daemon; null if none runs
 * @param inProbation whether the active daemon is still in its probation
 * @param candidate the running candidate of a change that the former supervisor didn't complete,
 *     beside a running active daemon; null if there is none
 * @param terminating running daemons to terminate: the journal records that they ended, but the
 *     former supervisor may have been killed before it signalled them
 */
record SupervisorRecovery(
    String activeRelease,
    String fallbackRelease,
    SupervisorJournal.Entry active,
    boolean inProbation,
    SupervisorJournal.Entry candidate,
    List<SupervisorJournal.Entry> terminating) {

  /**
   * Replays the journal.
   *
   * @param isRunning whether the process of an entry runs
   */
  static SupervisorRecovery of(
      List<SupervisorJournal.Entry> entries, Predicate<SupervisorJournal.Entry> isRunning) {
    String activeRelease = "";
    String fallbackRelease = "";
    SupervisorJournal.Entry active = null;
    SupervisorJournal.Entry candidate = null;
    boolean inProbation = false;
    List<SupervisorJournal.Entry> terminating = new ArrayList<>();
    for (SupervisorJournal.Entry entry : entries) {
      switch (entry.event()) {
        case "started" -> {
          if (entry.role().equals(SupervisorStateMachine.Role.CANDIDATE.publishedName())) {
            candidate = entry;
          } else {
            active = entry;
            activeRelease = entry.release();
            inProbation = false;
          }
        }
        case "promoted" -> {
          activeRelease = entry.release();
          active = candidate != null && candidate.pid() == entry.pid() ? candidate : active;
          candidate = null;
          inProbation = true;
        }
        case "ended" -> {
          if (isRunning.test(entry)) {
            terminating.add(entry);
          }
          candidate = candidate != null && candidate.pid() == entry.pid() ? null : candidate;
          active = active != null && active.pid() == entry.pid() ? null : active;
        }
        case "held" -> inProbation = false;
        default -> {}
      }
      fallbackRelease = entry.fallbackRelease();
    }
    boolean activeIsRunning = active != null && isRunning.test(active);
    boolean candidateIsRunning = candidate != null && isRunning.test(candidate);
    if (!activeIsRunning && candidateIsRunning) {
      // A candidate takes over by itself when it detects that the active daemon has ended. The
      // release of the active daemon becomes the fallback.
      return new SupervisorRecovery(
          candidate.release(), activeRelease, candidate, true, null, terminating);
    }
    return new SupervisorRecovery(
        activeRelease,
        fallbackRelease,
        activeIsRunning ? active : null,
        activeIsRunning && inProbation,
        candidateIsRunning ? candidate : null,
        terminating);
  }
}
