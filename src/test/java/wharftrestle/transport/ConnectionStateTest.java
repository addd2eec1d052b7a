package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import wharftrestle.transport.ConnectionState.Act;
import wharftrestle.transport.ConnectionState.Phase;

/**
 * The state of a connection alone: whatever the interleaving, nothing owed is dropped, nothing sent
 * after its end.
 */
public class ConnectionStateTest {
  private static final byte[] ANSWER = {1};
  private static final byte[] WORD = {0, 0};

  /** What may go wrong on purpose, to see that the property finds it. */
  private enum Mutant {
    NONE,
    DROPS_AT_CLOSE,
    ANSWERS_TWICE,
    TAKES_AFTER_THE_END
  }

  private final ConnectionState state = new ConnectionState();

  /**
   * One reader, answers on threads of their own, a writer that is whoever was told to write, and a
   * server that looks.
   */
  private static final class Play {
    private final ConnectionState state = new ConnectionState();
    private final Random random;
    private final Mutant mutant;
    private final List<Integer> inHand = new ArrayList<>(); // requests taken and not answered
    private final List<byte[]> wire = new ArrayList<>(); // messages that the socket has
    private final List<Integer> taken = new ArrayList<>();
    private boolean writing;
    private boolean shut;
    private boolean peerGone;
    private int asked;
    private long now = 1;

    Play(long seed, Mutant mutant) {
      random = new Random(seed);
      this.mutant = mutant;
    }

    private void act(Act act) {
      if (act == Act.WRITE) {
        assertFalse(writing, "two write at once");
        writing = true;
      } else if (act == Act.SHUT_OUTPUT) {
        assertFalse(shut, "shut twice");
        shut = true;
      }
    }

    private void step() {
      now += random.nextInt(3);
      switch (random.nextInt(12)) {
        case 0, 1, 2 -> {
          boolean read = state.read();
          boolean begun = read && state.begin();
          if (begun || (mutant == Mutant.TAKES_AFTER_THE_END && !read)) {
            inHand.add(++asked);
            taken.add(asked);
          }
          state.settled();
        }
        case 3, 4, 5 -> answer();
        case 6, 7, 8 -> write();
        case 9 -> {
          if (state.goAway(now, now)) {
            act(state.offer(WORD));
            act(state.said(now));
          }
          if (state.quiet(random.nextInt(2))) {
            act(state.finish(now));
          }
        }
        case 10 -> {
          if (random.nextInt(10) == 0) {
            act(state.finish(now));
          }
        }
        default -> {
          if (random.nextInt(40) == 0) {
            peerGone = true;
            state.close(now);
          }
        }
      }
    }

    private void answer() {
      if (inHand.isEmpty()) {
        return;
      }
      int tag = inHand.remove(random.nextInt(inHand.size()));
      byte[] message = {(byte) tag};
      if (mutant == Mutant.DROPS_AT_CLOSE && state.phase() == Phase.CLOSING) {
        act(state.end(now));
        return;
      }
      act(state.offer(message));
      if (mutant == Mutant.ANSWERS_TWICE && tag % 3 == 0) {
        act(state.offer(message));
      }
      if (state.owed() > 0) {
        act(state.end(now));
      }
    }

    private void write() {
      if (!writing) {
        return;
      }
      byte[] message = state.next(now);
      if (message == null) {
        writing = false;
        act(state.written(now));
      } else {
        assertFalse(shut, "sent after the end of this side");
        wire.add(message);
      }
    }

    private void check() {
      for (int i = 0; i < 300; i++) {
        step();
      }
      act(state.finish(now));
      while (!inHand.isEmpty() || writing) {
        answer();
        write();
      }
      if (!peerGone) {
        assertTrue(shut, "its end never came");
        assertEquals(Phase.HALF_CLOSED, state.phase());
        List<Integer> answered =
            wire.stream().filter(each -> each != WORD).map(each -> (int) each[0]).sorted().toList();
        assertEquals(
            taken.stream().map(each -> (int) (byte) (int) each).sorted().toList(),
            answered,
            "each request that was taken has one answer");
      }
      int sent = wire.size();
      state.close(now);
      assertEquals(Act.NOTHING, state.offer(ANSWER));
      assertEquals(null, state.next(now));
      assertEquals(sent, wire.size());
      assertFalse(state.begin(), "nothing is taken after its end");
    }
  }

