package wharftrestle.handover;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * The steps of a hand-over, as one process of a box takes them: first as the new one, later as the
 * one that serves. It owns the table below and must never be gone round: an event that has no row
 * in a state is {@link Step#outOfTurn out of turn}, which changes nothing. It does nothing itself;
 * what is to be done comes back as {@link Act}s, in their order.
 *
 * <p>Of two processes at most one owns the keys of the box: {@link State#owns} says so, and between
 * {@code YOURS} told and heard neither does. A link ends only with a process, so {@code LOST} means
 * that the other one is gone.
 *
 * <pre>
 * state     means                                     event          next      acts
 * the new process
 * SEEKING   one serves; its own pool is not up yet    POOL_UP        ASKING    SAY_TAKE
 *                                                     LOST           LOOKING   LOOK
 * ASKING    asked                                     WHO_FITS       ASKED     SAY_TERMS
 *                                                     WHO_DIFFERS    REFUSED   SAY_UNFIT
 *                                                     NO_LATER       PAUSING   PAUSE
 *                                                     NO_NEVER       REFUSED   REFUSED
 *                                                     HANDED         OPENING   OPEN_RECORDS   (a build of format 1)
 *                                                     LOST           LOOKING   LOOK
 * ASKED     said its terms                            AGREED         TAKING
 *                                                     NO_LATER       PAUSING   PAUSE
 *                                                     NO_NEVER       REFUSED   REFUSED
 *                                                     LOST           LOOKING   LOOK
 * TAKING    is told settled keys, owns nothing        TOLD           HOLDING   SAY_TAKEN
 *                                                     NO_LATER       PAUSING   PAUSE
 *                                                     LOST           LOOKING   LOOK
 * HOLDING   has all settled keys, owns nothing        YOURS          OPENING   OPEN_RECORDS
 *                                                     NO_LATER       PAUSING   PAUSE
 *                                                     LOST           LOOKING   LOOK
 * PAUSING   asks again after a while                  AGAIN          ASKING    SAY_TAKE
 *                                                     GIVE_UP        REFUSED   REFUSED
 *                                                     LOST           LOOKING   LOOK
 * OPENING   owns all keys; opens the folder           OPENED         TAKEN     LISTEN SAY_LISTENS
 *                                                     UNOPENED       REFUSED   SAY_BACK REFUSED
 *                                                     LOST           ALONE     OTHER_GONE SERVE READY
 * TAKEN     owns, listens; the old one may as well    CEDED          SHARING   READY
 *                                                     LOST           ALONE     OTHER_GONE READY
 * SHARING   serves; the old one ends what it has      LOST           ALONE     OTHER_GONE
 * REFUSED   waits until the other has ended           LOST           LOOKING   LOOK
 * LOOKING   the other is gone: is there a further?    MET            ASKING    SAY_TAKE
 *                                                     NOBODY         ALONE     OTHER_GONE SERVE READY
 * the process that serves
 * ALONE     owns and listens                          TAKE           WEIGHING  SAY_WHO
 *                                                     TAKE_FORMER    GIVEN     HAND_AS_FORMER
 *                                                     TAKE_OLD       ALONE     PARK
 * WEIGHING  asked for what the new one is             TERMS_FIT      DEALING   SAY_AGREED TELL_SETTLED
 *                                                     TERMS_DIFFER   ALONE     SAY_NO_NEVER
 *                                                     UNFIT          ALONE
 *                                                     OVERDUE        ALONE     SAY_NO_LATER
 *                                                     LOST           ALONE
 * DEALING   tells settled keys, and serves on         ALL_TOLD       OFFERED   SAY_TOLD
 *                                                     OVERDUE        ALONE     STOP_TELLING SAY_NO_LATER
 *                                                     LOST           ALONE     STOP_TELLING
 * OFFERED   waits for the word that all is there      TAKEN          GIVEN     GIVE SAY_YOURS
 *                                                     LAGGED         ALONE     STOP_TELLING SAY_NO_LATER
 *                                                     OVERDUE        ALONE     STOP_TELLING SAY_NO_LATER
 *                                                     LOST           ALONE     STOP_TELLING
 * GIVEN     owns nothing, still listens               LISTENS        CEDED     CEDE SAY_CEDED
 *                                                     BACK           ALONE     TAKE_BACK
 *                                                     LOST           ALONE     TAKE_BACK
 * CEDED     owns nothing, ends what it has            LOST           ALONE     TAKE_BACK SERVE READY
 * </pre>
 */
public final class HandoverStateMachine {

  /** How far it has come; the table says what each means. */
  public enum State {
    SEEKING,
    ASKING,
    ASKED,
    TAKING,
    HOLDING,
    PAUSING,
    OPENING,
    TAKEN,
    SHARING,
    REFUSED,
    LOOKING,
    ALONE,
    WEIGHING,
    DEALING,
    OFFERED,
    GIVEN,
    CEDED;

    /** True where this process says what becomes of every key of the box. */
    public boolean owns() {
      return switch (this) {
        case OPENING, TAKEN, SHARING, ALONE, WEIGHING, DEALING, OFFERED -> true;
        default -> false;
      };
    }

    /** True where a further process has its turn. */
    public boolean free() {
      return this == ALONE;
    }

    /**
     * True where the other process is waited for, and its silence may be given up on without any
     * loss.
     */
    public boolean bounded() {
      return this == WEIGHING || this == DEALING || this == OFFERED;
    }
  }

  /** What was heard or has come about. */
  public enum Event {
    POOL_UP,
    WHO_FITS,
    WHO_DIFFERS,
    AGREED,
    TOLD,
    YOURS,
    HANDED,
    NO_LATER,
    NO_NEVER,
    AGAIN,
    GIVE_UP,
    OPENED,
    UNOPENED,
    CEDED,
    MET,
    NOBODY,
    TAKE,
    TAKE_FORMER,
    TAKE_OLD,
    TERMS_FIT,
    TERMS_DIFFER,
    UNFIT,
    ALL_TOLD,
    OVERDUE,
    TAKEN,
    LAGGED,
    LISTENS,
    BACK,
    LOST
  }

  /** What is to be done now. */
  public enum Act {
    /** Ask to take over. */
    SAY_TAKE,
    /** Say what this process is and has. */
    SAY_WHO,
    SAY_TERMS,
    /** Say that this process cannot take over, and why. */
    SAY_UNFIT,
    /** Say that it is agreed, or is not; the reason goes along. */
    SAY_AGREED,
    SAY_NO_NEVER,
    SAY_NO_LATER,
    /** Tell all settled keys, and from now on what settles; ALL_TOLD or OVERDUE follows. */
    TELL_SETTLED,
    STOP_TELLING,
    SAY_TOLD,
    SAY_TAKEN,
    /** In one step hand over all that is open, and with it all keys. */
    GIVE,
    SAY_YOURS,
    /** The same in the words of format 1, with the settled keys after it. */
    HAND_AS_FORMER,
    /** Keep a link that is never answered, until it ends. */
    PARK,
    /** Take the folder of kept results; OPENED or UNOPENED follows. */
    OPEN_RECORDS,
    SAY_BACK,
    /** Take clients beside the other process. */
    LISTEN,
    SAY_LISTENS,
    /** Take no more clients, and end what is in hand. */
    CEDE,
    SAY_CEDED,
    /** The other process is gone or gave back: own all keys again. */
    TAKE_BACK,
    /** The other process is gone: what it had in hand has an unknown end. */
    OTHER_GONE,
    /** Take clients alone. */
    SERVE,
    /** Say that this process serves. */
    READY,
    /** Look whether another process serves; MET or NOBODY follows. */
    LOOK,
    /** AGAIN follows after a while, or GIVE_UP where that was done often enough. */
    PAUSE,
    /** Say that this process waits for the end of the other, and why. */
    REFUSED
  }

  /** What an event led to; {@code outOfTurn} where it has no row, and then nothing has changed. */
  public record Step(State from, State to, List<Act> acts, boolean outOfTurn) {}

  private record Row(State next, List<Act> acts) {}

  private static final Map<State, Map<Event, Row>> TABLE = new EnumMap<>(State.class);

  static {
    on(State.SEEKING, Event.POOL_UP, State.ASKING, Act.SAY_TAKE);
    on(State.ASKING, Event.WHO_FITS, State.ASKED, Act.SAY_TERMS);
    on(State.ASKING, Event.WHO_DIFFERS, State.REFUSED, Act.SAY_UNFIT, Act.REFUSED);
    on(State.ASKING, Event.HANDED, State.OPENING, Act.OPEN_RECORDS);
    on(State.ASKED, Event.AGREED, State.TAKING);
    on(State.TAKING, Event.TOLD, State.HOLDING, Act.SAY_TAKEN);
    on(State.HOLDING, Event.YOURS, State.OPENING, Act.OPEN_RECORDS);
    for (State asks : List.of(State.ASKING, State.ASKED, State.TAKING, State.HOLDING)) {
      on(asks, Event.NO_LATER, State.PAUSING, Act.PAUSE);
    }
    on(State.ASKING, Event.NO_NEVER, State.REFUSED, Act.REFUSED);
    on(State.ASKED, Event.NO_NEVER, State.REFUSED, Act.REFUSED);
    on(State.PAUSING, Event.AGAIN, State.ASKING, Act.SAY_TAKE);
    on(State.PAUSING, Event.GIVE_UP, State.REFUSED, Act.REFUSED);
    on(State.OPENING, Event.OPENED, State.TAKEN, Act.LISTEN, Act.SAY_LISTENS);
    on(State.OPENING, Event.UNOPENED, State.REFUSED, Act.SAY_BACK, Act.REFUSED);
    on(State.OPENING, Event.LOST, State.ALONE, Act.OTHER_GONE, Act.SERVE, Act.READY);
    on(State.TAKEN, Event.CEDED, State.SHARING, Act.READY);
    on(State.TAKEN, Event.LOST, State.ALONE, Act.OTHER_GONE, Act.READY);
    on(State.SHARING, Event.LOST, State.ALONE, Act.OTHER_GONE);
    for (State waits :
        List.of(
            State.SEEKING,
            State.ASKING,
            State.ASKED,
            State.TAKING,
            State.HOLDING,
            State.PAUSING,
            State.REFUSED)) {
      on(waits, Event.LOST, State.LOOKING, Act.LOOK);
    }
    on(State.LOOKING, Event.MET, State.ASKING, Act.SAY_TAKE);
    on(State.LOOKING, Event.NOBODY, State.ALONE, Act.OTHER_GONE, Act.SERVE, Act.READY);

    on(State.ALONE, Event.TAKE, State.WEIGHING, Act.SAY_WHO);
    on(State.ALONE, Event.TAKE_FORMER, State.GIVEN, Act.HAND_AS_FORMER);
    on(State.ALONE, Event.TAKE_OLD, State.ALONE, Act.PARK);
    on(State.WEIGHING, Event.TERMS_FIT, State.DEALING, Act.SAY_AGREED, Act.TELL_SETTLED);
    on(State.WEIGHING, Event.TERMS_DIFFER, State.ALONE, Act.SAY_NO_NEVER);
    on(State.WEIGHING, Event.UNFIT, State.ALONE);
    on(State.WEIGHING, Event.OVERDUE, State.ALONE, Act.SAY_NO_LATER);
    on(State.WEIGHING, Event.LOST, State.ALONE);
    on(State.DEALING, Event.ALL_TOLD, State.OFFERED, Act.SAY_TOLD);
    on(State.OFFERED, Event.TAKEN, State.GIVEN, Act.GIVE, Act.SAY_YOURS);
    on(State.OFFERED, Event.LAGGED, State.ALONE, Act.STOP_TELLING, Act.SAY_NO_LATER);
    for (State deals : List.of(State.DEALING, State.OFFERED)) {
      on(deals, Event.OVERDUE, State.ALONE, Act.STOP_TELLING, Act.SAY_NO_LATER);
      on(deals, Event.LOST, State.ALONE, Act.STOP_TELLING);
    }
    on(State.GIVEN, Event.LISTENS, State.CEDED, Act.CEDE, Act.SAY_CEDED);
    on(State.GIVEN, Event.BACK, State.ALONE, Act.TAKE_BACK);
    on(State.GIVEN, Event.LOST, State.ALONE, Act.TAKE_BACK);
    on(State.CEDED, Event.LOST, State.ALONE, Act.TAKE_BACK, Act.SERVE, Act.READY);
  }

  private State state;

  /**
   * @param meets true where another process serves this box
   */
  public HandoverStateMachine(boolean meets) {
    this(meets ? State.SEEKING : State.ALONE);
  }

  /** In any state, for the search through all of them. */
  public HandoverStateMachine(State state) {
    this.state = state;
  }

  private static void on(State state, Event event, State next, Act... acts) {
    Row before =
        TABLE
            .computeIfAbsent(state, key -> new EnumMap<>(Event.class))
            .put(event, new Row(next, List.of(acts)));
    if (before != null) {
      throw new IllegalStateException("two rows for " + event + " in " + state);
    }
  }

  public State state() {
    return state;
  }

  /** True where this event has a row now. */
  public boolean takes(Event event) {
    return TABLE.get(state).containsKey(event);
  }

  /** Takes one event. */
  public Step take(Event event) {
    State from = state;
    Row row = TABLE.get(from).get(event);
    if (row == null) {
      return new Step(from, from, List.of(), true);
    }
    state = row.next();
    return new Step(from, state, row.acts(), false);
  }
}
