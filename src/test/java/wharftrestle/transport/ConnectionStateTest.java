package wharftrestle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
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
import wharftrestle.transport.ConnectionState.Action;
import wharftrestle.transport.ConnectionState.Phase;

/**
 * The state machine of a connection without sockets: in any interleaving, no accepted request loses
 * its answer and nothing is sent after the close.
 */
public class ConnectionStateTest {
  private static final byte[] ANSWER = {1};
  private static final byte[] GO_AWAY = {0, 0};

  /** Faults injected to verify that the property detects them. */
  private enum Mutant {
    NONE,
    DROPS_ANSWER_WHILE_CLOSING,
    ANSWERS_TWICE,
    ACCEPTS_AFTER_CLOSE
  }

  private final ConnectionState state = new ConnectionState();

  /**
   * A random sequence of the steps of a reader, answering threads, a writer (whoever got WRITE),
   * and the server's polls.
   */
  private static final class RandomRun {
    private final ConnectionState state = new ConnectionState();
    private final Random random;
    private final Mutant mutant;
    private final List<Integer> unanswered =
        new ArrayList<>(); // requests accepted and not answered
    private final List<byte[]> writtenMessages =
        new ArrayList<>(); // messages written to the socket
    private final List<Integer> accepted = new ArrayList<>();
    private boolean writing;
    private boolean isOutputShut;
    private boolean isPeerDisconnected;
    private int requestCount;
    private long now = 1;

    RandomRun(long seed, Mutant mutant) {
      random = new Random(seed);
      this.mutant = mutant;
    }

    private void carryOut(Action action) {
      if (action == Action.WRITE) {
        assertFalse(writing, "two concurrent writers");
        writing = true;
      } else if (action == Action.SHUT_OUTPUT) {
        assertFalse(isOutputShut, "output shut down twice");
        isOutputShut = true;
      }
    }

    private void step() {
      now += random.nextInt(3);
      switch (random.nextInt(12)) {
        case 0, 1, 2 -> {
          boolean read = state.recordRead();
          boolean isAccepted = read && state.beginRequest();
          if (isAccepted || (mutant == Mutant.ACCEPTS_AFTER_CLOSE && !read)) {
            unanswered.add(++requestCount);
            accepted.add(requestCount);
          }
          state.markInputHandled();
        }
        case 3, 4, 5 -> answer();
        case 6, 7, 8 -> write();
        case 9 -> {
          if (state.beginGoAway(now, now)) {
            carryOut(state.enqueue(GO_AWAY));
            carryOut(state.goAwayQueued(now));
          }
          if (state.isQuiet(random.nextInt(2))) {
            carryOut(state.finish(now));
          }
        }
        case 10 -> {
          if (random.nextInt(10) == 0) {
            carryOut(state.finish(now));
          }
        }
        default -> {
          if (random.nextInt(40) == 0) {
            isPeerDisconnected = true;
            state.close(now);
          }
        }
      }
    }

    private void answer() {
      if (unanswered.isEmpty()) {
        return;
      }
      int tag = unanswered.remove(random.nextInt(unanswered.size()));
      byte[] message = {(byte) tag};
      if (mutant == Mutant.DROPS_ANSWER_WHILE_CLOSING && state.phase() == Phase.CLOSING) {
        carryOut(state.completeRequest(now));
        return;
      }
      carryOut(state.enqueue(message));
      if (mutant == Mutant.ANSWERS_TWICE && tag % 3 == 0) {
        carryOut(state.enqueue(message));
      }
      if (state.inFlight() > 0) {
        carryOut(state.completeRequest(now));
      }
    }

    private void write() {
      if (!writing) {
        return;
      }
      byte[] message = state.nextMessage(now);
      if (message == null) {
        writing = false;
        carryOut(state.onQueueWritten(now));
      } else {
        assertFalse(isOutputShut, "message written after the output was shut down");
        writtenMessages.add(message);
      }
    }

    private void runAndCheck() {
      for (int i = 0; i < 300; i++) {
        step();
      }
      carryOut(state.finish(now));
      while (!unanswered.isEmpty() || writing) {
        answer();
        write();
      }
      if (!isPeerDisconnected) {
        assertTrue(isOutputShut, "output was never shut down");
        assertEquals(Phase.HALF_CLOSED, state.phase());
        List<Integer> answered =
            writtenMessages.stream()
                .filter(each -> each != GO_AWAY)
                .map(each -> (int) each[0])
                .sorted()
                .toList();
        assertEquals(
            accepted.stream().map(each -> (int) (byte) (int) each).sorted().toList(),
            answered,
            "each accepted request has one answer");
      }
      int sent = writtenMessages.size();
      state.close(now);
      assertEquals(Action.NOTHING, state.enqueue(ANSWER));
      assertEquals(null, state.nextMessage(now));
      assertEquals(sent, writtenMessages.size());
      assertFalse(state.beginRequest(), "no request is accepted after the close");
    }
  }

  @Property(tries = 3000)
  void everyAcceptedRequestIsAnsweredOnceUnlessThePeerDisconnects(@ForAll long seed) {
    new RandomRun(seed, Mutant.NONE).runAndCheck();
  }

