package wharftrestle.idempotency;

import java.util.EnumMap;
import java.util.Map;

/**
 * The states of one idempotency key in one process, and the only transitions between them; any
 * other throws.
 *
 * <pre>
 * state            meaning                              step             next
 * ABSENT           nothing is known: an attempt may     ENQUEUE          QUEUED
 *                  be queued                            START            RUNNING
 *                                                       RECORD_INTENT    RECORDING
 *                                                       LEARN_FROM_PEER  OWNED_BY_PEER
 *                                                       RECOVER_RESULT   SUCCEEDED
 *                                                       RECOVER_INTENT   OUTCOME_UNKNOWN
 * QUEUED           an attempt waits here, none ran      ENQUEUE          QUEUED (a later attempt)
 *                                                       START            RUNNING
 *                                                       RECORD_INTENT    RECORDING
 *                                                       RELEASE          ABSENT
 * RECORDING        an execution was decided, its        INTENT_RECORDED  RUNNING
 *                  intent is being written              VOID             ABSENT (withdrawn)
 *                                                       SUCCEED, FAIL    OUTCOME_UNKNOWN (no begin
 *                                                                        was seen: cannot happen)
 * RUNNING          an execution was dispatched          SUCCEED          SUCCEEDED
 *                                                       SAVE_RESULT      SAVING
 *                                                       FAIL             OUTCOME_UNKNOWN
 *                                                       VOID             ABSENT (the worker pool
 *                                                                        began none)
 * SAVING           it succeeded, its result is being    RESULT_SAVED     SUCCEEDED
 *                  written                              FAIL             OUTCOME_UNKNOWN
 * OWNED_BY_PEER    the peer process has it in hand      LEARN_FROM_PEER  OWNED_BY_PEER
 *                                                       SUCCEED          SUCCEEDED
 *                                                       SAVE_RESULT      SAVING
 *                                                       FAIL             OUTCOME_UNKNOWN (or where
 *                                                                        that process died)
 *                                                       RELEASE          ABSENT
 *                                                       VOID             ABSENT (its intent could
 *                                                                        not be recorded)
 * SUCCEEDED        duplicates get the result until the  EXPIRE           ABSENT
 *                  window is over
 * OUTCOME_UNKNOWN  it ran and has no result to give:    EXPIRE           ABSENT
 *                  attempts fail and do not run
 * </pre>
 *
 * <p>EXPIRE is in every state that has a window, as an execution may outlive it.
 */
public enum KeyState {
  ABSENT,
  QUEUED,
  RECORDING,
  RUNNING,
  SAVING,
  OWNED_BY_PEER,
  SUCCEEDED,
  OUTCOME_UNKNOWN;

  /** What can happen to a key. */
  public enum Step {
    ENQUEUE,
    START,
    RECORD_INTENT,
    INTENT_RECORDED,
    SUCCEED,
    SAVE_RESULT,
    RESULT_SAVED,
    FAIL,
    VOID,
    RELEASE,
    LEARN_FROM_PEER,
    RECOVER_RESULT,
    RECOVER_INTENT,
    EXPIRE
  }

  private static final Map<KeyState, Transitions> TABLE = new EnumMap<>(KeyState.class);

  static {
    from(ABSENT)
        .on(Step.ENQUEUE, QUEUED)
        .on(Step.START, RUNNING)
        .on(Step.RECORD_INTENT, RECORDING)
        .on(Step.LEARN_FROM_PEER, OWNED_BY_PEER)
        .on(Step.RECOVER_RESULT, SUCCEEDED)
        .on(Step.RECOVER_INTENT, OUTCOME_UNKNOWN);
    from(QUEUED)
        .on(Step.ENQUEUE, QUEUED)
        .on(Step.START, RUNNING)
        .on(Step.RECORD_INTENT, RECORDING)
        .on(Step.RELEASE, ABSENT);
    from(RECORDING)
        .on(Step.INTENT_RECORDED, RUNNING)
        .on(Step.VOID, ABSENT)
        .on(Step.SUCCEED, OUTCOME_UNKNOWN)
        .on(Step.FAIL, OUTCOME_UNKNOWN)
        .on(Step.EXPIRE, ABSENT);
    from(RUNNING)
        .on(Step.SUCCEED, SUCCEEDED)
        .on(Step.SAVE_RESULT, SAVING)
        .on(Step.FAIL, OUTCOME_UNKNOWN)
        .on(Step.VOID, ABSENT)
        .on(Step.EXPIRE, ABSENT);
    from(SAVING)
        .on(Step.RESULT_SAVED, SUCCEEDED)
        .on(Step.FAIL, OUTCOME_UNKNOWN)
        .on(Step.EXPIRE, ABSENT);
    from(OWNED_BY_PEER)
        .on(Step.LEARN_FROM_PEER, OWNED_BY_PEER)
        .on(Step.SUCCEED, SUCCEEDED)
        .on(Step.SAVE_RESULT, SAVING)
        .on(Step.FAIL, OUTCOME_UNKNOWN)
        .on(Step.RELEASE, ABSENT)
        .on(Step.VOID, ABSENT)
        .on(Step.EXPIRE, ABSENT);
    from(SUCCEEDED).on(Step.EXPIRE, ABSENT);
    from(OUTCOME_UNKNOWN).on(Step.EXPIRE, ABSENT);
  }

  /** The steps out of one state. */
  private record Transitions(Map<Step, KeyState> nextByStep) {
    Transitions on(Step step, KeyState next) {
      nextByStep.put(step, next);
      return this;
    }
  }

  private static Transitions from(KeyState state) {
    Transitions transitions = new Transitions(new EnumMap<>(Step.class));
    TABLE.put(state, transitions);
    return transitions;
  }

  /**
   * The state after this step.
   *
   * @throws IllegalStateException where the table has no such step
   */
  public KeyState after(Step step) {
    KeyState next = TABLE.get(this).nextByStep().get(step);
    if (next == null) {
      throw new IllegalStateException("a key in state " + this + " cannot " + step);
    }
    return next;
  }

  /** True where the table has this step. */
  public boolean allows(Step step) {
    return TABLE.get(this).nextByStep().containsKey(step);
  }

  /** True where an attempt is known to have run, or may have: no other may. */
  public boolean mayHaveRun() {
    return this != ABSENT && this != QUEUED;
  }

  /** True where the outcome is known here, or known to be unknown. */
  public boolean isFinal() {
    return this == SUCCEEDED || this == OUTCOME_UNKNOWN;
  }
}