  @Property(tries = 3000)
  void eachRequestTakenHasOneAnswerOrItsPeerHasGone(@ForAll long seed) {
    new Play(seed, Mutant.NONE).check();
  }

  @Test
  void aMutantOfEachRuleIsCaught() {
    for (Mutant mutant :
        List.of(Mutant.DROPS_AT_CLOSE, Mutant.ANSWERS_TWICE, Mutant.TAKES_AFTER_THE_END)) {
      int caught = 0;
      for (long seed = 0; seed < 200; seed++) {
        try {
          new Play(seed, mutant).check();
        } catch (AssertionError | IllegalStateException found) {
          caught++;
        }
      }
      assertTrue(caught > 20, mutant + " was caught in " + caught + " of 200 plays");
    }
  }

  @Test
  void onlyTheTableOfTransitionsHolds() {
    assertTrue(state.goAway(1, 5));
    assertFalse(state.goAway(2, 4), "told once");
    assertFalse(state.goneBy(4));
    assertTrue(state.goneBy(5), "the earlier of the two times holds");
    assertTrue(state.begin(), "what crosses the word is taken");
    assertEquals(Act.NOTHING, state.said(3));
    assertEquals(Act.NOTHING, state.finish(3), "an answer is owed");
    assertFalse(state.begin());
    assertEquals(Act.WRITE, state.offer(ANSWER));
    assertEquals(Act.NOTHING, state.end(4), "it is not written yet");
    assertEquals(ANSWER, state.next(5));
    assertEquals(null, state.next(6));
    assertEquals(Act.SHUT_OUTPUT, state.written(6));
    assertFalse(state.read(), "what comes now is dropped");
    assertEquals(5, state.since(Phase.HALF_CLOSED, 11));
    assertTrue(state.close(12));
    assertFalse(state.close(13), "the socket is given back once");
    assertThrows(IllegalStateException.class, () -> state.end(14));
  }

  @Test
  void theWordToGoComesBeforeTheEnd() {
    assertTrue(state.goAway(1, 1));
    assertEquals(Act.NOTHING, state.finish(2), "the word is not said yet");
    assertEquals(Act.WRITE, state.offer(WORD));
    assertEquals(Act.NOTHING, state.said(3), "nor written");
    assertEquals(WORD, state.next(4));
    assertEquals(null, state.next(5));
    assertEquals(Act.SHUT_OUTPUT, state.written(5));
  }

  @Test
  void oneLookAloneNeverFindsItQuiet() {
    assertFalse(state.quiet(0));
    state.read(); // between the two looks, in the instant guarded against
    assertFalse(state.quiet(0));
    state.settled();
    assertFalse(state.quiet(0), "what it was before was busy");
    assertFalse(state.quiet(1), "bytes wait");
    assertFalse(state.quiet(0));
    assertTrue(state.quiet(0));
    state.begin();
    assertFalse(state.quiet(0), "an answer is owed");
  }

  @Test
  void whoReadsNothingIsCut() {
    assertEquals(Act.WRITE, state.offer(ANSWER));
    state.next(1000);
    assertFalse(state.stuck(1500, 500));
    assertTrue(state.stuck(1501, 500), "a message that nobody takes");
    byte[] large = new byte[4096];
    Act act = Act.NOTHING;
    for (int i = 0;
        i < ConnectionState.MOST_WAITING / large.length + 1 && act == Act.NOTHING;
        i++) {
      act = state.offer(large);
    }
    assertEquals(Act.CUT, act);
    state.close(1);
    assertFalse(state.begin());
  }

  // ---- Lincheck: each operation is one step under the lock ----

  @Operation
  public boolean begin() {
    return state.begin();
  }

  @Operation
  public Act offer() {
    return state.offer(ANSWER);
  }

  @Operation
  public boolean next() {
    return state.next(1) != null;
  }

  @Operation
  public Act written() {
    return state.written(1);
  }

  @Operation
  public boolean goAway() {
    return state.goAway(1, 1);
  }

  @Operation
  public Act finish() {
    return state.finish(1);
  }

  @Operation
  public boolean close() {
    return state.close(1);
  }

  @Operation
  public Phase phase() {
    return state.phase();
  }

  @Test
  void everyInterleavingIsAsOneAfterTheOther() {
    new ModelCheckingOptions()
        .threads(3)
        .actorsPerThread(3)
        .iterations(10)
        .invocationsPerIteration(200)
        .check(ConnectionStateTest.class);
  }
}