  @Test
  void eachMutantViolatesTheProperty() {
    for (Mutant mutant :
        List.of(
            Mutant.DROPS_ANSWER_WHILE_CLOSING, Mutant.ANSWERS_TWICE, Mutant.ACCEPTS_AFTER_CLOSE)) {
      int caught = 0;
      for (long seed = 0; seed < 200; seed++) {
        try {
          new RandomRun(seed, mutant).runAndCheck();
        } catch (AssertionError | IllegalStateException expected) {
          caught++;
        }
      }
      assertTrue(caught > 20, mutant + " was caught in " + caught + " of 200 runs");
    }
  }

  @Test
  void onlyDocumentedTransitionsAreAllowed() {
    assertTrue(state.beginGoAway(1, 5));
    assertFalse(state.beginGoAway(2, 4), "the go-away message is sent once");
    assertFalse(state.isGoAwayExpired(4));
    assertTrue(state.isGoAwayExpired(5), "the earlier of the two deadlines applies");
    assertTrue(state.beginRequest(), "a request that crosses the go-away message is accepted");
    assertEquals(Action.NOTHING, state.goAwayQueued(3));
    assertEquals(Action.NOTHING, state.finish(3), "a request is in flight");
    assertFalse(state.beginRequest());
    assertEquals(Action.WRITE, state.enqueue(ANSWER));
    assertEquals(Action.NOTHING, state.completeRequest(4), "the answer is not written yet");
    assertEquals(ANSWER, state.nextMessage(5));
    assertEquals(null, state.nextMessage(6));
    assertEquals(Action.SHUT_OUTPUT, state.onQueueWritten(6));
    assertFalse(state.recordRead(), "further input is discarded");
    assertEquals(5, state.nanosInPhase(Phase.HALF_CLOSED, 11));
    assertTrue(state.close(12));
    assertFalse(state.close(13), "the socket is closed once");
    assertThrows(IllegalStateException.class, () -> state.completeRequest(14));
  }

  @Test
  void goAwayMessageIsWrittenBeforeOutputIsShutDown() {
    assertTrue(state.beginGoAway(1, 1));
    assertEquals(Action.NOTHING, state.finish(2), "the go-away message is not queued yet");
    assertEquals(Action.WRITE, state.enqueue(GO_AWAY));
    assertEquals(Action.NOTHING, state.goAwayQueued(3), "the go-away message is not written yet");
    assertEquals(GO_AWAY, state.nextMessage(4));
    assertEquals(null, state.nextMessage(5));
    assertEquals(Action.SHUT_OUTPUT, state.onQueueWritten(5));
  }

  @Test
  void quietNeedsTwoIdlePollsWithoutAReadInBetween() {
    assertFalse(state.isQuiet(0));
    state.recordRead(); // between the two polls, not yet handled
    assertFalse(state.isQuiet(0));
    state.markInputHandled();
    assertFalse(state.isQuiet(0), "the previous poll found it busy");
    assertFalse(state.isQuiet(1), "unread bytes");
    assertFalse(state.isQuiet(0));
    assertTrue(state.isQuiet(0));
    state.beginRequest();
    assertFalse(state.isQuiet(0), "a request is in flight");
  }

  @Test
  void peerThatDoesNotReadIsAborted() {
    assertEquals(Action.WRITE, state.enqueue(ANSWER));
    state.nextMessage(1000);
    assertFalse(state.isWriteStuck(1500, 500));
    assertTrue(state.isWriteStuck(1501, 500), "a write that does not finish in time");
    byte[] large = new byte[4096];
    Action action = Action.NOTHING;
    for (int i = 0;
        i < ConnectionState.MAX_QUEUED_BYTES / large.length + 1 && action == Action.NOTHING;
        i++) {
      action = state.enqueue(large);
    }
    assertEquals(Action.ABORT, action);
    state.close(1);
    assertFalse(state.beginRequest());
  }

  // ---- Lincheck: each operation is one step under the lock ----

  @Operation
  public boolean begin() {
    return state.beginRequest();
  }

  @Operation
  public Action offer() {
    return state.enqueue(ANSWER);
  }

  @Operation
  public boolean next() {
    return state.nextMessage(1) != null;
  }

  @Operation
  public Action written() {
    return state.onQueueWritten(1);
  }

  @Operation
  public boolean goAway() {
    return state.beginGoAway(1, 1);
  }

  @Operation
  public Action finish() {
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
  void operationsAreLinearizable() {
    new ModelCheckingOptions()
        .threads(3)
        .actorsPerThread(3)
        .iterations(10)
        .invocationsPerIteration(200)
        .check(ConnectionStateTest.class);
  }

  /**
   * Guards against a go-away message behind the last answer to a peer that has ended its output.
   */
  @Test
  void requestIsComplete_onceItsAnswerIsQueued() {
    ConnectionState state = new ConnectionState();
    assertTrue(state.beginRequest());
    assertEquals(Action.WRITE, state.enqueueAnswer(new byte[] {1}));
    assertEquals(0, state.inFlight());
    assertEquals(Action.NOTHING, state.finish(1), "the answer is not written yet");
    assertNotNull(state.nextMessage(1));
    assertNull(state.nextMessage(2));
    assertEquals(Action.SHUT_OUTPUT, state.onQueueWritten(2));
    assertThrows(IllegalStateException.class, () -> state.enqueueAnswer(new byte[] {2}));
  }
}
