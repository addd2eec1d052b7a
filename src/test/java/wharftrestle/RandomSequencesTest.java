package wharftrestle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wharftrestle.admission.Admission;

/**
 * Random legal sequences of events from fixed seeds. {@link RecordingHost} checks every action
 * against its rules.
 */
class RandomSequencesTest {

  private static RecordingHost runSequence(long seed) {
    Random random = new Random(seed);
    Sites.Builder site = Sites.site();
    site.calls = seed % 2 == 0;
    site.callQuota = 1 + random.nextInt(8);
    site.resultSharing = seed % 3 == 0 ? 1 : 0;
    site.memory = 600 + random.nextInt(4000);
    site.preemption = Admission.Preemption.values()[(int) (seed % 3)];
    site.coldStart = random.nextBoolean();
    RecordingHost host = new RecordingHost(site.build(), seed);
    Map<String, Long> lastAttempts = new LinkedHashMap<>();
    double drainAt = host.now + 12 + random.nextInt(10);
    boolean drains = false;
    for (int step = 0; step < 6000; step++) {
      double stopAt = drains ? host.drainingSince + 5 : Double.POSITIVE_INFINITY;
      if (host.now > stopAt) {
        break;
      }
      if (!drains && host.now > drainAt) {
        drains = true;
        host.drain(5);
      }
      host.gauges = new double[] {random.nextDouble(), random.nextInt(6)};
      int arrivals = random.nextInt(50) == 0 ? random.nextInt(60) : random.nextInt(20) == 0 ? 1 : 0;
      for (int i = 0; i < arrivals; i++) {
        arrive(host, random, lastAttempts);
      }
      host.completeBatch();
      reportRandomEvents(host, random);
      host.advanceTime(
          random.nextInt(100) == 0 ? random.nextDouble() * 0.05 : random.nextDouble() * 0.01);
    }
    if (drains) {
      host.advanceTime(Math.max(0, host.drainingSince + 5 - host.now));
    } else {
      host.advanceTime(25);
    }
    host.requests
        .values()
        .forEach(state -> assertTrue(state.answered, "unanswered: request " + state.request.id()));
    return host;
  }

  private static void arrive(RecordingHost host, Random random, Map<String, Long> lastAttempts) {
    int classIndex = random.nextInt(5);
    RecordingHost.RequestBuilder r =
        host.request(classIndex)
            .memory(1 + random.nextInt(12))
            .queueingDelay(random.nextInt(4) == 0 ? random.nextDouble() : 0.002)
            .costHint(random.nextBoolean() ? 0 : 0.01 + random.nextDouble());
    if (random.nextInt(3) == 0) {
      r.remainingDeadline(0.05 + random.nextDouble() * 3);
    }
    boolean keyed = classIndex == Sites.KEYED;
    boolean shared = host.settings.timing().resultSharingSeconds() > 0 && classIndex == Sites.READ;
    if (keyed || shared) {
      String key = (keyed ? "k" : "r") + random.nextInt(8);
      r.resourceKey(key);
      Long prior = lastAttempts.get(key);
      if (prior != null) {
        RecordingHost.RequestState state = host.requests.get(prior);
        boolean keyRetained =
            state.keyRetainedUntil >= host.now
                || (host.executedKeyArrivals.containsKey(key)
                    && host.now - 1.1 <= host.executedKeyArrivals.get(key) + 12
                    && keyed);
        if (keyRetained) {
          r.duplicateOf(prior).retry();
        }
      }
      Admission.Request request = r.build();
      host.arrive(request);
      if (host.log.contains("retain " + request.id())) {
        lastAttempts.put(key, request.id());
      }
      return;
    }
    host.arrive(r.build());
  }

  private static void reportRandomEvents(RecordingHost host, Random random) {
    for (RecordingHost.RequestState state : List.copyOf(host.requests.values())) {
      long id = state.request.id();
      switch (state.phase) {
        case QUEUED -> {
          if (random.nextInt(400) == 0) {
            host.disconnectCaller(id);
          }
        }
        case PAUSED -> {
          if (random.nextInt(400) == 0) {
            host.disconnectCaller(id);
          }
        }
        case EXECUTING -> {
          if (state.preemptionRequested && random.nextBoolean()) {
            host.confirmPreemption(id);
            continue;
          }
          if (state.answered || random.nextInt(40) == 0) {
            boolean calls =
                host.settings.classes().get(state.request.classIndex()).callsDependency();
            if (state.answered) {
              host.complete(id, Admission.Outcome.WITHDRAWN);
            } else if (calls && random.nextBoolean()) {
              host.blockOnCall(id);
            } else {
              host.complete(
                  id,
                  random.nextInt(8) == 0 ? Admission.Outcome.FAILURE : Admission.Outcome.SUCCESS);
            }
          }
        }
        case BLOCKED, CALLING -> {
          if (state.answered) {
            host.complete(id, Admission.Outcome.WITHDRAWN);
          } else if (state.phase == RecordingHost.Phase.CALLING
              && (host.now >= state.callTimeoutAt || random.nextInt(30) == 0)) {
            Admission.Outcome[] outcomes = {
              Admission.Outcome.SUCCESS,
              Admission.Outcome.FAILURE,
              Admission.Outcome.OVERLOADED,
              Admission.Outcome.UNREACHABLE,
              Admission.Outcome.BROKEN
            };
            host.completeCall(
                id,
                host.now >= state.callTimeoutAt
                    ? Admission.Outcome.TIMED_OUT
                    : outcomes[random.nextInt(outcomes.length)]);
          }
        }
        case ATTACHED -> {
          RecordingHost.RequestState prior = host.requests.get(state.request.duplicateOf());
          if (prior == null || prior.phase == RecordingHost.Phase.DONE) {
            host.complete(
                id,
                prior != null && prior.executed
                    ? Admission.Outcome.SUCCESS
                    : Admission.Outcome.FAILURE);
          }
        }
        case DONE -> {}
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18})
  void actionsOfRandomSequenceAreLegal(long seed) {
    assertTrue(runSequence(seed).log.size() > 300);
  }

  @Test
  void identicalEventsCauseIdenticalActions() {
    List<String> first = new ArrayList<>(runSequence(6).log);
    runSequence(5);
    assertEquals(first, runSequence(6).log);
  }
}
