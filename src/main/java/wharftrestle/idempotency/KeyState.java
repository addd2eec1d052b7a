package wharftrestle.idempotency;

import java.util.EnumMap;
import java.util.Map;

/**
 * The states of one key in one process, and the only steps between them. It owns the table below
 * and must never be gone round: a step that is not in the table throws.
 *
 * <pre>
 * state      means                                      step           next
 * ABSENT     nothing is known: a try may be held        HOLD           HELD
 *                                                       START          RUNNING
 *                                                       INTEND         RECORDING
 *                                                       HEAR           ELSEWHERE
 *                                                       RECOVER_RESULT SERVED
 *                                                       RECOVER_INTENT UNKNOWN
 * HELD       a try here waits, none ran                 HOLD           HELD       (another try takes its place)
 *                                                       START          RUNNING
 *                                                       INTEND         RECORDING
 *                                                       RELEASE        ABSENT
 * RECORDING  a run was decided, its intent is on        RECORDED       RUNNING
 *            the way to the disk                        VOID           ABSENT     (refused, withdrawn)
 *                                                       SUCCEED, FAIL  UNKNOWN    (no run was seen to begin: cannot be)
 * RUNNING    a run was asked for here                   SUCCEED        SERVED
 *                                                       SAVE           SAVING
 *                                                       FAIL           UNKNOWN
 *                                                       VOID           ABSENT     (the worker pool began none)
 * SAVING     it ended well, the result is on the        SAVED          SERVED
 *            way to the disk                            FAIL           UNKNOWN
 * ELSEWHERE  the other process of this box has it       HEAR           ELSEWHERE
 *                                                       SUCCEED        SERVED
 *                                                       SAVE           SAVING
 *                                                       FAIL           UNKNOWN    (also where that process died)
 *                                                       RELEASE        ABSENT
 *                                                       VOID           ABSENT     (its intent could not be recorded)
 * SERVED     repeats have the result until the window   EXPIRE         ABSENT
 *            is over
 * UNKNOWN    it ran and has no result to give: tries    EXPIRE         ABSENT
 *            fail, are not refused and do not run
 * </pre>
 *
 * <p>EXPIRE is in every state that has a window, as a run may outlive it.
 */
public enum KeyState {
  ABSENT,
  HELD,
  RECORDING,
  RUNNING,
  SAVING,
  ELSEWHERE,
  SERVED,
  UNKNOWN;

  /** What can happen to a key. */
  public enum Step {
    HOLD,
    START,
    INTEND,
    RECORDED,
    SUCCEED,
    SAVE,
    SAVED,
    FAIL,
    VOID,
    RELEASE,
    HEAR,
    RECOVER_RESULT,
    RECOVER_INTENT,
    EXPIRE
  }

  private static final Map<KeyState, Map<Step, KeyState>> TABLE = new EnumMap<>(KeyState.class);

  static {
    row(
        ABSENT,
        Step.HOLD,
        HELD,
        Step.START,
        RUNNING,
        Step.INTEND,
        RECORDING,
        Step.HEAR,
        ELSEWHERE,
        Step.RECOVER_RESULT,
        SERVED,
        Step.RECOVER_INTENT,
        UNKNOWN);
    row(HELD, Step.HOLD, HELD, Step.START, RUNNING, Step.INTEND, RECORDING, Step.RELEASE, ABSENT);
    row(
        RECORDING,
        Step.RECORDED,
        RUNNING,
        Step.VOID,
        ABSENT,
        Step.SUCCEED,
        UNKNOWN,
        Step.FAIL,
        UNKNOWN,
        Step.EXPIRE,
        ABSENT);
    row(
        RUNNING,
        Step.SUCCEED,
        SERVED,
        Step.SAVE,
        SAVING,
        Step.FAIL,
        UNKNOWN,
        Step.VOID,
        ABSENT,
        Step.EXPIRE,
        ABSENT);
    row(SAVING, Step.SAVED, SERVED, Step.FAIL, UNKNOWN, Step.EXPIRE, ABSENT);
    row(
        ELSEWHERE,
        Step.HEAR,
        ELSEWHERE,
        Step.SUCCEED,
        SERVED,
        Step.SAVE,
        SAVING,
        Step.FAIL,
        UNKNOWN,
        Step.RELEASE,
        ABSENT,
        Step.VOID,
        ABSENT,
        Step.EXPIRE,
        ABSENT);
    row(SERVED, Step.EXPIRE, ABSENT);
    row(UNKNOWN, Step.EXPIRE, ABSENT);
  }

  private static void row(KeyState from, Object... stepsAndNext) {
    Map<Step, KeyState> row = new EnumMap<>(Step.class);
    for (int i = 0; i < stepsAndNext.length; i += 2) {
      row.put((Step) stepsAndNext[i], (KeyState) stepsAndNext[i + 1]);
    }
    TABLE.put(from, row);
  }

  /**
   * The state after this step.
   *
   * @throws IllegalStateException where the table has no such step
   */
  public KeyState after(Step step) {
    KeyState next = TABLE.get(this).get(step);
    if (next == null) {
      throw new IllegalStateException("a key that is " + this + " cannot " + step);
    }
    return next;
  }

  /** True where the table has this step. */
  public boolean allows(Step step) {
    return TABLE.get(this).containsKey(step);
  }

  /**
   * True where a try of this key is known to have run, or may have: no other may, and none is
   * refused.
   */
  public boolean ran() {
    return this != ABSENT && this != HELD;
  }

  /** True where its end is known here, or known to be unknown. */
  public boolean over() {
    return this == SERVED || this == UNKNOWN;
  }
}
