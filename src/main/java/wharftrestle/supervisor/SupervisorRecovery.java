package wharftrestle.supervisor;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * What a keeper finds as it begins: its journal, and which of the daemons named there live. It
 * decides which of them serves, and which is to be ended. Pure: whether a process lives is asked of
 * the caller.
 *
 * @param release that serves, or served last
 * @param good to go back to; empty for none
 * @param serves the daemon that serves; null where none lives
 * @param probation it had not held its probation yet
 * @param end daemons that live and are to be ended: they came for a change that nobody watches any
 *     more
 * @param leave daemons that live and were to leave: the keeper may have died before it said so to
 *     them
 */
record SupervisorRecovery(
    String release,
    String good,
    SupervisorJournal.Entry serves,
    boolean probation,
    List<SupervisorJournal.Entry> end,
    List<SupervisorJournal.Entry> leave) {

  /**
   * @param lives true where the process of a "started" step lives
   */
  static SupervisorRecovery of(
      List<SupervisorJournal.Entry> steps, Predicate<SupervisorJournal.Entry> lives) {
    String release = "";
    String good = "";
    SupervisorJournal.Entry serves = null;
    SupervisorJournal.Entry comes = null;
    boolean probation = false;
    List<SupervisorJournal.Entry> leave = new ArrayList<>();
    for (SupervisorJournal.Entry step : steps) {
      switch (step.event()) {
        case "started" -> {
          if (step.role().equals(SupervisorStateMachine.Role.CANDIDATE.publishedName())) {
            comes = step;
          } else {
            serves = step;
            release = step.release();
            probation = false;
          }
        }
        case "promoted" -> {
          release = step.release();
          serves = comes != null && comes.pid() == step.pid() ? comes : serves;
          comes = null;
          probation = true;
        }
        case "ended" -> {
          if (lives.test(step)) {
            leave.add(step);
          }
          comes = comes != null && comes.pid() == step.pid() ? null : comes;
          serves = serves != null && serves.pid() == step.pid() ? null : serves;
        }
        case "held" -> probation = false;
        default -> {}
      }
      good = step.fallbackRelease();
    }
    boolean servesLives = serves != null && lives.test(serves);
    boolean comesLives = comes != null && lives.test(comes);
    List<SupervisorJournal.Entry> end = new ArrayList<>();
    if (!servesLives && comesLives) {
      // The one that served is gone, so this one has found out and serves.
      return new SupervisorRecovery(comes.release(), release, comes, true, end, leave);
    }
    if (comesLives) {
      end.add(comes);
    }
    return new SupervisorRecovery(
        release, good, servesLives ? serves : null, servesLives && probation, end, leave);
  }
}
