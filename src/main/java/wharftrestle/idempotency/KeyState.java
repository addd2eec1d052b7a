package wharftrestle.idempotency;

import java.util.EnumMap;
import java.util.Map;

/**
 * The states of one idempotency key in one process and all permitted transitions between them; any
 * other transition throws.
 *
 * <pre>
 * state            meaning                              step             next
 * ABSENT           no attempt: one may be queued or     ENQUEUE          QUEUED
 *                  executed                             START            EXECUTING
 *                                                       RECORD_INTENT    RECORDING
 *                                                       LEARN_FROM_PEER  OWNED_BY_PEER
 *                                                       RECOVER_RESULT   SUCCEEDED
 *                                                       RECOVER_INTENT   OUTCOME_UNKNOWN
 * QUEUED           an attempt waits, none has executed  ENQUEUE          QUEUED (a later attempt)
 *                                                       START            EXECUTING
 *                                                       RECORD_INTENT    RECORDING
 *                                                       RELEASE          ABSENT
 * RECORDING        the intent of a planned execution    INTENT_RECORDED  EXECUTING
 *                  is being written                     VOID             ABSENT (withdrawn)
 *                                                       SUCCEED, FAIL    OUTCOME_UNKNOWN (ended
 *                                                                        before its begin was
 *                                                                        seen: cannot happen)
 * EXECUTING        an execution was dispatched          SUCCEED          SUCCEEDED
 *                                                       SAVE_RESULT      SAVING
 *                                                       FAIL             OUTCOME_UNKNOWN
 *                                                       VOID             ABSENT (the worker pool
 *                                                                        did not begin it)
 * SAVING           it succeeded, its result is being    RESULT_SAVED     SUCCEEDED
 *                  written                              FAIL             OUTCOME_UNKNOWN
 * OWNED_BY_PEER    the peer process has it in flight    LEARN_FROM_PEER  OWNED_BY_PEER
 *                                                       SUCCEED          SUCCEEDED
 *                                                       SAVE_RESULT      SAVING
 *                                                       FAIL             OUTCOME_UNKNOWN (or that
 *                                                                        process was lost)
 *                                                       RELEASE          ABSENT
 *                                                       VOID             ABSENT (its intent could
 *                                                                        not be recorded)
 * SUCCEEDED        duplicates receive the result until  EXPIRE           ABSENT
 *                  the window ends
 * OUTCOME_UNKNOWN  it may have executed and has no      EXPIRE           ABSENT
 *                  result: attempts fail
 * </pre>
 *
 * <p>Every state with a window permits EXPIRE, as an execution may last longer than its window.
 */
public enum KeyState {
  ABSENT,
  QUEUED,
  RECORDING,
  EXECUTING,
  SAVING,
  OWNED_BY_PEER,
  SUCCEEDED,
  OUTCOME_UNKNOWN;

  /** The events that change the state of a key. */
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
        .on(Step.START, EXECUTING)
        .on(Step.RECORD_INTENT, RECORDING)
        .on(Step.LEARN_FROM_PEER, OWNED_BY_PEER)
        .on(Step.RECOVER_RESULT, SUCCEEDED)
        .on(Step.RECOVER_INTENT, OUTCOME_UNKNOWN);
    from(QUEUED)
        .on(Step.ENQUEUE, QUEUED)
        .on(Step.START, EXECUTING)
        .on(Step.RECORD_INTENT, RECORDING)
        .on(Step.RELEASE, ABSENT);
    from(RECORDING)
        .on(Step.INTENT_RECORDED, EXECUTING)
        .on(Step.VOID, ABSENT)
        .on(Step.SUCCEED, OUTCOME_UNKNOWN)
        .on(Step.FAIL, OUTCOME_UNKNOWN)
        .on(Step.EXPIRE, ABSENT);
    from(EXECUTING)
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

  /** The transitions from one state. */
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
   * @throws IllegalStateException if this state does not permit the step
   */
  public KeyState stateAfter(Step step) {
    KeyState next = TABLE.get(this).nextByStep().get(step);
    if (next == null) {
      throw new IllegalStateException(
          "expected a step that a key in state " + this + " permits, found " + step);
    }
    return next;
  }

  /** True if this state permits the step. */
  public boolean allows(Step step) {
    return TABLE.get(this).nextByStep().containsKey(step);
  }

  /** True if an attempt has executed or may have executed, so that no other may. */
  public boolean mayHaveRun() {
    return this != ABSENT && this != QUEUED;
  }

  /** True if the outcome will not change: a success, or unknown. */
  public boolean isFinal() {
    return this == SUCCEEDED || this == OUTCOME_UNKNOWN;
  }
}
